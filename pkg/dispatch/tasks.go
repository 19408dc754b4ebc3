package dispatch

import (
	"container/heap"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"crocusseam/pkg/routing"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/submission"
)

// deadlineQueue is a heap of the jobs that are not finished, the earliest deadline first.
type deadlineQueue struct {
	jobs []*job
}

func (q *deadlineQueue) Len() int           { return len(q.jobs) }
func (q *deadlineQueue) Less(i, j int) bool { return q.jobs[i].deadline.Before(q.jobs[j].deadline) }

func (q *deadlineQueue) Swap(i, j int) {
	q.jobs[i], q.jobs[j] = q.jobs[j], q.jobs[i]
	q.jobs[i].deadlinePlace, q.jobs[j].deadlinePlace = i+1, j+1
}

func (q *deadlineQueue) Push(x any) {
	j := x.(*job)
	q.jobs = append(q.jobs, j)
	j.deadlinePlace = len(q.jobs)
}

func (q *deadlineQueue) Pop() any {
	n := len(q.jobs) - 1
	last := q.jobs[n]
	last.deadlinePlace = 0
	q.jobs[n] = nil
	q.jobs = q.jobs[:n]
	return last
}

func (q *deadlineQueue) push(j *job) { heap.Push(q, j) }

// remove takes a job out, if it is in the queue.
func (q *deadlineQueue) remove(j *job) {
	if j.deadlinePlace > 0 {
		heap.Remove(q, j.deadlinePlace-1)
	}
}

// requestSlots asks the lead for slots for all tasks of a job. While claims are
// fast, insertClaim calls it before the claim is won, so that the round trip to
// the lead overlaps with the commit; no task starts before the claim is won.
func (c *Control) requestSlots(j *job) {
	for i := range j.tasks {
		c.newAttempt(j, i)
	}
	c.announce(j)
}

// claimsAreFast reports whether commits have lately taken so little time that
// slots may be reserved for a job while its claim is being written.
func (c *Control) claimsAreFast() bool {
	return c.claims.commitTime < fastCommit && !c.platformAway()
}

// startJob lets the tasks of a job start that this home has claimed or may run
// without a claim. Tasks that have a slot already are placed at once.
func (c *Control) startJob(j *job) {
	if c.now.After(j.deadline) {
		c.expireJob(j)
		return
	}
	j.phase = inProgress
	if len(j.tasks[0].attempts) == 0 {
		c.requestSlots(j)
		return
	}
	for i := range j.tasks {
		number := j.tasks[i].attempts[0]
		a, ok := c.home.attempts.Get(number)
		if ok && a.reservedBy != (PeerID{}) {
			c.placeAttempt(number, a)
		}
	}
}

// newAttempt adds an attempt to a task, which then waits for a slot.
func (c *Control) newAttempt(j *job, task int) *attempt {
	c.home.lastAttemptNumber++
	t := &j.tasks[task]
	t.phase = taskWaiting
	t.try++
	t.attempts = append(t.attempts, c.home.lastAttemptNumber)
	a := &attempt{job: j, task: task, try: t.try, work: t.work}
	c.home.attempts.Put(c.home.lastAttemptNumber, a)
	return a
}

// announce sends the lead the demands of all of the job's waiting tasks.
func (c *Control) announce(j *job) {
	c.chooseLead()
	m := &Announce{
		Job: j.number, Team: j.key.Team, Priority: j.class.Priority,
		Waited: c.now.Sub(j.arrived), RemainingTime: j.deadline.Sub(c.now), RemainingWork: j.remainingWork(),
	}
	for i := range j.tasks {
		if j.tasks[i].phase == taskWaiting {
			m.Demands = append(m.Demands, c.demand(j, i))
			c.home.announcedWork += j.tasks[i].work
		}
	}
	c.send(c.home.leadID, m)
}

// remainingWork returns the expected run time of the job's tasks that have no
// slot yet.
func (j *job) remainingWork() time.Duration {
	var sum time.Duration
	for i := range j.tasks {
		if j.tasks[i].phase == taskWaiting || j.tasks[i].phase == taskBackingOff {
			sum += j.tasks[i].work
		}
	}
	return sum
}

