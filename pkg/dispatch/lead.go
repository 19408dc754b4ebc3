package dispatch

import (
	"net/netip"
	"sort"
	"time"

	"crocusseam/pkg/routing"
	"crocusseam/pkg/table"
)

// leadJob is a job with tasks that wait for a slot or run in one.
type leadJob struct {
	id        leadJobID
	home      PeerID
	team      string
	priority  int
	arrived   time.Time
	deadline  time.Time
	remaining time.Duration
	demands   []*routing.Demand // waiting, the longest first
	running   int
}

type leadJobID struct {
	home   PeerID
	number uint64
}

// leadOffer is an endpoint that some owner holds.
type leadOffer struct {
	holder   PeerID
	report   EndpointReport
	offer    routing.Offer // of the present round
	assigned *table.Table[routing.Attempt, *assignment]
}

// assignment is a task that occupies a slot, as far as the lead knows.
type assignment struct {
	attempt      routing.Attempt
	endpoint     netip.AddrPort
	team         string
	job          *leadJob // nil if another lead made it
	assignedAt   time.Time
	estimatedEnd time.Time // expected
}

// lead matches the waiting tasks of all homes with the free slots of all
// owners that report to it.
type lead struct {
	jobs          *table.Table[leadJobID, *leadJob]
	waiting       *table.Table[routing.Attempt, *leadJob]
	offers        *table.Table[netip.AddrPort, *leadOffer]
	assignments   *table.Table[routing.Attempt, *assignment]
	running       map[string]int // slots in use by team
	policy        routing.TaskPolicy
	policyName    routing.PolicyName
	dirty         bool
	nextMatch     time.Time
	nextHeartbeat time.Time
	passOffers    []*routing.Offer // of the present round, with their records
	passRecords   []*leadOffer
	lastWaits     []PriorityWait
	// speeds are the last ones that owners have learned, by endpoint. They
	// outlive a change of owner.
	learnedSpeeds *table.Table[netip.AddrPort, float64]
}

// Bounds of the lead's systems.
const (
	baseCandidates        = 64
	confirmTimeout        = time.Second // after which an assignment that its owner does not hold is void
	ageingTime            = 5 * time.Second
	interDomainDelay      = time.Millisecond
	waitHysteresis        = 0.2
	minWaitChange         = 20 * time.Millisecond
	pacedMatchMin         = 4                     // tasks that are matched without a pause
	matchPausePerEndpoint = 25 * time.Microsecond // between rounds, for each endpoint
)

func newLead() lead {
	return lead{
		jobs:          table.New[leadJobID, *leadJob](),
		waiting:       table.New[routing.Attempt, *leadJob](),
		offers:        table.New[netip.AddrPort, *leadOffer](),
		assignments:   table.New[routing.Attempt, *assignment](),
		running:       make(map[string]int),
		learnedSpeeds: table.New[netip.AddrPort, float64](),
	}
}

// chooseLead takes the live instance with the lowest name that this one has a
// session with. Instances may disagree for a while; then each lead matches
// what was told to it. A policy without a lead matches everything locally.
func (c *Control) chooseLead() {
	best := c.self
	if !c.serving() {
		best = PeerID{}
	}
	if c.document == nil || !c.document.Routing.Policy.IsLocal() {
		for id, l := range c.membership.sessions.All() {
			if l.up && !l.leaving && c.now.After(l.distrustedUntil) && (best == (PeerID{}) || id.Instance < best.Instance) {
				best = id
			}
		}
	}
	if best == (PeerID{}) {
		best = c.self
	}
	if best == c.home.leadID {
		return
	}
	c.changeLead(best)
}

func (c *Control) changeLead(id PeerID) {
	old := c.home.leadID
	c.home.leadID = id
	c.home.leadLastSeen = c.now
	c.home.expectedWaits = nil
	c.counters.LeadChanges++
	if old != (PeerID{}) && (old == c.self || c.sessionUp(old)) {
		c.send(old, &Supply{Whole: true})
	}
	for j := range c.jobsWithWaitingTasks().All() {
		if old != (PeerID{}) && (old == c.self || c.sessionUp(old)) {
			c.withdrawFrom(old, j)
		}
		c.announce(j)
	}
}

func (c *Control) jobsWithWaitingTasks() *table.Table[*job, struct{}] {
	jobs := table.New[*job, struct{}]()
	for _, a := range c.home.attempts.All() {
		if a.placedAt.IsZero() && a.reservedBy == (PeerID{}) {
			jobs.Put(a.job, struct{}{})
		}
	}
	return jobs
}

