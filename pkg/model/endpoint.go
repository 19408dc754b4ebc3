package model

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"crocusseam/pkg/placement"
	"crocusseam/pkg/workload"
)

// Endpoint simulates an endpoint. It carries out every valid start order, and
// records a breach if the run exceeds its capacity or if another run of the same
// task is running anywhere.
type Endpoint struct {
	Info   workload.Endpoint
	Up     bool
	Listed bool
	// Hangs makes tasks never end, FailsAll makes all of them fail.
	Hangs    bool
	FailsAll bool
	// LateOrders is the share of orders that the endpoint doesn't answer and
	// carries out LateBy later. LoseAnswers is the share of orders that it carries
	// out at once and whose answer is lost.
	LateOrders  float64
	LateBy      time.Duration
	LoseAnswers float64
	// FormerCalls counts the calls in this incarnation under a token that only former ones had
	// received.
	FormerCalls int

	world        *World
	coldSpeed    float64
	coldFor      time.Duration // after the next start
	clockLag     float64
	speeds       []speedChange // the last one applies to the tasks started now
	startedAt    time.Time
	fence        workload.Token
	formerFence  workload.Token // highest one of former incarnations
	leaseEnd     time.Duration  // on the endpoint's clock
	runs         map[workload.Run]*endpointRun
	highestEnded map[workload.TaskID]int // number of the latest stopped or ended run of each task
	ended        []workload.EndedRun
	endedRuns    map[int64]*endpointRun // by sequence number
	lapsedAt     time.Time              // when the lease last ran out
	sequence     int64
	waiters      []func()
}

// speedChange is the speed of the tasks that an endpoint starts from a time on.
type speedChange struct {
	at    time.Time
	speed float64
}

// SetSpeed changes the speed of the tasks that are started from now on.
func (x *Endpoint) SetSpeed(speed float64) {
	x.speeds = append(x.speeds, speedChange{x.world.Now, speed})
}

// Speed returns the speed of the tasks that are started now.
func (x *Endpoint) Speed() float64 { return x.speeds[len(x.speeds)-1].speed }

// speedAt returns the speed of the tasks that were started at a time.
func (x *Endpoint) speedAt(t time.Time) float64 {
	speed := x.speeds[0].speed
	for _, s := range x.speeds {
		if s.at.After(t) {
			break
		}
		speed = s.speed
	}
	return speed
}

type endpointRun struct {
	id       workload.Run
	endpoint *Endpoint
	born     int64 // incarnation of the endpoint
	token    workload.Token
	need     workload.Resources
	started  time.Time
	length   time.Duration
	stopping bool
	breaches []int // indexes of the breaches that name the run

	// For messages only, like token.
	stopped           time.Time // when the first stop order came
	stopToken         workload.Token
	how               string
	ended             time.Time
	acknowledged      time.Time
	acknowledgedToken workload.Token
}

// String returns what leads to the log lines of a run: its endpoint, its times and the
// tokens of the holders that ordered it.
func (r *endpointRun) String() string {
	w := r.endpoint.world
	text := fmt.Sprintf("run %d on %s (born %d, token %d) started %s", r.id.Number, r.endpoint.Info.ID.Name, r.born, r.token, w.stamp(r.started))
	if !r.stopped.IsZero() {
		text += fmt.Sprintf(", told to stop %s (token %d)", w.stamp(r.stopped), r.stopToken)
	}
	if r.how != "" {
		text += fmt.Sprintf(", %s %s", r.how, w.stamp(r.ended))
	}
	if !r.acknowledged.IsZero() {
		text += fmt.Sprintf(", acknowledged %s (token %d)", w.stamp(r.acknowledged), r.acknowledgedToken)
	}
	return text
}

// end notes how the run ended, also in the breaches that name it.
func (r *endpointRun) end(how string) {
	w := r.endpoint.world
	r.how, r.ended = how, w.Now
	for _, i := range r.breaches {
		w.Breaches[i] += fmt.Sprintf("; %v", r)
	}
}

