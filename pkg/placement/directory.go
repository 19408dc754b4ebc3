package placement

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/slots"
	"crocusseam/pkg/table"
	"crocusseam/pkg/workload"
)

const (
	registerTimeout  = 60 * time.Millisecond // for the answer of the directory, after which a home goes on without it
	maxRegistration  = time.Hour             // longest wait of a caller that a registration is kept for
	entryCheckPeriod = 50 * time.Millisecond // between checks for waiters whose home is gone, and for expired entries
)

// directory is this instance's part of the directory of homes. For each id of an ephemeral job,
// one member knows which instance is the job's home.
//
// It keeps an invariant: at any time at most one of the instances that the directory reaches
// begins runs of an ephemeral job. Each asks before it places the first task, and the next one
// is answered only when the former has released the job, that is, when the job has ended there and
// none of its runs can be going on. An instance that reads an old request thus learns that it is
// late. The invariant does not hold across a change of the directory's members or a cut; then the
// bounds of the leases do, see updateLeaseLimit.
type directory struct {
	entries    *table.Table[workload.JobID, *directoryEntry]
	entriesDue time.Time
	// candidates are the members that share the directory, as of candidatesAt. all and holders
	// are the lists of which it is one.
	candidates    []instance.ID
	all, holders  []instance.ID
	candidatesAt  time.Time
	registeredFor []instance.ID // candidates for which the own registrations were last checked
	checkDue      time.Time
}

// directoryEntry is the home of a job, and the instances that wait to be its home, in order.
type directoryEntry struct {
	home    registrant
	waiters []registrant
	lostAt  time.Time // when its home was last heard, while it cannot be reached
}

// registrant is an instance that has registered a job.
type registrant struct {
	id     instance.ID
	number uint64 // of its registration
	expiry time.Time
}

func newDirectory() directory {
	return directory{entries: table.New[workload.JobID, *directoryEntry]()}
}

// registration is what a home knows of the registration of one of its ephemeral jobs.
type registration struct {
	state     registrationState
	directory instance.ID // the member that was asked
	number    uint64      // counts the registrations of this instance; zero before the first of the job
	askedAt   time.Time
	begun     bool        // tasks have been placed
	occupant  instance.ID // the home that the job waits for, while another one has it
	// recalledBy are the members that have asked for the release of the job, as other
	// instances wait for it.
	recalledBy []instance.ID
}

type registrationState int

const (
	unregistered registrationState = iota
	asking
	registered
	occupied    // waits for the release by another home
	unconfirmed // goes on without an answer
)

// mayPlace reports whether tasks of the job may be placed.
func (r *registration) mayPlace() bool {
	return r.begun || r.state == registered || r.state == unconfirmed
}

// refreshDirectory determines the members that share the directory: those that are reachable, are
// not leaving unless all are, and hold endpoints, or all if none does. Of these, one that has just
// started is left out, so that the others know it before it is asked. At least one member is left
// unless this instance reaches none: without any, each would be a directory for itself.
func (c *Control) refreshDirectory() {
	d := &c.directory
	if d.candidatesAt.Equal(c.now) {
		return
	}
	d.candidatesAt = c.now
	c.listCandidates(false)
	if len(d.all) == 0 {
		c.listCandidates(true)
	}
	d.candidates = d.holders
	if len(d.holders) == 0 {
		d.candidates = d.all
	}
}

// listCandidates lists the members that can share the directory, and those of them that hold
// endpoints.
func (c *Control) listCandidates(leaving bool) {
	d := &c.directory
	d.all, d.holders = d.all[:0], d.holders[:0]
	var oldest time.Duration
	eligible := func(m *member) bool {
		return m.listed && c.reachable(m.id) && m.heartbeat.KeepsDirectory && (leaving || !m.heartbeat.Leaving)
	}
	self := leaving || c.stop == serving
	if self {
		oldest = c.now.Sub(c.began)
	}
	for _, m := range c.membership.members.All() {
		if eligible(m) {
			oldest = max(oldest, c.uptimeOf(m))
		}
	}
	add := func(id instance.ID, share int, uptime time.Duration) {
		if uptime < c.config.Timing.Established && uptime+c.config.Timing.Settle < oldest {
			return
		}
		d.all = append(d.all, id)
		if share > 0 {
			d.holders = append(d.holders, id)
		}
	}
	if self {
		add(c.self, c.config.Share, c.now.Sub(c.began))
	}
	for _, m := range c.membership.members.All() {
		if eligible(m) {
			add(m.id, m.row.Share, c.uptimeOf(m))
		}
	}
}

