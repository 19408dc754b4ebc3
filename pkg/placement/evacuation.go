package placement

import (
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/table"
	"crocusseam/pkg/workload"
)

// evacuation is this instance's view of the failure domains that the operator has evacuated.
type evacuation struct {
	known   bool            // some set was read or received
	version storage.Version // of the store, up to which the set is known
	names   []string        // of the evacuated domains, sorted
	domains *table.Table[string, *evacuatedDomain]
}

// evacuatedDomain is an evacuated failure domain, with the state of its endpoints that this
// instance holds.
type evacuatedDomain struct {
	since      time.Time // when this instance learned of the evacuation
	listNoted  bool      // the list of endpoints was searched for endpoints of the domain
	held       int
	unverified int // held endpoints where runs of an earlier holder may be left
	runs       int // as far as the reports of the held endpoints show
	empty      bool
}

// EvacuatedDomain describes an evacuated failure domain in an Overview.
type EvacuatedDomain struct {
	Domain         string
	ElapsedSeconds float64 // since this instance learned of the evacuation
	Endpoints      int     // that this instance holds there
	Unverified     int     // of these, where runs of an earlier holder may be left
	Runs           int     // left at these endpoints
}

func newEvacuation() evacuation {
	return evacuation{domains: table.New[string, *evacuatedDomain]()}
}

// mayStartIn reports whether start orders may be sent to the endpoints of a failure domain.
//
// This keeps an invariant: no start order is sent to an endpoint in an evacuated domain, nor, with
// an EvacuationBound, to any endpoint before the set of evacuated domains is known. orderStart
// enforces it for every start order; homes choose endpoints by it.
func (c *Control) mayStartIn(domain string) bool {
	return !c.evacuationUnknown() && (c.disabledRules.evacuation || len(c.evacuation.names) == 0 || !c.evacuation.domains.Has(domain))
}

// evacuationUnknown reports whether this instance has to learn the set of evacuated domains before
// anything may start.
func (c *Control) evacuationUnknown() bool {
	return !c.evacuation.known && c.config.EvacuationBound > 0
}

// handleEvacuationSet takes the set that the store has returned.
func (c *Control) handleEvacuationSet(m EvacuationSet) {
	c.updateEvacuation(m.Version, m.Domains, "store")
}

// noteEvacuationOf takes a peer's set if it is newer. If it is also different, this instance's feed has
// missed a change and is renewed.
func (c *Control) noteEvacuationOf(peer instance.ID, b *Heartbeat) {
	known := c.evacuation.known
	if b.EvacuationVersion > 0 && c.updateEvacuation(b.EvacuationVersion, b.Evacuated, "peer "+peer.String()) && known {
		c.emit(RenewFeed{})
	}
}

// updateEvacuation takes a set with a higher version than the known one. It reports whether the set
// has changed.
func (c *Control) updateEvacuation(version storage.Version, names []string, source string) bool {
	e := &c.evacuation
	if e.known && version <= e.version {
		return false
	}
	names = validDomains(names)
	if e.known && slices.Equal(names, e.names) {
		e.version = version
		return false
	}
	if !e.known {
		c.logEvent("evacuated failure domains known", zap.Strings("Domains", names), zap.Uint64("Version", uint64(version)), zap.String("Source", source))
	}
	e.known, e.version, e.names = true, version, names
	for name, d := range e.domains.All() {
		if !slices.Contains(names, name) {
			e.domains.Delete(name)
			c.logEvent("failure domain given back", zap.String("Domain", name), zap.Uint64("Version", uint64(version)), zap.String("Source", source), zap.Duration("Elapsed", c.now.Sub(d.since)))
		}
	}
	for _, name := range names {
		if !e.domains.Has(name) {
			e.domains.Put(name, &evacuatedDomain{since: c.now})
			c.counters.Evacuations++
			c.logEvent("failure domain evacuated", zap.String("Domain", name), zap.Uint64("Version", uint64(version)), zap.String("Source", source))
		}
	}
	h := &c.holder
	h.capacityStale, h.advertChanged, h.queueChanged = true, true, true
	h.checkDue, h.advertDue, h.fastSpeedsAt = c.now, c.now, time.Time{}
	c.membership.nextHeartbeat = c.now
	c.refuseEvacuated()
	return true
}

// advertPredatesEvacuation reports whether a member's domain was evacuated after its last advert, which
// then counts capacity that is not to be waited for. The member's next advert follows as soon as it knows.
func (c *Control) advertPredatesEvacuation(m *member) bool {
	d, ok := c.evacuation.domains.Get(m.row.Domain)
	return ok && m.advertAt.Before(d.since)
}

// validDomains returns the names that can be those of failure domains, sorted. A peer's heartbeat may
// have any.
func validDomains(names []string) []string {
	valid := slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		return name == "" || len(name) > storage.MaxNameBytes || strings.Contains(name, "/")
	})
	slices.Sort(valid)
	return slices.Compact(valid)
}

