package placement

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/table"
	"crocusseam/pkg/workload"
)

// storedPhase is the progress of a stored job in the store.
type storedPhase int

const (
	accepting storedPhase = iota // whether its first commit took effect is not known yet
	open                         // its row is in the store
	ending                       // its outcome is decided and not yet recorded
)

// storedState is what a home keeps of a stored job in addition to its tasks.
type storedState struct {
	phase            storedPhase
	digest           string          // of what was submitted
	round            int             // number of homes before this one
	sequence         uint64          // of the last write of the open row
	version          storage.Version // of the open row
	commitUncertain  bool            // a first commit without a known result may have taken effect
	unknownRunsSince time.Time       // since when runs may exist that this home does not know; zero if none may
	// unverified says that another instance may have become the home of the job: no task
	// is placed before this instance has written the row once more.
	unverified     bool
	verifiedAt     time.Time           // when the last write was sent whose success showed that this instance is the home
	finalStatus    Status              // outcome of the job, once it is decided
	reason         string              // of finalStatus
	dropped        []droppedRun        // runs dropped when the outcome was decided
	unrecorded     []unrecordedOutcome // outcomes of runs that the next commit records
	pendingCancels []Handle            // callers to answer once the job has ended
	proven         bool                // it had no conflict in its last commit, which failed on other jobs
}

// unrecordedOutcome is a run whose outcome its holder keeps until it is recorded.
type unrecordedOutcome struct {
	holder instance.ID
	run    workload.Run
}

// recorder writes the rows of this home's stored jobs. For each partition one commit is
// in progress at a time; the jobs that change in the meantime go into the next one.
type recorder struct {
	hadStoredJobs bool // this or an earlier incarnation has been the home of stored jobs
	// failures counts the commits in a row that have failed; failedAt is when the last
	// one did.
	failures   int
	failedAt   time.Time
	partitions [len(storedPartitions)]recorderPartition
	audit      rowAudit
}

// recorderPartition is the state of the commits of one partition.
type recorderPartition struct {
	jobs      *table.Table[workload.JobID, *job] // to be written by the next commit
	proven    int                                // of the jobs of a commit that failed, those without a conflict
	writing   bool                               // a commit is in progress
	notBefore time.Time                          // of the next commit
}

const (
	maxJobsPerCommit = storage.MaxEntries / 5 // each job has up to three rows, two of them with a condition
	recordRetryPause = 150 * time.Millisecond // after a failed commit or scan
	failuresToRefuse = 2                      // failed commits in a row; single answers are lost without an outage
	refusePeriod     = 500 * time.Millisecond // after the last failed commit, before one job tries whether the store is back
	maxStoredJobs    = 20000                  // default of Config.MaxStoredJobs; a job takes about 2 KB
)

func newRecorder() recorder {
	var r recorder
	for i := range r.partitions {
		r.partitions[i].jobs = table.New[workload.JobID, *job]()
	}
	return r
}

// countFailure notes a failed commit.
func (r *recorder) countFailure(now time.Time) {
	r.failures++
	r.failedAt = now
}

// acceptsJobs reports whether the store is likely to take a new job now. During an
// outage the commits that wait show when the store is back; without any, a new job is
// let through after refusePeriod.
func (r *recorder) acceptsJobs(now time.Time) bool {
	if r.failures < failuresToRefuse {
		return true
	}
	for i := range r.partitions {
		if p := &r.partitions[i]; p.writing || p.jobs.Len() > 0 {
			return false
		}
	}
	return now.Sub(r.failedAt) >= refusePeriod
}

// partition returns the partition of a job.
func (r *recorder) partition(id workload.JobID) *recorderPartition {
	for i := range r.partitions {
		if storedPartitions[i] == partitionOf(id)[0] {
			return &r.partitions[i]
		}
	}
	return &r.partitions[0]
}

// record queues a job: the next commit of its partition writes its rows.
func (c *Control) record(j *job) { c.recorder.partition(j.ID).jobs.Put(j.ID, j) }

// acceptStored begins to store a new job. Its callers are answered once it is stored.
func (c *Control) acceptStored(j *job) {
	j.stored = &storedState{phase: accepting, digest: digestOf(j.Job), sequence: 1}
	c.recorder.hadStoredJobs = true
	c.record(j)
}

