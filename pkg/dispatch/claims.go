package dispatch

import (
	"encoding/json"
	"errors"
	"slices"
	"time"

	"crocusseam/pkg/storage"
	"crocusseam/pkg/submission"
	"crocusseam/pkg/table"
)

// ClaimState is the state of a submission in the table.
type ClaimState string

// States of a claim row. A Claimed row has no outcome yet. A NotRun row may be
// taken over by another instance. The others are final, except that the home
// that made the claim may replace Unknown by the outcome.
const (
	StateClaimed  ClaimState = "Claimed"
	StateNotRun   ClaimState = "NotRun"
	StateComplete ClaimState = "Complete"
	StateFailed   ClaimState = "Failed"
	StateUnknown  ClaimState = "Unknown"
)

// ClaimRow is the row of a submission in the table. Only the instance that wrote
// the claim may start the submission's tasks.
type ClaimRow struct {
	Team        string
	ID          string
	Digest      submission.Digest
	Home        string
	Incarnation uint64
	Token       string
	State       ClaimState
	Reason      submission.Reason   `json:",omitempty"`
	Detail      string              `json:",omitempty"`
	Results     []submission.Result `json:",omitempty"`
	// Object names the object that holds the results if they are longer than
	// maxInlineResultBytes.
	Object   string `json:",omitempty"`
	Deadline time.Time
	Expires  time.Time
}

// ClaimKey returns the key of a submission's row in the table.
func ClaimKey(k submission.Key) string { return "claim/" + k.Team + "/" + k.ID }

// ParseClaimRow reads the value of a claim row.
func ParseClaimRow(value []byte) (ClaimRow, error) {
	var row ClaimRow
	err := json.Unmarshal(value, &row)
	return row, err
}

// pendingWrite is a row to be written, and the function to call afterwards.
type pendingWrite struct {
	write    storage.Write
	urgent   bool      // a caller waits for it
	expires  time.Time // end of the caller's wait; zero if there is none
	queuedAt time.Time
	job      *job // the job that cannot start before this claim is won; otherwise nil
	proven   bool // it had no conflict in a commit that failed on other rows
	// done is called once the row is known to have been written (conflict is
	// nil), when another write is found in its place (conflict is the present
	// row), or when the wait has expired (err is set).
	done func(version storage.Version, conflict *storage.Row, err error)
}

// rank returns 0 for a claim that a job waits for before it starts, 1 for any
// other row. Rows of rank 0 are committed first.
func (p *pendingWrite) rank() int {
	if p.job != nil {
		return 0
	}
	return 1
}

// batch is a group of rows in one commit. The commit is repeated with the same
// rows until it is known whether it took effect.
type batch struct {
	writes   []*pendingWrite
	retryAt  time.Time // zero while a call is in flight
	attempts int
	relayed  bool // sent through a sibling
	sentAt   time.Time
}

// claimWriter writes claims and outcomes in batches: while calls are in flight or
// the budget is used up, rows collect for the next commit.
type claimWriter struct {
	pending    []*pendingWrite
	batches    *table.Table[uint64, *batch]
	lastID     uint64 // last id given to a call
	nextFlush  time.Time
	budget     float64 // commits that may be sent now
	refilledAt time.Time

	consecutiveFailures int
	openUntil           time.Time     // when the open breaker lets the next probe through
	backoff             time.Duration // of the breaker
	lastAway            time.Time     // when a call last failed with the breaker open
	// commitTime is the moving average of the time that commits take.
	commitTime time.Duration

	relaySibling      PeerID
	relayTrustedUntil time.Time
	probeCount        int // commits sent while the platform was away and no relay worked

	gets        *table.Table[uint64, func(storage.Row, error)]
	queuedReads []queuedRead
	objects     *table.Table[uint64, func([]byte, error)]
	putRetries  *table.Table[*job, time.Time] // when to store a job's results again after a failure
}

