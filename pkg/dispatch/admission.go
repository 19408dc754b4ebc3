package dispatch

import (
	"fmt"
	"time"

	"crocusseam/pkg/document"
	"crocusseam/pkg/routing"
	"crocusseam/pkg/slots"
	"crocusseam/pkg/submission"
)

// admit reports whether this instance accepts a submission, and refuses it
// otherwise. It runs before the claim, so that a refusal costs no write and
// reaches the caller early. Round(0) strips the monotonic clock reading from the
// present time, so that the deadline is compared by the wall clock.
func (c *Control) admit(h Handle, s *submission.Submission) bool {
	class, known := c.classOf(s)
	switch {
	case !c.serving():
		c.refuse(h, s, submission.Leaving, time.Second, "the instance is leaving; ask another one")
	case c.document == nil || c.membership.state == Joining:
		c.refuse(h, s, submission.NotServing, time.Second, "the instance has no document in force yet")
	case !c.knowsTeam(s.Team):
		c.refuse(h, s, submission.Invalid, 0, fmt.Sprintf("Team is %q; allowed: a team of the document", s.Team))
	case !known:
		c.refuse(h, s, submission.Invalid, 0, fmt.Sprintf("Class is %q; allowed: a class of the document", s.Class))
	case !s.Deadline.After(c.now.Round(0)):
		c.refuse(h, s, submission.DeadlinePassed, 0, fmt.Sprintf("Deadline is %s; allowed: a time that has not passed", s.Deadline.Format(time.RFC3339Nano)))
	case c.isUnclaimedEligibleElsewhere(s, class):
		c.refuse(h, s, submission.NotServing, 0, fmt.Sprintf("HomeDomain is %q; only instances of that domain run it", s.HomeDomain))
	default:
		return c.admitDemands(h, s) && c.admitMemory(h, s) && c.admitLoad(h, s, class) && c.admitPlatform(h, s)
	}
	return false
}

func (c *Control) knowsTeam(name string) bool {
	_, ok := c.team(name)
	return ok
}

// admitDemands refuses a submission with a task that fits no endpoint of the
// document.
func (c *Control) admitDemands(h Handle, s *submission.Submission) bool {
	for i := range s.Tasks {
		if !c.anyEndpointFits(&s.Tasks[i]) {
			t := &s.Tasks[i]
			c.refuse(h, s, submission.NoWorkerFits, 0, fmt.Sprintf(
				"Tasks[%d] needs Kind %q, Processors %d, MemoryBytes %d, Accelerators %d; no endpoint of the document has them",
				i, t.Kind, t.Processors, t.MemoryBytes, t.Accelerators))
			return false
		}
	}
	return true
}

func (c *Control) anyEndpointFits(t *submission.Task) bool {
	d := routing.Demand{Kind: t.Kind, Processors: t.Processors, MemoryBytes: t.MemoryBytes, Accelerators: t.Accelerators}
	var last *routing.Shape
	for _, shape := range c.shapes.All() {
		if shape == last {
			continue
		}
		if shape.Fits(&d) {
			return true
		}
		last = shape
	}
	return false
}

// admitLoad refuses a submission that would wait longer than its class allows,
// or whose expected wait and run time leave too little margin to its deadline.
func (c *Control) admitLoad(h Handle, s *submission.Submission, class document.Class) bool {
	wait := c.expectedWait(class.Priority)
	if limit := time.Duration(class.MaxQueueWait); wait > limit {
		c.counters.Shed++
		c.refuse(h, s, submission.Overloaded, wait-limit/2, fmt.Sprintf("new work of class %q waits %s; allowed: %s", class.Name, wait.Round(time.Millisecond), limit))
		return false
	}
	var longest time.Duration
	for i := range s.Tasks {
		longest = max(longest, c.home.runTimes.predict(s.Team, s.Tasks[i].Kind, s.Tasks[i].DeclaredRunTime))
	}
	fastest := time.Duration(float64(longest) / c.fastest())
	if wait+fastest > time.Duration(float64(s.Deadline.Sub(c.now))*maxExpectedShare) {
		c.counters.Shed++
		c.refuse(h, s, submission.Overloaded, wait, fmt.Sprintf("it would wait %s and run %s, of the %s until its deadline", wait.Round(time.Millisecond), fastest.Round(time.Millisecond), s.Deadline.Sub(c.now).Round(time.Millisecond)))
		return false
	}
	return true
}

