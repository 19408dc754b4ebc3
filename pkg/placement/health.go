package placement

import (
	"math"
	"time"

	"crocusseam/pkg/workload"
)

// speedModel learns how fast an endpoint is from run times and their estimates.
// Estimates are off in both directions, so logarithms are averaged.
type speedModel struct {
	samples int
	logSum  float64
}

// Bounds of the learned speed.
const (
	// priorSamples is the weight of the speed 1 that an endpoint is taken to have
	// before anything is known of it.
	priorSamples = 1.5
	maxSamples   = 64 // older ones fade
	// assumedSamples is the weight of a speed that was learned elsewhere.
	inheritedSamples = 8
	minSpeed         = 0.1
	maxSpeed         = 10
)

func (s *speedModel) observe(estimate, elapsed time.Duration) {
	if estimate <= 0 || elapsed <= 0 {
		return
	}
	if s.samples == maxSamples {
		s.logSum -= s.logSum / maxSamples
		s.samples--
	}
	s.samples++
	s.logSum += math.Log(float64(estimate) / float64(elapsed))
}

// assume starts from a speed that another instance or an earlier incarnation has
// learned.
func (s *speedModel) setPrior(speed float64) {
	s.samples = inheritedSamples
	s.logSum = math.Log(speed) * (inheritedSamples + priorSamples)
}

// value is the speed, 1 while nothing is known of it.
func (s *speedModel) value() float64 {
	return min(max(math.Exp(s.logSum/(float64(s.samples)+priorSamples)), minSpeed), maxSpeed)
}

// health tells an endpoint that fails what it starts from jobs that fail
// everywhere.
type health struct {
	failures     int // in a row
	lastJob      workload.JobID
	jobs         int // among them, counting neighbours once
	pausedUntil  time.Time
	ejectedInRow int // times in a row
}

// Figures of ejection.
const (
	failuresToEject = 2                      // in a row; a task has as few as two attempts
	jobsToEject     = 2                      // different ones, as a job may fail everywhere
	firstEjection   = time.Second            // doubles up to maxEjection
	maxEjection     = 8 * time.Second        // about how long endpoints are ill
	refusalPause    = 100 * time.Millisecond // after an order that was turned away
)

// admits reports whether another run may start; after an ejection one at a time
// shows whether the endpoint is well again.
func (h *health) admits(now time.Time, runs int) bool {
	if now.Before(h.pausedUntil) {
		return false
	}
	return h.ejectedInRow == 0 || runs == 0
}

func (h *health) recordSuccess() { *h = health{} }

func (h *health) recordFailure(now time.Time, job workload.JobID) {
	h.failures++
	if job != h.lastJob {
		h.jobs++
		h.lastJob = job
	}
	if h.ejectedInRow > 0 || (h.failures >= failuresToEject && h.jobs >= jobsToEject) {
		h.eject(now)
	}
}

// eject takes the endpoint out of use, for longer each time in a row.
func (h *health) eject(now time.Time) {
	if now.Before(h.pausedUntil) {
		return
	}
	h.pausedUntil = now.Add(min(firstEjection<<min(h.ejectedInRow, 4), maxEjection))
	h.ejectedInRow++
}

// refused notes that the endpoint turned an order away.
func (h *health) recordRefusal(now time.Time) {
	if until := now.Add(refusalPause); until.After(h.pausedUntil) {
		h.pausedUntil = until
	}
}

// learn takes the end of a run into the endpoint's speed and health.
func (e *endpoint) recordOutcome(c *Control, r *run, how workload.How) {
	switch how {
	case workload.Done:
		e.speed.observe(c.estimateAt(r.request.Estimate, r.request.Rack, &e.info), c.now.Sub(r.orderedAt))
		e.health.recordSuccess()
	case workload.Failed:
		e.health.recordFailure(c.now, r.id.Task.Job)
	}
}
