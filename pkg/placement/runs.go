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

// handlePlaceRequest accepts or refuses the tasks of a placement request. For a run
// that is known already, the request asks for its state.
func (c *Control) handlePlaceRequest(from instance.ID, p *PlaceRequest) {
	if m, ok := c.membership.members.Get(from.Instance); ok && m.id == from {
		m.requestReceived = max(m.requestReceived, p.Sequence)
	}
	h := &c.holder
	passed := h.passedAt.Equal(c.now) && !h.queueChanged
	first := len(h.queue)
	for i := range p.Tasks {
		c.acceptTask(from, p, &p.Tasks[i])
	}
	c.noteRunWith(from)
	h.advertChanged = true
	if passed && !h.queueChanged {
		c.startRuns(first)
		return
	}
	h.queueChanged = true
	c.startQueued()
}

// acceptTask queues a run for a task, or refuses it with a NeverRan outcome. A run that
// is known is not queued again: if it has ended, its home gets the outcome once more; if
// another home placed it, the new home hears when it has ended, see endForOtherHome.
func (c *Control) acceptTask(from instance.ID, p *PlaceRequest, t *PlacedTask) {
	h := &c.holder
	id := workload.Run{Task: workload.TaskID{Job: p.Job, Step: p.Step, Index: t.Index}, Number: t.Number}
	if p.Stored && !c.observeRound(p.Job, p.Round) {
		return // the job has a later home, for which the runs of this one were stopped
	}
	if r, ok := h.runs.Get(id); ok {
		if r.home != from {
			r.otherHomes = append(r.otherHomes, from)
			c.logWarning("run of another home is still here", r.logFields(zap.Stringer("AskedBy", from))...)
		}
		return
	}
	if r, ok := h.ended.Get(id); ok {
		switch {
		case r.home == from:
			c.send(from, r.message)
			return
		case r.message.How == workload.Unknown && !p.Stored:
			c.logWarning("run of another home may go on", r.logFields(zap.Stringer("AskedBy", from))...)
			end := *r.message
			end.MayStartLater = c.addHomeOfLateStart(r.lateStartKey(), from)
			c.send(from, &end)
			return
		}
	}
	r := &run{
		id: id, home: from, request: p, avoid: t.Avoid, excludeUntil: c.now.Add(t.Exclude), arrivedAt: c.now,
		objective: c.now.Add(p.Objective), expiry: c.now.Add(p.Expiry), memory: p.memoryOfRun(),
	}
	h.runs.Put(id, r)
	h.runMemory += r.memory
	c.home.ownCapacityFresh = false
	// endRun keeps a refusal like any other outcome: if the same request arrives again,
	// the answer must be the same.
	if c.stop != serving {
		c.endRun(r, workload.NeverRan, "the instance is leaving")
		return
	}
	if cause, orphaned := c.orphanCause(from); orphaned {
		c.endRun(r, workload.NeverRan, cause)
		return
	}
	h.queue = append(h.queue, r)
}

// latestStart returns the time by which a run has to start at a fast endpoint to meet its
// objective.
func (c *Control) latestStart(r *run) time.Time {
	return r.objective.Add(-time.Duration(float64(r.request.Estimate) / c.fastSpeed(r.request.Service)))
}

