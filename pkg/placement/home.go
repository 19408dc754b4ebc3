package placement

import (
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/table"
	"crocusseam/pkg/workload"
)

// job is a job whose home is this instance.
type job struct {
	*workload.Job
	route      workload.Route
	handles    []Handle
	arrived    time.Time
	objective  time.Time
	expiry     time.Time // after this time an answer no longer helps the caller
	deadline   time.Time
	steps      [][]task
	counts     []phaseCounts // of the tasks of each step
	memory     int64         // estimated, see estimateMemory
	remaining  int           // number of tasks that are not done
	started    bool          // some run has started; for an ephemeral job, may have started
	stored     *storedState  // nil for an ephemeral job
	afterCheck uint64        // number of the check of callers after which an ephemeral job is placed
	deferred   bool          // accepted before this instance knew of any capacity; not examined yet
	// registration is the job's registration with the directory of homes, if it is ephemeral.
	registration registration
	// withdrawnAt is when overload control took the job's tasks back, withdrawnCause why.
	withdrawnAt    time.Time
	withdrawnCause string
	// overdue is by how much a job that overload control has refused would have ended too late.
	overdue time.Duration
}

// task is one task of a job.
type task struct {
	phase         phase
	step          uint8 // it is of
	waiting       bool  // its holder has no free capacity for it
	runNumber     int   // number of the last run
	holder        instance.ID
	placed        time.Time // when its last run was placed
	expectedStart time.Time // of a waiting run, as its holder estimates it
	failedRuns    []int     // numbers of the failed runs, see countFailure
	rejections    int       // runs that holders ended without a start, since the last failed run
	tried         triedEndpoints
	retryAt       time.Time // earliest time to place it again
	endedBy       time.Time // time by which the last run of a lost task has certainly ended
	// lateStartEndpoint names an endpoint whose next incarnation may still carry
	// out the start order of the last run. It is cleared once the endpoint's next
	// holder has a report, or at lateStartUntil.
	lateStartEndpoint string
	lateStartUntil    time.Time
}

// home is the state of this instance as the home of jobs.
type home struct {
	jobs         *table.Table[workload.JobID, *job] // changed by addJob and removeJob
	placed       int                                // tasks with a holder, of all jobs
	placedMemory int64                              // of these tasks, see memoryOfRun
	dropped      int                                // runs in droppedRuns, as of the last forgetDroppedRuns
	memory       jobMemory
	// ownCapacityFresh says that nothing has changed since refreshOwnCapacity ran in this pass of runHome, which goes over all
	// runs here.
	ownCapacityFresh bool
	byHandle         map[Handle]workload.JobID
	moveDue          time.Time // when waiting tasks are next considered for a move
	pendingCancels   []delayedLookup
	lookups          lookupQueue
	timeouts         map[string]*timeoutCounts // by route
	lostWaiting      map[string]lostWaiting    // by route
	waitingNow       map[string]int            // what callers of this step were told, by route
	// droppedRuns holds the runs of jobs that were closed before the holders reported the
	// ends of these runs.
	droppedRuns *table.Table[workload.JobID, *droppedRuns]
	own         member // this instance as a holder, in the same form as the other members
	callers     callerCheck

	registrations uint64    // with the directory so far
	registerDue   time.Time // when the next registration is not answered in time; zero without any
	releases      *table.Table[instance.ID, []ReleasedJob]
	releasesDue   time.Time
}

// droppedRuns are the runs of one closed job that may be going on.
type droppedRuns struct {
	runs           *table.Table[workload.Run, openRun]
	at             time.Time // when the job was closed
	callersKnownAt time.Time // as of then
	// registration is the job's. It is released when all runs have ended.
	registration registration
	completed    bool // the job
}

// openRun is a run of a closed job. Its holder was asked to stop it and reports its end,
// unless it has certainly ended at endedBy.
type openRun struct {
	holder  instance.ID
	endedBy time.Time // zero while the holder's report is awaited
	// lateStartEndpoint names an endpoint whose next incarnation may still start the run, and
	// lateUntil is when a run that it has started has ended at the latest, as far as is known.
	lateStartEndpoint string
	lateUntil         time.Time
}

func newHome() home {
	return home{
		jobs: table.New[workload.JobID, *job](), byHandle: make(map[Handle]workload.JobID),
		droppedRuns: table.New[workload.JobID, *droppedRuns](), timeouts: make(map[string]*timeoutCounts),
		lostWaiting: make(map[string]lostWaiting), releases: table.New[instance.ID, []ReleasedJob](),
		lookups: lookupQueue{queued: table.New[Handle, queuedLookup]()},
	}
}

const (
	rejectionPause        = 5 * time.Millisecond  // before a task that a holder rejected is placed again; doubles with each rejection
	maxRejectionPause     = 80 * time.Millisecond // longest rejectionPause; also used when no holder is found
	movePeriod            = 20 * time.Millisecond // between searches for a better holder for waiting tasks
	minMoveGain           = 10 * time.Millisecond // shortest remaining wait for which a task is moved
	answerMargin          = 5 * time.Millisecond  // before the caller's timeout, so that the answer still arrives
	expiryFactor          = 3                     // multiple of a job's objective after which its answer no longer helps
	lateOrderWindow       = 15 * time.Second      // endpoints carry out orders up to 12 s late
	storedJobTimeout      = 24 * time.Hour        // a stored job is served for this long, even after its objective
	leavingEstimateFactor = 2                     // a leaving instance takes a job only if this multiple of its estimate ends within the planned stop
	maxRetryAfterFactor   = 3                     // refused callers are asked to retry within this multiple of RetryAfter
)

