package placement

import (
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/slots"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/workload"
)

// adoption takes over the stored jobs of homes that are gone. The new home places no
// task before it knows for every endpoint of the service that the runs of the earlier
// home were stopped there, and has received the outcomes that were not recorded.
type adoption struct {
	unknownHomes map[instance.ID]time.Time // homes that are not members -> when first seen
	unsettled    map[string]time.Time      // partition -> time from which a scan of it settles it, see unsettle
	inProgress   map[workload.JobID]bool   // adoptions that this instance has begun and not finished
	lostAt       time.Time                 // when an instance was last found to be lost
	behind       bool                      // adopting, as of the last heartbeats
	scannedAt    map[string]time.Time      // partition -> start of the last scan whose jobs were all adopted
	nextScan     time.Time
	inquiry      *inquiry
	sequence     uint64 // of the last inquiry
	nextInquiry  time.Time
}

// inquiry is one round of Inquire messages to all holders.
type inquiry struct {
	sequence   uint64
	began      time.Time
	jobs       []workload.JobID
	unanswered map[instance.ID]bool     // holders that have not answered
	covered    map[string]bool          // endpoints for which a holder knows all runs
	live       map[workload.TaskID]bool // tasks with a run that has not certainly ended
}

const (
	adoptPeriod   = 3 * time.Second        // between scans for jobs whose home is gone, if stored jobs exist
	adoptDelay    = 20 * time.Millisecond  // from the loss of an instance to the scan for its jobs
	inquiryPeriod = 150 * time.Millisecond // between inquiries; a stopped run has ended after 50 ms
	// homeValidity is how long the home of a stored job may place tasks after it sent a
	// write that showed that it is the home, and maxStoredQueueTime how long such a task
	// may wait at its holder. A later home that cannot ask every instance waits for the
	// sum of both.
	homeValidity       = time.Second
	maxStoredQueueTime = time.Second
	// lateCommitWindow is how long a commit without an answer may still take effect.
	lateCommitWindow = 15 * time.Second
)

// ownPartitions returns the partitions of the tables of stored jobs that this instance
// maintains. Each partition is assigned to one live instance. If two instances compute
// different assignments, the row versions make one of their writes fail.
func (c *Control) ownPartitions() []string {
	members := []slots.Member{{Instance: c.self.Instance, Capacity: c.config.Share}}
	for _, m := range c.membership.members.All() {
		if m.listed && !m.dead && !m.heartbeat.Leaving {
			members = append(members, slots.Member{Instance: m.id.Instance, Capacity: m.row.Share})
		}
	}
	names := make([]slots.Name, len(storedPartitions))
	for i := range names {
		names[i] = slots.Name(storedPartitions[i : i+1])
	}
	var own []string
	division := slots.Assign(names, members)
	for _, n := range names {
		if division[n] == c.self.Instance {
			own = append(own, string(n))
		}
	}
	return own
}

// runAdoption scans and sweeps the own partitions when that is due, and runs inquiries.
func (c *Control) runAdoption() {
	a := &c.adoption
	c.runInquiry()
	if !c.membership.settled || c.stop != serving || !c.storedExist() {
		return
	}
	if !c.now.Before(a.nextScan) {
		a.nextScan = c.now.Add(adoptPeriod)
		c.scanOpenJobs()
	}
	c.runSweep()
}

// storedExist reports whether some instance has ever accepted stored jobs.
func (c *Control) storedExist() bool {
	if c.recorder.hadStoredJobs || c.keptOutcomes.storedJobsExist {
		return true
	}
	for _, m := range c.membership.members.All() {
		if m.row.Stored {
			return true
		}
	}
	return false
}

// scheduleAdoption brings the next scan for jobs without a home forward, as an
// instance is gone.
func (c *Control) scheduleAdoption() {
	c.adoption.lostAt, c.adoption.behind = c.now, true
	if at := c.now.Add(adoptDelay); at.Before(c.adoption.nextScan) {
		c.adoption.nextScan = at
	}
}

// adopting reports whether this instance has not adopted all jobs of its partitions since it found
// that an instance is lost.
func (c *Control) adopting() bool {
	a := &c.adoption
	if a.lostAt.IsZero() || !c.storedExist() || c.stop != serving {
		return false
	}
	for _, part := range c.ownPartitions() {
		if a.scannedAt[part].Before(a.lostAt) {
			return true
		}
	}
	a.lostAt = time.Time{}
	return false
}

