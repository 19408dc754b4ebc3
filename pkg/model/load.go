package model

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"crocusseam/pkg/workload"
)

// Kind is a kind of job in a load.
type Kind struct {
	Name     string
	PerSec   float64
	Tasks    float64 // mean number, spread as a Poisson number, at least 1
	Work     time.Duration
	Spread   float64 // of the work, as the deviation of its logarithm
	MilliCPU int
	Priority int
	Worth    float64 // of a job
	Stored   bool    // the job is stored before it is accepted
}

// Load hands in jobs of several kinds at random moments.
type Load struct {
	Kinds        []Kind
	Stretch      float64
	Slack        time.Duration
	ExtraTimeout time.Duration // that callers have beyond the time when an answer is worth something
	Span         time.Duration
	// EstimateError is the deviation of the logarithm of a job's estimate, Uneven
	// that of its tasks' run times from each other.
	EstimateError float64
	TaskDeviation float64
}

// Mix is a load in the proportions of a seat booking service: many short jobs of
// several tasks, few long ones. Rate 1 keeps 79 tasks of 27 processors at work.
func Mix(rate float64) []Kind {
	return []Kind{
		{Name: "hold", PerSec: 34.4 * rate, Tasks: 8, Work: 60 * time.Millisecond, Spread: 0.4, MilliCPU: 27000, Priority: 0, Worth: 0.0291},
		{Name: "pay", PerSec: 6.25 * rate, Tasks: 4, Work: 900 * time.Millisecond, Spread: 0.4, MilliCPU: 27000, Priority: 2, Worth: 0.16},
		{Name: "check", PerSec: 100 * rate, Tasks: 2, Work: 200 * time.Millisecond, Spread: 0.4, MilliCPU: 27000, Priority: 1, Worth: 0.01},
	}
}

// Offer lets the load arrive at the instances that are up, each job at a random
// one.
func (w *World) StartLoad(l Load) {
	end := w.Now.Add(l.Span)
	for i := range l.Kinds {
		w.scheduleArrival(&l, &l.Kinds[i], end)
	}
}

func (w *World) scheduleArrival(l *Load, k *Kind, end time.Time) {
	gap := time.Duration(w.random.ExpFloat64() / k.PerSec * float64(time.Second))
	if w.Now.Add(gap).After(end) {
		return
	}
	w.After(gap, func() {
		w.submitToRandomNode(l, k)
		w.scheduleArrival(l, k, end)
	})
}

func (w *World) submitToRandomNode(l *Load, k *Kind) {
	var up []*Node
	for _, n := range w.Nodes {
		if n.Up {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		up = w.Nodes // nobody answers
	}
	w.SubmitTo(up[w.random.IntN(len(up))], l, k)
}

// SubmitTo hands a job of a kind to an instance.
func (w *World) SubmitTo(n *Node, l *Load, k *Kind) *Outcome {
	j, lengths := w.Draw(l, k)
	route := w.route(l, k)
	objective := time.Duration(float64(slices.Max(lengths))*l.Stretch) + l.Slack
	o := w.Submit(n, j, route, lateFactor*objective+l.ExtraTimeout)
	o.Kind, o.Worth, o.Objective, o.Lengths = k.Name, k.Worth, objective, lengths
	return o
}

func (w *World) route(l *Load, k *Kind) workload.Route {
	return workload.Route{
		Name: k.Name, Service: w.Config.Service, Stretch: l.Stretch, Slack: l.Slack,
		Priority: k.Priority, MaxAttempts: w.Config.MaxAttempts,
	}
}

// Draw draws a job of a kind, and the true lengths of its tasks.
func (w *World) Draw(l *Load, k *Kind) (*workload.Job, []time.Duration) {
	w.jobs++
	work := float64(k.Work) * math.Exp(w.random.NormFloat64()*k.Spread)
	lengths := make([]time.Duration, max(1, w.poisson(k.Tasks)))
	for i := range lengths {
		lengths[i] = time.Duration(work * math.Exp(w.random.NormFloat64()*l.TaskDeviation))
	}
	cpu := int(float64(k.MilliCPU) * (0.8 + 0.4*w.random.Float64()))
	return &workload.Job{
		ID: workload.JobID(fmt.Sprintf("%016x", w.jobs)), Ephemeral: !k.Stored,
		Steps: []workload.Step{{
			Count: len(lengths), Estimate: time.Duration(work * math.Exp(w.random.NormFloat64()*l.EstimateError)),
			Need: workload.Resources{MilliCPU: cpu, MemoryMB: 64},
		}},
	}, lengths
}

func (w *World) poisson(mean float64) int {
	limit, product, n := math.Exp(-mean), w.random.Float64(), 0
	for product > limit {
		product *= w.random.Float64()
		n++
	}
	return n
}

// Credit is the share of the worth of all jobs that was earned: all of it in
// time, a fifth up to three times the objective.
func (w *World) Credit() float64 {
	earned, owed := 0.0, 0.0
	for _, id := range slices.Sorted(maps.Keys(w.Jobs)) { // sums depend on the order
		o := w.Jobs[id]
		owed += o.Worth
		switch {
		case o.InTime():
			earned += o.Worth
		case o.Late():
			earned += o.Worth * lateShare
		}
	}
	return earned / max(owed, 1e-9)
}

// Lateness that is still worth something, and how much.
const (
	lateFactor = 3
	lateShare  = 0.2
)
