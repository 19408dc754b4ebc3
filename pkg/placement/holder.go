package placement

import (
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/hold"
	"crocusseam/pkg/instance"
	"crocusseam/pkg/table"
	"crocusseam/pkg/workload"
)

// endpointState says whether runs may start at a held endpoint.
type endpointState int

const (
	verifying endpointState = iota // runs of an earlier holder may still exist there
	active                         // every run there is this instance's
)

// endpoint is an endpoint that this instance holds. A run's resources are reserved
// from the sending of its start order until it has certainly ended.
type endpoint struct {
	info                 workload.Endpoint
	token                workload.Token
	state                endpointState
	runs                 *runTable
	reserved             workload.Resources
	heldSince            time.Time
	reportReceivedAt     time.Time           // when the last report arrived
	reportRequestedAt    time.Time           // when that report was requested
	reportTruncated      bool                // that report may not list all ended runs
	extraRequestAt       time.Time           // when a report was last requested in addition to the watch
	clock                time.Duration       // the endpoint's clock at reportReceivedAt
	life                 lifeClock           // of the life that is held
	renewing             bool                // the watch renews the lease, see watchEndpoint
	leaseRenewedAt       time.Time           // when the lease was last renewed; kept only while the watch does not renew it
	missedReports        int                 // in a row
	unresponsive         bool                // reports are missing, so the lease is not renewed
	leaseWithheld        bool                // the endpoint accepts no stop of an orphan, so the lease is not renewed
	leaseLimit           time.Time           // latest time to which the lease may be renewed; zero without a run
	leaseLimitAt         time.Time           // when it was last computed for all runs
	watchLimit           time.Time           // leaseLimit as the watch knows it
	leaseGranted         time.Time           // latest time to which a start, or the watch until its last change, has extended the lease
	unknownRunsStoppedAt time.Time           // when stop orders for unknown runs were last sent
	explicitAcks         bool                // ended runs are acknowledged only by Acknowledge effects
	storedUnknown        bool                // not yet known whether stored jobs exist; runs of theirs may have ended here
	lastEndedSequence    int64               // sequence of the last ended run in a report
	lastLoggedEnd        int64               // sequence of the last ended run that logUnexpectedEnds has seen
	unacknowledged       []workload.EndedRun // ended runs that the endpoint still keeps
	unknownRuns          int                 // running there by the last report, and not known here
	speed                speedModel
	health               health
	cold                 coldPhase
	loggedUse            string // what limits its use, as last logged
	useLoggedAt          time.Time
}

// runState is the progress of a run at its holder.
type runState int

const (
	queued   runState = iota // waits for free capacity
	starting                 // start order sent, not confirmed
	running
	stopping // stop order sent; the run may not have ended
	finished
)

// run is a run that a home has placed with this instance.
type run struct {
	id           workload.Run
	home         instance.ID
	otherHomes   []instance.ID // homes that requested a run of the same number later and wait for its end
	request      *PlaceRequest
	avoid        []string
	excludeUntil time.Time // until then it does not start at the endpoints of avoid
	state        runState
	endpoint     *endpoint
	arrivedAt    time.Time
	objective    time.Time
	expiry       time.Time
	waitReported bool // a Waiting message was sent to the home
	orderedAt    time.Time
	startsSent   int       // copies of the start order sent
	answerDue    time.Time // when the last copy counts as unanswered
	confirmedAt  time.Time // when it was first known to be in the life that its endpoint is held in
	listed       bool      // a report has listed it
	stopSentAt   time.Time
	stopDone     time.Time // when the endpoint accepted the stop
	urgency      urgency   // as of the last sortByUrgency
	unwantedAt   time.Time // when it was marked for a stop, as its home does not want it or cannot be relied on
	// lastLeaseLimit is to when its lease may be renewed once it is unwanted.
	lastLeaseLimit time.Time
	mayStartLater  bool // the endpoint's next incarnation may still execute the start order
	percent        int  // progress that the endpoint last reported
	percentAt      time.Time
	tooLate        bool   // it was given back as it could no longer end in time
	stopCause      string // why its stop was first ordered
	endMessage     *RunEnded
	memory         int64 // estimated, with its part of the request
}

// endedRun is what a holder keeps of a run that has ended. It holds neither the run nor its request, so
// that an ended run takes the same memory whatever its job has.
type endedRun struct {
	home    instance.ID
	token   workload.Token // under which it was started, if it was
	message *RunEnded
	at      time.Time
}

