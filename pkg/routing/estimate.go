package routing

import (
	"math"
	"time"
)

const (
	maxModelSamples   = 500.0 // effective number of samples in a run-time model; older ones fade out
	modelPriorSamples = 8.0   // weight of the declared run time in a prediction, in samples
	slopePriorWeight  = 2.0   // weight, in samples, of the prior that the slope is 1
	maxSpeedSamples   = 24.0  // effective number of samples in a speed model; older ones fade out
	minSpeed          = 1.0 / 256
	maxSpeed          = 256.0
	minRunTime        = 100 * time.Microsecond // shorter run times count as this
)

// RunTimeModel predicts, for one kind of task, true run times from declared ones.
// It fits a line to the logarithms of both, with exponential forgetting. If the
// declared run times carry no information, the slope tends to 0 and the model
// predicts the typical run time; if they are proportional to the true ones, the
// slope is 1.
type RunTimeModel struct {
	weight float64 // number of samples, at most maxModelSamples
	meanX  float64
	meanY  float64
	varX   float64
	cov    float64
}

// Observe adds a task with the declared run time, which took the measured time on
// an endpoint of the given speed.
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

// SpeedModel estimates the speed of one endpoint from the run times of its tasks,
// with exponential forgetting.
type SpeedModel struct {
	weight  float64 // number of samples, at most maxSpeedSamples
	meanLog float64 // mean logarithm of the speed; a prior speed of 1 counts as one sample
}

// Observe adds a task with an expected run time of work at speed 1, which took the
// measured time on this endpoint.
func (s *SpeedModel) Observe(work, measured time.Duration) {
	s.weight = math.Min(s.weight+1, maxSpeedSamples)
	ratio := logSeconds(work) - logSeconds(measured)
	s.meanLog += (ratio - s.meanLog) / (s.weight + 1)
}

// ObserveRunning lowers the speed if a task that is still running after the elapsed
// time shows that the estimate is too high. That task alone may be a straggler, so
// the upper bound that it gives counts as a single sample.
func (s *SpeedModel) ObserveRunning(work, elapsed time.Duration) {
	if float64(work)/float64(elapsed) < s.Speed() {
		s.Observe(work, elapsed)
	}
}

// EnoughSamples is the number of samples from which on a speed is reliable.
const EnoughSamples = 3

// Samples returns the number of samples behind the speed, at most EnoughSamples.
func (s *SpeedModel) Samples() int { return int(math.Min(s.weight, EnoughSamples)) }

// Speed returns the estimated speed, or 1 if there are no samples.
func (s *SpeedModel) Speed() float64 {
	return math.Max(minSpeed, math.Min(maxSpeed, math.Exp(s.meanLog)))
}

func logSeconds(d time.Duration) float64 {
	return math.Log(max(d, minRunTime).Seconds())
}
