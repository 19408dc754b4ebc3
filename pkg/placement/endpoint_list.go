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

// endpointList distributes the endpoint list. One instance reads it from discovery
// and sends the changes to the other instances of its failure domain and to one instance
// of each other domain, which forwards them within its domain. An instance that has not
// received the list for a while reads it itself, until it receives it from an instance
// that precedes it.
type endpointList struct {
	changes     *table.TrackedTable[string, workload.Endpoint] // as last sent to others
	forwardedAt time.Time
	refreshedAt time.Time                                              // when the list was last read or received
	source      instance.ID                                            // instance that read or sent the list in use
	orphanedAt  time.Time                                              // since when that instance is not available; zero while it is
	reading     bool                                                   // this instance reads the list
	copies      map[instance.ID]*table.Copy[string, workload.Endpoint] // sender -> its list
}

const (
	// listMaxAge is how long a list counts as fresh: long enough for three reads, and
	// shorter than the time in which a leaving endpoint may still be given work.
	listMaxAge = 2200 * time.Millisecond
	// sourceTakeover is how long the list of another domain may take to come from the next reader
	// there, once its source is lost.
	sourceTakeover = 250 * time.Millisecond
	// readStagger is added to listMaxAge for each instance of the domain that precedes
	// this one, so that only one of them begins to read the list.
	readStagger  = 200 * time.Millisecond
	maxStaggered = 5 // largest number of preceding instances that count for readStagger
	// noShareStartWait is how long an instance that holds no endpoints waits for the list
	// of another instance when it starts.
	noShareStartWait  = 300 * time.Millisecond
	maxRemovedEntries = 10_000 // removed entries kept for peers that do not know of the removal
)

func newEndpointList() endpointList {
	equal := func(a, b workload.Endpoint) bool { return a.Equal(&b) }
	return endpointList{
		changes: table.NewTrackedTable[string](equal, maxRemovedEntries), copies: make(map[instance.ID]*table.Copy[string, workload.Endpoint]),
	}
}

func endpointName(e workload.Endpoint) string { return e.ID.Name }

// endpointsByName iterates over the endpoints of a list with their names.
func endpointsByName(list []workload.Endpoint) iter.Seq2[string, workload.Endpoint] {
	return func(yield func(string, workload.Endpoint) bool) {
		for _, e := range list {
			if !yield(e.ID.Name, e) {
				return
			}
		}
	}
}

// handleListed uses a list that this instance has read, and forwards it.
func (c *Control) handleListed(m Listed) {
	c.applyEndpointList(m.Endpoints)
	c.endpointList.source = c.self
	c.endpointList.changes.Replace(endpointsByName(m.Endpoints))
	c.forwardList(true)
}

// forwardList sends the list to the members of this failure domain. A list that this
// instance has read also goes to the first member of each other domain.
func (c *Control) forwardList(read bool) {
	c.endpointList.forwardedAt = c.now
	first := make(map[string]*member)
	for _, m := range c.membership.members.All() {
		switch {
		case !c.available(m):
		case m.row.Domain == c.config.Domain:
			c.sendList(m)
		case first[m.row.Domain] == nil || m.precedes(first[m.row.Domain].row.Share, first[m.row.Domain].id.Instance):
			first[m.row.Domain] = m
		}
	}
	if !read {
		return
	}
	for _, m := range c.membership.members.All() {
		if first[m.row.Domain] == m {
			c.sendList(m)
		}
	}
}

// available reports whether a member is expected to receive messages and to stay: it
// has a session, is not suspected and is not leaving.
func (c *Control) available(m *member) bool {
	return m.hasSession && m.suspectedSince.IsZero() && !m.heartbeat.Leaving
}

// sendList sends a member the changes of the list since the last one sent to it.
func (c *Control) sendList(to *member) {
	message := &EndpointList{c.endpointList.changes.Since(to.listSentSequence)}
	to.listSentSequence = message.Sequence
	c.send(to.id, message)
}

