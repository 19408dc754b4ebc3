package dispatch

import (
	"net/netip"
	"sort"
	"time"

	"crocusseam/pkg/routing"
	"crocusseam/pkg/table"
)

// leadJob is a job of which the lead knows tasks that wait for a slot or occupy
// one.
type leadJob struct {
	id        leadJobID
	home      PeerID
	team      string
	priority  int
	arrived   time.Time
	deadline  time.Time
	remaining time.Duration     // work of the tasks without a slot
	demands   []*routing.Demand // of the waiting tasks, longest work first
	running   int               // slots that the job's tasks occupy
}

type leadJobID struct {
	home   PeerID
	number uint64
}

// leadOffer is an endpoint that a holder has reported to the lead.
type leadOffer struct {
	holder   PeerID
	report   EndpointReport
	offer    routing.Offer // in the current matching pass
	assigned *table.Table[routing.Attempt, *assignment]
}

// assignment is a task that occupies a slot, as far as the lead knows.
type assignment struct {
	attempt      routing.Attempt
	endpoint     netip.AddrPort
	team         string
	job          *leadJob // nil if another lead made it
	assignedAt   time.Time
	estimatedEnd time.Time
}

// lead matches the waiting tasks of all homes with the free slots of all
// holders that report to it.
type lead struct {
	jobs          *table.Table[leadJobID, *leadJob]
	waiting       *table.Table[routing.Attempt, *leadJob]
	offers        *table.Table[netip.AddrPort, *leadOffer]
	assignments   *table.Table[routing.Attempt, *assignment]
	running       map[string]int // slots in use, by team
	policy        routing.TaskPolicy
	policyName    routing.PolicyName
	dirty         bool // tasks or slots have changed since the last matching pass
	nextMatch     time.Time
	nextHeartbeat time.Time
	passOffers    []*routing.Offer // of the current matching pass; its memory is reused
	passRecords   []*leadOffer     // of passOffers, by the same index
	lastWaits     []PriorityWait   // that all members have been sent
	// learnedSpeeds holds the last speed of each endpoint that a holder computed
	// from enough samples. It survives a change of the holder, which starts
	// without samples.
	learnedSpeeds *table.Table[netip.AddrPort, float64]
}

const (
	baseCandidates        = 64                    // tasks of one matching pass, besides two for each free slot
	confirmTimeout        = time.Second           // an assignment that its holder hasn't reported by then is void
	ageingTime            = 5 * time.Second       // a job that has waited this long ranks as if it had half its work
	interDomainDelay      = time.Millisecond      // assumed one-way delay to a holder in another domain
	waitHysteresis        = 0.2                   // smaller relative changes of a wait are not sent
	minWaitChange         = 20 * time.Millisecond // smaller changes of a wait are not sent
	pacedMatchMin         = 4                     // with fewer waiting tasks, every change is matched at once
	matchPausePerEndpoint = 25 * time.Microsecond // pause between matching passes, for each endpoint
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

// chooseLead chooses as lead the instance with the lowest name among this one
// and those that it has a session with, except instances that are leaving or
// distrusted. Instances may disagree for a while; then each lead matches the
// tasks and slots that were reported to it. Under a policy without a lead, each
// instance is its own lead.
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

// changeLead announces the waiting tasks to a new lead. If the old lead can be reached,
// this instance withdraws its tasks and its free slots there.
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

// checkLead replaces a lead that has sent nothing for LeadTimeout while tasks of
// this home wait. The old lead is not chosen again for MemberTimeout.
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

// waitingWork returns the work of this home's tasks that wait for a slot.
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
	changedJobs := table.New[*leadJob, struct{}]()
	for _, n := range m.Numbers {
		id := routing.Attempt{Home: from.Instance, Incarnation: from.Incarnation, Number: n}
		if j, ok := c.lead.waiting.Get(id); ok {
			c.lead.waiting.Delete(id)
			changedJobs.Put(j, struct{}{})
		}
	}
	for j := range changedJobs.All() {
		c.pruneDemands(j)
	}
}

