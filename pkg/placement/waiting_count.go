package placement

import (
	"time"

	"crocusseam/pkg/workload"
)

// The number of waiting jobs of a route is the sum of what the live instances count.
//
// This keeps an invariant: what is not known lowers no number. A job counts until a start of it is
// known or can be assumed, and the jobs of an instance that is lost count as it has last reported
// them until every live instance has adopted its share of them.

const (
	// startAssumedAfter is the time after which a run has started if its holder was heard since
	// it was placed and has not reported that it waits.
	startAssumedAfter = time.Second
	// maxWaitingAge is how old a number of waiting jobs may be.
	maxWaitingAge = 2 * time.Second
	// maxSilentAdoption is how long an instance that is silent and not dead may still have to
	// adopt jobs, for all that is known.
	maxSilentAdoption = 15 * time.Second
)

// waitingJobs counts the jobs of a route of which no task has started, here, at the members
// according to their last heartbeats, and of lost instances.
func (c *Control) waitingJobs(route string) int {
	n := c.ownWaiting()[route]
	lost := 0 // according to members, for an instance that has started after the loss
	for _, m := range c.membership.members.All() {
		if !m.dead {
			n += m.heartbeat.Waiting[route]
			lost = max(lost, m.heartbeat.LostWaiting[route])
		}
	}
	if f, ok := c.home.lostWaiting[route]; ok {
		return max(n, min(f.total, n+f.lost))
	}
	return max(n, lost)
}

// countForCaller returns the number of waiting jobs of a route. It goes over all jobs, so the callers of one step get the
// same number.
func (c *Control) countForCaller(route string) int {
	n, ok := c.home.waitingNow[route]
	if ok {
		return n
	}
	if c.home.waitingNow == nil {
		c.home.waitingNow = make(map[string]int)
	}
	n = c.waitingJobs(route)
	c.home.waitingNow[route] = n
	return n
}

// lostWaitingCounts returns the waiting jobs of lost instances by route.
func (c *Control) lostWaitingCounts() map[string]int {
	var counts map[string]int
	for route, f := range c.home.lostWaiting {
		if counts == nil {
			counts = make(map[string]int)
		}
		counts[route] = f.lost
	}
	return counts
}

// lostWaiting is what the instances counted when one of them was lost.
type lostWaiting struct {
	total int // of all instances
	lost  int // of those that are lost
	until time.Time
}

// keepLostWaiting keeps the numbers of waiting jobs of a member that is about to count no more.
func (c *Control) keepLostWaiting(m *member) {
	for route, n := range m.heartbeat.Waiting {
		former := c.home.lostWaiting[route]
		c.home.lostWaiting[route] = lostWaiting{total: c.waitingJobs(route), lost: former.lost + n, until: c.now.Add(maxWaitingAge)}
	}
}

// forgetLostWaiting forgets the numbers of lost instances whose jobs have all been adopted.
func (c *Control) forgetLostWaiting() {
	if len(c.home.lostWaiting) == 0 || c.adoptionPending() {
		return
	}
	for route, f := range c.home.lostWaiting {
		if !c.now.Before(f.until) {
			delete(c.home.lostWaiting, route)
		}
	}
}

// adoptionPending reports whether some live instance may have jobs of a lost one to adopt.
func (c *Control) adoptionPending() bool {
	if c.adoption.behind {
		return true
	}
	for _, m := range c.membership.members.All() {
		silent := c.now.Sub(m.lastSeenAt)
		if !m.dead && silent < maxSilentAdoption && (m.heartbeat.Adopting || silent >= c.config.Timing.SuspectAfter) {
			return true
		}
	}
	return false
}

// ownWaiting counts this home's jobs of which no task has started, by route.
func (c *Control) ownWaiting() map[string]int {
	var counts map[string]int
	for _, j := range c.home.jobs.All() {
		if c.hasBegun(j) || (j.stored != nil && j.stored.finalStatus != 0) {
			continue
		}
		if counts == nil {
			counts = make(map[string]int)
		}
		counts[j.route.Name]++
	}
	return counts
}

// hasBegun reports whether a start of a job is known or can be assumed. A lost task has not begun
// for certain.
func (c *Control) hasBegun(j *job) bool {
	return j.started || j.anyIn(done) || j.anyPlaced(func(t *task) bool { return c.startAssumed(j, t) })
}

// startAssumed reports whether the placed run of a task has started, as its holder has been heard
// since then and has not reported that the run waits. A run of a stored job that waits is returned
// to its home after maxStoredQueueTime.
func (c *Control) startAssumed(j *job, t *task) bool {
	heard := c.now
	if t.holder != c.self {
		m, ok := c.membership.members.Get(t.holder.Instance)
		if !ok || m.id != t.holder {
			return false
		}
		heard = m.lastSeenAt
	}
	age := heard.Sub(t.placed)
	if t.waiting {
		return j.stored != nil && age >= maxStoredQueueTime+startAssumedAfter
	}
	return age >= startAssumedAfter
}

// hasRun reports whether a run with this outcome has certainly started.
func hasRun(how workload.How) bool {
	return how != workload.NeverRan && how != workload.Outdated && how != workload.Unknown
}
