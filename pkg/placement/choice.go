package placement

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/workload"
)

// candidate is a holder that a task may be placed with.
type candidate struct {
	member        *member
	capacityIndex int           // of the endpoint in the holder's free capacity, or noFreeCapacity
	wait          time.Duration // until the task is expected to start; 0 with free capacity
}

// noFreeCapacity is the capacityIndex of a holder where the task has to wait.
const noFreeCapacity = -1

// reserve subtracts the task from what this instance knows of the holder's capacity,
// until an advert of the holder accounts for it.
func (o candidate) reserve(s *workload.Step) {
	m := o.member
	m.pending = append(m.pending, pendingTask{sequence: m.sequence + 1, need: s.Need, estimate: s.Estimate})
	if o.capacityIndex == noFreeCapacity {
		m.backlog += cpuTime(s.Need, s.Estimate)
		return
	}
	m.freeCapacity[o.capacityIndex].Free = m.freeCapacity[o.capacityIndex].Free.Sub(s.Need)
}

const (
	interDomainDelay = time.Millisecond // of a message to another failure domain
	// estimateMargin multiplies expected run times, because speeds are learned from
	// inexact estimates.
	estimateMargin = 1.15
	// bestCaseShare is the fraction of its estimate in which a task may end on a fast
	// endpoint if the estimate is too long. A task is refused only if it could not
	// end in time even then.
	bestCaseShare = 0.5
)

// demand describes a task for the choice of an endpoint.
type demand struct {
	need           workload.Resources
	estimate       time.Duration
	untilObjective time.Duration // time left until the job's objective
	rack           string        // where the data lies, or empty
}

// demandAt returns the demand at an endpoint: a task takes longer away from its data.
func (c *Control) demandAt(d demand, e *workload.Endpoint) demand {
	d.estimate = c.estimateAt(d.estimate, d.rack, e)
	return d
}

// estimateAt returns the estimate of a task at an endpoint.
func (c *Control) estimateAt(estimate time.Duration, rack string, e *workload.Endpoint) time.Duration {
	if e.HasLabel(rack) || c.config.FarFactor <= 1 {
		return estimate
	}
	return time.Duration(float64(estimate) * c.config.FarFactor)
}

// expectedAt returns the expected run time at an endpoint of a speed.
func (d demand) expectedAt(speed float64) time.Duration {
	return time.Duration(float64(d.estimate) * estimateMargin / speed)
}

// fit rates an endpoint with free capacity for a task.
type fit struct {
	tried    bool // a run of the task did not succeed there
	inTime   bool // the task is expected to meet its objective
	far      bool // in another failure domain
	speed    float64
	leftover int // free capacity beside the task, in thousandths of a processor
}

func rateFit(d demand, r *FreeCapacity, far bool) fit {
	hop := time.Duration(0)
	if far {
		hop = interDomainDelay
	}
	return fit{inTime: d.expectedAt(r.Speed)+hop <= d.untilObjective, far: far, speed: r.Speed, leftover: r.Free.Sub(d.need).MilliCPU}
}

// betterThan prefers an endpoint that the task has not tried, then one where it meets its
// objective, then one of this failure domain, then a faster one, then the one with the least
// capacity left over.
func (f fit) betterThan(other fit) bool {
	switch {
	case f.tried != other.tried:
		return other.tried
	case f.inTime != other.inTime:
		return f.inTime
	case f.far != other.far:
		return !f.far
	case !similarSpeed(f.speed, other.speed):
		return f.speed > other.speed
	}
	return f.leftover < other.leftover
}

// sameSpeedRatio is the ratio below which two speeds count as equal.
const sameSpeedRatio = 1.2

func similarSpeed(a, b float64) bool { return a < b*sameSpeedRatio && b < a*sameSpeedRatio }

// chooseHolder returns the best holder for a task: one with free capacity, or else the
// one where the task is expected to start first. A holder where the task has to wait
// also wins if the task can meet its objective only there.
func (c *Control) chooseHolder(j *job, step int, t *task) (candidate, bool) {
	s := &j.Steps[step]
	estimate := s.Estimate
	if c.overloadControlled(j) {
		estimate = c.correctedEstimate(j, step)
	}
	d := demand{need: s.Need, estimate: estimate, untilObjective: j.objective.Sub(c.now), rack: s.Rack}
	var best fit
	var bestMember *member
	bestIndex := -1
	names, exclusion := c.triedBy(j, step, t)
	for m, free := range c.allFreeCapacity() {
		far := m.id != c.self && m.row.Domain != c.config.Domain
		for i := range free {
			r := &free[i]
			e, ok := c.suitableEndpoint(r.Endpoint, j.route.Service, s.Label)
			tried := slices.Contains(names, r.Endpoint)
			if !ok || !s.Need.Fits(r.Free) || (tried && exclusion > 0) {
				continue
			}
			f := rateFit(c.demandAt(d, e), r, far)
			f.tried = tried
			if bestIndex < 0 || f.betterThan(best) {
				best, bestMember, bestIndex = f, m, i
			}
		}
	}
	if bestIndex >= 0 && !best.inTime {
		if o, ok := c.shortestWait(j.route, s); ok && o.wait+d.expectedAt(c.fastSpeed(j.route.Service)) <= d.untilObjective {
			return o, true
		}
	}
	if bestIndex >= 0 {
		return candidate{member: bestMember, capacityIndex: bestIndex}, true
	}
	return c.shortestWait(j.route, s)
}

