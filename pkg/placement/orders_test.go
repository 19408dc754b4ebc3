package placement

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/workload"
)

// bench drives one control state by hand. It holds one endpoint.
type bench struct {
	t       *testing.T
	control *Control
	now     time.Time
	effects []Effect
	jobs    int
}

var benchEndpoint = workload.Endpoint{
	ID: workload.EndpointID{Name: "e-1", Born: 5}, Service: "s", Domain: "east",
	Capacity: workload.Resources{MilliCPU: 64000, MemoryMB: 1000}, Address: netip.MustParseAddrPort("127.0.0.1:9"),
}

const benchToken = 3

func newBench(t *testing.T) *bench {
	b := &bench{t: t, now: time.Unix(1000, 0)}
	b.control = New(Config{Self: instance.ID{Instance: "a", Incarnation: 1}, Domain: "east", Share: 1, Timing: DefaultTiming()})
	b.step(Configured{Configuration: &workload.Configuration{Version: 1}}, Listed{Endpoints: []workload.Endpoint{benchEndpoint}})
	b.serveStore()
	for range 200 {
		b.advanceBy(10 * time.Millisecond)
		b.serveStore()
	}
	b.report(nil, nil)
	assert.Equal(t, b.control.Overview().Held, 1)
	assert.Assert(t, b.control.Overview().Ready)
	return b
}

func (b *bench) step(inputs ...Input) {
	b.effects, _ = b.control.Step(b.now, inputs)
}

func (b *bench) advanceBy(span time.Duration) {
	b.now = b.now.Add(span)
	b.step()
}

// serveStore answers the calls to the store, and those that follow.
func (b *bench) serveStore() {
	calls := b.effects
	for len(calls) > 0 {
		e := calls[0]
		calls = calls[1:]
		switch m := e.(type) {
		case Commit:
			b.step(CommitDone{ID: m.ID, Version: benchToken})
			calls = append(calls, b.effects...)
		case Scan:
			b.step(ScanDone{ID: m.ID})
			calls = append(calls, b.effects...)
		}
	}
}

// from is a message of a peer that has received all that was sent to it.
func (b *bench) receivedFrom(peer instance.ID, m Message) Received {
	uptime := b.now.Sub(b.control.began)
	return Received{From: peer, Envelope: Envelope{Message: m, Sent: uptime, LastReceived: uptime}}
}

func (b *bench) report(running []workload.RunningRun, ended []workload.EndedRun) {
	sent := b.now
	b.now = b.now.Add(time.Millisecond)
	b.step(Reported{Endpoint: benchEndpoint.ID, Token: benchToken, Sent: sent, Received: b.now, Report: workload.Report{Clock: time.Minute, Running: running, Ended: ended}})
}

// submit hands in a job of one step and returns the start orders.
func (b *bench) submit(tasks, milliCPU int) []Start {
	b.jobs++
	j := &workload.Job{ID: workload.JobID(rune('a' + b.jobs)), Ephemeral: true, Steps: []workload.Step{{
		Count: tasks, Estimate: 100 * time.Millisecond, Need: workload.Resources{MilliCPU: milliCPU},
	}}}
	b.step(Submit{Handle: Handle(b.jobs), Job: j, Route: workload.Route{Service: "s", Stretch: 1.6, Slack: time.Second, MaxAttempts: 2}, CallerTimeout: 5 * time.Second})
	return effectsOf[Start](b)
}

func effectsOf[E Effect](b *bench) []E {
	var list []E
	for _, e := range b.effects {
		if m, ok := e.(E); ok {
			list = append(list, m)
		}
	}
	return list
}

func (b *bench) answerStart(m *Start, outcome OrderOutcome) {
	b.step(StartDone{Endpoint: m.Endpoint, Token: m.Token, Run: m.Run, Copy: m.Copy, Outcome: outcome})
}

