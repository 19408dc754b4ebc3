package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"crocusseam/pkg/table"
)

// Adaptive estimates: what tasks of a route and a step's width have taken, against what was
// declared, corrects the declared estimates. Actual run times are scaled to an endpoint of speed 1,
// so that slow endpoints do not count twice.

const (
	// estimatePrior is the weight, in tasks, of declared estimates that are right.
	estimatePrior = 8
	// estimateDecay is the weight that a task keeps with each later one of its kind.
	estimateDecay = 0.998
	// minLogVariance keeps the slope at 0 where all declared estimates are the same.
	minLogVariance = 0.005
	// maxEstimateKinds bounds the kinds of tasks that are observed: those that were seen last.
	maxEstimateKinds = 256
	// maxSharedKinds bounds the kinds in a heartbeat: those of which most tasks were observed.
	maxSharedKinds = 16
	// estimatesPeriod is the time between two heartbeats with estimates to a member. In every
	// heartbeat they made the traffic between failure domains 3.7 times as large among 33 instances.
	estimatesPeriod = 3 * time.Second
	// estimatesGrowth is the growth of the observed tasks after which estimates are sent earlier, so
	// that members learn as fast as this instance does at first.
	estimatesGrowth = 1.1
	// mergePeriod is the time after which the models of other instances are taken in anew.
	mergePeriod = 100 * time.Millisecond
	// maxEstimateTasks bounds the tasks of a model: with estimateDecay they come to 500, which other
	// instances send rounded.
	maxEstimateTasks = 501
	// maxRunTimeLog bounds the logarithms of run times in seconds, and of their ratios.
	maxRunTimeLog = 50
	// maxCorrection is the largest factor by which an estimate is corrected, in either direction.
	maxCorrection = 4
)

// taskKind is a kind of tasks whose estimates are off alike.
type taskKind struct {
	route string
	width int
}

// estimateModel is a linear regression of the logarithm of actual over declared run time on the
// logarithm of the declared one. Where declared estimates scatter around one run time its slope is
// -1, and the corrected estimate is that run time whatever was declared.
type estimateModel struct {
	n, x, ratio, xx, xRatio float64 // decaying sums
	observedAt              time.Time
}

func (m *estimateModel) observe(declared, actual time.Duration) {
	if declared <= 0 || actual <= 0 {
		return
	}
	x := math.Log(declared.Seconds())
	ratio := math.Log(actual.Seconds()) - x
	for _, sum := range []struct {
		of    *float64
		value float64
	}{{&m.n, 1}, {&m.x, x}, {&m.ratio, ratio}, {&m.xx, x * x}, {&m.xRatio, x * ratio}} {
		*sum.of = *sum.of*estimateDecay + sum.value
	}
}

// correct returns the expected run time of a task at an endpoint of speed 1.
func (m *estimateModel) correct(declared time.Duration) time.Duration {
	if m.n < 1 || declared <= 0 {
		return declared
	}
	weight := m.n / (m.n + estimatePrior)
	meanX, meanRatio := m.x/m.n, m.ratio/m.n
	variance := max(0, m.xx/m.n-meanX*meanX)
	slope := min(max((m.xRatio/m.n-meanX*meanRatio)/(variance+minLogVariance), -1), 0)
	log := weight * (meanRatio + slope*(math.Log(declared.Seconds())-meanX))
	limit := math.Log(maxCorrection)
	return time.Duration(float64(declared) * math.Exp(min(max(log, -limit), limit)))
}

func (m *estimateModel) add(o *estimateModel) {
	m.n, m.x, m.ratio, m.xx, m.xRatio = m.n+o.n, m.x+o.x, m.ratio+o.ratio, m.xx+o.xx, m.xRatio+o.xRatio
}

// valid reports whether the sums can be of run times; those of other instances may be anything.
func (m *estimateModel) valid() bool {
	if !(m.n > 0 && m.n <= maxEstimateTasks && m.xx >= 0) { // false for NaN, too
		return false
	}
	for _, mean := range []float64{m.x / m.n, m.ratio / m.n, m.xx / m.n / maxRunTimeLog, m.xRatio / m.n / maxRunTimeLog} {
		if !(math.Abs(mean) <= maxRunTimeLog) {
			return false
		}
	}
	return true
}

// estimates are the models of the kinds of tasks that this home has placed.
type estimates = table.Table[taskKind, *estimateModel]

// observeTask adds a task that is done to the model of its kind. The declared estimate is that of its
// step, work its run time at an endpoint of speed 1.
func (c *Control) observeTask(j *job, step int, work time.Duration) {
	if !c.overloadControlled(j) || work <= 0 {
		return
	}
	kind := taskKind{j.route.Name, j.Steps[step].Count}
	m, ok := c.overload.estimates.Get(kind)
	if !ok {
		if c.overload.estimates.Len() >= maxEstimateKinds {
			c.overload.forgetOldestKind()
		}
		m = &estimateModel{}
		c.overload.estimates.Put(kind, m)
	}
	m.observedAt = c.now
	m.observe(j.Steps[step].Estimate, work)
}