// joinStored answers a caller that resubmits a stored job that is open here, or lets it
// wait until the job is stored.
func (c *Control) joinStored(j *job, m Submit) {
	switch {
	case digestOf(m.Job) != j.stored.digest:
		c.reply(m.Handle, Answer{Status: Mismatch, Reason: "another job was accepted under this id"})
	case j.stored.phase == accepting:
		j.handles = append(j.handles, m.Handle)
		c.home.byHandle[m.Handle] = j.ID
	default:
		c.replyState(m.Handle, j)
	}
}

// stateOf returns the state of a job that is open here.
func (c *Control) stateOf(j *job) Answer {
	if j.mayHaveStarted() {
		return Answer{Status: Running}
	}
	return Answer{Status: Queued}
}

// runRecorder writes the partitions that have changed jobs, except those with a commit in
// progress or in the pause after a failed one.
func (c *Control) runRecorder() {
	if !c.membership.storedAnnounced {
		return // other instances would not know yet that there are jobs to adopt
	}
	for i := range c.recorder.partitions {
		p := &c.recorder.partitions[i]
		if !p.writing && p.jobs.Len() > 0 && !c.now.Before(p.notBefore) {
			c.writePartition(p)
		}
	}
}

// commitEntry is what a commit contains of one job.
type commitEntry struct {
	job      *job
	phase    storedPhase // when the commit was sent
	sequence uint64      // of the open row that it writes
	verifies bool        // the job was unverified when the commit was sent
	sent     time.Time
	outcomes []unrecordedOutcome // outcomes that this commit records
}

// writePartition commits the rows of up to maxJobsPerCommit changed jobs of a partition. After a conflict
// those without one go without others, which may have conflicts too: else callers who submit jobs that have ended would keep
// the jobs of others from being recorded.
func (c *Control) writePartition(p *recorderPartition) {
	var writes []storage.Write
	var batch []commitEntry
	onlyProven := p.proven > 0
	p.proven = 0
	for id, j := range p.jobs.All() {
		if len(batch) == maxJobsPerCommit {
			break
		}
		if onlyProven && !j.stored.proven {
			continue
		}
		p.jobs.Delete(id)
		if known, ok := c.home.jobs.Get(id); !ok || known != j {
			continue
		}
		j.stored.proven = false
		batch = append(batch, commitEntry{job: j, sent: c.now, phase: j.stored.phase, verifies: j.stored.unverified, outcomes: j.stored.unrecorded})
		j.stored.unrecorded = nil
		writes = append(writes, c.recordWrites(j)...)
		batch[len(batch)-1].sequence = j.stored.sequence
	}
	if len(batch) == 0 {
		if onlyProven { // they have been closed meanwhile
			c.writePartition(p)
		}
		return
	}
	p.writing = true
	c.commit(Commit{Writes: writes}, func(m CommitDone) {
		p.writing = false
		c.commitFinished(p, batch, m)
	})
}

// recordWrites returns the writes for a job's current state. They take effect only if the
// open row has the version that this home knows, so that a replaced home writes nothing.
func (c *Control) recordWrites(j *job) []storage.Write {
	s := j.stored
	openKey, jobKey, endedKey := storedKey(openTable, j.ID), storedKey(jobsTable, j.ID), storedKey(endedTable, j.ID)
	switch s.phase {
	case accepting:
		return []storage.Write{
			{Key: openKey, Value: encodeStored(j.openRow(c.self))},
			{Key: jobKey, Value: encodeStored(JobRow{Job: j.Job, Route: j.route})},
			{Key: endedKey, Check: true},
		}
	case ending:
		row := EndedRow{Route: j.route.Name, Digest: s.digest, Status: s.finalStatus, Reason: s.reason}
		return []storage.Write{
			{Key: openKey, Delete: true, Expect: s.version},
			{Key: jobKey, Delete: true, Expect: storage.AnyVersion},
			{Key: endedKey, Value: encodeStored(row)},
		}
	}
	s.sequence++
	return []storage.Write{{Key: openKey, Value: encodeStored(j.openRow(c.self)), Expect: s.version}}
}

