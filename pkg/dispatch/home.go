package dispatch

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"crocusseam/pkg/document"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/submission"
	"crocusseam/pkg/table"
)

// phase is the phase of a job.
type phase int

const (
	reading    phase = iota + 1 // the claim row is being read
	claiming                    // the claim is being written
	inProgress                  // the tasks may start here
	following                   // another home has claimed the job; this one waits for its answer
	finished                    // the job has been answered
)

// waiter is a caller's request or a peer that waits for a job's answer.
type waiter struct {
	handle Handle // 0 for a peer
	peer   PeerID
}

// job is a submission that this instance claims, runs or follows, or whose
// answer a caller has asked for by id.
type job struct {
	key             submission.Key
	sub             *submission.Submission // nil if only its answer was asked for, by id
	digest          submission.Digest
	class           document.Class
	phase           phase
	number          uint64          // names the job to the lead
	arrived         time.Time       // for a followed job, when following began
	deadline        time.Time       // on the monotonic clock
	deadlinePlace   int             // in the deadline queue, from 1; 0 if it is not in it
	token           string          // identifies the claim of this home
	version         storage.Version // of the claim row
	takeoverTried   bool
	unclaimed       bool  // started without a claim, which is written afterwards
	abandoned       bool  // refused or cancelled before a task started; none may start any more
	started         bool  // a task may have started
	memory          int64 // estimated, see estimateMemory
	tasks           []taskState
	unfinishedTasks int
	waiters         []waiter
	reply           submission.Reply
	finished        time.Time
	recorded        bool     // no further write of its claim row is needed
	resultObject    string   // name of the object with the results, if they are long
	output          int      // bytes of output so far
	row             ClaimRow // of a followed job, as last read
	nextPoll        time.Time
	pollWait        time.Duration
}

// taskPhase is the phase of a task.
type taskPhase int

const (
	taskWaiting    taskPhase = iota + 1 // for a slot
	taskBackingOff                      // until retryAt
	taskPlaced                          // sent to the holder of its endpoint
	taskDone
)

// taskState is what the home knows of one task of a job.
type taskState struct {
	phase    taskPhase
	try      int              // number of the latest attempt, from 1
	work     time.Duration    // expected run time at speed 1
	attempts []uint64         // numbers of the attempts in flight, or of the waiting one
	avoid    []netip.AddrPort // endpoints where an attempt failed or is late
	retryAt  time.Time
	bounces  int // placements that came back as not started
	hedged   bool
	output   []byte
}

// attempt is an attempt to run a task of one of this home's jobs. It waits for
// a slot or has been placed.
type attempt struct {
	job          *job
	task         int
	try          int
	work         time.Duration
	holder       PeerID
	endpoint     netip.AddrPort
	reservedBy   PeerID    // the lead that assigned the slot; zero while there is none
	placedAt     time.Time // zero while it waits for a slot or for the claim
	placeRequest *PlaceRequest
}

// home holds the jobs of this instance and what it needs to run and follow them.
type home struct {
	jobs              *table.Table[submission.Key, *job]
	byHandle          map[Handle]*job
	attempts          *table.Table[uint64, *attempt]
	backoffs          *table.Table[uint64, *attempt]
	runTimes          runTimes
	acks              *table.Table[PeerID, []uint64] // results to acknowledge, by holder
	ackDue            time.Time
	openJobs          int   // jobs that are not finished
	memory            int64 // of all jobs
	lastJobNumber     uint64
	lastAttemptNumber uint64
	nextDue           time.Time // when runHome has something to do next

	leadID         PeerID
	leadLastSeen   time.Time
	expectedWaits  []PriorityWait
	announcedWork  time.Duration // estimated work that waits for slots; exact after each heartbeat of the lead
	starts         float64       // decayed count of first attempts, for the budgets of retries and hedges
	retries        float64       // decayed likewise
	hedges         float64       // decayed likewise
	byDeadline     deadlineQueue
	followed       *table.Table[*job, struct{}] // jobs that are being read or followed
	answered       []*job                       // in the order of their answers
	nextHedgeCheck time.Time
	// forwards holds the requests that siblings have forwarded.
	forwards    map[Handle]forwardedRequest
	lastForward uint64
}

