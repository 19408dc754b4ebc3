package dispatch

import (
	"net/netip"
	"time"

	"crocusseam/pkg/routing"
	"crocusseam/pkg/table"
)

// holdState tells whether this instance may start tasks at an endpoint.
type holdState int

const (
	notHeld   holdState = iota
	requested           // not yet granted by all siblings
	held
)

// endpoint is an endpoint of this instance's domain. At most one live instance
// holds it at a time, so that instances don't share its slots and need no
// message between them for each task.
type endpoint struct {
	address          netip.AddrPort
	slots            int
	state            holdState
	grantedBy        map[PeerID]bool
	requestedAt      time.Time
	leaving          bool // the platform's list or an operator marks it as leaving
	drained          bool
	running          int       // slots that this instance's runs occupy
	formerHolderRuns int       // slots that the former holder's runs still occupy
	backoffUntil     time.Time // after a busy refusal, no task starts until then
	queue            []*run    // waiting for a slot
	nextHolder       PeerID    // the instance that took the hold from this one; it is sent HoldFreed
	speed            routing.SpeedModel
	health           health
	lastReport       EndpointReport
}

// health counts the failures of an endpoint. The endpoint is ejected only after
// failures of several jobs, because the tasks of one faulty job fail everywhere.
type health struct {
	failures     int      // consecutive
	failedJobs   []string // different jobs among the failures, at most jobsToEject
	ejections    int      // consecutive; each one doubles the time of the next
	ejectedUntil time.Time
	ejected      bool
}

// run is an attempt that a home has placed with this instance.
type run struct {
	placeRequest *PlaceRequest
	home         PeerID
	endpoint     *endpoint
	state        runState
	received     time.Time
	started      time.Time
	ended        time.Time
	dropped      bool    // its home needs no result
	result       *Result // nil until the run has ended
}

type runState int

const (
	runQueued runState = iota + 1
	runStarted
	runEnded
)

// holder is the state of this instance as a holder: the endpoints of its domain
// and the runs placed here.
type holder struct {
	endpoints         *table.Table[netip.AddrPort, *endpoint]
	runs              *table.Table[routing.Attempt, *run]
	ended             []*run            // in the order in which they ended
	lastForgotten     map[PeerID]uint64 // highest attempt number of the removed runs, by home
	occupied          int               // slots that this instance's runs occupy
	endedAttempts     []routing.Attempt // not yet reported to the lead
	wholeReportDue    time.Time
	wholeReportLead   PeerID // the lead that received the last whole report
	stragglerCheckDue time.Time
}

const (
	failuresToEject   = 5 // consecutive failures
	jobsToEject       = 3 // different jobs among those failures
	firstEjection     = time.Second
	maxEjection       = 15 * time.Second
	busyBackoff       = 100 * time.Millisecond // no starts at an endpoint for this long after it refused a task
	runRetention      = 60 * time.Second       // ended runs whose results the home doesn't acknowledge are kept this long
	wholeReportPeriod = 2 * time.Second
	stragglerPeriod   = 50 * time.Millisecond // interval between checks for stragglers
	stragglerFactor   = 4                     // a straggler has run more than this many times its expected time
	speedHysteresis   = 0.1                   // smaller relative changes of speed are not reported
	holdRequestPeriod = 500 * time.Millisecond
)

func newHolder() holder {
	return holder{
		endpoints:     table.New[netip.AddrPort, *endpoint](),
		runs:          table.New[routing.Attempt, *run](),
		lastForgotten: make(map[PeerID]uint64),
	}
}

// usableSlots returns how many runs of this instance may occupy slots of the
// endpoint: none while the endpoint is not held, drains or backs off, or while this
// instance takes no work. An ejected endpoint has none until its ejection time is
// over, and then at most one, for a probe.
func (c *Control) usableSlots(e *endpoint) int {
	if e.state != held || e.isDraining(c) || c.now.Before(e.backoffUntil) || !c.serving() {
		return 0
	}
	slots := e.slots - e.formerHolderRuns
	if e.health.ejected {
		if c.now.Before(e.health.ejectedUntil) {
			return 0
		}
		return min(slots, 1)
	}
	return max(slots, 0)
}

