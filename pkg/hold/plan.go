package hold

import (
	"time"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/table"
	"crocusseam/pkg/workload"
)

// maxTakes bounds the rows of one commit. Each is a condition and a write.
const maxTakesPerCommit = storage.MaxEntries / 2

// Plan is what a book wants done.
type Plan struct {
	// Take holds the commits to make, one for a domain.
	Take []Take
	// Ask holds the endpoints to ask other holders for.
	YieldRequests *table.Table[instance.ID, []string]
	// Probe holds endpoints of other failure domains: they are taken only once
	// they were reached, so that an instance that is cut off from them does not
	// fence a holder that is not.
	Probe []workload.Endpoint
}

// Empty reports whether nothing is to be done.
func (p *Plan) Empty() bool {
	return len(p.Take) == 0 && p.YieldRequests.Len() == 0 && len(p.Probe) == 0
}

// Take is a commit that takes endpoints.
type Take struct {
	Endpoints []string
	Writes    []storage.Write
}

// Plan returns what is to be done now to come closer to the division.
func (b *Registry) Plan(now time.Time) Plan {
	if b.assignmentStale {
		b.assign()
	}
	plan := Plan{YieldRequests: table.New[instance.ID, []string]()}
	if b.leaving {
		return plan
	}
	takes := make(map[string]*Take)
	var order []string
	for name, e := range b.entries.All() {
		b.expireYield(e, now)
		if e.state == yielding && b.assignment[name] == b.config.Self.Instance {
			e.state, e.yieldTo = held, instance.ID{}
		}
		if e.state != notHeld || e.incarnationEnded || e.endpoint.Draining || !b.mayTake(name, e) {
			continue
		}
		if holder, alive := b.liveHolder(e); alive {
			if now.Sub(e.requestedAt) >= b.config.YieldRequestPeriod {
				e.requestedAt = now
				names, _ := plan.YieldRequests.Get(holder)
				plan.YieldRequests.Put(holder, append(names, name))
			}
			continue
		}
		domain := e.endpoint.Domain
		if domain != b.config.Domain && now.Sub(e.reachedAt) > b.config.YieldTerm {
			if now.Sub(e.requestedAt) >= b.config.YieldRequestPeriod {
				e.requestedAt = now
				plan.Probe = append(plan.Probe, e.endpoint)
			}
			continue
		}
		t, ok := takes[domain]
		if !ok {
			t = &Take{}
			takes[domain] = t
			order = append(order, domain)
		}
		if len(t.Writes) < maxTakesPerCommit {
			t.Endpoints = append(t.Endpoints, name)
			t.Writes = append(t.Writes, b.prepareTake(name, e, now))
		}
	}
	for _, domain := range order {
		plan.Take = append(plan.Take, *takes[domain])
	}
	return plan
}

// Reached says that an endpoint could be reached from here.
func (b *Registry) Reached(endpoint string, now time.Time) {
	if e, ok := b.entries.Get(endpoint); ok {
		e.reachedAt = now
	}
}

// expire takes an endpoint back that was yielded to an instance that has not
// taken it.
func (b *Registry) expireYield(e *entry, now time.Time) {
	if e.state == notHeld && !e.yieldedAt.IsZero() && now.Sub(e.yieldedAt) > b.config.YieldTerm {
		e.yieldedAt = time.Time{}
	}
}

// mayTake reports whether the division gives an endpoint to this instance. One
// that has just started takes at once what it held before.
func (b *Registry) mayTake(name string, e *entry) bool {
	if !b.settled {
		return e.rowKnown && e.version > 0 && e.row.Holder.Instance == b.config.Self.Instance
	}
	return b.assignment[name] == b.config.Self.Instance
}

// liveHolder returns the live instance that holds an endpoint's present life.
func (b *Registry) liveHolder(e *entry) (instance.ID, bool) {
	if !e.rowKnown || e.version == 0 || b.isDead(e.row.Holder) || e.row.Holder == b.config.Self {
		return instance.ID{}, false
	}
	return e.row.Holder, true
}

func (b *Registry) prepareTake(name string, e *entry, now time.Time) storage.Write {
	e.state, e.takeSentAt = taking, now
	row := Row{Holder: b.config.Self, Born: e.endpoint.ID.Born}
	return storage.Write{Key: Key(e.endpoint.Domain, name), Value: encodeRow(row), Expect: e.version}
}