const (
	ackDelay          = 250 * time.Millisecond // acknowledgements wait this long, to be sent together
	firstBounceDelay  = 5 * time.Millisecond   // back-off after a placement that was not started
	maxBounceDelay    = 250 * time.Millisecond
	firstRetryDelay   = 10 * time.Millisecond // back-off after a failed attempt
	maxRetryDelay     = 500 * time.Millisecond
	firstPollDelay    = 100 * time.Millisecond
	maxPollDelay      = time.Second
	budgetWindow      = 1000.0 // starts after which the counts for budgets are halved
	minRetryAllowance = 10.0   // retries allowed in addition to the budget's percentage
	tokenBytes        = 16
	minFollowWait     = 5 * time.Second // for the answer of a home that cannot be reached
	hedgeCheckPeriod  = 5 * time.Millisecond
)

func newHome() home {
	return home{
		jobs:     table.New[submission.Key, *job](),
		byHandle: make(map[Handle]*job),
		attempts: table.New[uint64, *attempt](),
		backoffs: table.New[uint64, *attempt](),
		runTimes: newRunTimes(),
		acks:     table.New[PeerID, []uint64](),
		followed: table.New[*job, struct{}](),
		forwards: make(map[Handle]forwardedRequest),
	}
}

func (h *home) hasPendingAcks() bool { return h.acks.Len() > 0 }

// reply answers a caller's request, or the sibling that forwarded it.
func (c *Control) reply(h Handle, r submission.Reply) {
	delete(c.home.byHandle, h)
	if f, ok := c.home.forwards[h]; ok {
		delete(c.home.forwards, h)
		c.send(f.from, &AttachReply{Key: f.key, Reply: r})
		return
	}
	c.emit(Reply{Handle: h, Reply: r})
}

// refuse answers a request that was not accepted. The answer says "not run" only
// if this is the caller's first attempt: otherwise another instance may be
// running an earlier copy.
func (c *Control) refuse(h Handle, s *submission.Submission, reason submission.Reason, retry time.Duration, detail string) {
	c.counters.Refused++
	c.reply(h, submission.Reply{Refusal: &submission.Refusal{
		Reason: reason, NotRun: s != nil && s.Attempt == 1, RetryAfter: retry, Detail: detail,
	}})
}

