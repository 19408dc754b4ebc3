package placement

import (
	"time"

	"go.uber.org/zap"
)

const (
	// callerCheckTime is how long the process has to run, after it stood still, to notice which
	// callers have left meanwhile, and placePause how long it waits after a long pause before
	// it places tasks.
	callerCheckTime = 20 * time.Millisecond
	placePause      = 50 * time.Millisecond
	// maxStepGap is the longest time between two steps after which callers count as known.
	// Without inputs a step comes each 50 ms.
	maxStepGap = 75 * time.Millisecond

	unusualSilence  = 8  // multiple of the usual time between requests
	requestsInMean  = 16 // over which that time is averaged
	minRequestsSeen = 16 // before a silence can be unusual
)

// callerCheck is what this instance knows of whether its callers still wait. A process that
// has stood still reads first what has come for it, and notices broken connections later.
type callerCheck struct {
	// placeAfter is when tasks may be placed again after a long pause of this instance, or of
	// the path to its callers.
	placeAfter time.Time
	requestAt  time.Time     // when a job was last submitted
	requests   int           // submitted so far
	usualGap   time.Duration // mean time between two of them
	// confirmedAt is the latest time for which it is known which callers had left.
	confirmedAt time.Time
	// pendingAt is the time that will be confirmed when the process has run for callerCheckTime
	// since; zero while callers are known. ran is how long it has run, and gaps says that it
	// has stood still again.
	pendingAt time.Time
	ran       time.Duration
	gaps      bool
	// gap is the time between two steps that began the check, and abandonedBefore how many jobs
	// had been abandoned then.
	gap             time.Duration
	abandonedBefore int64
}

// noteGap notes the time since the step before, and confirms that callers wait when it is known.
func (c *Control) noteGap(gap time.Duration) {
	k := &c.home.callers
	switch {
	case gap > maxStepGap && k.pendingAt.IsZero():
		c.beginCallerCheck(gap)
	case gap > maxStepGap:
		k.gaps = true
	default:
		k.ran += gap
	}
	if !k.pendingAt.IsZero() && k.ran >= callerCheckTime {
		c.endCallerCheck()
	}
	if k.pendingAt.IsZero() {
		k.confirmedAt = c.now
	}
	if gap > c.config.Timing.SuspectAfter {
		c.handlePause(gap)
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

// requestCallerCheck makes the process look at the connections of its callers.
func (c *Control) requestCallerCheck() {}

func (c *Control) beginCallerCheck(gap time.Duration) {
	k := &c.home.callers
	k.pendingAt, k.ran, k.gaps = c.now, 0, false
	k.gap, k.abandonedBefore = gap, c.counters.Abandoned
	for _, m := range c.membership.members.All() {
		m.echoPending = m.peerSent
	}
}

// endCallerCheck confirms the time at which the check began. If the process has stood still
// since then, the next check begins now, so that an instance that runs in short bursts confirms
// its callers late, but does.
func (c *Control) endCallerCheck() {
	k := &c.home.callers
	c.logEvent("callers known again", zap.Duration("Gap", k.gap), zap.Duration("Took", c.now.Sub(k.pendingAt)), zap.Int64("Abandoned", c.counters.Abandoned-k.abandonedBefore))
	k.confirmedAt, k.pendingAt = k.pendingAt, time.Time{}
	for _, m := range c.membership.members.All() {
		m.echoSent = m.echoPending
	}
	if k.gaps {
		c.beginCallerCheck(k.gap)
	}
	c.membership.nextHeartbeat = c.now // with the confirmations that were held back
}

// confirmReceived returns what to confirm to a member of the messages received from it. A
// confirmation also says that the callers of this instance waited when the message came.
func (c *Control) confirmReceived(m *member) time.Duration {
	known := c.home.callers.pendingAt.IsZero()
	if known {
		m.echoSent = m.peerSent
	}
	m.echoHeldBack = !known
	return m.echoSent
}