// directoryOf returns the member that knows the home of a job.
func (c *Control) directoryOf(job workload.JobID) instance.ID {
	c.refreshDirectory()
	best, bestScore := c.self, uint64(0)
	for i, id := range c.directory.candidates {
		if score := slots.Score(string(job), id.Instance); c.reachable(id) && (i == 0 || score > bestScore) {
			best, bestScore = id, score
		}
	}
	return best
}

// runDirectory keeps the entries and the own registrations up to date.
func (c *Control) runDirectory() {
	d := &c.directory
	if !c.now.Before(d.checkDue) {
		d.checkDue = c.now.Add(memberCheckPeriod)
		c.refreshDirectory()
		if !slices.Equal(d.candidates, d.registeredFor) {
			d.registeredFor = slices.Clone(d.candidates)
			c.registerAgain(func(job workload.JobID, r *registration) bool { return c.directoryOf(job) != r.directory })
		}
	}
	if !c.now.Before(d.entriesDue) {
		d.entriesDue = c.now.Add(entryCheckPeriod)
		for job, e := range d.entries.All() {
			if c.now.After(e.home.expiry) || (len(e.waiters) > 0 && c.homeLost(e)) {
				c.passOn(job, e, false)
			}
		}
	}
	c.sendDueReleases()
}

// homeLost reports whether a home cannot be reached and its runs have certainly ended. That it has
// lost its session, or stands still, is no sign of that: its holders let their leases expire within
// ResubmitAfter after they last heard of its callers.
func (c *Control) homeLost(e *directoryEntry) bool {
	if c.reachable(e.home.id) {
		e.lostAt = time.Time{}
		return false
	}
	if m, ok := c.membership.members.Get(e.home.id.Instance); ok && m.id == e.home.id {
		e.lostAt = m.lastSeenAt
	} else if e.lostAt.IsZero() {
		e.lostAt = c.now
	}
	return c.now.Sub(e.lostAt) > c.config.Timing.ResubmitAfter
}

// handleRegister answers an instance that wants to be the home of a job.
func (c *Control) handleRegister(from instance.ID, m *Register) {
	if !c.reachable(from) {
		return
	}
	entries := c.directory.entries
	asker := registrant{from, m.Number, c.now.Add(min(max(m.Left, 0), maxRegistration) + lateOrderWindow)}
	e, ok := entries.Get(m.Job)
	var former instance.ID
	if ok && c.homeLost(e) {
		former = e.home.id
		c.passOn(m.Job, e, false)
		e, ok = entries.Get(m.Job)
	}
	if !ok && former == (instance.ID{}) && m.Occupant != from && m.Occupant != (instance.ID{}) && !c.homeLost(&directoryEntry{home: registrant{id: m.Occupant}}) {
		// Its home has registered it with another member, and has not noticed yet that this
		// one is asked now.
		e, ok = &directoryEntry{home: registrant{id: m.Occupant, expiry: asker.expiry}}, true
		entries.Put(m.Job, e)
	}
	switch {
	case !ok:
		entries.Put(m.Job, &directoryEntry{home: asker})
	case e.home.id == from:
		if m.Number < e.home.number {
			return
		}
		e.home, e.lostAt = asker, time.Time{}
	default:
		e.addWaiter(asker)
		home := e.home
		c.send(from, &Occupied{Job: m.Job, Number: m.Number, Home: home.id})
		c.send(home.id, &Recall{Job: m.Job, Number: home.number})
		return
	}
	c.send(from, &Registered{Job: m.Job, Number: m.Number, Former: former})
}

func (e *directoryEntry) addWaiter(r registrant) {
	for i := range e.waiters {
		if e.waiters[i].id == r.id {
			e.waiters[i] = r
			return
		}
	}
	e.waiters = append(e.waiters, r)
}

// passOn makes the first waiter that can be reached the home of a job that its home has released
// or whose home cannot be reached.
func (c *Control) passOn(job workload.JobID, e *directoryEntry, completed bool) {
	former := e.home
	for len(e.waiters) > 0 {
		next := e.waiters[0]
		e.waiters = e.waiters[1:]
		if !c.reachable(next.id) || c.now.After(next.expiry) {
			continue
		}
		e.home, e.lostAt = next, time.Time{}
		more := len(e.waiters) > 0
		answer := &Registered{Job: job, Number: next.number, Completed: completed}
		if !c.reachable(former.id) {
			answer.Former = former.id
		}
		c.counters.PassedOn++
		c.logWarning("job passed on", jobField(job), zap.Stringer("Former", former.id), zap.Stringer("Home", next.id), zap.Bool("Completed", completed), zap.Bool("FormerReachable", c.reachable(former.id)))
		c.send(next.id, answer)
		if more {
			c.send(next.id, &Recall{Job: job, Number: next.number})
		}
		return
	}
	c.directory.entries.Delete(job)
}