// submit accepts a submission, attaches the caller to the job of an earlier
// copy, or refuses it.
func (c *Control) submit(m Submit) {
	s := m.Submission
	c.counters.Submitted++
	digest := s.Digest()
	if j, ok := c.home.jobs.Get(s.Key); ok {
		if j.phase == finished && j.abandoned {
			c.removeJob(j)
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
	j := &job{key: s.Key, arrived: c.now}
	c.home.jobs.Put(s.Key, j)
	c.home.openJobs++
	c.setSubmission(j, s, digest)
	return j
}

// setSubmission gives a job its submission, which has been admitted. A request for an answer makes a job
// that has none yet.
func (c *Control) setSubmission(j *job, s *submission.Submission, digest submission.Digest) {
	j.sub, j.digest = s, digest
	j.class, _ = c.classOf(s)
	c.home.lastJobNumber++
	j.number = c.home.lastJobNumber
	j.token = c.newToken()
	j.deadline = c.now.Add(s.Deadline.Sub(c.now))
	j.tasks, j.unfinishedTasks = make([]taskState, len(s.Tasks)), len(s.Tasks)
	for i := range s.Tasks {
		t := &s.Tasks[i]
		j.tasks[i].work = c.home.runTimes.predict(s.Team, t.Kind, t.DeclaredRunTime)
	}
	c.setMemory(j, estimateMemory(s))
	c.home.byDeadline.push(j)
}

// claimedDigest returns the digest of the body that has the job's id, unless neither a submission nor its
// claim row is known yet.
func (j *job) claimedDigest() (digest submission.Digest, known bool) {
	if j.sub != nil {
		return j.digest, true
	}
	return j.row.Digest, j.row.Home != ""
}

// newToken returns the token of a new claim, which no other claim has.
func (c *Control) newToken() string {
	var b [tokenBytes]byte
	for i := range b {
		b[i] = byte(c.random.Uint32())
	}
	return fmt.Sprintf("%s.%d.%s", c.self.Instance, c.self.Incarnation, hex.EncodeToString(b[:]))
}

// attachCaller lets a request wait for the answer of a job that this instance
// knows. It refuses a request with a different body, and answers at once if the job
// has finished.
func (c *Control) attachCaller(j *job, h Handle, s *submission.Submission, digest submission.Digest) {
	c.counters.Attached++
	if claimed, known := j.claimedDigest(); known && !c.ruleSwitches.noDigest && claimed != digest {
		c.refuseDigest(h, digest, claimed)
		return
	}
	if j.phase == finished {
		c.reply(h, j.reply)
		return
	}
	if j.sub == nil {
		if !c.admit(h, s) {
			return
		}
		c.setSubmission(j, s, digest)
	}
	j.addWaiter(waiter{handle: h})
	c.home.byHandle[h] = j
}

// refuseDigest refuses a submission whose id belongs to a different body.
func (c *Control) refuseDigest(h Handle, got, claimed submission.Digest) {
	c.counters.Refused++
	c.reply(h, submission.Reply{Refusal: &submission.Refusal{
		Reason: submission.DigestDiffers,
		Detail: fmt.Sprintf("body %s came under an id that was claimed with body %s; the new body was not run", got, claimed),
	}})
}

// beginClaim reads or writes the claim row of a new job. For a resubmission the
// row most likely exists, so it is read first: unlike a write on a false
// condition, a read does not make the commit of other rows fail.
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
		c.getForCaller(ClaimKey(j.key), j.isReading, func(row storage.Row, err error) { c.claimRowRead(j, row, err) })
		return
	}
	j.phase = claiming
	c.insertClaim(j, 0)
}

// claimRowRead continues beginClaim with the row that was read.
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

// insertClaim writes the claim, on condition that the row has version expect; 0
// means that there is no row.
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

// claimDone handles the outcome of the claim's write. A job that needs a claim
// becomes startable only here.
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
		// The claim was written after the job had been refused or cancelled.
		j.version = version
		c.recordOutcome(j, StateNotRun)
	}
}

// backfillDone handles the outcome of the claim's write for a job that started
// without a claim. Another claim in its place is counted as a breach: the job may
// have run twice.
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

// claimTimedOut refuses a job if the outcome of its claim was not known in time.
// The job is marked as abandoned, so that this home starts nothing even if the
// claim turns out to be won. The refusal does not say "not run": a copy that the
// caller sent elsewhere during the wait may have won the claim.
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

// followExistingClaim acts on the claim row that exists already for a submission. It
// refuses the submission if the row cannot be read or belongs to a different body.
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

// applyClaimRow acts on the state of a claim row that another home has written: it
// answers the job with a recorded outcome, takes over a job that did not run, and
// follows the home otherwise.
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

// takeOver claims a submission whose last home has recorded that nothing ran. It
// tries only once: if it loses the race, another instance takes the submission
// over.
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

// followJob asks the job's home for the answer and schedules the next poll of
// the claim row. If the home is dead, it records the outcome as Unknown.
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

// recordUnknown records that the job may have run and that its outcome is lost.
// The write is conditional on the version of the claim row.
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

// refuseFollowed refuses a followed job whose home has not answered in time.
func (c *Control) refuseFollowed(j *job) {
	c.finishRefused(j, submission.Refusal{
		Reason: submission.ClaimedElsewhere, RetryAfter: maxPollDelay,
		Detail: fmt.Sprintf("claimed by %s (incarnation %d), which cannot be asked now; ask again for this id", j.row.Home, j.row.Incarnation),
	})
}

