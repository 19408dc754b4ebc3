package dispatch

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"crocusseam/pkg/document"
	"crocusseam/pkg/routing"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/submission"
	"crocusseam/pkg/table"
)

type phase int

// Phases of a job. A following job belongs to another home.
const (
	reading phase = iota + 1
	claiming
	inProgress
	following
	finished
)

// waiter is someone who waits for a job's answer: a caller's request here, or a
// peer.
type waiter struct {
	handle Handle
	peer   PeerID
}

type job struct {
	key             submission.Key
	sub             *submission.Submission // nil for a job that is only awaited here
	digest          submission.Digest
	class           document.Class
	phase           phase
	number          uint64
	arrived         time.Time
	deadline        time.Time // by the monotonic clock where the body is known
	token           string
	version         storage.Version
	takeoverTried   bool
	unclaimed       bool
	abandoned       bool // claim wait expired; nothing may start any more
	started         bool // a task may have started
	tasks           []taskState
	unfinishedTasks int
	waiters         []waiter
	reply           submission.Reply
	finished        time.Time
	recorded        bool
	resultObject    string   // that holds the results
	output          int      // bytes of output so far
	row             ClaimRow // of a followed job
	nextPoll        time.Time
	pollWait        time.Duration
}

type taskPhase int

const (
	taskWaiting taskPhase = iota + 1
	taskBackingOff
	taskPlaced
	taskDone
)

type taskState struct {
	phase    taskPhase
	try      int
	work     time.Duration
	attempts []uint64 // numbers of the attempts in flight, or of the waiting one
	avoid    []netip.AddrPort
	retryAt  time.Time
	bounces  int
	hedged   bool
	output   []byte
}

// attempt is one attempt of this home, waiting or placed.
type attempt struct {
	job          *job
	task         int
	try          int
	work         time.Duration
	holder       PeerID
	endpoint     netip.AddrPort
	reservedBy   PeerID    // the lead that assigned a slot before the claim was known
	placedAt     time.Time // zero while it waits for a slot or for the claim
	placeRequest *PlaceRequest
}

// home holds the jobs of this instance.
type home struct {
	jobs              *table.Table[submission.Key, *job]
	byHandle          map[Handle]*job
	attempts          *table.Table[uint64, *attempt]
	backoffs          *table.Table[uint64, *attempt]
	models            *table.Table[string, *routing.RunTimeModel]
	acks              *table.Table[PeerID, []uint64]
	ackDue            time.Time
	openJobs          int // jobs that are not finished
	lastJobNumber     uint64
	lastAttemptNumber uint64
	nextDue           time.Time

	leadID         PeerID
	leadLastSeen   time.Time
	expectedWaits  []PriorityWait
	announcedWork  time.Duration // work announced since the last beat
	starts         float64       // first attempts, for budgets, with forgetting
	retries        float64
	hedges         float64
	byDeadline     deadlineQueue
	followed       *table.Table[*job, struct{}]
	answered       []*job // in the order of their answers
	nextHedgeCheck time.Time
	// forwards are the requests that siblings have forwarded.
	forwards    map[Handle]forwardedRequest
	lastForward uint64
}

// Bounds of the home's systems.
const (
	ackDelay          = 250 * time.Millisecond
	firstBounceDelay  = 5 * time.Millisecond
	maxBounceDelay    = 250 * time.Millisecond
	firstRetryDelay   = 10 * time.Millisecond
	maxRetryDelay     = 500 * time.Millisecond
	firstPollDelay    = 100 * time.Millisecond
	maxPollDelay      = time.Second
	budgetWindow      = 1000.0 // starts that the retry budget remembers
	minRetryAllowance = 10.0
	tokenBytes        = 16
	minFollowWait     = 5 * time.Second
	hedgeCheckPeriod  = 5 * time.Millisecond
)