// demand describes the latest attempt at a task to the lead.
func (c *Control) demand(j *job, i int) routing.Demand {
	t := &j.sub.Tasks[i]
	state := &j.tasks[i]
	return routing.Demand{
		Attempt: c.attemptID(state.attempts[len(state.attempts)-1]),
		Team:    j.key.Team, Kind: t.Kind, Work: state.work, Repeatable: j.sub.Repeatable,
		Processors: t.Processors, MemoryBytes: t.MemoryBytes, Accelerators: t.Accelerators,
		Avoid: state.avoid,
	}
}

func (c *Control) attemptID(number uint64) routing.Attempt {
	return routing.Attempt{Home: c.self.Instance, Incarnation: c.self.Incarnation, Number: number}
}

// handleAssign takes the slot that the lead has assigned to a waiting task. The
// task is placed at once, or as soon as the job may start. If the attempt has ended
// or has a slot already, the slot goes back to the lead.
func (c *Control) handleAssign(from PeerID, m *Assign) {
	a, ok := c.home.attempts.Get(m.Number)
	if !ok || !a.placedAt.IsZero() || a.reservedBy != (PeerID{}) {
		c.returnAssignment(from, m.Number, m.Endpoint)
		return
	}
	a.holder, a.endpoint, a.reservedBy = m.Holder, m.Endpoint, from
	c.home.announcedWork = max(0, c.home.announcedWork-a.work)
	if a.job.phase == inProgress {
		c.placeAttempt(m.Number, a)
	}
}

// returnAssignment gives a slot back to the lead that assigned it.
func (c *Control) returnAssignment(lead PeerID, number uint64, endpoint netip.AddrPort) {
	c.counters.UnusedAssignments++
	c.send(lead, &ReturnAssignment{Attempt: c.attemptID(number), Endpoint: endpoint})
}

// placeAttempt sends a task to the holder of its slot. If the holder cannot be
// reached, the slot goes back to the lead and the task waits again.
func (c *Control) placeAttempt(number uint64, a *attempt) {
	if a.holder != c.self && !c.sessionUp(a.holder) {
		c.returnAssignment(a.reservedBy, number, a.endpoint)
		a.reservedBy = PeerID{}
		c.backOff(a, maxBounceDelay)
		return
	}
	j := a.job
	t := &j.sub.Tasks[a.task]
	a.placedAt = c.now
	j.tasks[a.task].phase = taskPlaced
	j.started = true
	c.countStart(a.try)
	a.placeRequest = &PlaceRequest{
		Attempt: c.attemptID(number), Key: j.key, Task: t.Name, Try: a.try, Kind: t.Kind,
		Payload: t.Payload, Token: j.token, RemainingTime: j.deadline.Sub(c.now), Work: a.work, Endpoint: a.endpoint,
	}
	c.send(a.holder, a.placeRequest)
}

// withdrawTasks ends all attempts of a job: it withdraws the demands that wait,
// returns the slots that are reserved, and drops the placed attempts at their
// holders.
func (c *Control) withdrawTasks(j *job) {
	m := &Withdraw{}
	for i := range j.tasks {
		t := &j.tasks[i]
		for _, n := range t.attempts {
			a, ok := c.home.attempts.Get(n)
			switch {
			case !ok:
			case !a.placedAt.IsZero():
				c.send(a.holder, &Drop{Attempt: c.attemptID(n)})
			case a.reservedBy != (PeerID{}):
				c.returnAssignment(a.reservedBy, n, a.endpoint)
			default:
				m.Numbers = append(m.Numbers, n)
			}
			c.home.attempts.Delete(n)
		}
		t.attempts = nil
		t.try = 0
	}
	if len(m.Numbers) > 0 {
		c.send(c.home.leadID, m)
	}
}

// countStart counts an attempt for the retry budget. The counts are halved from
// time to time, so that old attempts lose weight.
func (c *Control) countStart(try int) {
	h := &c.home
	if try > 1 {
		h.retries++
	} else {
		h.starts++
	}
	if h.starts > budgetWindow {
		h.starts /= 2
		h.retries /= 2
		h.hedges /= 2
	}
}

// mayRetry reports whether the retry budget allows a further attempt.
func (c *Control) mayRetry() bool {
	percent := 10.0
	if c.document != nil && c.document.Routing.RetryBudgetPercent > 0 {
		percent = c.document.Routing.RetryBudgetPercent
	}
	return c.home.retries < minRetryAllowance+c.home.starts*percent/100
}