// finishFollowed answers a job with the answer of another home.
func (c *Control) finishFollowed(j *job, a submission.Answer) {
	j.recorded = true
	j.reply = submission.Reply{Answer: &a}
	c.closeJob(j)
}

// finishRefused refuses a job that this home never started, and forgets it at
// once. The callback of a claim in flight keeps the job until its outcome is
// known.
func (c *Control) finishRefused(j *job, r submission.Refusal) {
	c.counters.Refused++
	j.reply = submission.Reply{Refusal: &r}
	j.recorded = true
	c.closeJob(j)
	c.removeJob(j)
	if n := len(c.home.answered) - 1; n >= 0 && c.home.answered[n] == j {
		c.home.answered[n] = nil
		c.home.answered = c.home.answered[:n] // nothing of it is kept
	}
}

// closeJob marks a job as finished and sends its answer to all waiters.
func (c *Control) closeJob(j *job) {
	if j.phase == finished {
		return
	}
	j.phase = finished
	j.finished = c.now
	c.home.byDeadline.remove(j)
	c.withdrawTasks(j)
	c.home.openJobs--
	c.countAnswered(j)
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

// handleAttach handles the request of a peer that follows one of this home's
// jobs. The peer gets the answer once the job has finished, or Absent if this home
// has no job with the token of the peer's claim row.
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

// handleAttachReply handles the answer of the home of a followed job. If the home
// no longer knows the job, its claim row is polled as before.
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
		// NotRun is not passed on: the home said it to its own caller, and this
		// request may be a resubmission.
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
	if c.refuseUnread(m.Handle) {
		return
	}
	j := &job{key: m.Key, class: document.DefaultClass(), phase: reading, arrived: c.now, deadline: c.now.Add(c.config.Timing.ClaimWait + minFollowWait)}
	j.addWaiter(waiter{handle: m.Handle})
	c.home.byHandle[m.Handle] = j
	c.home.jobs.Put(m.Key, j)
	c.setMemory(j, jobEntryBytes)
	c.home.followed.Put(j, struct{}{})
	c.home.openJobs++
	c.getForCaller(ClaimKey(m.Key), j.isReading, func(row storage.Row, err error) { c.awaitRowRead(j, row, err) })
}

func (j *job) isReading() bool { return j.phase == reading }

func always() bool { return true }

// awaitRowRead continues await with the claim row that was read. A submission
// that came in meanwhile is claimed.
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

// abandon drops a request whose caller has gone. The job goes on, but not the read of an answer that nobody awaits.
func (c *Control) abandon(m Abandon) {
	j, ok := c.home.byHandle[m.Handle]
	if !ok {
		return
	}
	delete(c.home.byHandle, m.Handle)
	for i, w := range j.waiters {
		if w.handle == m.Handle {
			j.waiters = append(j.waiters[:i], j.waiters[i+1:]...)
			break
		}
	}
	if j.phase == reading && j.sub == nil && len(j.waiters) == 0 {
		c.finishRefused(j, submission.Refusal{Reason: submission.Cancelled, Detail: "its caller has left"})
	}
}

// cancel cancels a job at its caller's request, here or at its home.
func (c *Control) cancel(m Cancel) {
	if j, ok := c.home.jobs.Get(m.Key); ok && j.phase != following && j.phase != reading {
		c.cancelJob(m.Key)
		c.reply(m.Handle, j.reply)
		return
	}
	if c.refuseUnread(m.Handle) {
		return
	}
	c.getForCaller(ClaimKey(m.Key), always, func(row storage.Row, err error) { c.cancelRowRead(m, row, err) })
}

// cancelRowRead continues cancel with the claim row, which names the job's home.
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

// cancelJob cancels a job of this home: it refuses one whose claim is still being
// written, and fails one in progress. In other phases the job stays as it is.
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
