// Package hold decides which instance may send orders to an endpoint. One
// instance holds each endpoint: a row of the platform's table names the holder,
// and the row's version is the fencing token of its orders. An endpoint refuses
// orders with a lower token than the highest it has received, so a holder that
// was replaced while it was paused or disconnected can do no harm.
//
// Each instance computes an assignment of endpoints to the members that it
// knows. Members may know different sets, so the assignment alone gives no hold:
// an instance holds an endpoint only after a conditional write of its row. It
// asks a live holder to yield, and takes the row only of a dead one.
package hold

import (
	"time"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/slots"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/table"
	"crocusseam/pkg/workload"
)

// Config configures a Registry.
type Config struct {
	Self   instance.ID
	Domain string
	// Share is the relative size of the instance. One of size 0 holds endpoints
	// only where its domain has no larger one.
	Share int
	// YieldRequestPeriod is the least time between two requests to yield the same
	// endpoint, and between two probes of it.
	YieldRequestPeriod time.Duration
	// YieldTerm is how long a yielded endpoint stays reserved for the instance that
	// requested it, and how long a successful probe remains valid.
	YieldTerm time.Duration
}

// Member is another instance, as far as this one knows.
type Member struct {
	ID     instance.ID
	Domain string
	Share  int
	// Dead is true if neither its sessions nor its row show that it is alive.
	Dead bool
	// Leaving is true during a planned stop, when it yields the endpoints it holds.
	Leaving bool
	// Settled is true once it has been up long enough to be assigned endpoints.
	Settled bool
}

type state int

const (
	notHeld  state = iota // held by another instance, or by none
	taking                // a commit that takes it is in progress
	held                  // this instance's orders carry the token
	yielding              // held, but no new task starts: another instance has requested it
)

// entry is the state of one endpoint's hold.
type entry struct {
	endpoint         workload.Endpoint
	state            state
	version          storage.Version // of the row, as last read
	row              Row             // as last read
	rowKnown         bool            // version and row have been read or received
	yieldTo          instance.ID
	yieldedAt        time.Time // when this instance yielded it to another
	requestedAt      time.Time
	takeSentAt       time.Time
	reachedAt        time.Time // time of the last successful probe
	incarnationEnded bool      // the listed incarnation has ended
}

// Registry keeps the holds of all endpoints, as far as this instance knows them.
type Registry struct {
	config          Config
	entries         *table.Table[string, *entry]
	members         []Member
	assignment      map[string]string
	assignmentStale bool            // the assignment must be recomputed
	unread          map[string]bool // domains whose rows are being read
	leaving         bool
	settled         bool
}

// New returns an empty registry.
func New(config Config) *Registry {
	return &Registry{config: config, entries: table.New[string, *entry](), assignment: make(map[string]string), unread: make(map[string]bool)}
}

// AssignmentStale reports whether the assignment must be recomputed.
func (r *Registry) AssignmentStale() bool { return r.assignmentStale }

// Settle allows this instance to take any hold that is assigned to it. Call it
// once the other members are known.
func (r *Registry) Settle() { r.settled, r.assignmentStale = true, true }

// Leave begins a planned stop: this instance takes no more holds.
func (r *Registry) Leave() { r.leaving, r.assignmentStale = true, true }

// SetUnread says whether the rows of a domain still have to be read. Until they are, Plan
// leaves the endpoints of that domain alone.
func (r *Registry) SetUnread(domain string, unread bool) {
	if unread {
		r.unread[domain] = true
		return
	}
	delete(r.unread, domain)
}

// SetMembers replaces the other members.
func (r *Registry) SetMembers(members []Member) {
	r.members = members
	r.assignmentStale = true
}

// SetEndpoints replaces the endpoints and returns the names of those whose
// holds have ended, because the endpoint is gone or has a new incarnation.
func (r *Registry) SetEndpoints(endpoints []workload.Endpoint) (ended []string) {
	present := make(map[string]bool, len(endpoints))
	for i := range endpoints {
		e := &endpoints[i]
		present[e.ID.Name] = true
		old, ok := r.entries.Get(e.ID.Name)
		if !ok {
			r.entries.Put(e.ID.Name, &entry{endpoint: *e})
			r.assignmentStale = true
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
	for name, e := range r.entries.All() {
		if present[name] {
			continue
		}
		if e.state != notHeld {
			ended = append(ended, name)
		}
		r.entries.Delete(name)
		r.assignmentStale = true
	}
	return ended
}

// Token returns the fencing token of an endpoint that this instance holds, and
// whether new work may be started there.
func (r *Registry) Token(endpoint string) (token workload.Token, mayStart bool) {
	e, ok := r.entries.Get(endpoint)
	if !ok || (e.state != held && e.state != yielding) {
		return 0, false
	}
	return e.version, e.state == held
}

// Fenced records that an endpoint has received a higher token: this instance has
// lost the hold for good.
func (r *Registry) Fenced(endpoint string) {
	if e, ok := r.entries.Get(endpoint); ok && e.state != taking {
		e.state = notHeld
		e.rowKnown = false
	}
}

// IncarnationEnded records that the listed incarnation of an endpoint has ended:
// the hold is lost, and this instance doesn't take it again before discovery
// lists the next incarnation.
func (r *Registry) IncarnationEnded(endpoint string) {
	r.Fenced(endpoint)
	if e, ok := r.entries.Get(endpoint); ok {
		e.incarnationEnded = true
	}
}

// assign gives each endpoint to a live member of its domain, or of any domain if
// its own has none. Of either group, members of share 0 count only if the group
// has no larger one.
func (r *Registry) assign() {
	r.assignmentStale = false
	byDomain := make(map[string][]slots.Member)
	smallByDomain := make(map[string][]slots.Member)
	var all, allSmall []slots.Member
	add := func(domain string, m slots.Member) {
		if m.Capacity < 1 {
			smallByDomain[domain] = append(smallByDomain[domain], m)
			allSmall = append(allSmall, m)
			return
		}
		byDomain[domain] = append(byDomain[domain], m)
		all = append(all, m)
	}
	if !r.leaving {
		add(r.config.Domain, slots.Member{Instance: r.config.Self.Instance, Capacity: r.config.Share})
	}
	for i := range r.members {
		m := &r.members[i]
		if !m.Dead && !m.Leaving && m.Settled {
			add(m.Domain, slots.Member{Instance: m.ID.Instance, Capacity: m.Share})
		}
	}
	namesByDomain := make(map[string][]slots.Name)
	for name, e := range r.entries.All() {
		namesByDomain[e.endpoint.Domain] = append(namesByDomain[e.endpoint.Domain], slots.Name(name))
	}
	r.assignment = make(map[string]string, r.entries.Len())
	for domain, names := range namesByDomain {
		members := byDomain[domain]
		for _, others := range [][]slots.Member{smallByDomain[domain], all, allSmall} {
			if len(members) == 0 {
				members = others
			}
		}
		for name, holder := range slots.Assign(names, members) {
			r.assignment[string(name)] = holder
		}
	}
}

func (r *Registry) member(id instance.ID) (Member, bool) {
	for _, m := range r.members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// isDead reports whether a holder named in a row can no longer send orders: it
// is an earlier incarnation of this or of another instance, a dead member, or not
// a member at all.
func (r *Registry) isDead(id instance.ID) bool {
	if id.Instance == r.config.Self.Instance {
		return id.Incarnation < r.config.Self.Incarnation
	}
	for _, m := range r.members {
		if m.ID.Instance == id.Instance {
			return m.Dead || m.ID.Incarnation > id.Incarnation
		}
	}
	return true
}
