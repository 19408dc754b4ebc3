package placement

import (
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/table"
	"crocusseam/pkg/workload"
)

// keptOutcome is the outcome of a run that must not be acknowledged to the endpoint
// yet: the home of its stored job has not recorded it, or its job is not known here.
type keptOutcome struct {
	message     *RunEnded
	endpoint    string
	lastTriedAt time.Time // when it was last sent to the home, or the home was looked up
}

// keptOutcomes holds the outcomes that this instance keeps as a holder until they are
// recorded.
type keptOutcomes struct {
	outcomes *table.Table[workload.Run, *keptOutcome]
	rounds   *table.Table[workload.JobID, latestRound]
	// storedJobsExist says that storedMark was found in the store.
	storedJobsExist bool
	// uncheckedEndpoints are endpoints for which storedMark could not be read yet.
	uncheckedEndpoints []string
	nextCheck          time.Time // when storedMark is next read for them
}

// storedMark is the row that an instance writes before it accepts its first stored job.
// It is in the same partition as the members' rows, so that one commit writes both.
const (
	storedPrefix = "stored/"
	storedMark   = storedPrefix + "mark"
)

// latestRound is the highest round of a job in the messages of its homes. It is kept only of jobs that have had
// more than one home.
type latestRound struct {
	round int
	at    time.Time
}

const (
	homeLookupPeriod = 2 * time.Second  // after which the home of an outcome that is not recorded is looked up
	roundRetention   = 10 * time.Minute // longer than an instance may be paused and then continue
)

func newKeptOutcomes() keptOutcomes {
	return keptOutcomes{outcomes: table.New[workload.Run, *keptOutcome](), rounds: table.New[workload.JobID, latestRound]()}
}

// observeRound notes the round of a job in a message from its home. It returns false if
// a message of a later home was received before.
func (c *Control) observeRound(job workload.JobID, round int) bool {
	seen, ok := c.keptOutcomes.rounds.Get(job)
	if ok && round < seen.round {
		return false
	}
	if round > 0 { // nothing is lower than the round of the first home
		c.keptOutcomes.rounds.Delete(job)
		c.keptOutcomes.rounds.Put(job, latestRound{round, c.now})
	}
	return true
}

// acknowledgeIndividually makes the watch of an endpoint acknowledge outcomes one by
// one from now on, instead of all that it has delivered.
func (c *Control) acknowledgeIndividually(e *endpoint) {
	e.storedUnknown = false
	if e.explicitAcks {
		return
	}
	e.explicitAcks = true
	c.watchEndpoint(e)
}

// readStoredMark finds out whether outcomes found at endpoints that were just taken may
// belong to stored jobs. The mark must be read after the endpoints were taken, as a job
// may be stored until then.
func (c *Control) readStoredMark(names []string) {
	if len(names) == 0 {
		return
	}
	c.scan(storedPrefix, func(m ScanDone) {
		if m.Err != nil {
			c.keptOutcomes.uncheckedEndpoints = append(c.keptOutcomes.uncheckedEndpoints, names...)
			return
		}
		c.keptOutcomes.storedJobsExist = c.keptOutcomes.storedJobsExist || rowOf(m.Rows, storedMark) != nil
		for _, name := range names {
			if e, ok := c.holder.endpoints.Get(name); ok && e.storedUnknown {
				c.settleFoundOutcomes(e)
			}
		}
	})
}

// settleFoundOutcomes acknowledges the outcomes that a former holder has left at an
// endpoint. If stored jobs exist, it looks up the homes of the jobs instead.
func (c *Control) settleFoundOutcomes(e *endpoint) {
	e.storedUnknown = false
	stored := c.storedExist()
	e.explicitAcks = stored
	for id, k := range c.keptOutcomes.outcomes.All() {
		switch {
		case k.endpoint != e.info.ID.Name:
		case stored:
			c.lookUpHome(id)
		default:
			c.forgetOutcome(id)
		}
	}
	if !stored {
		e.unacknowledged = nil
		c.watchEndpoint(e)
	}
}

