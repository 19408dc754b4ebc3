package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/table"
	"crocusseam/pkg/workload"
)

// These tests check that an instance does not act on outdated information from a peer,
// even when a pause, a network cut in one direction or a late message hides its age.

var benchPeer = instance.ID{Instance: "b", Incarnation: 1}

const benchPeerEndpoint = "e-2"

// connectPeer sets up a session with a peer that holds an endpoint with free capacity.
func (b *bench) connectPeer() {
	second := benchEndpoint
	second.ID.Name = benchPeerEndpoint
	b.step(Listed{Endpoints: []workload.Endpoint{benchEndpoint, second}})
	b.step(PeerUp{Peer: benchPeer}, b.receivedFrom(benchPeer, &Heartbeat{Configuration: 1}),
		b.receivedFrom(benchPeer, &Advert{ChangedCapacity: table.Difference[string, FreeCapacity]{Sequence: 1, Rows: []FreeCapacity{{Endpoint: benchPeerEndpoint, Free: second.Capacity, Speed: 1}}}, Total: second.Capacity}))
}

func placeRequest(number int) *PlaceRequest {
	return &PlaceRequest{
		Sequence: 1, Job: "j", Service: "s", Need: workload.Resources{MilliCPU: 1000}, Estimate: time.Second,
		Objective: time.Second, Expiry: 3 * time.Second, CallerTimeout: 3 * time.Second, Tasks: []PlacedTask{{Number: number}},
	}
}

func (b *bench) placedNumbers() []int {
	var numbers []int
	for _, s := range effectsOf[Send](b) {
		if p, ok := s.Message.(*PlaceRequest); ok {
			for _, t := range p.Tasks {
				numbers = append(numbers, t.Number)
			}
		}
	}
	return numbers
}

// After a pause, a home places a run with a peer from which it has received nothing for
// the length of the pause. It must not count that run as ended before the peer has had
// the time to stop it.
func TestPausedHomeDoesNotTakeWhatItHasJustPlacedAsLost(t *testing.T) {
	b := newBench(t)
	b.connectPeer()
	full := b.submit(1, 64000)
	assert.Equal(t, len(full), 1)
	b.now = b.now.Add(3 * time.Second)
	b.submit(1, 64000)
	began := b.now
	numbers := b.placedNumbers()
	b.report(nil, []workload.EndedRun{{Sequence: 1, Run: full[0].Run, How: workload.Done}})
	for b.now.Sub(began) < 1500*time.Millisecond {
		for _, s := range effectsOf[Start](b) {
			if s.Copy == 1 {
				numbers = append(numbers, s.Run.Number)
			}
		}
		numbers = append(numbers, b.placedNumbers()...)
		b.advanceBy(10 * time.Millisecond)
	}
	assert.Assert(t, len(numbers) <= 1, "runs %v were placed while the first one may be running", numbers)
}

// A holder refuses a placement request that was sent when the home had long received
// nothing from the holder: the home counts such runs as ended, so a late start would run
// beside another attempt. The same request gets the same answer again, even after the
// home has received messages from the holder.
func TestLatePlaceIsRefused(t *testing.T) {
	b := newBench(t)
	b.connectPeer()
	late := b.receivedFrom(benchPeer, placeRequest(1))
	b.advanceBy(2 * time.Second)
	b.report(nil, nil)
	b.step(late)
	assert.Equal(t, len(effectsOf[Start](b)), 0)
	assert.Assert(t, slices.Contains(sentOutcomes(b), workload.NeverRan))
	b.step(b.receivedFrom(benchPeer, &Heartbeat{Configuration: 1}), b.receivedFrom(benchPeer, placeRequest(1)))
	assert.Equal(t, len(effectsOf[Start](b)), 0)
	assert.Assert(t, slices.Contains(sentOutcomes(b), workload.NeverRan))
	b.step(b.receivedFrom(benchPeer, placeRequest(2)))
	assert.Equal(t, len(effectsOf[Start](b)), 1)
}