// commitFinished handles the result of a commit.
func (c *Control) commitFinished(p *recorderPartition, batch []commitEntry, m CommitDone) {
	var unavailable *storage.ErrUnavailable
	rows := make(map[string]storage.Row)
	for _, r := range conflictRows(m.Err) {
		rows[r.Key] = r
	}
	if m.Err != nil {
		c.counters.FailedCommits++
	}
	if m.Err == nil || isConflict(m.Err) {
		c.recorder.failures = 0
	} else {
		p.notBefore = c.now.Add(recordRetryPause)
		c.recorder.countFailure(c.now)
	}
	for i := range batch {
		e := &batch[i]
		if known, ok := c.home.jobs.Get(e.job.ID); !ok || known != e.job {
			continue
		}
		switch {
		case m.Err == nil:
			c.jobRecorded(e, m.Version)
		case isConflict(m.Err):
			c.resolveConflict(e, rows)
		case errors.As(m.Err, &unavailable):
			c.recordFailed(e, m.Err, false)
		default:
			c.recordFailed(e, m.Err, true)
		}
	}
}

// recordFailed queues a job for another write after its commit failed. If no first
// commit of the job can have taken effect, it refuses the job instead, so that its
// caller can submit it to another instance.
func (c *Control) recordFailed(e *commitEntry, err error, commitUncertain bool) {
	s := e.job.stored
	c.logEvent("job not recorded", jobField(e.job.ID), zap.Uint64("Sequence", e.sequence), zap.Bool("Uncertain", commitUncertain), zap.Error(err))
	if e.phase == accepting && !commitUncertain && !s.commitUncertain {
		c.refuse(e.job, storeUnavailable)
		return
	}
	s.commitUncertain = s.commitUncertain || commitUncertain
	c.recordAgain(e)
}

// recordAgain queues a job with the outcomes of a commit that did not record them.
func (c *Control) recordAgain(e *commitEntry) {
	e.job.stored.unrecorded = append(e.outcomes, e.job.stored.unrecorded...)
	c.record(e.job)
}

// jobRecorded continues with a job whose rows were written.
func (c *Control) jobRecorded(e *commitEntry, version storage.Version) {
	j, s := e.job, e.job.stored
	s.verifiedAt = later(s.verifiedAt, e.sent)
	switch e.phase {
	case accepting:
		s.version, s.commitUncertain = version, false
		if s.phase == accepting {
			s.phase = open
			c.confirmAccepted(j)
		}
	case open:
		s.version = version
		c.confirmOutcomes(e.outcomes)
		if e.verifies && s.phase == open {
			s.unverified = false
			c.beginPlacement(j)
		}
	case ending:
		c.confirmOutcomes(append(e.outcomes, s.unrecorded...))
		c.finishStored(j)
	}
}

// confirmAccepted answers the callers of a job that is stored now, and begins to place
// its tasks. If the job's final status was decided in the meantime, for example by a
// cancellation, the job ends with that status instead.
func (c *Control) confirmAccepted(j *job) {
	for _, h := range j.handles {
		delete(c.home.byHandle, h)
		c.reply(h, Answer{Status: Queued})
	}
	j.handles = nil
	if j.stored.finalStatus != 0 {
		c.endStored(j, j.stored.finalStatus, j.stored.reason)
		return
	}
	c.logEvent("job stored", jobField(j.ID), zap.String("Route", j.route.Name), zap.Uint64("RowVersion", uint64(j.stored.version)), zap.Duration("Elapsed", c.now.Sub(j.arrived)))
	c.beginPlacement(j)
}

// confirmOutcomes sends holders the runs whose outcomes are recorded.
func (c *Control) confirmOutcomes(ends []unrecordedOutcome) {
	byHolder := table.New[instance.ID, *OutcomesRecorded]()
	for _, n := range ends {
		m, ok := byHolder.Get(n.holder)
		if !ok {
			m = &OutcomesRecorded{}
			byHolder.Put(n.holder, m)
		}
		m.Runs = append(m.Runs, n.run)
	}
	for holder, m := range byHolder.All() {
		if c.reachable(holder) {
			c.send(holder, m)
		}
	}
}

// endStored decides the outcome of a stored job. The outcome of an open job is recorded
// next, that of a job in phase accepting once the job is stored.
func (c *Control) endStored(j *job, status Status, reason string) {
	s := j.stored
	s.finalStatus, s.reason = status, reason
	if s.phase == open {
		s.phase = ending
		s.dropped = c.dropRuns(j)
		c.record(j)
	}
}