func newHome() home {
	return home{
		jobs:     table.New[submission.Key, *job](),
		byHandle: make(map[Handle]*job),
		attempts: table.New[uint64, *attempt](),
		backoffs: table.New[uint64, *attempt](),
		models:   table.New[string, *routing.RunTimeModel](),
		acks:     table.New[PeerID, []uint64](),
		followed: table.New[*job, struct{}](),
		forwards: make(map[Handle]forwardedRequest),
	}
}

func (h *home) hasPendingAcks() bool { return h.acks.Len() > 0 }

func (c *Control) reply(h Handle, r submission.Reply) {
	delete(c.home.byHandle, h)
	if f, ok := c.home.forwards[h]; ok {
		delete(c.home.forwards, h)
		c.send(f.from, &AttachReply{Key: f.key, Reply: r})
		return
	}
	c.emit(Reply{Handle: h, Reply: r})
}

// refuse answers a request that was not accepted. It is said to be not run only
// if the caller says that it never sent the submission before: another
// instance may run an earlier copy.
func (c *Control) refuse(h Handle, s *submission.Submission, reason submission.Reason, retry time.Duration, detail string) {
	c.counters.Refused++
	c.reply(h, submission.Reply{Refusal: &submission.Refusal{
		Reason: reason, NotRun: s != nil && s.Attempt == 1, RetryAfter: retry, Detail: detail,
	}})
}

// submit accepts a submission, attaches to a known one, or refuses it.
func (c *Control) submit(m Submit) {
	s := m.Submission
	c.counters.Submitted++
	digest := s.Digest()
	if j, ok := c.home.jobs.Get(s.Key); ok {
		if j.phase == finished && j.abandoned {
			c.home.jobs.Delete(s.Key)
		} else {
			c.attachCaller(j, m.Handle, s, digest)
			return
		}
	}
	if c.forwardUnclaimed(m, digest) || !c.admit(m.Handle, s) {
		return
	}
	j := c.newJob(s, digest)
	j.addWaiter(waiter{handle: m.Handle})
	c.home.byHandle[m.Handle] = j
	c.beginClaim(j)
}

func (j *job) addWaiter(w waiter) { j.waiters = append(j.waiters, w) }

func (c *Control) newJob(s *submission.Submission, digest submission.Digest) *job {
	class, _ := c.classOf(s)
	c.home.lastJobNumber++
	j := &job{
		key: s.Key, sub: s, digest: digest, class: class, number: c.home.lastJobNumber,
		arrived: c.now, deadline: c.now.Add(s.Deadline.Sub(c.now)), tasks: make([]taskState, len(s.Tasks)), unfinishedTasks: len(s.Tasks),
		token: c.newToken(),
	}
	for i := range s.Tasks {
		t := &s.Tasks[i]
		j.tasks[i].work = c.runTimeModel(s.Team, t.Kind).Predict(t.DeclaredRunTime)
	}
	c.home.jobs.Put(s.Key, j)
	c.home.openJobs++
	c.home.byDeadline.push(j)
	return j
}

func (c *Control) newToken() string {
	var b [tokenBytes]byte
	for i := range b {
		b[i] = byte(c.random.Uint32())
	}
	return fmt.Sprintf("%s.%d.%s", c.self.Instance, c.self.Incarnation, hex.EncodeToString(b[:]))
}

func (c *Control) runTimeModel(team, kind string) *routing.RunTimeModel {
	key := team + "/" + kind
	m, ok := c.home.models.Get(key)
	if !ok {
		m = &routing.RunTimeModel{}
		c.home.models.Put(key, m)
	}
	return m
}

// attachCaller joins a request to a job that this instance knows.
func (c *Control) attachCaller(j *job, h Handle, s *submission.Submission, digest submission.Digest) {
	c.counters.Attached++
	if !c.ruleSwitches.noDigest && j.sub != nil && j.digest != digest {
		c.refuseDigest(h, digest, j.digest)
		return
	}
	if j.sub == nil {
		j.sub, j.digest = s, digest
	}
	if j.phase == finished {
		c.reply(h, j.reply)
		return
	}
	j.addWaiter(waiter{handle: h})
	c.home.byHandle[h] = j
}

