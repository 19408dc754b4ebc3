package placement

import (
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/storage"
)

// rowAudit schedules the reading of the rows of this home's open jobs.
type rowAudit struct {
	due    time.Time // of the next one; zero without any
	final  time.Time // of the last one that is needed
	unread int       // partitions that the present one has not read yet
	failed bool      // some partition could not be read
}

const (
	maxAuditDelay = 300 * time.Millisecond // spreads the audits of the instances that notice one loss
	auditRetry    = time.Second            // after one that has failed in part
)

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
	if a.unread > 0 || a.due.IsZero() || c.now.Before(a.due) {
		return
	}
	if a.due.Before(a.final) {
		a.due = a.final
	} else {
		a.due = time.Time{}
	}
	a.failed = false
	parts := make(map[string]bool)
	for _, j := range c.home.jobs.All() {
		if j.stored != nil && j.stored.phase == open {
			parts[partitionOf(j.ID)] = true
		}
	}
	for i := range storedPartitions {
		if part := storedPartitions[i : i+1]; parts[part] {
			a.unread++
			c.auditRows(part)
		}
	}
}

// partitionAudited notes that a partition was read or not.
func (a *rowAudit) partitionAudited(now time.Time, err error) {
	a.unread--
	a.failed = a.failed || err != nil
	if a.unread == 0 && a.failed {
		a.due = now.Add(auditRetry)
	}
}

// auditRows reads the rows of a partition. An open job of this home whose row is gone or names
// another home is written once more, which fails and shows what has become of it.
func (c *Control) auditRows(part string) {
	began := c.now
	c.scan(partitionPrefix(openTable, part), func(m ScanDone) {
		c.recorder.audit.partitionAudited(c.now, m.Err)
		if m.Err != nil {
			c.logEvent("open jobs not audited", zap.String("Part", part), zap.Error(m.Err))
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