// A start that was not answered is sent again, then stopped. Its room stays
// reserved until the endpoint has accepted the stop and a later report does not
// list it: until then it might still be carried out.
func TestUnansweredStartKeepsItsRoom(t *testing.T) {
	b := newBench(t)
	starts := b.submit(1, 40000)
	assert.Equal(t, len(starts), 1)
	b.answerStart(&starts[0], Unanswered)
	again := effectsOf[Start](b)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Run, starts[0].Run)
	b.answerStart(&again[0], Unanswered)
	stops := effectsOf[StopRun](b)
	assert.Equal(t, len(stops), 1)
	b.report(nil, nil)
	assert.Equal(t, len(b.submit(1, 40000)), 0, "there is no room beside a start that may come late")
	b.step(StopDone{Endpoint: benchEndpoint.ID, Token: benchToken, Run: stops[0].Run, Outcome: Accepted})
	assert.Equal(t, len(effectsOf[Start](b)), 0)
	b.advanceBy(time.Millisecond)
	b.report(nil, nil)
	assert.Equal(t, len(effectsOf[Start](b)), 1, "both jobs wait, and one fits")
}

// The same run is never started twice here, and a stop that is not answered is
// repeated until it is.
func TestUnansweredStopIsRepeated(t *testing.T) {
	b := newBench(t)
	starts := b.submit(1, 40000)
	b.answerStart(&starts[0], Accepted)
	b.step(Abandon{Handle: Handle(b.jobs)})
	stops := effectsOf[StopRun](b)
	assert.Equal(t, len(stops), 1)
	b.step(StopDone{Endpoint: benchEndpoint.ID, Token: benchToken, Run: stops[0].Run, Outcome: Unanswered})
	b.advanceBy(250 * time.Millisecond)
	assert.Equal(t, len(effectsOf[StopRun](b)), 1)
	assert.Equal(t, b.control.Overview().Runs, 1)
}

// An end that is listed twice, as its acknowledgement was lost, ends its run
// once and frees its room once.
func TestEndListedTwice(t *testing.T) {
	b := newBench(t)
	starts := b.submit(2, 30000)
	assert.Equal(t, len(starts), 2)
	for i := range starts {
		b.answerStart(&starts[i], Accepted)
	}
	end := []workload.EndedRun{{Sequence: 1, Run: starts[0].Run, How: workload.Done}}
	running := []workload.RunningRun{{Run: starts[1].Run, Percent: 50}}
	b.report(running, end)
	b.report(running, end)
	assert.Equal(t, b.control.Overview().Runs, 1)
	assert.Equal(t, len(b.submit(3, 30000)), 1, "one of the three fits beside what runs")
}

// What an earlier holder left at an endpoint is stopped, and nothing starts
// before it is gone.
func TestCapacityAfterTakeOver(t *testing.T) {
	b := newBench(t)
	left := workload.Run{Task: workload.TaskID{Job: "old"}, Number: 1}
	b.report([]workload.RunningRun{{Run: left}}, nil)
	stops := effectsOf[StopRun](b)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Run, left)
	assert.Equal(t, len(b.submit(1, 1000)), 0)
	b.report(nil, nil)
	assert.Equal(t, len(b.submit(1, 1000)), 1)
}

// An order that is refused for its token ends the hold; what ran there may still
// run, so the task waits until its lease is certainly over.
func TestFencedOrderEndsTheHold(t *testing.T) {
	b := newBench(t)
	starts := b.submit(1, 1000)
	b.answerStart(&starts[0], Fenced)
	assert.Equal(t, b.control.Overview().Held, 0)
	assert.Equal(t, b.control.Overview().Jobs, 1)
	assert.Equal(t, len(effectsOf[Start](b)), 0)
}

// A lease is renewed on the endpoint's own clock.
func TestLeaseIsOnTheEndpointsClock(t *testing.T) {
	b := newBench(t)
	b.advanceBy(100 * time.Millisecond)
	starts := b.submit(1, 1000)
	assert.Equal(t, starts[0].Until, time.Minute+100*time.Millisecond+DefaultTiming().Lease)
}