func (c *Control) refuseDigest(h Handle, got, claimed submission.Digest) {
	c.counters.Refused++
	c.reply(h, submission.Reply{Refusal: &submission.Refusal{
		Reason: submission.DigestDiffers,
		Detail: fmt.Sprintf("body %s came under an id that was claimed with body %s; the new body was not run", got, claimed),
	}})
}

// beginClaim starts on the way to the claim. A resubmission reads the row
// first: it most likely exists, and a read spoils nobody's commit.
func (c *Control) beginClaim(j *job) {
	if c.ruleSwitches.noClaim {
		c.startJob(j)
		return
	}
	if c.shouldStartUnclaimed(j) {
		j.unclaimed = true
		c.counters.Unclaimed++
		c.insertClaim(j, 0)
		c.startJob(j)
		return
	}
	if j.sub.Attempt > 1 || (j.sub.Attempt == 0 && isUnclaimedEligible(j.sub, j.class)) {
		j.phase = reading
		c.home.followed.Put(j, struct{}{})
		c.get(ClaimKey(j.key), func(row storage.Row, err error) { c.claimRowRead(j, row, err) })
		return
	}
	j.phase = claiming
	c.insertClaim(j, 0)
}

func (c *Control) claimRowRead(j *job, row storage.Row, err error) {
	if j.phase != reading {
		return
	}
	if (err != nil || row.Version == 0) && c.mayHaveRunUnclaimed(j) {
		c.finishRefused(j, submission.Refusal{
			Reason: submission.ClaimedElsewhere, RetryAfter: time.Second,
			Detail: "an earlier copy may have run while the platform was away; it is not run again",
		})
		return
	}
	if err != nil || row.Version == 0 {
		j.phase = claiming
		c.insertClaim(j, 0)
		return
	}
	c.followExistingClaim(j, &row)
}

// insertClaim writes the claim, on condition that the row has version expect.
func (c *Control) insertClaim(j *job, expect storage.Version) {
	expires := c.now.Add(c.config.Timing.ClaimWait)
	if j.unclaimed {
		expires = time.Time{}
	}
	if !j.unclaimed && c.claimsAreFast() {
		c.requestSlots(j)
	}
	claimed := j
	if j.unclaimed {
		claimed = nil
	}
	c.write(&pendingWrite{
		write:   storage.Write{Key: ClaimKey(j.key), Value: c.claimValue(j, StateClaimed), Expect: expect},
		urgent:  true,
		expires: expires,
		job:     claimed,
		done: func(version storage.Version, present *storage.Row, err error) {
			c.claimDone(j, version, present, err)
		},
	})
}

func (c *Control) claimValue(j *job, state ClaimState) []byte {
	row := ClaimRow{
		Team: j.key.Team, ID: j.key.ID, Digest: j.digest,
		Home: c.self.Instance, Incarnation: c.self.Incarnation, Token: j.token,
		State: state, Deadline: j.sub.Deadline,
		Expires: j.sub.Deadline.Add(c.config.Timing.ClaimRetention),
	}
	if a := j.reply.Answer; a != nil {
		row.Reason, row.Detail, row.Object = a.Reason, a.Detail, j.resultObject
		if j.resultObject == "" {
			row.Results = a.Results
		}
	}
	value, err := json.Marshal(row)
	if err != nil {
		panic("a claim row cannot be encoded: " + err.Error())
	}
	return value
}

// claimDone is where the home learns whether its submission is its own. Only
// here does a job become startable.
func (c *Control) claimDone(j *job, version storage.Version, present *storage.Row, err error) {
	switch {
	case j.unclaimed:
		c.backfillDone(j, version, present)
	case err != nil:
		c.claimTimedOut(j)
	case present != nil && j.phase == claiming:
		c.followExistingClaim(j, present)
	case present != nil:
		j.recorded = true
	case j.phase == claiming:
		j.version = version
		c.startJob(j)
	default:
		// The claim was won after the caller was told that nothing ran.
		j.version = version
		c.recordOutcome(j, StateNotRun)
	}
}