// A second home of a job numbers its runs from 1 again. When the first home's run of the
// same number may still be running, the holder answers the second home only after that
// run has ended.
func TestSecondHomeWaitsForTheRunOfTheFirst(t *testing.T) {
	b := newBench(t)
	b.connectPeer()
	second := instance.ID{Instance: "c", Incarnation: 1}
	b.step(PeerUp{Peer: second}, b.receivedFrom(second, &Heartbeat{Configuration: 1}))
	b.step(b.receivedFrom(benchPeer, placeRequest(1)))
	starts := effectsOf[Start](b)
	assert.Equal(t, len(starts), 1)
	b.answerStart(&starts[0], Accepted)
	b.step(b.receivedFrom(second, placeRequest(1)))
	assert.Equal(t, len(sentOutcomes(b)), 0)
	b.step(b.receivedFrom(benchPeer, &Drop{Runs: []workload.Run{starts[0].Run}}))
	b.step(b.receivedFrom(second, placeRequest(1)))
	assert.Equal(t, len(sentOutcomes(b)), 0, "the run has not stopped yet")
	b.report(nil, []workload.EndedRun{{Sequence: 1, Run: starts[0].Run, How: workload.Stopped}})
	assert.Assert(t, slices.Contains(sentOutcomes(b), workload.NeverRan))
}

func sentOutcomes(b *bench) []workload.How {
	var ends []workload.How
	for _, s := range effectsOf[Send](b) {
		if e, ok := s.Message.(*RunEnded); ok {
			ends = append(ends, e.How)
		}
	}
	return ends
}

// A placement request from an earlier incarnation of its home arrives after the next
// incarnation has connected. It starts nothing, as no caller waits for it any more.
func TestPlaceOfAFormerIncarnationIsRefused(t *testing.T) {
	b := newBench(t)
	b.connectPeer()
	late := b.receivedFrom(benchPeer, placeRequest(1))
	next := instance.ID{Instance: benchPeer.Instance, Incarnation: 2}
	b.step(PeerUp{Peer: next}, b.receivedFrom(next, &Heartbeat{Configuration: 1}))
	b.step(late)
	assert.Equal(t, len(effectsOf[Start](b)), 0)
}

// A home whose heartbeats arrive, but which confirms no message of this instance, does
// not receive them. The holder stops the runs of that home, and does so before the home
// counts them as ended.
func TestRunsOfAHomeThatConfirmsNothingAreStopped(t *testing.T) {
	b := newBench(t)
	b.connectPeer()
	b.step(b.receivedFrom(benchPeer, placeRequest(1)))
	starts := effectsOf[Start](b)
	assert.Equal(t, len(starts), 1)
	b.answerStart(&starts[0], Accepted)
	began, lastReceived := b.now, b.now.Sub(b.control.began)
	const interval = 50 * time.Millisecond
	stops := 0
	for stops == 0 && b.now.Sub(began) <= DefaultTiming().EchoTimeout {
		b.now = b.now.Add(interval)
		b.step(Received{From: benchPeer, Envelope: Envelope{Message: &Heartbeat{Configuration: 1}, Sent: b.now.Sub(b.control.began), LastReceived: lastReceived}})
		stops += len(effectsOf[StopRun](b))
	}
	assert.Equal(t, stops, 1)
	assert.Assert(t, b.now.Sub(began) > DefaultTiming().EchoTimeout)
}

// When an endpoint answers reports, but not the stop order for an orphan, the holder
// withholds the lease: the run ends within the time after which its home counts it as
// ended.
func TestLeaseIsWithheldWhileTheStopOfAnOrphanIsNotAccepted(t *testing.T) {
	b := newBench(t)
	b.connectPeer()
	b.step(b.receivedFrom(benchPeer, placeRequest(1)))
	starts := effectsOf[Start](b)
	assert.Equal(t, len(starts), 1)
	b.answerStart(&starts[0], Accepted)
	running := []workload.RunningRun{{Run: starts[0].Run, Percent: 10}}
	timing := DefaultTiming()
	began := b.now
	var withheldAt time.Time
	for b.now.Sub(began) < timing.SuspectAfter+2*timing.StopRetry+timing.leaseExpiry() {
		b.advanceBy(20 * time.Millisecond)
		for _, stop := range effectsOf[StopRun](b) {
			b.step(StopDone{Endpoint: stop.Endpoint, Token: stop.Token, Run: stop.Run, Outcome: Unanswered})
		}
		for _, w := range effectsOf[Watch](b) {
			if !w.Renew {
				withheldAt = b.now
			}
		}
		if withheldAt.IsZero() {
			b.report(running, nil)
		}
	}
	assert.Assert(t, !withheldAt.IsZero() && withheldAt.Sub(began) <= timing.SuspectAfter+2*timing.StopRetry, "%v", withheldAt.Sub(began))
	assert.Equal(t, b.control.Overview().Runs, 0)
}

