package placement

import (
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/table"
	"crocusseam/pkg/workload"
)

// keptEnd is an end that an endpoint may not forget yet: it belongs to a stored
// job whose home has not recorded it, or to a job that is not known here.
type keptOutcome struct {
	message     *RunEnded
	endpoint    string
	lastTriedAt time.Time // when the home was last told, or the store asked
}

// kept holds, as a holder, the ends that wait to be recorded.
type keptOutcomes struct {
	outcomes *table.Table[workload.Run, *keptOutcome]
	rounds   *table.Table[workload.JobID, latestRound]
	// marked says that some instance was handed stored jobs, as the mark in the
	// store tells.
	storedJobsExist bool
	// unsettled are endpoints for which the mark could not be read.
	uncheckedEndpoints []string
	nextCheck          time.Time
}

// storedMark is the row that is written before the first stored job is accepted.
// It has the part of the members' rows, so that both are written at once.
const (
	storedPrefix = "stored/"
	storedMark   = storedPrefix + "mark"
)

// seenRound is the highest round in which a home has spoken of a job.
type latestRound struct {
	round int
	at    time.Time
}

// Figures of kept ends.
const (
	homeLookupPeriod = 2 * time.Second  // until the home of an end that is not recorded is looked up
	roundRetention   = 10 * time.Minute // longer than any instance stands still and goes on
)

func newKeptOutcomes() keptOutcomes {
	return keptOutcomes{outcomes: table.New[workload.Run, *keptOutcome](), rounds: table.New[workload.JobID, latestRound]()}
}

// seeRound notes the round in which a home speaks of a job, and reports whether
// no later home has spoken.
func (c *Control) observeRound(job workload.JobID, round int) bool {
	seen, ok := c.keptOutcomes.rounds.Get(job)
	if ok && round < seen.round {
		return false
	}
	c.keptOutcomes.rounds.Delete(job)
	c.keptOutcomes.rounds.Put(job, latestRound{round, c.now})
	return true
}

// confirmEndpoint has the ends of an endpoint acknowledged one by one from now
// on.
func (c *Control) acknowledgeIndividually(e *endpoint) {
	e.storedUnknown = false
	if e.explicitAcks {
		return
	}
	e.explicitAcks = true
	c.watchEndpoint(e)
}

// checkStored settles whether the ends that were found at endpoints just taken may
// belong to stored jobs: their mark is read after the endpoints were taken.
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

// settleEnds acknowledges the ends that a former holder has left at an endpoint, or
// looks for the homes of their jobs where there are stored ones.
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

// watch starts the watch of an endpoint, or changes it.
func (c *Control) watchEndpoint(e *endpoint) {
	c.emit(Watch{
		Endpoint: e.info.ID, Address: e.info.Address, Token: e.token,
		Renew: e.renewsLease(), ExplicitAcks: e.explicitAcks,
	})
}

// acknowledgeEnds acknowledges the ends of a report up to the first that is kept.
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

// acknowledgeSettled tells the endpoint's watch how far ends are settled.
func (c *Control) acknowledgeSettled(e *endpoint) {
	upto := int64(0)
	for len(e.unacknowledged) > 0 && !c.keptOutcomes.outcomes.Has(e.unacknowledged[0].Run) {
		upto = e.unacknowledged[0].Sequence
		e.unacknowledged = e.unacknowledged[1:]
	}
	if upto > 0 {
		c.emit(Acknowledge{Endpoint: e.info.ID, Token: e.token, Upto: upto})
	}
}

// keep keeps an end until it is recorded.
func (c *Control) keepOutcome(e *endpoint, end *RunEnded) {
	end.Kept = true
	c.keptOutcomes.outcomes.Put(end.Run, &keptOutcome{message: end, endpoint: e.info.ID.Name, lastTriedAt: c.now})
}

// keepUnknown keeps an end that a former holder's run has left at an endpoint:
// its job may be stored, and its home may not know of it.
func (c *Control) keepFoundOutcome(e *endpoint, ended *workload.EndedRun) {
	if c.keptOutcomes.outcomes.Has(ended.Run) || (ended.How != workload.Done && ended.How != workload.Failed) {
		return
	}
	if _, known := c.holder.ended.Get(ended.Run); known {
		return
	}
	end := &RunEnded{Run: ended.Run, How: ended.How, Endpoint: e.info.ID.Name, Detail: "found at a take-over"}
	c.keepOutcome(e, end)
	if !e.storedUnknown {
		c.lookUpHome(end.Run)
	}
}

// recordedEnds lets endpoints forget ends.
func (c *Control) handleOutcomesRecorded(m *OutcomesRecorded) {
	for _, id := range m.Runs {
		c.forgetOutcome(id)
	}
}

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

// runKept looks for the homes of ends that have not been recorded for a while,
// and forgets old rounds.
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

// lookUpHome asks the store for the home of a kept end. Without an open job the
// end is of no use to anybody.
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

// inquired tells a home what is known here of the runs of its jobs, and stops
// those of earlier homes.
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
			if !r.unwanted {
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

// accounts reports whether all that runs at an endpoint is known here: it has
// reported to this holder, and is in use, or it is silent and its leases are
// over.
func (c *Control) accountsFor(e *endpoint) bool {
	if e.state != active {
		return false
	}
	return !e.unresponsive || c.now.Sub(e.leaseRenewedAt) >= c.config.Timing.leaseExpiry()
}