const (
	maxCommitsInFlight   = 3        // more than one, so that claims don't queue behind a slow commit
	maxCommitBurst       = 10       // commits
	maxCommitBytes       = 1 << 20  // a batch that has grown longer takes no more rows
	maxInlineResultBytes = 32 << 10 // longer results go to an object
	maxJobOutputBytes    = 4 << 20
	maxBreakerBackoff    = 4 * time.Second
	maxCommitBackoff     = time.Second
	firstCommitBackoff   = 20 * time.Millisecond
	relayTrustTime       = 2 * time.Second // how long a sibling is used after it has committed
	fastCommit           = 12 * time.Millisecond
	commitTimeWindow     = 8 // commits that the average time covers
)

var errNoAnswer = errors.New("no answer in time")

func newClaimWriter() claimWriter {
	return claimWriter{
		batches:    table.New[uint64, *batch](),
		gets:       table.New[uint64, func(storage.Row, error)](),
		objects:    table.New[uint64, func([]byte, error)](),
		putRetries: table.New[*job, time.Time](),
		budget:     maxCommitBurst,
	}
}

// busy reports whether writes are queued or in flight.
func (w *claimWriter) busy() bool {
	return len(w.pending) > 0 || w.batches.Len() > 0 || w.objects.Len() > 0 || w.putRetries.Len() > 0
}

// breakerOpen reports whether calls to the platform wait for the next probe.
func (c *Control) breakerOpen() bool {
	w := &c.claims
	return w.consecutiveFailures >= c.config.Timing.BreakerFailures && c.now.Before(w.openUntil)
}

// commitsPaused reports whether commits wait for the next probe, because the
// breaker is open and no sibling relays them.
func (c *Control) commitsPaused() bool { return c.breakerOpen() && !c.relayWorks() }

// platformAway reports whether so many calls in a row have failed that the
// platform counts as unavailable.
func (c *Control) platformAway() bool {
	return c.claims.consecutiveFailures >= c.config.Timing.BreakerFailures
}

// write queues a row for the next commit.
func (c *Control) write(p *pendingWrite) {
	p.queuedAt = c.now
	c.claims.pending = append(c.claims.pending, p)
}

// recordPlatformResult counts failed calls in a row. After
// Timing.BreakerFailures of them the breaker opens, and commits go out only as
// jittered probes.
func (c *Control) recordPlatformResult(err error) {
	w := &c.claims
	var conflict *storage.ErrConflict
	if err == nil || errors.As(err, &conflict) {
		w.consecutiveFailures = 0
		w.backoff = 0
		return
	}
	w.consecutiveFailures++
	if w.consecutiveFailures >= c.config.Timing.BreakerFailures {
		w.lastAway = c.now
	}
	if w.consecutiveFailures < c.config.Timing.BreakerFailures || c.now.Before(w.openUntil) {
		return
	}
	c.delayProbe()
}

// delayProbe schedules the next probe after a jittered, growing back-off.
func (c *Control) delayProbe() {
	w := &c.claims
	w.backoff = min(max(2*w.backoff, c.config.Timing.BreakerBackoff), maxBreakerBackoff)
	w.openUntil = c.now.Add(w.backoff/2 + c.jitter(w.backoff/2))
}

// runClaims expires rows that have waited too long, starts jobs that may run
// without a claim, repeats commits whose answers were lost, and sends the next
// batches.
func (c *Control) runClaims() {
	c.refillBudget()
	c.expireWrites()
	c.startUnclaimed()
	c.retryStoreResults()
	c.retryBatches()
	c.flushClaims()
}

// refillBudget adds the commits that the passed time allows.
func (c *Control) refillBudget() {
	w := &c.claims
	if !w.refilledAt.IsZero() {
		w.budget += c.now.Sub(w.refilledAt).Seconds() * c.config.Timing.WritesPerSec
	}
	w.budget = min(w.budget, maxCommitBurst)
	w.refilledAt = c.now
}