// A late copy of a start that has ended is refused as too old: its end is on the
// list and decides.
func TestRefusedCopyOfAStartWaitsForTheReport(t *testing.T) {
	b := newBench(t)
	starts := b.submit(1, 1000)
	b.answerStart(&starts[0], Unanswered)
	b.answerStart(&starts[0], TooOld)
	assert.Equal(t, b.control.Overview().Runs, 1)
	b.report(nil, []workload.EndedRun{{Sequence: 1, Run: starts[0].Run, How: workload.Done}})
	replies := effectsOf[Reply](b)
	assert.Equal(t, len(replies), 1)
	assert.Equal(t, replies[0].Answer.Status, Completed)
}

func TestTaskThatFailsTooOftenFailsItsJob(t *testing.T) {
	b := newBench(t)
	starts := b.submit(1, 1000)
	b.answerStart(&starts[0], Accepted)
	b.report(nil, []workload.EndedRun{{Sequence: 1, Run: starts[0].Run, How: workload.Failed}})
	assert.Equal(t, len(effectsOf[Reply](b)), 0)
}

// Callers that are refused together are asked to come back at different times.
func TestRefusedCallersAreSpread(t *testing.T) {
	b := newBench(t)
	times := make(map[time.Duration]bool)
	for range 20 {
		b.submit(1, 99000)
		replies := effectsOf[Reply](b)
		assert.Equal(t, replies[0].Answer.Status, Refused)
		assert.Assert(t, replies[0].Answer.RetryAfter >= time.Second)
		times[replies[0].Answer.RetryAfter] = true
	}
	assert.Assert(t, len(times) > 10)
}

// A home that finds a better place for a task that waits takes back only what
// has not been ordered meanwhile.
func TestMovingATaskDoesNotStopIt(t *testing.T) {
	b := newBench(t)
	starts := b.submit(3, 30000)
	assert.Equal(t, len(starts), 2)
	ids := make([]workload.Run, 3)
	for i := range ids {
		ids[i] = workload.Run{Task: workload.TaskID{Job: starts[0].Run.Task.Job, Index: i}, Number: 1}
	}
	b.step(Received{From: b.control.self, Envelope: Envelope{Message: &Drop{Runs: ids, OnlyWaiting: true}}})
	assert.Equal(t, len(effectsOf[StopRun](b)), 0)
	assert.Equal(t, b.control.Overview().Jobs, 1)
}

func TestWaitsCountWhatGoesBefore(t *testing.T) {
	waits := Waits{{Priority: -1 << 31, Wait: 5}}
	waits = waits.addWork(2, 100)
	waits = waits.addWork(0, 10)
	waits = waits.addWork(2, 100)
	for priority, wait := range map[int]time.Duration{-1: 5, 0: 15, 1: 15, 2: 215, 3: 215} {
		assert.Equal(t, waits.forPriority(priority), wait, "priority %d", priority)
	}
}

// Away from its data a task takes longer: of two endpoints with room the one at
// the data is better, and a task may be late at the other.
func TestDataElsewhereTakesLonger(t *testing.T) {
	c := New(Config{FarFactor: 3, Timing: DefaultTiming()})
	near, away := workload.Endpoint{Labels: []string{"rack-1"}}, workload.Endpoint{Labels: []string{"rack-2"}}
	d := demand{estimate: 100 * time.Millisecond, untilObjective: 200 * time.Millisecond, rack: "rack-1"}
	room := &FreeCapacity{Speed: 1}
	assert.Assert(t, rateFit(c.demandAt(d, &near), room, false).inTime)
	assert.Assert(t, !rateFit(c.demandAt(d, &away), room, false).inTime)
	d.rack = ""
	assert.Assert(t, rateFit(c.demandAt(d, &away), room, false).inTime)
}