// backfilled learns what became of the claim of a job that started without.
func (c *Control) backfillDone(j *job, version storage.Version, present *storage.Row) {
	if present != nil {
		c.counters.BackfillBreaches++
		j.recorded = true
		return
	}
	if version == 0 {
		return
	}
	j.version = version
	if j.phase == finished {
		c.recordOutcome(j, c.outcomeState(j))
	}
}

// claimTimedOut refuses a job whose claim was not known in time. It stays
// abandoned: whatever becomes of the claim, this home starts nothing. That does
// not make it "not run": a copy that the caller sent elsewhere during the wait
// may have won the claim.
func (c *Control) claimTimedOut(j *job) {
	if j.phase != claiming {
		return
	}
	j.abandoned = true
	c.finishRefused(j, submission.Refusal{
		Reason: submission.PlatformUnavailable, RetryAfter: c.config.Timing.BreakerBackoff,
		Detail: "the claim was not confirmed in time",
	})
}

// lostClaim follows a submission that somebody has claimed before.
func (c *Control) followExistingClaim(j *job, present *storage.Row) {
	row, err := ParseClaimRow(present.Value)
	if err != nil {
		c.finishRefused(j, submission.Refusal{Reason: submission.ClaimedElsewhere, Detail: "the claim row cannot be read: " + err.Error()})
		return
	}
	if !c.ruleSwitches.noDigest && j.sub != nil && row.Digest != j.digest {
		c.finishRefused(j, submission.Refusal{
			Reason: submission.DigestDiffers,
			Detail: fmt.Sprintf("body %s came under an id that was claimed with body %s; the new body was not run", j.digest, row.Digest),
		})
		return
	}
	c.applyClaimRow(j, row, present.Version)
}

// followRow acts on the state of another home's claim.
func (c *Control) applyClaimRow(j *job, row ClaimRow, version storage.Version) {
	c.withdrawTasks(j)
	j.row, j.version = row, version
	switch row.State {
	case StateComplete:
		if row.Object != "" {
			j.phase = following
			j.nextPoll = time.Time{}
			c.fetchResults(j, row.Object)
			return
		}
		c.finishFollowed(j, submission.Answer{Status: submission.Complete, Results: row.Results})
	case StateFailed:
		c.finishFollowed(j, submission.Answer{Status: submission.Failed, Reason: row.Reason, Detail: row.Detail})
	case StateUnknown:
		c.finishFollowed(j, submission.Answer{Status: submission.Failed, Reason: submission.OutcomeUnknown, Detail: row.Detail})
	case StateNotRun:
		c.takeOver(j, version)
	default:
		c.followJob(j)
	}
}

// takeOver claims a submission whose last home has recorded that nothing ran.
func (c *Control) takeOver(j *job, version storage.Version) {
	if j.sub == nil {
		c.finishRefused(j, submission.Refusal{Reason: submission.NotFound, Detail: "the submission was refused and not run"})
		return
	}
	if j.takeoverTried {
		c.finishRefused(j, submission.Refusal{Reason: submission.ClaimedElsewhere, RetryAfter: firstPollDelay, Detail: "another instance takes it over"})
		return
	}
	j.takeoverTried = true
	j.phase = claiming
	c.insertClaim(j, version)
}

// follow asks the job's home for the answer and waits. If the home is dead the
// outcome is unknown, and is recorded so.
func (c *Control) followJob(j *job) {
	j.phase = following
	c.home.followed.Put(j, struct{}{})
	homeID := PeerID{Instance: j.row.Home, Incarnation: j.row.Incarnation}
	if homeID != c.self && c.isDead(homeID) {
		c.recordUnknown(j)
		return
	}
	if c.sessionUp(homeID) {
		c.send(homeID, &Attach{Key: j.key, Token: j.row.Token})
	}
	if j.pollWait == 0 {
		j.arrived = c.now
	}
	j.pollWait = min(max(2*j.pollWait, firstPollDelay), maxPollDelay)
	j.nextPoll = c.now.Add(j.pollWait/2 + c.jitter(j.pollWait/2))
}

