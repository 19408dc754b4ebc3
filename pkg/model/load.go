package model

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"crocusseam/pkg/placement"
	"crocusseam/pkg/workload"
)

// Kind describes one kind of job in a load.
type Kind struct {
	Name     string
	PerSec   float64
	Tasks    float64       // mean of a Poisson distribution; a job has at least 1
	Work     time.Duration // median run time of a task at speed 1
	Spread   float64       // standard deviation of the logarithm of Work
	MilliCPU int
	Priority int
	Worth    float64 // credit for a job that is completed within its objective
	Fails    bool    // every run of its tasks fails, wherever it is
	Stored   bool    // jobs are stored before they are accepted
	Exact    bool    // every job has Tasks tasks
	// EstimateBias multiplies the estimates of all jobs; 0 is none.
	EstimateBias float64
}

// Load describes jobs of several kinds that arrive as Poisson processes.
type Load struct {
	Kinds        []Kind
	Stretch      float64
	Slack        time.Duration
	ExtraTimeout time.Duration // how long callers wait after a job has lost its worth
	Span         time.Duration
	// EstimateError is the standard deviation of the logarithm of a job's estimate
	// around the true value, TaskDeviation that of its tasks' run times around the
	// job's.
	EstimateError float64
	TaskDeviation float64
	// TailShare is the share of the tasks that run TailFactor times as long as others of their
	// job. The objective does not take them into account.
	TailShare  float64
	TailFactor float64
	// Swing is the share by which the demand in each domain rises and falls in a period of
	// SwingPeriod, out of phase with the other domains. Jobs are then submitted to instances
	// of their domain.
	Swing       float64
	SwingPeriod time.Duration
	// ResendAfter is how long callers whose connection broke wait until they submit the
	// job again, while their timeout lasts. With 0 they don't.
	ResendAfter time.Duration
	// Deadline is how long callers wait and the timeout of the routes, whatever the objective;
	// with 0 both follow from the objective and ExtraTimeout.
	Deadline time.Duration
	// EstimateFactor is the largest factor by which a job's estimate is off in either direction,
	// in addition to EstimateError; 0 is none.
	EstimateFactor float64
	// RetryRefused makes refused callers submit the job again after RetryAfter, while their
	// timeout lasts.
	RetryRefused bool
}

// Mix returns the kinds of jobs of a seat booking service: many short jobs of
// several tasks, few long ones. At rate 1 there are on average 79 tasks of 27
// processors running at speed 1.
func Mix(rate float64) []Kind {
	return []Kind{
		{Name: "hold", PerSec: 34.4 * rate, Tasks: 8, Work: 60 * time.Millisecond, Spread: 0.4, MilliCPU: 27000, Priority: 0, Worth: 0.0291},
		{Name: "pay", PerSec: 6.25 * rate, Tasks: 4, Work: 900 * time.Millisecond, Spread: 0.4, MilliCPU: 27000, Priority: 2, Worth: 0.16},
		{Name: "check", PerSec: 100 * rate, Tasks: 2, Work: 200 * time.Millisecond, Spread: 0.4, MilliCPU: 27000, Priority: 1, Worth: 0.01},
	}
}

// StartLoad starts a load. Each of its jobs is submitted to a random instance among
// those that are up.
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
		w.SubmitTo(w.arrivalNode(l), l, k)
		w.scheduleArrival(l, k, end)
	})
}

