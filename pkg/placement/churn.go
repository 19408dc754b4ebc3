package placement

import (
	"time"

	"crocusseam/pkg/workload"
)

const (
	// maxEjectedShare is the share of the held endpoints of a service in a domain that may be
	// ejected at a time because runs failed there. Where more fail, the cause is likely the jobs.
	// Others are left for refusalPause.
	maxEjectedShare = 0.3
	// returnFactor shortens the time until an ejected endpoint is tried again, one run at a time: it
	// begins at 0.15 s. With 0.3 credit was 0.672 instead of 0.696 while endpoints crashed in turn.
	returnFactor = 0.15
)

// noteFailure records a failed run at an endpoint.
func (c *Control) noteFailure(e *endpoint, job workload.JobID) {
	before := e.health.pausedUntil
	e.health.recordFailure(c.now, job)
	if e.health.pausedUntil.Equal(before) {
		return
	}
	if c.adaptive.quickReturn {
		e.health.pausedUntil = c.now.Add(time.Duration(float64(e.health.pausedUntil.Sub(c.now)) * returnFactor))
	}
	c.limitEjection(e)
}

// noteStall records that a run at an endpoint made no progress.
func (c *Control) noteStall(e *endpoint) {
	e.health.eject(c.now)
	c.limitEjection(e)
}

// limitEjection lets an ejected endpoint be tried again soon if too many others are ejected.
//
// This keeps an invariant: of the endpoints of a service in a domain, a holder has at most
// maxEjectedShare, or one, out of use for failures for longer than refusalPause.
func (c *Control) limitEjection(e *endpoint) {
	if c.adaptive.ejectedShare && c.tooManyEjected(e) {
		e.health.pausedUntil = earlier(e.health.pausedUntil, c.now.Add(refusalPause))
		c.counters.EjectionsLimited++
	}
}

// tooManyEjected reports whether more endpoints like this one are ejected than may be, with it.
func (c *Control) tooManyEjected(e *endpoint) bool {
	all, ejected := 0.0, 0.0
	for _, o := range c.holder.endpoints.All() {
		if o.info.Domain != e.info.Domain || o.info.Service != e.info.Service || o.state != active {
			continue
		}
		all++
		if o.health.ejectedInRow > 0 && c.now.Before(o.health.pausedUntil) {
			ejected++
		}
	}
	return ejected > max(1, maxEjectedShare*all)
}