// handleResult handles the result of an attempt. Every copy of a result is
// acknowledged; only the first one counts.
func (c *Control) handleResult(from PeerID, m *Result) {
	c.acknowledge(from, m.Attempt.Number)
	a, ok := c.home.attempts.Get(m.Attempt.Number)
	if !ok || a.placedAt.IsZero() {
		c.counters.StrayAnswers++
		return
	}
	c.home.attempts.Delete(m.Attempt.Number)
	j := a.job
	t := &j.tasks[a.task]
	t.attempts = slices.DeleteFunc(t.attempts, func(n uint64) bool { return n == m.Attempt.Number })
	if j.phase != inProgress || t.phase == taskDone {
		c.counters.StrayAnswers++
		return
	}
	c.applyResult(a, m)
}

// acknowledge tells a holder that a result has arrived, so that it may forget the
// run. Acknowledgements for other instances are collected and sent together.
func (c *Control) acknowledge(holder PeerID, number uint64) {
	if holder == c.self {
		c.send(holder, &Acknowledge{Numbers: []uint64{number}})
		return
	}
	numbers, _ := c.home.acks.Get(holder)
	if c.home.acks.Len() == 0 {
		c.home.ackDue = c.now.Add(ackDelay)
	}
	c.home.acks.Put(holder, append(numbers, number))
}

// flushAcks sends the collected acknowledgements when they are due, and at once
// during a planned stop.
func (c *Control) flushAcks() {
	if c.home.acks.Len() == 0 {
		return
	}
	if c.now.Before(c.home.ackDue) && c.stop == running {
		c.home.nextDue = earlier(c.home.ackDue, c.home.nextDue)
		return
	}
	for holder, numbers := range c.home.acks.All() {
		if c.sessionUp(holder) {
			c.send(holder, &Acknowledge{Numbers: numbers})
		}
		c.home.acks.Delete(holder)
	}
}

// applyResult applies the result of an attempt to its task and job. A task that
// was certainly not started may be placed elsewhere, and the attempt does not
// count. A failed task and an unknown outcome count as attempts, and only a
// Repeatable job may have more than one.
func (c *Control) applyResult(a *attempt, m *Result) {
	j := a.job
	t := &j.tasks[a.task]
	switch m.Outcome {
	case Done:
		declared := j.sub.Tasks[a.task].DeclaredRunTime
		if m.SpeedLearned {
			c.home.runTimes.observe(j.key.Team, j.sub.Tasks[a.task].Kind, declared, m.RunTime, m.Speed)
		}
		c.completeTask(j, a.task, m.Output)
	case NotStarted:
		c.counters.Bounces++
		t.try--
		t.bounces++
		c.requeue(a, firstBounceDelay<<min(t.bounces, 8), maxBounceDelay)
	case TaskFailed:
		c.failAttempt(a, submission.TaskFailed, m.Detail)
	case Unknown:
		c.failAttempt(a, submission.OutcomeUnknown, m.Detail)
	}
}

// completeTask stores a task's output, drops its other attempts, and answers the
// job after its last task.
func (c *Control) completeTask(j *job, task int, output []byte) {
	t := &j.tasks[task]
	t.phase = taskDone
	t.output = output
	j.output += len(output)
	c.setMemory(j, j.memory+int64(len(output)))
	if j.output > maxJobOutputBytes {
		c.failJob(j, submission.TaskFailed, fmt.Sprintf("the job's output is longer than %d bytes", maxJobOutputBytes))
		return
	}
	j.unfinishedTasks--
	for _, n := range t.attempts {
		c.dropAttempt(n)
	}
	t.attempts = nil
	if j.unfinishedTasks > 0 {
		return
	}
	results := make([]submission.Result, len(j.tasks))
	for i := range j.tasks {
		results[i] = submission.Result{Name: j.sub.Tasks[i].Name, Output: j.tasks[i].output}
	}
	c.answerJob(j, submission.Answer{Status: submission.Complete, Results: results})
}

// failAttempt retries a task whose last attempt in flight has failed, or fails
// the job if no further attempt is allowed.
func (c *Control) failAttempt(a *attempt, reason submission.Reason, detail string) {
	j := a.job
	t := &j.tasks[a.task]
	detail = fmt.Sprintf("task %q at %s: %s", j.sub.Tasks[a.task].Name, a.endpoint, detail)
	if len(t.attempts) > 0 {
		return // a hedge is still in flight
	}
	mayRepeat := j.sub.Repeatable && t.try < max(j.class.MaxAttempts, 1) && c.mayRetry()
	if !mayRepeat && !c.ruleSwitches.noAttemptLimit {
		c.failJob(j, reason, detail)
		return
	}
	c.counters.Retries++
	t.avoid = append(t.avoid, a.endpoint)
	c.requeue(a, firstRetryDelay<<min(t.try, 8), maxRetryDelay)
}

