package placement

import (
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/workload"
)

// coldPhase is the slow phase of an endpoint after its start, as its holder sees it. A token
// bucket limits the starts there.
//
// This keeps an invariant: in any time t an endpoint gets at most ColdPerSec*t+coldDepth starts
// while it is cold, whoever holds it. Only its holder starts anything there, and a new holder
// begins with an empty bucket.
type coldPhase struct {
	active  bool
	limited bool      // the service gives a rate
	tokens  float64   // starts that may be ordered now
	filled  time.Time // when tokens were last added
}

// admits reports whether another start may be ordered.
func (p *coldPhase) admits() bool { return !p.active || !p.limited || p.tokens >= 1 }

// coldSlackShare is the share of the slack that starts may use in a row. The rest is for orders
// that the endpoint receives late, together with the next ones.
const coldSlackShare = 0.5

// coldDepth returns the largest number of starts in a row at a cold endpoint.
func (c *Control) coldDepth() float64 { return max(1, c.config.ColdSlack*coldSlackShare) }

// isCold reports whether an endpoint is cold, on its own clock. Without a stated end its cold phase
// lasts as long as its service says, as clocks count from the start of a life, or else until its
// entry changes.
func (c *Control) isCold(e *endpoint, service workload.Service) bool {
	until := e.info.ColdUntil
	if until == workload.ColdEndUnknown && service.ColdStart > 0 {
		until = service.ColdStart
	}
	if until == 0 || until == workload.ColdEndUnknown {
		return until != 0
	}
	clock := e.clock
	if !e.reportReceivedAt.IsZero() {
		clock += time.Duration(float64(c.now.Sub(e.reportReceivedAt)) * (1 - clockDrift))
	}
	return clock < until
}

// updateCold determines whether an endpoint is cold, and refills its bucket. When it becomes cold
// or ceases to be, the speed learned before says little of its present one.
func (c *Control) updateCold(e *endpoint) {
	if c.config.ColdOver <= 0 || c.configuration.inUse == nil {
		return
	}
	p := &e.cold
	service := c.configuration.inUse.Service(e.info.Service)
	cold := c.isCold(e, service)
	if cold != p.active {
		e.speed.discount()
		c.logEvent("endpoint's cold phase changed", e.logFields(zap.Bool("Cold", cold), zap.Duration("Clock", e.clock), zap.Duration("ColdUntil", e.info.ColdUntil),
			zap.Float64("StartsPerSec", service.ColdPerSec), zap.Float64("Speed", e.speed.value()))...)
		*p = coldPhase{active: cold, filled: c.now}
		c.holder.capacityStale, c.holder.queueChanged = true, true
	}
	if !cold {
		return
	}
	admitted := p.admits()
	p.limited = service.ColdPerSec > 0
	p.tokens = min(p.tokens+c.now.Sub(p.filled).Seconds()*service.ColdPerSec, c.coldDepth())
	p.filled = c.now
	if p.admits() != admitted {
		c.holder.capacityStale, c.holder.queueChanged = true, true
	}
}

// noteColdStart takes a start at a cold endpoint out of its bucket. Further copies of the order
// count as the same start: the endpoint carries out one of them.
func (c *Control) noteColdStart(e *endpoint) {
	if !e.cold.active {
		return
	}
	e.cold.tokens--
	c.counters.ColdStarts++
}
