package placement

import (
	"errors"
	"iter"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/workload"
)

// placed takes tasks that a home places here. A run that is known is a question
// for its state.
func (c *Control) handlePlaceRequest(from instance.ID, p *PlaceRequest) {
	if m, ok := c.membership.members.Get(from.Instance); ok && m.id == from {
		m.requestReceived = max(m.requestReceived, p.Sequence)
	}
	for i := range p.Tasks {
		c.acceptTask(from, p, &p.Tasks[i])
	}
	c.noteRunWith(from)
	c.holder.queueChanged, c.holder.advertChanged = true, true
	c.startQueued()
}

func (c *Control) acceptTask(from instance.ID, p *PlaceRequest, t *PlacedTask) {
	h := &c.holder
	id := workload.Run{Task: workload.TaskID{Job: p.Job, Step: p.Step, Index: t.Index}, Number: t.Number}
	if p.Stored && !c.observeRound(p.Job, p.Round) {
		return // a later home sees to the job, and has stopped what this one had started
	}
	if r, ok := h.runs.Get(id); ok {
		if r.home != from {
			r.otherHomes = append(r.otherHomes, from)
		}
		return
	}
	if r, ok := h.ended.Get(id); ok && r.home == from {
		c.send(from, r.endMessage)
		return
	}
	r := &run{
		id: id, home: from, request: p, avoid: t.Avoid, arrivedAt: c.now,
		objective: c.now.Add(p.Objective), expiry: c.now.Add(p.Expiry),
	}
	h.runs.Put(id, r)
	// A refusal is kept like any other end: the same place may come again, and what
	// its home was told must stay true.
	if c.stop != serving {
		c.endRun(r, workload.NeverRan, "the instance is leaving")
		return
	}
	if cause, silent := c.orphanCause(from); silent {
		c.endRun(r, workload.NeverRan, cause)
		return
	}
	h.queue = append(h.queue, r)
}

// latestStart is when a run has to start to meet its objective.
func (r *run) latestStart() time.Time { return r.objective.Add(-r.request.Estimate) }

// sortQueue orders what waits by priority, and in each by how soon it must start
// to meet its objective. What cannot meet it any more goes behind everything that
// can.
func (c *Control) sortQueue() {
	slices.SortStableFunc(c.holder.queue, func(a, b *run) int {
		x, y := a.latestStart(), b.latestStart()
		lateX, lateY := x.Before(c.now), y.Before(c.now)
		switch {
		case lateX != lateY && lateX:
			return 1
		case lateX != lateY:
			return -1
		case a.request.Priority != b.request.Priority:
			return a.request.Priority - b.request.Priority
		}
		return x.Compare(y)
	})
}

// startQueued starts the queued runs for which there is room, in the order of
// the queue, and gives back those that can no longer end in time.
func (c *Control) startQueued() {
	h := &c.holder
	c.sortQueue()
	kept := h.queue[:0]
	var hopeless []*run
	for _, r := range h.queue {
		if r.state != queued {
			continue
		}
		if r.request.Stored && c.now.Sub(r.arrivedAt) > maxStoredQueueTime {
			hopeless = append(hopeless, r)
			continue
		}
		if e := c.bestEndpoint(r); e != nil {
			c.startRun(r, e)
			continue
		}
		if c.now.Add(time.Duration(float64(r.request.Estimate) * bestCaseShare)).After(r.expiry) {
			hopeless = append(hopeless, r)
			continue
		}
		kept = append(kept, r)
	}
	clear(h.queue[len(kept):])
	h.queue = kept
	for _, r := range hopeless {
		c.endRun(r, workload.NeverRan, "it has waited for too long")
	}
	for _, r := range kept {
		if !r.waitReported {
			r.waitReported = true
			c.counters.Waited++
			c.send(r.home, &Waiting{Run: r.id, ExpectedWait: c.ownWaits().forPriority(r.request.Priority)})
		}
	}
}

