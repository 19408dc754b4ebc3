package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/table"
	"crocusseam/pkg/workload"
)

// Overload control at the home of a job: whether the job is admitted, and when an admitted one is
// withdrawn. It applies to ephemeral jobs whose tasks have estimates. overload_queue.go is its part
// at the holders.
//
// This keeps an invariant: a refusal says that no task of the job runs or will run. A job with
// placed tasks is refused only after the holder of each has reported that it never ran.

const (
	// estimateError is the factor by which an estimate is off at most, in either direction.
	estimateError = 1.6
	// waitMargin multiplies expected waits where a job is admitted. They are means: without it half of
	// the jobs at the limit are late, and in overload all jobs that wait come to be at the limit.
	waitMargin = 2.0
	// similarWait is a difference of waits that does not count for the choice of a holder.
	similarWait = 10 * time.Millisecond
	// maxUntilCapacity bounds what is added to the usual Retry-After, as arrivals change meanwhile.
	maxUntilCapacity = 3 * time.Second
	// hopelessCheckSlack is left between the last moment at which a task can start and the caller's
	// deadline, for the messages that confirm the withdrawal and the answer.
	hopelessCheckSlack = 10 * time.Millisecond
	// countsPeriod is the time after which overviews have new counts of routes.
	countsPeriod = time.Second
)

// overloadControlled reports whether overload control applies to a job.
func (c *Control) overloadControlled(j *job) bool {
	return c.config.OverloadControl && j.stored == nil && j.Ephemeral && j.LongestChain() > 0
}

// forecast says when the tasks of a job's first steps are expected to start and end.
type forecast struct {
	found    bool          // enough endpoints in use are large enough
	lastWait time.Duration // until the last task starts
	end      time.Duration // until the last task ends
	waiting  int           // tasks that would better wait than take the free capacity that is left
	// freeEnd is the time until the last task ends if all of them take free capacity at once;
	// zero if there is not enough.
	freeEnd time.Duration
}

// queueForecast is a holder where tasks of a job would wait.
type queueForecast struct {
	wait time.Duration // of the next task
	base time.Duration // the part of it until some endpoint falls free
	step time.Duration // by which each task placed there makes the next one wait longer
}

// forecastStep computes when all tasks of a step could start and end. Each task takes the place
// where it is expected to end first: free capacity that is advertised and not yet taken by what
// was placed since, or a holder's queue behind the work of the same and higher priorities.
func (c *Control) forecastStep(j *job, step int) forecast {
	s := &j.Steps[step]
	d := demand{need: s.Need, estimate: c.correctedEstimate(j, step), rack: s.Rack}
	fast := d.expectedAt(c.fastSpeed(j.route.Service))
	var ends []time.Duration // of tasks that start at once
	var queues []queueForecast
	for m, free := range c.allFreeCapacity() {
		hop := time.Duration(0)
		if m.id != c.self && m.row.Domain != c.config.Domain {
			hop = interDomainDelay
		}
		for i := range free {
			e, ok := c.suitableEndpoint(free[i].Endpoint, j.route.Service, s.Label)
			if !ok {
				continue
			}
			left := free[i].Free
			for n := 0; n < s.Count && s.Need.Fits(left); n++ {
				left = left.Sub(s.Need)
				ends = append(ends, c.demandAt(d, e).expectedAt(free[i].Speed)+hop)
			}
		}
		if m.advert.Total.MilliCPU > 0 && s.Need.Fits(m.advert.Total) && !c.advertPredatesEvacuation(m) {
			queues = append(queues, queueForecast{
				wait: m.advert.Waits.forPriority(j.route.Priority) + m.backlogWait() + hop,
				base: m.advert.Waits.forPriority(math.MinInt32),
				step: time.Duration(cpuTime(s.Need, d.estimate) / float64(m.advert.Total.MilliCPU) * float64(time.Second)),
			})
		}
	}
	raiseToMean(queues)
	slices.Sort(ends)
	f := forecast{found: true}
	if len(ends) >= s.Count {
		f.freeEnd = ends[s.Count-1]
	}
	for range s.Count {
		q := shortestQueue(queues)
		if len(ends) > 0 && (q == nil || ends[0] <= q.wait+fast) {
			f.end = max(f.end, ends[0])
			ends = ends[1:]
			continue
		}
		if q == nil {
			return forecast{}
		}
		f.waiting++
		f.lastWait = max(f.lastWait, q.wait)
		f.end = max(f.end, q.wait+fast)
		q.wait += q.step
	}
	return f
}

