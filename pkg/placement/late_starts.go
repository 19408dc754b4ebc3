package placement

import (
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/table"
	"crocusseam/pkg/workload"
)

// lateStartInterval is the time between checks of the late starts.
const lateStartInterval = 20 * time.Millisecond

// lateStartKey identifies the start of a run at an endpoint under one hold.
type lateStartKey struct {
	run      workload.Run
	endpoint string
	token    workload.Token
}

// lateStart is a start of which some copy is not answered, so that the endpoint, in its present
// life or a later one, may still carry it out.
type lateStart struct {
	endpoint   workload.EndpointID // in its last known life
	address    netip.AddrPort
	home       instance.ID
	ephemeral  bool
	unanswered map[int]bool // copies
	orderedAt  time.Time    // when the last copy was sent
	// excludedIn is the life in which the endpoint does not carry it out any more: the run is
	// there or has ended there, a stop was accepted, or a higher token is known.
	excludedIn workload.EndpointID
	stopSentAt time.Time
	stoppedIn  workload.EndpointID // the life in which it was last stopped
	waiting    []instance.ID       // homes that were told that it may start later
	life       *lifeClock          // of the life that it was ordered for
	// stopsCountFrom is when it was last unknown which life would accept a stop. The answers to stops
	// that were sent before may be of a former life.
	stopsCountFrom time.Time
}

// noteUnanswered records that a copy of a run's start order is not answered. Where the run was
// seen and there is no other copy, this one has arrived.
func (c *Control) noteUnanswered(r *run, number int) {
	l := c.lateStartOf(r)
	if l == nil {
		e := r.endpoint
		l = &lateStart{endpoint: e.info.ID, address: e.info.Address, home: r.home, ephemeral: !r.request.Stored, unanswered: make(map[int]bool), orderedAt: r.orderedAt, life: &e.life}
		if !r.confirmedAt.IsZero() {
			if r.startsSent == 1 {
				return
			}
			l.excludedIn = e.info.ID
		}
		c.holder.lateStarts.Put(r.lateStartKey(), l)
	}
	l.unanswered[number] = true
}

// noteCopy records that a further copy of a start order is sent.
func (c *Control) noteCopy(r *run) {
	if l := c.lateStartOf(r); l != nil {
		l.unanswered[r.startsSent], l.orderedAt = true, c.now
	}
}

// noteStartSeen records that a run is at its endpoint or has ended there: in this life it is not
// started again.
func (c *Control) noteStartSeen(r *run) {
	l := c.lateStartOf(r)
	if l == nil {
		return
	}
	l.excludedIn = r.endpoint.info.ID
	if !r.confirmedAt.IsZero() && r.startsSent == 1 {
		c.holder.lateStarts.Delete(r.lateStartKey())
	}
}

func (r *run) lateStartKey() lateStartKey {
	return lateStartKey{r.id, r.endpoint.info.ID.Name, r.endpoint.token}
}

func (r *endedRun) lateStartKey() lateStartKey {
	return lateStartKey{r.message.Run, r.message.Endpoint, r.token}
}

// lateStartOf returns the late start of a run, or nil if all copies of its start are answered.
func (c *Control) lateStartOf(r *run) *lateStart {
	l, _ := c.holder.lateStarts.Get(r.lateStartKey())
	return l
}

// noteStartAnswer records the answer to a copy of a start order, whether or not its hold goes on.
// A copy that was refused or not sent has done nothing in any life; one that was accepted is in the
// life meant only if the answer shows it, and otherwise perhaps in a later one than was stopped.
func (c *Control) noteStartAnswer(m *StartDone) {
	key := lateStartKey{m.Run, m.Endpoint.Name, m.Token}
	l, ok := c.holder.lateStarts.Get(key)
	if !ok || m.Outcome == Unanswered {
		return
	}
	if m.Outcome == Accepted && !l.life.shows(m.Reading) {
		l.excludedIn, l.stopsCountFrom = workload.EndpointID{}, c.now
		c.holder.lateStartsDue = c.now
		return
	}
	delete(l.unanswered, m.Copy)
	if len(l.unanswered) == 0 {
		c.holder.lateStarts.Delete(key)
	}
}

// noteStopAnswer records that an endpoint carries out a late start no more in its present life. What
// a former life has accepted says nothing of that one: the stop has to be meant for it, sent when the
// former one was known to have ended, or executed by a later one.
func (c *Control) noteStopAnswer(m *StopDone) {
	l, ok := c.holder.lateStarts.Get(lateStartKey{m.Run, m.Endpoint.Name, m.Token})
	if !ok || m.Endpoint != c.lifeOf(l) || (m.Outcome != OtherLife && m.Reading.Sent.Before(l.stopsCountFrom)) {
		return
	}
	switch m.Outcome {
	case Accepted, OtherLife, Misdirected, Fenced:
		c.excludeLateStart(m.Run, l, m.Endpoint, m.Outcome)
	default:
	}
}

