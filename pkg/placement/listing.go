package placement

import (
	"iter"
	"slices"
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
	list     *table.Changes[string, workload.Endpoint] // as last passed on
	passedAt time.Time
	freshAt  time.Time                                              // when a list was last read or heard
	from     instance.ID                                            // who has read or passed on the list that was last taken
	reading  bool                                                   // no list was heard from one that goes before
	heard    map[instance.ID]*table.Copy[string, workload.Endpoint] // as last passed on by others
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
	smallStart = 300 * time.Millisecond
	maxGone    = 10_000 // entries that are kept for those that do not know of their end
)

func newListing() listing {
	equal := func(a, b workload.Endpoint) bool { return a.Equal(&b) }
	return listing{
		list: table.NewChanges[string](equal, maxGone), heard: make(map[instance.ID]*table.Copy[string, workload.Endpoint]),
	}
}

func endpointName(e workload.Endpoint) string { return e.ID.Name }

// byName iterates over endpoints by their names.
func byName(list []workload.Endpoint) iter.Seq2[string, workload.Endpoint] {
	return func(yield func(string, workload.Endpoint) bool) {
		for _, e := range list {
			if !yield(e.ID.Name, e) {
				return
			}
		}
	}
}

// listed takes a list that this instance has read, and passes it on.
func (c *Control) listed(m Listed) {
	c.applyEndpointList(m.Endpoints)
	c.listing.from = c.self
	c.listing.list.Replace(byName(m.Endpoints))
	c.passOn(true)
}

// passOn sends the list to the members of this failure domain, and one that was
// read here to the first of each other domain.
func (c *Control) passOn(read bool) {
	c.listing.passedAt = c.now
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

// sendList sends a member the list, as what has changed since it was last sent.
func (c *Control) sendList(to *member) {
	message := &EndpointList{c.listing.list.Since(to.listSequence)}
	to.listSequence = message.Sequence
	c.send(to.id, message)
}

// heardList takes a list that another instance has passed on. What comes from
// another domain is for all of this one.
func (c *Control) heardList(from instance.ID, m *EndpointList) {
	l := &c.listing
	sender, ok := c.roster.members.Get(from.Instance)
	if !ok || sender.id != from {
		return
	}
	h, ok := l.heard[from]
	if !ok {
		h = table.NewCopy(endpointName)
		l.heard[from] = h
	}
	if !h.Apply(m.Difference) {
		// A new session begins with the whole of it.
		c.logEvent("list of endpoints ignored", zap.Stringer("Peer", from), zap.Uint64("Base", m.Base))
		c.emit(DropSession{Peer: from})
		return
	}
	if l.reading && sender.before(c.config.Share, c.self.Instance) {
		l.reading = false
		c.logEvent("list of endpoints read elsewhere", zap.Stringer("Peer", from))
	}
	relays := sender.row.Domain != c.config.Domain
	if m.Empty() && len(c.holder.missingSince) == 0 && l.from == from {
		l.freshAt = c.now
	} else {
		l.from = from
		c.applyEndpointList(slices.Collect(values(h.Rows.All())))
		if relays {
			l.list.Replace(h.Rows.All())
		}
	}
	if relays {
		c.passOn(false)
	}
}

func values[K, V any](rows iter.Seq2[K, V]) iter.Seq[V] {
	return func(yield func(V) bool) {
		for _, v := range rows {
			if !yield(v) {
				return
			}
		}
	}
}

// greetWithList sends a member that has just met this one the list, if it is on
// this instance to pass it on. An old list may name endpoints that have left.
func (c *Control) greetWithList(to *member) {
	if c.now.Sub(c.listing.passedAt) < listTerm && to.row.Domain == c.config.Domain && c.listRank() == 0 {
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
	c.logEvent("list of endpoints read here", zap.Duration("Age", c.now.Sub(l.freshAt)))
}
