package placement

import (
	"time"

	"crocusseam/pkg/workload"
)

const (
	// stragglerFactor is the multiple of its expected run time beyond which a run counts as a
	// straggler: estimates are off by up to 1.6, and speeds are learned from them.
	stragglerFactor = 2.0
	// minTrustedPercent is the least progress that tells how long a run takes.
	minTrustedPercent = 3
	// slowPercents is how many percents a run may fall behind its progress so far until it counts as
	// one without progress.
	slowPercents = 5
)

// expectedTime returns how long a run is expected to take, by its estimate.
func (c *Control) expectedTime(r *run) time.Duration {
	return time.Duration(float64(c.estimateAt(r.request.Estimate, r.request.Rack, &r.endpoint.info)) / r.endpoint.speed.value())
}

// straggles reports whether a started run has outlived what its kind explains.
func (c *Control) straggles(r *run) bool {
	return c.adaptive.tails && c.now.Sub(r.orderedAt) > time.Duration(stragglerFactor*float64(c.expectedTime(r)))
}

// expectedRest returns how much longer a started run is expected to take. Beyond its expected time
// its progress tells, or else its age: what has taken long takes as much longer again.
func (c *Control) expectedRest(r *run) time.Duration {
	age := c.now.Sub(r.orderedAt)
	if !c.adaptive.tails {
		return time.Duration(float64(r.request.Estimate)/r.endpoint.speed.value()) - age
	}
	expected := c.expectedTime(r)
	if r.percent >= minTrustedPercent {
		expected = r.percentAt.Sub(r.orderedAt) * 100 / time.Duration(r.percent)
	} else if c.straggles(r) {
		return age
	}
	return max(expected-age, minRemainingTime)
}

// slowProgress returns how long a run that makes slow progress may show no new percentage.
func (c *Control) slowProgress(r *run) time.Duration {
	if !c.adaptive.tails || r.percent == 0 {
		return 0
	}
	return r.percentAt.Sub(r.orderedAt) * slowPercents / time.Duration(r.percent)
}

// availableCapacity returns the capacity that queued work can count on: that of the endpoints in use
// without what stragglers occupy.
func (c *Control) availableCapacity() workload.Resources {
	available := c.holder.totalCapacity
	if !c.adaptive.tails {
		return available
	}
	var held workload.Resources
	for _, r := range c.holder.runs.All() {
		if r.endpoint != nil && r.state != finished && c.straggles(r) {
			held = held.Add(r.request.Need)
		}
	}
	available.MilliCPU = max(available.MilliCPU-held.MilliCPU, minFreeMilliCPU)
	return available
}
