package placement

import (
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/table"
	"crocusseam/pkg/workload"
)

type storedPhase int

const (
	accepting storedPhase = iota // its first commit is not known to have taken effect
	open
	ending // the outcome is decided and not yet recorded
)

// storedState is what a home keeps of a stored job beside its tasks.
type storedState struct {
	phase            storedPhase
	digest           string
	round            int
	sequence         uint64          // of the last write of the open row
	version          storage.Version // of the open row
	commitUncertain  bool            // the first commit may have taken effect
	unknownRunsSince time.Time       // since when runs of it may exist that this home does not know
	// unverified says that another instance may have become its home: nothing is
	// placed before the row was written once more.
	unverified     bool
	verifiedAt     time.Time // when the last write was sent that shows this instance as its home
	finalStatus    Status    // with which it ends
	reason         string
	unrecorded     []unrecordedOutcome // ends that the next record covers
	pendingCancels []Handle
}

// unrecordedEnd is an end that its holder keeps until it is recorded.
type unrecordedOutcome struct {
	holder instance.ID
	run    workload.Run
}

// ledger writes the rows of this home's stored jobs. One commit of a part is on
// its way at a time; what comes meanwhile goes with the next.
type recorder struct {
	hadStoredJobs bool // stored jobs have been handed to this instance, now or before
	// failures counts the commits in a row that have failed, and failedAt is the
	// time of the last one.
	failures   int
	failedAt   time.Time
	partitions [len(storedPartitions)]recorderPartition
}

type recorderPartition struct {
	jobs      *table.Table[workload.JobID, *job]
	writing   bool
	notBefore time.Time
}

// Figures of the ledger.
const (
	maxJobsPerCommit = storage.MaxEntries / 5 // jobs of one commit: each has up to three rows, two of them with a condition
	recordRetryPause = 150 * time.Millisecond // after a commit that failed
	failuresToRefuse = 2                      // commits in a row, as single answers are lost
	refusePeriod     = 500 * time.Millisecond // after a failed commit, when a job may show whether the store is back
	maxStoredJobs    = 20000                  // open stored jobs of an instance: about 2 KB each
)

func newRecorder() recorder {
	var l recorder
	for i := range l.partitions {
		l.partitions[i].jobs = table.New[workload.JobID, *job]()
	}
	return l
}

func (l *recorder) countFailure(now time.Time) {
	l.failures++
	l.failedAt = now
}

// takes reports whether the store is likely to take a job now. While records
// wait, they show when it is back.
func (l *recorder) acceptsJobs(now time.Time) bool {
	if l.failures < failuresToRefuse {
		return true
	}
	for i := range l.partitions {
		if p := &l.partitions[i]; p.writing || p.jobs.Len() > 0 {
			return false
		}
	}
	return now.Sub(l.failedAt) >= refusePeriod
}

func (l *recorder) partition(id workload.JobID) *recorderPartition {
	for i := range l.partitions {
		if storedPartitions[i] == partitionOf(id)[0] {
			return &l.partitions[i]
		}
	}
	return &l.partitions[0]
}

// record has a job's rows written.
func (c *Control) record(j *job) { c.recorder.partition(j.ID).jobs.Put(j.ID, j) }

// acceptStored takes a job that is answered once it is stored.
func (c *Control) acceptStored(j *job) {
	j.stored = &storedState{phase: accepting, digest: digestOf(j.Job), sequence: 1}
	c.recorder.hadStoredJobs = true
	c.record(j)
}

// joinStored joins a caller to a stored job that is known here.
func (c *Control) joinStored(j *job, m Submit) {
	switch {
	case digestOf(m.Job) != j.stored.digest:
		c.reply(m.Handle, Answer{Status: Mismatch, Reason: "another job was accepted under this id"})
	case j.stored.phase == accepting:
		j.handles = append(j.handles, m.Handle)
		c.home.byHandle[m.Handle] = j.ID
	default:
		c.reply(m.Handle, c.stateOf(j))
	}
}

// stateOf is the answer to a question for a job that is known here.
func (c *Control) stateOf(j *job) Answer {
	if j.mayHaveStarted() {
		return Answer{Status: Running}
	}
	return Answer{Status: Queued}
}