// resolveUnknown records that nobody will ever know what became of a claim. The
// write is conditional on the claim being unchanged.
func (c *Control) recordUnknown(j *job) {
	row := j.row
	row.State = StateUnknown
	row.Reason = submission.OutcomeUnknown
	row.Detail = fmt.Sprintf("home %s (incarnation %d) is gone", row.Home, row.Incarnation)
	value, err := json.Marshal(row)
	if err != nil {
		panic("a claim row cannot be encoded: " + err.Error())
	}
	j.nextPoll = time.Time{}
	c.write(&pendingWrite{
		write:   storage.Write{Key: ClaimKey(j.key), Value: value, Expect: j.version},
		urgent:  true,
		expires: c.now.Add(c.config.Timing.ClaimWait),
		done: func(version storage.Version, present *storage.Row, err error) {
			if j.phase != following {
				return
			}
			switch {
			case err != nil:
				c.refuseFollowed(j)
			case present != nil:
				c.followExistingClaim(j, present)
			default:
				c.counters.Resolved++
				c.applyClaimRow(j, row, version)
			}
		},
	})
}

func (c *Control) refuseFollowed(j *job) {
	c.finishRefused(j, submission.Refusal{
		Reason: submission.ClaimedElsewhere, RetryAfter: maxPollDelay,
		Detail: fmt.Sprintf("claimed by %s (incarnation %d), which cannot be asked now; ask again for this id", j.row.Home, j.row.Incarnation),
	})
}

func (c *Control) finishFollowed(j *job, a submission.Answer) {
	j.recorded = true
	j.reply = submission.Reply{Answer: &a}
	c.closeJob(j)
}

// finishRefused ends a job that this home never started. It is forgotten at
// once, unless its claim may still turn out to be won.
func (c *Control) finishRefused(j *job, r submission.Refusal) {
	c.counters.Refused++
	j.reply = submission.Reply{Refusal: &r}
	j.recorded = true
	c.closeJob(j)
	if current, ok := c.home.jobs.Get(j.key); ok && current == j {
		c.home.jobs.Delete(j.key)
	}
}

// closeJob tells everyone who waits.
func (c *Control) closeJob(j *job) {
	if j.phase == finished {
		return
	}
	j.phase = finished
	j.finished = c.now
	c.withdrawTasks(j)
	c.home.openJobs--
	c.home.answered = append(c.home.answered, j)
	for _, w := range j.waiters {
		if w.handle != 0 {
			c.reply(w.handle, j.reply)
			continue
		}
		c.send(w.peer, &AttachReply{Key: j.key, Reply: j.reply})
	}
	j.waiters = nil
}

// attached serves a peer that follows one of this home's jobs.
func (c *Control) handleAttach(from PeerID, m *Attach) {
	j, ok := c.home.jobs.Get(m.Key)
	if !ok || j.token != m.Token {
		c.send(from, &AttachReply{Key: m.Key, Absent: true})
		return
	}
	if j.phase == finished {
		c.send(from, &AttachReply{Key: m.Key, Reply: j.reply})
		return
	}
	for _, w := range j.waiters {
		if w.peer == from {
			return
		}
	}
	j.addWaiter(waiter{peer: from})
}

func (c *Control) handleAttachReply(m *AttachReply) {
	j, ok := c.home.jobs.Get(m.Key)
	if !ok || j.phase != following {
		c.counters.StrayAnswers++
		return
	}
	if m.Absent {
		return
	}
	if r := m.Reply.Refusal; r != nil {
		// What the home refused to its own caller says nothing about this
		// request, which may be a resubmission.
		c.finishRefused(j, submission.Refusal{Reason: r.Reason, RetryAfter: r.RetryAfter, Detail: r.Detail})
		return
	}
	c.finishFollowed(j, *m.Reply.Answer)
}