// requeue adds a new attempt to a task after a back-off with full jitter.
func (c *Control) requeue(a *attempt, backoff, limit time.Duration) {
	c.backOff(c.newAttempt(a.job, a.task), c.jitter(min(backoff, limit)))
}

// backOff delays the announcement of a task's latest attempt.
func (c *Control) backOff(a *attempt, delay time.Duration) {
	t := &a.job.tasks[a.task]
	t.phase = taskBackingOff
	t.retryAt = c.now.Add(delay)
	c.home.backoffs.Put(t.attempts[len(t.attempts)-1], a)
}

// runBackoffs announces the tasks whose back-off has passed.
func (c *Control) runBackoffs() {
	for number, a := range c.home.backoffs.All() {
		t := &a.job.tasks[a.task]
		if a.job.phase != inProgress || t.phase != taskBackingOff {
			c.home.backoffs.Delete(number)
			continue
		}
		if c.now.Before(t.retryAt) {
			c.home.nextDue = earlier(t.retryAt, c.home.nextDue)
			continue
		}
		c.home.backoffs.Delete(number)
		t.phase = taskWaiting
		c.chooseLead()
		c.send(c.home.leadID, &Announce{
			Job: a.job.number, Team: a.job.key.Team, Priority: a.job.class.Priority,
			Waited: c.now.Sub(a.job.arrived), RemainingTime: a.job.deadline.Sub(c.now), RemainingWork: a.job.remainingWork(),
			Demands: []routing.Demand{c.demand(a.job, a.task)},
		})
	}
}

// dropAttempt ends an attempt whose task is complete. It withdraws the attempt at
// the lead while it waits, that is, while it is neither placed nor has a slot
// reserved by a lead, and drops it at its holder otherwise.
func (c *Control) dropAttempt(number uint64) {
	a, ok := c.home.attempts.Get(number)
	if !ok {
		return
	}
	c.home.attempts.Delete(number)
	if a.placedAt.IsZero() && a.reservedBy == (PeerID{}) {
		c.send(c.home.leadID, &Withdraw{Numbers: []uint64{number}})
		return
	}
	c.send(a.holder, &Drop{Attempt: c.attemptID(number)})
}

// failJob answers a job as failed. Its waiting tasks are withdrawn and its
// running ones interrupted.
func (c *Control) failJob(j *job, reason submission.Reason, detail string) {
	c.withdrawTasks(j)
	c.answerJob(j, submission.Answer{Status: submission.Failed, Reason: reason, Detail: detail})
}

// answerJob sends the answer to all waiters and then records it in the claim row.
func (c *Control) answerJob(j *job, a submission.Answer) {
	j.reply = submission.Reply{Answer: &a}
	if a.Status == submission.Complete {
		c.counters.Completed++
	} else {
		c.counters.Failed++
	}
	c.emitObservation(j, a)
	c.closeJob(j)
	for i := range j.tasks {
		j.tasks[i].output = nil
	}
	if !c.ruleSwitches.noClaim && (!j.unclaimed || j.version != 0) {
		c.recordOutcome(j, c.outcomeState(j))
	}
}

// outcomeState returns the state that the claim row of an answered job gets. A job
// that may have run with an unknown outcome gets StateUnknown, not StateFailed.
func (c *Control) outcomeState(j *job) ClaimState {
	a := j.reply.Answer
	switch {
	case a.Status == submission.Complete:
		return StateComplete
	case a.Reason == submission.OutcomeUnknown:
		return StateUnknown
	}
	return StateFailed
}

