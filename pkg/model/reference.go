package model

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"crocusseam/pkg/workload"
)

// Reference returns the credit that a central scheduler would earn with the same
// jobs and endpoints. The scheduler knows every task's true run time and every
// endpoint's present speed, its messages take no time, and nothing fails. The value
// serves for comparison; the scheduler is greedy and not proved to be optimal.
func (w *World) Reference() float64 {
	r := newReference(w)
	for len(r.arrivals) > 0 || len(r.ends) > 0 {
		r.advance()
		r.startTasks()
	}
	return r.credit()
}

// referenceJob is a job with the number of its unfinished tasks and the time when
// the last one finished.
type referenceJob struct {
	*Outcome
	remaining   int
	lastTaskEnd time.Time
}

// referenceTask is a task that waits or runs.
type referenceTask struct {
	job    *referenceJob
	length time.Duration
	need   workload.Resources
}

// latestStart returns when the task must start on an endpoint of speed 1 for the
// job to meet its objective.
func (t *referenceTask) latestStart() time.Time {
	return t.job.Submitted.Add(t.job.Objective - t.length)
}

type referenceEndpoint struct {
	*Endpoint
	free  workload.Resources
	speed float64 // at the present time
}

type referenceEnd struct {
	at       time.Time
	endpoint *referenceEndpoint
	task     *referenceTask
}

// referenceEnds is a heap of the ends of running tasks, the earliest first.
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
	arrivals  []*referenceJob // not yet arrived, by submission time
	all       []*referenceJob
	waiting   []*referenceTask
	endpoints []*referenceEndpoint
	ends      referenceEnds
}

func newReference(w *World) *reference {
	r := &reference{}
	for _, x := range w.Endpoints {
		r.endpoints = append(r.endpoints, &referenceEndpoint{Endpoint: x, free: x.Info.Capacity})
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

// advance moves the time to the next arrival of a job or end of a task.
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

// startTasks starts the waiting tasks that fit an endpoint: first those that can
// still meet their objective, by latest start.
func (r *reference) startTasks() {
	for _, e := range r.endpoints {
		e.speed = e.speedAt(r.now)
	}
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
			continue // the job has lost its worth
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

// best returns the slowest endpoint on which the task meets the job's objective,
// otherwise the fastest one. Among equally fast endpoints it returns the one with
// the fewest free processors. It returns nil if the task fits none.
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