// raiseToMean raises the shorter queues of several holders to the mean. Adverts are some time old,
// and the holders with the shortest queues are those that all homes choose until the next ones.
func raiseToMean(queues []queueForecast) {
	sum := time.Duration(0)
	for i := range queues {
		sum += queues[i].wait - queues[i].base
	}
	for i := range queues {
		q := &queues[i]
		q.wait = max(q.wait, q.base+sum/time.Duration(len(queues)))
	}
}

// rateQueue returns the wait by which a holder is compared with others. Under overload control it
// is randomized, so that homes do not all choose the same holder until its next advert.
func (c *Control) rateQueue(wait time.Duration) time.Duration {
	if !c.config.OverloadControl {
		return wait
	}
	return time.Duration(float64(wait+similarWait) * (1 + c.random.Float64()))
}

func shortestQueue(queues []queueForecast) *queueForecast {
	var best *queueForecast
	for i := range queues {
		if best == nil || queues[i].wait < best.wait {
			best = &queues[i]
		}
	}
	return best
}

// forecastJob computes when all tasks of a job could end: its first steps at their full width, and
// after them the rest of its longest chain without a wait.
func (c *Control) forecastJob(j *job) forecast {
	c.refreshOwnCapacity()
	total := forecast{found: true}
	longest, allFree := time.Duration(0), true
	for s := range j.Steps {
		if len(j.Steps[s].After) > 0 {
			continue
		}
		f := c.forecastStep(j, s)
		total.found = total.found && f.found
		total.waiting += f.waiting
		total.lastWait, total.end = max(total.lastWait, f.lastWait), max(total.end, f.end)
		total.freeEnd = max(total.freeEnd, f.freeEnd)
		allFree = allFree && f.freeEnd > 0
		longest = max(longest, j.Steps[s].Estimate)
	}
	rest := max(0, j.LongestChain()-longest)
	total.end += rest
	total.freeEnd += rest
	if !allFree {
		total.freeEnd = 0
	}
	return total
}

// admit decides whether a job that this instance could serve is worth its capacity. A job whose
// tasks all find free capacity is admitted if it can meet its caller's deadline. One that has to
// wait is admitted only if it can meet its objective: late it would earn a fifth, and take the
// capacity from jobs behind it that can still be in time.
func (c *Control) admit(j *job) (reason string, ok bool) {
	if !c.overloadControlled(j) || c.justStarted() {
		return "", true
	}
	f := c.forecastJob(j)
	own := c.ownDelay()
	end := c.now.Add(f.end + time.Duration((waitMargin-1)*float64(f.lastWait)))
	switch {
	case !f.found:
	case own > 0 && !end.After(j.deadline) && end.Add(own).After(j.deadline):
		reason = fmt.Sprintf("this instance is short of processor or link: its own delay is %s", own.Round(time.Millisecond))
	case f.freeEnd > 0 && !c.now.Add(f.freeEnd).After(j.deadline):
	case end.After(j.deadline):
		reason = fmt.Sprintf("it is expected to end in %s, after its caller's deadline", end.Sub(c.now).Round(time.Millisecond))
		j.overdue = end.Sub(j.deadline)
	case f.waiting > 0 && end.After(j.objective):
		reason = fmt.Sprintf("it would wait for %s and miss its objective", f.lastWait.Round(time.Millisecond))
		j.overdue = end.Sub(j.objective)
	}
	c.noteDecision(j, f, end, own, reason)
	return reason, reason == ""
}

// untilCapacity returns how much longer than usual the caller of a refused job is asked to wait: the
// queues have to become shorter by the time by which the job would have ended too late.
func (c *Control) untilCapacity(j *job) time.Duration {
	return min(max(0, j.overdue-c.config.Timing.RetryAfter), maxUntilCapacity)
}