// recordOutcome writes the outcome of a job that this home has claimed. It may
// replace Unknown, which other instances record when they take this home for
// dead.
func (c *Control) recordOutcome(j *job, state ClaimState) {
	if state == StateComplete && j.resultObject == "" && outputBytes(j.reply.Answer.Results) > maxInlineResultBytes {
		c.storeResults(j)
		return
	}
	c.write(&pendingWrite{
		write: storage.Write{Key: ClaimKey(j.key), Value: c.claimValue(j, state), Expect: j.version},
		done: func(version storage.Version, present *storage.Row, _ error) {
			if present == nil {
				j.version = version
				j.recorded = true
				return
			}
			row, err := ParseClaimRow(present.Value)
			if err == nil && row.Token == j.token && row.State == StateUnknown && state != StateUnknown {
				j.version = present.Version
				c.recordOutcome(j, state)
				return
			}
			j.recorded = true
		},
	})
}

// expireJob ends a job whose deadline has passed. If the job was claimed here and
// none of its tasks was placed, the answer says "not run".
func (c *Control) expireJob(j *job) {
	switch {
	case j.phase == following || j.phase == reading:
		c.refuseFollowed(j)
	case j.started:
		c.failJob(j, submission.DeadlineExceeded, "not complete by its deadline")
	case j.phase == claiming && j.version == 0:
		j.abandoned = true
		c.finishRefused(j, submission.Refusal{Reason: submission.DeadlinePassed, Detail: "its claim was not confirmed by its deadline"})
	default:
		c.finishNotRun(j)
	}
}

// finishNotRun refuses a job that was claimed here and of which no task was
// placed. Because of the claim, "not run" holds for every copy of the submission.
func (c *Control) finishNotRun(j *job) {
	j.abandoned = true
	c.finishRefused(j, submission.Refusal{Reason: submission.DeadlinePassed, NotRun: true, Detail: "no slot was free by its deadline"})
	if !c.ruleSwitches.noClaim {
		c.recordOutcome(j, StateNotRun)
	}
}

// runHome runs the periodic work of the home: choice of the lead, deadlines, lost
// peers, back-offs, hedges, followed jobs, retention and acknowledgements.
func (c *Control) runHome() {
	c.home.nextDue = time.Time{}
	c.checkLead()
	c.expireJobs()
	c.failLostAttempts()
	c.runBackoffs()
	c.runHedges()
	c.pollFollowed()
	c.forgetJobs()
	c.flushAcks()
}

// expireJobs ends the jobs whose deadlines have passed.
func (c *Control) expireJobs() {
	q := &c.home.byDeadline
	for len(q.jobs) > 0 {
		j := q.jobs[0]
		if c.now.Before(j.deadline) {
			c.home.nextDue = earlier(j.deadline, c.home.nextDue)
			return
		}
		heap.Pop(q)
		c.expireJob(j)
	}
}

// failLostAttempts ends the attempts at holders that are dead, or with which
// there has been no session for Timing.PeerTimeout.
func (c *Control) failLostAttempts() {
	for id, l := range c.membership.sessions.All() {
		if l.up || l.lostSince.IsZero() {
			continue
		}
		if !c.isDead(id) && c.now.Sub(l.lostSince) < c.config.Timing.PeerTimeout {
			continue
		}
		l.lostSince = time.Time{}
		c.dropQueuedRuns(id)
		c.failAttemptsAt(id)
	}
}

// failAttemptsAt ends the attempts that were placed with a holder. They may have
// run, so their outcome is Unknown.
func (c *Control) failAttemptsAt(holder PeerID) {
	for number, a := range c.home.attempts.All() {
		if a.holder != holder || a.placedAt.IsZero() {
			continue
		}
		c.handleResult(c.self, &Result{
			Attempt: c.attemptID(number), Endpoint: a.endpoint, Outcome: Unknown,
			Detail: "instance " + holder.Instance + ", which held the endpoint, is gone",
		})
	}
}

// resendPlacements repeats the open placement requests after a new session with
// the same incarnation of a holder. The holder knows which of them it has
// received before.
func (c *Control) resendPlacements(holder PeerID) {
	for _, a := range c.home.attempts.All() {
		if a.holder == holder && !a.placedAt.IsZero() {
			again := *a.placeRequest
			again.Resent = true
			again.RemainingTime = a.job.deadline.Sub(c.now)
			c.counters.RepeatedPlaces++
			c.send(holder, &again)
		}
	}
}