// forgetOldestKind removes the kind of tasks that was observed the longest time ago.
func (o *overload) forgetOldestKind() {
	var oldest taskKind
	var at time.Time
	for k, m := range o.estimates.All() {
		if at.IsZero() || m.observedAt.Before(at) {
			oldest, at = k, m.observedAt
		}
	}
	o.estimates.Delete(oldest)
}

// correctedEstimate returns the expected run time of a step's tasks at an endpoint of speed 1.
func (c *Control) correctedEstimate(j *job, step int) time.Duration {
	declared := j.Steps[step].Estimate
	if m, ok := c.mergedEstimates().Get(taskKind{j.route.Name, j.Steps[step].Count}); ok {
		return m.correct(declared)
	}
	return declared
}

// TaskEstimates are the sums of an estimateModel, for other instances.
type TaskEstimates struct {
	Route                       string
	Width                       int
	Tasks, X, Ratio, XX, XRatio float64
}

// sharedEstimates returns the models of the most frequent kinds of tasks here, as of the last
// mergePeriod: all heartbeats of one time share them.
func (c *Control) sharedEstimates() []TaskEstimates {
	o := &c.overload
	if c.now.Sub(o.sharedAt) < mergePeriod {
		return o.shared
	}
	var list []TaskEstimates
	for k, m := range o.estimates.All() {
		list = append(list, TaskEstimates{k.route, k.width, m.n, m.x, m.ratio, m.xx, m.xRatio})
	}
	slices.SortStableFunc(list, func(a, b TaskEstimates) int { return cmp.Compare(b.Tasks, a.Tasks) })
	o.shared, o.sharedAt = slices.Clone(list[:min(len(list), maxSharedKinds)]), c.now
	return o.shared
}

// addEstimates adds this instance's estimates to a heartbeat, once a period or when they rest on many
// more tasks than those that the member has.
func (c *Control) addEstimates(m *member, b *Heartbeat) {
	shared, tasks := c.sharedEstimates(), 0.0
	for i := range shared {
		tasks += shared[i].Tasks
	}
	if len(shared) == 0 || (c.now.Sub(m.estimatesSentAt) < estimatesPeriod && tasks < m.estimatesSentTasks*estimatesGrowth) {
		return
	}
	b.Estimates, m.estimatesSentAt, m.estimatesSentTasks = shared, c.now, tasks
}

// mergedEstimates returns the models of all instances together.
func (c *Control) mergedEstimates() *estimates {
	o := &c.overload
	if o.merged != nil && c.now.Sub(o.mergedAt) < mergePeriod {
		return o.merged
	}
	o.merged, o.mergedAt = table.New[taskKind, *estimateModel](), c.now
	for k, m := range o.estimates.All() {
		o.merge(k, m)
	}
	for _, m := range c.membership.members.All() {
		if !c.available(m) {
			continue
		}
		for i := range m.heartbeat.Estimates {
			t := &m.heartbeat.Estimates[i]
			o.merge(taskKind{t.Route, t.Width}, &estimateModel{n: t.Tasks, x: t.X, ratio: t.Ratio, xx: t.XX, xRatio: t.XRatio})
		}
	}
	return o.merged
}

func (o *overload) merge(k taskKind, m *estimateModel) {
	if !m.valid() {
		return
	}
	sum, ok := o.merged.Get(k)
	if !ok {
		if o.merged.Len() >= maxEstimateKinds {
			return
		}
		sum = &estimateModel{}
		o.merged.Put(k, sum)
	}
	sum.add(m)
}

// expectedObjective returns the time within which a job should be answered. Callers measure it by the
// time that the job's tasks take, not by the declared one.
func (c *Control) expectedObjective(m *Submit) time.Duration {
	if !c.config.OverloadControl || !m.Job.Ephemeral {
		return m.Route.Objective(m.Job)
	}
	expected := *m.Job
	expected.Steps = slices.Clone(m.Job.Steps)
	for i := range expected.Steps {
		if model, ok := c.mergedEstimates().Get(taskKind{m.Route.Name, expected.Steps[i].Count}); ok {
			expected.Steps[i].Estimate = model.correct(expected.Steps[i].Estimate)
		}
	}
	return m.Route.Objective(&expected)
}

// expected returns the expected run time of a run at an endpoint of speed 1, as its home has
// corrected it.
func (p *PlaceRequest) expected() time.Duration {
	if p.Expected > 0 {
		return p.Expected
	}
	return p.Estimate
}