// AddEndpoint adds an endpoint to a failure domain.
func (w *World) AddEndpoint(domain string, config EndpointConfig) *Endpoint {
	x := &Endpoint{world: w, clockLag: config.ClockLag, speeds: []speedChange{{w.Now, config.Speed}}}
	x.Info = workload.Endpoint{
		ID:      workload.EndpointID{Name: fmt.Sprintf("%s-endpoint-%d", domain, len(w.Endpoints)+1)},
		Service: w.Config.Service, Domain: domain, Capacity: config.Capacity, Address: netip.MustParseAddrPort("127.0.0.1:1"),
	}
	w.Endpoints = append(w.Endpoints, x)
	x.Restart()
	x.coldFor, x.coldSpeed = config.ColdFor, config.ColdSpeed
	return x
}

func (x *Endpoint) location() location { return location{x.Info.ID.Name, x.Info.Domain} }

// Restart starts a new incarnation under the same name, which keeps no state of
// the previous one.
func (x *Endpoint) Restart() {
	x.startedAt = x.world.Now
	x.Info.ID.Born = x.startedAt.UnixMilli()
	x.Up, x.Listed = true, true
	x.Info.ColdUntil = x.coldFor
	x.formerFence, x.FormerCalls = max(x.formerFence, x.fence), 0
	x.fence, x.leaseEnd, x.sequence = 0, 0, 0
	x.runs = make(map[workload.Run]*endpointRun)
	x.highestEnded = make(map[workload.TaskID]int)
	x.ended, x.waiters = nil, nil
	x.endedRuns = make(map[int64]*endpointRun)
}

// World returns the world of the endpoint.
func (x *Endpoint) World() *World { return x.world }

// Life returns when the present incarnation began, and whether it goes on.
func (x *Endpoint) Life() (began time.Time, up bool) { return x.startedAt, x.Up }

// Crash stops the endpoint and all runs on it without reporting their outcomes.
func (x *Endpoint) Crash() {
	x.Up = false
	for _, r := range x.runs {
		r.end("lost in a crash")
	}
	x.runs = make(map[workload.Run]*endpointRun)
	x.waiters = nil
}

func (w *World) endpoint(id workload.EndpointID) *Endpoint {
	for _, x := range w.Endpoints {
		if x.Info.ID.Name == id.Name {
			return x
		}
	}
	return nil
}

// Clock returns the time on the endpoint's monotonic clock, which starts at 0 with
// each incarnation and may run slow.
func (x *Endpoint) Clock() time.Duration {
	return time.Duration(math.Round(float64(x.world.Now.Sub(x.startedAt)) * (1 - x.clockLag)))
}

// Cold reports whether the endpoint is cold now.
func (x *Endpoint) Cold() bool { return x.Clock() < x.Info.ColdUntil }

// untilClock returns how long it takes until the endpoint's clock shows a time.
func (x *Endpoint) untilClock(at time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(at)/(1-x.clockLag))) - x.world.Now.Sub(x.startedAt)
}

// Used returns the resources that the current runs occupy.
func (x *Endpoint) Used() workload.Resources {
	var sum workload.Resources
	for _, r := range x.runs {
		sum = sum.Add(r.need)
	}
	return sum
}

// Runs returns the number of running tasks of a job.
func (x *Endpoint) Runs(job workload.JobID) int {
	n := 0
	for id := range x.runs {
		if id.Task.Job == job {
			n++
		}
	}
	return n
}

// runIDs returns the current runs in a fixed order, which keeps simulations
// reproducible.
func (x *Endpoint) runIDs() []workload.Run {
	return slices.SortedFunc(maps.Keys(x.runs), func(a, b workload.Run) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), a.Task.Step-b.Task.Step, a.Task.Index-b.Task.Index, a.Number-b.Number)
	})
}

// checkFence records a fencing token and reports whether no higher one came before.
func (x *Endpoint) checkFence(token workload.Token) bool {
	if token > 0 && token <= x.formerFence {
		x.FormerCalls++
	}
	if token < x.fence {
		return false
	}
	x.fence = token
	return true
}

