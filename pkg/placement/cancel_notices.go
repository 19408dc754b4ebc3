package placement

import (
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/instance"
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