// holder is the state of the holder role: the held endpoints and their runs.
type holder struct {
	registry           *hold.Registry
	listed             *table.Table[string, *workload.Endpoint]
	invalid            map[string]bool // names of the invalid endpoints in the last list
	missingSince       map[string]time.Time
	endpoints          *table.Table[string, *endpoint]
	runs               *runTable // that have not ended yet
	runMemory          int64     // of the runs that have not ended, estimated
	ended              *endedRunTable
	lateStarts         *lateStartTable
	lateStartsDue      time.Time // when they are next examined
	queue              []*run
	plannedStarts      []plannedStart     // of the present pass through the queue
	queueChanged       bool               // the queue or free capacity has changed since startQueued ran
	passedAt           time.Time          // when startQueued last ran
	held               int                // endpoints held
	cold               int                // endpoints that are cold
	active             int                // endpoints whose lease is renewed
	totalCapacity      workload.Resources // of these active endpoints, without those in evacuated domains
	throughput         float64            // their processors times their speeds, in thousandths
	fastSpeeds         map[string]float64 // service -> mean speed of the fastest third of its active endpoints
	fastSpeedsAt       time.Time          // when they were last computed
	freeCapacity       []FreeCapacity
	capacityStale      bool
	advertDue          time.Time
	advertChanged      bool // an advert is due even if free capacity is as advertised
	planDue            time.Time
	allRowsRead        bool // the rows of holds in all listed domains have been read
	checkDue           time.Time
	capacityCheckedAt  time.Time                                 // when free capacity was last compared with advertisedCapacity
	advertVersion      uint64                                    // increases with each change of the advert
	advertisedCapacity *table.TrackedTable[string, FreeCapacity] // free capacity by endpoint in the current advert
	pendingCommits     int                                       // commits of holds without a result yet
	rowsRead           map[string]bool                           // domains whose rows of holds were requested; true once they are read
	rowsRetryAt        time.Time                                 // when rows that could not be read are next requested
}

const (
	yieldRequestInterval  = 500 * time.Millisecond  // between yield requests for one endpoint; a run takes longer to end
	yieldTimeout          = 2 * time.Second         // a yielded endpoint not taken within several request intervals is taken back
	planInterval          = 50 * time.Millisecond   // between plans of holds; a commit takes 10 ms
	idlePlanInterval      = 200 * time.Millisecond  // between plans of holds after an empty plan
	commitRetryDelay      = 250 * time.Millisecond  // after a failed commit of holds
	endedRunRetention     = 5 * time.Second         // longer than a peer takes to establish a new session
	unknownStopInterval   = 100 * time.Millisecond  // between stop orders for unknown runs; twice stopTime
	unresponsiveAfter     = 2                       // missed reports in a row; a single lost report is common
	minFreeMilliCPU       = 1000                    // least free capacity to advertise, in thousandths of a processor
	minRemainingTime      = 5 * time.Millisecond    // assumed for a run that exceeds its estimate
	capacityCheckInterval = 100 * time.Millisecond  // free capacity also changes with time alone, when a pause ends
	advertPausePerPeer    = 1500 * time.Microsecond // a message costs some 15 us, so adverts take 1 % of a processor
	fewPeers              = 10                      // with up to this many members, adverts and heartbeats are not thinned out
	farAdvertFactor       = 4                       // with more members, adverts to other domains are this many times as far apart
	checkInterval         = 5 * time.Millisecond    // between checks of all endpoints and runs
	leaseLimitStep        = 100 * time.Millisecond  // by which the limit of a lease rises before its watch is told
)

func newHolder(config hold.Config) holder {
	return holder{
		registry: hold.New(config), listed: table.New[string, *workload.Endpoint](), missingSince: make(map[string]time.Time),
		endpoints: table.New[string, *endpoint](), runs: table.New[workload.Run, *run](), ended: table.New[workload.Run, endedRun](), lateStarts: table.New[lateStartKey, *lateStart](),
		rowsRead: make(map[string]bool), capacityStale: true, fastSpeeds: make(map[string]float64),
		advertisedCapacity: table.NewTrackedTable[string](func(a, b FreeCapacity) bool { return a == b }, maxRemovedEntries),
	}
}

// applyEndpointList applies the complete endpoint list. It keeps an endpoint that is
// missing from the list for MaxAbsence: entries lapse in an outage of the platform
// although their endpoints are alive.
func (c *Control) applyEndpointList(endpoints []workload.Endpoint) {
	h := &c.holder
	c.endpointList.refreshedAt = c.now
	endpoints = c.validEndpoints(endpoints)
	present := make(map[string]bool, len(endpoints))
	for i := range endpoints {
		e := endpoints[i]
		present[e.ID.Name] = true
		delete(h.missingSince, e.ID.Name)
		old, ok := h.listed.Get(e.ID.Name)
		if ok && isOutdated(&e, old) {
			if !e.Equal(old) {
				c.logEvent("outdated entry of an endpoint left", zap.String("Endpoint", e.ID.Name), zap.Int64("Born", e.ID.Born), zap.Uint64("Version", e.Version), zap.Uint64("Known", old.Version))
			}
			continue
		}
		if !ok || old.Draining != e.Draining || old.ID != e.ID {
			c.logEvent("endpoint listed", zap.String("Endpoint", e.ID.Name), zap.Int64("Born", e.ID.Born), zap.Bool("Draining", e.Draining), zap.String("Domain", e.Domain))
			h.allRowsRead = false
			h.planDue = c.now
		}
		h.listed.Put(e.ID.Name, &e)
	}
	for name := range h.listed.All() {
		if present[name] {
			continue
		}
		since, ok := h.missingSince[name]
		if !ok {
			h.missingSince[name] = c.now
		} else if c.now.Sub(since) >= c.config.Timing.MaxAbsence {
			delete(h.missingSince, name)
			h.listed.Delete(name)
			c.logEvent("endpoint gone", zap.String("Endpoint", name), zap.Duration("Missing", c.now.Sub(since)))
		}
	}
	list := make([]workload.Endpoint, 0, h.listed.Len())
	for _, e := range h.listed.All() {
		list = append(list, *e)
	}
	for _, name := range h.registry.SetEndpoints(list) {
		if e, ok := h.endpoints.Get(name); ok {
			c.loseEndpoint(e, c.lostRunsOutcome(e), c.listedEndCause(e))
		}
	}
	for name, e := range h.endpoints.All() {
		if info, ok := h.listed.Get(name); ok {
			e.info = *info
		}
	}
	h.capacityStale, h.queueChanged, h.lateStartsDue = true, true, c.now
}