// submit accepts a job from a caller or refuses it. If the job is open here already,
// the caller waits for the same answer; joinStored answers it if the job is a stored one.
func (c *Control) submit(m Submit) {
	c.noteRequest()
	if j, ok := c.home.jobs.Get(m.Job.ID); ok {
		if j.stored != nil {
			c.joinStored(j, m)
			return
		}
		j.handles = append(j.handles, m.Handle)
		c.home.byHandle[m.Handle] = j.ID
		c.logWarning("joined a job in progress", jobField(j.ID), zap.String("Route", j.route.Name), zap.Duration("Elapsed", c.now.Sub(j.arrived)), zap.Duration("Patience", m.CallerTimeout), zap.Int("Callers", len(j.handles)))
		return
	}
	c.counters.Submitted++
	j := c.newJob(m)
	if reason, ok := c.admissible(j); !ok {
		c.rejectSubmission(j, reason)
		return
	}
	if !c.memoryFor(j) {
		c.rejectSubmission(j, "the open jobs take as much memory here as they may")
		return
	}
	if reason, ok := c.admit(j); !ok {
		c.rejectSubmission(j, reason)
		return
	}
	c.checkLateRequest(j)
	c.addJob(j)
	c.home.byHandle[m.Handle] = j.ID
	formerRuns := 0
	if j.Ephemeral {
		formerRuns = c.resumeFormerRuns(j)
	}
	c.logEvent("job accepted", jobField(j.ID), zap.Int("FormerRuns", formerRuns), zap.String("Route", j.route.Name), zap.Int("Tasks", j.remaining), zap.Duration("LongestChain", j.LongestChain()),
		zap.Duration("Objective", j.objective.Sub(j.arrived)), zap.Duration("Patience", m.CallerTimeout), zap.Duration("RouteTimeout", m.Route.Timeout), zap.Uint64("Configuration", c.configurationVersion()))
	if !j.Ephemeral {
		c.acceptStored(j)
		return
	}
	if j.deferred = c.awaitsCapacity(); j.deferred {
		return
	}
	c.beginPlacement(j)
}

// rejectSubmission answers a submission that is not accepted. It is refused only if no run of an
// earlier submission of the job may be going on or start later: dropped ones, and those that the
// job has resumed while it was deferred.
func (c *Control) rejectSubmission(j *job, reason string) {
	_, former := c.home.droppedRuns.Get(j.ID)
	if !j.Ephemeral || !(former || j.mayHaveRun()) {
		c.refuse(j, reason)
		return
	}
	c.counters.TimedOut++
	c.logWarning("job not refused, as former runs may go on", jobField(j.ID), zap.String("Route", j.route.Name), zap.String("Reason", reason))
	c.close(j, Answer{Status: TimedOut, Reason: "runs of an earlier submission may still go on, and " + reason})
}

// awaitsCapacity reports whether this instance has just started and knows no endpoints, no
// capacity or no set of evacuated failure domains yet. Until it does, or the settle time is over, ephemeral jobs wait here
// instead of being refused.
func (c *Control) awaitsCapacity() bool {
	return c.justStarted() && (c.holder.listed.Len() == 0 || !c.anyCapacity() || c.evacuationUnknown())
}

// justStarted reports whether endpoints and other instances may still be missing because
// this instance has just started.
func (c *Control) justStarted() bool { return c.now.Sub(c.began) < c.config.Timing.Settle }

// admitDeferred examines a job that was accepted before any capacity was known, and begins
// to place it.
func (c *Control) admitDeferred(j *job) {
	if c.awaitsCapacity() {
		return
	}
	j.deferred = false
	if reason, ok := c.admissible(j); !ok {
		c.rejectSubmission(j, reason)
		return
	}
	if reason, ok := c.admit(j); !ok {
		c.rejectSubmission(j, reason)
		return
	}
	c.beginPlacement(j)
}

// beginPlacement unblocks the steps of a job that can run now and places their
// tasks. An ephemeral job waits for the directory first.
func (c *Control) beginPlacement(j *job) {
	for s := range j.steps {
		c.unblock(j, s)
	}
	if j.stored != nil {
		c.placeReady(j)
		return
	}
	if c.disabledRules.directory {
		j.registration.state = registered
		c.placeReady(j)
		return
	}
	c.register(j.ID, &j.registration, j.deadline.Sub(c.now))
}

// newJob returns the job of a submission. An ephemeral job expires at a multiple of its
// objective or when its caller stops waiting, a stored one after storedJobTimeout.
func (c *Control) newJob(m Submit) *job {
	remaining := m.CallerTimeout
	if remaining == 0 {
		remaining = m.Route.Timeout
	}
	objective := c.expectedObjective(&m)
	j := &job{
		Job: m.Job, route: m.Route, handles: []Handle{m.Handle}, arrived: c.now,
		objective: c.now.Add(objective - c.alreadyWaited(&m)), deadline: c.now.Add(remaining - answerMargin), expiry: c.now.Add(min(expiryFactor*objective, remaining-answerMargin)),
		memory: estimateMemory(m.Job), remaining: m.Job.Tasks(),
	}
	j.makeTasks()
	if c.overloadControlled(j) {
		j.expiry = j.deadline // callers have a use for a late answer as long as they wait
	}
	if !m.Job.Ephemeral {
		j.expiry = c.now.Add(storedJobTimeout)
	}
	return j
}