// noteDecision counts and logs whether a job was admitted.
func (c *Control) noteDecision(j *job, f forecast, end time.Time, own time.Duration, reason string) {
	counts := c.overload.countsOf(j)
	verdict := "admitted"
	switch {
	case reason != "":
		verdict = "refused"
		if !end.After(j.deadline) && end.Add(own).After(j.deadline) {
			counts.RefusedOwnLoad++
		} else if end.After(j.deadline) {
			counts.RefusedDeadline++
		} else {
			counts.RefusedObjective++
		}
	case f.waiting > 0:
		verdict = "delayed"
		counts.Delayed++
	default:
		counts.Admitted++
	}
	c.logEvent("overload decision", jobField(j.ID), zap.String("Route", j.route.Name), zap.Int("Priority", j.route.Priority), zap.String("Verdict", verdict),
		zap.Int("Tasks", j.remaining), zap.Int("TasksWaiting", f.waiting), zap.Duration("ExpectedWait", f.lastWait), zap.Duration("ExpectedEnd", end.Sub(c.now)), zap.Duration("Estimate", c.correctedEstimate(j, 0)),
		zap.Duration("Objective", j.objective.Sub(c.now)), zap.Duration("Deadline", j.deadline.Sub(c.now)), zap.Duration("OwnDelay", own), zap.String("Reason", reason))
}

// hopeless reports whether a job with a task that waits can certainly not be answered by its
// deadline. Where a task of it may run already, its work is given up only if the job would be late
// although its estimates are too long by estimateError.
func (c *Control) hopeless(j *job) bool {
	share := 1.0
	if j.started || j.anyIn(lost, done) || j.anyPlaced(func(t *task) bool { return !t.waiting }) {
		share = 1 / estimateError
	}
	for s := range j.steps {
		needed := time.Duration(float64(c.correctedEstimate(j, s)) / c.fastSpeed(j.route.Service) * share)
		if !c.now.Add(needed + hopelessCheckSlack).After(j.deadline) {
			continue
		}
		if j.in(s, ready, blocked) || j.anyPlacedOf(s, func(t *task) bool { return t.waiting }) {
			return true
		}
	}
	return false
}

// withdraw takes all tasks of a job back from their holders. Each holder reports how its runs have
// ended, and answerWithdrawn then answers the callers.
func (c *Control) withdraw(j *job, cause string) {
	if j.withdrawnAt.IsZero() {
		j.withdrawnAt, j.withdrawnCause = c.now, cause
		c.overload.countsOf(j).Withdrawn++
		c.logEvent("job withdrawn", jobField(j.ID), zap.String("Route", j.route.Name), zap.Int("Priority", j.route.Priority), zap.Duration("Elapsed", c.now.Sub(j.arrived)),
			zap.Duration("Left", j.deadline.Sub(c.now)), zap.Int("TasksLeft", j.remaining), zap.String("Cause", cause))
	}
	drops := table.New[instance.ID, *Drop]()
	for s := range j.steps {
		for i := range j.steps[s] {
			t := &j.steps[s][i]
			if t.phase != placed {
				continue
			}
			d, ok := drops.Get(t.holder)
			if !ok {
				d = &Drop{}
				drops.Put(t.holder, d)
			}
			d.Runs = append(d.Runs, j.run(s, i))
		}
	}
	for holder, d := range drops.All() {
		c.send(holder, d)
	}
	c.answerWithdrawn(j)
}

// answerWithdrawn answers the callers of a withdrawn job once no holder has a run of it any more.
func (c *Control) answerWithdrawn(j *job) {
	if open, ok := c.home.jobs.Get(j.ID); !ok || open != j || j.anyIn(placed) {
		return
	}
	if j.mayHaveRun() {
		c.timeOut(j)
		return
	}
	c.overload.countsOf(j).RefusedWithdrawn++
	c.refuse(j, j.withdrawnCause)
}