// watchEndpoint starts the watch of an endpoint, or changes it. A watch that renews the
// lease has done so with requests that were not answered, up to the moment when it is told
// not to: the runs there lapse a term after that.
func (c *Control) watchEndpoint(e *endpoint) {
	renew := e.renewsLease()
	e.leaseGranted = c.grantedLease(e)
	if e.renewing && !renew {
		e.leaseRenewedAt = c.now
	}
	e.renewing = renew
	e.watchLimit = e.leaseLimit
	c.emit(Watch{
		Endpoint: e.info.ID, Address: e.info.Address, Token: e.token,
		Renew: renew, RenewUntil: e.watchLimit, ExplicitAcks: e.explicitAcks,
	})
}

// acknowledgeOutcomes acknowledges the ended runs of a report up to the first whose
// outcome is kept.
func (c *Control) acknowledgeOutcomes(e *endpoint, ended []workload.EndedRun) {
	if !e.explicitAcks {
		return
	}
	for i := range ended {
		if ended[i].Sequence > e.lastEndedSequence {
			e.lastEndedSequence = ended[i].Sequence
			e.unacknowledged = append(e.unacknowledged, ended[i])
		}
	}
	c.acknowledgeSettled(e)
}

// acknowledgeSettled lets the endpoint's watch acknowledge all ended runs before the
// first one whose outcome is kept. It waits while the endpoint has not confirmed the start of a
// stored job's run: its next incarnation may carry out the start and then an acknowledgement,
// which would cover the end of that run. It does not wait after a truncated report, as only
// acknowledgements make room for the end of such a run.
func (c *Control) acknowledgeSettled(e *endpoint) {
	if e.hasUnconfirmedStart() && !e.reportTruncated {
		return
	}
	upto := int64(0)
	for len(e.unacknowledged) > 0 && !c.keptOutcomes.outcomes.Has(e.unacknowledged[0].Run) {
		upto = e.unacknowledged[0].Sequence
		e.unacknowledged = e.unacknowledged[1:]
	}
	if upto > 0 {
		c.emit(Acknowledge{Endpoint: e.info.ID, Token: e.token, Upto: upto})
	}
}

// hasUnconfirmedStart reports whether the endpoint may not have started a run of a stored job
// yet, although its start was ordered.
func (e *endpoint) hasUnconfirmedStart() bool {
	for _, r := range e.runs.All() {
		if r.request.Stored && r.confirmedAt.IsZero() {
			return true
		}
	}
	return false
}

// keepOutcome keeps the outcome of a run until it is recorded.
func (c *Control) keepOutcome(e *endpoint, message *RunEnded) {
	message.Kept = true
	c.keptOutcomes.outcomes.Put(message.Run, &keptOutcome{message: message, endpoint: e.info.ID.Name, lastTriedAt: c.now})
}

// keepFoundOutcome keeps the outcome of a former holder's run that was found at an
// endpoint: the job may be stored, and its home may not know the outcome. It keeps only
// Done and Failed, and skips runs that have lately ended so at this instance. A run that has
// ended here without a known outcome may have been started late by the endpoint.
func (c *Control) keepFoundOutcome(e *endpoint, ended *workload.EndedRun) {
	if c.keptOutcomes.outcomes.Has(ended.Run) || (ended.How != workload.Done && ended.How != workload.Failed) {
		return
	}
	if r, known := c.holder.ended.Get(ended.Run); known && r.message.How == ended.How {
		return
	}
	end := &RunEnded{Run: ended.Run, How: ended.How, Endpoint: e.info.ID.Name, Born: e.info.ID.Born, Detail: "found at a take-over"}
	c.keepOutcome(e, end)
	if !e.storedUnknown {
		c.lookUpHome(end.Run)
	}
}

// handleOutcomesRecorded forgets the kept outcomes that a home has recorded, so that
// their endpoints may forget the runs.
func (c *Control) handleOutcomesRecorded(m *OutcomesRecorded) {
	for _, id := range m.Runs {
		c.forgetOutcome(id)
	}
}

// forgetOutcome forgets a kept outcome and acknowledges what is no longer kept.
func (c *Control) forgetOutcome(id workload.Run) {
	k, ok := c.keptOutcomes.outcomes.Get(id)
	if !ok {
		return
	}
	c.keptOutcomes.outcomes.Delete(id)
	if e, ok := c.holder.endpoints.Get(k.endpoint); ok {
		c.acknowledgeSettled(e)
	}
}