// expireWrites removes the queued rows whose wait has expired, and reports
// errNoAnswer for them. They are in no commit in flight.
func (c *Control) expireWrites() {
	w := &c.claims
	var expired []*pendingWrite
	kept := w.pending[:0]
	for _, p := range w.pending {
		if !p.expires.IsZero() && c.now.After(p.expires) {
			expired = append(expired, p)
			continue
		}
		kept = append(kept, p)
	}
	w.pending = kept
	for _, p := range expired {
		p.done(0, nil, errNoAnswer)
	}
}

// retryBatches repeats the commits whose back-off has passed.
func (c *Control) retryBatches() {
	w := &c.claims
	w.nextFlush = time.Time{}
	for id, b := range w.batches.All() {
		if b.retryAt.IsZero() {
			continue
		}
		if c.now.Before(b.retryAt) || c.commitsPaused() {
			w.nextFlush = earlier(later(b.retryAt, w.openUntil), w.nextFlush)
			continue
		}
		b.retryAt = time.Time{}
		c.counters.RepeatedWrites++
		c.sendBatch(id, b)
	}
}

// flushClaims sends queued rows while they are due and commits are allowed.
func (c *Control) flushClaims() {
	w := &c.claims
	for len(w.pending) > 0 {
		due := c.flushDue()
		if c.now.Before(due) {
			w.nextFlush = earlier(due, w.nextFlush)
			return
		}
		if c.commitsPaused() || w.batches.Len() >= maxCommitsInFlight {
			return
		}
		c.flushBatch()
	}
}

// flushDue returns when the next batch may be sent: at once if a caller waits for a
// row or a commit can be filled, and otherwise after OutcomeLinger, so that outcomes
// share a commit. Without budget, the batch waits until a commit is allowed.
func (c *Control) flushDue() time.Time {
	w := &c.claims
	due := w.pending[0].queuedAt.Add(c.config.Timing.OutcomeLinger)
	if len(w.pending) >= c.config.Timing.MaxRowsPerCommit {
		due = c.now
	}
	for _, p := range w.pending {
		if p.urgent {
			due = c.now
			break
		}
	}
	if w.budget < 1 {
		wait := time.Duration((1 - w.budget) / c.config.Timing.WritesPerSec * float64(time.Second))
		due = later(due, c.now.Add(wait))
	}
	return due
}

// flushBatch sends the next batch. A batch has at most one write of each row. Rows that stood beside a
// conflict go without others, which may have conflicts too: else callers who submit under taken ids would keep the claims
// of others from being written.
func (c *Control) flushBatch() {
	w := &c.claims
	b := &batch{}
	taken := make(map[string]bool)
	rest := w.pending[:0:0]
	bytes := 0
	// Claims that jobs wait for go before claims written afterwards and outcomes.
	slices.SortStableFunc(w.pending, func(p, q *pendingWrite) int { return p.rank() - q.rank() })
	onlyProven := slices.ContainsFunc(w.pending, func(p *pendingWrite) bool { return p.proven })
	for _, p := range w.pending {
		full := len(b.writes) >= c.config.Timing.MaxRowsPerCommit || bytes > maxCommitBytes
		if full || taken[p.write.Key] || (onlyProven && !p.proven) {
			rest = append(rest, p)
			continue
		}
		taken[p.write.Key] = true
		bytes += len(p.write.Value)
		b.writes = append(b.writes, p)
	}
	w.pending = rest
	w.budget--
	w.lastID++
	w.batches.Put(w.lastID, b)
	c.counters.Commits++
	c.counters.CommittedRows += uint64(len(b.writes))
	c.sendBatch(w.lastID, b)
}