func (c *Control) withdrawFrom(id PeerID, j *job) {
	m := &Withdraw{}
	for i := range j.tasks {
		if j.tasks[i].phase == taskWaiting {
			m.Numbers = append(m.Numbers, j.tasks[i].attempts...)
		}
	}
	c.send(id, m)
}

// watchLead distrusts a lead that is silent while tasks wait.
func (c *Control) checkLead() {
	c.chooseLead()
	h := &c.home
	waiting := h.announcedWork > 0
	if h.leadID == c.self || !waiting {
		h.leadLastSeen = c.now
		return
	}
	if c.now.Sub(h.leadLastSeen) < c.config.Timing.LeadTimeout {
		return
	}
	if h.announcedWork = c.waitingWork(); h.announcedWork == 0 {
		return
	}
	if l, ok := c.membership.sessions.Get(h.leadID); ok {
		l.distrustedUntil = c.now.Add(c.config.Timing.MemberTimeout)
	}
	c.chooseLead()
}

func (c *Control) handleBeat(from PeerID, m *Beat) {
	if from != c.home.leadID {
		return
	}
	c.home.expectedWaits = m.Waits
	c.home.announcedWork = c.waitingWork()
	c.home.leadLastSeen = c.now
}

// waitingWork is the work of this home's tasks that wait for a slot.
func (c *Control) waitingWork() time.Duration {
	var sum time.Duration
	for _, a := range c.home.attempts.All() {
		if a.placedAt.IsZero() && a.reservedBy == (PeerID{}) {
			sum += a.work
		}
	}
	return sum
}

func (c *Control) handleAnnounce(from PeerID, m *Announce) {
	id := leadJobID{from, m.Job}
	j, ok := c.lead.jobs.Get(id)
	if !ok {
		j = &leadJob{id: id, home: from, team: m.Team, priority: m.Priority, arrived: c.now.Add(-m.Waited)}
		c.lead.jobs.Put(id, j)
	}
	j.remaining = m.RemainingWork
	j.deadline = c.now.Add(m.RemainingTime)
	for i := range m.Demands {
		d := &m.Demands[i]
		if c.lead.waiting.Has(d.Attempt) {
			continue
		}
		c.lead.waiting.Put(d.Attempt, j)
		j.demands = append(j.demands, d)
	}
	sort.SliceStable(j.demands, func(a, b int) bool { return j.demands[a].Work > j.demands[b].Work })
	c.lead.dirty = true
}

func (c *Control) handleWithdraw(from PeerID, m *Withdraw) {
	touched := table.New[*leadJob, struct{}]()
	for _, n := range m.Numbers {
		id := routing.Attempt{Home: from.Instance, Incarnation: from.Incarnation, Number: n}
		if j, ok := c.lead.waiting.Get(id); ok {
			c.lead.waiting.Delete(id)
			touched.Put(j, struct{}{})
		}
	}
	for j := range touched.All() {
		c.pruneDemands(j)
	}
}

// pruneDemands drops the demands of a job that no longer wait.
func (c *Control) pruneDemands(j *leadJob) {
	kept := j.demands[:0]
	for _, d := range j.demands {
		if c.lead.waiting.Has(d.Attempt) {
			kept = append(kept, d)
		}
	}
	j.demands = kept
	c.dropIdleJob(j)
}

func (c *Control) dropIdleJob(j *leadJob) {
	if len(j.demands) == 0 && j.running == 0 {
		c.lead.jobs.Delete(j.id)
	}
}

func (c *Control) handleReturnAssignment(m *ReturnAssignment) { c.freeAssignment(m.Attempt) }

func (c *Control) freeAssignment(id routing.Attempt) {
	a, ok := c.lead.assignments.Get(id)
	if !ok {
		return
	}
	c.lead.assignments.Delete(id)
	if o, ok := c.lead.offers.Get(a.endpoint); ok {
		o.assigned.Delete(id)
	}
	c.lead.running[a.team]--
	if a.job != nil {
		a.job.running--
		c.dropIdleJob(a.job)
	}
	c.lead.dirty = true
}