// bestEndpoint returns the endpoint with room where a run does best, or nil. A
// run that would be late on every one with room, but not yet on a usual one,
// waits for such a one.
func (c *Control) bestEndpoint(r *run) *endpoint {
	p := r.request
	d := demand{need: p.Need, estimate: p.Estimate, untilObjective: r.objective.Sub(c.now), rack: p.Rack}
	var best *endpoint
	var bestFit fit
	for name, e := range c.holder.endpoints.All() {
		if e.info.Service != p.Service || !p.Need.Fits(e.free()) || !e.info.HasLabel(p.Label) || !c.usable(e) || slices.Contains(r.avoid, name) {
			continue
		}
		f := rateFit(c.demandAt(d, &e.info), &FreeCapacity{Free: e.free(), Speed: e.speed.value()}, false)
		if best == nil || f.betterThan(bestFit) {
			best, bestFit = e, f
		}
	}
	if best != nil && !bestFit.inTime && d.atUsualSpeed() <= d.untilObjective {
		return nil
	}
	return best
}

// startRun reserves the room and orders the start.
func (c *Control) startRun(r *run, e *endpoint) {
	r.state, r.endpoint, r.orderedAt = starting, e, c.now
	e.runs.Put(r.id, r)
	e.reserved = e.reserved.Add(r.request.Need)
	c.holder.capacityStale, c.holder.advertChanged = true, true
	if r.request.Stored {
		c.acknowledgeIndividually(e)
	}
	c.counters.Started++
	c.orderStart(r)
}

func (c *Control) orderStart(r *run) {
	e := r.endpoint
	r.startsSent++
	e.leaseRenewedAt = c.now
	patience := c.config.Timing.FirstStartTimeout
	if r.startsSent > 1 {
		patience = c.config.Timing.AnswerTimeout
	}
	r.answerDue = c.now.Add(patience + c.uplink.enqueue(c.now, len(r.request.Spec)+orderOverheadBytes))
	c.logEvent("start ordered", jobField(r.id.Task.Job), zap.Int("Step", r.id.Task.Step), zap.Int("Index", r.id.Task.Index), zap.Int("Run", r.id.Number), zap.Int("Copy", r.startsSent),
		zap.String("Endpoint", e.info.ID.Name), zap.Uint64("Token", uint64(e.token)), zap.Int("FreeMilliCPU", e.free().MilliCPU), zap.Duration("ReportAge", c.now.Sub(e.reportReceivedAt)),
		zap.Duration("Waited", c.now.Sub(r.arrivedAt)), zap.String("Home", r.home.Instance))
	c.emit(Start{
		Endpoint: e.info.ID, Address: e.info.Address, Token: e.token, Run: r.id, Spec: r.request.Spec,
		Until: e.clock + c.now.Sub(e.reportReceivedAt) + c.config.Timing.Lease,
		Copy:  r.startsSent,
	})
}

// startDone takes the answer to a start order. An order that was not answered
// is sent once more; after that it is stopped, and its room stays reserved
// until the endpoint has confirmed that it does not run and cannot start later.
func (c *Control) startDone(m StartDone) {
	e, ok := c.heldEndpoint(m.Endpoint, m.Token)
	if !ok {
		return
	}
	r, ok := e.runs.Get(m.Run)
	if !ok {
		return
	}
	if c.endHoldIfLost(e, m.Outcome) {
		return
	}
	if m.Outcome == Accepted || (m.Outcome == TooOld && r.startsSent > 1) {
		if r.state == starting {
			r.state = running
		}
		if r.confirmedAt.IsZero() {
			r.confirmedAt = c.now
		}
		return
	}
	c.logEvent("start not accepted", jobField(m.Run.Task.Job), zap.Int("Index", m.Run.Task.Index), zap.Int("Run", m.Run.Number), zap.Int("Copy", r.startsSent),
		zap.String("Endpoint", m.Endpoint.Name), zap.Stringer("Outcome", m.Outcome), zap.Error(m.Err))
	if r.state != starting {
		return
	}
	switch {
	case m.Outcome == Unanswered:
		if m.Copy == r.startsSent {
			c.retryStart(r)
		}
	case r.startsSent > 1:
		c.stopRun(r)
	case m.Outcome == TooOld:
		c.endRun(r, workload.Outdated, m.Outcome.String())
	case m.Outcome == Malformed:
		c.endRun(r, workload.Failed, m.Outcome.String())
	default:
		e.health.recordRefusal(c.now)
		c.endRun(r, workload.NeverRan, m.Outcome.String())
	}
}