// sendBatch sends a batch to the platform, or to a sibling while the platform is
// away.
func (c *Control) sendBatch(id uint64, b *batch) {
	writes := make([]storage.Write, len(b.writes))
	for i, p := range b.writes {
		writes[i] = p.write
	}
	b.attempts++
	b.sentAt = c.now
	b.relayed = false
	if c.platformAway() {
		if sibling, ok := c.relayPeer(); ok {
			b.relayed = true
			c.counters.Relays++
			c.send(sibling, &Relay{ID: id, Writes: writes})
			return
		}
	}
	c.emit(Commit{ID: id, Writes: writes})
}

// commitDone handles the answer to any commit of this instance.
func (c *Control) commitDone(m CommitDone) {
	if c.membershipCommitDone(m) {
		return
	}
	if c.relayCommitDone(m) {
		return
	}
	c.recordPlatformResult(m.Err)
	c.batchDone(m.ID, m.Version, m.Err)
}

// batchDone handles the answer to a batch's commit. If the answer was lost, the
// same commit is sent again; rows that the first one wrote are then recognized by
// their content, which includes this home's token.
func (c *Control) batchDone(id uint64, version storage.Version, err error) {
	b, ok := c.claims.batches.Get(id)
	if !ok || !b.retryAt.IsZero() {
		return
	}
	c.recordCommitTime(b, err)
	var conflict *storage.ErrConflict
	switch {
	case err == nil:
		c.claims.batches.Delete(id)
		for _, p := range b.writes {
			p.done(version, nil, nil)
		}
	case errors.As(err, &conflict):
		c.claims.batches.Delete(id)
		c.applyConflict(b, conflict)
	case c.ruleSwitches.noReadBack && isUncertain(err):
		c.claims.batches.Delete(id)
		for _, p := range b.writes {
			p.done(version, nil, nil)
		}
	default:
		c.batchFailed(id, b, err)
	}
}

// recordCommitTime updates the average time that commits take. A commit with an
// uncertain outcome counts as slow.
func (c *Control) recordCommitTime(b *batch, err error) {
	took := c.now.Sub(b.sentAt)
	if err != nil && isUncertain(err) {
		took = max(took, 2*fastCommit)
	}
	c.claims.commitTime += (took - c.claims.commitTime) / commitTimeWindow
}

// isUncertain reports whether a failed commit may have taken effect.
func isUncertain(err error) bool {
	var uncertain *storage.ErrUncertain
	return errors.As(err, &uncertain)
}

// batchFailed schedules the repetition of a commit. If this was the first attempt
// and it certainly had no effect, the rows go back to the queue, where
// expireWrites bounds their waits.
func (c *Control) batchFailed(id uint64, b *batch, err error) {
	if !isUncertain(err) && b.attempts == 1 {
		c.claims.batches.Delete(id)
		c.claims.pending = append(b.writes, c.claims.pending...)
		return
	}
	backoff := firstCommitBackoff << min(b.attempts, 6)
	b.retryAt = c.now.Add(min(backoff, maxCommitBackoff)/2 + c.jitter(min(backoff, maxCommitBackoff)/2))
	c.expireBatchWaits(b)
}

// expireBatchWaits ends the waits for an uncertain commit that have expired. The
// commit itself is repeated until its outcome is known.
func (c *Control) expireBatchWaits(b *batch) {
	for _, p := range b.writes {
		if !p.expires.IsZero() && c.now.After(p.expires) {
			p.expires = time.Time{}
			p.done(0, nil, errNoAnswer)
		}
	}
}

// applyConflict handles a commit that failed on the conditions of some rows. Rows
// that already have the wanted content were written by an earlier attempt; rows
// without a conflict are queued again.
func (c *Control) applyConflict(b *batch, conflict *storage.ErrConflict) {
	present := make(map[string]*storage.Row, len(conflict.Rows))
	for i := range conflict.Rows {
		present[conflict.Rows[i].Key] = &conflict.Rows[i]
	}
	var again []*pendingWrite
	for _, p := range b.writes {
		row, differs := present[p.write.Key]
		switch {
		case !differs:
			p.proven = true
			again = append(again, p)
		case string(row.Value) == string(p.write.Value):
			p.done(row.Version, nil, nil)
		default:
			c.counters.LostRaces++
			p.done(0, row, nil)
		}
	}
	c.claims.pending = append(again, c.claims.pending...)
}