// extend extends the lease, to at most one lease term from now.
func (x *Endpoint) extend(leaseEnd time.Duration) {
	x.leaseEnd = max(x.leaseEnd, min(leaseEnd, x.Clock()+x.world.Config.Timing.Lease))
	at := x.leaseEnd
	x.world.After(x.untilClock(at), func() {
		if x.leaseEnd <= x.Clock() {
			x.lapse()
		}
	})
}

// lapse ends all runs, because the holder didn't renew the lease in time.
func (x *Endpoint) lapse() {
	x.lapsedAt = x.world.Now
	for _, id := range x.runIDs() {
		x.endRun(id, workload.Lapsed)
	}
}

// Start carries out a start order, even if it was sent to an earlier incarnation.
func (x *Endpoint) Start(m *placement.Start) placement.OrderOutcome {
	w := x.world
	if !x.Up {
		return placement.Unanswered
	}
	if !x.checkFence(m.Token) {
		return placement.Fenced
	}
	if _, ok := x.runs[m.Run]; ok {
		x.extend(m.Until)
		return placement.Accepted
	}
	if m.Run.Number <= x.highestEnded[m.Run.Task] {
		x.extend(m.Until)
		return placement.TooOld
	}
	if m.Until <= x.Clock() {
		return placement.TooLate
	}
	x.extend(m.Until)
	o, ok := w.Jobs[m.Run.Task.Job]
	if !ok {
		w.breach(fmt.Sprintf("%s was told to start %v, which nobody has submitted", x.Info.ID.Name, m.Run))
		return placement.Malformed
	}
	o.Started = true
	r := &endpointRun{id: m.Run, endpoint: x, born: x.Info.ID.Born, token: m.Token, started: w.Now}
	w.started(o, r)
	w.checkEvacuation(r)
	if w.Config.Started != nil {
		w.Config.Started(x, m)
	}
	s := &o.Job.Steps[m.Run.Task.Step]
	for _, other := range w.Endpoints {
		for id, earlier := range other.runs {
			if id.Task == m.Run.Task {
				i := len(w.Breaches)
				earlier.breaches, r.breaches = append(earlier.breaches, i), append(r.breaches, i)
				w.breach(fmt.Sprintf("task %v runs on %s and was started on %s: %v; %v", id.Task, other.Info.ID.Name, x.Info.ID.Name, earlier, r))
			}
		}
	}
	length := s.Estimate
	if m.Run.Task.Step == 0 && m.Run.Task.Index < len(o.Lengths) {
		length = o.Lengths[m.Run.Task.Index]
	}
	length = time.Duration(float64(length) / x.Speed())
	if x.Cold() {
		length = time.Duration(float64(length) / x.coldSpeed)
	}
	r.need, r.length = s.Need, length
	x.runs[m.Run] = r
	if !x.Used().Fits(x.Info.Capacity) {
		w.breach(fmt.Sprintf("%s is over its capacity: %v of %v", x.Info.ID.Name, x.Used(), x.Info.Capacity))
	}
	outcome := workload.Done
	if x.FailsAll || o.fails {
		outcome, length = workload.Failed, length/4
	}
	id, incarnation := m.Run, x.startedAt
	if !x.Hangs {
		w.After(length, func() {
			if x.startedAt == incarnation && x.runs[id] == r && !r.stopping && !x.Hangs {
				x.endRun(id, outcome)
			}
		})
	}
	return placement.Accepted
}

// Stop carries out a stop order. The run ends after stopTime.
func (x *Endpoint) Stop(m *placement.StopRun) placement.OrderOutcome {
	if !x.Up {
		return placement.Unanswered
	}
	if !x.checkFence(m.Token) {
		return placement.Fenced
	}
	x.highestEnded[m.Run.Task] = max(x.highestEnded[m.Run.Task], m.Run.Number)
	r, ok := x.runs[m.Run]
	if !ok || r.stopping {
		return placement.Accepted
	}
	r.stopping = true
	r.stopped, r.stopToken = x.world.Now, m.Token
	incarnation := x.startedAt
	x.world.After(stopTime, func() {
		if x.startedAt == incarnation && x.runs[m.Run] == r {
			x.endRun(m.Run, workload.Stopped)
		}
	})
	return placement.Accepted
}

