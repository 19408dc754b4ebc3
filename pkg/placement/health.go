package placement

import (
	"math"
	"time"

	"crocusseam/pkg/workload"
)

// speedModel estimates an endpoint's speed from the ratio of estimated to actual run
// times. It averages logarithms, because estimates are wrong in both directions.
type speedModel struct {
	samples  int
	logSum   float64
	outliers outliers
	recent   float64 // mean logarithm of the last runs, if speeds are adaptive
}

const (
	// priorSamples is the weight, in runs, of the initial speed of 1.
	priorSamples = 1.5
	maxSamples   = 64 // runs; beyond it the weight of older runs decays
	// inheritedSamples is the weight, in runs, of a speed that another instance or
	// an earlier incarnation has learned.
	inheritedSamples = 8
	minSpeed         = 0.1 // bounds of value; 1 is an endpoint as fast as estimated
	maxSpeed         = 10
)

// observe adds the estimated and the actual duration of a completed run.
func (s *speedModel) observe(estimate, elapsed time.Duration) {
	if estimate > 0 && elapsed > 0 {
		s.add(math.Log(float64(estimate) / float64(elapsed)))
	}
}

// add adds the logarithm of the ratio of estimated to actual duration.
func (s *speedModel) add(ratio float64) {
	if s.samples == maxSamples {
		s.logSum -= s.logSum / maxSamples
		s.samples--
	}
	s.samples++
	s.logSum += ratio
}

// setPrior starts from a speed that another instance or an earlier incarnation has
// learned.
func (s *speedModel) setPrior(speed float64) {
	s.samples = inheritedSamples
	s.logSum = math.Log(speed) * (inheritedSamples + priorSamples)
	s.recent = math.Log(speed)
}

// discount weighs what was learned before as little as an inherited speed.
func (s *speedModel) discount() {
	if s.samples > inheritedSamples {
		s.logSum *= (inheritedSamples + priorSamples) / (float64(s.samples) + priorSamples)
		s.samples = inheritedSamples
	}
}

// value returns the speed, 1 while no run has been observed.
func (s *speedModel) value() float64 {
	return min(max(math.Exp(s.logSum/(float64(s.samples)+priorSamples)), minSpeed), maxSpeed)
}

// health decides when an endpoint is taken out of use after failed runs. It counts
// different jobs, as a job may fail at every endpoint.
type health struct {
	failures     int // in a row
	lastJob      workload.JobID
	jobs         int // in these failures, counting each job once per uninterrupted series
	pausedUntil  time.Time
	ejectedInRow int // ejections since the last successful run
}

const (
	failuresToEject = 2                      // failures in a row; a task may have only two attempts
	jobsToEject     = 2                      // different jobs among them, as a job may fail at every endpoint
	firstEjection   = time.Second            // doubles with each ejection in a row
	maxEjection     = 8 * time.Second        // about as long as endpoints stay unhealthy
	refusalPause    = 100 * time.Millisecond // without new runs after the endpoint refused an order
)

// admits reports whether another run may start at an endpoint with this number of
// runs. After an ejection it admits one run at a time until one succeeds.
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

// eject takes the endpoint out of use, for twice as long with each ejection in a row.
func (h *health) eject(now time.Time) {
	if now.Before(h.pausedUntil) {
		return
	}
	h.pausedUntil = now.Add(min(firstEjection<<min(h.ejectedInRow, 4), maxEjection))
	h.ejectedInRow++
}

// recordRefusal pauses the endpoint after it refused an order.
func (h *health) recordRefusal(now time.Time) {
	if pausedUntil := now.Add(refusalPause); pausedUntil.After(h.pausedUntil) {
		h.pausedUntil = pausedUntil
	}
}

// recordOutcome updates the endpoint's speed and health with the outcome of a run.
func (e *endpoint) recordOutcome(c *Control, r *run, how workload.How) {
	switch how {
	case workload.Done:
		c.observeSpeed(e, r)
		e.health.recordSuccess()
	case workload.Failed:
		c.noteFailure(e, r.id.Task.Job)
	}
}