// suitableEndpoint returns a listed endpoint. It reports whether the endpoint belongs
// to the service, has the label, is not draining, and may be sent starts.
func (c *Control) suitableEndpoint(endpoint, service, label string) (*workload.Endpoint, bool) {
	e, ok := c.holder.listed.Get(endpoint)
	return e, ok && e.Service == service && !e.Draining && e.HasLabel(label) && c.mayStartIn(e.Domain)
}

// refreshOwnCapacity updates the home's copy of this instance's own free capacity.
// Each task that the home places here then reduces the copy, as for other members.
func (c *Control) refreshOwnCapacity() {
	own := &c.home.own
	c.home.ownCapacityFresh = false // the caller may place a task
	c.counters.CapacityPasses++
	own.id = c.self
	own.advert = &Advert{Waits: c.ownWaits(), Total: c.holder.totalCapacity}
	own.freeCapacity = append(own.freeCapacity[:0], c.ownFreeCapacity()...)
	own.pending, own.backlog = own.pending[:0], 0
}

// allFreeCapacity yields the free capacity of this instance, as of the last
// refreshOwnCapacity, and of every member with a valid advert.
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

// hasValidAdvert reports whether a member's last advert is valid: the member has sent
// it in the present session and is neither suspected nor leaving.
func (c *Control) hasValidAdvert(m *member) bool {
	return c.available(m) && m.advert != nil
}

// anyCapacity reports whether this instance or a member with a valid advert has an
// endpoint in use. Adverts leave evacuated endpoints out, so while all are evacuated any advert counts.
func (c *Control) anyCapacity() bool {
	if c.holder.active > 0 {
		return true
	}
	allEvacuated := c.allEvacuated()
	for _, m := range c.membership.members.All() {
		if c.hasValidAdvert(m) && (m.advert.Total.MilliCPU > 0 || allEvacuated) {
			return true
		}
	}
	return false
}

// shortestWait returns the holder where a task is expected to start first if it has to
// wait for free capacity.
func (c *Control) shortestWait(route workload.Route, s *workload.Step) (candidate, bool) {
	var best *member
	var shortest, bestRating time.Duration
	consider := func(m *member, hop time.Duration) {
		wait := max(m.advert.Waits.forPriority(route.Priority)+m.backlogWait()+hop, time.Nanosecond)
		rating := c.rateQueue(wait)
		if s.Need.Fits(m.advert.Total) && (best == nil || rating < bestRating) {
			best, shortest, bestRating = m, wait, rating
		}
	}
	if c.stop == serving && c.holdsService(route.Service) {
		consider(&c.home.own, 0)
	}
	for _, m := range c.membership.members.All() {
		switch {
		case !c.hasValidAdvert(m) || c.advertPredatesEvacuation(m):
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

// holdsService reports whether this instance holds an active endpoint of a service that may be sent
// starts.
func (c *Control) holdsService(service string) bool {
	for _, e := range c.holder.endpoints.All() {
		if e.info.Service == service && e.state == active && c.mayStartIn(e.info.Domain) {
			return true
		}
	}
	return false
}

// cpuTime returns the work of a task in thousandths of a processor times seconds.
func cpuTime(need workload.Resources, estimate time.Duration) float64 {
	return float64(need.MilliCPU) * estimate.Seconds()
}

// backlogWait returns the wait caused by tasks that this instance has placed with a
// member since its last advert and that exceed the free capacity in it.
func (m *member) backlogWait() time.Duration {
	if m.advert.Total.MilliCPU == 0 {
		return 0
	}
	return time.Duration(m.backlog / float64(m.advert.Total.MilliCPU) * float64(time.Second))
}

// pendingTask is a task placed with a member whose adverts do not account for it yet.
type pendingTask struct {
	sequence uint64 // of its PlaceRequest
	need     workload.Resources
	estimate time.Duration
}

// handleAdvert stores a member's free capacity, less the tasks placed with the member
// that the advert does not account for.
func (c *Control) handleAdvert(from instance.ID, a *Advert) {
	m, ok := c.membership.members.Get(from.Instance)
	if !ok || m.id != from {
		return
	}
	if !m.advertisedCapacity.Apply(a.ChangedCapacity) {
		// A new session begins with a complete advert.
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

// reservePending subtracts a pending task from the smallest free capacity that it
// fits, or adds it to the backlog if it fits none.
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

// advertAge returns the age of a member's last advert for the log, 0 without one.
func (c *Control) advertAge(id instance.ID) time.Duration {
	if m, ok := c.membership.members.Get(id.Instance); ok && m.id == id && m.advert != nil {
		return c.now.Sub(m.advertAt)
	}
	return 0
}

// expectedWait returns the time in which a job is expected to end at best, including
// the queued work of other jobs; 0 if its first task can start at once. It returns
// false if no endpoint in use is large enough.
func (c *Control) expectedWait(j *job) (time.Duration, bool) {
	need := j.Steps[0].Need
	wait, found := time.Duration(0), false
	c.refreshOwnCapacity()
	for m, free := range c.allFreeCapacity() {
		for i := range free {
			if _, ok := c.suitableEndpoint(free[i].Endpoint, j.route.Service, j.Steps[0].Label); ok && need.Fits(free[i].Free) {
				return 0, true
			}
		}
		if c.advertPredatesEvacuation(m) {
			continue
		}
		holderWait := m.advert.Waits.forPriority(j.route.Priority) + m.backlogWait()
		if need.Fits(m.advert.Total) && (!found || holderWait < wait) {
			wait, found = holderWait, true
		}
	}
	return wait + time.Duration(float64(j.LongestChain())*bestCaseShare), found
}