// maxExpectedShare is the largest share of the time until the deadline that a
// job's expected wait and run time may take. The rest is a margin for the error
// of the estimates.
const maxExpectedShare = 0.5

// fastest returns the speed of the fastest endpoint of this domain, at least 1.
func (c *Control) fastest() float64 {
	best := 1.0
	for _, e := range c.holder.endpoints.All() {
		best = max(best, e.speed.Speed())
	}
	return best
}

// expectedWait returns the expected wait at a priority, from the lead's last
// heartbeat: that of the lowest listed priority that is at least this one.
func (c *Control) expectedWait(priority int) time.Duration {
	var wait time.Duration
	for _, w := range c.home.expectedWaits {
		if w.Priority >= priority {
			wait = w.Wait
		}
	}
	return wait
}

// admitPlatform refuses a submission that needs a claim while the instance can't
// write claims.
func (c *Control) admitPlatform(h Handle, s *submission.Submission) bool {
	if !c.commitsPaused() || c.ruleSwitches.noClaim {
		return true
	}
	if c.mayStartUnclaimed(s) {
		return true
	}
	c.refuse(h, s, submission.PlatformUnavailable, c.config.Timing.BreakerBackoff, "no claim can be made now")
	return false
}

func (c *Control) shouldStartUnclaimed(j *job) bool {
	return c.platformAway() && !c.relayWorks() && c.mayStartUnclaimed(j.sub)
}

// mayStartUnclaimed reports whether this instance may start a submission without
// a claim while the platform is unavailable. No other instance may run the same
// submission then: the caller has named this domain as its home domain, and
// within the domain rendezvous hashing over the last known members maps the key
// to this instance. All those members must have sessions with this instance, so
// that a resubmission that reaches one of them is refused there.
func (c *Control) mayStartUnclaimed(s *submission.Submission) bool {
	class, _ := c.classOf(s)
	if !class.UnclaimedService || !s.Repeatable || s.HomeDomain != c.config.Domain || s.Attempt != 1 {
		return false
	}
	members := c.domainMembers()
	for _, m := range members {
		if _, hasSession := c.sessionWith(m.Instance); !hasSession && m.Instance != c.self.Instance {
			return false
		}
	}
	return rendezvous(s.Key.String(), members) == c.self.Instance
}

// isUnclaimedEligible reports whether a submission may be started unclaimed in its
// home domain: its tasks start before a claim row is written, because the platform
// is unavailable. Its class must allow that, and it must be repeatable and name a
// home domain; mayStartUnclaimed checks whether this instance may start it.
func isUnclaimedEligible(s *submission.Submission, class document.Class) bool {
	return class.UnclaimedService && s.Repeatable && s.HomeDomain != ""
}

// isUnclaimedEligibleElsewhere reports whether a submission may be started without
// a claim in another domain than this instance's, as that is its home domain. It may
// be running there already, so this domain must not claim it.
func (c *Control) isUnclaimedEligibleElsewhere(s *submission.Submission, class document.Class) bool {
	return isUnclaimedEligible(s, class) && s.HomeDomain != c.config.Domain
}

// mayHaveRunUnclaimed reports whether a resubmission without a claim row may
// have been started unclaimed by an instance that died before it wrote the row.
// That is possible until MaxDeadline has passed since the platform was last
// unavailable. An instance doesn't know of outages before its own start, so it
// waits for MaxDeadline after its start, too.
func (c *Control) mayHaveRunUnclaimed(j *job) bool {
	if !isUnclaimedEligible(j.sub, j.class) {
		return false
	}
	horizon := c.config.Timing.MaxDeadline
	return c.now.Sub(c.membership.startedAt) < horizon || c.now.Sub(c.claims.lastAway) < horizon
}

// domainMembers returns the live instances of this domain by the last scan of
// the table, including this one.
func (c *Control) domainMembers() []slots.Member {
	members := []slots.Member{{Instance: c.self.Instance, Capacity: c.config.Capacity}}
	for id, m := range c.membership.members.All() {
		if m.row.Domain == c.config.Domain && c.alive(m) {
			members = append(members, slots.Member{Instance: id, Capacity: m.row.Capacity})
		}
	}
	return members
}

// rendezvous returns the member with the highest score for a key (rendezvous
// hashing).
func rendezvous(key string, members []slots.Member) string {
	best := ""
	var top uint64
	for _, m := range members {
		if score := slots.Score(key, m.Instance); best == "" || score > top {
			best, top = m.Instance, score
		}
	}
	return best
}