// isOutdated reports whether an entry of an endpoint is older than the one that is known. This
// keeps an invariant: the known state of an endpoint never goes back. A list from a member
// that was paused or cut off may be older than what another one has sent, and an earlier
// incarnation or state of an endpoint would count as its next one.
func isOutdated(e, known *workload.Endpoint) bool {
	return e.Version > 0 && e.Version < known.Version
}

// validEndpoints returns the valid endpoints of a list. Every list passes through it, read
// or received, so that an entry of another writer affects no other endpoint.
func (c *Control) validEndpoints(endpoints []workload.Endpoint) []workload.Endpoint {
	invalid := make(map[string]bool)
	for i := range endpoints {
		name := endpoints[i].ID.Name
		err := endpoints[i].Validate()
		if err == nil {
			continue
		}
		invalid[name] = true
		if !c.holder.invalid[name] {
			c.logEvent("invalid endpoint skipped", zap.String("Endpoint", fmt.Sprintf("%.100s", name)), zap.Error(err))
		}
	}
	c.holder.invalid = invalid
	if len(invalid) == 0 {
		return endpoints
	}
	return slices.DeleteFunc(slices.Clone(endpoints), func(e workload.Endpoint) bool { return invalid[e.ID.Name] })
}

// lostRunsOutcome returns the outcome of the runs at an endpoint whose list entry has
// changed. An entry with a new incarnation shows that the old one has ended; without
// an entry the runs may continue.
func (c *Control) lostRunsOutcome(e *endpoint) workload.How {
	if info, ok := c.holder.listed.Get(e.info.ID.Name); ok && info.ID.Born != e.info.ID.Born {
		return workload.Lapsed
	}
	return workload.Unknown
}

// listedEndCause says why the list of endpoints ends the hold of an endpoint.
func (c *Control) listedEndCause(e *endpoint) string {
	if info, ok := c.holder.listed.Get(e.info.ID.Name); ok && info.ID.Born != e.info.ID.Born {
		return "its life has ended: the list names another"
	}
	return "it has left the list"
}

// runHolds asks the registry of holds for a plan and executes it: it requests yields,
// probes endpoints and takes holds. It waits while a commit of holds is in progress.
func (c *Control) runHolds() {
	h := &c.holder
	if h.pendingCommits > 0 || (c.now.Before(h.planDue) && !h.registry.AssignmentStale()) {
		return
	}
	h.planDue = c.now.Add(planInterval)
	c.readHolds()
	c.yieldIdle()
	plan := h.registry.Plan(c.now)
	if plan.Empty() {
		h.planDue = c.now.Add(idlePlanInterval)
	}
	for holder, names := range plan.YieldRequests.All() {
		c.logEvent("hold asked for", zap.Stringer("Holder", holder), zap.Strings("Endpoints", names))
		c.send(holder, &Yield{Endpoints: names})
	}
	for i := range plan.Probe {
		e := &plan.Probe[i]
		c.emit(Probe{Endpoint: e.ID, Address: e.Address})
	}
	for _, t := range plan.Take {
		c.takeHolds(t)
	}
}

// probeDone processes the outcome of a probe. An endpoint of another domain may be
// taken only after a successful one.
func (c *Control) probeDone(m ProbeDone) {
	if m.Reachable {
		c.holder.registry.Reached(m.Endpoint, c.now)
		c.holder.planDue = c.now
	}
}

// readHolds reads the rows of holds of each listed domain once. A domain whose rows cannot
// be read holds up no other.
func (c *Control) readHolds() {
	h := &c.holder
	if h.allRowsRead {
		return
	}
	h.allRowsRead = true
	for _, domain := range h.registry.Domains() {
		read, asked := h.rowsRead[domain]
		h.allRowsRead = h.allRowsRead && read
		if asked || c.now.Before(h.rowsRetryAt) {
			continue
		}
		h.rowsRead[domain] = false
		h.registry.SetUnread(domain, true)
		c.scan(hold.DomainPrefix(domain), func(m ScanDone) {
			if m.Err != nil {
				delete(h.rowsRead, domain)
				h.rowsRetryAt = c.now.Add(commitRetryDelay)
				return
			}
			h.rowsRead[domain] = true
			h.registry.SetUnread(domain, false)
			h.planDue = c.now
			for _, err := range h.registry.ApplyRows(m.Rows) {
				c.logEvent("row of a hold skipped", zap.String("Domain", domain), zap.Error(err))
			}
		})
	}
}

