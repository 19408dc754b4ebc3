package dispatch

import (
	"errors"
	"time"

	"crocusseam/pkg/storage"
	"crocusseam/pkg/submission"
)

// Bounds of the reads for callers.
//
// This keeps an invariant: however many callers ask for submissions that are not known here, and leave, the instance's
// own calls do not wait behind more than maxReads reads, whose time-outs would count as failures of the platform.

const (
	maxReads       = 128  // at a time, two for each connection that an instance has to the platform
	maxQueuedReads = 4000 // beyond which callers that ask for an answer, or cancel, are refused
)

var errReadQueued = errors.New("too many rows are being read")

// queuedRead is a read that waits until fewer are going on.
type queuedRead struct {
	key    string
	since  time.Time
	wanted func() bool
	done   func(storage.Row, error)
}

// get reads one row of the table.
func (c *Control) get(key string, done func(storage.Row, error)) {
	c.claims.lastID++
	c.claims.gets.Put(c.claims.lastID, done)
	c.emit(Get{ID: c.claims.lastID, Key: key})
}

// getForCaller reads one row of the table when it is its turn, unless it is not wanted any more by then.
func (c *Control) getForCaller(key string, wanted func() bool, done func(storage.Row, error)) {
	w := &c.claims
	if w.gets.Len() >= maxReads {
		w.queuedReads = append(w.queuedReads, queuedRead{key, c.now, wanted, done})
		return
	}
	c.get(key, done)
}

// refuseUnread refuses a request that needs a read if too many wait, and reports whether it did.
func (c *Control) refuseUnread(h Handle) bool {
	if len(c.claims.queuedReads) < maxQueuedReads {
		return false
	}
	c.counters.ReadsRefused++
	c.reply(h, submission.Reply{Refusal: &submission.Refusal{Reason: submission.Overloaded, RetryAfter: memoryRetryAfter, Detail: errReadQueued.Error()}})
	return true
}

// getDone passes the row that was read to the callback of get, and starts reads that wait.
func (c *Control) getDone(m GetDone) {
	w := &c.claims
	done, ok := w.gets.Get(m.ID)
	if !ok {
		return
	}
	w.gets.Delete(m.ID)
	c.recordPlatformResult(m.Err)
	done(m.Row, m.Err)
	for w.gets.Len() < maxReads && len(w.queuedReads) > 0 {
		q := w.queuedReads[0]
		w.queuedReads[0] = queuedRead{}
		w.queuedReads = w.queuedReads[1:]
		switch {
		case !q.wanted():
		case c.now.Sub(q.since) > c.config.Timing.ClaimWait:
			q.done(storage.Row{}, errReadQueued)
		default:
			c.get(q.key, q.done)
		}
	}
}