func (c *Control) runRecorder() {
	if !c.membership.storedAnnounced {
		return // an instance that adopts could not know that there are jobs to adopt
	}
	for i := range c.recorder.partitions {
		p := &c.recorder.partitions[i]
		if !p.writing && p.jobs.Len() > 0 && !c.now.Before(p.notBefore) {
			c.writePartition(p)
		}
	}
}

// entry is one job's part of a commit.
type commitEntry struct {
	job      *job
	phase    storedPhase
	sequence uint64
	verifies bool // the job was unverified when the commit was sent
	sent     time.Time
	outcomes []unrecordedOutcome // that this commit records
}

func (c *Control) writePartition(p *recorderPartition) {
	var writes []storage.Write
	var batch []commitEntry
	for id, j := range p.jobs.All() {
		if len(batch) == maxJobsPerCommit {
			break
		}
		p.jobs.Delete(id)
		if known, ok := c.home.jobs.Get(id); !ok || known != j {
			continue
		}
		batch = append(batch, commitEntry{job: j, sent: c.now, phase: j.stored.phase, verifies: j.stored.unverified, outcomes: j.stored.unrecorded})
		j.stored.unrecorded = nil
		writes = append(writes, c.recordWrites(j)...)
		batch[len(batch)-1].sequence = j.stored.sequence
	}
	if len(batch) == 0 {
		return
	}
	p.writing = true
	c.commit(Commit{Writes: writes}, func(m CommitDone) {
		p.writing = false
		c.commitFinished(p, batch, m)
	})
}

// recordWrites are the writes of a job's present state.
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

// recorded takes the outcome of a commit.
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

// notRecorded has a record written again. A job whose first commit certainly had
// no effect is refused instead, as its caller can go elsewhere.
func (c *Control) recordFailed(e *commitEntry, err error, uncertain bool) {
	s := e.job.stored
	c.logEvent("job not recorded", jobField(e.job.ID), zap.Uint64("Sequence", e.sequence), zap.Bool("Uncertain", uncertain), zap.Error(err))
	if e.phase == accepting && !uncertain && !s.commitUncertain {
		c.refuse(e.job, storeUnavailable)
		return
	}
	s.commitUncertain = s.commitUncertain || uncertain
	c.recordAgain(e)
}

func (c *Control) recordAgain(e *commitEntry) {
	e.job.stored.unrecorded = append(e.outcomes, e.job.stored.unrecorded...)
	c.record(e.job)
}

// recordedOne goes on with a job whose state is stored.
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

// accepted answers the callers of a job that is stored now, and begins it.
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

// confirmEnds tells holders that ends are recorded.
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

// endStored decides the outcome of a stored job. It is told once it is recorded.
func (c *Control) endStored(j *job, status Status, reason string) {
	s := j.stored
	s.finalStatus, s.reason = status, reason
	if s.phase == open {
		s.phase = ending
		c.dropRuns(j)
		c.record(j)
	}
}

// finishStored forgets a stored job whose outcome is recorded.
func (c *Control) finishStored(j *job) {
	s := j.stored
	for _, h := range s.pendingCancels {
		c.reply(h, cancelAnswer(s.finalStatus))
	}
	c.home.jobs.Delete(j.ID)
	elapsed := c.now.Sub(j.arrived)
	c.emit(Finished{Route: j.route.Name, Status: s.finalStatus, Elapsed: elapsed})
	c.logEvent("job ended", jobField(j.ID), zap.String("Route", j.route.Name), zap.Stringer("Status", s.finalStatus), zap.String("Reason", s.reason),
		zap.Duration("Elapsed", elapsed), zap.Duration("Objective", j.objective.Sub(j.arrived)), zap.Int("Round", s.round), zap.Uint64("Configuration", c.configurationVersion()))
}

// cancelAnswer is the answer to a caller who cancels a job that has ended so.
func cancelAnswer(s Status) Answer {
	if s == Cancelled {
		return Answer{Status: Cancelled}
	}
	return Answer{Status: Absent, Reason: "the job had ended before: " + s.String()}
}