// recallAgain repeats the recalls of the jobs that a home has and others wait for, after a new
// session with it.
func (c *Control) recallAgain(home instance.ID) {
	for job, e := range c.directory.entries.All() {
		if e.home.id == home && len(e.waiters) > 0 {
			c.send(home, &Recall{Job: job, Number: e.home.number})
		}
	}
}

// handleRelease notes that an instance is not the home of jobs any more, or does not wait for
// them any more.
func (c *Control) handleRelease(from instance.ID, m *Release) {
	for _, r := range m.Jobs {
		e, ok := c.directory.entries.Get(r.Job)
		switch {
		case !ok:
		case e.home.id == from && r.Number >= e.home.number:
			c.passOn(r.Job, e, r.Completed)
		default:
			e.waiters = slices.DeleteFunc(e.waiters, func(w registrant) bool { return w.id == from && r.Number >= w.number })
		}
	}
}

// register asks the directory whether this instance may be the home of a job. An answer that is
// awaited already does not get more time by it.
func (c *Control) register(job workload.JobID, r *registration, left time.Duration) {
	c.registerWith(c.directoryOf(job), job, r, left)
}

func (c *Control) registerWith(directory instance.ID, job workload.JobID, r *registration, left time.Duration) {
	c.home.registrations++
	if r.state != asking {
		r.state, r.askedAt = asking, c.now
	}
	r.number, r.directory = c.home.registrations, directory
	c.send(directory, &Register{Job: job, Number: r.number, Left: left, Occupant: r.occupant})
}

// registerAgain registers the jobs again for which it is due: open ones, and closed ones of which
// runs may be going on.
func (c *Control) registerAgain(due func(workload.JobID, *registration) bool) {
	for _, j := range c.home.jobs.All() {
		if j.registration.number > 0 && due(j.ID, &j.registration) {
			c.register(j.ID, &j.registration, j.deadline.Sub(c.now))
		}
	}
	for id, former := range c.home.droppedRuns.All() {
		if former.registration.number > 0 && due(id, &former.registration) {
			c.register(id, &former.registration, 0)
		}
	}
}

// checkRegistration lets a job go on whose registration was not answered in time, unless it
// waits for another home that can be reached.
func (c *Control) checkRegistration(j *job) {
	r := &j.registration
	if r.state != asking {
		return
	}
	if due := r.askedAt.Add(registerTimeout); c.now.Before(due) {
		if c.home.registerDue.IsZero() || due.Before(c.home.registerDue) {
			c.home.registerDue = due
		}
		return
	}
	if r.occupant != (instance.ID{}) && c.reachable(r.occupant) {
		return
	}
	r.state = unconfirmed
	if !r.begun {
		c.counters.Unconfirmed++
		c.logWarning("registration not answered in time", jobField(j.ID), zap.Stringer("Directory", r.directory), zap.Duration("After", c.now.Sub(r.askedAt)))
	}
}

// handleRegistered begins to place a job. If it had to wait for another home that has completed
// it, its callers are answered instead. If the directory does not reach the former home and this
// instance does, it waits for that one by itself.
func (c *Control) handleRegistered(from instance.ID, m *Registered) {
	j, ok := c.home.jobs.Get(m.Job)
	if !ok || j.registration.number == 0 {
		if _, going := c.registeredRuns(m.Job); !going {
			c.send(from, &Release{Jobs: []ReleasedJob{{Job: m.Job, Number: m.Number}}})
		}
		return
	}
	r := &j.registration
	if r.number != m.Number || r.directory != from {
		return
	}
	if !r.begun && m.Former != c.self && m.Former != (instance.ID{}) && c.reachable(m.Former) {
		r.occupant = m.Former
		c.registerWith(c.self, j.ID, r, j.deadline.Sub(c.now))
		return
	}
	r.state, r.occupant = registered, instance.ID{}
	if m.Completed && !j.mayHaveStarted() {
		c.counters.Completed++
		c.close(j, Answer{Status: Completed})
		return
	}
	if c.refuseIfEvacuated(j) {
		return // while it waited for another home, it was not refused
	}
	c.placeReady(j)
}