// runKeptOutcomes retries failed reads of storedMark, looks up the homes of outcomes
// that have not been recorded for homeLookupPeriod, and forgets old rounds.
func (c *Control) runKeptOutcomes() {
	if c.keptOutcomes.uncheckedEndpoints != nil && !c.now.Before(c.keptOutcomes.nextCheck) {
		c.keptOutcomes.nextCheck = c.now.Add(recordRetryPause)
		names := c.keptOutcomes.uncheckedEndpoints
		c.keptOutcomes.uncheckedEndpoints = nil
		c.readStoredMark(names)
	}
	for id, k := range c.keptOutcomes.outcomes.All() {
		if c.now.Sub(k.lastTriedAt) >= homeLookupPeriod {
			c.lookUpHome(id)
		}
	}
	for id, r := range c.keptOutcomes.rounds.All() {
		if c.now.Sub(r.at) < roundRetention {
			break
		}
		c.keptOutcomes.rounds.Delete(id)
	}
}

// lookUpHome reads the home of a kept outcome's job from the store and sends it the
// outcome. If the job is not open, the outcome is not needed any more.
func (c *Control) lookUpHome(id workload.Run) {
	k, ok := c.keptOutcomes.outcomes.Get(id)
	if !ok {
		return
	}
	k.lastTriedAt = c.now
	key := storedKey(openTable, id.Task.Job)
	c.scan(key, func(m ScanDone) {
		k, ok := c.keptOutcomes.outcomes.Get(id)
		if !ok || m.Err != nil {
			return
		}
		row := rowOf(m.Rows, key)
		if row == nil {
			c.forgetOutcome(id)
			return
		}
		found, err := decodeStored[OpenRow](row)
		if err != nil {
			c.logEvent("row of a job not understood", jobField(id.Task.Job), zap.Error(err))
			return
		}
		if c.reachable(found.Home) {
			c.send(found.Home, k.message)
		}
	})
}

// handleInquire sends a home what is known here of the runs of its jobs, and stops the
// runs that earlier homes have placed.
func (c *Control) handleInquire(from instance.ID, m *Inquire) {
	rounds := make(map[workload.JobID]int, len(m.Jobs))
	for _, j := range m.Jobs {
		if c.observeRound(j.Job, j.Round) {
			rounds[j.Job] = j.Round
		}
	}
	answer := &InquiryAnswer{Sequence: m.Sequence}
	for id, r := range c.holder.runs.All() {
		round, asked := rounds[id.Task.Job]
		if !asked || r.state == finished {
			continue
		}
		if r.home != from || r.request.Round < round {
			r.home = from
			if r.unwantedAt.IsZero() {
				c.dropRun(r, "its job has another home")
			}
		}
		if r.state != finished {
			answer.Live = append(answer.Live, id)
		}
	}
	for id, k := range c.keptOutcomes.outcomes.All() {
		if _, asked := rounds[id.Task.Job]; asked {
			k.lastTriedAt = c.now
			c.send(from, k.message)
		}
	}
	for name, e := range c.holder.endpoints.All() {
		if c.accountsFor(e) {
			answer.Covered = append(answer.Covered, name)
		}
	}
	c.send(from, answer)
}

// accountsFor reports whether this holder knows all runs of an endpoint and their ends: the
// endpoint is in use, which needs a report, the last report lists all ends, and the endpoint
// is not unresponsive unless all its leases are over. The ends that are not listed yet
// follow as soon as the listed ones are recorded, which waits for no account.
//
// Of an endpoint that is silent while it is verified there is nothing left to know once every lease
// there is over and no late start can happen any more.
func (c *Control) accountsFor(e *endpoint) bool {
	switch {
	case e.state == verifying:
		return e.unresponsive && c.now.Sub(later(e.heldSince, e.leaseRenewedAt)) >= c.config.Timing.unreachedTimeout()
	case e.reportTruncated:
		return false
	}
	return !e.unresponsive || c.now.Sub(e.leaseRenewedAt) >= c.config.Timing.leaseExpiry()
}
