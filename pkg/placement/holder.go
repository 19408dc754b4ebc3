package placement

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/hold"
	"crocusseam/pkg/instance"
	"crocusseam/pkg/table"
	"crocusseam/pkg/workload"
)

type endpointState int

const (
	verifying endpointState = iota // what runs there is not known to be this instance's
	active
)

// endpoint is an endpoint that this instance holds. What is reserved there
// counts from the sending of a start order until the end is certain.
type endpoint struct {
	info                 workload.Endpoint
	token                workload.Token
	state                endpointState
	runs                 *runTable
	reserved             workload.Resources
	reportReceivedAt     time.Time           // when the last report came
	reportRequestedAt    time.Time           // when it was asked for
	extraRequestAt       time.Time           // when a report was asked for beside the watch
	clock                time.Duration       // of the endpoint, at reportAt
	leaseRenewedAt       time.Time           // when something that renews the lease was last sent
	missedReports        int                 // in a row
	unresponsive         bool                // the lease is not renewed, as nothing is heard
	leaseWithheld        bool                // the lease is not renewed, as the stop of an orphan is not accepted
	unknownRunsStoppedAt time.Time           // when unknown runs were last ordered to stop
	explicitAcks         bool                // ends are acknowledged one by one
	storedUnknown        bool                // whether there are stored jobs was not known when it was taken
	lastEndedSequence    int64               // sequence of the last end that was listed
	unacknowledged       []workload.EndedRun // that the endpoint still keeps
	speed                speedModel
	health               health
}

type runState int

const (
	queued runState = iota
	starting
	running
	stopping
	finished
)

// run is a run that a home has placed with this instance.
type run struct {
	id            workload.Run
	home          instance.ID
	otherHomes    []instance.ID // homes that have placed a run of the same number, and wait for its end
	request       *PlaceRequest
	avoid         []string
	state         runState
	endpoint      *endpoint
	arrivedAt     time.Time
	objective     time.Time
	expiry        time.Time
	waitReported  bool // the home knows that it waits
	orderedAt     time.Time
	startsSent    int       // start orders sent
	answerDue     time.Time // when the last of them counts as not answered
	confirmedAt   time.Time // when the endpoint was first known to have it
	stopSentAt    time.Time
	stopDone      time.Time // when the endpoint accepted the stop
	unwanted      bool      // the home does not want it any more
	orphanedAt    time.Time // when it was dropped because its home takes it as ended soon
	mayStartLater bool      // its start may be carried out after its end was told
	percent       int
	percentAt     time.Time
	endMessage    *RunEnded
	endedAt       time.Time
}

// holder holds endpoints and the runs placed there.
type holder struct {
	registry           *hold.Registry
	listed             *table.Table[string, *workload.Endpoint]
	missingSince       map[string]time.Time
	endpoints          *table.Table[string, *endpoint]
	runs               *runTable // that have not ended
	ended              *runTable // kept for a while, for homes that ask again
	queue              []*run
	queueChanged       bool // queue or room have changed since the last look
	held               int
	active             int
	totalCapacity      workload.Resources // of the active endpoints
	freeCapacity       []FreeCapacity
	capacityStale      bool
	advertDue          time.Time
	advertChanged      bool // something to advertise
	planDue            time.Time
	allRowsRead        bool // the rows of the holds of every listed domain
	checkDue           time.Time
	capacityCheckedAt  time.Time                                 // when the rooms were last compared with those advertised
	advertVersion      uint64                                    // of the advert
	advertisedCapacity *table.TrackedTable[string, FreeCapacity] // as last advertised
	pendingCommits     int                                       // of holds, on their way
	rowsRead           map[string]bool                           // domains whose rows of holds were read at the start
}