func (e *endpoint) isDraining(c *Control) bool {
	return !c.ruleSwitches.noDrain && (e.leaving || e.drained)
}

// handlePlaceRequest accepts an attempt for an endpoint. An attempt is started
// at most once, however often its request arrives: a repeated request finds the
// run in the table, and a resent request whose run may have been removed from
// the table is answered Unknown.
func (c *Control) handlePlaceRequest(from PeerID, m *PlaceRequest) {
	if r, ok := c.holder.runs.Get(m.Attempt); ok {
		c.counters.RepeatedPlacements++
		if r.state == runEnded {
			c.send(r.home, r.result)
		}
		return
	}
	r := &run{placeRequest: m, home: from, received: c.now, state: runQueued}
	c.holder.runs.Put(m.Attempt, r)
	if m.Resent && m.Attempt.Number <= c.holder.lastForgotten[from] {
		c.endRun(r, Unknown, nil, "placed again after its record was forgotten")
		return
	}
	e, ok := c.holder.endpoints.Get(m.Endpoint)
	if !ok || c.usableSlots(e) == 0 {
		c.endRun(r, NotStarted, nil, "the endpoint takes no work here")
		return
	}
	r.endpoint = e
	e.queue = append(e.queue, r)
	c.startRuns(e)
}

// startRuns starts queued runs while slots are free. It ends runs as not started if
// the endpoint has no usable slot, or if they have waited longer than StartTimeout:
// a process that was paused must not start attempts that their homes have given up.
func (c *Control) startRuns(e *endpoint) {
	for len(e.queue) > 0 {
		r := e.queue[0]
		if c.now.Sub(r.received) > c.config.Timing.StartTimeout || c.usableSlots(e) == 0 {
			e.queue = e.queue[1:]
			c.endRun(r, NotStarted, nil, "no slot was free in time")
			continue
		}
		if e.running >= c.usableSlots(e) {
			return
		}
		e.queue = e.queue[1:]
		r.state = runStarted
		r.started = c.now
		e.running++
		c.holder.occupied++
		c.counters.Starts++
		c.emit(Start{PlaceRequest: *r.placeRequest})
	}
}

// attemptDone handles the outcome of a started attempt.
func (c *Control) attemptDone(m AttemptDone) {
	r, ok := c.holder.runs.Get(m.Attempt)
	if !ok || r.state != runStarted {
		return
	}
	e := r.endpoint
	e.running--
	c.holder.occupied--
	c.updateEndpointState(e, r, m)
	c.endRun(r, m.Outcome, m.Output, m.Detail)
	if e.state != held && e.nextHolder != (PeerID{}) {
		c.send(e.nextHolder, &HoldFreed{Endpoint: e.address})
	}
	c.startRuns(e)
}

// endRun ends a run and queues a report to the lead that the slot is free. It sends
// the result to the home and keeps it until the home acknowledges it, unless the home
// has dropped the run.
func (c *Control) endRun(r *run, outcome Outcome, output []byte, detail string) {
	speed, learned := 1.0, false
	if r.endpoint != nil {
		speed = r.endpoint.speed.Speed()
		learned = r.endpoint.speed.Samples() == routing.EnoughSamples
	}
	r.state = runEnded
	r.ended = c.now
	r.result = &Result{
		Attempt: r.placeRequest.Attempt, Endpoint: r.placeRequest.Endpoint, Outcome: outcome,
		Output: output, Detail: detail, Speed: speed, SpeedLearned: learned,
	}
	if !r.started.IsZero() {
		r.result.RunTime = c.now.Sub(r.started)
	}
	// The home may still have the request, and resend it.
	withoutPayload := *r.placeRequest
	withoutPayload.Payload = nil
	r.placeRequest = &withoutPayload
	c.holder.ended = append(c.holder.ended, r)
	c.holder.endedAttempts = append(c.holder.endedAttempts, r.placeRequest.Attempt)
	if r.dropped {
		c.holder.runs.Delete(r.placeRequest.Attempt)
		c.recordForgotten(r)
		return
	}
	c.send(r.home, r.result)
}