// couldRun reports whether an endpoint is of the service, has the label, is not draining, and is large
// enough for a task if nothing else runs there.
func couldRun(e *workload.Endpoint, service string, need workload.Resources, label string) bool {
	return e.Service == service && !e.Draining && e.HasLabel(label) && need.Fits(e.Capacity)
}

// evacuatedStep returns the first step of a job whose tasks only endpoints in evacuated domains could run.
func (c *Control) evacuatedStep(j *job) (int, bool) {
	if len(c.evacuation.names) == 0 {
		return 0, false
	}
	for i := range j.Steps {
		if c.evacuatedFor(j.route.Service, &j.Steps[i]) {
			return i, true
		}
	}
	return 0, false
}

// evacuatedFor reports whether some endpoint could run a task of a step, and all that could are in
// evacuated domains.
func (c *Control) evacuatedFor(service string, s *workload.Step) bool {
	found := false
	for _, e := range c.holder.listed.All() {
		if !couldRun(e, service, s.Need, s.Label) {
			continue
		}
		if c.mayStartIn(e.Domain) {
			return false
		}
		found = true
	}
	return found
}

// allEvacuated reports whether all listed endpoints are in evacuated domains.
func (c *Control) allEvacuated() bool {
	if len(c.evacuation.names) == 0 {
		return false
	}
	for _, e := range c.holder.listed.All() {
		if c.mayStartIn(e.Domain) {
			return false
		}
	}
	return c.holder.listed.Len() > 0
}

// refuseEvacuated refuses the open ephemeral jobs that have placed nothing and that only endpoints in
// evacuated domains could run. Runs that holders return are handled by handleRunEnded.
func (c *Control) refuseEvacuated() {
	for _, j := range c.home.jobs.All() {
		if !j.deferred {
			c.refuseIfEvacuated(j)
		}
	}
}

// refuseIfEvacuated refuses an ephemeral job that only endpoints in evacuated domains could run, unless
// it may have run. It reports whether it has refused the job.
func (c *Control) refuseIfEvacuated(j *job) bool {
	if j.stored != nil || j.mayHaveRun() {
		return false
	}
	step, evacuated := c.evacuatedStep(j)
	if evacuated {
		c.refuse(j, evacuatedReason(step))
	}
	return evacuated
}

// stranded reports whether a queued run fits an endpoint held here, and starts may be sent to none that
// it fits.
func (c *Control) stranded(r *run) bool {
	if len(c.evacuation.names) == 0 && !c.evacuationUnknown() {
		return false
	}
	found := false
	for _, e := range c.holder.endpoints.All() {
		if !couldRun(&e.info, r.request.Service, r.request.Need, r.request.Label) {
			continue
		}
		if c.mayStartIn(e.info.Domain) {
			return false
		}
		found = true
	}
	return found
}

// countEvacuated counts the runs left at the held endpoints of evacuated domains. It logs when none is
// left in a domain, and once that a domain has no endpoints.
func (c *Control) countEvacuated() {
	if len(c.evacuation.names) == 0 {
		return
	}
	domains := c.evacuation.domains
	for name, d := range domains.All() {
		d.held, d.unverified, d.runs = 0, 0, 0
		if !d.listNoted && c.holder.listed.Len() > 0 {
			d.listNoted = true
			c.noteWithoutEndpoints(name)
		}
	}
	for _, e := range c.holder.endpoints.All() {
		d, ok := domains.Get(e.info.Domain)
		if !ok {
			continue
		}
		d.held++
		d.runs += e.runs.Len() + e.unknownRuns
		if e.state != active {
			d.unverified++
		}
	}
	for name, d := range domains.All() {
		empty := d.held > 0 && d.unverified == 0 && d.runs == 0
		if empty && !d.empty {
			c.logEvent("failure domain empty", zap.String("Domain", name), zap.Int("Endpoints", d.held), zap.Duration("Elapsed", c.now.Sub(d.since)))
		}
		d.empty = empty
	}
}

// noteWithoutEndpoints logs that an evacuated domain has no endpoints, if that is so. Its name may be
// misspelled.
func (c *Control) noteWithoutEndpoints(domain string) {
	for _, e := range c.holder.listed.All() {
		if e.Domain == domain {
			return
		}
	}
	c.logWarning("evacuated failure domain has no endpoints", zap.String("Domain", domain))
}

// evacuatedDomains returns the evacuated domains for an Overview.
func (c *Control) evacuatedDomains() []EvacuatedDomain {
	list := make([]EvacuatedDomain, 0, len(c.evacuation.names))
	for _, name := range c.evacuation.names {
		if d, ok := c.evacuation.domains.Get(name); ok {
			list = append(list, EvacuatedDomain{Domain: name, ElapsedSeconds: c.now.Sub(d.since).Seconds(), Endpoints: d.held, Unverified: d.unverified, Runs: d.runs})
		}
	}
	return list
}