// Bounds of the holder's systems.
const (
	yieldRequestInterval  = 500 * time.Millisecond  // between requests to yield; a run takes longer to end
	yieldTimeout          = 2 * time.Second         // several asks, after which a yielded endpoint is wanted back
	planInterval          = 50 * time.Millisecond   // between looks at the division; a commit takes 10 ms
	idlePlanInterval      = 200 * time.Millisecond  // the same while there is nothing to do
	commitRetryDelay      = 250 * time.Millisecond  // after a commit of holds that failed
	endedRunRetention     = 5 * time.Second         // longer than a session takes to be set up anew
	unknownStopInterval   = 100 * time.Millisecond  // twice the time of a stop
	unresponsiveAfter     = 2                       // one lost report is common
	minFreeMilliCPU       = 1000                    // thousandths of a processor that are worth an advert
	minRemainingTime      = 5 * time.Millisecond    // expected until something ends that should have ended
	capacityCheckInterval = 100 * time.Millisecond  // between looks for rooms that have changed by time alone
	advertPausePerPeer    = 1500 * time.Microsecond // a message costs some 15 us, so a hundredth of a processor
	fewPeers              = 10                      // that all hear every advert without a longer pause
	farAdvertFactor       = 4                       // pauses between adverts to members of other domains, where there are many
	checkInterval         = 5 * time.Millisecond    // between looks at all endpoints and runs
)

func newHolder(config hold.Config) holder {
	return holder{
		registry: hold.New(config), listed: table.New[string, *workload.Endpoint](), missingSince: make(map[string]time.Time),
		endpoints: table.New[string, *endpoint](), runs: table.New[workload.Run, *run](), ended: table.New[workload.Run, *run](),
		rowsRead: make(map[string]bool), capacityStale: true,
		advertisedCapacity: table.NewTrackedTable[string](func(a, b FreeCapacity) bool { return a == b }, maxRemovedEntries),
	}
}

// takeList takes what discovery shows. An endpoint that is missing is kept for
// a while: entries lapse while the platform is away although their endpoints
// live.
func (c *Control) applyEndpointList(endpoints []workload.Endpoint) {
	h := &c.holder
	c.endpointList.refreshedAt = c.now
	present := make(map[string]bool, len(endpoints))
	for i := range endpoints {
		e := endpoints[i]
		present[e.ID.Name] = true
		delete(h.missingSince, e.ID.Name)
		if old, ok := h.listed.Get(e.ID.Name); !ok || old.Draining != e.Draining || old.ID != e.ID {
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
			c.loseEndpoint(e, c.lostRunsOutcome(e), "its life has ended")
		}
	}
	for name, e := range h.endpoints.All() {
		if info, ok := h.listed.Get(name); ok {
			e.info = *info
		}
	}
	h.capacityStale, h.queueChanged = true, true
}

// lifeEnd is how the runs of an endpoint end whose entry has changed: with a new
// life the old one is over, without an entry they may still run.
func (c *Control) lostRunsOutcome(e *endpoint) workload.How {
	if info, ok := c.holder.listed.Get(e.info.ID.Name); ok && info.ID.Born != e.info.ID.Born {
		return workload.Lapsed
	}
	return workload.Unknown
}