// await serves a request for an answer by id.
func (c *Control) await(m Await) {
	if j, ok := c.home.jobs.Get(m.Key); ok && !(j.phase == finished && j.reply.Answer == nil) {
		if j.phase == finished {
			c.reply(m.Handle, j.reply)
			return
		}
		j.addWaiter(waiter{handle: m.Handle})
		c.home.byHandle[m.Handle] = j
		return
	}
	j := &job{key: m.Key, class: document.DefaultClass(), phase: reading, arrived: c.now, deadline: c.now.Add(c.config.Timing.ClaimWait + minFollowWait)}
	j.addWaiter(waiter{handle: m.Handle})
	c.home.byHandle[m.Handle] = j
	c.home.jobs.Put(m.Key, j)
	c.home.followed.Put(j, struct{}{})
	c.home.openJobs++
	c.get(ClaimKey(m.Key), func(row storage.Row, err error) { c.awaitRowRead(j, row, err) })
}

func (c *Control) awaitRowRead(j *job, row storage.Row, err error) {
	switch {
	case j.phase != reading:
	case err != nil:
		c.finishRefused(j, submission.Refusal{Reason: submission.PlatformUnavailable, RetryAfter: c.config.Timing.BreakerBackoff, Detail: err.Error()})
	case row.Version == 0 && j.sub != nil:
		c.beginClaim(j)
	case row.Version == 0:
		c.finishRefused(j, submission.Refusal{Reason: submission.NotFound, Detail: "no such submission is known"})
	default:
		c.followExistingClaim(j, &row)
	}
}

func (c *Control) abandon(m Abandon) {
	j, ok := c.home.byHandle[m.Handle]
	if !ok {
		return
	}
	delete(c.home.byHandle, m.Handle)
	for i, w := range j.waiters {
		if w.handle == m.Handle {
			j.waiters = append(j.waiters[:i], j.waiters[i+1:]...)
			return
		}
	}
}

// cancel ends a job on its caller's wish, wherever its home is.
func (c *Control) cancel(m Cancel) {
	if j, ok := c.home.jobs.Get(m.Key); ok && j.phase != following && j.phase != reading {
		c.cancelJob(m.Key)
		c.reply(m.Handle, j.reply)
		return
	}
	c.get(ClaimKey(m.Key), func(row storage.Row, err error) { c.cancelRowRead(m, row, err) })
}

func (c *Control) cancelRowRead(m Cancel, row storage.Row, err error) {
	refusal := submission.Refusal{Reason: submission.NotFound, Detail: "no such submission is known"}
	claim, parseErr := ParseClaimRow(row.Value)
	homeID := PeerID{Instance: claim.Home, Incarnation: claim.Incarnation}
	switch {
	case err != nil:
		refusal = submission.Refusal{Reason: submission.PlatformUnavailable, Detail: err.Error()}
	case row.Version == 0:
	case parseErr != nil:
		refusal = submission.Refusal{Reason: submission.ClaimedElsewhere, Detail: parseErr.Error()}
	case !c.sessionUp(homeID):
		refusal = submission.Refusal{Reason: submission.ClaimedElsewhere, Detail: "claimed by " + claim.Home + ", which cannot be reached now"}
	default:
		c.send(homeID, &CancelJob{Key: m.Key})
		c.await(Await(m))
		return
	}
	c.reply(m.Handle, submission.Reply{Refusal: &refusal})
}

func (c *Control) cancelJob(key submission.Key) {
	j, ok := c.home.jobs.Get(key)
	if !ok {
		return
	}
	c.counters.Cancelled++
	switch j.phase {
	case claiming:
		j.abandoned = true
		c.finishRefused(j, submission.Refusal{Reason: submission.Cancelled, Detail: "cancelled before it started"})
	case inProgress:
		c.failJob(j, submission.Cancelled, "cancelled by its caller")
	}
}