// sortQueue sorts the queue by priority and, within one priority, by latest start.
// Runs that can no longer meet their objective come after all that can.
func (c *Control) sortQueue() {
	if c.config.OverloadControl {
		c.sortByUrgency()
		return
	}
	slices.SortStableFunc(c.holder.queue, func(a, b *run) int {
		x, y := c.latestStart(a), c.latestStart(b)
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

// startQueued starts the queued runs that fit a free endpoint, in queue order.
func (c *Control) startQueued() {
	h := &c.holder
	h.queueChanged, h.passedAt = false, c.now
	c.sortQueue()
	h.plannedStarts = h.plannedStarts[:0]
	c.startRuns(0)
}

// startRuns starts the queued runs from a place in the queue on that fit a free endpoint. It
// returns to their homes those that can no longer end before their expiry, those that fit only
// evacuated endpoints, and those of stored jobs that have waited for longer than maxStoredQueueTime.
//
// The runs before that place did not fit in the pass at passedAt. If no capacity has fallen free since, they
// do not fit now, and a request costs as much as its own tasks.
func (c *Control) startRuns(first int) {
	h := &c.holder
	kept := h.queue[:first]
	most := h.mostFree()
	var returned, stranded, hopeless []*run
	for _, r := range h.queue[first:] {
		if r.state != queued {
			continue
		}
		if c.stranded(r) {
			stranded = append(stranded, r)
			continue
		}
		if c.config.OverloadControl && c.cannotEndInTime(r) {
			hopeless = append(hopeless, r)
			continue
		}
		if r.request.Stored && c.now.Sub(r.arrivedAt) > maxStoredQueueTime {
			returned = append(returned, r)
			continue
		}
		if c.mayStartMore(r) && r.request.Need.Fits(most) {
			if e := c.bestEndpoint(r); e != nil && !c.callerUnknown(r) {
				c.startRun(r, e)
				continue
			}
		}
		if c.now.Add(time.Duration(float64(r.request.Estimate) * bestCaseShare)).After(r.expiry) {
			returned = append(returned, r)
			continue
		}
		kept = append(kept, r)
	}
	clear(h.queue[len(kept):])
	h.queue = kept
	// The end of a run may place another one here, which changes the queue.
	c.reportWaits(kept[first:])
	c.counters.EvacuatedWaits += int64(len(stranded))
	for _, r := range stranded {
		c.endRun(r, workload.NeverRan, evacuatedCause)
	}
	for _, r := range returned {
		c.endRun(r, workload.NeverRan, "it has waited for too long")
	}
	for _, r := range hopeless {
		r.tooLate = true
		c.counters.GivenBack++
		c.endRun(r, workload.NeverRan, "it can no longer end in time")
	}
}

// reportWaits tells the homes of queued runs, once for each run, that it waits.
func (c *Control) reportWaits(runs []*run) {
	var waits Waits
	for _, r := range runs {
		if r.waitReported {
			continue
		}
		if waits == nil {
			waits = c.ownWaits()
		}
		r.waitReported = true
		c.counters.Waited++
		c.send(r.home, &Waiting{Run: r.id, ExpectedWait: waits.forPriority(r.request.Priority)})
	}
}

// callerUnknown reports whether a run is of an ephemeral job of this instance whose caller may
// have left during a pause.
func (c *Control) callerUnknown(r *run) bool {
	return r.home == c.self && !r.request.Stored && !c.mayPlace()
}

// bestEndpoint returns the best endpoint with enough free capacity for a run, or nil.
// It also returns nil if the run would miss its objective at each of them but can
// still meet it at a fast endpoint: the run then waits for one.
func (c *Control) bestEndpoint(r *run) *endpoint {
	p := r.request
	d := demand{need: p.Need, estimate: p.expected(), untilObjective: r.objective.Sub(c.now), rack: p.Rack}
	var best *endpoint
	var bestFit fit
	limit := c.leaseLimitOf(r)
	for name, e := range c.holder.endpoints.All() {
		if e.info.Service != p.Service || !p.Need.Fits(e.free()) || !e.info.HasLabel(p.Label) || !c.usable(e) {
			continue
		}
		tried := slices.Contains(r.avoid, name)
		if tried && c.now.Before(r.excludeUntil) {
			continue
		}
		if c.grantedLease(e).After(limit) {
			continue
		}
		f := rateFit(c.demandAt(d, &e.info), &FreeCapacity{Free: e.free(), Speed: e.speed.value()}, false)
		f.tried = tried
		if best == nil || f.betterThan(bestFit) {
			best, bestFit = e, f
		}
	}
	if best != nil && !bestFit.inTime && d.expectedAt(c.fastSpeed(p.Service)) <= d.untilObjective {
		if !c.adaptive.completion || c.waitsForFaster(r, d) {
			return nil
		}
	}
	return best
}

// startRun reserves the run's resources at an endpoint and sends the start order.
func (c *Control) startRun(r *run, e *endpoint) {
	r.state, r.endpoint, r.orderedAt = starting, e, c.now
	e.runs.Put(r.id, r)
	e.reserved = e.reserved.Add(r.request.Need)
	c.holder.capacityStale, c.holder.advertChanged, c.home.ownCapacityFresh = true, true, false
	if r.request.Stored {
		c.acknowledgeIndividually(e)
	}
	c.noteColdStart(e)
	if c.config.OverloadControl {
		c.noteStarted(r)
	}
	c.orderStart(r)
}

// evacuatedCause is why a run is stopped or returned to its home instead of being started.
const evacuatedCause = "its failure domain is evacuated"

// orderStart sends a copy of the start order of a run. If none may be sent to its endpoint any more, it
// stops the run, as an earlier copy may be on its way.
func (c *Control) orderStart(r *run) {
	e := r.endpoint
	if !c.mayStartIn(e.info.Domain) {
		c.counters.EvacuatedStarts++
		c.stopRun(r, evacuatedCause)
		return
	}
	if r.startsSent == 0 {
		c.counters.Started++
	} else {
		c.counters.RepeatedStarts++
	}
	c.includeInLeaseLimit(e, r)
	e.leaseGranted = later(e.leaseGranted, c.leaseEnd(e))
	r.startsSent++
	c.noteCopy(r)
	e.leaseRenewedAt = c.now
	answerTimeout := c.config.Timing.FirstStartTimeout
	if r.startsSent > 1 {
		answerTimeout = c.config.Timing.AnswerTimeout
	}
	r.answerDue = c.now.Add(answerTimeout + c.uplink.enqueue(c.now, len(r.request.Spec)+orderOverheadBytes))
	c.logEvent("start ordered", r.logFields(zap.Int("Copy", r.startsSent), zap.Int("FreeMilliCPU", e.free().MilliCPU), zap.Duration("ReportAge", c.now.Sub(e.reportReceivedAt)),
		zap.Duration("Waited", c.now.Sub(r.arrivedAt)))...)
	c.emit(Start{
		Endpoint: e.info.ID, Address: e.info.Address, Token: e.token, Run: r.id, Spec: r.request.Spec,
		Until: e.clock + c.leaseEnd(e).Sub(e.reportReceivedAt),
		Copy:  r.startsSent,
	})
}

// startDone processes the outcome of a start order. An unanswered order is repeated;
// if the copies remain unanswered too, the run is stopped. Its resources stay reserved
// until the endpoint has confirmed that it does not run and cannot start later. TooOld
// for a repeated order counts as accepted, as an earlier copy has arrived. Any other
// refusal ends the run if one copy was sent, and stops it if an earlier one may act.
//
// This keeps an invariant: a run belongs to a life of its endpoint only if a report of that life
// has listed it, or an answer whose clock no later life can have has accepted it (lifeClock).
// Until then the end of that life, or of a lease there, does not end the run: the next life may
// have it, and its start counts as unanswered.
func (c *Control) startDone(m StartDone) {
	c.noteStartAnswer(&m)
	e, ok := c.heldEndpoint(m.Endpoint, m.Token)
	if !ok {
		return
	}
	r, ok := e.runs.Get(m.Run)
	if ok && (m.Outcome == OtherLife || m.Outcome == Misdirected) && r.startsSent == 1 {
		c.endRun(r, workload.NeverRan, "another life of its endpoint is there")
	}
	if !ok || c.endHoldIfLost(e, m.Outcome) {
		return
	}
	if m.Outcome == Unanswered {
		c.noteUnanswered(r, m.Copy)
	}
	if m.Outcome == Accepted || (m.Outcome == TooOld && r.startsSent > 1) {
		if !e.life.shows(m.Reading) {
			c.acceptedInUnknownLife("start", m.Run, e, m.Reading)
			c.noteUnanswered(r, m.Copy)
			return
		}
		if r.state == starting {
			r.state = running
		}
		if r.confirmedAt.IsZero() {
			r.confirmedAt = c.now
		}
		return
	}
	c.logEvent("start not accepted", r.logFields(zap.Int("Copy", r.startsSent), zap.Stringer("Outcome", m.Outcome), zap.Error(m.Err))...)
	if r.state != starting {
		return
	}
	switch {
	case m.Outcome == Unanswered:
		if m.Copy == r.startsSent {
			c.retryStart(r)
		}
	case r.startsSent > 1:
		c.stopRun(r, "a copy of its start was refused: "+m.Outcome.String())
	case m.Outcome == TooOld:
		c.endRun(r, workload.Outdated, m.Outcome.String())
	case m.Outcome == Malformed:
		c.endRun(r, workload.Failed, m.Outcome.String())
	default:
		e.health.recordRefusal(c.now)
		c.endRun(r, workload.NeverRan, m.Outcome.String())
	}
}

// retryStart repeats an unanswered start order. After StartRetries repeats, while the lease
// is not renewed, or after a pause it stops the run instead.
func (c *Control) retryStart(r *run) {
	unknown := c.callerUnknown(r)
	if unknown && c.callersInDoubt() && c.home.callers.gap <= c.config.Timing.SuspectAfter {
		return // until its caller is checked
	}
	if r.startsSent > c.config.Timing.StartRetries || !r.endpoint.renewsLease() || unknown {
		c.stopRun(r, "its start is not answered")
		return
	}
	c.orderStart(r)
}

// stopRun sends a stop order for a run and marks the run as stopping.
func (c *Control) stopRun(r *run, cause string) {
	e := r.endpoint
	r.state, r.stopSentAt = stopping, c.now
	if r.stopCause == "" {
		r.stopCause = cause
	}
	c.counters.Stops++
	c.logWarning("stop ordered", r.logFields(zap.String("Cause", cause), zap.Duration("LeaseLeft", c.grantedLease(e).Sub(c.now)))...)
	c.orderStop(e, r.id)
}

// orderStop sends a stop order, also for a run that this instance did not start.
func (c *Control) orderStop(e *endpoint, id workload.Run) {
	c.uplink.enqueue(c.now, orderOverheadBytes)
	c.emit(StopRun{Endpoint: e.info.ID, Address: e.info.Address, Token: e.token, Run: id})
}

// stopDone processes the outcome of a stop order. An accepted stop does not end the run:
// a later report that no longer lists the run as running does.
func (c *Control) stopDone(m StopDone) {
	c.noteStopAnswer(&m)
	e, ok := c.heldEndpoint(m.Endpoint, m.Token)
	if !ok {
		return
	}
	if c.endHoldIfLost(e, m.Outcome) {
		return
	}
	if m.Outcome == Accepted && !e.life.shows(m.Reading) {
		c.acceptedInUnknownLife("stop", m.Run, e, m.Reading)
	}
	r, ok := e.runs.Get(m.Run)
	if !ok || r.state != stopping {
		return
	}
	if m.Outcome == Accepted && r.stopDone.IsZero() {
		r.stopDone = c.now
	}
}

// checkRun repeats the unanswered orders of a run. It stops a run that makes no
// progress, and ejects its endpoint.
func (c *Control) checkRun(r *run) {
	switch r.state {
	case starting:
		if !c.now.Before(r.answerDue) {
			c.logEvent("start not answered in time", r.logFields(zap.Int("Copy", r.startsSent))...)
			c.noteUnanswered(r, r.startsSent)
			c.retryStart(r)
		}
	case stopping:
		if r.stopDone.IsZero() && c.now.Sub(r.stopSentAt) >= c.config.Timing.StopRetry {
			c.stopRun(r, r.stopCause)
		}
	case running:
		if r.endpoint.state == active && c.stalled(r) {
			c.counters.StragglersStopped++
			c.logWarning("run makes no progress", r.logFields(zap.Int("Percent", r.percent), zap.Duration("Unchanged", c.now.Sub(later(r.percentAt, r.orderedAt))), zap.Duration("Estimate", r.request.Estimate))...)
			c.noteStall(r.endpoint)
			c.holder.capacityStale = true
			c.stopRun(r, "it makes no progress")
		}
	}
}

// An endpoint several times slower than normal still reports a new percentage well
// within these limits.
const (
	stallShare   = 0.3                   // of the expected run time, without a new percentage
	minStallTime = 50 * time.Millisecond // lower bound of the progress timeout
	// Without an estimate, the progress so far tells the expected run time.
	minUnestimatedStallTime = 2 * time.Second
	firstProgressTimeout    = time.Minute // until the first percentage
)

// progressTimeout returns how long a run may show no progress.
func (c *Control) progressTimeout(r *run) time.Duration {
	switch {
	case r.request.Estimate > 0:
		return max(minStallTime, time.Duration(stallShare*float64(r.request.Estimate)/r.endpoint.speed.value()), c.slowProgress(r))
	case r.percent == 0:
		return firstProgressTimeout
	}
	expected := float64(r.percentAt.Sub(r.orderedAt)) * 100 / float64(r.percent)
	return max(minUnestimatedStallTime, time.Duration(stallShare*expected))
}

// stalled reports whether a run showed no progress in a report that was requested
// after its progress timeout, and that would show if the run had ended.
func (c *Control) stalled(r *run) bool {
	return !r.endpoint.reportTruncated && r.endpoint.reportRequestedAt.Sub(later(r.percentAt, r.orderedAt)) > c.progressTimeout(r)
}

// requestOverdueReport requests a report from an endpoint if a run there should have
// progressed since the last one. Endpoints with many short runs need no such request:
// they report whenever a run ends.
func (c *Control) requestOverdueReport(e *endpoint) {
	if e.state != active || e.unresponsive || c.now.Sub(e.extraRequestAt) < minStallTime {
		return
	}
	for _, r := range e.runs.All() {
		if r.state == running && c.now.Sub(later(e.reportRequestedAt, later(r.percentAt, r.orderedAt))) > c.progressTimeout(r) {
			c.requestReport(e)
			return
		}
	}
}

// requestReport requests a report in addition to the watch.
func (c *Control) requestReport(e *endpoint) {
	e.extraRequestAt = c.now
	c.counters.Looks++
	c.emit(RequestReport{Endpoint: e.info.ID, Address: e.info.Address, Token: e.token})
}

// handleDrop ends or stops runs that their home no longer wants. It ignores runs that
// another home has placed and, with OnlyWaiting, runs that have left the queue.
func (c *Control) handleDrop(from instance.ID, m *Drop) {
	for _, id := range m.Runs {
		if r, ok := c.holder.runs.Get(id); ok && r.home == from && (r.state == queued || !m.OnlyWaiting) {
			cause := "its job has ended at its home"
			if m.OnlyWaiting {
				cause = "its home moves it to another holder"
			}
			c.dropRun(r, cause)
		}
	}
}

// dropRun ends a queued run and stops one whose start was ordered.
func (c *Control) dropRun(r *run, cause string) {
	if r.state == finished {
		return
	}
	if r.unwantedAt.IsZero() {
		r.lastLeaseLimit = earlier(c.leaseLimitOf(r), c.now.Add(c.config.Timing.Lease))
		r.unwantedAt = c.now
	}
	switch r.state {
	case queued:
		c.endRun(r, workload.NeverRan, cause)
	case starting, running:
		c.stopRun(r, cause)
		c.updateLeaseLimit(r.endpoint)
	}
}

// endRun records the outcome of a run, frees its resources and sends the outcome to
// its home. With the outcome Unknown the run may continue outside this instance's
// control; with any other it has certainly ended. The outcomes Done and Failed of a
// stored job's run are kept until the home has recorded them.
func (c *Control) endRun(r *run, how workload.How, detail string) {
	if r.state == finished {
		return
	}
	if how == workload.Lapsed {
		c.counters.Lapsed++
	}
	ended := &RunEnded{Run: r.id, How: how, Detail: detail, MayStartLater: r.mayStartLater, TooLate: r.tooLate}
	if e := r.endpoint; e != nil {
		ended.Endpoint, ended.Born = e.info.ID.Name, e.info.ID.Born
		ended.Elapsed = c.now.Sub(r.orderedAt)
		if l := c.lateStartOf(r); l != nil && ended.MayStartLater {
			ended.LateFor = l.orderedAt.Add(lateOrderWindow).Sub(c.now)
		}
		ended.StartUnanswered = how == workload.NeverRan && c.lateStartOf(r) != nil
		if how != workload.Unknown {
			c.noteStartSeen(r)
		}
		if c.config.OverloadControl && how == workload.Done {
			ended.Work = time.Duration(float64(ended.Elapsed) * e.speed.value())
		}
		if r.request.Stored && (how == workload.Done || how == workload.Failed) {
			c.keepOutcome(e, ended)
		}
		e.runs.Delete(r.id)
		e.reserved = e.reserved.Sub(r.request.Need)
		if _, mayStart := c.holder.registry.Token(ended.Endpoint); !mayStart && e.runs.Len() == 0 {
			c.holder.planDue = c.now // yield the endpoint to the instance that waits for it
		}
	}
	r.state, r.endMessage = finished, ended
	h := &c.holder
	h.runs.Delete(r.id)
	h.runMemory -= r.memory
	h.ended.Delete(r.id)
	if r.endpoint != nil || !c.disabledRules.keptRefusals {
		h.ended.Put(r.id, r.kept(c.now))
	}
	h.capacityStale, h.queueChanged, h.advertChanged, c.home.ownCapacityFresh = true, true, true, false
	c.logRunEnded(r)
	c.send(r.home, ended)
	for _, id := range r.otherHomes {
		c.send(id, r.endForOtherHome())
	}
}

// kept returns what is kept of a run that ends.
func (r *run) kept(now time.Time) endedRun {
	ended := endedRun{home: r.home, message: r.endMessage, at: now}
	if r.endpoint != nil {
		ended.token = r.endpoint.token
	}
	return ended
}

// endForOtherHome returns what a home hears of the end of a run of the same number that was placed
// for another home.
//
// This keeps an invariant: NeverRan is said only of a run that has certainly ended and cannot
// start later. Of an uncertain end all homes hear the same, and later the same end of the doubt.
func (r *run) endForOtherHome() *RunEnded {
	if r.endMessage.How == workload.Unknown {
		return r.endMessage
	}
	return &RunEnded{
		Run: r.id, How: workload.NeverRan, StartUnanswered: r.endMessage.StartUnanswered,
		Detail: "a run of this number was there for another home",
	}
}

// ownFreeCapacity returns the free capacity of the held endpoints where runs may
// start.
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

// ownWaits returns the expected waits of a task that fits no endpoint held here.
func (c *Control) ownWaits() Waits {
	h := &c.holder
	if h.totalCapacity.MilliCPU == 0 {
		return nil
	}
	shortest := time.Duration(-1)
	for _, r := range h.runs.All() {
		if r.endpoint == nil || r.state == finished || !c.mayStartIn(r.endpoint.info.Domain) {
			continue
		}
		remaining := c.expectedRest(r)
		if shortest < 0 || remaining < shortest {
			shortest = remaining
		}
	}
	if c.config.OverloadControl {
		return c.overloadWaits(max(shortest, minRemainingTime))
	}
	waits := Waits{{Priority: math.MinInt32, Wait: max(shortest, minRemainingTime)}}
	available := float64(c.availableCapacity().MilliCPU)
	for _, r := range h.queue {
		if r.state == queued && !c.latestStart(r).Before(c.now) {
			waits = waits.addWork(r.request.Priority, time.Duration(cpuTime(r.request.Need, r.request.Estimate)/available*float64(time.Second)))
		}
	}
	return waits
}

// Waits are expected waits in order of rising priority number; tasks with a lower
// number start first. Each wait includes the queued work of its priority and of all
// lower numbers. The first entry is the wait of a task that starts before all others.
type Waits []PriorityWait

// PriorityWait is the expected wait of a task with one priority.
type PriorityWait struct {
	Priority int
	Wait     time.Duration
}

// addWork adds queued work of a priority to the waits.
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

// forPriority returns the expected wait of a task with this priority.
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

// sendAdverts sends peers an advert when free capacity has changed. The pause between
// adverts grows with the number of members. Members of other domains place fewer tasks
// here, so among many members they get adverts less often. An advert is valid until
// the next one, as long as its sender is not suspected.
func (c *Control) sendAdverts() {
	h := &c.holder
	if c.now.Before(h.advertDue) {
		return
	}
	recheck := c.now.Sub(h.capacityCheckedAt) >= capacityCheckInterval
	if recheck {
		h.capacityCheckedAt, h.capacityStale = c.now, true
	}
	if (recheck || h.advertChanged) && (h.advertisedCapacity.Replace(c.capacityToAdvertise()) || h.advertChanged) {
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

// capacityToAdvertise yields the free capacity to advertise, by endpoint; none during
// a planned stop.
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

// ownAdvert returns the part of an advert that is the same for every peer.
func (c *Control) ownAdvert() *Advert {
	a := &Advert{Total: c.holder.totalCapacity}
	if c.stop == serving {
		a.Waits = c.ownWaits()
	}
	return a
}

// conflictRows returns the current rows that made a commit fail because they had
// changed, or nil if it failed for another reason.
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