// A holder ends the runs of a home that does not hear it, as the home takes them
// to have ended after a while.
func TestRunsOfAHomeThatDoesNotHearAreStopped(t *testing.T) {
	b := newBench(t)
	home := instance.ID{Instance: "b", Incarnation: 1}
	b.step(PeerUp{Peer: home}, b.receivedFrom(home, &Heartbeat{Configuration: 1}))
	place := &PlaceRequest{
		Sequence: 1, Job: "j", Service: "s", Need: workload.Resources{MilliCPU: 1000}, Estimate: time.Second,
		Objective: time.Second, Expiry: 3 * time.Second, CallerTimeout: 3 * time.Second, Tasks: []PlacedTask{{Number: 1}},
	}
	b.step(b.receivedFrom(home, place))
	starts := effectsOf[Start](b)
	assert.Equal(t, len(starts), 1)
	b.answerStart(&starts[0], Accepted)
	b.step(b.receivedFrom(home, &Heartbeat{Configuration: 1, ReceiverSuspected: true}))
	assert.Equal(t, len(effectsOf[StopRun](b)), 1)
}

// An instance that has stood still for longer than others wait for it starts
// nothing of what was placed with it before.
func TestRunsQueuedBeforeAPauseAreNotStarted(t *testing.T) {
	b := newBench(t)
	home := instance.ID{Instance: "b", Incarnation: 1}
	b.step(PeerUp{Peer: home}, b.receivedFrom(home, &Heartbeat{Configuration: 1}))
	full := b.submit(1, 64000)
	assert.Equal(t, len(full), 1)
	b.answerStart(&full[0], Accepted)
	place := &PlaceRequest{
		Sequence: 1, Job: "j", Service: "s", Need: workload.Resources{MilliCPU: 1000}, Estimate: time.Second,
		Objective: 5 * time.Second, Expiry: 9 * time.Second, CallerTimeout: 9 * time.Second, Tasks: []PlacedTask{{Number: 1}},
	}
	b.step(b.receivedFrom(home, place))
	b.now = b.now.Add(2 * time.Second)
	b.step(b.receivedFrom(home, &Heartbeat{Configuration: 1}))
	b.report(nil, []workload.EndedRun{{Sequence: 1, Run: full[0].Run, How: workload.Done}})
	assert.Equal(t, len(effectsOf[Start](b)), 0)
}

// An end of a stored job's run is kept by the endpoint until its home has
// recorded it; those before it are acknowledged.
func TestEndsOfStoredJobsAreKeptUntilRecorded(t *testing.T) {
	b := newBench(t)
	starts := b.submit(1, 1000)
	b.answerStart(&starts[0], Accepted)
	home := instance.ID{Instance: "b", Incarnation: 1}
	b.step(PeerUp{Peer: home}, b.receivedFrom(home, &Heartbeat{Configuration: 1}))
	b.step(b.receivedFrom(home, &PlaceRequest{
		Sequence: 1, Job: "0a", Service: "s", Need: workload.Resources{MilliCPU: 1000}, Estimate: time.Second, Stored: true, Round: 2,
		Objective: time.Second, Expiry: 3 * time.Second, CallerTimeout: 3 * time.Second, Tasks: []PlacedTask{{Number: 2001}},
	}))
	stored := effectsOf[Start](b)
	assert.Equal(t, len(stored), 1)
	watches := effectsOf[Watch](b)
	assert.Assert(t, len(watches) == 1 && watches[0].ExplicitAcks && watches[0].Renew)
	b.answerStart(&stored[0], Accepted)
	ends := []workload.EndedRun{{Sequence: 1, Run: starts[0].Run, How: workload.Done}, {Sequence: 2, Run: stored[0].Run, How: workload.Done}}
	b.report(nil, ends)
	notes := effectsOf[Acknowledge](b)
	assert.Equal(t, len(notes), 1)
	assert.Equal(t, notes[0].Upto, int64(1))
	b.report(nil, ends)
	assert.Equal(t, len(effectsOf[Acknowledge](b)), 0)
	b.step(b.receivedFrom(home, &OutcomesRecorded{Runs: []workload.Run{stored[0].Run}}))
	notes = effectsOf[Acknowledge](b)
	assert.Equal(t, len(notes), 1)
	assert.Equal(t, notes[0].Upto, int64(2))
}