// withdrawnRunEnded handles the outcome of a run of a withdrawn job. If its last task has ended in
// the meantime, the job is completed.
func (c *Control) withdrawnRunEnded(j *job, t *task, m *RunEnded) {
	switch m.How {
	case workload.Unknown:
		c.markLost(j, t, c.now.Add(c.config.Timing.leaseExpiry()))
		if m.MayStartLater {
			t.lateStartEndpoint, t.lateStartUntil = m.Endpoint, c.now.Add(m.lateWindow())
		}
	case workload.Done:
		c.observeTask(j, m.Run.Task.Step, m.Work)
		c.taskDone(j, t, m.Run.Task.Step)
	default:
		c.setPhase(j, t, blocked)
	}
	c.answerWithdrawn(j)
}

// advanceOverload withdraws a job that has become hopeless, and reports whether the job is
// withdrawn.
func (c *Control) advanceOverload(j *job) bool {
	if !c.overloadControlled(j) || j.deferred {
		return false
	}
	if j.withdrawnAt.IsZero() {
		if !c.hopeless(j) {
			return false
		}
		c.withdraw(j, "it can no longer end before its caller's deadline")
		return true
	}
	c.answerWithdrawn(j)
	return true
}

// overload is the state of overload control.
type overload struct {
	counts *table.Table[string, *OverloadCounts] // by route
	// listed is a copy of counts for overviews, as of listedAt.
	listed   []OverloadCounts
	listedAt time.Time
	starts   *table.Table[int, *startRate] // by priority, at the endpoints held here
	// estimates are of the tasks of the jobs whose home is here.
	estimates *estimates
	// merged are those of all instances, as of mergedAt.
	merged   *estimates
	mergedAt time.Time
	// shared are those of estimates for other instances, as of sharedAt.
	shared   []TaskEstimates
	sharedAt time.Time
	nextStep time.Time // when the next step is due
	loop     loopDelay
	// starved is the work that was started because it had waited for starvationBound.
	starved startRate
}

func newOverload() overload {
	return overload{counts: table.New[string, *OverloadCounts](), starts: table.New[int, *startRate](), starved: startRate{span: starvedTime}, estimates: table.New[taskKind, *estimateModel]()}
}

// OverloadCounts counts the decisions of overload control about the jobs of one route.
type OverloadCounts struct {
	Route            string
	Priority         int
	Admitted         int64 // all tasks found free capacity
	Delayed          int64 // admitted, and some task had to wait
	RefusedDeadline  int64 // could not end by the caller's deadline
	RefusedOwnLoad   int64 // could not be answered in time because of this instance's own delay
	RefusedObjective int64 // could not start soon enough for its objective
	Withdrawn        int64 // admitted, and taken back from the holders later
	RefusedWithdrawn int64 // withdrawn before any task had started
}

// list returns a copy of the counts of all routes, as of the last countsPeriod.
func (o *overload) list(now time.Time) []OverloadCounts {
	if now.Sub(o.listedAt) < countsPeriod {
		return o.listed
	}
	o.listed, o.listedAt = slices.Grow[[]OverloadCounts](nil, o.counts.Len()), now
	for _, counts := range o.counts.All() {
		o.listed = append(o.listed, *counts)
	}
	return o.listed
}

func (o *overload) countsOf(j *job) *OverloadCounts {
	counts, ok := o.counts.Get(j.route.Name)
	if !ok {
		counts = &OverloadCounts{Route: j.route.Name}
		o.counts.Put(j.route.Name, counts)
	}
	counts.Priority = j.route.Priority
	return counts
}

// advanceByUrgency advances all jobs, those whose ready tasks are the most urgent first.
func (c *Control) advanceByUrgency(move bool) {
	jobs := make([]*job, 0, c.home.jobs.Len())
	for _, j := range c.home.jobs.All() {
		jobs = append(jobs, j)
	}
	slices.SortStableFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.route.Priority, b.route.Priority), a.objective.Compare(b.objective))
	})
	for _, j := range jobs {
		if open, ok := c.home.jobs.Get(j.ID); ok && open == j {
			c.advanceWithRecovery(j, move)
		}
	}
}