// runHolds carries out the plan of the book.
func (c *Control) runHolds() {
	h := &c.holder
	if h.pendingCommits > 0 || (c.now.Before(h.planDue) && !h.registry.AssignmentStale()) {
		return
	}
	h.planDue = c.now.Add(planInterval)
	if !c.readHolds() {
		return
	}
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

func (c *Control) probeDone(m ProbeDone) {
	if m.Reachable {
		c.holder.registry.Reached(m.Endpoint, c.now)
		c.holder.planDue = c.now
	}
}

// readHolds reads the rows of all domains once after the start, and reports
// whether that is done.
func (c *Control) readHolds() bool {
	h := &c.holder
	if h.allRowsRead {
		return true
	}
	complete := true
	for _, domain := range h.registry.Domains() {
		read, asked := h.rowsRead[domain]
		complete = complete && read
		if asked {
			continue
		}
		h.rowsRead[domain] = false
		c.scan(hold.DomainPrefix(domain), func(m ScanDone) {
			if m.Err != nil {
				delete(h.rowsRead, domain)
				h.planDue = c.now.Add(commitRetryDelay)
				return
			}
			h.rowsRead[domain] = true
			h.planDue = c.now
			for _, err := range h.registry.ApplyRows(m.Rows) {
				c.logEvent("row of a hold skipped", zap.String("Domain", domain), zap.Error(err))
			}
		})
	}
	h.allRowsRead = complete
	return complete
}

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

// beginHold looks at what runs at an endpoint that was just taken. Nothing
// starts there before all of it is gone.
func (c *Control) beginHold(name string, token workload.Token) {
	info, ok := c.holder.listed.Get(name)
	if !ok {
		return
	}
	if old, ok := c.holder.endpoints.Get(name); ok {
		c.loseEndpoint(old, workload.Unknown, "it was taken again")
	}
	e := &endpoint{info: *info, token: token, runs: table.New[workload.Run, *run]()}
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

// loseEndpoint ends the hold of an endpoint and the runs there.
func (c *Control) loseEndpoint(e *endpoint, how workload.How, cause string) {
	c.logEvent("endpoint lost", zap.String("Endpoint", e.info.ID.Name), zap.Uint64("Token", uint64(e.token)), zap.Stringer("Runs", how), zap.Int("Count", e.runs.Len()), zap.String("Cause", cause))
	c.emit(Unwatch{Endpoint: e.info.ID})
	for _, r := range e.runs.All() {
		if how == workload.Lapsed && r.confirmedAt.IsZero() {
			// A start that was not answered may be carried out by the next life.
			c.orderStop(e, r.id)
			r.mayStartLater = true
			c.endRun(r, workload.Unknown, cause)
			continue
		}
		c.endRun(r, how, cause)
	}
	c.holder.endpoints.Delete(e.info.ID.Name)
	c.holder.checkDue = c.now
	c.holder.capacityStale, c.holder.advertChanged = true, true
}

// holdLost ends the hold of an endpoint if an answer of it says that another
// instance holds it or that another life of it answers.
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

// loseLife ends the hold of an endpoint that has begun a new life under its name.
// The new life carries out whatever reaches it: nothing more is ordered before
// discovery lists it and its own report was seen.
func (c *Control) loseIncarnation(e *endpoint) {
	c.holder.registry.IncarnationEnded(e.info.ID.Name)
	c.loseEndpoint(e, workload.Lapsed, "another life of it answers")
}

func (c *Control) loseFenced(e *endpoint) {
	c.counters.FencedOrders++
	c.holder.registry.Fenced(e.info.ID.Name)
	c.holder.planDue = c.now
	c.loseEndpoint(e, workload.Unknown, "another instance holds it")
}

// asked yields endpoints that another instance should hold, as soon as nothing
// of this instance's runs there.
func (c *Control) handleYield(from instance.ID, m *Yield) {
	for _, name := range m.Endpoints {
		if c.holder.registry.YieldRequested(from, name) {
			c.holder.capacityStale, c.holder.advertChanged = true, true
			c.yieldEndpoint(name)
		}
	}
}

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

func (c *Control) yieldIdle() {
	for name, e := range c.holder.endpoints.All() {
		if _, mayStart := c.holder.registry.Token(name); !mayStart && e.runs.Len() == 0 {
			c.yieldEndpoint(name)
		}
	}
}

// endpointOf returns the held endpoint of this life under this token.
func (c *Control) heldEndpoint(id workload.EndpointID, token workload.Token) (*endpoint, bool) {
	e, ok := c.holder.endpoints.Get(id.Name)
	return e, ok && e.info.ID == id && e.token == token
}

// reported takes an endpoint's report.
func (c *Control) handleReported(m Reported) {
	e, ok := c.heldEndpoint(m.Endpoint, m.Token)
	if !ok {
		return
	}
	if !m.Received.Before(e.reportReceivedAt) {
		e.reportReceivedAt, e.clock = m.Received, m.Report.Clock
	}
	e.reportRequestedAt = later(e.reportRequestedAt, m.Sent)
	e.missedReports = 0
	if e.renewsLease() {
		e.leaseRenewedAt = later(e.leaseRenewedAt, m.Sent)
	}
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

// takeEnd takes an end that the endpoint lists.
func (c *Control) applyEndedRun(e *endpoint, end *workload.EndedRun) {
	r, ok := e.runs.Get(end.Run)
	if !ok {
		if e.explicitAcks && end.Sequence > e.lastEndedSequence {
			c.keepFoundOutcome(e, end)
		}
		return
	}
	e.recordOutcome(c, r, end.How)
	c.endRun(r, end.How, "")
}

// takeRunning takes the list of what runs, and returns what nobody here has
// started.
func (c *Control) applyRunning(e *endpoint, m *Reported) (unknown []workload.Run) {
	for i := range m.Report.Running {
		rr := &m.Report.Running[i]
		r, ok := e.runs.Get(rr.Run)
		if !ok {
			unknown = append(unknown, rr.Run)
			continue
		}
		if r.state == starting {
			r.state = running
		}
		if r.confirmedAt.IsZero() {
			r.confirmedAt = m.Received
		}
		if rr.Percent != r.percent {
			r.percent, r.percentAt = rr.Percent, m.Received
		}
	}
	return unknown
}

// settleVanished ends the runs that the endpoint neither lists as running nor
// as ended, although it was asked after it had confirmed their start or stop.
func (c *Control) endVanishedRuns(e *endpoint, m *Reported) {
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
			c.endRun(r, how, "the endpoint does not list it")
		}
	}
}

// judgeUnknown stops what an earlier holder has left at the endpoint, and takes
// the endpoint into use when nothing of it is left.
func (c *Control) handleUnknownRuns(e *endpoint, unknown []workload.Run) {
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
			c.logEvent("unknown run stopped", jobField(r.Task.Job), zap.Int("Index", r.Task.Index), zap.Int("Run", r.Number), zap.String("Endpoint", e.info.ID.Name), zap.Uint64("Token", uint64(e.token)))
			c.orderStop(e, r)
		}
		return
	}
	if e.state == verifying || e.unresponsive {
		if e.state == verifying {
			c.logEvent("endpoint in use", zap.String("Endpoint", e.info.ID.Name), zap.Uint64("Token", uint64(e.token)))
		}
		e.state, e.unresponsive = active, false
		c.holder.checkDue = c.now
		e.leaseRenewedAt = c.now
		c.holder.advertChanged = true
		c.watchEndpoint(e)
	}
}