// A home that was replaced without knowing it starts nothing more.
func TestPlacesOfAnEarlierHomeAreIgnored(t *testing.T) {
	b := newBench(t)
	former, present := instance.ID{Instance: "b", Incarnation: 1}, instance.ID{Instance: "c", Incarnation: 1}
	for _, id := range []instance.ID{former, present} {
		b.step(PeerUp{Peer: id}, b.receivedFrom(id, &Heartbeat{Configuration: 1}))
	}
	place := func(round int) *PlaceRequest {
		return &PlaceRequest{
			Sequence: 1, Job: "0a", Service: "s", Need: workload.Resources{MilliCPU: 1000}, Estimate: time.Second, Stored: true, Round: round,
			Objective: time.Second, Expiry: 3 * time.Second, CallerTimeout: 3 * time.Second, Tasks: []PlacedTask{{Number: round*runsPerRound + 1}},
		}
	}
	b.step(b.receivedFrom(former, place(0)))
	starts := effectsOf[Start](b)
	assert.Equal(t, len(starts), 1)
	b.answerStart(&starts[0], Accepted)
	b.step(b.receivedFrom(present, &Inquire{Sequence: 1, Jobs: []JobRound{{Job: "0a", Round: 1}}}))
	assert.Equal(t, len(effectsOf[StopRun](b)), 1)
	late := place(0)
	late.Tasks[0].Number = 2
	b.step(b.receivedFrom(former, late))
	assert.Equal(t, len(effectsOf[Start](b)), 0)
	b.step(b.receivedFrom(present, place(1)))
	assert.Equal(t, len(effectsOf[Start](b)), 1)
}

// An endpoint that has begun a new life under its name carries out a start that
// was meant for the former one: the run is stopped, and its task waits until the
// lease is over.
func TestStartCarriedOutByAnotherLife(t *testing.T) {
	b := newBench(t)
	starts := b.submit(1, 1000)
	b.answerStart(&starts[0], OtherLife)
	stops := effectsOf[StopRun](b)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Run, starts[0].Run)
	assert.Equal(t, b.control.Overview().Held, 0, "nothing more is ordered there")
	assert.Equal(t, len(b.submit(1, 1000)), 0)
	for range 80 {
		b.advanceBy(10 * time.Millisecond)
		assert.Equal(t, len(effectsOf[Start](b)), 0)
		b.report(nil, nil)
	}
}

// A start that was not answered before the endpoint began a new life may be
// carried out by that one.
func TestUnansweredStartIsStoppedInTheNextLife(t *testing.T) {
	b := newBench(t)
	starts := b.submit(2, 1000)
	b.answerStart(&starts[0], Accepted)
	next := benchEndpoint
	next.ID.Born++
	b.step(Listed{Endpoints: []workload.Endpoint{next}})
	stops := effectsOf[StopRun](b)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Run, starts[1].Run)
}

