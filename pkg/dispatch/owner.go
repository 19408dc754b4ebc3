package dispatch

import (
	"net/netip"
	"time"

	"crocusseam/pkg/routing"
	"crocusseam/pkg/table"
)

// holdState says whether this instance may start tasks at an endpoint.
type holdState int

const (
	notHeld   holdState = iota
	requested           // asked of the siblings, not yet granted by all
	held
)

// endpoint is an endpoint of this instance's domain. Exactly one live instance
// holds it, so that its slots need no division and no message per task.
type endpoint struct {
	address          netip.AddrPort
	slots            int
	state            holdState
	grantedBy        map[PeerID]bool
	requestedAt      time.Time
	leaving          bool
	drained          bool
	running          int       // slots that this instance's runs occupy
	formerHolderRuns int       // slots that the former holder's runs still occupy
	backoffUntil     time.Time // after a busy refusal, nothing starts until then
	queue            []*run    // placed, waiting for a slot
	nextHolder       PeerID    // the holder to tell when a run of the former hold ends
	speed            routing.SpeedModel
	health           health
	lastReport       EndpointReport
}

// health tells an endpoint that fails everything from one that met a job whose
// tasks fail everywhere.
type health struct {
	failures     int // in a row
	failedJobs   []string
	ejections    int
	ejectedUntil time.Time
	ejected      bool
}

// run is an attempt placed with this instance.
type run struct {
	placeRequest *PlaceRequest
	home         PeerID
	endpoint     *endpoint
	state        runState
	received     time.Time
	started      time.Time
	ended        time.Time
	dropped      bool
	result       *Result
}

type runState int

const (
	runQueued runState = iota + 1
	runStarted
	runEnded
)

// owner holds the endpoints of the domain and the attempts placed there.
type holder struct {
	endpoints         *table.Table[netip.AddrPort, *endpoint]
	runs              *table.Table[routing.Attempt, *run]
	ended             []*run            // in the order of their ends
	lastForgotten     map[PeerID]uint64 // highest forgotten attempt number by home
	occupied          int               // slots occupied by this instance's runs
	endedAttempts     []routing.Attempt // to be reported to the lead
	wholeReportDue    time.Time         // the next whole report
	wholeReportLead   PeerID            // the lead that has the last whole report
	stragglerCheckDue time.Time
}

// Bounds of the owner's systems.
const (
	failuresToEject   = 5
	jobsToEject       = 3
	firstEjection     = time.Second
	maxEjection       = 15 * time.Second
	busyBackoff       = 100 * time.Millisecond
	runRetention      = 60 * time.Second
	wholeReportPeriod = 2 * time.Second
	stragglerPeriod   = 50 * time.Millisecond
	stragglerFactor   = 4
	speedHysteresis   = 0.1
	holdRequestPeriod = 500 * time.Millisecond
)

func newHolder() holder {
	return holder{
		endpoints:     table.New[netip.AddrPort, *endpoint](),
		runs:          table.New[routing.Attempt, *run](),
		lastForgotten: make(map[PeerID]uint64),
	}
}

// usable returns how many runs may occupy the endpoint.
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

// placed takes a task for an endpoint. An attempt is started at most once,
// however often its placement arrives: the table of runs remembers it, and what
// the table has forgotten is never started when it is placed again.
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

// startRuns starts queued runs while slots are free. The check of the age keeps
// a process that was paused from starting what others have given up.
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

// attemptDone takes the end of a started attempt from the traffic side.
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

// endRun keeps the result of a run for its home and tells the lead that the
// slot is free.
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
	c.holder.ended = append(c.holder.ended, r)
	c.holder.endedAttempts = append(c.holder.endedAttempts, r.placeRequest.Attempt)
	if r.dropped {
		c.holder.runs.Delete(r.placeRequest.Attempt)
		c.recordForgotten(r)
		return
	}
	c.send(r.home, r.result)
}

// judge learns the endpoint's speed and health from the end of a run.
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

// noteFailure ejects an endpoint after failures in a row of several jobs.
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

