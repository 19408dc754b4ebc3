package placement

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/workload"
)

// offer is a holder that a task may be placed with.
type offer struct {
	member *member
	room   int           // the index of the room, or noRoom
	wait   time.Duration // until the task is expected to start; 0 with room
}

const noRoom = -1

// reserve notes in the view of the holder that a task is placed there.
func (o offer) reserve(s *workload.Step) {
	m := o.member
	m.pending = append(m.pending, pendingTask{sequence: m.sequence + 1, need: s.Need, estimate: s.Estimate})
	if o.room == noRoom {
		m.backlog += coreTime(s.Need, s.Estimate)
		return
	}
	m.freeCapacity[o.room].Free = m.freeCapacity[o.room].Free.Sub(s.Need)
}

// Figures of the choice of a place.
const (
	hopBetweenDomains = time.Millisecond
	// estimateMargin is kept between the expected end and the objective, as
	// speeds are learned from estimates that are off.
	estimateMargin = 1.15
	// optimism is the share of its estimate that a task may take on a fast
	// endpoint when the estimate is too long. Only what could not end in time
	// even so is refused.
	optimism = 0.5
)

// demand is what the choice looks at.
type demand struct {
	need     workload.Resources
	estimate time.Duration
	left     time.Duration // until the objective
	rack     string        // where the data lies, or empty
}

// at is the demand at an endpoint: away from its data a task takes longer.
func (c *Control) at(d demand, e *workload.Endpoint) demand {
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

func rate(d demand, r *Room, far bool) fit {
	hop := time.Duration(0)
	if far {
		hop = hopBetweenDomains
	}
	expected := time.Duration(float64(d.estimate) / r.Speed * estimateMargin)
	return fit{inTime: expected+hop <= d.left, far: far, speed: r.Speed, leftover: r.Free.Sub(d.need).MilliCPU}
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
const speedStep = 1.2

func similarSpeed(a, b float64) bool { return a < b*speedStep && b < a*speedStep }

// choose finds a holder for a task: one with room, or else the one where the
// task is expected to start first.
func (c *Control) choose(j *job, step int, t *task) (offer, bool) {
	s := &j.Steps[step]
	d := demand{need: s.Need, estimate: s.Estimate, left: j.objective.Sub(c.now), rack: s.Rack}
	var best fit
	var bestMember *member
	bestRoom := -1
	for m, rooms := range c.allRooms() {
		far := m.id != c.self && m.row.Domain != c.config.Domain
		for i := range rooms {
			r := &rooms[i]
			e, ok := c.suitable(r.Endpoint, j.route.Service, s.Label)
			if !ok || !s.Need.Fits(r.Free) || avoids(t, r.Endpoint) {
				continue
			}
			if f := rate(c.at(d, e), r, far); bestRoom < 0 || f.betterThan(best) {
				best, bestMember, bestRoom = f, m, i
			}
		}
	}
	if bestRoom >= 0 && !best.inTime {
		if o, ok := c.shortestWait(j.route, s); ok && o.wait+d.atUsualSpeed() <= d.left {
			return o, true
		}
	}
	if bestRoom >= 0 {
		return offer{member: bestMember, room: bestRoom}, true
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
func (c *Control) suitable(endpoint, service, label string) (*workload.Endpoint, bool) {
	e, ok := c.holder.listed.Get(endpoint)
	return e, ok && e.Service == service && !e.Draining && e.HasLabel(label)
}

// refreshOwn brings the home's view of this instance's own endpoints up to date.
// Like the view of a member it then shrinks with each task that is placed.
func (c *Control) refreshOwn() {
	own := &c.home.own
	own.id = c.self
	own.advert = &Advert{Waits: c.ownWaits(), Total: c.holder.total}
	own.freeCapacity = append(own.freeCapacity[:0], c.ownRooms()...)
	own.pending, own.backlog = own.pending[:0], 0
}

// allRooms yields the rooms of this instance, as last refreshed, and of every
// member that it hears and whose advert is fresh.
func (c *Control) allRooms() func(yield func(*member, []Room) bool) {
	return func(yield func(*member, []Room) bool) {
		if c.stop == serving && !yield(&c.home.own, c.home.own.freeCapacity) {
			return
		}
		for _, m := range c.membership.members.All() {
			if !c.offers(m) {
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
func (c *Control) offers(m *member) bool {
	return c.available(m) && m.advert != nil
}

func (c *Control) anyRoom() bool {
	if c.holder.active > 0 {
		return true
	}
	for _, m := range c.membership.members.All() {
		if c.offers(m) && m.advert.Total.MilliCPU > 0 {
			return true
		}
	}
	return false
}

// shortestWait finds the holder where a task that fits nowhere now starts first.
func (c *Control) shortestWait(route workload.Route, s *workload.Step) (offer, bool) {
	var best *member
	var shortest time.Duration
	consider := func(m *member, hop time.Duration) {
		wait := max(m.advert.Waits.of(route.Priority)+m.backlogWait()+hop, time.Nanosecond)
		if s.Need.Fits(m.advert.Total) && (best == nil || wait < shortest) {
			best, shortest = m, wait
		}
	}
	if c.stop == serving && c.holdsService(route.Service) {
		consider(&c.home.own, 0)
	}
	for _, m := range c.membership.members.All() {
		switch {
		case !c.offers(m):
		case m.row.Domain == c.config.Domain:
			consider(m, 0)
		default:
			consider(m, hopBetweenDomains)
		}
	}
	if best == nil {
		return offer{}, false
	}
	return offer{member: best, room: noRoom, wait: shortest}, true
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
func coreTime(need workload.Resources, estimate time.Duration) float64 {
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
func (c *Control) advertised(from instance.ID, a *Advert) {
	m, ok := c.membership.members.Get(from.Instance)
	if !ok || m.id != from {
		return
	}
	if !m.advertisedCapacity.Apply(a.Rooms) {
		// A new session begins with the whole of it.
		c.decide("advert ignored", zap.Stringer("Peer", from), zap.Uint64("Base", a.Rooms.Base))
		c.emit(DropSession{Peer: from})
		return
	}
	m.advert, m.advertAt = a, c.now
	m.freeCapacity = slices.AppendSeq(m.freeCapacity[:0], values(m.advertisedCapacity.Rows.All()))
	m.backlog = 0
	kept := m.pending[:0]
	for _, p := range m.pending {
		if p.sequence <= a.Seen {
			continue
		}
		kept = append(kept, p)
		m.takeRoom(p)
	}
	m.pending = kept
}

// takeRoom takes a pending task from the tightest room that it fits.
func (m *member) takeRoom(p pendingTask) {
	best := -1
	for i := range m.freeCapacity {
		if p.need.Fits(m.freeCapacity[i].Free) && (best < 0 || m.freeCapacity[i].Free.MilliCPU < m.freeCapacity[best].Free.MilliCPU) {
			best = i
		}
	}
	if best < 0 {
		m.backlog += coreTime(p.need, p.estimate)
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
	c.refreshOwn()
	for m, rooms := range c.allRooms() {
		for i := range rooms {
			if _, ok := c.suitable(rooms[i].Endpoint, j.route.Service, j.Steps[0].Label); ok && need.Fits(rooms[i].Free) {
				return 0, true
			}
		}
		holderWait := m.advert.Waits.of(j.route.Priority) + m.backlogWait()
		if need.Fits(m.advert.Total) && (!found || holderWait < wait) {
			wait, found = holderWait, true
		}
	}
	return wait + time.Duration(float64(j.LongestChain())*optimism), found
}
