package placement

import (
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/table"
	"crocusseam/pkg/workload"
)

// listing is the list of endpoints. One instance reads it from the store and
// passes it on to one instance of each other failure domain, and each of these
// passes it on within its domain, as what has changed. An instance that has not
// heard it for a while reads it until it hears it again from one that goes before
// it.
type listing struct {
	entries  *table.Table[string, listedEntry] // as last passed on, and those gone since the floor
	sequence uint64                            // counts the lists that differed from the one before
	floor    uint64                            // changes after this sequence are known
	freshAt  time.Time
	from     instance.ID                // who has read or passed on the list that was last taken
	reading  bool                       // no list was heard from one that goes before
	heard    map[instance.ID]*heardList // as last passed on by others
}

// listedEntry is an entry of the list with the sequence of its last change.
type listedEntry struct {
	endpoint workload.Endpoint
	changed  uint64
	gone     bool
}

// heardList is the list as an instance has passed it on.
type heardList struct {
	sequence  uint64
	endpoints *table.Table[string, workload.Endpoint]
}

// Bounds of the list.
const (
	// listTerm is how long a list counts as fresh: three reads of the reader, within
	// the time that a leaving endpoint may be given work.
	listTerm = 2200 * time.Millisecond
	// listStagger is how much later than the one before it each instance of a domain
	// takes the list as lost, so that one of them reads it for all.
	listStagger = 200 * time.Millisecond
	maxStagger  = 5 // instances that are told apart so
	// smallStart is how long an instance that holds nothing waits for the list of
	// another when it starts.
	smallStart = 700 * time.Millisecond
	maxGone    = 10_000 // entries that are kept for those that do not know of their end
)

func newListing() listing {
	return listing{entries: table.New[string, listedEntry](), heard: make(map[instance.ID]*heardList)}
}

// listed takes a list that this instance has read, and passes it on.
func (c *Control) listed(m Listed) {
	c.takeList(m.Endpoints)
	c.listing.from = c.self
	c.listing.update(m.Endpoints)
	c.passOn(true)
}

// passOn sends the list to the members of this failure domain, and one that was
// read here to the first of each other domain.
func (c *Control) passOn(read bool) {
	relays := make(map[string]*member)
	for _, m := range c.roster.members.All() {
		switch {
		case !c.hears(m):
		case m.row.Domain == c.config.Domain:
			c.sendList(m)
		case relays[m.row.Domain] == nil || m.before(relays[m.row.Domain].row.Share, relays[m.row.Domain].id.Instance):
			relays[m.row.Domain] = m
		}
	}
	if !read {
		return
	}
	for _, m := range c.roster.members.All() {
		if relays[m.row.Domain] == m {
			c.sendList(m)
		}
	}
}

// hears reports whether a member can be expected to hear this instance.
func (c *Control) hears(m *member) bool {
	return m.up && m.suspected.IsZero() && !m.beat.Leaving
}

// update notes how a list differs from the one before.
func (l *listing) update(list []workload.Endpoint) {
	next := l.sequence + 1
	changed := false
	present := make(map[string]bool, len(list))
	for i := range list {
		name := list[i].ID.Name
		present[name] = true
		if old, ok := l.entries.Get(name); ok && !old.gone && old.endpoint.Equal(&list[i]) {
			continue
		}
		changed = true
		l.entries.Put(name, listedEntry{endpoint: list[i], changed: next})
	}
	gone := 0
	for name, e := range l.entries.All() {
		if !present[name] && !e.gone {
			changed = true
			e = listedEntry{changed: next, gone: true}
			l.entries.Put(name, e)
		}
		if e.gone {
			gone++
		}
	}
	if changed {
		l.sequence = next
	}
	if gone > maxGone {
		l.forgetGone()
	}
}

func (l *listing) forgetGone() {
	l.floor = l.sequence
	for name, e := range l.entries.All() {
		if e.gone {
			l.entries.Delete(name)
		}
	}
}

// sendList sends a member the list, as what has changed since it was last sent.
func (c *Control) sendList(to *member) {
	l := &c.listing
	message := &Listing{Sequence: l.sequence, Base: to.listSequence}
	if message.Base < l.floor {
		message.Base = 0
	}
	for name, e := range l.entries.All() {
		switch {
		case e.changed <= message.Base:
		case !e.gone:
			message.Endpoints = append(message.Endpoints, e.endpoint)
		case message.Base > 0:
			message.Gone = append(message.Gone, name)
		}
	}
	to.listSequence = l.sequence
	c.send(to.id, message)
}

// heardList takes a list that another instance has passed on. What comes from
// another domain is for all of this one.
func (c *Control) heardList(from instance.ID, m *Listing) {
	l := &c.listing
	sender, ok := c.roster.members.Get(from.Instance)
	if !ok || sender.id != from {
		return
	}
	h := l.heard[from]
	switch {
	case m.Base == 0:
		h = &heardList{endpoints: table.New[string, workload.Endpoint]()}
		l.heard[from] = h
	case h == nil || h.sequence != m.Base:
		c.decide("list of endpoints ignored", zap.Stringer("Peer", from), zap.Uint64("Base", m.Base))
		return
	}
	h.sequence = m.Sequence
	for i := range m.Endpoints {
		h.endpoints.Put(m.Endpoints[i].ID.Name, m.Endpoints[i])
	}
	for _, name := range m.Gone {
		h.endpoints.Delete(name)
	}
	if l.reading && sender.before(c.config.Share, c.self.Instance) {
		l.reading = false
		c.decide("list of endpoints read elsewhere", zap.Stringer("Peer", from))
	}
	relays := sender.row.Domain != c.config.Domain
	if len(m.Endpoints)+len(m.Gone)+len(c.holder.missing) == 0 && m.Base > 0 && l.from == from {
		l.freshAt = c.now
	} else {
		list := make([]workload.Endpoint, 0, h.endpoints.Len())
		for _, e := range h.endpoints.All() {
			list = append(list, e)
		}
		l.from = from
		c.takeList(list)
		if relays {
			l.update(list)
		}
	}
	if relays {
		c.passOn(false)
	}
}

// greetWithList sends a member that has just met this one the list, if it is on
// this instance to pass it on.
func (c *Control) greetWithList(to *member) {
	if c.listing.sequence > 0 && to.row.Domain == c.config.Domain && c.listRank() == 0 {
		c.sendList(to)
	}
}

// listRank counts the members of the domain that go before this instance.
func (c *Control) listRank() int {
	rank := 0
	for _, m := range c.roster.members.All() {
		if c.hears(m) && m.row.Domain == c.config.Domain && m.before(c.config.Share, c.self.Instance) {
			rank++
		}
	}
	return rank
}

// before reports whether a member goes before an instance of this size and name
// in reading the list: the larger one does.
func (m *member) before(share int, name string) bool {
	return m.row.Share > share || (m.row.Share == share && m.id.Instance < name)
}

// runListing lets this instance read the list when nobody that goes before it has
// passed one on for a while.
func (c *Control) runListing() {
	l := &c.listing
	if l.reading || c.now.Sub(l.freshAt) < listTerm || c.now.Sub(l.freshAt) < listTerm+time.Duration(min(c.listRank(), maxStagger))*listStagger {
		return
	}
	l.reading = true
	c.decide("list of endpoints read here", zap.Duration("Age", c.now.Sub(l.freshAt)))
}