// updateEndpointState updates the endpoint's speed, health and back-off by the
// outcome of a run.
func (c *Control) updateEndpointState(e *endpoint, r *run, m AttemptDone) {
	elapsed := c.now.Sub(r.started)
	h := &e.health
	switch m.Outcome {
	case Done:
		e.speed.Observe(r.placeRequest.Work, elapsed)
		if h.ejected {
			c.counters.Readmissions++
		}
		*h = health{}
	case NotStarted:
		c.counters.BusyRefusals++
		e.backoffUntil = c.now.Add(busyBackoff)
		c.recordFailure(e, r)
	case TaskFailed, Unknown:
		if !r.dropped {
			c.recordFailure(e, r)
		}
	}
}

// recordFailure counts a failed run and ejects the endpoint after consecutive
// failures of several jobs. A failed probe ejects it again.
func (c *Control) recordFailure(e *endpoint, r *run) {
	h := &e.health
	h.failures++
	key := r.placeRequest.Key.String()
	known := false
	for _, j := range h.failedJobs {
		known = known || j == key
	}
	if !known && len(h.failedJobs) < jobsToEject {
		h.failedJobs = append(h.failedJobs, key)
	}
	probeFailed := h.ejected && !c.now.Before(h.ejectedUntil)
	if !probeFailed && (h.ejected || h.failures < failuresToEject || len(h.failedJobs) < jobsToEject || !c.mayEject()) {
		return
	}
	if !h.ejected {
		c.counters.Ejections++
	}
	h.ejected = true
	h.ejectedUntil = c.now.Add(min(firstEjection<<min(h.ejections, 8), maxEjection))
	h.ejections++
}

// mayEject reports whether at least half of the held endpoints stay in use after
// one more ejection.
func (c *Control) mayEject() bool {
	total, ejected := 0, 0
	for _, e := range c.holder.endpoints.All() {
		if e.state != held {
			continue
		}
		total++
		if e.health.ejected {
			ejected++
		}
	}
	return 2*(ejected+1) <= total
}

// dropped handles a home's request to interrupt a run or to remove it from the
// queue.
func (c *Control) dropped(m *Drop) {
	r, ok := c.holder.runs.Get(m.Attempt)
	if !ok || r.state == runEnded {
		return
	}
	r.dropped = true
	if r.state == runStarted {
		c.emit(Interrupt{Attempt: m.Attempt})
		return
	}
	r.endpoint.removeFromQueue(r)
	c.endRun(r, NotStarted, nil, "dropped")
}

func (e *endpoint) removeFromQueue(r *run) {
	for i, q := range e.queue {
		if q == r {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			return
		}
	}
}

// handleAcknowledge removes runs whose results have reached their home.
func (c *Control) handleAcknowledge(from PeerID, m *Acknowledge) {
	for _, n := range m.Numbers {
		id := routing.Attempt{Home: from.Instance, Incarnation: from.Incarnation, Number: n}
		if r, ok := c.holder.runs.Get(id); ok && r.state == runEnded {
			c.holder.runs.Delete(id)
			c.recordForgotten(r)
			r.result = nil
		}
	}
}

// recordForgotten records the highest attempt number of a home whose run was
// removed. handlePlaceRequest doesn't start resent attempts up to that number.
func (c *Control) recordForgotten(r *run) {
	if n := r.placeRequest.Attempt.Number; n > c.holder.lastForgotten[r.home] {
		c.holder.lastForgotten[r.home] = n
	}
}

// resendResults sends the results that a home has not acknowledged again. It is
// called at each new session with the home.
func (c *Control) resendResults(peer PeerID) {
	for _, r := range c.holder.runs.All() {
		if r.home == peer && r.state == runEnded {
			c.counters.RepeatedResults++
			c.send(peer, r.result)
		}
	}
}