// handleOccupied lets a job wait for the home that has it. One that has begun goes on if its
// callers still wait.
func (c *Control) handleOccupied(from instance.ID, m *Occupied) {
	j, ok := c.home.jobs.Get(m.Job)
	if !ok || j.registration.number != m.Number || j.registration.directory != from {
		return
	}
	r := &j.registration
	r.state, r.occupant = occupied, m.Home
	c.counters.Occupied++
	c.logWarning("job has another home", jobField(j.ID), zap.Stringer("Home", m.Home), zap.Stringer("Directory", from), zap.Bool("Begun", r.begun))
	if r.begun {
		c.requestCallerCheck()
	}
}

// handleRecall releases a job that another instance waits for, or checks whether its callers still
// wait. While runs of it may be going on, it is released later.
func (c *Control) handleRecall(from instance.ID, m *Recall) {
	c.counters.Recalled++
	j, ok := c.home.jobs.Get(m.Job)
	ok = ok && j.registration.number > 0
	former, dropped := c.registeredRuns(m.Job)
	c.logWarning("job recalled", jobField(m.Job), zap.Stringer("Directory", from), zap.Bool("Open", ok), zap.Bool("RunsOpen", dropped))
	switch {
	case ok && j.registration.directory != from && !j.registration.mayPlace() && !j.mayHaveStarted():
		// It waits for an answer of another member, which may wait for the one here.
		c.send(from, &Release{Jobs: []ReleasedJob{{Job: m.Job, Number: j.registration.number}}})
	case ok:
		j.registration.recall(from)
		c.requestCallerCheck()
	case dropped:
		former.registration.recall(from)
	case !c.sendReleases(from, m.Job):
		c.send(from, &Release{Jobs: []ReleasedJob{{Job: m.Job, Number: m.Number}}})
	}
}

// registeredRuns returns the runs of a closed job that is not released yet.
func (c *Control) registeredRuns(job workload.JobID) (*droppedRuns, bool) {
	former, ok := c.home.droppedRuns.Get(job)
	return former, ok && former.registration.number > 0
}

func (r *registration) recall(by instance.ID) {
	if !slices.Contains(r.recalledBy, by) {
		r.recalledBy = append(r.recalledBy, by)
	}
}

// endRegistration releases a job that was closed, or leaves that to the end of its runs.
func (c *Control) endRegistration(j *job, completed bool) {
	if j.registration.number == 0 {
		return
	}
	if former, ok := c.home.droppedRuns.Get(j.ID); ok {
		former.registration, former.completed = j.registration, completed
		return
	}
	c.release(j.ID, &j.registration, completed)
}

// release tells the directory that this instance is not the home of a job any more: at once if
// another instance waits for the job or this one has waited for it, otherwise together with
// other jobs. It does nothing for a job that is released.
func (c *Control) release(job workload.JobID, r *registration, completed bool) {
	if r.number == 0 {
		return
	}
	released := ReleasedJob{Job: job, Number: r.number, Completed: completed}
	r.number = 0
	for _, id := range r.recalledBy {
		c.send(id, &Release{Jobs: []ReleasedJob{released}})
	}
	switch {
	case slices.Contains(r.recalledBy, r.directory):
	case r.state == occupied:
		c.send(r.directory, &Release{Jobs: []ReleasedJob{released}})
	default:
		pending, _ := c.home.releases.Get(r.directory)
		c.home.releases.Put(r.directory, append(pending, released))
		if c.home.releases.Len() == 1 && len(pending) == 0 {
			c.home.releasesDue = c.now.Add(c.config.Timing.HeartbeatInterval)
		}
	}
}

func (c *Control) sendDueReleases() {
	if c.home.releases.Len() == 0 || c.now.Before(c.home.releasesDue) {
		return
	}
	for to, jobs := range c.home.releases.All() {
		c.home.releases.Delete(to)
		c.send(to, &Release{Jobs: jobs})
	}
}

// sendReleases sends what was collected for a member at once if it has a job, and reports
// whether it does.
func (c *Control) sendReleases(to instance.ID, job workload.JobID) bool {
	jobs, _ := c.home.releases.Get(to)
	if !slices.ContainsFunc(jobs, func(r ReleasedJob) bool { return r.Job == job }) {
		return false
	}
	c.home.releases.Delete(to)
	c.send(to, &Release{Jobs: jobs})
	return true
}
