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

// States of a claim row. Claimed and Running rows have no outcome yet. A NotRun
// row may be taken over; the others are final, except that the claim's own home
// may replace Unknown by what it knows.
const (
	StateClaimed  ClaimState = "Claimed"
	StateNotRun   ClaimState = "NotRun"
	StateComplete ClaimState = "Complete"
	StateFailed   ClaimState = "Failed"
	StateUnknown  ClaimState = "Unknown"
)

// ClaimRow is the row of a submission in the table. Whoever inserted it, and
// nobody else, may start the submission's tasks.
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
	// Object names the object that holds the results if they are long.
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

// pendingWrite is a row that waits for a commit, with what to do afterwards.
type pendingWrite struct {
	write    storage.Write
	urgent   bool // a caller waits for it
	expires  time.Time
	queuedAt time.Time
	job      *job // whose claim this is, while its start waits for it
	// done is called once the row is known to have been written (conflict
	// nil), or to have another content (conflict is the present row), or when
	// the bound of the wait has passed (err is set).
	done func(version storage.Version, conflict *storage.Row, err error)
}

// rank orders the rows of a group: 0 for those that a start waits for.
func (p *pendingWrite) rank() int {
	if p.job != nil {
		return 0
	}
	return 1
}

// batch is a commit in flight. It is repeated with the same rows until it is
// known whether it took effect.
type batch struct {
	writes   []*pendingWrite
	retryAt  time.Time // zero while a call is out
	attempts int
	relayed  bool
	sentAt   time.Time
}

// claimWriter writes claims and outcomes in groups: while calls are out or the
// budget is used up, rows gather for the next commit.
type claimWriter struct {
	pending    []*pendingWrite
	batches    *table.Table[uint64, *batch]
	lastID     uint64
	nextFlush  time.Time
	budget     float64 // of the write budget
	refilledAt time.Time

	consecutiveFailures int
	openUntil           time.Time // the breaker is open until then
	backoff             time.Duration
	lastAway            time.Time // the platform was away then
	// commitTime is the average time that commits have lately taken.
	commitTime time.Duration

	relaySibling      PeerID
	relayTrustedUntil time.Time
	probeCount        int

	gets       *table.Table[uint64, func(storage.Row, error)]
	objects    *table.Table[uint64, func([]byte, error)]
	putRetries *table.Table[*job, time.Time] // outcomes whose results wait to be stored again
}

// maxCommitsInFlight bounds the concurrent commits of an instance. A second and
// third keep a slow table from holding up claims behind each other.
const (
	maxCommitsInFlight   = 3
	maxCommitBurst       = 10 // commits
	maxCommitBytes       = 1 << 20
	maxInlineResultBytes = 32 << 10 // of results in a claim row
	maxJobOutputBytes    = 4 << 20
	maxBreakerBackoff    = 4 * time.Second
	maxCommitBackoff     = time.Second
	firstCommitBackoff   = 20 * time.Millisecond
	relayTrustTime       = 2 * time.Second
	fastCommit           = 12 * time.Millisecond
	commitTimeWindow     = 8 // commits
)

var errNoAnswer = errors.New("no answer within the bound")

func newClaimWriter() claimWriter {
	return claimWriter{
		batches:    table.New[uint64, *batch](),
		gets:       table.New[uint64, func(storage.Row, error)](),
		objects:    table.New[uint64, func([]byte, error)](),
		putRetries: table.New[*job, time.Time](),
		budget:     maxCommitBurst,
	}
}

func (w *claimWriter) busy() bool {
	return len(w.pending) > 0 || w.batches.Len() > 0 || w.objects.Len() > 0 || w.putRetries.Len() > 0
}

// breakerOpen reports whether the platform is taken to be away.
func (c *Control) breakerOpen() bool {
	w := &c.claims
	return w.consecutiveFailures >= c.config.Timing.BreakerFailures && c.now.Before(w.openUntil)
}

// commitsHeld reports whether commits wait for the next probe.
func (c *Control) commitsPaused() bool { return c.breakerOpen() && !c.relayWorks() }

func (c *Control) platformAway() bool {
	return c.claims.consecutiveFailures >= c.config.Timing.BreakerFailures
}

func (c *Control) write(p *pendingWrite) {
	p.queuedAt = c.now
	c.claims.pending = append(c.claims.pending, p)
}