// handleEndpointList uses a list that another instance has sent. A list from another
// domain is forwarded to all members of this one.
func (c *Control) handleEndpointList(source instance.ID, m *EndpointList) {
	l := &c.endpointList
	sender, ok := c.membership.members.Get(source.Instance)
	if !ok || sender.id != source {
		return
	}
	received, ok := l.copies[source]
	if !ok {
		received = table.NewCopy(endpointName)
		l.copies[source] = received
	}
	if !received.Apply(m.Difference) {
		// The changes do not fit the copy; a new session begins with the whole list.
		c.logEvent("list of endpoints ignored", zap.Stringer("Peer", source), zap.Uint64("Base", m.Base))
		c.emit(DropSession{Peer: source})
		return
	}
	if l.reading && sender.precedes(c.config.Share, c.self.Instance) {
		l.reading = false
		c.logEvent("list of endpoints read elsewhere", zap.Stringer("Peer", source))
	}
	fromOtherDomain := sender.row.Domain != c.config.Domain
	if m.Empty() && len(c.holder.missingSince) == 0 && l.source == source {
		l.refreshedAt = c.now
	} else {
		l.source = source
		c.applyEndpointList(slices.Collect(values(received.Rows.All())))
		if fromOtherDomain {
			l.changes.Replace(received.Rows.All())
		}
	}
	if fromOtherDomain {
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

// sendInitialList sends the list to a member with a new session, if this instance is the
// first of the member's domain. A list that is not fresh is not sent, as it may contain
// endpoints that have left.
func (c *Control) sendInitialList(to *member) {
	if c.now.Sub(c.endpointList.forwardedAt) < listMaxAge && to.row.Domain == c.config.Domain && c.listRank() == 0 {
		c.sendList(to)
	}
}

// listRank returns the number of available members of the domain that precede this
// instance.
func (c *Control) listRank() int {
	rank := 0
	for _, m := range c.membership.members.All() {
		if c.available(m) && m.row.Domain == c.config.Domain && m.precedes(c.config.Share, c.self.Instance) {
			rank++
		}
	}
	return rank
}

// precedes reports whether a member comes before an instance with this share and name
// in the order of reading the list: larger shares first, then by name.
func (m *member) precedes(share int, name string) bool {
	return m.row.Share > share || (m.row.Share == share && m.id.Instance < name)
}

// runEndpointList makes this instance read the list when it has not received a fresh one for
// listMaxAge and its stagger, or when the instance that it comes from is lost and this one is the
// first of its domain.
//
// This keeps an invariant: after the loss of any one instance, each other one has a list in time not
// to use an endpoint that has begun to drain just before the loss.
func (c *Control) runEndpointList() {
	l := &c.endpointList
	c.noteListSource()
	if l.reading || !c.listDue() {
		return
	}
	l.reading = true
	c.logEvent("list of endpoints read here", zap.Duration("Age", c.now.Sub(l.refreshedAt)), zap.Bool("SourceLost", !l.orphanedAt.IsZero()))
}

// noteListSource notes since when the source of the list is not available.
func (c *Control) noteListSource() {
	l := &c.endpointList
	if l.source == (instance.ID{}) || l.source == c.self || c.reachable(l.source) {
		l.orphanedAt = time.Time{}
	} else if l.orphanedAt.IsZero() {
		l.orphanedAt = c.now
	}
}

// listDue reports whether this instance has to read the list.
func (c *Control) listDue() bool {
	l := &c.endpointList
	if age := c.now.Sub(l.refreshedAt); age >= listMaxAge {
		return age >= listMaxAge+time.Duration(min(c.listRank(), maxStaggered))*readStagger
	}
	if l.orphanedAt.IsZero() || c.listRank() > 0 {
		return false
	}
	wait := time.Duration(0)
	if m, ok := c.membership.members.Get(l.source.Instance); ok && m.row.Domain != c.config.Domain {
		wait = sourceTakeover
	}
	return c.now.Sub(l.orphanedAt) >= wait
}