// takeHolds commits the rows of endpoints to take and begins the holds once the commit
// has taken effect.
func (c *Control) takeHolds(t hold.Take) {
	h := &c.holder
	h.pendingCommits++
	c.commit(Commit{Writes: t.Writes}, func(m CommitDone) {
		h.pendingCommits--
		if m.Err != nil {
			c.counters.FailedCommits++
			h.registry.TakeFailed(t, conflictRows(m.Err))
			if !isConflict(m.Err) {
				h.planDue = c.now.Add(commitRetryDelay)
			}
			c.logEvent("holds not taken", zap.Strings("Endpoints", t.Endpoints), zap.Error(m.Err))
			return
		}
		gained := h.registry.TakeCommitted(t, m.Version)
		c.counters.HoldsTaken += int64(len(gained))
		c.logEvent("holds taken", zap.Strings("Endpoints", gained), zap.Uint64("Token", uint64(m.Version)))
		for _, name := range gained {
			c.beginHold(name, m.Version)
		}
		if !c.storedExist() {
			c.readStoredMark(gained)
		}
	})
}

// beginHold starts to watch an endpoint that was just taken. No run starts there
// until a report shows that no run of an earlier holder is left. Ended runs there are
// acknowledged explicitly, unless it is found later that no stored jobs exist.
func (c *Control) beginHold(name string, token workload.Token) {
	info, ok := c.holder.listed.Get(name)
	if !ok {
		return
	}
	if old, ok := c.holder.endpoints.Get(name); ok {
		c.loseEndpoint(old, workload.Unknown, "it was taken again")
	}
	e := &endpoint{info: *info, token: token, heldSince: c.now, runs: table.New[workload.Run, *run]()}
	if speed, ok := c.membership.speeds[name]; ok {
		e.speed.setPrior(speed)
	}
	c.holder.endpoints.Put(name, e)
	e.explicitAcks, e.storedUnknown = true, !c.storedExist()
	if c.disabledRules.storedMark {
		e.explicitAcks, e.storedUnknown = !e.storedUnknown, false
	}
	c.watchEndpoint(e)
}

// loseEndpoint ends the hold of an endpoint and, with the given outcome, its runs.
func (c *Control) loseEndpoint(e *endpoint, how workload.How, cause string) {
	c.logWarning("endpoint lost", e.logFields(zap.Int64("Born", e.info.ID.Born), zap.Stringer("Runs", how), zap.Int("Count", e.runs.Len()), zap.String("Cause", cause))...)
	c.emit(Unwatch{Endpoint: e.info.ID})
	c.noteLostStarts(e, how == workload.Lapsed)
	c.holder.endpoints.Delete(e.info.ID.Name)
	for _, r := range e.runs.All() {
		if r.mayStartLater = c.mayStartLater(r); r.mayStartLater {
			c.endRun(r, workload.Unknown, cause)
			continue
		}
		c.endRun(r, how, cause)
	}
	c.holder.checkDue, c.holder.lateStartsDue = c.now, c.now
	c.holder.capacityStale, c.holder.advertChanged = true, true
	if how == workload.Lapsed {
		c.yieldEndpoint(e.info.ID.Name) // nothing of this instance is at the next life
	}
}

// endHoldIfLost ends the hold of an endpoint if the outcome of an order or report
// shows that another instance holds it or that another incarnation answered. It
// reports whether it did.
func (c *Control) endHoldIfLost(e *endpoint, outcome OrderOutcome) bool {
	switch outcome {
	case Fenced:
		c.loseFenced(e)
	case OtherLife, Misdirected:
		c.loseIncarnation(e)
	default:
		return false
	}
	return true
}

// loseIncarnation ends the hold of an endpoint whose process was replaced by a new
// incarnation under the same name. The new one executes any order that reaches it, so
// none but stops is sent before discovery lists it and it has reported.
func (c *Control) loseIncarnation(e *endpoint) {
	c.holder.registry.IncarnationEnded(e.info.ID.Name)
	c.loseEndpoint(e, workload.Lapsed, "another life of it answers")
}

// loseFenced ends the hold of an endpoint that has received a higher token.
func (c *Control) loseFenced(e *endpoint) {
	c.counters.FencedOrders++
	c.holder.registry.Fenced(e.info.ID.Name)
	c.holder.planDue = c.now
	c.noteLostStarts(e, false)
	c.excludeFormerStarts(e.info.ID, e.token+1)
	c.loseEndpoint(e, workload.Unknown, "another instance holds it")
}