// Guards against tasks that run twice (soak seed 336): requests for reports renew the lease
// until the watch is told otherwise, also those that are never answered. A run there has not
// lapsed before a lease term has passed since then.
func TestLeaseLapsesATermAfterTheWatchStopsRenewing(t *testing.T) {
	timing := DefaultTiming()
	for silent := time.Duration(0); silent < 400*time.Millisecond; silent += 50 * time.Millisecond {
		b := newBench(t)
		b.connectPeer()
		b.step(b.receivedFrom(benchPeer, placeRequest(1)))
		starts := effectsOf[Start](b)
		assert.Equal(t, len(starts), 1)
		b.answerStart(&starts[0], Accepted)
		began := b.now
		var renewedUntil time.Time // when the watch was told not to renew the lease
		observe := func() {
			for _, w := range effectsOf[Watch](b) {
				if !w.Renew && renewedUntil.IsZero() {
					renewedUntil = b.now
				}
			}
		}
		for b.control.Overview().Runs > 0 && b.now.Sub(began) < 3*time.Second {
			b.advanceBy(10 * time.Millisecond)
			observe()
			for _, stop := range effectsOf[StopRun](b) {
				b.step(StopDone{Endpoint: stop.Endpoint, Token: stop.Token, Run: stop.Run, Outcome: Unanswered})
				observe()
			}
			if b.now.Sub(began) < timing.SuspectAfter-silent {
				b.report([]workload.RunningRun{{Run: starts[0].Run, Percent: int(b.now.Sub(began).Milliseconds() / 10)}}, nil)
				observe()
			}
		}
		assert.Assert(t, !renewedUntil.IsZero())
		assert.Check(t, b.now.Sub(renewedUntil) >= timing.leaseExpiry(), "last report %s before the stop: the run counts as lapsed after %s", silent, b.now.Sub(renewedUntil))
	}
}

// Among many instances, those of different failure domains that run nothing for each
// other send heartbeats less often. A home that has placed a run here is suspected after
// the normal time.
func TestIdleMembersOfOtherDomainsBeatLessOften(t *testing.T) {
	b := newBench(t)
	rows := []MemberRow{{Instance: "b", Incarnation: 1, Domain: "east"}}
	for i := range fewPeers {
		rows = append(rows, MemberRow{Instance: fmt.Sprint("far-", i), Incarnation: 1, Domain: "west", Share: 1})
	}
	b.connectMembers(rows...)
	home := instance.ID{Instance: "far-3", Incarnation: 1}
	// The peers send heartbeats often, except for the home, which sends them as seldom as
	// it may.
	exchangeHeartbeats := func() map[string]int {
		sent := make(map[string]int)
		for i := range 60 {
			b.now = b.now.Add(50 * time.Millisecond)
			var inputs []Input
			for _, r := range rows {
				if id := (instance.ID{Instance: r.Instance, Incarnation: 1}); id != home || i%11 == 0 {
					inputs = append(inputs, b.receivedFrom(id, &Heartbeat{Configuration: 1}))
				}
			}
			b.step(inputs...)
			for _, s := range effectsOf[Send](b) {
				if _, ok := s.Message.(*Heartbeat); ok {
					sent[s.Peer.Instance]++
				}
			}
		}
		return sent
	}
	sent := exchangeHeartbeats()
	assert.Assert(t, sent["b"] >= 15, "%v", sent)
	assert.Assert(t, sent["far-3"] >= 3 && sent["far-3"] <= sent["b"]/2, "%v", sent)
	assert.Assert(t, !b.control.anySuspected())
	b.report(nil, nil)
	b.step(b.receivedFrom(home, placeRequest(1)))
	starts := effectsOf[Start](b)
	assert.Equal(t, len(starts), 1)
	b.answerStart(&starts[0], Accepted)
	began := b.now
	stops := 0
	for stops == 0 && b.now.Sub(began) < time.Second {
		b.now = b.now.Add(20 * time.Millisecond)
		b.step(b.receivedFrom(benchPeer, &Heartbeat{Configuration: 1}))
		stops = len(effectsOf[StopRun](b))
	}
	assert.Equal(t, stops, 1)
	assert.Assert(t, b.now.Sub(began) <= DefaultTiming().SuspectAfter+50*time.Millisecond, "%s", b.now.Sub(began))
}