// pollFollowed polls the claim rows of followed jobs, and ends jobs that have
// waited too long for a read or for the answer of another home.
func (c *Control) pollFollowed() {
	for j := range c.home.followed.All() {
		switch {
		case j.phase != reading && j.phase != following:
			c.home.followed.Delete(j)
		case j.phase == following && c.now.Sub(j.arrived) > c.followTimeout(j):
			c.refuseFollowed(j)
		case j.phase == following && !j.nextPoll.IsZero() && !c.now.Before(j.nextPoll):
			c.pollJob(j)
		case j.phase == reading && c.now.Sub(j.arrived) > c.config.Timing.ClaimWait:
			c.readTimedOut(j)
		}
	}
}

// forgetJobs drops answered jobs from memory when their outcome is recorded and
// Timing.JobRetention has passed, or earlier while jobs take much memory.
func (c *Control) forgetJobs() {
	h := &c.home
	for len(h.answered) > 0 {
		j := h.answered[0]
		if !j.recorded || (c.now.Sub(j.finished) < c.config.Timing.JobRetention && !c.memoryIsShort()) {
			return
		}
		h.answered = h.answered[1:]
		c.removeJob(j)
	}
}

// followTimeout returns how long a request waits for another home's answer: past
// the job's deadline if there is a session with that home, since the home ends
// the job by then.
func (c *Control) followTimeout(j *job) time.Duration {
	if c.sessionUp(PeerID{Instance: j.row.Home, Incarnation: j.row.Incarnation}) {
		return max(j.row.Deadline.Sub(j.arrived), 0) + minFollowWait
	}
	return minFollowWait
}

// readTimedOut refuses a job whose claim row was not read in time.
func (c *Control) readTimedOut(j *job) {
	if j.sub == nil {
		c.finishRefused(j, submission.Refusal{Reason: submission.PlatformUnavailable, Detail: "the table did not answer in time"})
		return
	}
	j.phase = claiming
	c.claimTimedOut(j)
}

// pollJob reads the claim row of a followed job. While there is a session with
// the job's home, the home sends the answer by itself, and the row is read only
// once the poll delay has grown to maxPollDelay.
func (c *Control) pollJob(j *job) {
	homeID := PeerID{Instance: j.row.Home, Incarnation: j.row.Incarnation}
	if c.sessionUp(homeID) && j.pollWait < maxPollDelay {
		j.pollWait = min(2*j.pollWait, maxPollDelay)
		j.nextPoll = c.now.Add(j.pollWait)
		return
	}
	if c.platformAway() {
		j.nextPoll = c.now.Add(maxPollDelay)
		return
	}
	j.nextPoll = time.Time{}
	c.getForCaller(ClaimKey(j.key), func() bool { return j.phase == following }, func(row storage.Row, err error) {
		if j.phase != following {
			return
		}
		if err != nil || row.Version == j.version || row.Version == 0 {
			c.counters.IdlePolls++
			c.followJob(j)
			return
		}
		c.followExistingClaim(j, &row)
	})
}

// runHedges starts second attempts at Repeatable tasks that take much longer
// than expected, where the class and the hedge budget allow it.
func (c *Control) runHedges() {
	if !c.hedging || c.now.Before(c.home.nextHedgeCheck) {
		return
	}
	c.home.nextHedgeCheck = c.now.Add(hedgeCheckPeriod)
	for _, a := range c.home.attempts.All() {
		if c.shouldHedge(a) {
			c.startHedge(a)
		}
	}
}

// shouldHedge reports whether a task gets a second attempt next to this one: the
// attempt has been placed for longer than the class's multiple of its expected run
// time, it is the task's only one, and the attempt limit and hedge budget allow another.
func (c *Control) shouldHedge(a *attempt) bool {
	policy := a.job.class.Hedge
	if !policy.Enabled || a.placedAt.IsZero() || !a.job.sub.Repeatable || a.job.phase != inProgress {
		return false
	}
	t := &a.job.tasks[a.task]
	if t.hedged || len(t.attempts) != 1 || t.try >= a.job.class.MaxAttempts {
		return false
	}
	late := time.Duration(float64(a.work) * max(policy.After, 1))
	return c.now.Sub(a.placedAt) > late && c.home.hedges < 1+c.home.starts*policy.BudgetPercent/100
}

// startHedge adds a second attempt to a task, which avoids the endpoint of the
// first.
func (c *Control) startHedge(a *attempt) {
	t := &a.job.tasks[a.task]
	t.hedged = true
	t.avoid = append(t.avoid, a.endpoint)
	c.home.hedges++
	c.counters.Hedges++
	again := c.newAttempt(a.job, a.task)
	c.backOff(again, 0)
}
