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
type endpointList struct {
	changes     *table.TrackedTable[string, workload.Endpoint] // as last passed on
	forwardedAt time.Time
	refreshedAt time.Time                                              // when a list was last read or heard
	source      instance.ID                                            // who has read or passed on the list that was last taken
	reading     bool                                                   // no list was heard from one that goes before
	copies      map[instance.ID]*table.Copy[string, workload.Endpoint] // as last passed on by others
}

// Bounds of the list.
const (
	// listTerm is how long a list counts as fresh: three reads of the reader, within
	// the time that a leaving endpoint may be given work.
	listMaxAge = 2200 * time.Millisecond
	// listStagger is how much later than the one before it each instance of a domain
	// takes the list as lost, so that one of them reads it for all.
	readStagger  = 200 * time.Millisecond
	maxStaggered = 5 // instances that are told apart so
	// smallStart is how long an instance that holds nothing waits for the list of
	// another when it starts.
	noShareStartWait  = 300 * time.Millisecond
	maxRemovedEntries = 10_000 // entries that are kept for those that do not know of their end
)

func newEndpointList() endpointList {
	equal := func(a, b workload.Endpoint) bool { return a.Equal(&b) }
	return endpointList{
		changes: table.NewTrackedTable[string](equal, maxRemovedEntries), copies: make(map[instance.ID]*table.Copy[string, workload.Endpoint]),
	}
}

func endpointName(e workload.Endpoint) string { return e.ID.Name }

// byName iterates over endpoints by their names.
func endpointsByName(list []workload.Endpoint) iter.Seq2[string, workload.Endpoint] {
	return func(yield func(string, workload.Endpoint) bool) {
		for _, e := range list {
			if !yield(e.ID.Name, e) {
				return
			}
		}
	}
}

// listed takes a list that this instance has read, and passes it on.
func (c *Control) handleListed(m Listed) {
	c.applyEndpointList(m.Endpoints)
	c.endpointList.source = c.self
	c.endpointList.changes.Replace(endpointsByName(m.Endpoints))
	c.forwardList(true)
}

// passOn sends the list to the members of this failure domain, and one that was
// read here to the first of each other domain.
func (c *Control) forwardList(read bool) {
	c.endpointList.forwardedAt = c.now
	relays := make(map[string]*member)
	for _, m := range c.membership.members.All() {
		switch {
		case !c.available(m):
		case m.row.Domain == c.config.Domain:
			c.sendList(m)
		case relays[m.row.Domain] == nil || m.precedes(relays[m.row.Domain].row.Share, relays[m.row.Domain].id.Instance):
			relays[m.row.Domain] = m
		}
	}
	if !read {
		return
	}
	for _, m := range c.membership.members.All() {
		if relays[m.row.Domain] == m {
			c.sendList(m)
		}
	}
}

// hears reports whether a member can be expected to hear this instance.
func (c *Control) available(m *member) bool {
	return m.hasSession && m.suspectedSince.IsZero() && !m.heartbeat.Leaving
}

// sendList sends a member the list, as what has changed since it was last sent.
func (c *Control) sendList(to *member) {
	message := &EndpointList{c.endpointList.changes.Since(to.listSentSequence)}
	to.listSentSequence = message.Sequence
	c.send(to.id, message)
}

// heardList takes a list that another instance has passed on. What comes from
// another domain is for all of this one.
func (c *Control) handleEndpointList(from instance.ID, m *EndpointList) {
	l := &c.endpointList
	sender, ok := c.membership.members.Get(from.Instance)
	if !ok || sender.id != from {
		return
	}
	h, ok := l.copies[from]
	if !ok {
		h = table.NewCopy(endpointName)
		l.copies[from] = h
	}
	if !h.Apply(m.Difference) {
		// A new session begins with the whole of it.
		c.logEvent("list of endpoints ignored", zap.Stringer("Peer", from), zap.Uint64("Base", m.Base))
		c.emit(DropSession{Peer: from})
		return
	}
	if l.reading && sender.precedes(c.config.Share, c.self.Instance) {
		l.reading = false
		c.logEvent("list of endpoints read elsewhere", zap.Stringer("Peer", from))
	}
	relays := sender.row.Domain != c.config.Domain
	if m.Empty() && len(c.holder.missingSince) == 0 && l.source == from {
		l.refreshedAt = c.now
	} else {
		l.source = from
		c.applyEndpointList(slices.Collect(values(h.Rows.All())))
		if relays {
			l.changes.Replace(h.Rows.All())
		}
	}
	if relays {
		c.forwardList(false)
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
func (c *Control) sendInitialList(to *member) {
	if c.now.Sub(c.endpointList.forwardedAt) < listMaxAge && to.row.Domain == c.config.Domain && c.listRank() == 0 {
		c.sendList(to)
	}
}

// listRank counts the members of the domain that go before this instance.
func (c *Control) listRank() int {
	rank := 0
	for _, m := range c.membership.members.All() {
		if c.available(m) && m.row.Domain == c.config.Domain && m.precedes(c.config.Share, c.self.Instance) {
			rank++
		}
	}
	return rank
}

// before reports whether a member goes before an instance of this size and name
// in reading the list: the larger one does.
func (m *member) precedes(share int, name string) bool {
	return m.row.Share > share || (m.row.Share == share && m.id.Instance < name)
}

// runListing lets this instance read the list when nobody that goes before it has
// passed one on for a while.
func (c *Control) runEndpointList() {
	l := &c.endpointList
	if l.reading || c.now.Sub(l.refreshedAt) < listMaxAge || c.now.Sub(l.refreshedAt) < listMaxAge+time.Duration(min(c.listRank(), maxStaggered))*readStagger {
		return
	}
	l.reading = true
	c.logEvent("list of endpoints read here", zap.Duration("Age", c.now.Sub(l.refreshedAt)))
}
