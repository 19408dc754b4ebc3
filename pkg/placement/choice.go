package placement

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/workload"
)

// offer is a holder that a task may be placed with.
type candidate struct {
	member        *member
	capacityIndex int           // the index of the room, or noRoom
	wait          time.Duration // until the task is expected to start; 0 with room
}

const noFreeCapacity = -1

// reserve notes in the view of the holder that a task is placed there.
func (o candidate) reserve(s *workload.Step) {
	m := o.member
	m.pending = append(m.pending, pendingTask{sequence: m.sequence + 1, need: s.Need, estimate: s.Estimate})
	if o.capacityIndex == noFreeCapacity {
		m.backlog += cpuTime(s.Need, s.Estimate)
		return
	}
	m.freeCapacity[o.capacityIndex].Free = m.freeCapacity[o.capacityIndex].Free.Sub(s.Need)
}

// Figures of the choice of a place.
const (
	interDomainDelay = time.Millisecond
	// estimateMargin is kept between the expected end and the objective, as
	// speeds are learned from estimates that are off.
	estimateMargin = 1.15
	// optimism is the share of its estimate that a task may take on a fast
	// endpoint when the estimate is too long. Only what could not end in time
	// even so is refused.
	bestCaseShare = 0.5
)

// demand is what the choice looks at.
type demand struct {
	need           workload.Resources
	estimate       time.Duration
	untilObjective time.Duration // until the objective
	rack           string        // where the data lies, or empty
}

// at is the demand at an endpoint: away from its data a task takes longer.
func (c *Control) demandAt(d demand, e *workload.Endpoint) demand {
	d.estimate = c.estimateAt(d.estimate, d.rack, e)
	return d
}

func (c *Control) estimateAt(estimate time.Duration, rack string, e *workload.Endpoint) time.Duration {
	if e.HasLabel(rack) || c.config.FarFactor <= 1 {
		return estimate
	}
	return time.Duration(float64(estimate) * c.config.FarFactor)
}

// atUsualSpeed is how long the task is expected to take on a usual endpoint.
func (d demand) atUsualSpeed() time.Duration {
	return time.Duration(float64(d.estimate) * estimateMargin)
}

// fit rates the room at an endpoint for a task.
type fit struct {
	inTime   bool
	far      bool // in another failure domain
	speed    float64
	leftover int
}

func rateFit(d demand, r *FreeCapacity, far bool) fit {
	hop := time.Duration(0)
	if far {
		hop = interDomainDelay
	}
	expected := time.Duration(float64(d.estimate) / r.Speed * estimateMargin)
	return fit{inTime: expected+hop <= d.untilObjective, far: far, speed: r.Speed, leftover: r.Free.Sub(d.need).MilliCPU}
}

// betterThan prefers an endpoint where the task meets its objective, then one of
// this failure domain, then a faster one, and of equal ones that with the least
// room left over.
func (f fit) betterThan(other fit) bool {
	switch {
	case f.inTime != other.inTime:
		return f.inTime
	case f.far != other.far:
		return !f.far
	case !similarSpeed(f.speed, other.speed):
		return f.speed > other.speed
	}
	return f.leftover < other.leftover
}

// speedStep is the ratio below which two speeds count as the same.
const sameSpeedRatio = 1.2

func similarSpeed(a, b float64) bool { return a < b*sameSpeedRatio && b < a*sameSpeedRatio }

// choose finds a holder for a task: one with room, or else the one where the
// task is expected to start first.
func (c *Control) chooseHolder(j *job, step int, t *task) (candidate, bool) {
	s := &j.Steps[step]
	d := demand{need: s.Need, estimate: s.Estimate, untilObjective: j.objective.Sub(c.now), rack: s.Rack}
	var best fit
	var bestMember *member
	bestRoom := -1
	for m, rooms := range c.allFreeCapacity() {
		far := m.id != c.self && m.row.Domain != c.config.Domain
		for i := range rooms {
			r := &rooms[i]
			e, ok := c.suitableEndpoint(r.Endpoint, j.route.Service, s.Label)
			if !ok || !s.Need.Fits(r.Free) || avoids(t, r.Endpoint) {
				continue
			}
			if f := rateFit(c.demandAt(d, e), r, far); bestRoom < 0 || f.betterThan(best) {
				best, bestMember, bestRoom = f, m, i
			}
		}
	}
	if bestRoom >= 0 && !best.inTime {
		if o, ok := c.shortestWait(j.route, s); ok && o.wait+d.atUsualSpeed() <= d.untilObjective {
			return o, true
		}
	}
	if bestRoom >= 0 {
		return candidate{member: bestMember, capacityIndex: bestRoom}, true
	}
	return c.shortestWait(j.route, s)
}

func avoids(t *task, endpoint string) bool {
	for _, a := range t.avoid {
		if a == endpoint {
			return true
		}
	}
	return false
}

// suitable returns an endpoint if it belongs to the service and has the label.
func (c *Control) suitableEndpoint(endpoint, service, label string) (*workload.Endpoint, bool) {
	e, ok := c.holder.listed.Get(endpoint)
	return e, ok && e.Service == service && !e.Draining && e.HasLabel(label)
}

// refreshOwn brings the home's view of this instance's own endpoints up to date.
// Like the view of a member it then shrinks with each task that is placed.
func (c *Control) refreshOwnCapacity() {
	own := &c.home.own
	own.id = c.self
	own.advert = &Advert{Waits: c.ownWaits(), Total: c.holder.totalCapacity}
	own.freeCapacity = append(own.freeCapacity[:0], c.ownFreeCapacity()...)
	own.pending, own.backlog = own.pending[:0], 0
}