// mayEject keeps at least half of the held endpoints in use.
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

// dropped ends an attempt that its home no longer wants.
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

// acknowledged forgets results that have reached their home.
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

// noteForgotten remembers the highest attempt number of a home whose record is
// gone.
func (c *Control) recordForgotten(r *run) {
	if n := r.placeRequest.Attempt.Number; n > c.holder.lastForgotten[r.home] {
		c.holder.lastForgotten[r.home] = n
	}
}

// resendResults repeats the results that a home has not acknowledged, after a
// new session with it.
func (c *Control) resendResults(peer PeerID) {
	for _, r := range c.holder.runs.All() {
		if r.home == peer && r.state == runEnded {
			c.counters.RepeatedResults++
			c.send(peer, r.result)
		}
	}
}

// forgetPeer drops what is queued for a home that is gone.
func (c *Control) dropQueuedRuns(peer PeerID) {
	for _, r := range c.holder.runs.All() {
		if r.home == peer && r.state == runQueued {
			r.dropped = true
			r.endpoint.removeFromQueue(r)
			c.endRun(r, NotStarted, nil, "its home is gone")
		}
	}
}

// ownerAfterPause gives up queued runs and asks for the endpoints anew: others
// may have taken them meanwhile.
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

// runOwner starts what can start and looks for stragglers.
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

// checkStraggler lowers the speed of an endpoint whose runs take much longer
// than expected, before they end.
func (c *Control) checkStraggler(r *run) {
	e := r.endpoint
	elapsed := c.now.Sub(r.started)
	expected := time.Duration(float64(r.placeRequest.Work) / e.speed.Speed())
	if elapsed > stragglerFactor*expected {
		e.speed.ObserveRunning(r.placeRequest.Work, elapsed)
	}
}

func (c *Control) forgetRuns() {
	o := &c.holder
	for len(o.ended) > 0 && c.now.Sub(o.ended[0].ended) > runRetention {
		r := o.ended[0]
		o.ended = o.ended[1:]
		if current, ok := o.runs.Get(r.placeRequest.Attempt); ok && current == r {
			o.runs.Delete(r.placeRequest.Attempt)
			c.recordForgotten(r)
		}
	}
}

// want asks for an endpoint: this instance starts nothing there until every
// live sibling has granted it.
func (c *Control) requestHold(e *endpoint) {
	e.state = requested
	e.grantedBy = make(map[PeerID]bool)
	e.requestedAt = time.Time{}
}

// askHolds sends the requests for wanted endpoints and takes those that every
// sibling has granted.
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

// holdRequested grants endpoints to a live sibling. Runs in flight go on; the
// new holder counts the slots that they occupy.
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

// mayGrant settles the case that two instances want the same endpoint: the one
// that the division names gets it.
func (c *Control) mayGrant(e *endpoint) bool {
	return e.state == notHeld || c.assignedHolder(e.address) != c.self
}

func (c *Control) releaseHold(e *endpoint, to PeerID) {
	e.state = notHeld
	e.nextHolder = to
	for _, r := range e.queue {
		c.endRun(r, NotStarted, nil, "the endpoint has another holder now")
	}
	e.queue = nil
}

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

func (c *Control) handleHoldFreed(m *HoldFreed) {
	e, ok := c.holder.endpoints.Get(m.Endpoint)
	if ok && e.formerHolderRuns > 0 {
		e.formerHolderRuns--
		c.startRuns(e)
	}
}

// runReports tells the lead what changed at the endpoints held here.
func (c *Control) reportToLead() {
	o := &c.holder
	c.chooseLead()
	whole := o.wholeReportLead != c.home.leadID || !c.now.Before(o.wholeReportDue)
	m := &Supply{Whole: whole, Done: o.endedAttempts}
	for _, e := range o.endpoints.All() {
		report := c.endpointReport(e)
		if whole || report.differs(e.lastReport) {
			e.lastReport = report
			m.Endpoints = append(m.Endpoints, report)
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

// differs reports whether the lead should hear of a report. Small changes of
// speed alone are not worth a message.
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