// handleYield gives up endpoints that another instance should hold. It yields those
// without runs now; yieldIdle yields the others when their runs have ended.
func (c *Control) handleYield(from instance.ID, m *Yield) {
	for _, name := range m.Endpoints {
		if c.holder.registry.YieldRequested(from, name) {
			c.holder.capacityStale, c.holder.advertChanged = true, true
			c.yieldEndpoint(name)
		} else if c.holder.registry.RowOutdated(name) {
			c.rereadHolds(name)
		}
	}
}

// rereadHolds has the rows of holds of an endpoint's failure domain read again.
func (c *Control) rereadHolds(endpoint string) {
	e, ok := c.holder.listed.Get(endpoint)
	if !ok || !c.holder.rowsRead[e.Domain] {
		return
	}
	c.logEvent("rows of holds read again", zap.String("Domain", e.Domain), zap.String("Endpoint", endpoint))
	delete(c.holder.rowsRead, e.Domain)
	c.holder.allRowsRead = false
	c.holder.planDue = c.now
}

// yieldEndpoint yields an endpoint without runs to the instance that requested it.
func (c *Control) yieldEndpoint(name string) {
	e, ok := c.holder.endpoints.Get(name)
	if ok && e.runs.Len() > 0 {
		return
	}
	to, yes := c.holder.registry.Yield(name, c.now)
	if !yes {
		return
	}
	if ok {
		c.loseEndpoint(e, workload.NeverRan, "yielded to "+to.Instance)
	}
	c.counters.HoldsYielded++
	c.send(to, &Yielded{Endpoint: name, Version: c.holder.registry.Version(name)})
	c.holder.planDue = c.now
}

// yieldIdle yields the requested endpoints whose runs have all ended.
func (c *Control) yieldIdle() {
	for name, e := range c.holder.endpoints.All() {
		if _, mayStart := c.holder.registry.Token(name); !mayStart && e.runs.Len() == 0 {
			c.yieldEndpoint(name)
		}
	}
}

// heldEndpoint returns the held endpoint of this incarnation and token.
func (c *Control) heldEndpoint(id workload.EndpointID, token workload.Token) (*endpoint, bool) {
	e, ok := c.holder.endpoints.Get(id.Name)
	return e, ok && e.info.ID == id && e.token == token
}

// handleReported applies an endpoint's report to its runs.
func (c *Control) handleReported(m Reported) {
	e, ok := c.heldEndpoint(m.Endpoint, m.Token)
	if !ok {
		return
	}
	if e.reportReceivedAt.IsZero() {
		c.excludeFormerStarts(e.info.ID, e.token)
	}
	if !m.Received.Before(e.reportReceivedAt) {
		e.reportReceivedAt, e.clock, e.reportTruncated = m.Received, m.Report.Clock, m.Report.Truncated()
		e.life.observe(ClockReading{Clock: m.Report.Clock, Sent: m.Sent, Received: m.Received})
	}
	e.reportRequestedAt = later(e.reportRequestedAt, m.Sent)
	e.missedReports = 0
	c.updateCold(e)
	c.logUnexpectedEnds(e, m.Report.Ended)
	for i := range m.Report.Ended {
		c.applyEndedRun(e, &m.Report.Ended[i])
	}
	unknown := c.applyRunning(e, &m)
	c.acknowledgeOutcomes(e, m.Report.Ended)
	c.endVanishedRuns(e, &m)
	c.handleUnknownRuns(e, unknown)
	c.holder.queueChanged = true
	c.holder.capacityStale = true
}

// applyEndedRun processes an ended run in a report. A run that is not in e.runs was
// started by an earlier holder or has already ended here. With explicit acknowledgements,
// its outcome may be kept for the home of its stored job when a report lists the run for
// the first time, that is, with a higher sequence than all before.
func (c *Control) applyEndedRun(e *endpoint, ended *workload.EndedRun) {
	r, ok := e.runs.Get(ended.Run)
	if !ok {
		if e.explicitAcks && ended.Sequence > e.lastEndedSequence {
			c.keepFoundOutcome(e, ended)
		}
		return
	}
	r.listed = true
	if r.confirmedAt.IsZero() {
		r.confirmedAt = c.now
	}
	e.recordOutcome(c, r, ended.How)
	c.endRun(r, ended.How, r.endCause(ended.How))
}

// applyRunning processes the running runs in a report and returns the unknown ones:
// those that are not in e.runs.
func (c *Control) applyRunning(e *endpoint, m *Reported) (unknown []workload.Run) {
	for i := range m.Report.Running {
		rr := &m.Report.Running[i]
		r, ok := e.runs.Get(rr.Run)
		if !ok {
			unknown = append(unknown, rr.Run)
			continue
		}
		r.listed = true
		if r.state == starting {
			r.state = running
		}
		if r.confirmedAt.IsZero() {
			r.confirmedAt = m.Received
			c.noteStartSeen(r)
		}
		if rr.Percent != r.percent {
			r.percent, r.percentAt = rr.Percent, m.Received
		}
	}
	return unknown
}