// allRooms yields the rooms of this instance, as last refreshed, and of every
// member that it hears and whose advert is fresh.
func (c *Control) allFreeCapacity() func(yield func(*member, []FreeCapacity) bool) {
	return func(yield func(*member, []FreeCapacity) bool) {
		if c.stop == serving && !yield(&c.home.own, c.home.own.freeCapacity) {
			return
		}
		for _, m := range c.membership.members.All() {
			if !c.hasValidAdvert(m) {
				continue
			}
			if !yield(m, m.freeCapacity) {
				return
			}
		}
	}
}

// offers reports whether a member's advert can be relied on: it is the last one
// of a session on which the member is heard.
func (c *Control) hasValidAdvert(m *member) bool {
	return c.available(m) && m.advert != nil
}

func (c *Control) anyCapacity() bool {
	if c.holder.active > 0 {
		return true
	}
	for _, m := range c.membership.members.All() {
		if c.hasValidAdvert(m) && m.advert.Total.MilliCPU > 0 {
			return true
		}
	}
	return false
}

// shortestWait finds the holder where a task that fits nowhere now starts first.
func (c *Control) shortestWait(route workload.Route, s *workload.Step) (candidate, bool) {
	var best *member
	var shortest time.Duration
	consider := func(m *member, hop time.Duration) {
		wait := max(m.advert.Waits.forPriority(route.Priority)+m.backlogWait()+hop, time.Nanosecond)
		if s.Need.Fits(m.advert.Total) && (best == nil || wait < shortest) {
			best, shortest = m, wait
		}
	}
	if c.stop == serving && c.holdsService(route.Service) {
		consider(&c.home.own, 0)
	}
	for _, m := range c.membership.members.All() {
		switch {
		case !c.hasValidAdvert(m):
		case m.row.Domain == c.config.Domain:
			consider(m, 0)
		default:
			consider(m, interDomainDelay)
		}
	}
	if best == nil {
		return candidate{}, false
	}
	return candidate{member: best, capacityIndex: noFreeCapacity, wait: shortest}, true
}

func (c *Control) holdsService(service string) bool {
	for _, e := range c.holder.endpoints.All() {
		if e.info.Service == service && e.state == active {
			return true
		}
	}
	return false
}

// coreTime is work in thousandths of a processor times time.
func cpuTime(need workload.Resources, estimate time.Duration) float64 {
	return float64(need.MilliCPU) * estimate.Seconds()
}

// backlogWait is the wait for what this instance has placed beyond the room of
// a member's last advert.
func (m *member) backlogWait() time.Duration {
	if m.advert.Total.MilliCPU == 0 {
		return 0
	}
	return time.Duration(m.backlog / float64(m.advert.Total.MilliCPU) * float64(time.Second))
}

// pendingTask is a task placed with a member that its adverts do not yet show.
type pendingTask struct {
	sequence uint64
	need     workload.Resources
	estimate time.Duration
}

// advertised takes a member's room, less what was placed there since.
func (c *Control) handleAdvert(from instance.ID, a *Advert) {
	m, ok := c.membership.members.Get(from.Instance)
	if !ok || m.id != from {
		return
	}
	if !m.advertisedCapacity.Apply(a.ChangedCapacity) {
		// A new session begins with the whole of it.
		c.logEvent("advert ignored", zap.Stringer("Peer", from), zap.Uint64("Base", a.ChangedCapacity.Base))
		c.emit(DropSession{Peer: from})
		return
	}
	m.advert, m.advertAt = a, c.now
	m.freeCapacity = slices.AppendSeq(m.freeCapacity[:0], values(m.advertisedCapacity.Rows.All()))
	m.backlog = 0
	kept := m.pending[:0]
	for _, p := range m.pending {
		if p.sequence <= a.LastRequest {
			continue
		}
		kept = append(kept, p)
		m.reservePending(p)
	}
	m.pending = kept
}

// takeRoom takes a pending task from the tightest room that it fits.
func (m *member) reservePending(p pendingTask) {
	best := -1
	for i := range m.freeCapacity {
		if p.need.Fits(m.freeCapacity[i].Free) && (best < 0 || m.freeCapacity[i].Free.MilliCPU < m.freeCapacity[best].Free.MilliCPU) {
			best = i
		}
	}
	if best < 0 {
		m.backlog += cpuTime(p.need, p.estimate)
		return
	}
	m.freeCapacity[best].Free = m.freeCapacity[best].Free.Sub(p.need)
}

func (c *Control) advertAge(id instance.ID) time.Duration {
	if m, ok := c.membership.members.Get(id.Instance); ok && m.id == id && m.advert != nil {
		return c.now.Sub(m.advertAt)
	}
	return 0
}

// expectedWait is how long a job is expected to take at best, with what other
// jobs wait for; without any endpoint in use nothing is expected.
func (c *Control) expectedWait(j *job) (time.Duration, bool) {
	need := j.Steps[0].Need
	wait, found := time.Duration(0), false
	c.refreshOwnCapacity()
	for m, rooms := range c.allFreeCapacity() {
		for i := range rooms {
			if _, ok := c.suitableEndpoint(rooms[i].Endpoint, j.route.Service, j.Steps[0].Label); ok && need.Fits(rooms[i].Free) {
				return 0, true
			}
		}
		holderWait := m.advert.Waits.forPriority(j.route.Priority) + m.backlogWait()
		if need.Fits(m.advert.Total) && (!found || holderWait < wait) {
			wait, found = holderWait, true
		}
	}
	return wait + time.Duration(float64(j.LongestChain())*bestCaseShare), found
}