// startUnanswered repeats a start order that was not answered, and stops the run if
// it was repeated often enough.
func (c *Control) retryStart(r *run) {
	if r.startsSent > c.config.Timing.StartRetries || r.endpoint.leaseWithheld {
		c.stopRun(r)
		return
	}
	c.counters.RepeatedStarts++
	c.orderStart(r)
}

func (c *Control) stopRun(r *run) {
	e := r.endpoint
	r.state, r.stopSentAt = stopping, c.now
	c.counters.Stops++
	c.logEvent("stop ordered", jobField(r.id.Task.Job), zap.Int("Index", r.id.Task.Index), zap.Int("Run", r.id.Number), zap.String("Endpoint", e.info.ID.Name), zap.Uint64("Token", uint64(e.token)))
	c.orderStop(e, r.id)
}

func (c *Control) orderStop(e *endpoint, id workload.Run) {
	c.uplink.enqueue(c.now, orderOverheadBytes)
	c.emit(StopRun{Endpoint: e.info.ID, Address: e.info.Address, Token: e.token, Run: id})
}

func (c *Control) stopDone(m StopDone) {
	e, ok := c.heldEndpoint(m.Endpoint, m.Token)
	if !ok {
		return
	}
	if c.endHoldIfLost(e, m.Outcome) {
		return
	}
	r, ok := e.runs.Get(m.Run)
	if !ok || r.state != stopping {
		return
	}
	if m.Outcome == Accepted && r.stopDone.IsZero() {
		r.stopDone = c.now
	}
}

// watchRun repeats orders that were not answered and stops runs that do not
// progress.
func (c *Control) checkRun(r *run) {
	switch r.state {
	case starting:
		if !c.now.Before(r.answerDue) {
			c.logEvent("start not answered in time", jobField(r.id.Task.Job), zap.Int("Index", r.id.Task.Index), zap.Int("Run", r.id.Number), zap.Int("Copy", r.startsSent), zap.String("Endpoint", r.endpoint.info.ID.Name))
			c.retryStart(r)
		}
	case stopping:
		if r.stopDone.IsZero() && c.now.Sub(r.stopSentAt) >= c.config.Timing.StopRetry {
			c.stopRun(r)
		}
	case running:
		if r.endpoint.state == active && r.stalled() {
			c.counters.StragglersStopped++
			c.logEvent("run makes no progress", jobField(r.id.Task.Job), zap.Int("Index", r.id.Task.Index), zap.Int("Run", r.id.Number), zap.String("Endpoint", r.endpoint.info.ID.Name),
				zap.Int("Percent", r.percent), zap.Duration("Unchanged", c.now.Sub(later(r.percentAt, r.orderedAt))), zap.Duration("Estimate", r.request.Estimate))
			r.endpoint.health.eject(c.now)
			c.holder.capacityStale = true
			c.stopRun(r)
		}
	}
}

// Figures of runs that do not progress. An endpoint that runs several times
// slower than usual still shows a new percent well within them.
const (
	stallShare   = 0.3 // of the expected run time without a new percent
	minStallTime = 50 * time.Millisecond
)

// patience is how long a run may show no progress.
func (r *run) progressTimeout() time.Duration {
	return max(minStallTime, time.Duration(stallShare*float64(r.request.Estimate)/r.endpoint.speed.value()))
}

// stuck reports whether the endpoint was asked after the run should have shown
// progress, and it had not.
func (r *run) stalled() bool {
	return r.endpoint.reportRequestedAt.Sub(later(r.percentAt, r.orderedAt)) > r.progressTimeout()
}

// lookAfter asks for a report of an endpoint whose runs should have progressed
// since its last one. Busy endpoints report often enough by their ends.
func (c *Control) requestOverdueReport(e *endpoint) {
	if e.state != active || e.unresponsive || c.now.Sub(e.extraRequestAt) < minStallTime {
		return
	}
	for _, r := range e.runs.All() {
		if r.state == running && c.now.Sub(later(e.reportRequestedAt, later(r.percentAt, r.orderedAt))) > r.progressTimeout() {
			e.extraRequestAt = c.now
			c.counters.Looks++
			c.emit(RequestReport{Endpoint: e.info.ID, Address: e.info.Address, Token: e.token})
			return
		}
	}
}