// unsettle notes that rows of a partition may name this instance as the home of jobs
// that are not open here, now or once a commit without an answer takes effect. To all
// other instances these jobs have a live home, so nobody else adopts them.
//
// This keeps an invariant: a job whose row names a live instance is open at that instance,
// or the instance scans the job's partition until it is, whoever else scans it.
func (c *Control) unsettle(part string) {
	c.adoption.unsettled[part] = c.now.Add(lateCommitWindow)
}

// scanOpenJobs scans the own partitions and the unsettled ones.
func (c *Control) scanOpenJobs() {
	own := c.ownPartitions()
	for i := range storedPartitions {
		part := storedPartitions[i : i+1]
		isOwn := slices.Contains(own, part)
		if _, unsettled := c.adoption.unsettled[part]; isOwn || unsettled {
			c.scanPartition(part, isOwn)
		}
	}
}

// scanPartition adopts the open jobs of a partition that name this instance as their home
// although they are not open here and, in an own partition, those whose home is gone.
func (c *Control) scanPartition(part string, isOwn bool) {
	scanStart := c.now
	c.scan(partitionPrefix(openTable, part), func(m ScanDone) {
		if m.Err != nil {
			c.adoption.nextScan = earlier(c.adoption.nextScan, c.now.Add(recordRetryPause))
			return
		}
		if from, ok := c.adoption.unsettled[part]; ok && !scanStart.Before(from) {
			delete(c.adoption.unsettled, part) // the adoptions below unsettle it again
		}
		var orphans []orphanJob
		inProgress := false
		for i := range m.Rows {
			row, err := decodeStored[OpenRow](&m.Rows[i])
			if err != nil {
				c.logEvent("row of a job not understood", zap.String("Key", m.Rows[i].Key), zap.Error(err))
				continue
			}
			id := jobOfKey(m.Rows[i].Key)
			if c.adoption.inProgress[id] {
				inProgress = true
				continue
			}
			if !c.home.jobs.Has(id) && (row.Home == c.self || (isOwn && c.homeGone(row.Home))) {
				orphans = append(orphans, orphanJob{id: id, row: row, version: m.Rows[i].Version})
			}
		}
		c.adoptAll(&adoptionRun{part: part, scanStart: scanStart, waiting: orphans, complete: !inProgress})
	})
}

// adoptionRun is the adoption of the jobs that one scan of a partition has found.
type adoptionRun struct {
	part      string
	scanStart time.Time
	waiting   []orphanJob
	active    int  // batches that wait for the store
	complete  bool // all jobs of the partition that were to be adopted are open here, apart from those
}

// maxAdoptionBatches is how many batches of a partition wait for the store at a time.
const maxAdoptionBatches = 4

// adoptAll begins to adopt the jobs of a run.
//
// This keeps an invariant: what an adoption holds in memory beside the jobs themselves does not grow
// with their number, and adopted jobs count against the same limits as accepted ones. Jobs
// over a limit stay in the store until others have ended, here or at another instance.
func (c *Control) adoptAll(r *adoptionRun) {
	if n := c.adoptable(r.waiting); n < len(r.waiting) {
		c.logWarning("jobs left for a later adoption", zap.String("Part", r.part), zap.Int("Left", len(r.waiting)-n), zap.Int("Open", c.home.jobs.Len()),
			zap.Int64("OpenBytes", c.home.memory.stored+c.home.memory.adopting), zap.Int64("MaxBytes", c.config.MaxStoredBytes))
		for i := range r.waiting[n:] {
			if r.waiting[n+i].row.Home == c.self {
				c.unsettle(r.part) // nobody else adopts it
			}
		}
		r.waiting, r.complete = r.waiting[:n], false
	}
	for i := range r.waiting {
		c.adoption.inProgress[r.waiting[i].id] = true
		c.home.memory.adopting += r.waiting[i].row.estimateMemory()
	}
	c.continueAdoption(r)
}

// continueAdoption begins as many batches of a run as may wait for the store, and notes when the run
// has ended.
func (c *Control) continueAdoption(r *adoptionRun) {
	for len(r.waiting) > 0 && r.active < maxAdoptionBatches {
		batch := r.waiting[:min(len(r.waiting), maxJobsPerCommit)]
		r.waiting = r.waiting[len(batch):]
		r.active++
		c.adopt(r.part, batch, func(adopted bool) {
			c.finishAdoption(batch)
			r.active--
			r.complete = r.complete && adopted
			c.continueAdoption(r)
		})
	}
	switch {
	case r.active > 0:
	case r.complete && !r.scanStart.Before(c.adoption.lostAt):
		c.adoption.scannedAt[r.part] = r.scanStart
	case r.complete:
		c.adoption.nextScan = earlier(c.adoption.nextScan, c.now.Add(adoptDelay))
	}
}