// endVanishedRuns ends the runs that a report lists neither as running nor as ended,
// although it was requested after the endpoint had confirmed their start or stop. A
// truncated report shows no run to be gone: its end may be one that is not listed yet.
func (c *Control) endVanishedRuns(e *endpoint, m *Reported) {
	if m.Report.Truncated() {
		return
	}
	for id, r := range e.runs.All() {
		if slices.ContainsFunc(m.Report.Running, func(rr workload.RunningRun) bool { return rr.Run == id }) {
			continue
		}
		switch {
		case r.state == running && !r.confirmedAt.IsZero() && m.Sent.After(r.confirmedAt):
			c.endRun(r, workload.Lapsed, "the endpoint does not list it any more")
		case r.state == stopping && !r.stopDone.IsZero() && m.Sent.After(r.stopDone):
			how := workload.NeverRan
			if !r.confirmedAt.IsZero() {
				how = workload.Stopped
			}
			c.endRun(r, how, "the endpoint does not list it after its stop: "+r.stopCause)
		}
	}
}

// handleUnknownRuns stops the running runs of a report that are not in e.runs, such as
// those that an earlier holder has started. While there are any, the endpoint is
// verifying: no run starts there and its lease is not renewed. A report without any
// makes an endpoint active that was verifying or unresponsive, as it has answered.
func (c *Control) handleUnknownRuns(e *endpoint, unknown []workload.Run) {
	e.unknownRuns = len(unknown)
	if len(unknown) > 0 {
		if e.state == active {
			e.state = verifying
			c.watchEndpoint(e)
		}
		if c.now.Sub(e.unknownRunsStoppedAt) < unknownStopInterval {
			return
		}
		e.unknownRunsStoppedAt = c.now
		c.counters.UnknownRuns += int64(len(unknown))
		for _, r := range unknown {
			c.logWarning("unknown run stopped", runFields(r, e.logFields(zap.String("Cause", c.formerEnd(r)))...)...)
			c.orderStop(e, r)
		}
		return
	}
	if e.state == verifying || e.unresponsive {
		if e.state == verifying {
			c.logEvent("endpoint in use", e.logFields()...)
		}
		e.state, e.unresponsive = active, false
		c.holder.checkDue = c.now
		c.holder.advertChanged = true
		c.watchEndpoint(e)
	}
}

// handleSilent processes a missed report. If the answer shows another holder or
// incarnation, the hold ends. After unresponsiveAfter misses in a row the endpoint's
// lease is no longer renewed, so that its runs end at a known time.
func (c *Control) handleSilent(m Silent) {
	e, ok := c.heldEndpoint(m.Endpoint, m.Token)
	if !ok {
		return
	}
	if c.endHoldIfLost(e, m.Outcome) {
		return
	}
	e.missedReports++
	c.holder.capacityStale = true
	if e.missedReports == unresponsiveAfter {
		e.unresponsive = true
		c.holder.checkDue = c.now
		c.counters.SilentEndpoints++
		c.logWarning("endpoint silent", e.logFields(zap.Stringer("Outcome", m.Outcome), zap.Duration("ReportAge", c.now.Sub(e.reportReceivedAt)), zap.Int("Runs", e.runs.Len()), zap.Error(m.Err))...)
		c.watchEndpoint(e)
	}
}

// renewsLease reports whether requests for the endpoint's reports renew the lease of
// its runs.
func (e *endpoint) renewsLease() bool {
	return e.state == active && !e.unresponsive && !e.leaseWithheld
}

// updateWithheldLease stops renewing the lease of an endpoint that does not accept the stop of
// an unwanted run. The home of an orphan relies on its end within holderLossTimeout, and
// callers submit a job that their home has dropped to another instance after as short a time.
func (c *Control) updateWithheldLease(e *endpoint) {
	leaseWithheld := false
	for _, r := range e.runs.All() {
		leaseWithheld = leaseWithheld || (r.state == stopping && !r.unwantedAt.IsZero() && r.stopDone.IsZero() && c.now.Sub(r.unwantedAt) >= c.config.Timing.StopRetry)
	}
	if leaseWithheld == e.leaseWithheld {
		return
	}
	e.leaseWithheld = leaseWithheld
	c.holder.capacityStale = true
	c.logWarning("renewal of the lease changed", e.logFields(zap.Bool("Withheld", leaseWithheld), zap.Int("Runs", e.runs.Len()))...)
	c.watchEndpoint(e)
}

// updateLeaseLimit computes anew to when the lease of an endpoint may be renewed, and tells the
// endpoint's watch.
//
// This keeps an invariant: a run whose callers have left ends before they submit its job again,
// whatever fails after their home could know that they left. So no run is under a lease that
// reaches beyond maxUnconfirmed after its home last knew that its callers wait, or beyond a
// lease after it has become unwanted. Once a run is unwanted its limit does not rise: that its
// home knows the callers which still wait says nothing of those who have left. A lease is of a
// whole endpoint and is never shortened: the limit is that of all runs there, and a run starts
// only where the lease that was granted before does not exceed its own (bestEndpoint).
func (c *Control) updateLeaseLimit(e *endpoint) {
	e.leaseLimit, e.leaseLimitAt = time.Time{}, c.now
	for _, r := range e.runs.All() {
		if limit := c.leaseLimitOf(r); e.leaseLimit.IsZero() || limit.Before(e.leaseLimit) {
			e.leaseLimit = limit
		}
	}
	if limitMoved(e.watchLimit, e.leaseLimit) {
		c.watchEndpoint(e)
	}
}