// alreadyWaited returns the time that a caller has waited at least before this submission.
// Callers of a route usually wait for its timeout or longer, so one that waits for less has
// submitted the job before, to an instance that is gone. On a route where most callers wait
// for less, that means nothing.
func (c *Control) alreadyWaited(m *Submit) time.Duration {
	if m.CallerTimeout == 0 {
		return 0
	}
	waited := max(0, m.Route.Timeout-m.CallerTimeout)
	counts, ok := c.home.timeouts[m.Route.Name]
	if !ok {
		counts = &timeoutCounts{usual: timeoutPrior}
		c.home.timeouts[m.Route.Name] = counts
	}
	counts.add(waited > 0)
	if counts.shorter > counts.usual {
		return 0
	}
	return waited
}

// timeoutCounts counts the callers of a route that wait for less than its timeout and the
// others. Older ones count less.
type timeoutCounts struct{ shorter, usual float64 }

const (
	timeoutPrior = 10   // usual callers assumed at first
	timeoutDecay = 0.98 // weight that a caller keeps with each later one
)

func (t *timeoutCounts) add(shorter bool) {
	t.shorter *= timeoutDecay
	t.usual *= timeoutDecay
	if shorter {
		t.shorter++
	} else {
		t.usual++
	}
}

// resumeFormerRuns restores the runs of a resubmitted ephemeral job that were dropped
// when the job was answered and may not have ended. Their tasks count as placed, so
// that no second run starts beside them. It returns the number of these runs.
func (c *Control) resumeFormerRuns(j *job) int {
	former, ok := c.home.droppedRuns.Get(j.ID)
	if !ok {
		return 0
	}
	c.home.droppedRuns.Delete(j.ID)
	j.registration.recalledBy = former.registration.recalledBy
	for r, open := range former.runs.All() {
		if r.Task.Step >= len(j.steps) || r.Task.Index >= len(j.steps[r.Task.Step]) {
			continue
		}
		t := &j.steps[r.Task.Step][r.Task.Index]
		c.setPhase(j, t, placed)
		t.holder, t.runNumber, t.placed = open.holder, r.Number, c.now
		if !open.endedBy.IsZero() {
			c.markLost(j, t, open.endedBy)
			t.lateStartEndpoint, t.lateStartUntil = open.lateStartEndpoint, former.at.Add(lateOrderWindow)
		}
		c.logWarning("task waits for the end of a former run", runFields(r, zap.Stringer("Holder", open.holder))...)
	}
	return former.runs.Len()
}

// forgetDroppedRuns forgets dropped runs that have certainly ended, and the others after the
// time within which a late order can still take effect. A job is released when none of its runs
// can be going on.
func (c *Control) forgetDroppedRuns() {
	c.home.dropped = 0
	for id, former := range c.home.droppedRuns.All() {
		goingOn := false
		for r, open := range former.runs.All() {
			if c.now.Sub(former.at) >= lateOrderWindow || c.certainlyEnded(open, former.at) {
				former.runs.Delete(r)
				continue
			}
			goingOn = goingOn || c.mayGoOn(open, former.callersKnownAt)
		}
		if !goingOn {
			c.release(id, &former.registration, former.completed)
		}
		c.home.dropped += former.runs.Len()
		if former.runs.Len() == 0 {
			c.home.droppedRuns.Delete(id)
		}
	}
}

// mayGoOn reports whether a run of a closed job may be going on, or start later. Its lease ends
// within ResubmitAfter after its callers were last known, also where its endpoint does not answer
// (see updateLeaseLimit). A start that arrives later is refused, as that lease has expired, unless
// the endpoint has begun another life with a new clock.
func (c *Control) mayGoOn(open openRun, callersKnownAt time.Time) bool {
	return c.now.Before(later(open.lateUntil, callersKnownAt.Add(c.config.Timing.ResubmitAfter)))
}

// certainlyEnded reports whether a run that was dropped at some time has ended and cannot start
// later, although its holder has not said so.
func (c *Control) certainlyEnded(open openRun, dropped time.Time) bool {
	switch {
	case open.lateStartEndpoint != "":
		return false
	case !open.endedBy.IsZero():
		return !c.now.Before(open.endedBy)
	}
	m, ok := c.membership.members.Get(open.holder.Instance)
	return ok && m.id == open.holder && !c.reachable(m.id) && c.now.Sub(later(m.lastSeenAt, dropped)) > c.config.Timing.holderLossTimeout()
}

// markDroppedRunsLost notes by when the dropped runs at a holder that is gone have ended.
func (c *Control) markDroppedRunsLost(holder instance.ID, heardAt time.Time) {
	for _, former := range c.home.droppedRuns.All() {
		for r, open := range former.runs.All() {
			if open.holder == holder && open.endedBy.IsZero() {
				open.endedBy = later(heardAt, former.at).Add(c.config.Timing.holderLossTimeout())
				former.runs.Put(r, open)
			}
		}
	}
}

