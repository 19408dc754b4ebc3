package placement

import (
	"math"
	"time"
)

// The load of the instance itself: how late its control loop runs, and how long what it sends waits
// for its network link.

const (
	// stepsPerJob is how many steps of the control loop a job waits for at least: its submission, its
	// registration and its last end.
	stepsPerJob = 3
	// loopDelayTime is the time over which the delay of the loop is averaged.
	loopDelayTime = 500 * time.Millisecond
	// usualLoopDelay is a delay that timers and the scheduler of an idle machine have.
	usualLoopDelay = 5 * time.Millisecond
)

// loopDelay is the mean of how late the control loop ran lately, weighted by the time that passed.
type loopDelay struct {
	mean time.Duration
	at   time.Time
}

// noteLoopDelay notes how late a step begins.
func (c *Control) noteLoopDelay() {
	o := &c.overload
	if !c.config.OverloadControl || o.nextStep.IsZero() {
		return
	}
	weight := 1 - math.Exp(-float64(c.now.Sub(o.loop.at))/float64(loopDelayTime))
	late := max(0, c.now.Sub(o.nextStep))
	o.loop.mean += time.Duration(weight * float64(late-o.loop.mean))
	o.loop.at = c.now
}

// ownDelay returns by how much this instance itself delays a job.
func (c *Control) ownDelay() time.Duration {
	delay := max(0, c.uplink.freeAt.Sub(c.now))
	if c.overload.loop.mean > usualLoopDelay {
		delay += stepsPerJob * c.overload.loop.mean / 2 // what comes in waits for half of it on average
	}
	return delay
}
