package placement

import (
	"reflect"
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/workload"
)

// listing is the list of endpoints. One instance of a failure domain reads it
// from the store and passes it on to the others; each of them reads it itself
// when it has not heard it for a while.
type listing struct {
	list    []workload.Endpoint
	version uint64 // counts the lists that differed from the one before
	freshAt time.Time
	lists   map[instance.ID][]workload.Endpoint // as last passed on by others
}

// listTerm is how long a list counts as fresh: three reads of the reader, within
// the time that a leaving endpoint may be given work.
const listTerm = 2200 * time.Millisecond

// listed takes a list that this instance has read, and passes it on.
func (c *Control) listed(m Listed) {
	l := &c.listing
	if l.version == 0 || !reflect.DeepEqual(l.list, m.Endpoints) {
		l.version++
		l.list = m.Endpoints
	}
	c.takeList(m.Endpoints)
	for _, p := range c.roster.members.All() {
		if !p.up || !p.suspected.IsZero() || p.row.Domain != c.config.Domain {
			continue
		}
		message := &Listing{Full: p.listVersion != l.version}
		if message.Full {
			message.Endpoints = l.list
			p.listVersion = l.version
		}
		c.send(p.id, message)
	}
}

// heardList takes a list that another instance has read.
func (c *Control) heardList(from instance.ID, m *Listing) {
	if m.Full {
		c.listing.lists[from] = m.Endpoints
	}
	list, ok := c.listing.lists[from]
	if !ok {
		c.decide("list of endpoints ignored", zap.Stringer("Peer", from))
		return
	}
	c.takeList(list)
}

// readsList reports whether this instance is to read the list: it is the reader
// of its domain, or has no fresh list.
func (c *Control) readsList() bool {
	if c.now.Sub(c.listing.freshAt) >= listTerm {
		return true
	}
	for _, m := range c.roster.members.All() {
		if m.up && m.suspected.IsZero() && !m.beat.Leaving && m.row.Domain == c.config.Domain &&
			(m.row.Share > c.config.Share || (m.row.Share == c.config.Share && m.id.Instance < c.self.Instance)) {
			return false
		}
	}
	return true
}
