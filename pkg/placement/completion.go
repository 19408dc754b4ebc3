package placement

import (
	"cmp"
	"slices"
	"time"

	"crocusseam/pkg/workload"
)

// plannedStart is a queued run that counts on capacity that is not free yet.
type plannedStart struct {
	endpoint *endpoint
	need     workload.Resources
}

// waitsForFaster reports whether a run that would miss its objective at the best free endpoint waits
// for another one: only if it meets its objective there, from when that one is expected to have
// room. The room is then planned for it, so that no later run of the queue counts on it too.
func (c *Control) waitsForFaster(r *run, d demand) bool {
	var best *endpoint
	var earliest time.Duration
	for name, e := range c.holder.endpoints.All() {
		if e.info.Service != r.request.Service || !e.info.HasLabel(r.request.Label) || !c.usable(e) || !d.need.Fits(e.info.Capacity) ||
			slices.Contains(r.avoid, name) {
			continue
		}
		end := c.roomAfter(e, d.need) + c.demandAt(d, &e.info).expectedAt(e.speed.value())
		if best == nil || end < earliest {
			best, earliest = e, end
		}
	}
	if best == nil || earliest > d.untilObjective {
		return false
	}
	c.holder.plannedStarts = append(c.holder.plannedStarts, plannedStart{best, d.need})
	return true
}

// roomAfter returns after which time an endpoint is expected to have room for a run, beside those
// that are planned there.
func (c *Control) roomAfter(e *endpoint, need workload.Resources) time.Duration {
	free := e.free()
	for _, p := range c.holder.plannedStarts {
		if p.endpoint == e {
			free = free.Sub(p.need)
		}
	}
	if need.Fits(free) {
		return 0
	}
	type end struct {
		rest time.Duration
		need workload.Resources
	}
	ends := make([]end, 0, e.runs.Len())
	for _, r := range e.runs.All() {
		ends = append(ends, end{c.expectedRest(r), r.request.Need})
	}
	slices.SortStableFunc(ends, func(a, b end) int { return cmp.Compare(a.rest, b.rest) })
	for _, x := range ends {
		if free = free.Add(x.need); need.Fits(free) {
			return x.rest
		}
	}
	return maxRoomWait
}

// maxRoomWait stands for the wait at an endpoint whose runs leave no room when they end.
const maxRoomWait = time.Hour
