package placement

import (
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/storage"
	"crocusseam/pkg/workload"
)

// lookup is a caller's request for the state or the cancellation of a job that is not
// open here, which is answered from the rows in the store.
type lookup struct {
	handle Handle
	id     workload.JobID
	route  string // if not empty, the job must be of this route
	cancel bool
	tries  int // cancellations that have failed
	// fallback, if set, is the answer while the store cannot be read.
	fallback *Answer
}

const (
	maxCancelTries = 5                     // a write by the job's home makes a cancellation fail
	cancelDelay    = 30 * time.Millisecond // lets the job's home cancel it first
)

// startLookup reads the rows of a job, the open row before that of the outcome: in this order
// a job that ends between the two reads is still found.
func (c *Control) startLookup(l lookup) {
	c.readForLookup(storedKey(openTable, l.id), func(m ScanDone) {
		switch row := rowOf(m.Rows, storedKey(openTable, l.id)); {
		case m.Err != nil:
			c.replyUnavailable(l, m.Err)
		case row != nil:
			c.answerFromOpenRow(l, row)
		default:
			c.lookupEnded(l)
		}
	})
}

// rowOf returns the row with a key, or nil.
func rowOf(rows []storage.Row, key string) *storage.Row {
	for i := range rows {
		if rows[i].Key == key {
			return &rows[i]
		}
	}
	return nil
}

// replyUnavailable answers a lookup that failed because of the store.
func (c *Control) replyUnavailable(l lookup, err error) {
	c.logEvent("job not looked up", jobField(l.id), zap.Error(err))
	if l.fallback != nil {
		c.reply(l.handle, *l.fallback)
		return
	}
	c.reply(l.handle, Answer{Status: Unavailable, Reason: "the store that keeps jobs cannot be read now", RetryAfter: c.config.Timing.RetryAfter})
}

// lookupEnded answers a lookup from the row of the job's outcome.
func (c *Control) lookupEnded(l lookup) {
	c.readForLookup(storedKey(endedTable, l.id), func(m ScanDone) {
		if m.Err != nil {
			c.replyUnavailable(l, m.Err)
			return
		}
		row := rowOf(m.Rows, storedKey(endedTable, l.id))
		if row == nil {
			c.reply(l.handle, Answer{Status: Absent, Reason: "no such job is known"})
			return
		}
		ended, err := decodeStored[EndedRow](row)
		switch {
		case err != nil:
			c.replyUnavailable(l, err)
		case l.route != "" && ended.Route != l.route:
			c.reply(l.handle, Answer{Status: Absent, Reason: "no such job is known on this route"})
		case l.cancel:
			if ended.Home != nil {
				c.notifyCancelled(l.id, *ended.Home) // who recorded it may not have told the home
			}
			c.reply(l.handle, cancelAnswer(ended.Status))
		default:
			c.reply(l.handle, Answer{Status: ended.Status, Reason: ended.Reason})
		}
	})
}

// answerFromOpenRow answers a lookup from the row of an open job.
func (c *Control) answerFromOpenRow(l lookup, row *storage.Row) {
	found, err := decodeStored[OpenRow](row)
	switch {
	case err != nil:
		c.replyUnavailable(l, err)
	case l.route != "" && found.Route != l.route:
		c.reply(l.handle, Answer{Status: Absent, Reason: "no such job is known on this route"})
	case l.cancel:
		c.cancelRow(l, row, &found)
	case found.Started || c.noneWaiting(&found):
		c.reply(l.handle, Answer{Status: Running})
	default:
		c.reply(l.handle, Answer{Status: Queued})
	}
}

// cancelRow records in the store that a job with another home is cancelled.
func (c *Control) cancelRow(l lookup, row *storage.Row, found *OpenRow) {
	ended := EndedRow{Route: found.Route, Digest: found.Digest, Status: Cancelled, Reason: cancelReason, Home: &found.Home}
	c.commit(Commit{Writes: []storage.Write{
		{Key: storedKey(openTable, l.id), Delete: true, Expect: row.Version},
		{Key: storedKey(jobsTable, l.id), Delete: true, Expect: storage.AnyVersion},
		{Key: storedKey(endedTable, l.id), Value: encodeStored(ended)},
	}}, func(m CommitDone) {
		l.tries++
		switch {
		case m.Err == nil:
			c.logEvent("job cancelled for another instance", jobField(l.id), zap.Stringer("Home", found.Home))
			c.notifyCancelled(l.id, found.Home)
			c.reply(l.handle, Answer{Status: Cancelled})
		case l.tries < maxCancelTries:
			c.lookup(l)
		default:
			c.replyUnavailable(l, m.Err)
		}
	})
}