// An endpoint that is unresponsive for a while keeps its runs: the holder does not stop
// them, and starts no other attempt before their lease has certainly expired.
func TestEndpointThatIsSilentForAWhileKeepsItsRuns(t *testing.T) {
	b := newBench(t)
	starts := b.submit(1, 1000)
	assert.Equal(t, len(starts), 1)
	b.answerStart(&starts[0], Accepted)
	b.report([]workload.RunningRun{{Run: starts[0].Run, Percent: 5}}, nil)
	orders := 0
	for range 4 {
		b.now = b.now.Add(200 * time.Millisecond)
		b.step(Silent{Endpoint: benchEndpoint.ID, Token: benchToken, Outcome: Unanswered})
		orders += len(effectsOf[StopRun](b)) + len(effectsOf[Start](b))
	}
	assert.Equal(t, orders, 0)
	b.report([]workload.RunningRun{{Run: starts[0].Run, Percent: 70}}, nil)
	assert.Equal(t, len(effectsOf[StopRun](b))+len(effectsOf[Start](b)), 0)
	b.report(nil, []workload.EndedRun{{Sequence: 1, Run: starts[0].Run, How: workload.Done}})
	replies := effectsOf[Reply](b)
	assert.Assert(t, len(replies) == 1 && replies[0].Answer.Status == Completed)
}

// A restarted instance reads the configuration from the store first: a peer that is cut
// off from the store may send an outdated one with a route that was removed since. The
// instance uses the peer's configuration only when it cannot read the store for a while.
func TestRestartedInstanceReadsItsConfigurationFromTheStoreFirst(t *testing.T) {
	b := &bench{t: t, now: time.Unix(1000, 0)}
	b.control = New(Config{Self: instance.ID{Instance: "a", Incarnation: 2}, Domain: "east", Share: 1, Timing: DefaultTiming()})
	b.step(PeerUp{Peer: benchPeer})
	offer := func() int {
		b.step(b.receivedFrom(benchPeer, &ConfigurationPart{Version: 11, Data: []byte("{}")}))
		return len(effectsOf[OfferConfiguration](b))
	}
	assert.Equal(t, offer(), 0)
	b.advanceBy(storeConfigurationWait)
	assert.Equal(t, offer(), 1, "the store could not be read")
}

// Guards against two runs of a task at once: the lease of a run that its home had dropped was
// renewed while the endpoint did not answer the stop.
func TestLeaseOfADroppedRunIsNotRenewedWhileItsStopIsUnanswered(t *testing.T) {
	b := newBench(t)
	starts := b.submit(1, 1000)
	b.answerStart(&starts[0], Accepted)
	b.step(Abandon{Handle: Handle(b.jobs)})
	assert.Equal(t, len(effectsOf[StopRun](b)), 1)
	renewing := true
	for range 30 {
		b.report([]workload.RunningRun{{Run: starts[0].Run, Percent: 1}}, nil)
		for _, w := range effectsOf[Watch](b) {
			renewing = w.Renew
		}
		b.advanceBy(10 * time.Millisecond)
		for _, w := range effectsOf[Watch](b) {
			renewing = w.Renew
		}
	}
	assert.Assert(t, !renewing, "the lease is renewed 0.3 s after the drop")
	b.step(StopDone{Endpoint: benchEndpoint.ID, Token: benchToken, Run: starts[0].Run, Outcome: Accepted, Reading: b.reading()})
	b.report(nil, []workload.EndedRun{{Sequence: 1, Run: starts[0].Run, How: workload.Stopped}})
	b.advanceBy(10 * time.Millisecond)
	for _, w := range effectsOf[Watch](b) {
		renewing = w.Renew
	}
	assert.Assert(t, renewing, "the lease is not renewed after the stop")
}

// renewUntil returns the limit of the lease in the last change of the endpoint's watch.
func (b *bench) renewUntil(before time.Time) time.Time {
	for _, w := range effectsOf[Watch](b) {
		before = w.RenewUntil
	}
	return before
}

