package placement

import (
	"time"

	"go.uber.org/zap"
)

const (
	// callerCheckPeriod is the time between two checks while callers wait. A lease is renewed for
	// its full length while its run's callers are known as of maxUnconfirmed - Lease ago.
	callerCheckPeriod = 50 * time.Millisecond
	// placePause is how long after a long pause the check begins after which tasks are placed: a
	// close may arrive behind the request.
	placePause = 50 * time.Millisecond
	// maxStepGap is the longest time between two steps after which no check begins at once. Without
	// inputs a step comes each 50 ms.
	maxStepGap = 75 * time.Millisecond
	// lateRequestTime is how long after a pause requests are read that may have come during it.
	lateRequestTime = 250 * time.Millisecond
	// callerCheckTime is how long tasks wait whose requests may have waited on their path.
	callerCheckTime = 20 * time.Millisecond

	unusualSilence  = 8  // multiple of the usual time between requests
	requestsInMean  = 16 // over which that time is averaged
	minRequestsSeen = 16 // before a silence can be unusual
)

// callerCheck is what this instance knows of whether its callers still wait. A process that
// has stood still reads late that connections were closed, so it is asked to look at them.
type callerCheck struct {
	// placeAfter is when tasks may be placed again after a silence of all callers.
	placeAfter time.Time
	requestAt  time.Time     // when a job was last submitted
	requests   int           // submitted so far
	usualGap   time.Duration // mean time between two of them
	// confirmedAt is the latest time at which every caller of an open ephemeral job was seen to
	// wait.
	confirmedAt time.Time
	// placeFrom is the earliest confirmedAt with which tasks are placed, and checkedAt when a
	// check was last asked for. pending says that it has not been answered, and requested that
	// another one has to begin.
	placeFrom time.Time
	checkedAt time.Time
	pending   bool
	requested bool
	begun     uint64 // checks
	answered  uint64 // number of the last check that was answered
	// gapCheck is the number of the check that began after the last long time between two steps,
	// gap the length of that time, and abandonedBefore how many jobs had been abandoned then.
	gapCheck        uint64
	gap             time.Duration
	gapEndedAt      time.Time
	abandonedBefore int64
	// pausedUntil is when the last gap ended in which callers may have left that come back soon.
	pausedUntil time.Time
}

// noteGap notes the time since the step before. After a long one callers are checked at once, and
// after a pause before anything is placed.
func (c *Control) noteGap(gap time.Duration) {
	k := &c.home.callers
	if gap > maxStepGap {
		if !c.callersInDoubt() {
			k.gap, k.gapEndedAt, k.abandonedBefore = 0, c.now, c.counters.Abandoned
			k.gapCheck = c.requestCallerCheck()
		}
		k.gap = max(k.gap, gap)
	}
	if gap > c.config.Timing.returnSlack() {
		k.pausedUntil = c.now
		// Where each step comes late, a check that began after an earlier pause has to do.
		if !c.callersUnknown() {
			k.placeFrom = c.now
		}
	}
	if !c.callersWait() && !c.callersInDoubt() {
		k.confirmedAt = c.now
	}
	if gap > c.config.Timing.SuspectAfter {
		c.handlePause(gap)
	}
}

// callersWait reports whether some request for a job has not been answered.
func (c *Control) callersWait() bool { return len(c.home.byHandle) > 0 }

// callersInDoubt reports whether callers may have left in the last gap that nobody has noticed.
func (c *Control) callersInDoubt() bool { return c.home.callers.answered < c.home.callers.gapCheck }

// callersUnknown reports whether callers may have left in a pause whose jobs would be placed.
func (c *Control) callersUnknown() bool {
	k := &c.home.callers
	return k.confirmedAt.Before(k.placeFrom)
}

// mayPlace reports whether callers of ephemeral jobs are known to wait, so that tasks may be placed.
func (c *Control) mayPlace() bool {
	return !c.callersUnknown() && !c.now.Before(c.home.callers.placeAfter)
}