// includeInLeaseLimit lowers the limit of an endpoint's lease to that of a run that starts there. Those of the
// other runs are computed once a step: in the same step they only rise, or updateLeaseLimit is called.
func (c *Control) includeInLeaseLimit(e *endpoint, r *run) {
	if !e.leaseLimitAt.Equal(c.now) {
		c.updateLeaseLimit(e)
		return
	}
	if limit := c.leaseLimitOf(r); e.leaseLimit.IsZero() || limit.Before(e.leaseLimit) {
		e.leaseLimit = limit
	}
	if limitMoved(e.watchLimit, e.leaseLimit) {
		c.watchEndpoint(e)
	}
}

// limitMoved reports whether a watch has to be told a new limit of the lease. A limit that
// rises is told in steps, as it rises with each message of a home.
func limitMoved(known, limit time.Time) bool {
	return known.IsZero() != limit.IsZero() || limit.Before(known) || limit.Sub(known) >= leaseLimitStep
}

// leaseLimitOf returns to when the lease of a run may be renewed. No caller waits for a stored
// job: its next home asks the holders before it starts anything.
func (c *Control) leaseLimitOf(r *run) time.Time {
	if !r.unwantedAt.IsZero() {
		return r.lastLeaseLimit
	}
	confirmed := c.now
	if !r.request.Stored {
		confirmed = c.callersConfirmedBy(r.home)
	}
	return confirmed.Add(c.config.Timing.maxUnconfirmed())
}

// callersConfirmedBy returns when a home is last known to have known its callers.
func (c *Control) callersConfirmedBy(home instance.ID) time.Time {
	if home == c.self {
		return c.home.callers.confirmedAt
	}
	if m, ok := c.membership.members.Get(home.Instance); ok && m.id == home {
		return m.echoedAt
	}
	return c.now.Add(-c.config.Timing.maxUnconfirmed())
}

// leaseEnd returns the time to which an order that is sent to an endpoint now extends the lease.
func (c *Control) leaseEnd(e *endpoint) time.Time {
	return cappedLease(c.now.Add(c.config.Timing.Lease), e.leaseLimit)
}

// grantedLease returns the time to which the lease of an endpoint may reach already.
func (c *Control) grantedLease(e *endpoint) time.Time {
	if !e.renewing || e.watchLimit.IsZero() {
		return e.leaseGranted
	}
	return later(e.leaseGranted, cappedLease(c.now.Add(c.config.Timing.Lease), e.watchLimit))
}

// cappedLease returns the end of a lease under a limit; a zero limit is none.
func cappedLease(end, limit time.Time) time.Time {
	if !limit.IsZero() && limit.Before(end) {
		return limit
	}
	return end
}

// endLapsedRuns ends the runs at an endpoint whose lease has certainly expired. It
// leaves runs whose start order is unanswered, as the endpoint may still execute it:
// these end only after the endpoint has accepted their stop.
func (c *Control) endLapsedRuns(e *endpoint) {
	if !(e.unresponsive || e.leaseWithheld) || e.runs.Len() == 0 || c.now.Sub(e.leaseRenewedAt) < c.config.Timing.leaseExpiry() {
		return
	}
	for _, r := range e.runs.All() {
		if !r.confirmedAt.IsZero() {
			c.endRun(r, workload.Lapsed, "the lease at the endpoint is over")
		}
	}
}

// usable reports whether runs may be started at an endpoint: it is not being yielded,
// drained or evacuated, its lease is renewed and not about to end, its last report is recent and its
// health permits it, and if it is cold the rate of its starts does. During a planned stop of
// this instance no endpoint is usable.
func (c *Control) usable(e *endpoint) bool {
	_, mayStart := c.holder.registry.Token(e.info.ID.Name)
	return mayStart && e.renewsLease() && !e.info.Draining && c.mayStartIn(e.info.Domain) && c.stop == serving &&
		c.leaseEnd(e).Sub(c.now) > c.config.Timing.Lease/2 && c.now.Sub(e.reportReceivedAt) < c.config.Timing.MaxReportAge && e.cold.admits() && e.health.admits(c.now, e.runs.Len())
}

func (e *endpoint) free() workload.Resources { return e.info.Capacity.Sub(e.reserved) }

// runHolder starts queued runs, stops unwanted ones and repeats unanswered orders.
func (c *Control) runHolder() {
	h := &c.holder
	if !c.now.Before(h.checkDue) {
		h.checkDue = c.now.Add(checkInterval)
		c.checkEndpoints()
	}
	if h.queueChanged || len(h.queue) > 0 {
		c.startQueued()
	}
	c.forgetEnded()
}