// dropQueuedRuns ends the queued runs of a home that is dead or out of reach.
func (c *Control) dropQueuedRuns(peer PeerID) {
	for _, r := range c.holder.runs.All() {
		if r.home == peer && r.state == runQueued {
			r.dropped = true
			r.endpoint.removeFromQueue(r)
			c.endRun(r, NotStarted, nil, "its home is gone")
		}
	}
}

// holderAfterPause ends the queued runs and requests the held endpoints again:
// other instances may have taken them during the pause.
func (c *Control) holderAfterPause() {
	for _, e := range c.holder.endpoints.All() {
		for _, r := range e.queue {
			c.endRun(r, NotStarted, nil, "the instance was paused")
		}
		e.queue = nil
		if e.state == held {
			c.requestHold(e)
		}
	}
}

// runHolder requests holds, starts queued runs, removes old runs and checks for
// stragglers.
func (c *Control) runHolder() {
	c.sendHoldRequests()
	for _, e := range c.holder.endpoints.All() {
		if len(e.queue) > 0 {
			c.startRuns(e)
		}
	}
	c.forgetRuns()
	if c.now.Before(c.holder.stragglerCheckDue) {
		return
	}
	c.holder.stragglerCheckDue = c.now.Add(stragglerPeriod)
	for _, r := range c.holder.runs.All() {
		if r.state == runStarted {
			c.checkStraggler(r)
		}
	}
}

// checkStraggler lowers the speed of an endpoint as soon as a run takes much
// longer than expected, without waiting for its end.
func (c *Control) checkStraggler(r *run) {
	e := r.endpoint
	elapsed := c.now.Sub(r.started)
	expected := time.Duration(float64(r.placeRequest.Work) / e.speed.Speed())
	if elapsed > stragglerFactor*expected {
		e.speed.ObserveRunning(r.placeRequest.Work, elapsed)
	}
}

// forgetRuns removes ended runs that their homes have not acknowledged within
// runRetention, and with them those that were acknowledged since.
func (c *Control) forgetRuns() {
	o := &c.holder
	for len(o.ended) > 0 {
		r := o.ended[0]
		if current, ok := o.runs.Get(r.placeRequest.Attempt); ok && current == r {
			if c.now.Sub(r.ended) <= runRetention {
				return
			}
			o.runs.Delete(r.placeRequest.Attempt)
			c.recordForgotten(r)
		}
		o.ended[0] = nil
		o.ended = o.ended[1:]
	}
}

// requestHold begins to request the hold of an endpoint. This instance starts no
// tasks there until every live sibling has granted it.
func (c *Control) requestHold(e *endpoint) {
	e.state = requested
	e.grantedBy = make(map[PeerID]bool)
	e.requestedAt = time.Time{}
}

// sendHoldRequests sends the requests for holds to the siblings that have not
// granted them, and takes the holds that every sibling has granted.
func (c *Control) sendHoldRequests() {
	requests := table.New[PeerID, *HoldRequest]()
	for _, e := range c.holder.endpoints.All() {
		if e.state != requested {
			continue
		}
		ask := c.now.Sub(e.requestedAt) >= holdRequestPeriod
		missing := false
		for _, s := range c.siblings() {
			if e.grantedBy[s] {
				continue
			}
			missing = true
			if !ask {
				continue
			}
			r, ok := requests.Get(s)
			if !ok {
				r = &HoldRequest{}
				requests.Put(s, r)
			}
			r.Endpoints = append(r.Endpoints, e.address)
		}
		if ask {
			e.requestedAt = c.now
		}
		if !missing {
			e.state = held
		}
	}
	for s, r := range requests.All() {
		if c.sessionUp(s) {
			c.send(s, r)
		}
	}
}

