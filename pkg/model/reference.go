package model

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"crocusseam/pkg/workload"
)

// Reference is the credit that one central scheduler earns on the same jobs and
// endpoints. It knows every task's true run time and every endpoint's speed, its
// messages take no time, and nothing ever fails. It is a limit for comparison,
// found by a greedy order: it is not proved to be the best one.
func (w *World) Reference() float64 {
	r := newReference(w)
	for len(r.arrivals) > 0 || len(r.ends) > 0 {
		r.advance()
		r.startTasks()
	}
	return r.credit()
}

// referenceJob is a job with the ends of its tasks.
type referenceJob struct {
	*Outcome
	remaining   int
	lastTaskEnd time.Time
}

// referenceTask is a task that waits.
type referenceTask struct {
	job    *referenceJob
	length time.Duration
	need   workload.Resources
}

// latestStart is when the task must start on a usual endpoint to be in time.
func (t *referenceTask) latestStart() time.Time {
	return t.job.Submitted.Add(t.job.Objective - t.length)
}

type referenceEndpoint struct {
	free  workload.Resources
	speed float64
}

type referenceEnd struct {
	at       time.Time
	endpoint *referenceEndpoint
	task     *referenceTask
}

type referenceEnds []referenceEnd

func (e referenceEnds) Len() int           { return len(e) }
func (e referenceEnds) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e referenceEnds) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *referenceEnds) Push(x any)        { *e = append(*e, x.(referenceEnd)) }
func (e *referenceEnds) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

type reference struct {
	now       time.Time
	arrivals  []*referenceJob // by time
	all       []*referenceJob
	waiting   []*referenceTask
	endpoints []*referenceEndpoint
	ends      referenceEnds
}

func newReference(w *World) *reference {
	r := &reference{}
	for _, x := range w.Endpoints {
		r.endpoints = append(r.endpoints, &referenceEndpoint{free: x.Info.Capacity, speed: x.Speed})
	}
	for _, o := range w.Jobs {
		r.arrivals = append(r.arrivals, &referenceJob{Outcome: o, remaining: o.Job.Tasks()})
	}
	slices.SortFunc(r.arrivals, func(a, b *referenceJob) int {
		return cmp.Or(a.Submitted.Compare(b.Submitted), cmp.Compare(a.Job.ID, b.Job.ID))
	})
	r.all = r.arrivals
	return r
}

// advance goes to the next arrival or end.
func (r *reference) advance() {
	if len(r.arrivals) > 0 && (len(r.ends) == 0 || !r.ends[0].at.Before(r.arrivals[0].Submitted)) {
		j := r.arrivals[0]
		r.arrivals = r.arrivals[1:]
		r.now = j.Submitted
		s := &j.Job.Steps[0]
		for i := range s.Count {
			length := s.Estimate
			if i < len(j.Lengths) {
				length = j.Lengths[i]
			}
			r.waiting = append(r.waiting, &referenceTask{job: j, length: length, need: s.Need})
		}
		return
	}
	e := heap.Pop(&r.ends).(referenceEnd)
	r.now = e.at
	e.endpoint.free = e.endpoint.free.Add(e.task.need)
	e.task.job.remaining--
	e.task.job.lastTaskEnd = e.at
}

// place starts what has room: first what can be in time, by how soon it must
// start.
func (r *reference) startTasks() {
	slices.SortStableFunc(r.waiting, func(a, b *referenceTask) int {
		x, y := a.latestStart(), b.latestStart()
		if lateX, lateY := x.Before(r.now), y.Before(r.now); lateX != lateY {
			if lateX {
				return 1
			}
			return -1
		}
		return x.Compare(y)
	})
	kept := r.waiting[:0]
	for _, t := range r.waiting {
		if r.now.After(t.job.Submitted.Add(lateFactor * t.job.Objective)) {
			continue // of no use any more
		}
		if e := r.best(t); e != nil {
			e.free = e.free.Sub(t.need)
			heap.Push(&r.ends, referenceEnd{r.now.Add(time.Duration(float64(t.length) / e.speed)), e, t})
			continue
		}
		kept = append(kept, t)
	}
	r.waiting = kept
}

// best is the slowest endpoint on which the task is in time, or else the fastest,
// of equal ones that with the least room left over.
func (r *reference) best(t *referenceTask) *referenceEndpoint {
	var best *referenceEndpoint
	bestInTime := false
	due := t.job.Submitted.Add(t.job.Objective)
	for _, e := range r.endpoints {
		if !t.need.Fits(e.free) {
			continue
		}
		inTime := !r.now.Add(time.Duration(float64(t.length) / e.speed)).After(due)
		better := best == nil || inTime && !bestInTime ||
			inTime == bestInTime && (inTime && e.speed < best.speed || !inTime && e.speed > best.speed ||
				e.speed == best.speed && e.free.MilliCPU < best.free.MilliCPU)
		if better {
			best, bestInTime = e, inTime
		}
	}
	return best
}

func (r *reference) credit() float64 {
	earned, owed := 0.0, 0.0
	for _, j := range r.all {
		owed += j.Worth
		switch elapsed := j.lastTaskEnd.Sub(j.Submitted); {
		case j.remaining > 0:
		case elapsed <= j.Objective:
			earned += j.Worth
		case elapsed <= lateFactor*j.Objective:
			earned += j.Worth * lateShare
		}
	}
	return earned / max(owed, 1e-9)
}