// silent takes the failure of an endpoint to report. After some in a row its
// lease is no longer renewed, so that what runs there ends at a known time.
func (c *Control) handleSilent(m Silent) {
	e, ok := c.heldEndpoint(m.Endpoint, m.Token)
	if !ok {
		return
	}
	if c.endHoldIfLost(e, m.Outcome) {
		return
	}
	if e.renewsLease() {
		e.leaseRenewedAt = c.now
	}
	e.missedReports++
	c.holder.capacityStale = true
	if e.missedReports == unresponsiveAfter {
		e.unresponsive = true
		c.holder.checkDue = c.now
		c.counters.SilentEndpoints++
		c.logEvent("endpoint silent", zap.String("Endpoint", e.info.ID.Name), zap.Stringer("Outcome", m.Outcome), zap.Duration("ReportAge", c.now.Sub(e.reportReceivedAt)), zap.Int("Runs", e.runs.Len()), zap.Error(m.Err))
		c.watchEndpoint(e)
	}
}

// renews reports whether the reports of an endpoint renew the lease of what runs
// there.
func (e *endpoint) renewsLease() bool {
	return e.state == active && !e.unresponsive && !e.leaseWithheld
}

// withholdLease lets the lease of an endpoint run out that does not accept the
// stop of an orphan: its home counts on its end within the loss term.
func (c *Control) updateWithheldLease(e *endpoint) {
	withheld := false
	for _, r := range e.runs.All() {
		withheld = withheld || (r.state == stopping && !r.orphanedAt.IsZero() && r.stopDone.IsZero() && c.now.Sub(r.orphanedAt) >= c.config.Timing.StopRetry)
	}
	if withheld == e.leaseWithheld {
		return
	}
	e.leaseWithheld = withheld
	c.holder.capacityStale = true
	c.logEvent("renewal of the lease changed", zap.String("Endpoint", e.info.ID.Name), zap.Bool("Withheld", withheld), zap.Int("Runs", e.runs.Len()))
	if !withheld && e.renewsLease() {
		e.leaseRenewedAt = c.now
	}
	c.watchEndpoint(e)
}