// handleHoldRequest grants a sibling the endpoints that mayGrant permits, and those
// that this instance does not know. Started runs go on; the new holder counts the
// slots that they occupy.
func (c *Control) handleHoldRequest(from PeerID, m *HoldRequest) {
	grant := &HoldGrant{}
	for _, a := range m.Endpoints {
		e, ok := c.holder.endpoints.Get(a)
		occupied := 0
		if ok {
			if !c.mayGrant(e) {
				continue
			}
			occupied = e.running
			c.releaseHold(e, from)
		}
		grant.Endpoints = append(grant.Endpoints, a)
		grant.Occupied = append(grant.Occupied, occupied)
	}
	if len(grant.Endpoints) > 0 {
		c.send(from, grant)
	}
}

// mayGrant reports whether a sibling may have an endpoint. If two instances hold
// or request the same endpoint, the one that it is assigned to keeps it.
func (c *Control) mayGrant(e *endpoint) bool {
	return e.state == notHeld || c.assignedHolder(e.address) != c.self
}

// releaseHold gives an endpoint to a sibling. Its queued runs end as not started.
func (c *Control) releaseHold(e *endpoint, to PeerID) {
	e.state = notHeld
	e.nextHolder = to
	for _, r := range e.queue {
		c.endRun(r, NotStarted, nil, "the endpoint has another holder now")
	}
	e.queue = nil
}

// handleHoldGrant records a sibling's grants, and the slots that its runs still occupy.
func (c *Control) handleHoldGrant(from PeerID, m *HoldGrant) {
	for i, a := range m.Endpoints {
		e, ok := c.holder.endpoints.Get(a)
		if !ok || e.state != requested || e.grantedBy[from] {
			continue
		}
		e.grantedBy[from] = true
		e.formerHolderRuns += m.Occupied[i]
	}
}

// handleHoldFreed frees a slot that a run of the former holder has occupied.
func (c *Control) handleHoldFreed(m *HoldFreed) {
	e, ok := c.holder.endpoints.Get(m.Endpoint)
	if ok && e.formerHolderRuns > 0 {
		e.formerHolderRuns--
		c.startRuns(e)
	}
}

// reportToLead reports to the lead the endpoints that have changed, or all of
// them if a whole report is due or the lead is a new one.
func (c *Control) reportToLead() {
	o := &c.holder
	c.chooseLead()
	whole := o.wholeReportLead != c.home.leadID || !c.now.Before(o.wholeReportDue)
	m := &Supply{Whole: whole, Done: o.endedAttempts}
	for _, e := range o.endpoints.All() {
		endpointReport := c.endpointReport(e)
		if whole || endpointReport.differs(e.lastReport) {
			e.lastReport = endpointReport
			m.Endpoints = append(m.Endpoints, endpointReport)
		}
	}
	if whole {
		o.wholeReportLead = c.home.leadID
		o.wholeReportDue = c.now.Add(wholeReportPeriod)
		m.Held = c.heldAttempts()
	}
	o.endedAttempts = nil
	if whole || len(m.Endpoints) > 0 || len(m.Done) > 0 {
		c.send(c.home.leadID, m)
	}
}

func (c *Control) endpointReport(e *endpoint) EndpointReport {
	r := EndpointReport{Endpoint: e.address, Slots: c.usableSlots(e), Speed: e.speed.Speed(), Samples: e.speed.Samples()}
	r.Probe = e.health.ejected && r.Slots > 0
	return r
}

// differs reports whether a report must be sent because it differs from the last
// one. Small changes of speed alone are not sent.
func (r EndpointReport) differs(old EndpointReport) bool {
	ratio := r.Speed / max(old.Speed, 1e-9)
	return r.Slots != old.Slots || r.Probe != old.Probe || r.Samples != old.Samples || ratio > 1+speedHysteresis || ratio < 1-speedHysteresis
}

func (c *Control) heldAttempts() []HeldAttempt {
	var list []HeldAttempt
	for id, r := range c.holder.runs.All() {
		if r.state == runEnded || r.endpoint == nil {
			continue
		}
		left := time.Duration(float64(r.placeRequest.Work) / r.endpoint.speed.Speed())
		if r.state == runStarted {
			left = max(0, left-c.now.Sub(r.started))
		}
		list = append(list, HeldAttempt{Attempt: id, Endpoint: r.placeRequest.Endpoint, RemainingTime: left})
	}
	return list
}