// checkEndpoints counts the held endpoints and acts on expired leases, missing answers
// and runs without progress.
func (c *Control) checkEndpoints() {
	h := &c.holder
	c.stopOrphans()
	h.held, h.active, h.cold, h.totalCapacity = 0, 0, 0, workload.Resources{}
	for _, e := range h.endpoints.All() {
		h.held++
		c.updateCold(e)
		c.logUse(e)
		if e.cold.active {
			h.cold++
		}
		c.updateWithheldLease(e)
		c.updateLeaseLimit(e)
		c.endLapsedRuns(e)
		c.requestOverdueReport(e)
		if e.renewsLease() {
			h.active++
			if c.mayStartIn(e.info.Domain) {
				h.totalCapacity = h.totalCapacity.Add(e.info.Capacity)
			}
		}
	}
	c.countEvacuated()
	c.updateFastSpeeds()
	for _, r := range h.runs.All() {
		c.checkRun(r)
	}
	c.stopLateStarts()
}

// updateFastSpeeds computes the speeds of the fast endpoints of each service anew, unless it
// has done so lately.
func (c *Control) updateFastSpeeds() {
	h := &c.holder
	if c.now.Sub(h.fastSpeedsAt) < capacityCheckInterval {
		return
	}
	h.fastSpeedsAt = c.now
	speeds := make(map[string][]float64)
	h.throughput = 0
	for _, e := range h.endpoints.All() {
		if e.renewsLease() && c.mayStartIn(e.info.Domain) {
			h.throughput += float64(e.info.Capacity.MilliCPU) * e.speed.value()
			speeds[e.info.Service] = append(speeds[e.info.Service], e.speed.value())
		}
	}
	clear(h.fastSpeeds)
	for service, list := range speeds {
		h.fastSpeeds[service] = meanOfFastest(list)
	}
}

// meanOfFastest returns the mean of the highest third of speeds. A maximum would rest on one
// speed that was learned from few runs.
func meanOfFastest(speeds []float64) float64 {
	slices.Sort(speeds)
	fastest := speeds[len(speeds)*2/3:]
	sum := 0.0
	for _, s := range fastest {
		sum += s
	}
	return sum / float64(len(fastest))
}

// fastSpeed returns the speed of the fast endpoints of a service, as far as those held here
// show it.
func (c *Control) fastSpeed(service string) float64 {
	if speed, ok := c.holder.fastSpeeds[service]; ok {
		return speed
	}
	return 1
}

// stopOrphans stops the runs of homes that cannot be relied on any more: callers may
// submit their jobs to other instances, which rely on the runs here having ended.
func (c *Control) stopOrphans() {
	for _, r := range c.holder.runs.All() {
		c.noteRunWith(r.home)
		if cause, orphaned := c.orphanCause(r.home); orphaned {
			c.orphanRun(r, cause)
		}
	}
}

// orphanRun stops a run that its home will soon assume to have ended, unless it is unwanted
// already.
func (c *Control) orphanRun(r *run, cause string) {
	if r.unwantedAt.IsZero() {
		c.counters.Orphans++
		c.dropRun(r, cause)
	}
}

// orphanCause reports whether the runs of a home must be stopped, and why. A home
// whose messages arrive may have received none from this instance for so long that it
// assumes its runs have ended: only a confirmed message excludes that.
func (c *Control) orphanCause(id instance.ID) (cause string, orphaned bool) {
	if id == c.self || c.disabledRules.orphans {
		return "", false
	}
	m, ok := c.membership.members.Get(id.Instance)
	switch {
	case !ok || m.id != id:
		return "its home has restarted", true
	case !m.suspectedSince.IsZero():
		return "its home is silent", true
	case m.heartbeat.ReceiverSuspected:
		return "its home does not hear this instance", true
	case c.now.Sub(m.echoedAt) > c.config.Timing.EchoTimeout:
		return "its home has not confirmed a message for too long", true
	}
	return "", false
}

// orphanForeignRuns stops the runs of all other homes after this process was paused
// for so long that they have given up these runs.
func (c *Control) orphanForeignRuns(gap time.Duration) {
	c.logWarning("instance stood still", zap.Duration("Gap", gap), zap.Int("Runs", c.holder.runs.Len()))
	c.orphanRuns(func(home instance.ID) bool { return home != c.self }, "this instance stood still")
}

// orphanRunsOfHome stops the runs of one home.
func (c *Control) orphanRunsOfHome(home instance.ID, cause string) {
	c.orphanRuns(func(id instance.ID) bool { return id == home }, cause)
}

func (c *Control) orphanRuns(of func(home instance.ID) bool, cause string) {
	for _, r := range c.holder.runs.All() {
		if of(r.home) {
			c.orphanRun(r, cause)
		}
	}
}

// forgetEnded removes ended runs after endedRunRetention.
func (c *Control) forgetEnded() {
	for id, r := range c.holder.ended.All() {
		if c.now.Sub(r.at) < endedRunRetention {
			return
		}
		c.holder.ended.Delete(id)
	}
}