// excludeLateStart records that the endpoint does not carry out a late start in one of its lives,
// and tells the home if it waits for that. After a refusal for a higher token the run may be
// there: the home goes on when the holder with that token has a report.
func (c *Control) excludeLateStart(id workload.Run, l *lateStart, life workload.EndpointID, outcome OrderOutcome) {
	if l.excludedIn == life {
		return
	}
	l.excludedIn = life
	if l.stoppedIn == (workload.EndpointID{}) {
		return
	}
	c.logWarning("late start excluded", runFields(id, zap.Stringer("Home", l.home), zap.String("Endpoint", life.Name), zap.Int64("Born", life.Born), zap.Stringer("Outcome", outcome), zap.Duration("Elapsed", c.now.Sub(l.orderedAt)))...)
	if outcome == Fenced {
		return
	}
	for _, home := range l.waiting {
		c.send(home, &RunEnded{Run: id, How: workload.Unknown, Endpoint: life.Name, Born: life.Born, Detail: "its start cannot be carried out late any more"})
	}
	l.waiting = nil
}

// addHomeOfLateStart has another home hear when the start of an ended run cannot be carried out late
// any more, and reports whether the first one still waits for that.
func (c *Control) addHomeOfLateStart(key lateStartKey, home instance.ID) bool {
	l, ok := c.holder.lateStarts.Get(key)
	if !ok || len(l.waiting) == 0 {
		return false
	}
	if !slices.Contains(l.waiting, home) {
		l.waiting = append(l.waiting, home)
	}
	return true
}

// excludeFormerStarts records that an endpoint knows a token: it carries out no start with a
// lower one.
func (c *Control) excludeFormerStarts(life workload.EndpointID, token workload.Token) {
	for key, l := range c.holder.lateStarts.All() {
		if key.endpoint == life.Name && key.token < token {
			c.excludeLateStart(key.run, l, life, Fenced)
		}
	}
}

// noteLostStarts prepares the starts at an endpoint for the end of its hold. Those on their way
// are not answered any more. If the life of the endpoint has ended, the next one may carry out
// all, also those of runs that have ended before.
func (c *Control) noteLostStarts(e *endpoint, lifeEnded bool) {
	for _, r := range e.runs.All() {
		if r.confirmedAt.IsZero() && c.lateStartOf(r) == nil {
			c.noteUnanswered(r, r.startsSent)
		}
	}
	if !lifeEnded {
		return
	}
	for key, l := range c.holder.lateStarts.All() {
		if key.endpoint != e.info.ID.Name {
			continue
		}
		l.stopsCountFrom = c.now
		if l.excludedIn == e.info.ID {
			l.excludedIn = workload.EndpointID{}
		}
	}
}

// mayStartLater reports whether the endpoint may still carry out the start of a run whose hold
// ends. The homes of an ephemeral job are told when it may not any more.
func (c *Control) mayStartLater(r *run) bool {
	l := c.lateStartOf(r)
	if l == nil || l.excludedIn == r.endpoint.info.ID {
		return false
	}
	if l.ephemeral {
		l.waiting = append([]instance.ID{r.home}, r.otherHomes...)
	}
	return true
}

// lifeOf returns the last known life of the endpoint of a late start.
func (c *Control) lifeOf(l *lateStart) workload.EndpointID {
	if info, ok := c.holder.listed.Get(l.endpoint.Name); ok {
		l.endpoint, l.address = info.ID, info.Address
	}
	return l.endpoint
}

// stopLateStarts stops the late starts that the present lives of their endpoints may carry out,
// until each stop was accepted.
//
// This keeps an invariant: no start that an endpoint has not answered is forgotten before the life
// that could still carry it out has accepted a stop of it or knows a higher token, or
// lateOrderWindow is over. While a hold lasts, checkRun does the same for its runs.
func (c *Control) stopLateStarts() {
	if c.now.Before(c.holder.lateStartsDue) {
		return
	}
	c.holder.lateStartsDue = c.now.Add(lateStartInterval)
	for key, l := range c.holder.lateStarts.All() {
		if c.now.Sub(l.orderedAt) >= lateOrderWindow {
			c.holder.lateStarts.Delete(key)
			continue
		}
		if !c.needsStop(key, l) || c.now.Sub(l.stopSentAt) < c.config.Timing.StopRetry {
			continue
		}
		l.stopSentAt = c.now
		c.counters.Stops++
		if l.stoppedIn != l.endpoint {
			l.stoppedIn = l.endpoint
			c.logWarning("late start stopped", runFields(key.run, zap.Stringer("Home", l.home), zap.String("Endpoint", key.endpoint), zap.Int64("Born", l.endpoint.Born), zap.Uint64("Token", uint64(key.token)), zap.Duration("Elapsed", c.now.Sub(l.orderedAt)))...)
		}
		c.uplink.enqueue(c.now, orderOverheadBytes)
		c.emit(StopRun{Endpoint: l.endpoint, Address: l.address, Token: key.token, Run: key.run})
	}
}

// needsStop reports whether the present life of its endpoint may carry out a late start, and the
// hold under which it was ordered is over.
func (c *Control) needsStop(key lateStartKey, l *lateStart) bool {
	life := c.lifeOf(l)
	if l.excludedIn == life {
		return false
	}
	e, ok := c.holder.endpoints.Get(key.endpoint)
	return !ok || e.token != key.token || e.info.ID != life
}

// lateStartsOpen reports whether an endpoint in the list may still carry out a late start.
func (c *Control) lateStartsOpen() bool {
	for key, l := range c.holder.lateStarts.All() {
		if c.holder.listed.Has(key.endpoint) && c.needsStop(key, l) {
			return true
		}
	}
	return false
}

// lateStartTable holds the late starts of one instance, in the order of their first copies.
type lateStartTable = table.Table[lateStartKey, *lateStart]