func (x *Endpoint) endRun(id workload.Run, how workload.How) {
	r := x.runs[id]
	delete(x.runs, id)
	r.end(how.String())
	x.highestEnded[id.Task] = max(x.highestEnded[id.Task], id.Number)
	x.sequence++
	x.ended = append(x.ended, workload.EndedRun{Sequence: x.sequence, Run: id, How: how})
	x.endedRuns[x.sequence] = r
	if o, ok := x.world.Jobs[id.Task.Job]; ok {
		o.ProcessorSeconds += float64(r.need.MilliCPU) / 1000 * r.ended.Sub(r.started).Seconds()
		switch {
		case how == workload.Done:
			o.finish(id.Task)
		case how == workload.Failed && !o.Job.Ephemeral:
			o.fail(id)
		}
	}
	waiters := x.waiters
	x.waiters = nil
	for _, do := range waiters {
		do()
	}
}

// AcknowledgeAndRenew drops the ended runs up to a sequence number, and extends the
// lease to the time until on the endpoint's clock unless that is 0.
func (x *Endpoint) AcknowledgeAndRenew(token workload.Token, acknowledged int64, until time.Duration) placement.OrderOutcome {
	if !x.Up {
		return placement.Unanswered
	}
	if !x.checkFence(token) {
		return placement.Fenced
	}
	forgotten := 0
	for forgotten < len(x.ended) && x.ended[forgotten].Sequence <= acknowledged {
		forgotten++
	}
	if forgotten > 0 && x.world.Config.Acknowledged != nil {
		x.world.Config.Acknowledged(x, token, x.ended[:forgotten])
	}
	for range forgotten {
		r := x.endedRuns[x.ended[0].Sequence]
		r.acknowledged, r.acknowledgedToken = x.world.Now, token
		x.world.recordAcknowledged(&x.ended[0], r, x.lapsedAt.After(r.ended))
		delete(x.endedRuns, x.ended[0].Sequence)
		x.ended = x.ended[1:]
	}
	if until > 0 {
		x.extend(until)
	}
	return placement.Accepted
}

// OrderIsLate draws whether an order is carried out late and not answered.
func (x *Endpoint) OrderIsLate() bool {
	return x.LateOrders > 0 && x.world.random.Float64() < x.LateOrders
}

// AnswerIsLost draws whether the answer to an order is lost.
func (x *Endpoint) AnswerIsLost() bool {
	return x.LoseAnswers > 0 && x.world.random.Float64() < x.LoseAnswers
}

// WhenEnded calls do once: as soon as there are unacknowledged ended runs, or when
// the wait is over. It does not call it once this incarnation has ended.
func (x *Endpoint) WhenEnded(wait time.Duration, do func()) {
	if len(x.ended) > 0 || wait == 0 {
		do()
		return
	}
	called := false
	once := func() {
		if !called {
			called = true
			do()
		}
	}
	x.waiters = append(x.waiters, once)
	incarnation := x.startedAt
	x.world.After(wait, func() {
		if x.Up && x.startedAt == incarnation {
			once()
		}
	})
}

// Report returns the current runs and the oldest ended runs that are not acknowledged.
func (x *Endpoint) Report() workload.Report {
	r := workload.Report{Clock: x.Clock(), Ended: slices.Clone(x.ended[:min(len(x.ended), workload.MaxReportedEnds)])}
	for _, id := range x.runIDs() {
		run := x.runs[id]
		percent := 0
		if !x.Hangs {
			percent = int(100 * x.world.Now.Sub(run.started) / max(run.length, 1))
		}
		r.Running = append(r.Running, workload.RunningRun{Run: id, Percent: min(percent, 99)})
	}
	return r
}
