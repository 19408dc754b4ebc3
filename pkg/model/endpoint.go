package model

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"crocusseam/pkg/placement"
	"crocusseam/pkg/workload"
)

// Endpoint is an endpoint that starts whatever it is told to: a start over its
// capacity, or a second run of a task beside one elsewhere, is a breach.
type Endpoint struct {
	Info   workload.Endpoint
	Up     bool
	Listed bool
	Speed  float64
	// Hangs lets tasks stand still, FailsAll lets all of them fail.
	Hangs    bool
	FailsAll bool
	// LateOrders is the share of orders that get no answer and are carried out
	// LateBy later, LoseAnswers the share whose answer is lost.
	LateOrders  float64
	LateBy      time.Duration
	LoseAnswers float64

	world        *World
	startedAt    time.Time
	fence        workload.Token
	leaseEnd     time.Duration // end of the lease on its clock
	runs         map[workload.Run]*endpointRun
	highestEnded map[workload.TaskID]int // highest run stopped or ended
	ended        []workload.EndedRun
	endedAt      map[int64]time.Time // by sequence
	lapsedAt     time.Time           // when the lease last ran out
	sequence     int64
	waiters      []func()
}

type endpointRun struct {
	need     workload.Resources
	started  time.Time
	length   time.Duration
	stopping bool
}

// AddEndpoint adds an endpoint to a failure domain.
func (w *World) AddEndpoint(domain string, config EndpointConfig) *Endpoint {
	x := &Endpoint{world: w, Speed: config.Speed}
	x.Info = workload.Endpoint{
		ID:      workload.EndpointID{Name: fmt.Sprintf("%s-endpoint-%d", domain, len(w.Endpoints)+1)},
		Service: w.Config.Service, Domain: domain, Capacity: config.Capacity, Address: netip.MustParseAddrPort("127.0.0.1:1"),
	}
	w.Endpoints = append(w.Endpoints, x)
	x.Restart()
	return x
}

func (x *Endpoint) location() location { return location{x.Info.ID.Name, x.Info.Domain} }

// Restart begins a new life under the same name, in which nothing is known of
// before.
func (x *Endpoint) Restart() {
	x.startedAt = x.world.Now
	x.Info.ID.Born = x.startedAt.UnixMilli()
	x.Up, x.Listed = true, true
	x.fence, x.leaseEnd, x.sequence = 0, 0, 0
	x.runs = make(map[workload.Run]*endpointRun)
	x.highestEnded = make(map[workload.TaskID]int)
	x.ended, x.waiters = nil, nil
	x.endedAt = make(map[int64]time.Time)
}

// Crash ends the endpoint with everything that runs on it.
func (x *Endpoint) Crash() {
	x.Up = false
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

// Clock is the endpoint's steady clock.
func (x *Endpoint) Clock() time.Duration { return x.world.Now.Sub(x.startedAt) }

// Used is the room that runs take.
func (x *Endpoint) Used() workload.Resources {
	var sum workload.Resources
	for _, r := range x.runs {
		sum = sum.Add(r.need)
	}
	return sum
}

// ids returns what runs in a fixed order.
func (x *Endpoint) runIDs() []workload.Run {
	return slices.SortedFunc(maps.Keys(x.runs), func(a, b workload.Run) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), a.Task.Step-b.Task.Step, a.Task.Index-b.Task.Index, a.Number-b.Number)
	})
}

func (x *Endpoint) checkFence(token workload.Token) bool {
	if token < x.fence {
		return false
	}
	x.fence = token
	return true
}

func (x *Endpoint) extend(until time.Duration) {
	x.leaseEnd = max(x.leaseEnd, min(until, x.Clock()+x.world.Config.Timing.Lease))
	at := x.leaseEnd
	x.world.After(at-x.Clock(), func() {
		if x.leaseEnd <= x.Clock() {
			x.lapse()
		}
	})
}

func (x *Endpoint) lapse() {
	x.lapsedAt = x.world.Now
	for _, id := range x.runIDs() {
		x.endRun(id, workload.Lapsed)
	}
}

// Start carries out a start order, also one that was meant for an earlier life.
func (x *Endpoint) Start(m *placement.Start) placement.OrderOutcome {
	w := x.world
	if !x.Up {
		return placement.Unanswered
	}
	if !x.checkFence(m.Token) {
		return placement.Fenced
	}
	if _, ok := x.runs[m.Run]; ok {
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
	w.started(o, m.Run)
	s := &o.Job.Steps[m.Run.Task.Step]
	for _, other := range w.Endpoints {
		for id := range other.runs {
			if id.Task == m.Run.Task {
				w.breach(fmt.Sprintf("task %v runs on %s and was started on %s", id.Task, other.Info.ID.Name, x.Info.ID.Name))
			}
		}
	}
	length := s.Estimate
	if m.Run.Task.Step == 0 && m.Run.Task.Index < len(o.Lengths) {
		length = o.Lengths[m.Run.Task.Index]
	}
	length = time.Duration(float64(length) / x.Speed)
	x.runs[m.Run] = &endpointRun{need: s.Need, started: w.Now, length: length}
	if !x.Used().Fits(x.Info.Capacity) {
		w.breach(fmt.Sprintf("%s is over its capacity: %v of %v", x.Info.ID.Name, x.Used(), x.Info.Capacity))
	}
	how := workload.Done
	if x.FailsAll {
		how, length = workload.Failed, length/4
	}
	r := x.runs[m.Run]
	id, life := m.Run, x.startedAt
	if !x.Hangs {
		w.After(length, func() {
			if x.startedAt == life && x.runs[id] == r && !r.stopping && !x.Hangs {
				x.endRun(id, how)
			}
		})
	}
	return placement.Accepted
}

// Stop carries out a stop order.
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
	life := x.startedAt
	x.world.After(stopTime, func() {
		if x.startedAt == life && x.runs[m.Run] == r {
			x.endRun(m.Run, workload.Stopped)
		}
	})
	return placement.Accepted
}

func (x *Endpoint) endRun(id workload.Run, how workload.How) {
	delete(x.runs, id)
	x.highestEnded[id.Task] = max(x.highestEnded[id.Task], id.Number)
	x.sequence++
	x.ended = append(x.ended, workload.EndedRun{Sequence: x.sequence, Run: id, How: how})
	x.endedAt[x.sequence] = x.world.Now
	if o, ok := x.world.Jobs[id.Task.Job]; ok && how == workload.Done {
		o.finish(id.Task)
	}
	waiters := x.waiters
	x.waiters = nil
	for _, do := range waiters {
		do()
	}
}

// Hold acknowledges ends up to seen, and renews the lease of what runs until
// that time on the endpoint's clock unless it is 0.
func (x *Endpoint) AcknowledgeAndRenew(token workload.Token, seen int64, until time.Duration) placement.OrderOutcome {
	if !x.Up {
		return placement.Unanswered
	}
	if !x.checkFence(token) {
		return placement.Fenced
	}
	for len(x.ended) > 0 && x.ended[0].Sequence <= seen {
		x.world.recordAcknowledged(&x.ended[0], x.lapsedAt.After(x.endedAt[x.ended[0].Sequence]))
		delete(x.endedAt, x.ended[0].Sequence)
		x.ended = x.ended[1:]
	}
	if until > 0 {
		x.extend(until)
	}
	return placement.Accepted
}

// WhenEnded calls back once, when something has ended or the wait is over.
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
	x.world.After(wait, once)
}

// Report lists what runs and what has ended.
func (x *Endpoint) Report() workload.Report {
	r := workload.Report{Clock: x.Clock(), Ended: append([]workload.EndedRun(nil), x.ended...)}
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