// get reads one row of the table.
func (c *Control) get(key string, done func(storage.Row, error)) {
	c.claims.lastID++
	c.claims.gets.Put(c.claims.lastID, done)
	c.emit(Get{ID: c.claims.lastID, Key: key})
}

func (c *Control) getDone(m GetDone) {
	done, ok := c.claims.gets.Get(m.ID)
	if !ok {
		return
	}
	c.claims.gets.Delete(m.ID)
	c.recordPlatformResult(m.Err)
	done(m.Row, m.Err)
}

// notePlatform counts failures in a row; enough of them open the breaker, and
// then calls go out only as jittered probes.
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

// delayProbe puts the next probe off by a jittered, growing back-off.
func (c *Control) delayProbe() {
	w := &c.claims
	w.backoff = min(max(2*w.backoff, c.config.Timing.BreakerBackoff), maxBreakerBackoff)
	w.openUntil = c.now.Add(w.backoff/2 + c.jitter(w.backoff/2))
}

// runClaims expires rows that waited too long, repeats commits whose answers
// were lost, and sends the next groups.
func (c *Control) runClaims() {
	c.refillBudget()
	c.expireWrites()
	c.startUnclaimed()
	c.retryStoreResults()
	c.retryBatches()
	c.flushClaims()
}

func (c *Control) refillBudget() {
	w := &c.claims
	if !w.refilledAt.IsZero() {
		w.budget += c.now.Sub(w.refilledAt).Seconds() * c.config.Timing.WritesPerSec
	}
	w.budget = min(w.budget, maxCommitBurst)
	w.refilledAt = c.now
}

// expireWrites gives up rows that were never sent and whose wait has ended.
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

// flushDue returns when the next group may go. Claims go at once while the
// budget lasts; outcomes wait for company, because nobody waits for them.
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

func (c *Control) flushBatch() {
	w := &c.claims
	b := &batch{}
	taken := make(map[string]bool)
	rest := w.pending[:0:0]
	bytes := 0
	// Claims that a start waits for go before back-fills and outcomes.
	slices.SortStableFunc(w.pending, func(p, q *pendingWrite) int { return p.rank() - q.rank() })
	for _, p := range w.pending {
		full := len(b.writes) >= c.config.Timing.MaxRowsPerCommit || bytes > maxCommitBytes
		if full || taken[p.write.Key] {
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

// batchDone applies the answer to a commit. A lost answer leads to the same
// commit again: rows that the first one wrote are told by their content, which
// carries this home's token.
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

// noteCommitTime keeps an average of how long commits take. A commit that fails
// counts as long.
func (c *Control) recordCommitTime(b *batch, err error) {
	took := c.now.Sub(b.sentAt)
	if err != nil && isUncertain(err) {
		took = max(took, 2*fastCommit)
	}
	c.claims.commitTime += (took - c.claims.commitTime) / commitTimeWindow
}

func isUncertain(err error) bool {
	var uncertain *storage.ErrUncertain
	return errors.As(err, &uncertain)
}

// batchFailed schedules the repetition of a commit. If it certainly had no
// effect and was never uncertain before, its rows go back to the queue, where
// their waits are bounded.
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

// expireCallers tells the waiting side of an uncertain commit when its bound
// has passed. The commit itself goes on until it is known.
func (c *Control) expireBatchWaits(b *batch) {
	for _, p := range b.writes {
		if !p.expires.IsZero() && c.now.After(p.expires) {
			p.expires = time.Time{}
			p.done(0, nil, errNoAnswer)
		}
	}
}

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

// relayPeer returns the sibling to commit through while the platform is away.
// It is the one that served last, or else, on every other probe, the next one
// in turn; the probes between them go to the platform itself.
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

// relayedCommit remembers for whom a commit was sent.
type relayedCommit struct {
	from PeerID
	id   uint64
}

func (c *Control) handleRelay(from PeerID, m *Relay) {
	if c.platformAway() {
		c.send(from, &RelayDone{ID: m.ID, Outcome: Unavailable})
		return
	}
	c.claims.lastID++
	c.membership.relayed.Put(c.claims.lastID, relayedCommit{from, m.ID})
	c.emit(Commit{ID: c.claims.lastID, Writes: m.Writes})
}

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

// failRelayed repeats the commits whose relay was lost with the session.
func (c *Control) retryRelayed() {
	for id, b := range c.claims.batches.All() {
		if b.relayed && b.retryAt.IsZero() {
			c.batchFailed(id, b, &storage.ErrUncertain{Step: "relay", Cause: errNoAnswer})
		}
	}
}