// finishStored forgets a stored job whose outcome is recorded, and answers the callers
// that cancelled it.
func (c *Control) finishStored(j *job) {
	s := j.stored
	for _, h := range s.pendingCancels {
		c.reply(h, cancelAnswer(s.finalStatus))
	}
	c.removeJob(j)
	elapsed := c.now.Sub(j.arrived)
	c.emit(Finished{Route: j.route.Name, Status: s.finalStatus, Elapsed: elapsed})
	c.logJobEnd("job ended", s.dropped, jobField(j.ID), zap.String("Route", j.route.Name), zap.Stringer("Status", s.finalStatus), zap.String("Reason", s.reason),
		zap.Duration("Elapsed", elapsed), zap.Duration("Objective", j.objective.Sub(j.arrived)), zap.Int("Round", s.round), zap.Uint64("Configuration", c.configurationVersion()))
}

// cancelAnswer returns the answer to a caller that cancels a job that has ended with
// status s.
func cancelAnswer(s Status) Answer {
	if s == Cancelled {
		return Answer{Status: Cancelled}
	}
	return Answer{Status: Absent, Reason: "the job had ended before: " + s.String()}
}

// resolveConflict handles a job whose rows were not as its commit expected: an earlier
// commit whose answer was lost has taken effect, or another instance has written them.
func (c *Control) resolveConflict(e *commitEntry, rows map[string]storage.Row) {
	j := e.job
	openRow, openDiffers := rows[storedKey(openTable, j.ID)]
	endedRow, endedDiffers := rows[storedKey(endedTable, j.ID)]
	switch {
	case !openDiffers && !endedDiffers:
		j.stored.proven = true
		c.recorder.partition(j.ID).proven++
		c.recordAgain(e)
	case endedDiffers && endedRow.Version > 0:
		c.conflictWithEnded(e, &endedRow)
	case openRow.Version == 0:
		// The open row is gone and no outcome is visible: its retention is over.
		c.dropStored(j, "its rows are gone")
	default:
		c.conflictWithOpen(e, &openRow)
	}
}

// conflictWithEnded handles a conflict with the row of the job's outcome.
func (c *Control) conflictWithEnded(e *commitEntry, row *storage.Row) {
	j := e.job
	ended, err := decodeStored[EndedRow](row)
	switch {
	case err != nil:
		c.logEvent("row of a job not understood", jobField(j.ID), zap.Error(err))
		c.dropStored(j, "its outcome cannot be read")
	case e.phase == accepting && ended.Digest != j.stored.digest:
		c.close(j, Answer{Status: Mismatch, Reason: "another job was accepted under this id"})
	case e.phase == accepting:
		c.close(j, Answer{Status: ended.Status, Reason: ended.Reason})
	default:
		j.stored.finalStatus, j.stored.reason = ended.Status, ended.Reason
		j.stored.dropped = append(j.stored.dropped, c.dropRuns(j)...)
		c.confirmOutcomes(append(e.outcomes, j.stored.unrecorded...))
		c.finishStored(j)
	}
}

// conflictWithOpen handles a conflict with the row of an open job: a write of this
// instance, another job with the same id, or another home.
func (c *Control) conflictWithOpen(e *commitEntry, row *storage.Row) {
	j, s := e.job, e.job.stored
	found, err := decodeStored[OpenRow](row)
	switch {
	case err != nil:
		c.logEvent("row of a job not understood", jobField(j.ID), zap.Error(err))
		c.recordAgain(e)
	case found.Home == c.self && found.Round == s.round:
		if found.Sequence == e.sequence && e.phase != ending {
			c.jobRecorded(e, row.Version)
			return
		}
		s.version = row.Version
		c.recordAgain(e)
	case e.phase == accepting && found.Digest != s.digest:
		c.close(j, Answer{Status: Mismatch, Reason: "another job was accepted under this id"})
	case e.phase == accepting:
		c.close(j, Answer{Status: Queued, Reason: "accepted before, at " + found.Home.String()})
	default:
		c.dropStored(j, fmt.Sprintf("instance %s is its home in round %d", found.Home, found.Round))
	}
}

// verified reports whether this instance may place tasks of a job: a write has shown
// within homeValidity that it is the home. Otherwise the job's row is queued to be
// written, and its tasks are placed after that.
func (c *Control) verified(j *job) bool {
	s := j.stored
	if s.phase != open || s.unverified {
		return false
	}
	if c.now.Sub(s.verifiedAt) <= homeValidity {
		return true
	}
	s.unverified = true
	c.record(j)
	return false
}

