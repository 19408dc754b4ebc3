package placement

import (
	"errors"
	"time"

	"crocusseam/pkg/table"
)

// Bounds of the lookups of callers.
//
// This keeps an invariant: however many callers ask for jobs that are not open here, and leave, the
// instance's own calls do not wait behind more than maxLookupReads reads for them.

const (
	maxLookupReads   = 32              // at a time, two for each connection that an instance has to the store
	maxQueuedLookups = 4000            // with the delayed cancellations; a caller that waits has one
	maxLookupWait    = 3 * time.Second // in the queue
)

var errLookupsQueued = errors.New("too many callers ask for jobs that are not open here")

// lookupQueue holds the lookups that wait for a read.
type lookupQueue struct {
	reading int
	queued  *table.Table[Handle, queuedLookup]
}

type queuedLookup struct {
	lookup
	since time.Time
}

// lookup answers a caller from the rows of a job, when it is its turn.
func (c *Control) lookup(l lookup) {
	q := &c.home.lookups
	switch {
	case q.reading < maxLookupReads:
		c.startLookup(l)
	case c.lookupsFull():
		c.refuseLookup(l)
	default:
		q.queued.Put(l.handle, queuedLookup{l, c.now})
	}
}

// lookupsFull reports whether no further lookup may wait.
func (c *Control) lookupsFull() bool {
	return c.home.lookups.queued.Len()+len(c.home.pendingCancels) >= maxQueuedLookups
}

func (c *Control) refuseLookup(l lookup) {
	c.counters.LookupsRefused++
	c.replyUnavailable(l, errLookupsQueued)
}

// readForLookup reads rows, and starts a waiting lookup when none takes its place.
func (c *Control) readForLookup(key string, handle func(ScanDone)) {
	q := &c.home.lookups
	q.reading++
	c.scan(key, func(m ScanDone) {
		q.reading--
		handle(m)
		for q.reading < maxLookupReads && q.queued.Len() > 0 {
			h, l, _ := q.queued.First()
			q.queued.Delete(h)
			if c.now.Sub(l.since) > maxLookupWait {
				c.refuseLookup(l.lookup)
				continue
			}
			c.startLookup(l.lookup)
		}
	})
}

// abandonLookup drops the waiting question of a caller that has left. Its cancellation goes on.
func (c *Control) abandonLookup(h Handle) {
	if l, ok := c.home.lookups.queued.Get(h); ok && !l.cancel {
		c.home.lookups.queued.Delete(h)
	}
}
