package placement

import (
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/table"
	"crocusseam/pkg/workload"
)

// cancelNotices are the jobs that were cancelled in the store for another instance, their home,
// which has not confirmed yet that it knows.
//
// This keeps an invariant: an acknowledged cancellation reaches the home of the job, whichever
// message, session or instance is lost. The instance that acknowledges it repeats the notice
// until the home confirms it, also over later sessions. If that instance is lost first, the
// home finds the cancellation in the store (auditRows).
type cancelNotices struct {
	pending *table.Table[workload.JobID, *cancelNotice]
	due     time.Time // when notices are next repeated
}

// cancelNotice is a notice to the home of a cancelled job.
type cancelNotice struct {
	home instance.ID
	at   time.Time // when the job was found to be cancelled
}

const (
	cancelNoticePeriod    = 300 * time.Millisecond // between copies of a notice
	cancelNoticeRetention = 10 * time.Minute       // longer than an instance may be paused and then continue
)

func newCancelNotices() cancelNotices {
	return cancelNotices{pending: table.New[workload.JobID, *cancelNotice]()}
}

// notifyCancelled tells the home of a job that the job is cancelled in the store, until it
// confirms that.
func (c *Control) notifyCancelled(id workload.JobID, home instance.ID) {
	if home == c.self {
		c.cancelLocal(id)
		return
	}
	if known, ok := c.cancelNotices.pending.Get(id); ok && known.home == home {
		return
	}
	c.cancelNotices.pending.Put(id, &cancelNotice{home: home, at: c.now})
	c.sendCancelNotice(id, home)
}

func (c *Control) sendCancelNotice(id workload.JobID, home instance.ID) {
	if m, ok := c.membership.members.Get(home.Instance); ok && m.id == home && m.hasSession {
		c.send(home, &CancelJob{ID: id, Recorded: true})
	}
}

// runCancelNotices repeats the notices that are not confirmed, and forgets those to instances
// that have ended.
func (c *Control) runCancelNotices() {
	n := &c.cancelNotices
	if n.pending.Len() == 0 || c.now.Before(n.due) {
		return
	}
	n.due = c.now.Add(cancelNoticePeriod)
	for id, notice := range n.pending.All() {
		m, ok := c.membership.members.Get(notice.home.Instance)
		restarted := ok && m.id.Incarnation > notice.home.Incarnation
		if restarted || c.now.Sub(notice.at) >= cancelNoticeRetention {
			n.pending.Delete(id)
			c.logEvent("cancel notice given up", jobField(id), zap.Stringer("Home", notice.home), zap.Bool("HomeRestarted", restarted))
			continue
		}
		c.sendCancelNotice(id, notice.home)
	}
}

// handleCancelJob cancels a job if this instance is its home, and confirms a recorded
// cancellation. A job that is not open here cannot be adopted any more, as its row is gone.
func (c *Control) handleCancelJob(from instance.ID, m *CancelJob) {
	c.cancelLocal(m.ID)
	if m.Recorded {
		c.send(from, &CancelConfirmed{ID: m.ID})
	}
}

func (c *Control) handleCancelConfirmed(from instance.ID, m *CancelConfirmed) {
	if notice, ok := c.cancelNotices.pending.Get(m.ID); ok && notice.home == from {
		c.cancelNotices.pending.Delete(m.ID)
		c.logEvent("cancel notice confirmed", jobField(m.ID), zap.Stringer("Home", from), zap.Duration("Elapsed", c.now.Sub(notice.at)))
	}
}

// rowAudit schedules the reading of the rows of this home's open jobs.
type rowAudit struct {
	due   time.Time // of the next one; zero without any
	final time.Time // of the last one that is needed
}

// maxAuditDelay spreads the audits of the instances that notice one loss.
const maxAuditDelay = 300 * time.Millisecond

// scheduleAudit has the rows read now and once more when no commit of a lost instance can take
// effect any more: it may have cancelled jobs of this home without telling it.
func (c *Control) scheduleAudit() {
	if c.home.jobs.Len() == 0 {
		return
	}
	a := &c.recorder.audit
	at := c.now.Add(time.Duration(c.random.Int64N(int64(maxAuditDelay))))
	if a.due.IsZero() || at.Before(a.due) {
		a.due = at
	}
	a.final = c.now.Add(lateCommitWindow)
}

// runAudit reads the rows of this home's open jobs when that is due.
func (c *Control) runAudit() {
	a := &c.recorder.audit
	if a.due.IsZero() || c.now.Before(a.due) {
		return
	}
	if a.due.Before(a.final) {
		a.due = a.final
	} else {
		a.due = time.Time{}
	}
	parts := make(map[string]bool)
	for _, j := range c.home.jobs.All() {
		if j.stored != nil && j.stored.phase == open {
			parts[partitionOf(j.ID)] = true
		}
	}
	for i := range storedPartitions {
		if part := storedPartitions[i : i+1]; parts[part] {
			c.auditRows(part)
		}
	}
}

// auditRows reads the rows of a partition. An open job of this home whose row is gone or names
// another home is written once more, which fails and shows what has become of it.
func (c *Control) auditRows(part string) {
	began := c.now
	c.scan(partitionPrefix(openTable, part), func(m ScanDone) {
		if m.Err != nil {
			c.logEvent("open jobs not audited", zap.String("Part", part), zap.Error(m.Err))
			c.recorder.audit.due = c.now.Add(recordRetryPause)
			return
		}
		rows := make(map[string]*storage.Row, len(m.Rows))
		for i := range m.Rows {
			rows[m.Rows[i].Key] = &m.Rows[i]
		}
		for _, j := range c.home.jobs.All() {
			if partitionOf(j.ID) != part || j.stored == nil || j.stored.phase != open || j.stored.verifiedAt.After(began) || c.isHomeIn(rows[storedKey(openTable, j.ID)], j) {
				continue
			}
			c.logEvent("job is not as its home knows it", jobField(j.ID), zap.Uint64("RowVersion", uint64(j.stored.version)))
			j.stored.unverified = true
			c.record(j)
		}
	})
}

// isHomeIn reports whether the open row of a job names this instance as the home in the job's
// round.
func (c *Control) isHomeIn(row *storage.Row, j *job) bool {
	if row == nil {
		return false
	}
	found, err := decodeStored[OpenRow](row)
	return err == nil && found.Home == c.self && found.Round == j.stored.round
}