// A task whose start may still be carried out by an endpoint's next life is
// started elsewhere only when that life has answered its next holder.
func TestTaskWaitsForTheNextLifeOfItsEndpoint(t *testing.T) {
	b := newBench(t)
	starts := b.submit(1, 1000)
	b.answerStart(&starts[0], OtherLife)
	other := benchEndpoint
	other.ID, other.Domain = workload.EndpointID{Name: "e-2", Born: 1}, "east"
	next := benchEndpoint
	next.ID.Born++
	b.step(Listed{Endpoints: []workload.Endpoint{next, other}})
	pass := func(span time.Duration) (starts int) {
		for end := b.now.Add(span); b.now.Before(end); {
			b.serveStore()
			b.advanceBy(10 * time.Millisecond)
			starts += b.countFirstCopies()
			b.serveStore()
			b.now = b.now.Add(time.Millisecond)
			b.step(Reported{Endpoint: other.ID, Token: benchToken, Sent: b.now, Received: b.now, Report: workload.Report{Clock: time.Minute}})
			starts += b.countFirstCopies()
		}
		return starts
	}
	assert.Equal(t, pass(2*time.Second), 0, "the next life has not answered")
	b.step(Reported{Endpoint: next.ID, Token: benchToken, Sent: b.now, Received: b.now, Report: workload.Report{Clock: time.Second}})
	assert.Equal(t, pass(500*time.Millisecond), 1)
}

// firstStarts counts the start orders that are not copies of an earlier one.
func (b *bench) countFirstCopies() int {
	n := 0
	for _, s := range effectsOf[Start](b) {
		if s.Copy == 1 {
			n++
		}
	}
	return n
}

// A start that waits behind others on the instance's own link is not one that its
// endpoint leaves unanswered. An answer that comes late is taken all the same.
func TestStartsThatWaitOnTheLinkAreNotRepeated(t *testing.T) {
	b := newBench(t)
	b.control.uplink.bytesPerSecond = 100_000
	starts := b.submit(30, 1000)
	assert.Equal(t, len(starts), 30)
	again := 0
	for range 15 {
		b.advanceBy(10 * time.Millisecond)
		again += len(effectsOf[Start](b))
	}
	assert.Assert(t, again >= 5 && again <= 23, "%d of 30 starts were repeated 150 ms after 120 ms of orders", again)
	last := starts[len(starts)-1]
	assert.Equal(t, last.Copy, 1)
	b.answerStart(&last, Accepted)
	for range 40 {
		b.advanceBy(10 * time.Millisecond)
		for _, stop := range effectsOf[StopRun](b) {
			assert.Assert(t, stop.Run != last.Run)
		}
		b.step(StartDone{Endpoint: last.Endpoint, Token: last.Token, Run: starts[0].Run, Copy: 1, Outcome: Unanswered})
	}
}

// An endpoint that another instance has asked for is given up as soon as its last
// run has ended: until then it is idle.
func TestAskedEndpointIsYieldedWithItsLastRun(t *testing.T) {
	b := newBench(t)
	b.connectMembers(MemberRow{Instance: "b", Incarnation: 1, Domain: "east", Share: 1})
	starts := b.submit(2, 1000)
	assert.Equal(t, len(starts), 2)
	for i := range starts {
		b.answerStart(&starts[i], Accepted)
	}
	b.step(Stop{})
	b.step(b.receivedFrom(benchPeer, &Yield{Endpoints: []string{"e-1"}}))
	b.report([]workload.RunningRun{{Run: starts[1].Run, Percent: 50}}, []workload.EndedRun{{Sequence: 1, Run: starts[0].Run, How: workload.Done}})
	yielded := func() bool {
		for _, s := range effectsOf[Send](b) {
			if _, ok := s.Message.(*Yielded); ok {
				return true
			}
		}
		return false
	}
	assert.Assert(t, !yielded())
	b.report(nil, []workload.EndedRun{{Sequence: 2, Run: starts[1].Run, How: workload.Done}})
	assert.Assert(t, yielded())
}

// storeJob hands in a stored job of one task beside a run that fills the endpoint,
// and returns the job, whose task waits.
func (b *bench) submitStored() (*job, Start) {
	full := b.submit(1, 64000)
	assert.Equal(b.t, len(full), 1)
	b.answerStart(&full[0], Accepted)
	b.jobs++
	const id = "00000000000000aa"
	submitted := &workload.Job{ID: id, Steps: []workload.Step{{Count: 1, Estimate: 100 * time.Millisecond, Need: workload.Resources{MilliCPU: 1000}}}}
	b.step(Submit{Handle: Handle(b.jobs), Job: submitted, Route: workload.Route{Service: "s", Stretch: 1.6, Slack: time.Second, MaxAttempts: 2}, CallerTimeout: 5 * time.Second})
	for range 60 {
		b.serveStore()
		b.advanceBy(10 * time.Millisecond)
	}
	j, ok := b.control.home.jobs.Get(id)
	assert.Assert(b.t, ok && j.stored.phase == open && j.steps[0][0].phase == placed)
	return j, full[0]
}

