package dispatch

import (
	"time"

	"crocusseam/pkg/submission"
)

// forward is a request that a sibling has forwarded.
type forwardedRequest struct {
	from PeerID
	key  submission.Key
}

// forwardedHandle marks the handles of forwarded requests.
const forwardedHandleBit Handle = 1 << 63

// forwardHomed hands a submission that may start without a claim to the one
// instance of the domain that may start it, and follows it there.
func (c *Control) forwardUnclaimed(m Submit, digest submission.Digest) bool {
	s := m.Submission
	class, known := c.classOf(s)
	if !known || !c.serving() || !isUnclaimedEligible(s, class) || s.HomeDomain != c.config.Domain || s.Attempt != 1 || !c.platformAway() || c.relayWorks() {
		return false
	}
	target := rendezvous(s.Key.String(), c.domainMembers())
	id, linked := c.sessionWith(target)
	if target == c.self.Instance || !linked {
		return false
	}
	j := c.newJob(s, digest)
	j.addWaiter(waiter{handle: m.Handle})
	c.home.byHandle[m.Handle] = j
	j.phase = following
	j.arrived = c.now
	j.row = ClaimRow{Home: id.Instance, Incarnation: id.Incarnation, Digest: digest, Deadline: s.Deadline}
	j.pollWait = maxPollDelay
	j.nextPoll = c.now.Add(maxPollDelay)
	c.home.followed.Put(j, struct{}{})
	c.send(id, &Forward{Submission: s})
	return true
}

// linkOf returns the incarnation of an instance that a session is up with.
func (c *Control) sessionWith(instance string) (PeerID, bool) {
	for id, l := range c.membership.sessions.All() {
		if id.Instance == instance && l.up {
			return id, true
		}
	}
	return PeerID{}, false
}

// forwarded serves a submission that a sibling has forwarded, as if its caller
// had sent it here.
func (c *Control) handleForward(from PeerID, m *Forward) {
	c.home.lastForward++
	h := forwardedHandleBit | Handle(c.home.lastForward)
	c.home.forwards[h] = forwardedRequest{from, m.Submission.Key}
	c.submit(Submit{Handle: h, Submission: m.Submission})
}

// startHomed starts the jobs that wait for a claim and may start without one,
// as soon as the platform is known to be away.
func (c *Control) startUnclaimed() {
	if !c.platformAway() || c.relayWorks() {
		return
	}
	for _, p := range c.claims.unsettledClaims() {
		j := p.job
		if j.phase != claiming || j.takeoverTried || !c.mayStartUnclaimed(j.sub) {
			continue
		}
		j.unclaimed = true
		p.expires = time.Time{}
		p.job = nil
		c.counters.Unclaimed++
		c.startJob(j)
	}
}

// waitingClaims lists the claims that are not known to be won or lost.
func (w *claimWriter) unsettledClaims() []*pendingWrite {
	var list []*pendingWrite
	for _, p := range w.pending {
		if p.job != nil {
			list = append(list, p)
		}
	}
	for _, b := range w.batches.All() {
		for _, p := range b.writes {
			if p.job != nil {
				list = append(list, p)
			}
		}
	}
	return list
}