// dropped ends runs that their home no longer wants.
func (c *Control) handleDrop(from instance.ID, m *Drop) {
	for _, id := range m.Runs {
		if r, ok := c.holder.runs.Get(id); ok && r.home == from && (r.state == queued || !m.OnlyWaiting) {
			c.dropRun(r, "its home does not want it any more")
		}
	}
}

func (c *Control) dropRun(r *run, cause string) {
	switch r.state {
	case queued:
		r.unwanted = true
		c.endRun(r, workload.NeverRan, cause)
	case starting, running:
		r.unwanted = true
		c.stopRun(r)
	case stopping:
		r.unwanted = true
	}
}

// endRun ends a run for certain, or, as Unknown, for this instance. The room is
// free and the home is told.
func (c *Control) endRun(r *run, how workload.How, detail string) {
	if r.state == finished {
		return
	}
	if how == workload.Lapsed {
		c.counters.Lapsed++
	}
	ended := &RunEnded{Run: r.id, How: how, Detail: detail, MayStartLater: r.mayStartLater}
	if e := r.endpoint; e != nil {
		ended.Endpoint = e.info.ID.Name
		ended.Elapsed = c.now.Sub(r.orderedAt)
		if r.request.Stored && (how == workload.Done || how == workload.Failed) {
			c.keepOutcome(e, ended)
		}
		e.runs.Delete(r.id)
		e.reserved = e.reserved.Sub(r.request.Need)
		if _, mayStart := c.holder.registry.Token(ended.Endpoint); !mayStart && e.runs.Len() == 0 {
			c.holder.planDue = c.now // another instance waits for the endpoint
		}
	}
	r.state, r.endMessage, r.endedAt = finished, ended, c.now
	h := &c.holder
	h.runs.Delete(r.id)
	h.ended.Delete(r.id)
	if r.endpoint != nil || !c.disabledRules.keptRefusals {
		h.ended.Put(r.id, r)
	}
	h.capacityStale, h.queueChanged, h.advertChanged = true, true, true
	c.logEvent("run ended", jobField(r.id.Task.Job), zap.Int("Step", r.id.Task.Step), zap.Int("Index", r.id.Task.Index), zap.Int("Run", r.id.Number), zap.Stringer("How", how),
		zap.String("Endpoint", ended.Endpoint), zap.Duration("Elapsed", ended.Elapsed), zap.Duration("Estimate", r.request.Estimate), zap.String("Detail", detail))
	c.send(r.home, ended)
	for _, id := range r.otherHomes {
		c.send(id, &RunEnded{Run: r.id, How: workload.NeverRan, Detail: "a run of this number was there for another home"})
	}
}

// ownRooms are the free places at the endpoints held here.
func (c *Control) ownFreeCapacity() []FreeCapacity {
	h := &c.holder
	if !h.capacityStale {
		return h.freeCapacity
	}
	h.capacityStale = false
	h.freeCapacity = h.freeCapacity[:0]
	for name, e := range h.endpoints.All() {
		if free := e.free(); free.MilliCPU >= minFreeMilliCPU && c.usable(e) {
			h.freeCapacity = append(h.freeCapacity, FreeCapacity{Endpoint: name, Free: free, Speed: roundSpeed(e.speed.value())})
		}
	}
	return h.freeCapacity
}

// ownWaits is how long a task that fits nowhere here would wait, by priority.
func (c *Control) ownWaits() Waits {
	h := &c.holder
	if h.totalCapacity.MilliCPU == 0 {
		return nil
	}
	rest := time.Duration(-1)
	for _, r := range h.runs.All() {
		if r.endpoint == nil || r.state == finished {
			continue
		}
		left := time.Duration(float64(r.request.Estimate)/r.endpoint.speed.value()) - c.now.Sub(r.orderedAt)
		if rest < 0 || left < rest {
			rest = left
		}
	}
	waits := Waits{{Priority: math.MinInt32, Wait: max(rest, minRemainingTime)}}
	for _, r := range h.queue {
		if r.state == queued && !r.latestStart().Before(c.now) {
			waits = waits.addWork(r.request.Priority, time.Duration(cpuTime(r.request.Need, r.request.Estimate)/float64(h.totalCapacity.MilliCPU)*float64(time.Second)))
		}
	}
	return waits
}