// lapseSilent ends the runs at an endpoint whose lease has certainly run out. A
// start that was not answered may still be carried out: it ends only when its
// stop was accepted.
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

// usable reports whether runs may be started at an endpoint.
func (c *Control) usable(e *endpoint) bool {
	_, mayStart := c.holder.registry.Token(e.info.ID.Name)
	return mayStart && e.renewsLease() && !e.info.Draining && c.stop == serving &&
		c.now.Sub(e.reportReceivedAt) < c.config.Timing.MaxReportAge && e.health.admits(c.now, e.runs.Len())
}

func (e *endpoint) free() workload.Resources { return e.info.Capacity.Sub(e.reserved) }

// runHolder starts what can start, stops what nobody wants any more, and looks
// after orders that were not answered.
func (c *Control) runHolder() {
	h := &c.holder
	if !c.now.Before(h.checkDue) {
		h.checkDue = c.now.Add(checkInterval)
		c.checkEndpoints()
	}
	if h.queueChanged || len(h.queue) > 0 {
		h.queueChanged = false
		c.startQueued()
	}
	c.forgetEnded()
}

// lookAtEndpoints counts what is held, and looks after runs and orders that
// time has run out for.
func (c *Control) checkEndpoints() {
	h := &c.holder
	c.stopOrphans()
	h.held, h.active, h.totalCapacity = 0, 0, workload.Resources{}
	for _, e := range h.endpoints.All() {
		h.held++
		c.updateWithheldLease(e)
		c.endLapsedRuns(e)
		c.requestOverdueReport(e)
		if e.renewsLease() {
			h.active++
			h.totalCapacity = h.totalCapacity.Add(e.info.Capacity)
		}
	}
	for _, r := range h.runs.All() {
		c.checkRun(r)
	}
}

// orphanSilent stops the runs of homes that can not be relied on any more: their
// callers may hand the jobs to other instances, and they count on it that runs
// here have ended.
func (c *Control) stopOrphans() {
	for _, r := range c.holder.runs.All() {
		c.noteRunWith(r.home)
		if cause, silent := c.orphanCause(r.home); silent {
			c.orphanRun(r, cause)
		}
	}
}

// orphanRun stops a run that its home takes as ended before long.
func (c *Control) orphanRun(r *run, cause string) {
	if !r.orphanedAt.IsZero() {
		return
	}
	r.orphanedAt = c.now
	if !r.unwanted {
		c.counters.Orphans++
		c.dropRun(r, cause)
	}
}

// silentHome reports whether what a home has placed here must not run, and why.
// A home that is heard may itself not have heard this instance for long enough
// to take its runs as ended: only the echo of a message tells.
func (c *Control) orphanCause(id instance.ID) (cause string, silent bool) {
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

// orphanAll stops the runs of all other homes after this instance has stood
// still for so long that they have given them up.
func (c *Control) orphanForeignRuns(gap time.Duration) {
	c.logEvent("instance stood still", zap.Duration("Gap", gap), zap.Int("Runs", c.holder.runs.Len()))
	c.orphanRuns(func(home instance.ID) bool { return home != c.self }, "this instance stood still")
}

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

func (c *Control) forgetEnded() {
	for id, r := range c.holder.ended.All() {
		if c.now.Sub(r.endedAt) < endedRunRetention {
			return
		}
		c.holder.ended.Delete(id)
	}
}