// droppedRunEnded handles the outcome of a run of a closed job. After Unknown it may go on for
// the rest of its lease, and start later unless a second outcome says that it may not.
func (c *Control) droppedRunEnded(from instance.ID, former *droppedRuns, m *RunEnded) {
	open, ok := former.runs.Get(m.Run)
	if !ok || open.holder != from {
		return
	}
	if m.How != workload.Unknown {
		former.runs.Delete(m.Run) // forgetDroppedRuns releases the job
		return
	}
	switch {
	case open.endedBy.IsZero():
		open.endedBy = c.now.Add(c.config.Timing.leaseExpiry())
	case open.lateStartEndpoint != "":
		open.endedBy, open.lateUntil = later(open.endedBy, c.now.Add(stopTime)), c.now.Add(stopTime)
	}
	open.lateStartEndpoint = ""
	if m.MayStartLater {
		open.lateStartEndpoint, open.lateUntil = m.Endpoint, c.now.Add(m.lateWindow())
	}
	former.runs.Put(m.Run, open)
}

// admissible reports whether this instance can serve a job, and otherwise why not.
func (c *Control) admissible(j *job) (reason string, ok bool) {
	switch {
	case len(j.Unsupported) > 0:
		return fmt.Sprintf("it asks for %v, which is not offered here", j.Unsupported), false
	case len(j.route.Unsupported) > 0:
		return fmt.Sprintf("its route asks for %v, which is not offered here", j.route.Unsupported), false
	case c.stop == stopped || (!j.Ephemeral && c.stop != serving):
		return "this instance is leaving", false
	case !j.Ephemeral && !c.recorder.acceptsJobs(c.now):
		return storeUnavailable, false
	case !j.Ephemeral && c.home.jobs.Len() >= c.config.MaxStoredJobs:
		return "too many jobs are open here", false
	case j.Ephemeral && c.awaitsCapacity():
		return "", true
	}
	for i := range j.Steps {
		if !c.fitsSomeEndpoint(j.route.Service, &j.Steps[i]) {
			return fmt.Sprintf("no endpoint of the service could run a task of step %d", i), false
		}
	}
	step, evacuated := c.evacuatedStep(j)
	switch {
	case !j.Ephemeral && (evacuated || c.evacuationUnknown()):
		return "", true // it waits
	case evacuated:
		return evacuatedReason(step), false
	case c.evacuationUnknown():
		return "it is not known here yet which failure domains are evacuated", false
	}
	wait, ok := c.expectedWait(j)
	switch {
	case !ok:
		return "no endpoint of the service is in use here or at a peer", false
	case !j.Ephemeral:
		return "", true
	case c.overloadControlled(j) && c.stop == serving:
		return "", true // see admit
	case c.now.Add(wait).After(j.expiry) && !c.justStarted():
		return fmt.Sprintf("it is expected to end in %s, when its answer is of no use any more", wait), false
	case c.stop != serving && c.now.Add(wait+leavingEstimateFactor*j.LongestChain()).After(c.stopStartedAt.Add(c.config.Timing.MaxLeaveTime)):
		return "this instance is leaving and could not see it to its end", false
	}
	return "", true
}

// evacuatedReason is why a job is refused while tasks of a step can run only in evacuated domains.
func evacuatedReason(step int) string {
	return fmt.Sprintf("every endpoint that could run a task of step %d is in an evacuated failure domain", step)
}

// fitsSomeEndpoint reports whether the total capacity of some endpoint of the service
// is large enough for a task.
func (c *Control) fitsSomeEndpoint(service string, s *workload.Step) bool {
	for _, e := range c.holder.listed.All() {
		if e.Service == service && s.Need.Fits(e.Capacity) && e.HasLabel(s.Label) {
			return true
		}
	}
	return false
}

// refuse answers a job's callers that it does not run here, and when to retry.
func (c *Control) refuse(j *job, reason string) {
	c.counters.Refused++
	if _, evacuated := c.evacuatedStep(j); evacuated {
		c.counters.EvacuatedRefusals++
	}
	c.close(j, Answer{Status: Refused, Reason: reason, RetryAfter: c.retryAfter() + c.untilCapacity(j)})
}

// retryAfter returns when a refused caller should return. It is randomized so that
// callers that were refused together do not return together. During a planned stop it
// is not before the end of the stop, as callers keep their connections until then.
func (c *Control) retryAfter() time.Duration {
	earliest := c.config.Timing.RetryAfter
	if c.stop != serving {
		earliest = max(earliest, c.stopStartedAt.Add(c.config.Timing.MaxLeaveTime).Sub(c.now))
	}
	return earliest + time.Duration(c.random.Int64N(int64(maxRetryAfterFactor-1)*int64(c.config.Timing.RetryAfter)+1))
}

// close answers a job's callers and forgets the job. The outcome of an open stored job
// is recorded first.
func (c *Control) close(j *job, a Answer) {
	if j.stored != nil && j.stored.phase != accepting {
		c.endStored(j, a.Status, a.Reason)
		return
	}
	for _, h := range j.handles {
		delete(c.home.byHandle, h)
		c.reply(h, a)
	}
	j.handles = nil
	if j.stored != nil {
		c.lookUpCancels(j)
	}
	dropped := c.dropRuns(j)
	c.removeJob(j)
	c.endRegistration(j, a.Status == Completed)
	elapsed := c.now.Sub(j.arrived)
	if a.Status == Completed && c.now.After(j.objective) {
		c.counters.Late++
	}
	c.emit(Finished{Route: j.route.Name, Status: a.Status, Elapsed: elapsed})
	fields := []zap.Field{
		jobField(j.ID), zap.String("Route", j.route.Name), zap.Stringer("Status", a.Status), zap.String("Reason", a.Reason),
		zap.Duration("Elapsed", elapsed), zap.Duration("Objective", j.objective.Sub(j.arrived)), zap.Int("TasksLeft", j.remaining),
		zap.Uint64("Configuration", c.configurationVersion()),
	}
	if a.Status == Cancelled {
		fields = append(fields, zap.Duration("CallersKnown", c.now.Sub(c.home.callers.confirmedAt)))
	}
	c.logJobEnd("job answered", dropped, fields...)
}