// dropStored forgets a stored job that has another home, and stops its runs.
func (c *Control) dropStored(j *job, cause string) {
	dropped := c.dropRuns(j)
	for _, h := range j.handles {
		delete(c.home.byHandle, h)
		c.reply(h, Answer{Status: TimedOut, Reason: "its state is not known here: " + cause})
	}
	c.lookUpCancels(j)
	c.removeJob(j)
	c.unsettle(partitionOf(j.ID)) // a later adoption by this instance may have replaced this one
	c.logJobEnd("job lost", dropped, jobField(j.ID), zap.String("Cause", cause), zap.Int("Round", j.stored.round))
}

// reverifyStored has the row of every open stored job written before more of its tasks
// are placed: while this instance was disconnected or paused, another one may have become
// the home.
func (c *Control) reverifyStored(cause string) {
	n := 0
	for _, j := range c.home.jobs.All() {
		if j.stored != nil && j.stored.phase == open {
			j.stored.unverified = true
			c.record(j)
			n++
		}
	}
	if n > 0 {
		c.logEvent("stored jobs verified", zap.Int("Jobs", n), zap.String("Cause", cause))
	}
}

// recordRunOutcome queues the outcome of a run to be recorded, if its holder keeps the
// outcome until this home confirms that it is recorded.
func (c *Control) recordRunOutcome(j *job, from instance.ID, m *RunEnded) {
	outcome := unrecordedOutcome{holder: from, run: m.Run}
	if !m.Kept || slices.Contains(j.stored.unrecorded, outcome) {
		return
	}
	j.stored.unrecorded = append(j.stored.unrecorded, outcome)
	c.record(j)
}

// endedElsewhere handles the outcome of a stored job's run that is not the current one, or
// that comes from another instance than its holder: the endpoint's next holder, or one that
// an earlier home used. Done completes the task, and Failed counts; other outcomes are
// ignored.
func (c *Control) endedElsewhere(from instance.ID, m *RunEnded) {
	j, ok := c.home.jobs.Get(m.Run.Task.Job)
	if !ok || j.stored == nil || m.Run.Task.Step >= len(j.steps) || m.Run.Task.Index >= len(j.steps[m.Run.Task.Step]) {
		return
	}
	t := &j.steps[m.Run.Task.Step][m.Run.Task.Index]
	c.recordRunOutcome(j, from, m)
	if t.phase == done || j.stored.phase != open {
		return
	}
	switch m.How {
	case workload.Done:
		if t.phase == placed && t.runNumber != m.Run.Number {
			current := j.run(m.Run.Task.Step, m.Run.Task.Index)
			c.logGivenUp(current, t.holder, nil, 0, fmt.Sprintf("run %d of its task is done", m.Run.Number))
			c.send(t.holder, &Drop{Runs: []workload.Run{current}})
		}
		j.started = true
		c.taskDone(j, t, m.Run.Task.Step)
	case workload.Failed:
		j.started = true
		c.countFailure(j, t, m)
		isCurrent := m.Run.Number == t.runNumber && (t.phase == placed || t.phase == lost)
		if !j.failed(t) && isCurrent {
			c.counters.Retries++
			c.setPhase(j, t, ready)
			c.placeStep(j, m.Run.Task.Step)
		}
	}
}

// refuseAccepting refuses all jobs that are not stored yet, as the first write to the
// store has failed.
func (c *Control) refuseAccepting() {
	c.recorder.countFailure(c.now)
	for _, j := range c.home.jobs.All() {
		if j.stored != nil && j.stored.phase == accepting {
			c.refuse(j, storeUnavailable)
		}
	}
}

// storeUnavailable is the reason of refusals while the store does not take writes.
const storeUnavailable = "the store that keeps accepted jobs does not take it now"

// expireAccepting answers the callers of a job that is not stored by its deadline. It
// refuses the job, unless an earlier commit may have stored it or a commit of its
// partition is in progress: then callers learn that the outcome is unknown, and the job
// stays until a commit shows whether it is stored.
func (c *Control) expireAccepting(j *job) {
	if j.stored.phase != accepting || c.now.Before(j.deadline) || len(j.handles) == 0 {
		return
	}
	if !j.stored.commitUncertain && !c.recorder.partition(j.ID).writing {
		c.refuse(j, "it could not be stored in time")
		return
	}
	for _, h := range j.handles {
		delete(c.home.byHandle, h)
		c.reply(h, Answer{Status: TimedOut, Reason: "it is not known yet whether it is stored"})
	}
	j.handles = nil
}
