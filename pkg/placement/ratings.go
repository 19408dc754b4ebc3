package placement

import (
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/workload"
)

// EndpointRating is what this instance makes of an endpoint that it holds, for metrics.
type EndpointRating struct {
	Endpoint   string
	Domain     string
	Service    string
	Speed      float64 // 1 is as fast as estimated
	Samples    int     // runs that the speed rests on
	Capacity   workload.Resources
	Free       workload.Resources
	Runs       int
	Stragglers int
	// Reason says why no run may start there or only one at a time; empty if nothing limits it.
	Reason string
}

// EndpointRatings returns the ratings of the held endpoints.
func (c *Control) EndpointRatings() []EndpointRating {
	list := make([]EndpointRating, 0, c.holder.endpoints.Len())
	for name, e := range c.holder.endpoints.All() {
		r := EndpointRating{
			Endpoint: name, Domain: e.info.Domain, Service: e.info.Service, Speed: roundSpeed(e.speed.value()), Samples: e.speed.samples,
			Capacity: e.info.Capacity, Free: e.free(), Runs: e.runs.Len(), Reason: c.useLimit(e),
		}
		for _, x := range e.runs.All() {
			if c.straggles(x) {
				r.Stragglers++
			}
		}
		list = append(list, r)
	}
	return list
}

// useLimit says why runs may not start at an endpoint, or only one at a time; see usable.
func (c *Control) useLimit(e *endpoint) string {
	_, mayStart := c.holder.registry.Token(e.info.ID.Name)
	switch {
	case c.stop != serving:
		return "the instance is leaving"
	case !mayStart:
		return "it goes to another holder"
	case e.info.Draining:
		return "it is draining"
	case !c.mayStartIn(e.info.Domain):
		return evacuatedCause
	case e.state == verifying:
		return "runs of an earlier holder may be there"
	case e.unresponsive || c.now.Sub(e.reportReceivedAt) >= c.config.Timing.MaxReportAge:
		return "it is silent"
	case e.leaseWithheld || c.leaseEnd(e).Sub(c.now) <= c.config.Timing.Lease/2:
		return "its lease is not renewed"
	case c.now.Before(e.health.pausedUntil) && e.health.ejectedInRow > 0:
		return "it is ejected"
	case c.now.Before(e.health.pausedUntil):
		return "it has refused an order"
	case e.health.ejectedInRow > 0:
		return "it is tried with one run at a time"
	case e.cold.active && e.cold.limited:
		return "it is cold"
	}
	return ""
}

// ratingLogInterval is the shortest time between two lines about the use of an endpoint.
const ratingLogInterval = time.Second

// logUse logs when what limits the use of an endpoint has changed.
func (c *Control) logUse(e *endpoint) {
	if !c.config.AdaptivePlacement || c.now.Sub(e.useLoggedAt) < ratingLogInterval {
		return
	}
	limit := c.useLimit(e)
	if limit == e.loggedUse {
		return
	}
	e.loggedUse, e.useLoggedAt = limit, c.now
	c.logEvent("use of an endpoint has changed", e.logFields(zap.String("Limit", limit), zap.Float64("Speed", roundSpeed(e.speed.value())), zap.Int("Samples", e.speed.samples),
		zap.Int("FreeMilliCPU", e.free().MilliCPU), zap.Int("Runs", e.runs.Len()))...)
}