const cancelReason = "cancelled by its caller"

// broadcastCancel asks all peers to cancel a job if they are its home.
func (c *Control) broadcastCancel(id workload.JobID) {
	for _, p := range c.membership.members.All() {
		if p.hasSession {
			c.send(p.id, &CancelJob{ID: id})
		}
	}
}

// answerState answers a caller that asks for the state of a job.
func (c *Control) answerState(m Ask) {
	j, ok := c.home.jobs.Get(m.ID)
	if !ok {
		c.lookup(lookup{handle: m.Handle, id: m.ID, route: m.Route})
		return
	}
	c.replyState(m.Handle, j)
}

// replyState answers a caller that asks for the state of a job that is open here.
//
// This keeps an invariant: once some instance has shown the outcome of a job, none shows an
// earlier state. Before the home hears that the outcome is recorded, others may read it.
func (c *Control) replyState(h Handle, j *job) {
	state := c.stateOf(j)
	if j.stored != nil && j.stored.phase == ending {
		c.lookup(lookup{handle: h, id: j.ID, route: j.route.Name, fallback: &state})
		return
	}
	c.reply(h, state)
}

// cancel ends a job at the request of a caller, whichever instance is its home.
func (c *Control) cancel(m Cancel) {
	j, ok := c.home.jobs.Get(m.ID)
	switch {
	case !ok && c.lookupsFull():
		c.refuseLookup(lookup{handle: m.Handle, id: m.ID})
	case !ok:
		c.broadcastCancel(m.ID)
		c.home.pendingCancels = append(c.home.pendingCancels, delayedLookup{lookup: lookup{handle: m.Handle, id: m.ID, route: m.Route, cancel: true}, at: c.now.Add(cancelDelay)})
	case j.stored == nil:
		c.cancelLocal(m.ID)
		c.reply(m.Handle, Answer{Status: Cancelled})
	default:
		if j.stored.phase == accepting {
			c.broadcastCancel(m.ID) // the job may have another home
		}
		j.stored.pendingCancels = append(j.stored.pendingCancels, m.Handle)
		c.cancelLocal(m.ID)
	}
}

// lookUpCancels answers the callers that wait for the cancellation of a stored job from its rows.
//
// This keeps an invariant: a cancellation that waits for a job is answered, however the job leaves
// this instance. Only finishStored knows the answer.
func (c *Control) lookUpCancels(j *job) {
	handles := j.stored.pendingCancels
	j.stored.pendingCancels = nil
	for _, h := range handles {
		c.lookup(lookup{handle: h, id: j.ID, route: j.route.Name, cancel: true})
	}
}

// delayedLookup is a cancellation that waits until at, so that the job's home can carry
// it out first.
type delayedLookup struct {
	lookup
	at time.Time
}

// runCancels starts the delayed cancellations that are due.
func (c *Control) runCancels() {
	for len(c.home.pendingCancels) > 0 && !c.now.Before(c.home.pendingCancels[0].at) {
		l := c.home.pendingCancels[0].lookup
		c.home.pendingCancels = c.home.pendingCancels[1:]
		c.lookup(l)
	}
}

// cancelLocal cancels a job if this instance is its home.
func (c *Control) cancelLocal(id workload.JobID) {
	j, ok := c.home.jobs.Get(id)
	switch {
	case !ok:
	case j.stored == nil:
		c.close(j, Answer{Status: Cancelled, Reason: cancelReason})
	case j.stored.finalStatus == 0:
		c.endStored(j, Cancelled, cancelReason)
	}
}

// noneWaiting reports whether, according to the last heartbeat of a job's home, none of
// its jobs of this route waits.
func (c *Control) noneWaiting(row *OpenRow) bool {
	m, ok := c.membership.members.Get(row.Home.Instance)
	return ok && m.id == row.Home && c.reachable(m.id) && m.heartbeat.Waiting[row.Route] == 0
}
