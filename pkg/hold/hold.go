// Package hold decides which instance may order an endpoint. Each endpoint is
// held by one instance: the holder is named in a row of the platform's table,
// and the row's version is the fencing token of its orders. An endpoint refuses
// orders with a lower token than it has seen, so a holder that was replaced
// while it was paused or cut off can do no harm.
//
// Who should hold what is a division by the members that an instance sees.
// Members may see different sets: the division never makes a hold, only the
// conditional write of the row does. A live holder is asked to yield; only the
// row of a dead one is taken.
package hold

import (
	"time"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/slots"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/table"
	"crocusseam/pkg/workload"
)

// Config constructs a Book.
type Config struct {
	Self   instance.ID
	Domain string
	// Share is the relative size of the instance. One of size 0 holds endpoints
	// only where its domain has no larger one.
	Share int
	// AskPeriod is the time between requests to yield.
	YieldRequestPeriod time.Duration
	// YieldTerm is how long a yielded endpoint is left to the one that asked.
	YieldTerm time.Duration
}

// Member is another instance as this one sees it.
type Member struct {
	ID     instance.ID
	Domain string
	Share  int
	// Dead says that neither its links nor its row show life.
	Dead bool
	// Leaving says that it stops in plan and yields what it holds.
	Leaving bool
	// Settled says that it has been up long enough to be given endpoints.
	Settled bool
}

type state int

const (
	notHeld  state = iota // held by another, or by nobody
	taking                // a commit is on its way
	held                  // this instance's orders carry the token
	yielding              // held, but nothing new starts: another has asked for it
)

// entry is what is known of the hold of one endpoint.
type entry struct {
	endpoint         workload.Endpoint
	state            state
	version          storage.Version // of the row, as last seen
	row              Row             // as last seen
	rowKnown         bool            // the row has been read
	yieldTo          instance.ID
	yieldedAt        time.Time // when it was left to another
	requestedAt      time.Time
	takeSentAt       time.Time
	reachedAt        time.Time // when a probe last reached it
	incarnationEnded bool      // the life that is listed has ended
}

// Book keeps the holds of all endpoints as one instance sees them.
type Registry struct {
	config          Config
	entries         *table.Table[string, *entry]
	members         []Member
	assignment      map[string]string
	assignmentStale bool // the division must be made anew
	leaving         bool
	settled         bool
}

// New returns an empty book.
func New(config Config) *Registry {
	return &Registry{config: config, entries: table.New[string, *entry](), assignment: make(map[string]string)}
}

// Changed reports whether the division is to be made anew.
func (b *Registry) AssignmentStale() bool { return b.assignmentStale }

// Settle says that this instance knows the others well enough to take holds.
func (b *Registry) Settle() { b.settled, b.assignmentStale = true, true }

// Leave says that this instance stops in plan: it takes nothing more.
func (b *Registry) Leave() { b.leaving, b.assignmentStale = true, true }

// SetMembers replaces the other members.
func (b *Registry) SetMembers(members []Member) {
	b.members = members
	b.assignmentStale = true
}

// SetEndpoints replaces the endpoints and returns the names of those whose
// holds have ended with their lives: they are gone or began a new life.
func (b *Registry) SetEndpoints(endpoints []workload.Endpoint) (ended []string) {
	present := make(map[string]bool, len(endpoints))
	for i := range endpoints {
		e := &endpoints[i]
		present[e.ID.Name] = true
		old, ok := b.entries.Get(e.ID.Name)
		if !ok {
			b.entries.Put(e.ID.Name, &entry{endpoint: *e})
			b.assignmentStale = true
			continue
		}
		if old.endpoint.ID != e.ID {
			if old.state != notHeld {
				ended = append(ended, e.ID.Name)
			}
			old.state, old.incarnationEnded = notHeld, false
		}
		old.endpoint = *e
	}
	for name, e := range b.entries.All() {
		if present[name] {
			continue
		}
		if e.state != notHeld {
			ended = append(ended, name)
		}
		b.entries.Delete(name)
		b.assignmentStale = true
	}
	return ended
}

// Token returns the fencing token of an endpoint that this instance holds, and
// whether new work may be started there.
func (b *Registry) Token(endpoint string) (token workload.Token, mayStart bool) {
	e, ok := b.entries.Get(endpoint)
	if !ok || (e.state != held && e.state != yielding) {
		return 0, false
	}
	return e.version, e.state == held
}

// Fenced says that an endpoint has seen a higher token: the hold is lost for
// good.
func (b *Registry) Fenced(endpoint string) {
	if e, ok := b.entries.Get(endpoint); ok && e.state != taking {
		e.state = notHeld
		e.rowKnown = false
	}
}

// LifeEnded says that the listed life of an endpoint has ended: the hold is lost,
// and nobody is to take it here before the next life is listed.
func (b *Registry) IncarnationEnded(endpoint string) {
	b.Fenced(endpoint)
	if e, ok := b.entries.Get(endpoint); ok {
		e.incarnationEnded = true
	}
}

// divide gives each endpoint to a live member of its domain, or of any domain
// where its own has none.
func (b *Registry) assign() {
	b.assignmentStale = false
	byDomain := make(map[string][]slots.Member)
	small := make(map[string][]slots.Member)
	var all, allSmall []slots.Member
	add := func(domain string, m slots.Member) {
		if m.Capacity < 1 {
			small[domain] = append(small[domain], m)
			allSmall = append(allSmall, m)
			return
		}
		byDomain[domain] = append(byDomain[domain], m)
		all = append(all, m)
	}
	if !b.leaving {
		add(b.config.Domain, slots.Member{Instance: b.config.Self.Instance, Capacity: b.config.Share})
	}
	for i := range b.members {
		m := &b.members[i]
		if !m.Dead && !m.Leaving && m.Settled {
			add(m.Domain, slots.Member{Instance: m.ID.Instance, Capacity: m.Share})
		}
	}
	byName := make(map[string][]slots.Name)
	for name, e := range b.entries.All() {
		byName[e.endpoint.Domain] = append(byName[e.endpoint.Domain], slots.Name(name))
	}
	b.assignment = make(map[string]string, b.entries.Len())
	for domain, names := range byName {
		members := byDomain[domain]
		for _, others := range [][]slots.Member{small[domain], all, allSmall} {
			if len(members) == 0 {
				members = others
			}
		}
		for name, holder := range slots.Assign(names, members) {
			b.assignment[string(name)] = holder
		}
	}
}

func (b *Registry) member(id instance.ID) (Member, bool) {
	for _, m := range b.members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// isDead reports whether a holder named in a row can no longer order: it is an
// earlier incarnation of this or of another instance, it shows no life, or
// nobody knows it.
func (b *Registry) isDead(id instance.ID) bool {
	if id.Instance == b.config.Self.Instance {
		return id.Incarnation < b.config.Self.Incarnation
	}
	for _, m := range b.members {
		if m.ID.Instance == id.Instance {
			return m.Dead || m.ID.Incarnation > id.Incarnation
		}
	}
	return true
}