// dropRuns asks the holders to stop the runs of a job's placed tasks. It remembers them, and the
// runs of lost tasks, until they have ended: a holder is asked again if the session with it ends,
// and the job may be submitted again before. It returns the runs that it dropped.
func (c *Control) dropRuns(j *job) []droppedRun {
	var dropped []droppedRun
	former := &droppedRuns{runs: table.New[workload.Run, openRun](), at: c.now, callersKnownAt: c.home.callers.confirmedAt}
	drops := table.New[instance.ID, *Drop]()
	for s := range j.steps {
		if !j.in(s, placed, lost) {
			continue
		}
		for i := range j.steps[s] {
			t := &j.steps[s][i]
			if t.phase == lost {
				former.runs.Put(j.run(s, i), t.lostRun())
			}
			if t.phase != placed {
				continue
			}
			c.setPhase(j, t, done)
			d, ok := drops.Get(t.holder)
			if !ok {
				d = &Drop{}
				drops.Put(t.holder, d)
			}
			d.Runs = append(d.Runs, j.run(s, i))
			former.runs.Put(j.run(s, i), openRun{holder: t.holder})
			dropped = append(dropped, droppedRun{j.run(s, i), t.holder})
		}
	}
	if former.runs.Len() > 0 {
		c.home.dropped += former.runs.Len()
		c.home.droppedRuns.Put(j.ID, former)
	}
	for holder, d := range drops.All() {
		c.send(holder, d)
	}
	return dropped
}

// lostRun returns the last run of a lost task, as one of a closed job.
func (t *task) lostRun() openRun {
	open := openRun{holder: t.holder, endedBy: t.endedBy, lateStartEndpoint: t.lateStartEndpoint}
	switch {
	case t.lateStartUntil.IsZero():
	case t.lateStartEndpoint == "":
		open.lateUntil = t.endedBy
	default:
		open.lateUntil = t.lateStartUntil
	}
	return open
}

// resendDrops repeats the drops of runs that a holder has not reported as ended, after a new
// session with it: those of closed jobs and of withdrawn ones.
func (c *Control) resendDrops(holder instance.ID) {
	drop := &Drop{}
	for _, j := range c.home.jobs.All() {
		if !j.withdrawnAt.IsZero() {
			drop.Runs = append(drop.Runs, j.runsAt(holder)...)
		}
	}
	for _, former := range c.home.droppedRuns.All() {
		for r, open := range former.runs.All() {
			if open.holder == holder && open.endedBy.IsZero() {
				drop.Runs = append(drop.Runs, r)
			}
		}
	}
	if len(drop.Runs) > 0 {
		c.logWarning("runs dropped again", zap.Stringer("Holder", holder), zap.Int("Runs", len(drop.Runs)), zap.Strings("Dropped", runNames(drop.Runs)))
		c.send(holder, drop)
	}
}

// runsAt returns the runs of the tasks that are placed with a holder.
func (j *job) runsAt(holder instance.ID) []workload.Run {
	var runs []workload.Run
	for s := range j.steps {
		for i := range j.steps[s] {
			if t := &j.steps[s][i]; t.phase == placed && t.holder == holder {
				runs = append(runs, j.run(s, i))
			}
		}
	}
	return runs
}

func (j *job) run(step, index int) workload.Run {
	return workload.Run{Task: workload.TaskID{Job: j.ID, Step: step, Index: index}, Number: j.steps[step][index].runNumber}
}

// unblock makes the tasks of a step ready if all steps that it depends on are done.
func (c *Control) unblock(j *job, step int) {
	if !j.in(step, blocked) {
		return
	}
	for _, a := range j.Steps[step].After {
		if j.in(a, blocked, ready, placed, lost) {
			return
		}
	}
	for i := range j.steps[step] {
		if t := &j.steps[step][i]; t.phase == blocked {
			c.setPhase(j, t, ready)
		}
	}
}

// placeReady places each task that is ready with a holder.
func (c *Control) placeReady(j *job) {
	for s := range j.steps {
		c.placeStep(j, s)
	}
}

// placeStep places the ready tasks of one step, with one request for each holder.
// A stored job's tasks are placed only while this instance is verified as its home, an
// ephemeral job's only while its caller is known to wait: one that has left submits the job
// to another instance.
func (c *Control) placeStep(j *job, step int) {
	room := c.placeable(j)
	if !j.in(step, ready) || room <= 0 {
		return
	}
	if j.stored != nil && !(c.anyReady(j, step) && c.verified(j)) {
		return
	}
	if j.stored == nil && !(c.callerKnown(j) && j.registration.mayPlace()) {
		return
	}
	if !j.withdrawnAt.IsZero() {
		return
	}
	requests := table.New[instance.ID, *PlaceRequest]()
	refreshed := false
	for i := range j.steps[step] {
		t := &j.steps[step][i]
		if t.phase != ready || c.now.Before(t.retryAt) {
			continue
		}
		if room--; room < 0 {
			break
		}
		if !refreshed {
			refreshed = true
			c.refreshOwnCapacity()
		}
		offer, ok := c.chooseHolder(j, step, t)
		if !ok {
			t.retryAt = c.now.Add(maxRejectionPause)
			continue
		}
		offer.reserve(&j.Steps[step])
		holder := offer.member.id
		p, ok := requests.Get(holder)
		if !ok {
			p = c.newPlaceRequest(j, step)
			requests.Put(holder, p)
		}
		c.setPhase(j, t, placed)
		t.holder, t.placed, t.waiting = holder, c.now, false
		t.runNumber++
		p.Tasks = append(p.Tasks, c.placedTaskOf(j, step, i))
	}
	if requests.Len() > 0 {
		j.registration.begun = true
	}
	for holder, p := range requests.All() {
		c.sendPlaceRequest(holder, p)
	}
}