// leadSupply takes an owner's report.
func (c *Control) handleSupply(from PeerID, m *Supply) {
	for _, id := range m.Done {
		c.freeAssignment(id)
	}
	if m.Whole {
		c.dropOffersNotIn(from, m)
	}
	for _, r := range m.Endpoints {
		o, ok := c.lead.offers.Get(r.Endpoint)
		if !ok {
			o = &leadOffer{assigned: table.New[routing.Attempt, *assignment]()}
			c.lead.offers.Put(r.Endpoint, o)
		}
		if r.Slots == 0 && o.holder != from && o.report.Slots > 0 {
			continue // a former holder's last word does not close the offer
		}
		o.holder, o.report = from, r
		if r.Samples == routing.EnoughSamples {
			c.lead.learnedSpeeds.Put(r.Endpoint, r.Speed)
		}
	}
	if m.Whole {
		c.reconcile(from, m)
	}
	c.lead.dirty = true
}

func (c *Control) dropOffersNotIn(owner PeerID, m *Supply) {
	named := make(map[netip.AddrPort]bool, len(m.Endpoints))
	for _, r := range m.Endpoints {
		named[r.Endpoint] = true
	}
	for e, o := range c.lead.offers.All() {
		if o.holder == owner && !named[e] {
			c.dropOffer(e, o)
		}
	}
}

func (c *Control) dropOffer(e netip.AddrPort, o *leadOffer) {
	for id := range o.assigned.All() {
		c.freeAssignment(id)
	}
	c.lead.offers.Delete(e)
}

// reconcile brings the lead's assignments into line with what an owner holds:
// it adds those of earlier leads, and voids those that never arrived.
func (c *Control) reconcile(owner PeerID, m *Supply) {
	held := make(map[routing.Attempt]bool, len(m.Held))
	for _, h := range m.Held {
		held[h.Attempt] = true
		if c.lead.assignments.Has(h.Attempt) {
			continue
		}
		if o, ok := c.lead.offers.Get(h.Endpoint); ok && o.holder == owner {
			a := &assignment{attempt: h.Attempt, endpoint: h.Endpoint, assignedAt: c.now, estimatedEnd: c.now.Add(h.RemainingTime)}
			c.addAssignment(o, a)
		}
	}
	for id, a := range c.lead.assignments.All() {
		o, ok := c.lead.offers.Get(a.endpoint)
		if ok && o.holder == owner && !held[id] && c.now.Sub(a.assignedAt) > confirmTimeout {
			c.counters.VoidAssignments++
			c.freeAssignment(id)
		}
	}
}

func (c *Control) addAssignment(o *leadOffer, a *assignment) {
	c.lead.assignments.Put(a.attempt, a)
	o.assigned.Put(a.attempt, a)
	c.lead.running[a.team]++
	if a.job != nil {
		a.job.running++
	}
}

// leadPeerDown forgets what a peer had announced and offered.
func (c *Control) leadPeerDown(peer PeerID) {
	for id, j := range c.lead.jobs.All() {
		if j.home != peer {
			continue
		}
		for _, d := range j.demands {
			c.lead.waiting.Delete(d.Attempt)
		}
		j.demands = nil
		if j.running == 0 {
			c.lead.jobs.Delete(id)
		}
	}
	for e, o := range c.lead.offers.All() {
		if o.holder == peer {
			c.dropOffer(e, o)
		}
	}
	c.lead.dirty = true
}

// runLead matches waiting tasks and free slots when either has changed, and
// tells members that it is alive.
func (c *Control) runLead() {
	l := &c.lead
	beatDue := !c.now.Before(l.nextHeartbeat)
	if l.waiting.Len() > 0 && (l.dirty || beatDue) && !c.now.Before(l.nextMatch) {
		l.nextMatch = c.now.Add(c.matchInterval())
		l.dirty = false
		c.match()
	}
	if beatDue {
		l.nextHeartbeat = c.now.Add(c.config.Timing.LeadHeartbeat)
		c.sendLeadHeartbeats()
	}
}

// matchInterval is the least time between rounds. What changes in between is
// dealt with together. The baselines match at every change.
func (c *Control) matchInterval() time.Duration {
	if c.lead.waiting.Len() < pacedMatchMin || (c.document != nil && c.document.Routing.Policy.IsLocal()) {
		return 0
	}
	return time.Duration(c.lead.offers.Len()) * matchPausePerEndpoint
}

