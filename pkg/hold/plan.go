package hold

import (
	"time"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/table"
	"crocusseam/pkg/workload"
)

// maxTakesPerCommit is half the entries of a commit, as each row that is taken
// needs two: a condition and a write.
const maxTakesPerCommit = storage.MaxEntries / 2

// Plan lists what the caller must do to bring the holds closer to the assignment.
type Plan struct {
	// Take holds the commits to make, at most one for each failure domain.
	Take []Take
	// YieldRequests lists, by holder, the endpoints that it is asked to yield.
	YieldRequests *table.Table[instance.ID, []string]
	// Probe holds endpoints of other failure domains. This instance takes one only
	// after a probe has reached it, so that an instance that cannot reach an
	// endpoint doesn't fence a holder that can.
	Probe []workload.Endpoint
}

// Empty reports whether the plan contains no action.
func (p *Plan) Empty() bool {
	return len(p.Take) == 0 && p.YieldRequests.Len() == 0 && len(p.Probe) == 0
}

// Take is a commit that takes endpoints.
type Take struct {
	Endpoints []string
	Writes    []storage.Write
}

// Plan returns the actions that are due now to bring the holds closer to the
// assignment. The caller passes the result of each commit to TakeCommitted or
// TakeFailed.
func (r *Registry) Plan(now time.Time) Plan {
	if r.assignmentStale {
		r.assign()
	}
	plan := Plan{YieldRequests: table.New[instance.ID, []string]()}
	if r.leaving {
		return plan
	}
	takes := make(map[string]*Take)
	var order []string
	for name, e := range r.entries.All() {
		r.expireYield(e, now)
		if e.state == yielding && r.assignment[name] == r.config.Self.Instance {
			e.state, e.yieldTo = held, instance.ID{}
		}
		if e.state != notHeld || e.incarnationEnded || e.endpoint.Draining || r.unread[e.endpoint.Domain] || !r.mayTake(name, e) {
			continue
		}
		if holder, alive := r.liveHolder(e); alive {
			if now.Sub(e.requestedAt) >= r.config.YieldRequestPeriod {
				e.requestedAt = now
				names, _ := plan.YieldRequests.Get(holder)
				plan.YieldRequests.Put(holder, append(names, name))
			}
			continue
		}
		domain := e.endpoint.Domain
		if domain != r.config.Domain && now.Sub(e.reachedAt) > r.config.YieldTerm {
			if now.Sub(e.requestedAt) >= r.config.YieldRequestPeriod {
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
			t.Writes = append(t.Writes, r.prepareTake(name, e, now))
		}
	}
	for _, domain := range order {
		plan.Take = append(plan.Take, *takes[domain])
	}
	return plan
}

// Reached records a successful probe of an endpoint.
func (r *Registry) Reached(endpoint string, now time.Time) {
	if e, ok := r.entries.Get(endpoint); ok {
		e.reachedAt = now
	}
}

// expireYield forgets that an endpoint was yielded to another instance, once
// that instance has had YieldTerm to take it.
func (r *Registry) expireYield(e *entry, now time.Time) {
	if e.state == notHeld && !e.yieldedAt.IsZero() && now.Sub(e.yieldedAt) > r.config.YieldTerm {
		e.yieldedAt = time.Time{}
	}
}

// mayTake reports whether the assignment gives an endpoint to this instance.
// Before Settle, an instance takes only the endpoints whose rows name it, usually
// in an earlier incarnation, so that after a restart it regains them at once.
func (r *Registry) mayTake(name string, e *entry) bool {
	if !r.settled {
		return e.rowKnown && e.version > 0 && e.row.Holder.Instance == r.config.Self.Instance
	}
	return r.assignment[name] == r.config.Self.Instance
}

// liveHolder returns the other live instance that holds an endpoint, and whether
// there is one.
func (r *Registry) liveHolder(e *entry) (instance.ID, bool) {
	if !e.rowKnown || e.version == 0 || r.isDead(e.row.Holder) || e.row.Holder == r.config.Self {
		return instance.ID{}, false
	}
	return e.row.Holder, true
}

// prepareTake marks an endpoint as being taken and returns the write that takes
// it.
func (r *Registry) prepareTake(name string, e *entry, now time.Time) storage.Write {
	e.state, e.takeSentAt = taking, now
	row := Row{Holder: r.config.Self, Born: e.endpoint.ID.Born}
	return storage.Write{Key: Key(e.endpoint.Domain, name), Value: encodeRow(row), Expect: e.version}
}

// TakeCommitted records that a commit took effect and returns the endpoints that
// this instance now holds through it.
func (r *Registry) TakeCommitted(t Take, version storage.Version) (gained []string) {
	for _, name := range t.Endpoints {
		e, ok := r.entries.Get(name)
		if !ok || e.state != taking {
			continue
		}
		e.state, e.version, e.rowKnown = held, version, true
		e.row = Row{Holder: r.config.Self, Born: e.endpoint.ID.Born}
		e.yieldedAt = time.Time{}
		gained = append(gained, name)
	}
	return gained
}

// TakeFailed records that a commit had no effect, or that its outcome is
// uncertain. Rows holds the present state of the rows that conflicted, with
// version 0 for an absent row.
func (r *Registry) TakeFailed(t Take, rows []storage.Row) {
	for _, name := range t.Endpoints {
		if e, ok := r.entries.Get(name); ok && e.state == taking {
			e.state = notHeld
		}
	}
	r.ApplyRows(rows)
}

// ApplyRows records rows that were read from the table, and returns an error for
// each one that cannot be decoded. It skips rows older than the known version, and
// rows of endpoints that are unknown or that this instance holds or is yielding.
// Version 0 stands for an absent row, so the endpoint has no holder.
//
// A row may name this instance although it does not hold the endpoint, for example
// after a commit whose answer was lost. It is recorded like any other: Plan does not
// count this instance as another holder, and may take the endpoint under a new version.
func (r *Registry) ApplyRows(rows []storage.Row) (damaged []error) {
	for i := range rows {
		e, ok := r.entries.Get(endpointOf(rows[i].Key))
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

// YieldRequested records that a member requests an endpoint, and reports whether
// this instance agrees to yield it. It refuses endpoints that are assigned to itself
// or that it is taking. If it holds the endpoint, it starts nothing new there, and
// yields it once its runs there have ended.
func (r *Registry) YieldRequested(from instance.ID, endpoint string) bool {
	if r.assignmentStale {
		r.assign()
	}
	e, ok := r.entries.Get(endpoint)
	if !ok || r.assignment[endpoint] == r.config.Self.Instance {
		return false
	}
	if _, known := r.member(from); !known {
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

// RowOutdated reports whether this instance is wrong about the row of an endpoint that a
// member has requested from it. The member has read a row that names this instance, so a
// commit without an answer has taken effect if this instance takes another one for the
// holder. The rows must be read again: each of the two would wait for the other to yield.
func (r *Registry) RowOutdated(endpoint string) bool {
	e, ok := r.entries.Get(endpoint)
	return ok && e.state == notHeld && e.row.Holder != r.config.Self
}

// Yield gives an endpoint up to the member that requested it, and returns that
// member, unless it is assigned to this instance again. The caller must make sure that
// this instance has no runs there.
func (r *Registry) Yield(endpoint string, now time.Time) (to instance.ID, ok bool) {
	if r.assignmentStale {
		r.assign()
	}
	e, found := r.entries.Get(endpoint)
	if !found || r.assignment[endpoint] == r.config.Self.Instance || e.yieldTo == (instance.ID{}) || (e.state != yielding && e.state != notHeld) {
		return instance.ID{}, false
	}
	to = e.yieldTo
	e.yieldTo = instance.ID{}
	e.state, e.yieldedAt = notHeld, now
	e.row.Holder = to
	return to, true
}

// Yielded records that another instance has yielded an endpoint to this one, and
// the version of the row under which that instance held the endpoint. Plan may then
// take the endpoint, as its row counts as this instance's.
func (r *Registry) Yielded(endpoint string, version storage.Version) {
	e, ok := r.entries.Get(endpoint)
	if !ok || e.state != notHeld {
		return
	}
	e.rowKnown = true
	e.version = max(e.version, version)
	e.row.Holder = r.config.Self
}

// Version returns the last known version of an endpoint's row.
func (r *Registry) Version(endpoint string) storage.Version {
	if e, ok := r.entries.Get(endpoint); ok {
		return e.version
	}
	return 0
}

// Domains returns the failure domains of all endpoints. The rows of the holds are
// read by domain.
func (r *Registry) Domains() []string {
	seen := make(map[string]bool)
	var list []string
	for _, e := range r.entries.All() {
		if d := e.endpoint.Domain; !seen[d] {
			seen[d] = true
			list = append(list, d)
		}
	}
	return list
}

// Held returns the names of the endpoints that this instance holds, including
// those that it is about to yield.
func (r *Registry) Held() []string {
	var list []string
	for name, e := range r.entries.All() {
		if e.state == held || e.state == yielding {
			list = append(list, name)
		}
	}
	return list
}
