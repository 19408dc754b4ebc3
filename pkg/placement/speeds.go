package placement

import (
	"math"
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/workload"
)

// outliers are the last runs of an endpoint, without another one between them, that its speed does
// not explain.
type outliers struct {
	count   int
	logSum  float64 // of the ratios of estimated to actual run time
	lastJob workload.JobID
}

const (
	// recentSamples is the length of the recent average, in runs.
	recentSamples = 4
	// changedRatio is how far the recent speed is from the average when the latter is forgotten.
	// With estimates that are off by up to 1.6 the error of four runs is about 16%.
	changedRatio = 1.45
	// outlierRatio is how far the run time of an outlier is from the expected one. Estimates are
	// off by up to 1.6, and tasks of one job differ.
	outlierRatio = 2.2
	// outlierTime is the least difference of an outlier from its expected time: reports of short
	// tasks are late by as much where an instance is short of processor time.
	outlierTime = 50 * time.Millisecond
	// changedAfter is how many slow outliers in a row, of different jobs, show that the speed has
	// changed. A single one may be a straggler. One fast outlier is enough.
	changedAfter = 2
)

// observeSpeed learns from a completed run. An outlier does not affect the speed, unless the next
// run of another job is one too: then what was learned before is forgotten.
func (c *Control) observeSpeed(e *endpoint, r *run) {
	estimate, elapsed := c.estimateAt(r.request.Estimate, r.request.Rack, &e.info), c.now.Sub(r.orderedAt)
	if !c.adaptive.speeds {
		e.speed.observe(estimate, elapsed)
		return
	}
	if estimate <= 0 || elapsed <= 0 {
		return
	}
	s, o := &e.speed, &e.speed.outliers
	ratio := math.Log(float64(estimate) / float64(elapsed))
	deviation := ratio - s.mean()
	limit := math.Log(outlierRatio)
	late := elapsed - time.Duration(float64(estimate)/s.value())
	if math.Abs(deviation) < limit || late.Abs() < outlierTime {
		*o = outliers{}
		ratio = s.mean() + max(-limit, min(deviation, limit))
		s.add(ratio)
		s.recent += (ratio - s.recent) / recentSamples
		if math.Abs(s.recent-s.mean()) > math.Log(changedRatio) {
			c.forgetSpeed(e, recentSamples, s.recent)
		}
		return
	}
	if o.count > 0 && (deviation > 0) != (o.logSum/float64(o.count) > s.mean()) {
		*o = outliers{}
	}
	if o.count > 0 && o.lastJob == r.id.Task.Job {
		return
	}
	o.count, o.logSum, o.lastJob = o.count+1, o.logSum+ratio, r.id.Task.Job
	if deviation < 0 && o.count < changedAfter {
		return
	}
	c.forgetSpeed(e, o.count, o.logSum/float64(o.count))
}

// forgetSpeed replaces what was learned of an endpoint by its last runs.
func (c *Control) forgetSpeed(e *endpoint, samples int, mean float64) {
	s := &e.speed
	before := s.value()
	s.samples, s.logSum, s.recent, s.outliers = samples, mean*(float64(samples)+priorSamples), mean, outliers{}
	c.logEvent("speed of an endpoint has changed", e.logFields(zap.Float64("Before", before), zap.Float64("Speed", s.value()), zap.Int("Runs", samples))...)
}

// mean returns the logarithm of the speed.
func (s *speedModel) mean() float64 { return s.logSum / (float64(s.samples) + priorSamples) }