// Waits are expected waits by rising priority number; each counts the work of
// its priority and of those before it. The first one is the wait of what goes
// before everything.
type Waits []PriorityWait

// PriorityWait is the expected wait at one priority.
type PriorityWait struct {
	Priority int
	Wait     time.Duration
}

// add puts work of a priority into the waits.
func (w Waits) addWork(priority int, work time.Duration) Waits {
	i := 0
	for i < len(w) && w[i].Priority < priority {
		i++
	}
	if i == len(w) || w[i].Priority != priority {
		w = slices.Insert(w, i, PriorityWait{Priority: priority, Wait: w[i-1].Wait})
	}
	for ; i < len(w); i++ {
		w[i].Wait += work
	}
	return w
}

// of returns the wait of a task with this priority.
func (w Waits) forPriority(priority int) time.Duration {
	wait := time.Duration(0)
	for _, p := range w {
		if p.Priority > priority {
			break
		}
		wait = p.Wait
	}
	return wait
}

// runAdverts tells peers of room when it has changed, with a pause in between
// that grows with their number. Peers of other domains place less here, and hear
// of it less often. An advert holds until the next one, while its sender is
// heard.
func (c *Control) sendAdverts() {
	h := &c.holder
	if c.now.Before(h.advertDue) {
		return
	}
	look := c.now.Sub(h.capacityCheckedAt) >= capacityCheckInterval
	if look {
		h.capacityCheckedAt, h.capacityStale = c.now, true
	}
	if (look || h.advertChanged) && (h.advertisedCapacity.Replace(c.capacityToAdvertise()) || h.advertChanged) {
		h.advertChanged = false
		h.advertVersion++
	}
	many := c.membership.members.Len() > fewPeers
	pause := c.config.Timing.AdvertPause + time.Duration(max(0, c.membership.members.Len()-fewPeers))*advertPausePerPeer
	var advert *Advert
	for _, m := range c.membership.members.All() {
		if !m.hasSession || !m.suspectedSince.IsZero() || m.advertSentVersion == h.advertVersion ||
			(many && m.row.Domain != c.config.Domain && c.now.Sub(m.advertSentAt) < farAdvertFactor*pause) {
			continue
		}
		if advert == nil {
			advert = c.ownAdvert()
		}
		toMember := *advert
		toMember.LastRequest, toMember.ChangedCapacity = m.requestReceived, h.advertisedCapacity.Since(m.capacitySentSequence)
		m.advertSentAt, m.advertSentVersion, m.capacitySentSequence = c.now, h.advertVersion, toMember.ChangedCapacity.Sequence
		c.send(m.id, &toMember)
	}
	if advert != nil {
		h.advertDue = c.now.Add(pause)
	}
}

// offeredRooms are the rooms to tell peers of, by endpoint.
func (c *Control) capacityToAdvertise() iter.Seq2[string, FreeCapacity] {
	return func(yield func(string, FreeCapacity) bool) {
		if c.stop != serving {
			return
		}
		for _, r := range c.ownFreeCapacity() {
			if !yield(r.Endpoint, r) {
				return
			}
		}
	}
}

// ownAdvert is the part of an advert that is the same for every peer.
func (c *Control) ownAdvert() *Advert {
	a := &Advert{Total: c.holder.totalCapacity}
	if c.stop == serving {
		a.Waits = c.ownWaits()
	}
	return a
}

// conflictRows returns the present state of the rows that a commit found
// changed, if that is why it failed.
func conflictRows(err error) []storage.Row {
	var conflict *storage.ErrConflict
	if !errors.As(err, &conflict) {
		return nil
	}
	return conflict.Rows
}

func isConflict(err error) bool {
	var conflict *storage.ErrConflict
	return errors.As(err, &conflict)
}