// Taken says that a commit took effect and returns the endpoints that are held
// by it.
func (b *Registry) TakeCommitted(t Take, version storage.Version) (gained []string) {
	for _, name := range t.Endpoints {
		e, ok := b.entries.Get(name)
		if !ok || e.state != taking {
			continue
		}
		e.state, e.version, e.rowKnown = held, version, true
		e.row = Row{Holder: b.config.Self, Born: e.endpoint.ID.Born}
		e.yieldedAt = time.Time{}
		gained = append(gained, name)
	}
	return gained
}

// Refused says that a commit had no effect. Rows holds the present state of
// rows that differed; a row that is absent has version 0.
func (b *Registry) TakeFailed(t Take, rows []storage.Row) {
	for _, name := range t.Endpoints {
		if e, ok := b.entries.Get(name); ok && e.state == taking {
			e.state = notHeld
		}
	}
	b.ApplyRows(rows)
}

// Read takes rows of holds that were read. Rows that are older than what is
// known change nothing. A row that names this instance where it does not know
// itself as the holder is the effect of a commit whose answer was lost; it is
// taken again under a new version.
func (b *Registry) ApplyRows(rows []storage.Row) (damaged []error) {
	for i := range rows {
		e, ok := b.entries.Get(endpointOf(rows[i].Key))
		if !ok || e.state == held || e.state == yielding || (e.rowKnown && rows[i].Version < e.version) {
			continue
		}
		e.rowKnown = true
		e.version = rows[i].Version
		e.row = Row{}
		if e.version == 0 {
			continue
		}
		row, err := decodeRow(&rows[i])
		if err != nil {
			damaged = append(damaged, err)
			continue
		}
		e.row = row
	}
	return damaged
}

// Asked notes that a member wants an endpoint, and reports whether this
// instance holds it and will yield it once its work there has ended.
func (b *Registry) YieldRequested(from instance.ID, endpoint string) bool {
	if b.assignmentStale {
		b.assign()
	}
	e, ok := b.entries.Get(endpoint)
	if !ok || b.assignment[endpoint] == b.config.Self.Instance {
		return false
	}
	if _, known := b.member(from); !known {
		return false
	}
	switch e.state {
	case held, yielding:
		e.state, e.yieldTo = yielding, from
	case taking:
		return false
	case notHeld:
		e.yieldTo = from
	}
	return true
}

// Yield gives an endpoint to the member that asked for it, and returns that
// member. The caller makes sure that nothing of this instance's runs there.
func (b *Registry) Yield(endpoint string, now time.Time) (to instance.ID, ok bool) {
	e, found := b.entries.Get(endpoint)
	if !found || e.yieldTo == (instance.ID{}) || (e.state != yielding && e.state != notHeld) {
		return instance.ID{}, false
	}
	to = e.yieldTo
	e.yieldTo = instance.ID{}
	e.state, e.yieldedAt = notHeld, now
	e.row.Holder = to
	return to, true
}

// Yielded says that a holder has given an endpoint up under this version of its
// row.
func (b *Registry) Yielded(endpoint string, version storage.Version) {
	e, ok := b.entries.Get(endpoint)
	if !ok || e.state != notHeld {
		return
	}
	e.rowKnown = true
	e.version = max(e.version, version)
	e.row.Holder = b.config.Self
}

// Version returns the version of an endpoint's row as last seen.
func (b *Registry) Version(endpoint string) storage.Version {
	if e, ok := b.entries.Get(endpoint); ok {
		return e.version
	}
	return 0
}

// Domains returns the failure domains of all endpoints, for reading their rows.
func (b *Registry) Domains() []string {
	seen := make(map[string]bool)
	var list []string
	for _, e := range b.entries.All() {
		if d := e.endpoint.Domain; !seen[d] {
			seen[d] = true
			list = append(list, d)
		}
	}
	return list
}

// Held returns the names of the endpoints that this instance holds, also those
// that it will yield.
func (b *Registry) Held() []string {
	var list []string
	for name, e := range b.entries.All() {
		if e.state == held || e.state == yielding {
			list = append(list, name)
		}
	}
	return list
}
