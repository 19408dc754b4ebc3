package routing

import (
	"math"
	"time"
)

// Forgetting and priors of the estimators.
const (
	maxModelSamples   = 500.0 // samples that a run-time model remembers
	modelPriorSamples = 8.0   // samples that the declared run times count for
	slopePriorWeight  = 2.0   // weight of the declared run times' own spread
	maxSpeedSamples   = 24.0  // samples that a speed remembers
	minSpeed          = 1.0 / 256
	maxSpeed          = 256.0
	minRunTime        = 100 * time.Microsecond
)

// RunTimeModel learns, for one kind of task, how true run times follow from
// declared ones: a line in logarithms, fitted with exponential forgetting. With
// declarations that say nothing its slope tends to 0 and it answers with the
// typical run time; with truthful ones the slope stays 1.
type RunTimeModel struct {
	weight float64
	meanX  float64
	meanY  float64
	varX   float64
	cov    float64
}

// Observe learns from a task that was declared to run for declared and took
// measured at an endpoint of the given speed.
func (m *RunTimeModel) Observe(declared, measured time.Duration, speed float64) {
	x := logSeconds(declared)
	y := logSeconds(measured) + math.Log(speed)
	m.weight = math.Min(m.weight+1, maxModelSamples)
	rate := 1 / m.weight
	dx := x - m.meanX
	dy := y - m.meanY
	m.meanX += rate * dx
	m.meanY += rate * dy
	m.varX += rate * (dx*(x-m.meanX) - m.varX)
	m.cov += rate * (dx*(y-m.meanY) - m.cov)
}

// Predict returns the expected run time at speed 1.
func (m *RunTimeModel) Predict(declared time.Duration) time.Duration {
	x := logSeconds(declared)
	prior := modelPriorSamples / (modelPriorSamples + m.weight)
	spread := slopePriorWeight / (1 + m.weight)
	slope := (m.cov + spread) / (m.varX + spread)
	slope = math.Max(0, math.Min(1, slope))
	learned := m.meanY + slope*(x-m.meanX)
	return time.Duration(math.Exp(prior*x+(1-prior)*learned) * float64(time.Second))
}

// SpeedModel learns the speed of one endpoint.
type SpeedModel struct {
	weight  float64
	meanLog float64
}

// Observe learns from a task of expected run time work at speed 1 that took
// measured here.
func (s *SpeedModel) Observe(work, measured time.Duration) {
	s.weight = math.Min(s.weight+1, maxSpeedSamples)
	ratio := logSeconds(work) - logSeconds(measured)
	s.meanLog += (ratio - s.meanLog) / (s.weight + 1)
}

// Lower learns from a task that is still running: the endpoint is at most as
// fast as the elapsed time allows. One slow task alone is a straggler, so the
// bound counts as a single sample.
func (s *SpeedModel) ObserveRunning(work, elapsed time.Duration) {
	if float64(work)/float64(elapsed) < s.Speed() {
		s.Observe(work, elapsed)
	}
}

// EnoughSamples is how many samples make a speed worth relying on.
const EnoughSamples = 3

// Samples returns how many samples the speed was learned from, up to
// EnoughSamples.
func (s *SpeedModel) Samples() int { return int(math.Min(s.weight, EnoughSamples)) }

// Speed returns the learned speed; 1 before anything was learned.
func (s *SpeedModel) Speed() float64 {
	return math.Max(minSpeed, math.Min(maxSpeed, math.Exp(s.meanLog)))
}

func logSeconds(d time.Duration) float64 {
	return math.Log(max(d, minRunTime).Seconds())
}