// Guards against two runs of a task at once: an instance that had stood still renewed the leases
// of its runs before it noticed that their callers had left.
func TestLeaseIsNotExtendedAfterAGapBeforeCallersAreChecked(t *testing.T) {
	b := newBench(t)
	starts := b.submit(1, 1000)
	limit := b.renewUntil(time.Time{})
	assert.Equal(t, limit, b.now.Add(b.control.config.Timing.maxUnconfirmed()))
	b.answerStart(&starts[0], Accepted)
	b.advanceBy(300 * time.Millisecond)
	assert.Equal(t, b.renewUntil(limit), limit, "the lease is extended before callers are checked")
	for range 30 {
		b.advanceBy(10 * time.Millisecond)
		limit = b.renewUntil(limit)
	}
	assert.Assert(t, limit.After(b.now.Add(b.control.config.Timing.Lease)), "the lease is not extended after callers were checked")
}

// Guards against two runs of a task at once: the lease of a run that its home had dropped was
// renewed until its stop counted as unanswered, and also by starts of other runs.
func TestLeaseOfADroppedRunIsNotExtended(t *testing.T) {
	b := newBench(t)
	starts := b.submit(1, 1000)
	b.answerStart(&starts[0], Accepted)
	b.step(Abandon{Handle: Handle(b.jobs)})
	assert.Equal(t, b.renewUntil(time.Time{}), b.now.Add(b.control.config.Timing.Lease))
	b.advanceBy(100 * time.Millisecond)
	starts = b.submit(1, 1000)
	assert.Equal(t, len(starts), 1)
	e, _ := b.control.holder.endpoints.Get(benchEndpoint.ID.Name)
	assert.Equal(t, starts[0].Until, e.clock+b.now.Add(b.control.config.Timing.Lease-100*time.Millisecond).Sub(e.reportReceivedAt))
}

// Guards against two runs of a task at once (soak seed 95000): a home had stood still while callers
// left. It dropped their runs, then knew of the callers that still waited, and the leases of the
// dropped runs were extended by that.
func TestLeaseLimitOfADroppedRunDoesNotRise(t *testing.T) {
	t.Run("of this instance", func(t *testing.T) {
		b := newBench(t)
		starts := b.submit(1, 1000)
		limit := b.renewUntil(time.Time{})
		b.answerStart(&starts[0], Accepted)
		b.now = b.now.Add(400 * time.Millisecond)
		b.step(Abandon{Handle: Handle(b.jobs)})
		b.checkLimit(limit, func() {})
	})
	t.Run("of a peer", func(t *testing.T) {
		b := newBench(t)
		b.connectPeer()
		b.step(b.receivedFrom(benchPeer, placeRequest(1)))
		starts := effectsOf[Start](b)
		assert.Equal(t, len(starts), 1)
		limit := b.renewUntil(time.Time{})
		b.answerStart(&starts[0], Accepted)
		late := b.receivedFrom(benchPeer, &Drop{Runs: []workload.Run{starts[0].Run}})
		b.now = b.now.Add(400 * time.Millisecond)
		b.step(late)
		b.checkLimit(limit, func() { b.step(b.receivedFrom(benchPeer, &Heartbeat{Configuration: 1})) })
	})
}

// checkLimit checks for a while in which something is done again and again that the limit of the
// endpoint's lease does not rise.
func (b *bench) checkLimit(limit time.Time, do func()) {
	for range 50 {
		b.advanceBy(10 * time.Millisecond)
		assert.Check(b.t, !b.renewUntil(limit).After(limit))
		do()
		assert.Check(b.t, !b.renewUntil(limit).After(limit))
	}
}

// Guards against two runs of a task at once: an instance that had stood still confirmed messages
// of the holders of its runs before it noticed that callers had left.
func TestNothingIsConfirmedAfterAGapBeforeCallersAreChecked(t *testing.T) {
	b := newBench(t)
	b.step(PeerUp{Peer: benchPeer}, b.receivedFrom(benchPeer, &Heartbeat{Configuration: 1}))
	confirmed := func(known time.Duration) time.Duration {
		for _, m := range effectsOf[Send](b) {
			known = m.LastReceived
		}
		return known
	}
	known := confirmed(0)
	for range 20 {
		b.advanceBy(10 * time.Millisecond)
		known = confirmed(known)
	}
	b.now = b.now.Add(300 * time.Millisecond)
	b.step(b.receivedFrom(benchPeer, &Heartbeat{Configuration: 1}))
	uptime := b.now.Sub(b.control.began)
	assert.Equal(t, confirmed(known), known, "a message is confirmed before callers are checked")
	for range 30 {
		b.advanceBy(10 * time.Millisecond)
		known = confirmed(known)
	}
	assert.Equal(t, known, uptime)
}