// anyReady reports whether a task of a step can be placed now.
func (c *Control) anyReady(j *job, step int) bool {
	for i := range j.steps[step] {
		if t := &j.steps[step][i]; t.phase == ready && !c.now.Before(t.retryAt) {
			return true
		}
	}
	return false
}

func (c *Control) newPlaceRequest(j *job, step int) *PlaceRequest {
	s := &j.Steps[step]
	expected := time.Duration(0)
	if c.overloadControlled(j) {
		expected = c.correctedEstimate(j, step)
	}
	return &PlaceRequest{
		Expected: expected,
		Job:      j.ID, Spec: j.Spec, Step: step, Service: j.route.Service, Need: s.Need, Label: s.Label, Rack: s.Rack, Estimate: s.Estimate,
		Objective: j.objective.Sub(c.now), Expiry: j.expiry.Sub(c.now), CallerTimeout: j.deadline.Sub(c.now), Priority: j.route.Priority,
		Stored: j.stored != nil, Round: j.round(),
	}
}

// round counts the homes that a stored job has had before this one.
func (j *job) round() int {
	if j.stored == nil {
		return 0
	}
	return j.stored.round
}

func (c *Control) sendPlaceRequest(holder instance.ID, p *PlaceRequest) {
	c.counters.Placed += int64(len(p.Tasks))
	if m, ok := c.membership.members.Get(holder.Instance); ok && m.id == holder {
		m.sequence++
		p.Sequence = m.sequence
	}
	c.logEvent("tasks placed", jobField(p.Job), zap.Int("Step", p.Step), zap.Int("Tasks", len(p.Tasks)), zap.Array("Runs", placedNames{p}),
		zap.Stringer("Holder", holder), zap.Duration("AdvertAge", c.advertAge(holder)), zap.Duration("Left", p.CallerTimeout))
	if holder != c.self {
		c.uplink.enqueue(c.now, len(p.Spec)+orderOverheadBytes)
	}
	c.send(holder, p)
	c.noteRunWith(holder)
}

// resendPlaceRequests repeats the placement requests to a holder after a new session
// with it. The holder answers for a run that it knows with the run's state. A run of a withdrawn
// job that the holder does not know has expired, so that the holder returns it without a start.
func (c *Control) resendPlaceRequests(id instance.ID) {
	for _, j := range c.home.jobs.All() {
		for s := range j.steps {
			if !j.in(s, placed) {
				continue
			}
			p := c.newPlaceRequest(j, s)
			if !j.withdrawnAt.IsZero() {
				p.Expiry = 0
			}
			for i := range j.steps[s] {
				if t := &j.steps[s][i]; t.phase == placed && t.holder == id {
					p.Tasks = append(p.Tasks, c.placedTaskOf(j, s, i))
				}
			}
			if len(p.Tasks) > 0 {
				c.sendPlaceRequest(id, p)
			}
		}
	}
}

// handleRunWaiting notes that a task's holder has no free capacity for it now.
func (c *Control) handleRunWaiting(from instance.ID, m *Waiting) {
	if _, t, ok := c.placedTask(from, m.Run); ok {
		t.waiting = true
		t.expectedStart = c.now.Add(m.ExpectedWait)
	}
}

// placedTask returns the job and task of a run, and whether that run is the task's
// current one and is placed with this holder.
func (c *Control) placedTask(from instance.ID, r workload.Run) (*job, *task, bool) {
	j, ok := c.home.jobs.Get(r.Task.Job)
	if !ok || r.Task.Step >= len(j.steps) || r.Task.Index >= len(j.steps[r.Task.Step]) {
		return nil, nil, false
	}
	t := &j.steps[r.Task.Step][r.Task.Index]
	return j, t, t.phase == placed && t.runNumber == r.Number && t.holder == from
}