// callerKnown reports whether the callers of an ephemeral job are known to wait.
func (c *Control) callerKnown(j *job) bool {
	return c.mayPlace() && c.home.callers.answered >= j.afterCheck
}

// requestCallerCheck asks for a check of callers that begins in the present step or later, and
// returns its number.
func (c *Control) requestCallerCheck() uint64 {
	k := &c.home.callers
	k.requested = true
	return k.begun + 1
}

// runCallerCheck begins a check of callers when one is due.
func (c *Control) runCallerCheck() {
	k := &c.home.callers
	if k.pending || (!k.requested && c.now.Before(c.callerCheckDue())) {
		return
	}
	k.pending, k.requested, k.checkedAt = true, false, c.now
	k.begun++
	for _, m := range c.membership.members.All() {
		m.echoPending = m.peerSent
	}
	c.emit(CheckCallers{})
}

// callerCheckDue returns when the next check is due.
func (c *Control) callerCheckDue() time.Time {
	k := &c.home.callers
	switch {
	case k.checkedAt.Before(k.placeFrom):
		return k.placeFrom
	case c.callersWait():
		return k.checkedAt.Add(callerCheckPeriod)
	}
	return c.now.Add(callerCheckPeriod)
}

// callersChecked confirms that callers waited when a check began; the jobs of those that had left
// have been abandoned.
func (c *Control) callersChecked(m CallersChecked) {
	k := &c.home.callers
	inDoubt := c.callersInDoubt()
	k.pending, k.answered = false, k.begun
	k.confirmedAt = later(k.confirmedAt, m.At)
	for _, p := range c.membership.members.All() {
		p.echoSent = max(p.echoSent, p.echoPending)
	}
	if inDoubt && !c.callersInDoubt() {
		c.logEvent("callers known again", zap.Duration("Gap", k.gap), zap.Duration("Took", c.now.Sub(k.gapEndedAt)), zap.Int64("Abandoned", c.counters.Abandoned-k.abandonedBefore))
		c.membership.nextHeartbeat = k.confirmedAt // with the confirmations that were held back
	}
}

// checkLateRequest has the caller of a job checked before the job is placed, if its request may
// have been sent before the last gap.
func (c *Control) checkLateRequest(j *job) {
	if k := &c.home.callers; !k.pausedUntil.IsZero() && c.now.Sub(k.pausedUntil) < lateRequestTime {
		j.afterCheck = c.requestCallerCheck()
	}
}

// noteRequest notes that a job was submitted. After a silence of all callers that is unusual for
// their rate, and so long that they may have submitted the job elsewhere meanwhile, it may have
// waited on a path that stood still. Its caller's closed connection is then right behind it.
func (c *Control) noteRequest() {
	k := &c.home.callers
	gap := c.now.Sub(k.requestAt)
	if c.stop == serving && k.requests >= minRequestsSeen && gap > c.config.Timing.Lease && gap > unusualSilence*k.usualGap {
		c.logWarning("requests after a silence", zap.Duration("Silence", gap), zap.Duration("Usual", k.usualGap))
		k.placeAfter = later(k.placeAfter, c.now.Add(callerCheckTime))
	} else if k.requests > 0 {
		k.usualGap += (gap - k.usualGap) / requestsInMean
	}
	k.requestAt = c.now
	k.requests++
}

// heartbeatsDue reports whether heartbeats are due and confirm as much as they can: they follow a
// check of callers that began when they were due.
func (c *Control) heartbeatsDue() bool {
	due := c.membership.nextHeartbeat
	if c.now.Before(due) {
		return false
	}
	if c.callersWait() && c.home.callers.confirmedAt.Before(due) {
		if !c.home.callers.pending {
			c.requestCallerCheck()
		}
		return false
	}
	return true
}

// confirmReceived returns what to confirm to a member of the messages received from it. A
// confirmation also says that the callers of this instance waited when the message came.
func (c *Control) confirmReceived(m *member) time.Duration {
	if !c.callersWait() && !c.callersInDoubt() {
		m.echoSent = m.peerSent
	}
	m.echoHeldBack = c.callersInDoubt()
	return m.echoSent
}