// arrivalNode draws the instance that the next job of a load is submitted to.
func (w *World) arrivalNode(l *Load) *Node {
	if l.Swing == 0 {
		return w.randomNode()
	}
	demand := make([]float64, len(w.Config.Domains))
	total := 0.0
	for i := range demand {
		phase := 2 * math.Pi * (w.Elapsed().Seconds()/l.SwingPeriod.Seconds() + float64(i)/float64(len(demand)))
		demand[i] = 1 + l.Swing*math.Sin(phase)
		total += demand[i]
	}
	draw, domain := w.random.Float64()*total, 0
	for draw > demand[domain] && domain < len(demand)-1 {
		draw -= demand[domain]
		domain++
	}
	var up []*Node
	for _, n := range w.Nodes {
		if n.Up && n.Domain == w.Config.Domains[domain].Name {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return w.randomNode()
	}
	return up[w.random.IntN(len(up))]
}

// randomNode returns a random instance of those that are up, or of all if none is.
func (w *World) randomNode() *Node { return w.upNode(w.random) }

func (w *World) upNode(random *rand.Rand) *Node {
	var up []*Node
	for _, n := range w.Nodes {
		if n.Up {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		up = w.Nodes
	}
	return up[random.IntN(len(up))]
}

// SubmitTo submits a random job of a kind to an instance.
func (w *World) SubmitTo(n *Node, l *Load, k *Kind) *Outcome {
	j, lengths := w.Draw(l, k)
	route := w.route(l, k)
	objective := time.Duration(float64(slices.Max(lengths))*l.Stretch) + l.Slack
	timeout := cmp.Or(l.Deadline, lateFactor*objective+l.ExtraTimeout)
	w.lengthen(l, lengths)
	o := &Outcome{Job: j, Submitted: w.Now, Kind: k.Name, Worth: k.Worth, Objective: objective, Deadline: timeout, Lengths: lengths, fails: k.Fails}
	if l.RetryRefused {
		o.retry = func(after time.Duration) { w.scheduleRetry(after, o, route) }
	}
	if l.ResendAfter > 0 {
		o.resend = func() { w.scheduleResend(l, o, route, o.Submitted.Add(timeout)) }
	}
	w.Jobs[j.ID] = o
	w.Resubmit(n, o, route, timeout)
	return o
}

// scheduleResend submits a job again after ResendAfter, if its caller still waits then.
func (w *World) scheduleResend(l *Load, o *Outcome, route workload.Route, deadline time.Time) {
	w.After(l.ResendAfter, func() {
		if timeout := deadline.Sub(w.Now); timeout > 0 {
			o.Answered = time.Time{}
			w.Resubmit(w.randomNode(), o, route, timeout)
		}
	})
}

// scheduleRetry submits a refused job again after some time, if its caller still waits then.
func (w *World) scheduleRetry(after time.Duration, o *Outcome, route workload.Route) {
	left := o.Submitted.Add(o.Deadline).Sub(w.Now) - after
	if left <= 0 {
		return
	}
	w.After(after, func() {
		o.Answered = time.Time{}
		w.Resubmit(w.upNode(w.retries), o, route, left)
	})
}

func (w *World) route(l *Load, k *Kind) workload.Route {
	timeout := l.ExtraTimeout
	if l.Deadline > 0 {
		timeout = l.Deadline
	}
	return workload.Route{
		Name: k.Name, Service: w.Config.Service, Stretch: l.Stretch, Slack: l.Slack, Timeout: timeout,
		Priority: k.Priority, MaxAttempts: w.Config.MaxAttempts,
	}
}

// Draw generates a random job of a kind and the true run times of its tasks at
// speed 1.
func (w *World) Draw(l *Load, k *Kind) (*workload.Job, []time.Duration) {
	w.jobs++
	work := float64(k.Work) * math.Exp(w.random.NormFloat64()*k.Spread)
	count := int(k.Tasks)
	if !k.Exact {
		count = max(1, w.poisson(k.Tasks))
	}
	lengths := make([]time.Duration, count)
	for i := range lengths {
		lengths[i] = time.Duration(work * math.Exp(w.random.NormFloat64()*l.TaskDeviation))
	}
	cpu := int(float64(k.MilliCPU) * (0.8 + 0.4*w.random.Float64()))
	estimate := work * math.Exp(w.random.NormFloat64()*l.EstimateError)
	if l.EstimateFactor > 1 {
		estimate *= math.Pow(l.EstimateFactor, 2*w.random.Float64()-1)
	}
	if k.EstimateBias > 0 {
		estimate *= k.EstimateBias
	}
	return &workload.Job{
		ID: workload.JobID(fmt.Sprintf("%x%015x", w.jobs%16, w.jobs)), Ephemeral: !k.Stored,
		Steps: []workload.Step{{
			Count: len(lengths), Estimate: time.Duration(estimate),
			Need: workload.Resources{MilliCPU: cpu, MemoryMB: 64},
		}},
	}, lengths
}

// lengthen makes some tasks take several times as long.
func (w *World) lengthen(l *Load, lengths []time.Duration) {
	if l.TailShare == 0 {
		return
	}
	for i := range lengths {
		if w.random.Float64() < l.TailShare {
			lengths[i] = time.Duration(float64(lengths[i]) * l.TailFactor)
		}
	}
}

// WorstWaits returns the mean wait of the tenth of the completed jobs that has waited longest. A
// job's wait is its time beyond that of its longest task at speed 1.
func (w *World) WorstWaits() time.Duration {
	var waits []time.Duration
	for _, o := range w.Jobs {
		if o.Answer.Status == placement.Completed {
			waits = append(waits, o.Answered.Sub(o.Submitted)-slices.Max(o.Lengths))
		}
	}
	slices.Sort(waits)
	worst := waits[len(waits)-len(waits)/10:]
	sum := time.Duration(0)
	for _, wait := range worst {
		sum += wait
	}
	return sum / time.Duration(max(len(worst), 1))
}

// poisson returns a random number with a Poisson distribution.
func (w *World) poisson(mean float64) int {
	limit, product, n := math.Exp(-mean), w.random.Float64(), 0
	for product > limit {
		product *= w.random.Float64()
		n++
	}
	return n
}

// Credit returns the earned share of the worth of all jobs. A job that is completed
// within its objective earns its whole worth, one that takes up to lateFactor
// times as long earns lateShare of it.
func (w *World) Credit() float64 {
	earned, owed := 0.0, 0.0
	for _, id := range slices.Sorted(maps.Keys(w.Jobs)) { // floating-point sums depend on the order
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

const (
	lateFactor = 3   // a job has lost its worth after this many times its objective
	lateShare  = 0.2 // of the worth, earned by a late job
)