// conflicted looks why a job's rows were not as expected: an earlier commit whose
// answer was lost has taken effect, or another instance has written them.
func (c *Control) resolveConflict(e *commitEntry, rows map[string]storage.Row) {
	j := e.job
	openRow, openDiffers := rows[storedKey(openTable, j.ID)]
	endedRow, endedDiffers := rows[storedKey(endedTable, j.ID)]
	switch {
	case !openDiffers && !endedDiffers:
		c.recordAgain(e)
	case endedDiffers && endedRow.Version > 0:
		c.conflictWithEnded(e, &endedRow)
	case openRow.Version == 0:
		// Gone without an outcome that is visible here: its retention is over.
		c.dropStored(j, "its rows are gone")
	default:
		c.conflictWithOpen(e, &openRow)
	}
}

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
		c.dropRuns(j)
		c.confirmOutcomes(append(e.outcomes, j.stored.unrecorded...))
		c.finishStored(j)
	}
}

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

// verified reports whether this instance was the home of a job so lately that it
// may place tasks. If not, the job's row is written first.
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

// loseStored forgets a stored job that another instance sees to. What was placed of
// it must not start any more.
func (c *Control) dropStored(j *job, cause string) {
	c.dropRuns(j)
	for _, h := range j.handles {
		delete(c.home.byHandle, h)
		c.reply(h, Answer{Status: TimedOut, Reason: "its state is not known here: " + cause})
	}
	for _, h := range j.stored.pendingCancels {
		c.lookup(lookup{handle: h, id: j.ID, cancel: true})
	}
	c.home.jobs.Delete(j.ID)
	c.logEvent("job lost", jobField(j.ID), zap.String("Cause", cause), zap.Int("Round", j.stored.round))
}

// verifyStored has every open job's row written before anything more of it is
// placed: while this instance was cut off or stood still, another one may have
// become the home.
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

// recordEnd has an end recorded that its holder keeps until then.
func (c *Control) recordRunOutcome(j *job, from instance.ID, m *RunEnded) {
	if !m.Kept {
		return
	}
	j.stored.unrecorded = append(j.stored.unrecorded, unrecordedOutcome{holder: from, run: m.Run})
	c.record(j)
}

// endedElsewhere takes the end of a run from an instance that it was not placed
// with: the one that has taken the endpoint over, or a holder of an earlier home.
func (c *Control) endedElsewhere(from instance.ID, m *RunEnded) {
	j, ok := c.home.jobs.Get(m.Run.Task.Job)
	if !ok || j.stored == nil || m.Run.Task.Step >= len(j.steps) || m.Run.Task.Index >= len(j.steps[m.Run.Task.Step]) {
		return
	}
	t := &j.steps[m.Run.Task.Step][m.Run.Task.Index]
	c.recordRunOutcome(j, from, m)
	counts := m.How == workload.Done || (m.How == workload.Failed && m.Run.Number == t.runNumber)
	if !counts || t.phase == done || j.stored.phase != open {
		return
	}
	if t.phase == placed && t.runNumber != m.Run.Number {
		c.send(t.holder, &Drop{Runs: []workload.Run{j.run(m.Run.Task.Step, m.Run.Task.Index)}})
	}
	t.phase, t.holder, t.runNumber = placed, from, max(t.runNumber, m.Run.Number)
	counted := *m
	counted.Run.Number, counted.Kept = t.runNumber, false
	c.handleRunEnded(from, &counted)
}

// refuseUnwritten refuses the jobs that wait for the first write to the store, as
// it does not take any now.
func (c *Control) refuseAccepting() {
	c.recorder.countFailure(c.now)
	for _, j := range c.home.jobs.All() {
		if j.stored != nil && j.stored.phase == accepting {
			c.refuse(j, storeUnavailable)
		}
	}
}

// storeAway is the reason of refusals while the store does not take writes.
const storeUnavailable = "the store that keeps accepted jobs does not take it now"

// expireAccepting answers the callers of a job that could not be stored in time.
// While it is not certain that it was not, it goes on being recorded.
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