// homeGone reports whether an instance can no longer be the home of jobs. An instance
// that is not a member may have just started, so it counts as gone only after the
// members' rows were due to be read.
func (c *Control) homeGone(id instance.ID) bool {
	if id.Instance == c.self.Instance {
		return id.Incarnation < c.self.Incarnation
	}
	m, ok := c.membership.members.Get(id.Instance)
	if ok && m.id.Incarnation >= id.Incarnation {
		return m.dead || m.id.Incarnation > id.Incarnation
	}
	a := &c.adoption
	since, seen := a.unknownHomes[id]
	if !seen {
		a.unknownHomes[id] = c.now
		c.membership.nextScan = c.now
		return false
	}
	return c.now.Sub(since) > c.config.Timing.MemberScan
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// orphanJob is an open job whose home is gone.
type orphanJob struct {
	id      workload.JobID
	row     OpenRow
	version storage.Version
}

// adopt writes this instance as the home into the rows of jobs, with a round higher by
// one, reads the jobs, and calls done. The write fails if any of the rows has changed.
//
// This keeps an invariant: an instance adopts a job once at a time. A second adoption would take the
// job from the first one, which stops its runs.
func (c *Control) adopt(part string, orphans []orphanJob, done func(adopted bool)) {
	c.recorder.hadStoredJobs = true
	c.unsettle(part)
	writes := make([]storage.Write, len(orphans))
	for i := range orphans {
		o := &orphans[i]
		c.logEvent("job without a home", jobField(o.id), zap.Stringer("Former", o.row.Home), zap.Int("Round", o.row.Round), zap.Uint64("RowVersion", uint64(o.version)))
		o.row.Home, o.row.Sequence = c.self, 1
		o.row.Round++
		writes[i] = storage.Write{Key: storedKey(openTable, o.id), Value: encodeStored(o.row), Expect: o.version}
	}
	c.commit(Commit{Writes: writes}, func(m CommitDone) {
		if m.Err != nil {
			c.counters.FailedCommits++
			c.adoption.nextScan = earlier(c.adoption.nextScan, c.now.Add(recordRetryPause))
			c.logEvent("jobs not adopted", zap.String("Part", part), zap.Int("Jobs", len(orphans)), zap.Error(m.Err))
			done(false)
			return
		}
		c.readAdopted(part, orphans, m.Version, done)
	})
}

// finishAdoption notes that adoptions have succeeded or failed.
func (c *Control) finishAdoption(orphans []orphanJob) {
	for i := range orphans {
		delete(c.adoption.inProgress, orphans[i].id)
		c.home.memory.adopting -= orphans[i].row.estimateMemory()
	}
}

// adoptedPageRows is how many rows of submitted jobs, which have their specifications, a batch reads at a time.
const adoptedPageRows = 100

// readAdopted reads what was submitted for the adopted jobs, which are in the order of their keys,
// and calls done when they are open here. A page may have rows of other homes' jobs, so it may not reach the last one.
func (c *Control) readAdopted(part string, orphans []orphanJob, version storage.Version, done func(adopted bool)) {
	first, last := storedKey(jobsTable, orphans[0].id), storedKey(jobsTable, orphans[len(orphans)-1].id)
	c.scanPage(first, last, adoptedPageRows, func(m ScanDone) {
		if m.Err != nil {
			c.adoption.nextScan = earlier(c.adoption.nextScan, c.now.Add(recordRetryPause))
			c.logEvent("adopted jobs not read", zap.String("Part", part), zap.Int("Jobs", len(orphans)), zap.Error(m.Err))
			done(false)
			return
		}
		n := len(orphans)
		if len(m.Rows) >= adoptedPageRows {
			read := m.Rows[len(m.Rows)-1].Key
			n = slices.IndexFunc(orphans, func(o orphanJob) bool { return storedKey(jobsTable, o.id) > read })
			if n < 0 {
				n = len(orphans)
			}
		}
		for i := range orphans[:n] {
			o := &orphans[i]
			if c.home.jobs.Has(o.id) {
				continue
			}
			row := rowOf(m.Rows, storedKey(jobsTable, o.id))
			if row == nil {
				c.logEvent("adopted job has no row", jobField(o.id), zap.Int("Rows", len(m.Rows)))
				continue
			}
			submitted, err := decodeStored[JobRow](row)
			if err == nil {
				err = c.becomeHome(o, &submitted, version)
			}
			if err != nil {
				c.logEvent("row of a job not understood", jobField(o.id), zap.Error(err))
			}
		}
		if n < len(orphans) {
			c.readAdopted(part, orphans[n:], version, done)
			return
		}
		done(true)
	})
}

// becomeHome makes this instance the home of an adopted job. Tasks that are not done
// count as lost until an inquiry has found their runs. A job without such tasks ends.
func (c *Control) becomeHome(o *orphanJob, submitted *JobRow, version storage.Version) error {
	if submitted.Job == nil {
		return fmt.Errorf("row of job %s contains no job", o.id)
	}
	if err := submitted.Job.Validate(); err != nil {
		return fmt.Errorf("row of job %s: %w", o.id, err)
	}
	j := c.newJob(Submit{Job: submitted.Job, Route: c.currentRoute(submitted.Route)})
	j.handles = nil
	j.stored = &storedState{phase: open, digest: o.row.Digest, round: o.row.Round, sequence: o.row.Sequence, version: version, unknownRunsSince: c.now}
	if err := j.restore(&o.row, c.now.Add(c.config.Timing.leaseExpiry())); err != nil {
		return err
	}
	c.addJob(j)
	c.counters.Adopted++
	c.logEvent("job adopted", jobField(j.ID), zap.Int("Round", j.stored.round), zap.Int("TasksLeft", j.remaining), zap.Uint64("RowVersion", uint64(version)))
	if j.remaining == 0 {
		c.endStored(j, Completed, "")
	}
	return nil
}

// currentRoute returns a route as the configuration in force has it, or unchanged if
// the configuration does not have it.
func (c *Control) currentRoute(r workload.Route) workload.Route {
	if c.configuration.inUse == nil {
		return r
	}
	for i := range c.configuration.inUse.Routes {
		if c.configuration.inUse.Routes[i].Name == r.Name {
			return c.configuration.inUse.Routes[i]
		}
	}
	return r
}

// jobsWithUnknownRuns returns the jobs of this home of which runs may exist that it
// does not know of: open stored jobs with a lost task, and ephemeral jobs with a start
// order that may still be carried out.
func (c *Control) jobsWithUnknownRuns() []JobRound {
	var list []JobRound
	for _, j := range c.home.jobs.All() {
		switch {
		case j.stored == nil && !j.anyTask(func(t *task) bool { return t.lateStartEndpoint != "" }):
			continue
		case j.stored == nil:
		case j.stored.phase != open || !j.anyIn(lost):
			continue
		case j.stored.unknownRunsSince.IsZero():
			j.stored.unknownRunsSince = c.now
		}
		list = append(list, JobRound{Job: j.ID, Round: j.round()})
	}
	return list
}

// anyTask reports whether is returns true for some task of the job.
func (j *job) anyTask(is func(*task) bool) bool {
	for s := range j.steps {
		for i := range j.steps[s] {
			if is(&j.steps[s][i]) {
				return true
			}
		}
	}
	return false
}

// clearLateStarts clears the late starts of a job's tasks that can no longer happen:
// the next holder of the endpoint has a report, or lateStartUntil has passed.
func (c *Control) clearLateStarts(q *inquiry, j *job) {
	j.anyTask(func(t *task) bool {
		if t.lateStartEndpoint != "" && (q.covered[t.lateStartEndpoint] || !c.now.Before(t.lateStartUntil)) {
			t.lateStartEndpoint = ""
		}
		return false
	})
}

// runInquiry evaluates the last inquiry once all have answered or its time is over,
// and sends the next one while jobs have unknown runs.
func (c *Control) runInquiry() {
	a := &c.adoption
	if q := a.inquiry; q != nil && (len(q.unanswered) == 0 || c.now.Sub(q.began) >= inquiryPeriod) {
		a.inquiry = nil
		for _, id := range q.jobs {
			c.resolveUnknownRuns(q, id)
		}
	}
	if a.inquiry != nil || c.now.Before(a.nextInquiry) {
		return
	}
	a.nextInquiry = c.now.Add(inquiryPeriod)
	jobs := c.jobsWithUnknownRuns()
	if len(jobs) == 0 {
		return
	}
	a.sequence++
	q := &inquiry{sequence: a.sequence, began: c.now, unanswered: make(map[instance.ID]bool), covered: make(map[string]bool), live: make(map[workload.TaskID]bool)}
	for _, j := range jobs {
		q.jobs = append(q.jobs, j.Job)
	}
	a.inquiry = q
	q.unanswered[c.self] = true
	for _, m := range c.membership.members.All() {
		if m.hasSession {
			q.unanswered[m.id] = true
			c.send(m.id, &Inquire{Sequence: q.sequence, Jobs: jobs})
		}
	}
	c.send(c.self, &Inquire{Sequence: q.sequence, Jobs: jobs})
}

// handleInquiryAnswer adds the answer of a holder to the inquiry.
func (c *Control) handleInquiryAnswer(from instance.ID, m *InquiryAnswer) {
	q := c.adoption.inquiry
	if q == nil || q.sequence != m.Sequence || !q.unanswered[from] {
		return
	}
	delete(q.unanswered, from)
	for _, r := range m.Live {
		q.live[r.Task] = true
	}
	for _, name := range m.Covered {
		q.covered[name] = true
	}
}

// resolveUnknownRuns makes a lost task of a stored job blocked again if every endpoint
// of the service is accounted for and no run of the task can be left. Once this holds for
// all lost tasks, it has the job's row written, after which they are placed. Unless all
// instances have answered, it first waits until no task placed by an earlier home starts.
func (c *Control) resolveUnknownRuns(q *inquiry, id workload.JobID) {
	j, ok := c.home.jobs.Get(id)
	if !ok {
		return
	}
	c.clearLateStarts(q, j)
	if j.stored == nil || j.stored.phase != open {
		return
	}
	if !c.allAnswered(q) && c.now.Sub(j.stored.unknownRunsSince) < homeValidity+maxStoredQueueTime+c.config.Timing.EchoTimeout {
		return
	}
	for name, e := range c.holder.listed.All() {
		if e.Service == j.route.Service && !q.covered[name] && !c.leasesLapsed(j, e) && !c.nobodyReaches(j, e) {
			return
		}
	}
	unresolved := false
	for s := range j.steps {
		for i := range j.steps[s] {
			t := &j.steps[s][i]
			switch {
			case t.phase != lost:
			case q.live[workload.TaskID{Job: j.ID, Step: s, Index: i}] || c.now.Before(t.endedBy) || t.lateStartEndpoint != "":
				unresolved = true
			default:
				c.setPhase(j, t, blocked)
			}
		}
	}
	if unresolved {
		return
	}
	c.logEvent("runs of a job accounted for", jobField(j.ID), zap.Int("TasksLeft", j.remaining), zap.Duration("Doubt", c.now.Sub(j.stored.unknownRunsSince)))
	j.stored.unknownRunsSince = time.Time{}
	j.stored.unverified = true
	c.record(j)
}

// allAnswered reports whether every instance has received the inquiry of this home, so
// that none starts a task that an earlier home has placed with it.
func (c *Control) allAnswered(q *inquiry) bool {
	for _, m := range c.membership.members.All() {
		if !m.hasSession {
			return false
		}
	}
	return len(q.unanswered) == 0
}

// nobodyReaches reports whether an endpoint of a domain without instances, which another one may
// hold only if it reaches it, has not been accounted for so long that no run can be left there.
func (c *Control) nobodyReaches(j *job, e *workload.Endpoint) bool {
	if e.Domain == c.config.Domain || c.anySuspected() || c.now.Sub(j.stored.unknownRunsSince) <= c.config.Timing.unreachedTimeout() {
		return false
	}
	for _, m := range c.membership.members.All() {
		if m.row.Domain == e.Domain && !m.dead {
			return false
		}
	}
	return true
}

// leasesLapsed reports whether all runs that an endpoint had when runs of the job became
// unknown have ended. No instance takes over a draining endpoint, so its leases run out
// without its holder. While a member is suspected, it may be a holder that still renews
// them.
func (c *Control) leasesLapsed(j *job, e *workload.Endpoint) bool {
	return e.Draining && !c.anySuspected() && c.now.Sub(j.stored.unknownRunsSince) > c.config.Timing.holderLossTimeout()
}