func (c *Control) match() {
	if c.freeSlots() == 0 {
		return
	}
	offers := c.buildOffers()
	demands := c.candidates()
	if len(offers) == 0 || len(demands) == 0 {
		return
	}
	pairs := c.taskPolicy().Match(c.now, demands, offers)
	touched := table.New[*leadJob, struct{}]()
	for _, p := range pairs {
		j, _ := c.lead.waiting.Get(p.Demand.Attempt)
		o := c.lead.passRecords[p.Offer.Index]
		c.lead.waiting.Delete(p.Demand.Attempt)
		touched.Put(j, struct{}{})
		j.remaining = max(0, j.remaining-p.Demand.Work)
		c.addAssignment(o, &assignment{
			attempt: p.Demand.Attempt, endpoint: p.Offer.Endpoint, team: j.team,
			job: j, assignedAt: c.now, estimatedEnd: p.End,
		})
		c.send(j.home, &Assign{Number: p.Demand.Attempt.Number, Endpoint: p.Offer.Endpoint, Holder: o.holder})
	}
	for j := range touched.All() {
		c.pruneDemands(j)
	}
}

func (c *Control) taskPolicy() routing.TaskPolicy {
	name := routing.EarliestCompletion
	if c.document != nil && c.document.Routing.Policy != "" {
		name = c.document.Routing.Policy
	}
	if c.lead.policy == nil || c.lead.policyName != name {
		c.lead.policy = routing.New(name, c.config.Seed)
		c.lead.policyName = name
	}
	return c.lead.policy
}

// matchOffers turns the reports of owners into offers for one round.
func (c *Control) buildOffers() []*routing.Offer {
	fastest := c.fastestLearnedSpeed()
	c.lead.passOffers, c.lead.passRecords = c.lead.passOffers[:0], c.lead.passRecords[:0]
	for e, o := range c.lead.offers.All() {
		shape, ok := c.shapes.Get(e)
		if !ok || o.report.Slots == 0 {
			continue
		}
		o.offer = routing.Offer{
			Endpoint: e, Holder: o.holder.Instance, Shape: shape, Index: len(c.lead.passRecords), Busy: o.offer.Busy[:0],
			Speed: c.offerSpeed(e, o, fastest), Slots: o.report.Slots, Probe: o.report.Probe,
		}
		if c.domainOf(o.holder) != c.config.Domain {
			o.offer.Latency = interDomainDelay
		}
		for _, a := range o.assigned.All() {
			o.offer.Busy = append(o.offer.Busy, c.expectedEnd(a))
		}
		c.lead.passOffers = append(c.lead.passOffers, &o.offer)
		c.lead.passRecords = append(c.lead.passRecords, o)
	}
	return c.lead.passOffers
}

// fastestKnown is the highest learned speed.
func (c *Control) fastestLearnedSpeed() float64 {
	best := 0.0
	for e := range c.lead.offers.All() {
		if speed, ok := c.lead.learnedSpeeds.Get(e); ok {
			best = max(best, speed)
		}
	}
	return best
}

// offerSpeed is the speed that a round reckons with. An endpoint of unknown
// speed is taken to be as fast as the fastest until it has had a few tasks:
// otherwise the first fast endpoints found would get all work, and the others
// would stay unknown.
func (c *Control) offerSpeed(e netip.AddrPort, o *leadOffer, fastest float64) float64 {
	if o.report.Samples == routing.EnoughSamples {
		return o.report.Speed
	}
	if speed, ok := c.lead.learnedSpeeds.Get(e); ok {
		return speed
	}
	if o.report.Samples+o.assigned.Len() < routing.EnoughSamples {
		return max(o.report.Speed, fastest)
	}
	return o.report.Speed
}

// expectedEnd corrects the expected end of a task that should have ended: the
// longer it has run, the longer it is expected to go on.
func (c *Control) expectedEnd(a *assignment) time.Time {
	if c.now.Before(a.estimatedEnd) {
		return a.estimatedEnd
	}
	return c.now.Add(c.now.Sub(a.assignedAt) / 2)
}

// candidates returns the first waiting tasks in the order in which they should
// get slots: higher priorities first, then teams below their share, then the
// job with the least work left, aged by its wait.
func (c *Control) candidates() []*routing.Demand {
	jobs := make([]*leadJob, 0, c.lead.jobs.Len())
	for _, j := range c.lead.jobs.All() {
		if len(j.demands) > 0 {
			jobs = append(jobs, j)
		}
	}
	c.sortJobs(jobs)
	limit := baseCandidates + 2*c.freeSlots()
	quota := make(map[string]int)
	var list []*routing.Demand
	for _, j := range jobs {
		if _, ok := quota[j.team]; !ok {
			quota[j.team] = c.remainingQuota(j.team)
		}
		for _, d := range j.demands {
			if quota[j.team] <= 0 || len(list) >= limit {
				break
			}
			quota[j.team]--
			list = append(list, d)
		}
	}
	return list
}