// relayPeer returns the sibling to commit through while the platform is away: the
// one that has lately committed for this instance, if any. Otherwise probes
// alternate between the siblings in turn and the platform itself, for which
// relayPeer returns false.
func (c *Control) relayPeer() (PeerID, bool) {
	w := &c.claims
	if c.relayWorks() {
		return w.relaySibling, true
	}
	w.probeCount++
	if w.probeCount%2 == 0 {
		return PeerID{}, false
	}
	var peers []PeerID
	for id, l := range c.membership.sessions.All() {
		if l.up && !l.leaving {
			peers = append(peers, id)
		}
	}
	if len(peers) == 0 {
		return PeerID{}, false
	}
	return peers[(w.probeCount/2)%len(peers)], true
}

// relayWorks reports whether a sibling has lately committed for this instance.
func (c *Control) relayWorks() bool {
	w := &c.claims
	return c.now.Before(w.relayTrustedUntil) && c.sessionUp(w.relaySibling)
}

// relayedCommit names the sibling for which this instance sends a commit, and the
// sibling's id of it.
type relayedCommit struct {
	from PeerID
	id   uint64
}

// handleRelay commits rows for a sibling that cannot reach the platform.
func (c *Control) handleRelay(from PeerID, m *Relay) {
	if c.platformAway() {
		c.send(from, &RelayDone{ID: m.ID, Outcome: Unavailable})
		return
	}
	c.claims.lastID++
	c.membership.relayed.Put(c.claims.lastID, relayedCommit{from, m.ID})
	c.emit(Commit{ID: c.claims.lastID, Writes: m.Writes})
}

// relayCommitDone passes the answer to a relayed commit on to the sibling. It
// reports whether the commit was a relayed one.
func (c *Control) relayCommitDone(m CommitDone) bool {
	r, ok := c.membership.relayed.Get(m.ID)
	if !ok {
		return false
	}
	c.membership.relayed.Delete(m.ID)
	c.recordPlatformResult(m.Err)
	done := &RelayDone{ID: r.id, Version: m.Version, Outcome: Committed}
	var conflict *storage.ErrConflict
	switch {
	case m.Err == nil:
	case errors.As(m.Err, &conflict):
		done.Outcome = Conflicted
		done.Rows = conflict.Rows
	case isUncertain(m.Err):
		done.Outcome = Uncertain
	default:
		done.Outcome = Unavailable
	}
	c.send(r.from, done)
	return true
}

// handleRelayDone handles a sibling's answer to a commit that it relayed.
func (c *Control) handleRelayDone(from PeerID, m *RelayDone) {
	w := &c.claims
	if m.Outcome == Committed || m.Outcome == Conflicted {
		w.relaySibling = from
		w.relayTrustedUntil = c.now.Add(relayTrustTime)
	} else {
		w.relayTrustedUntil = time.Time{}
		c.delayProbe()
	}
	switch m.Outcome {
	case Committed:
		c.batchDone(m.ID, m.Version, nil)
	case Conflicted:
		c.batchDone(m.ID, 0, &storage.ErrConflict{Rows: m.Rows})
	case Uncertain, Unavailable:
		c.batchDone(m.ID, 0, &storage.ErrUncertain{Step: "relay", Cause: errNoAnswer})
	}
}

// retryRelayed schedules the repetition of all commits that were relayed and not
// answered, after a session was lost: the sibling's answer may be lost with it.
func (c *Control) retryRelayed() {
	for id, b := range c.claims.batches.All() {
		if b.relayed && b.retryAt.IsZero() {
			c.batchFailed(id, b, &storage.ErrUncertain{Step: "relay", Cause: errNoAnswer})
		}
	}
}