// What a home has placed of a stored job that another instance sees to does not
// start any more, also where it waits at the home itself (soak, seed 303).
func TestNothingOfALostJobStarts(t *testing.T) {
	b := newBench(t)
	j, full := b.submitStored()
	b.control.dropStored(j, "another instance is its home")
	b.report(nil, []workload.EndedRun{{Sequence: 1, Run: full.Run, How: workload.Done}})
	for range 10 {
		assert.Equal(t, len(effectsOf[Start](b)), 0)
		b.advanceBy(10 * time.Millisecond)
	}
}

// A task of a stored job that has waited at its holder for long is placed anew, and
// only when a write has shown that its home is still its home.
func TestStoredRunsThatHaveWaitedAreVerified(t *testing.T) {
	b := newBench(t)
	_, full := b.submitStored()
	running := []workload.RunningRun{{Run: full.Run}}
	var commits []Commit
	for i := range 11 {
		b.now = b.now.Add(100 * time.Millisecond)
		running[0].Percent = i + 1
		b.report(running, nil)
		commits = append(commits, effectsOf[Commit](b)...)
	}
	b.report(nil, []workload.EndedRun{{Sequence: 1, Run: full.Run, How: workload.Done}})
	commits = append(commits, effectsOf[Commit](b)...)
	for range 5 {
		assert.Equal(t, len(effectsOf[Start](b)), 0, "its home has not been verified")
		b.advanceBy(20 * time.Millisecond)
		commits = append(commits, effectsOf[Commit](b)...)
	}
	assert.Assert(t, len(commits) > 0)
	b.step(CommitDone{ID: commits[0].ID, Version: benchToken + 1})
	starts := effectsOf[Start](b)
	assert.Equal(t, len(starts), 1)
	assert.Assert(t, starts[0].Run.Number > 1)
}

// A job that is handed in again while a start of its former time here may still be
// carried out waits for the end of that one, and does not go elsewhere (soak, seed
// 336).
func TestJobHandedInAgainWaitsForItsFormerRuns(t *testing.T) {
	b := newBench(t)
	starts := b.submit(1, 1000)
	assert.Equal(t, len(starts), 1)
	b.answerStart(&starts[0], Unanswered)
	again := effectsOf[Start](b)
	b.answerStart(&again[0], Unanswered)
	stops := effectsOf[StopRun](b)
	assert.Equal(t, len(stops), 1)
	b.step(Abandon{Handle: Handle(b.jobs)})
	b.connectPeer()
	second, leaving := benchEndpoint, benchEndpoint
	second.ID.Name, leaving.Draining = benchPeerEndpoint, true
	b.step(Listed{Endpoints: []workload.Endpoint{leaving, second}})
	b.report(nil, nil)
	b.jobs--
	assert.Equal(t, len(b.submit(1, 1000)), 0)
	assert.Equal(t, len(b.placedNumbers()), 0)
	b.step(StopDone{Endpoint: benchEndpoint.ID, Token: benchToken, Run: stops[0].Run, Outcome: Accepted})
	b.advanceBy(time.Millisecond)
	b.report(nil, nil)
	for range 20 {
		if next := b.placedNumbers(); len(next) > 0 {
			assert.Assert(t, next[0] > starts[0].Run.Number)
			return
		}
		b.advanceBy(10 * time.Millisecond)
	}
	t.Fatal("the job was not placed when its former run had ended")
}