// handleRunEnded handles the outcome of a run that its holder reports. Done completes
// the task. After Failed, the task is tried again at another endpoint until MaxAttempts
// runs have failed. NeverRan counts as a rejection: the task may be placed again after a
// pause, or at once if its count of rejections is now one and the report names no
// endpoint. After Unknown the task is lost, as the run may go on; after any other
// outcome it is ready at once.
func (c *Control) handleRunEnded(from instance.ID, m *RunEnded) {
	j, t, ok := c.placedTask(from, m.Run)
	if !ok {
		if former, known := c.home.droppedRuns.Get(m.Run.Task.Job); known {
			c.droppedRunEnded(from, former, m)
		}
		if t != nil {
			c.endLateStart(from, j, t, m)
		}
		c.endedElsewhere(from, m)
		return
	}
	if j.stored != nil {
		c.recordRunOutcome(j, from, m)
	}
	// A caller must not be told that a job was refused if a start of it may still be on its way.
	if hasRun(m.How) || (m.StartUnanswered && j.stored == nil) {
		j.started = true
	}
	if !j.withdrawnAt.IsZero() {
		c.withdrawnRunEnded(j, t, m)
		return
	}
	switch m.How {
	case workload.Done:
		c.observeTask(j, m.Run.Task.Step, m.Work)
		c.taskDone(j, t, m.Run.Task.Step)
		return
	case workload.Failed:
		c.countFailure(j, t, m)
		if j.failed(t) {
			return
		}
		c.counters.Retries++
		t.rejections = 0
	case workload.NeverRan:
		t.rejections++
		t.retryAt = c.now.Add(min(rejectionPause<<min(t.rejections-1, 5), maxRejectionPause))
		if t.rejections == 1 && m.Endpoint == "" {
			t.retryAt = c.now
		}
	case workload.Unknown:
		c.logGivenUp(m.Run, from, m, c.config.Timing.leaseExpiry(), m.Detail)
		c.markLost(j, t, c.now.Add(c.config.Timing.leaseExpiry()))
		if m.MayStartLater {
			t.lateStartEndpoint, t.lateStartUntil = m.Endpoint, c.now.Add(m.lateWindow())
		}
		return
	default:
		c.logGivenUp(m.Run, from, m, 0, m.Detail)
		c.counters.Retries++
		t.tried.note(m, c.now)
	}
	c.setPhase(j, t, ready)
	if c.overloadControlled(j) && (m.TooLate || c.hopeless(j)) {
		c.withdraw(j, "it can no longer end before its caller's deadline")
		return
	}
	if reason, ok := c.admissible(j); !ok && j.stored == nil && !j.mayHaveRun() {
		c.refuse(j, reason)
		return
	}
	c.placeStep(j, m.Run.Task.Step)
}

// endLateStart lets a lost task of an ephemeral job be placed again, as its holder reports that
// the endpoint carries out the start of its last run no more, or has been told to stop it. An end
// of a stored job's run may be kept there: it waits for the report of the endpoint's next holder.
func (c *Control) endLateStart(from instance.ID, j *job, t *task, m *RunEnded) {
	if j.stored == nil && t.phase == lost && t.holder == from && t.runNumber == m.Run.Number && t.lateStartEndpoint == m.Endpoint && !m.MayStartLater {
		t.lateStartEndpoint, t.endedBy = "", later(t.endedBy, c.now.Add(stopTime))
	}
}

// countFailure counts a failed run of a task, and closes the job once too many have failed.
//
// This keeps an invariant: each failed run counts once, by its number, however often its
// outcome arrives and whichever home of the job it reaches. Holders send an outcome again
// until the home confirms that it is recorded, and the numbers are recorded with the job.
func (c *Control) countFailure(j *job, t *task, m *RunEnded) {
	if slices.Contains(t.failedRuns, m.Run.Number) {
		return
	}
	t.failedRuns = append(t.failedRuns, m.Run.Number)
	t.tried.note(m, c.now)
	c.logEvent("run failed", runFields(m.Run, zap.Stringer("Holder", t.holder), zap.String("Endpoint", m.Endpoint), zap.Int("Failures", len(t.failedRuns)), zap.Int("MaxAttempts", j.route.MaxAttempts), zap.Duration("Elapsed", m.Elapsed))...)
	if j.failed(t) {
		c.counters.Failed++
		c.close(j, Answer{Status: Failed, Reason: fmt.Sprintf("task %d of step %d failed %d times", m.Run.Task.Index, m.Run.Task.Step, len(t.failedRuns))})
	}
}

// failed reports whether so many runs of a task have failed that its job has failed.
func (j *job) failed(t *task) bool { return len(t.failedRuns) >= max(j.route.MaxAttempts, 1) }

// taskDone completes a task. It closes the job after its last task, and otherwise places
// the tasks of steps that waited for this one.
func (c *Control) taskDone(j *job, t *task, step int) {
	c.setPhase(j, t, done)
	j.remaining--
	if j.remaining == 0 {
		c.counters.Completed++
		c.close(j, Answer{Status: Completed})
		return
	}
	for s := step + 1; s < len(j.steps); s++ {
		c.unblock(j, s)
		c.placeStep(j, s)
	}
}

// markLost marks a task whose holder cannot be asked any more. The run may have
// started, and has certainly ended by endedAt.
func (c *Control) markLost(j *job, t *task, endedAt time.Time) {
	j.started = j.started || j.stored == nil || c.startAssumed(j, t)
	c.setPhase(j, t, lost)
	t.endedBy = endedAt
}

// markRunsLost marks the tasks placed with a holder that is gone as lost. Each run
// has certainly ended a fixed time after the holder was last seen, or after the run
// was placed if that was later.
func (c *Control) markRunsLost(holder instance.ID, heardAt time.Time) {
	for _, j := range c.home.jobs.All() {
		for s := range j.steps {
			if !j.in(s, placed) {
				continue
			}
			for i := range j.steps[s] {
				if t := &j.steps[s][i]; t.phase == placed && t.holder == holder {
					endedBy := later(heardAt, t.placed).Add(c.config.Timing.holderLossTimeout())
					c.logGivenUp(j.run(s, i), holder, nil, max(0, endedBy.Sub(c.now)), "its holder has restarted")
					c.markLost(j, t, endedBy)
				}
			}
		}
	}
}