// pruneDemands removes the demands of a job that no longer wait for a slot.
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

// freeAssignment removes an assignment, so that the lead may assign its slot again.
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

// handleSupply applies a holder's report: the attempts that have ended and the changed
// endpoints. A whole report also removes the holder's offers that it does not list.
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
			continue // a former holder's last report must not close the new holder's offer
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

func (c *Control) dropOffersNotIn(holder PeerID, m *Supply) {
	reported := make(map[netip.AddrPort]bool, len(m.Endpoints))
	for _, r := range m.Endpoints {
		reported[r.Endpoint] = true
	}
	for e, o := range c.lead.offers.All() {
		if o.holder == holder && !reported[e] {
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

// reconcile corrects the lead's assignments by a holder's whole report: it adds
// those that an earlier lead made, and voids those that the holder does not have
// although they are older than confirmTimeout.
func (c *Control) reconcile(holder PeerID, m *Supply) {
	held := make(map[routing.Attempt]bool, len(m.Held))
	for _, h := range m.Held {
		held[h.Attempt] = true
		if c.lead.assignments.Has(h.Attempt) {
			continue
		}
		if o, ok := c.lead.offers.Get(h.Endpoint); ok && o.holder == holder {
			a := &assignment{attempt: h.Attempt, endpoint: h.Endpoint, assignedAt: c.now, estimatedEnd: c.now.Add(h.RemainingTime)}
			c.addAssignment(o, a)
		}
	}
	for id, a := range c.lead.assignments.All() {
		o, ok := c.lead.offers.Get(a.endpoint)
		if ok && o.holder == holder && !held[id] && c.now.Sub(a.assignedAt) > confirmTimeout {
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

// leadPeerDown removes the tasks and offers of a peer whose session was lost.
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

// runLead matches waiting tasks with free slots if either has changed, and sends
// heartbeats to the other members.
func (c *Control) runLead() {
	l := &c.lead
	heartbeatDue := !c.now.Before(l.nextHeartbeat)
	if l.waiting.Len() > 0 && (l.dirty || heartbeatDue) && !c.now.Before(l.nextMatch) {
		l.nextMatch = c.now.Add(c.matchInterval())
		l.dirty = false
		c.match()
	}
	if heartbeatDue {
		l.nextHeartbeat = c.now.Add(c.config.Timing.LeadHeartbeat)
		c.sendLeadHeartbeats()
	}
}

// matchInterval returns the shortest time between matching passes. One pass
// handles all changes since the last one. The baseline policies match at every
// change.
func (c *Control) matchInterval() time.Duration {
	if c.lead.waiting.Len() < pacedMatchMin || (c.document != nil && c.document.Routing.Policy.IsLocal()) {
		return 0
	}
	return time.Duration(c.lead.offers.Len()) * matchPausePerEndpoint
}

// match assigns free slots to waiting tasks by the task policy and informs the homes.
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
	changedJobs := table.New[*leadJob, struct{}]()
	for _, p := range pairs {
		j, _ := c.lead.waiting.Get(p.Demand.Attempt)
		o := c.lead.passRecords[p.Offer.Index]
		c.lead.waiting.Delete(p.Demand.Attempt)
		changedJobs.Put(j, struct{}{})
		j.remaining = max(0, j.remaining-p.Demand.Work)
		c.addAssignment(o, &assignment{
			attempt: p.Demand.Attempt, endpoint: p.Offer.Endpoint, team: j.team,
			job: j, assignedAt: c.now, estimatedEnd: p.End,
		})
		c.send(j.home, &Assign{Number: p.Demand.Attempt.Number, Endpoint: p.Offer.Endpoint, Holder: o.holder})
	}
	for j := range changedJobs.All() {
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

// buildOffers turns the holders' reports into offers for one matching pass.
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

// fastestLearnedSpeed returns the highest learned speed of all offers, 0 if none
// is learned. Endpoints of unknown speed count as this fast, so that they get tasks.
func (c *Control) fastestLearnedSpeed() float64 {
	best := 0.0
	for e := range c.lead.offers.All() {
		if speed, ok := c.lead.learnedSpeeds.Get(e); ok {
			best = max(best, speed)
		}
	}
	return best
}

// offerSpeed returns the speed that a matching pass assumes for an endpoint. An
// endpoint of unknown speed counts as fast as the fastest one until it has had
// enough tasks: otherwise the first endpoints found to be fast would get all
// tasks, and the speed of the others would stay unknown.
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

// expectedEnd returns when a task is expected to end. A task that has passed its
// estimate is expected to run for half as long again as it has run so far.
func (c *Control) expectedEnd(a *assignment) time.Time {
	if c.now.Before(a.estimatedEnd) {
		return a.estimatedEnd
	}
	return c.now.Add(c.now.Sub(a.assignedAt) / 2)
}

// candidates returns the tasks to match in one pass, in the order in which they
// should get slots: higher priorities first, then teams not above their share,
// then urgent jobs, then the job with the least remaining work, which counts
// less the longer the job has waited.
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

// isUrgent reports whether more than half of the time from a job's arrival to
// its deadline has passed. Without this rule, shortest job first would starve
// large accepted jobs under overload until their deadlines, and the work of
// their finished tasks would be wasted.
func (c *Control) isUrgent(j *leadJob) bool {
	return c.now.Sub(j.arrived) > j.deadline.Sub(c.now)
}

// teamsOverShare returns the competing teams that use more slots than their
// weighted share of those in use. The other teams are served first, so that the
// shares converge task by task. While more than a tenth of all slots is free,
// no team counts as over its share.
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

// sendLeadHeartbeats sends the expected waits to the other members: to those
// with waiting tasks at every heartbeat, to all when the waits have changed.
func (c *Control) sendLeadHeartbeats() {
	expectedWaits := c.expectedWaits()
	changed := waitsDiffer(expectedWaits, c.lead.lastWaits)
	if changed {
		c.lead.lastWaits = expectedWaits
	}
	waiting := make(map[PeerID]bool)
	for _, j := range c.lead.jobs.All() {
		if len(j.demands) > 0 {
			waiting[j.home] = true
		}
	}
	for id, l := range c.membership.sessions.All() {
		if l.up && (waiting[id] || changed) {
			c.send(id, &Beat{Waits: expectedWaits})
		}
	}
	if waiting[c.self] || changed {
		c.send(c.self, &Beat{Waits: expectedWaits})
	}
}

// expectedWaits returns the expected wait at each priority: the waiting work of
// this and higher priorities, divided by the total speed of all slots.
func (c *Control) expectedWaits() []PriorityWait {
	totalSpeed := 0.0
	for _, o := range c.lead.offers.All() {
		totalSpeed += float64(o.report.Slots) * o.report.Speed
	}
	work := make(map[int]time.Duration)
	for _, j := range c.lead.jobs.All() {
		for _, d := range j.demands {
			work[j.priority] += d.Work
		}
	}
	var expectedWaits []PriorityWait
	for p := range work {
		expectedWaits = append(expectedWaits, PriorityWait{Priority: p})
	}
	sort.Slice(expectedWaits, func(i, j int) bool { return expectedWaits[i].Priority > expectedWaits[j].Priority })
	var sum time.Duration
	for i := range expectedWaits {
		sum += work[expectedWaits[i].Priority]
		expectedWaits[i].Wait = time.Duration(float64(sum) / max(totalSpeed, minTotalSpeed))
	}
	return expectedWaits
}

const minTotalSpeed = 0.1 // slots of speed 1; keeps expectedWaits from dividing by 0

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