func (c *Control) sortJobs(jobs []*leadJob) {
	if c.document != nil && c.document.Routing.Policy.IsLocal() {
		return // the baselines serve in order of arrival
	}
	over := c.teamsOverShare(jobs)
	key := func(j *leadJob) float64 {
		waited := c.now.Sub(j.arrived).Seconds()
		return j.remaining.Seconds() / (1 + waited/ageingTime.Seconds())
	}
	sort.SliceStable(jobs, func(a, b int) bool {
		x, y := jobs[a], jobs[b]
		if x.priority != y.priority {
			return x.priority > y.priority
		}
		if over[x.team] != over[y.team] {
			return !over[x.team]
		}
		if p, q := c.isUrgent(x), c.isUrgent(y); p != q {
			return p
		}
		return key(x) < key(y)
	})
}

// isUrgent reports whether more than half of a job's time has passed. Under
// overload the smallest job first would otherwise starve large jobs that were
// accepted until their deadlines, and waste what they had already run.
func (c *Control) isUrgent(j *leadJob) bool {
	return c.now.Sub(j.arrived) > j.deadline.Sub(c.now)
}

// teamsOverShare tells which of the competing teams use more slots than their
// weighted share of those in use. Serving the others first brings the shares
// into line task by task.
func (c *Control) teamsOverShare(jobs []*leadJob) map[string]bool {
	weights := make(map[string]int)
	total, used := 0, 0
	for _, j := range jobs {
		if _, ok := weights[j.team]; !ok {
			weights[j.team] = c.teamWeight(j.team)
			total += weights[j.team]
			used += c.lead.running[j.team]
		}
	}
	over := make(map[string]bool)
	if len(weights) < 2 || c.freeSlots() > c.totalSlots()/10 {
		return over
	}
	for team, w := range weights {
		over[team] = c.lead.running[team]*total > used*w
	}
	return over
}

func (c *Control) freeSlots() int {
	free := 0
	for _, o := range c.lead.offers.All() {
		free += max(0, o.report.Slots-o.assigned.Len())
	}
	return free
}

func (c *Control) totalSlots() int {
	total := 0
	for _, o := range c.lead.offers.All() {
		total += o.report.Slots
	}
	return total
}

func (c *Control) remainingQuota(team string) int {
	t, ok := c.team(team)
	if !ok || t.Quota == 0 {
		return 1 << 30
	}
	return t.Quota - c.lead.running[team]
}

// sendBeats tells members how long new work waits. A member with waiting tasks
// hears every beat; the others hear of changes.
func (c *Control) sendLeadHeartbeats() {
	waits := c.expectedWaits()
	changed := waitsDiffer(waits, c.lead.lastWaits)
	if changed {
		c.lead.lastWaits = waits
	}
	waiting := make(map[PeerID]bool)
	for _, j := range c.lead.jobs.All() {
		if len(j.demands) > 0 {
			waiting[j.home] = true
		}
	}
	for id, l := range c.membership.sessions.All() {
		if l.up && (waiting[id] || changed) {
			c.send(id, &Beat{Waits: waits})
		}
	}
	if waiting[c.self] || changed {
		c.send(c.self, &Beat{Waits: waits})
	}
}

// waits computes the expected wait at each priority: the work that waits there
// and above, divided by the speed of all slots.
func (c *Control) expectedWaits() []PriorityWait {
	power := 0.0
	for _, o := range c.lead.offers.All() {
		power += float64(o.report.Slots) * o.report.Speed
	}
	work := make(map[int]time.Duration)
	for _, j := range c.lead.jobs.All() {
		for _, d := range j.demands {
			work[j.priority] += d.Work
		}
	}
	var waits []PriorityWait
	for p := range work {
		waits = append(waits, PriorityWait{Priority: p})
	}
	sort.Slice(waits, func(i, j int) bool { return waits[i].Priority > waits[j].Priority })
	var sum time.Duration
	for i := range waits {
		sum += work[waits[i].Priority]
		waits[i].Wait = time.Duration(float64(sum) / max(power, minTotalSpeed))
	}
	return waits
}

const minTotalSpeed = 0.1 // slots of speed 1

func waitsDiffer(a, b []PriorityWait) bool {
	if len(a) != len(b) {
		return true
	}
	for i := range a {
		change := (a[i].Wait - b[i].Wait).Abs()
		if a[i].Priority != b[i].Priority {
			return true
		}
		if change > minWaitChange && change.Seconds() > waitHysteresis*b[i].Wait.Seconds() {
			return true
		}
	}
	return false
}