// runHome advances all jobs: it places ready tasks, ends jobs that have run out of
// time and, every movePeriod, moves waiting tasks to holders with free capacity.
func (c *Control) runHome() {
	move := !c.now.Before(c.home.moveDue)
	if move {
		c.home.moveDue = c.now.Add(movePeriod)
	}
	c.home.registerDue, c.home.ownCapacityFresh = time.Time{}, false
	if c.config.OverloadControl {
		c.advanceByUrgency(move)
	} else {
		for _, j := range c.home.jobs.All() {
			c.advanceWithRecovery(j, move)
		}
	}
	c.forgetDroppedRuns()
}

// advance does what is due for one job. Only open jobs place tasks. While a job is still
// being stored, expireAccepting answers its callers once the deadline has passed.
//
// Only ephemeral jobs, those with no stored state, are timed out here: at the deadline,
// shortly before the caller stops waiting, or already at the expiry, after which an answer
// no longer helps, if some task has not started by then.
func (c *Control) advance(j *job, move bool) {
	if j.stored != nil && j.stored.phase != open {
		c.expireAccepting(j)
		return
	}
	if j.stored == nil && (!c.now.Before(j.deadline) || (!c.now.Before(j.expiry) && j.hasUnstarted())) {
		c.timeOut(j)
		return
	}
	if j.deferred {
		c.admitDeferred(j)
		return
	}
	c.checkRegistration(j)
	c.checkLost(j)
	if c.advanceOverload(j) {
		return
	}
	c.placeReady(j)
	if move {
		c.moveWaiting(j)
	}
}

// mayHaveStarted reports whether a run of the job has started, or may start at any
// moment because a holder has it.
func (j *job) mayHaveStarted() bool {
	return j.started || j.anyIn(placed, lost)
}

// mayHaveRun reports whether a task of the job may have run, here or from another home that has not
// released the job yet. Such a job is not refused.
func (j *job) mayHaveRun() bool {
	return j.mayHaveStarted() || j.registration.occupant != (instance.ID{})
}

// hasUnstarted reports whether some task of the job has not been started yet.
func (j *job) hasUnstarted() bool {
	return j.anyIn(blocked, ready) || j.anyPlaced(func(t *task) bool { return t.waiting })
}

// timeOut ends a job whose callers stop waiting, or whose answer would come too late
// to help while some of its tasks still wait.
func (c *Control) timeOut(j *job) {
	reason := "it could not be finished in time; some of it may have run"
	switch {
	case j.mayHaveStarted():
	case j.registration.occupant != (instance.ID{}):
		reason = "another instance is still running it"
	default:
		c.refuse(j, "no endpoint had room for it in time")
		return
	}
	c.counters.TimedOut++
	c.close(j, Answer{Status: TimedOut, Reason: reason})
}

// checkLost marks tasks as lost whose holder has been unreachable for too long, and
// makes lost tasks of ephemeral jobs ready once their last run has certainly ended.
func (c *Control) checkLost(j *job) {
	for s := range j.steps {
		if !j.in(s, placed, lost) {
			continue
		}
		for i := range j.steps[s] {
			t := &j.steps[s][i]
			if t.phase == placed {
				c.noteRunWith(t.holder)
			}
			if t.phase == placed && !c.reachable(t.holder) {
				if m, ok := c.membership.members.Get(t.holder.Instance); ok && m.id == t.holder && c.now.Sub(later(m.lastSeenAt, t.placed)) > c.config.Timing.holderLossTimeout() {
					c.logGivenUp(j.run(s, i), t.holder, nil, 0, "its holder is silent")
					c.markLost(j, t, c.now)
				}
			}
			if t.phase == lost && j.stored == nil && t.lateStartEndpoint == "" && !c.now.Before(t.endedBy) {
				c.setPhase(j, t, ready)
			}
		}
	}
}

// moveWaiting takes waiting tasks back from their holders when another holder has
// free capacity, unless they are expected to start within minMoveGain. A holder does
// not give up a run that has begun in the meantime.
func (c *Control) moveWaiting(j *job) {
	for s := range j.steps {
		if !j.in(s, placed) {
			continue
		}
		for i := range j.steps[s] {
			t := &j.steps[s][i]
			if t.phase != placed || !t.waiting || t.expectedStart.Sub(c.now) < minMoveGain {
				continue
			}
			if !c.home.ownCapacityFresh {
				c.refreshOwnCapacity()
				c.home.ownCapacityFresh = true
			}
			if offer, ok := c.chooseHolder(j, s, t); ok && offer.wait == 0 && offer.member.id != t.holder {
				t.waiting = false
				c.send(t.holder, &Drop{Runs: []workload.Run{j.run(s, i)}, OnlyWaiting: true})
			}
		}
	}
}

// abandon removes a caller that has gone, and ends an ephemeral job whose last caller
// it was.
func (c *Control) abandon(m Abandon) {
	id, ok := c.home.byHandle[m.Handle]
	if !ok {
		c.abandonLookup(m.Handle)
		return
	}
	delete(c.home.byHandle, m.Handle)
	j, ok := c.home.jobs.Get(id)
	if !ok {
		return
	}
	for i, h := range j.handles {
		if h == m.Handle {
			j.handles = append(j.handles[:i], j.handles[i+1:]...)
			break
		}
	}
	if len(j.handles) == 0 && j.stored == nil {
		c.counters.Abandoned++
		c.close(j, Answer{Status: Cancelled, Reason: "its caller has left"})
	}
}
