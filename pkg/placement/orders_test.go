package placement

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/workload"
)

// bench drives the Control of one instance, which holds one endpoint, step by step.
type bench struct {
	t       *testing.T
	control *Control
	now     time.Time
	effects []Effect
	jobs    int
	// holdChecks leaves checks of callers without an answer; by default the next step has it.
	holdChecks bool
	checkedAt  []time.Time // of checks without an answer
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
	if !b.holdChecks {
		for _, at := range b.checkedAt {
			inputs = append(inputs, CallersChecked{At: at})
		}
		b.checkedAt = nil
	}
	b.effects, _ = b.control.Step(b.now, inputs)
	for range effectsOf[CheckCallers](b) {
		b.checkedAt = append(b.checkedAt, b.now)
	}
}

func (b *bench) advanceBy(span time.Duration) {
	b.now = b.now.Add(span)
	b.step()
}

// serveStore answers the pending calls to the store and the calls that these answers
// cause. Every commit and scan succeeds.
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

// receivedFrom returns a message from a peer that has received every message sent to it.
func (b *bench) receivedFrom(peer instance.ID, m Message) Received {
	uptime := b.now.Sub(b.control.began)
	return Received{From: peer, Envelope: Envelope{Message: m, Sent: uptime, LastReceived: uptime}}
}

func (b *bench) report(running []workload.RunningRun, ended []workload.EndedRun) {
	sent := b.now
	b.now = b.now.Add(time.Millisecond)
	b.step(Reported{Endpoint: benchEndpoint.ID, Token: benchToken, Sent: sent, Received: b.now, Report: workload.Report{Clock: b.clock(), Running: running, Ended: ended}})
}

// clock returns the clock of the endpoint's first life.
func (b *bench) clock() time.Duration { return time.Minute + b.now.Sub(time.Unix(1000, 0)) }

// reading returns a reading of the clock of the endpoint's first life that takes no time.
func (b *bench) reading() ClockReading {
	return ClockReading{Clock: b.clock(), Sent: b.now, Received: b.now}
}

// submit submits an ephemeral job of one step and returns the start orders.
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
	b.step(StartDone{Endpoint: m.Endpoint, Token: m.Token, Run: m.Run, Copy: m.Copy, Outcome: outcome, Reading: b.reading()})
}

// A start order that the endpoint does not answer is sent again, and then followed by
// a stop. Its capacity stays reserved until the endpoint has accepted the stop and a
// later report does not contain the run: until then the endpoint may still start it.
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
	assert.Equal(t, len(b.submit(1, 40000)), 0, "no capacity is free while a late start may still happen")
	b.step(StopDone{Endpoint: benchEndpoint.ID, Token: benchToken, Run: stops[0].Run, Outcome: Accepted, Reading: b.reading()})
	assert.Equal(t, len(effectsOf[Start](b)), 0)
	b.advanceBy(time.Millisecond)
	b.report(nil, nil)
	assert.Equal(t, len(effectsOf[Start](b)), 1, "one of the two waiting jobs fits")
}

// Guards against a job that is refused although a task of it starts: the stop of an unanswered start
// is accepted, but a copy of the start may still reach the endpoint's next life.
func TestJobIsNotRefusedAfterAnUnansweredStart(t *testing.T) {
	b := newBench(t)
	start := b.submit(1, 40000)[0]
	b.answerStart(&start, Unanswered)
	b.answerStart(&effectsOf[Start](b)[0], Unanswered)
	stops := effectsOf[StopRun](b)
	assert.Equal(t, len(stops), 1)
	b.step(StopDone{Endpoint: benchEndpoint.ID, Token: benchToken, Run: stops[0].Run, Outcome: Accepted, Reading: b.reading()})
	b.advanceBy(time.Millisecond)
	b.report(nil, nil)
	for range 600 {
		for _, r := range effectsOf[Reply](b) {
			assert.Equal(t, r.Answer.Status, TimedOut)
			return
		}
		for _, s := range effectsOf[Start](b) {
			assert.Equal(t, s.Copy, 1)
			b.answerStart(&s, Unwell)
		}
		b.advanceBy(10 * time.Millisecond)
	}
	t.Fatal("the caller got no answer")
}

// A stop order that the endpoint does not answer is sent again, and the run counts as
// running until then.
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

// An outcome that is reported twice, because its acknowledgement was lost, ends the
// run once and frees its capacity once.
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
	assert.Equal(t, len(b.submit(3, 30000)), 1, "one of the three tasks fits beside the remaining run")
}

// A new holder stops the runs that an earlier holder left at an endpoint, and starts
// nothing there before they have ended.
func TestCapacityAfterTakeOver(t *testing.T) {
	b := newBench(t)
	formerRun := workload.Run{Task: workload.TaskID{Job: "old"}, Number: 1}
	b.report([]workload.RunningRun{{Run: formerRun}}, nil)
	stops := effectsOf[StopRun](b)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Run, formerRun)
	assert.Equal(t, len(b.submit(1, 1000)), 0)
	b.report(nil, nil)
	assert.Equal(t, len(b.submit(1, 1000)), 1)
}

// An endpoint that refuses an order because of its token has another holder, so the
// hold ends. The run may still be running: the task is not started again before the
// lease of the run has certainly expired.
func TestFencedOrderEndsTheHold(t *testing.T) {
	b := newBench(t)
	starts := b.submit(1, 1000)
	b.answerStart(&starts[0], Fenced)
	assert.Equal(t, b.control.Overview().Held, 0)
	assert.Equal(t, b.control.Overview().Jobs, 1)
	assert.Equal(t, len(effectsOf[Start](b)), 0)
}

// The end of a lease is given on the endpoint's clock, not on the holder's.
func TestLeaseIsOnTheEndpointsClock(t *testing.T) {
	b := newBench(t)
	b.advanceBy(100 * time.Millisecond)
	starts := b.submit(1, 1000)
	assert.Equal(t, starts[0].Until, b.clock()+DefaultTiming().Lease)
}

// An endpoint refuses a late copy of a start order as too old when the run has already
// ended. The outcome in the next report decides, not the refusal.
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

// A job is not answered when a task fails for the first time of two attempts.
func TestTaskThatFailsTooOftenFailsItsJob(t *testing.T) {
	b := newBench(t)
	starts := b.submit(1, 1000)
	b.answerStart(&starts[0], Accepted)
	b.report(nil, []workload.EndedRun{{Sequence: 1, Run: starts[0].Run, How: workload.Failed}})
	assert.Equal(t, len(effectsOf[Reply](b)), 0)
}

// Callers that are refused at the same time get different times to retry, so
// that they do not all return at once.
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

// A home that wants to move a waiting task to another holder withdraws only runs that
// the holder has not ordered meanwhile; started runs are not stopped.
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

// A task takes longer at an endpoint outside the rack of its data: it may miss its
// objective there, although it would meet it in the rack.
func TestDataElsewhereTakesLonger(t *testing.T) {
	c := New(Config{FarFactor: 3, Timing: DefaultTiming()})
	near, away := workload.Endpoint{Labels: []string{"rack-1"}}, workload.Endpoint{Labels: []string{"rack-2"}}
	d := demand{estimate: 100 * time.Millisecond, untilObjective: 200 * time.Millisecond, rack: "rack-1"}
	freeCapacity := &FreeCapacity{Speed: 1}
	assert.Assert(t, rateFit(c.demandAt(d, &near), freeCapacity, false).inTime)
	assert.Assert(t, !rateFit(c.demandAt(d, &away), freeCapacity, false).inTime)
	d.rack = ""
	assert.Assert(t, rateFit(c.demandAt(d, &away), freeCapacity, false).inTime)
}

// A holder stops the runs of a home that reports the holder as unresponsive, because
// after a while the home counts these runs as ended.
func TestRunsOfAHomeThatDoesNotHearAreStopped(t *testing.T) {
	b := newBench(t)
	home := instance.ID{Instance: "b", Incarnation: 1}
	b.step(PeerUp{Peer: home}, b.receivedFrom(home, &Heartbeat{Configuration: 1}))
	request := &PlaceRequest{
		Sequence: 1, Job: "j", Service: "s", Need: workload.Resources{MilliCPU: 1000}, Estimate: time.Second,
		Objective: time.Second, Expiry: 3 * time.Second, CallerTimeout: 3 * time.Second, Tasks: []PlacedTask{{Number: 1}},
	}
	b.step(b.receivedFrom(home, request))
	starts := effectsOf[Start](b)
	assert.Equal(t, len(starts), 1)
	b.answerStart(&starts[0], Accepted)
	b.step(b.receivedFrom(home, &Heartbeat{Configuration: 1, ReceiverSuspected: true}))
	assert.Equal(t, len(effectsOf[StopRun](b)), 1)
}

// An instance that was paused for longer than its peers' suspicion timeout does not
// start runs that were placed with it before the pause.
func TestRunsQueuedBeforeAPauseAreNotStarted(t *testing.T) {
	b := newBench(t)
	home := instance.ID{Instance: "b", Incarnation: 1}
	b.step(PeerUp{Peer: home}, b.receivedFrom(home, &Heartbeat{Configuration: 1}))
	full := b.submit(1, 64000)
	assert.Equal(t, len(full), 1)
	b.answerStart(&full[0], Accepted)
	request := &PlaceRequest{
		Sequence: 1, Job: "j", Service: "s", Need: workload.Resources{MilliCPU: 1000}, Estimate: time.Second,
		Objective: 5 * time.Second, Expiry: 9 * time.Second, CallerTimeout: 9 * time.Second, Tasks: []PlacedTask{{Number: 1}},
	}
	b.step(b.receivedFrom(home, request))
	b.now = b.now.Add(2 * time.Second)
	b.step(b.receivedFrom(home, &Heartbeat{Configuration: 1}))
	b.report(nil, []workload.EndedRun{{Sequence: 1, Run: full[0].Run, How: workload.Done}})
	assert.Equal(t, len(effectsOf[Start](b)), 0)
}

// The endpoint keeps the outcome of a stored job's run until the job's home has
// recorded it: the holder acknowledges only the outcomes before it.
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
	acks := effectsOf[Acknowledge](b)
	assert.Equal(t, len(acks), 1)
	assert.Equal(t, acks[0].Upto, int64(1))
	b.report(nil, ends)
	assert.Equal(t, len(effectsOf[Acknowledge](b)), 0)
	b.step(b.receivedFrom(home, &OutcomesRecorded{Runs: []workload.Run{stored[0].Run}}))
	acks = effectsOf[Acknowledge](b)
	assert.Equal(t, len(acks), 1)
	assert.Equal(t, acks[0].Upto, int64(2))
}

// A holder ignores placement requests of a stored job's former home, which may not know
// that another home has replaced it.
func TestPlacesOfAnEarlierHomeAreIgnored(t *testing.T) {
	b := newBench(t)
	former, present := instance.ID{Instance: "b", Incarnation: 1}, instance.ID{Instance: "c", Incarnation: 1}
	for _, id := range []instance.ID{former, present} {
		b.step(PeerUp{Peer: id}, b.receivedFrom(id, &Heartbeat{Configuration: 1}))
	}
	request := func(round int) *PlaceRequest {
		return &PlaceRequest{
			Sequence: 1, Job: "0a", Service: "s", Need: workload.Resources{MilliCPU: 1000}, Estimate: time.Second, Stored: true, Round: round,
			Objective: time.Second, Expiry: 3 * time.Second, CallerTimeout: 3 * time.Second, Tasks: []PlacedTask{{Number: round*runsPerRound + 1}},
		}
	}
	b.step(b.receivedFrom(former, request(0)))
	starts := effectsOf[Start](b)
	assert.Equal(t, len(starts), 1)
	b.answerStart(&starts[0], Accepted)
	b.step(b.receivedFrom(present, &Inquire{Sequence: 1, Jobs: []JobRound{{Job: "0a", Round: 1}}}))
	assert.Equal(t, len(effectsOf[StopRun](b)), 1)
	late := request(0)
	late.Tasks[0].Number = 2
	b.step(b.receivedFrom(former, late))
	assert.Equal(t, len(effectsOf[Start](b)), 0)
	b.step(b.receivedFrom(present, request(1)))
	assert.Equal(t, len(effectsOf[Start](b)), 1)
}

// The next incarnation of an endpoint carries out a start order that was sent to the
// former one. The holder stops the run, and the task waits until the lease has expired.
func TestStartCarriedOutByAnotherLife(t *testing.T) {
	b := newBench(t)
	starts := b.submit(1, 1000)
	b.startInNextLife(&starts[0])
	stops := effectsOf[StopRun](b)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Run, starts[0].Run)
	assert.Equal(t, b.control.Overview().Held, 0, "no more orders are sent there")
	assert.Equal(t, len(b.submit(1, 1000)), 0)
	for range 80 {
		b.advanceBy(10 * time.Millisecond)
		assert.Equal(t, len(effectsOf[Start](b)), 0)
		b.report(nil, nil)
	}
}

// A start order that the endpoint had not answered when its next incarnation began may
// be carried out by that one, so it gets a stop order.
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

// A task whose start order may still be carried out by the next incarnation of an
// endpoint is started elsewhere only after that incarnation has reported to its holder.
func TestTaskWaitsForTheNextLifeOfItsEndpoint(t *testing.T) {
	b := newBench(t)
	starts := b.submit(1, 1000)
	b.startInNextLife(&starts[0])
	other := benchEndpoint
	other.ID, other.Domain = workload.EndpointID{Name: "e-2", Born: 1}, "east"
	next := benchEndpoint
	next.ID.Born++
	b.step(Listed{Endpoints: []workload.Endpoint{next, other}})
	advanceBy := func(span time.Duration) (starts int) {
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
	assert.Equal(t, advanceBy(2*time.Second), 0, "the next incarnation has not reported")
	b.step(Reported{Endpoint: next.ID, Token: benchToken, Sent: b.now, Received: b.now, Report: workload.Report{Clock: time.Second}})
	assert.Equal(t, advanceBy(500*time.Millisecond), 1)
}

// countFirstCopies counts the start orders that do not repeat an earlier one.
func (b *bench) countFirstCopies() int {
	n := 0
	for _, s := range effectsOf[Start](b) {
		if s.Copy == 1 {
			n++
		}
	}
	return n
}

// The time for which a start order waits behind others in the instance's own uplink
// does not count as time without an answer: such an order is not repeated early. A late
// acceptance of the first copy still counts.
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

// A stopping instance yields an endpoint that another instance has asked for as soon as
// the endpoint's last run has ended: from then on the endpoint is idle.
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

// submitStored fills the endpoint with a run and submits a stored job of one task. It
// returns the job, whose task waits at the holder, and the start order of that run.
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

// When a stored job has got another home, the runs that the former home placed do not
// start, not even those that wait at an endpoint it holds itself (soak, seed 303).
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

// A task of a stored job that has waited long at its holder is placed again, but only
// after a write to the store has confirmed that this instance is still the job's home.
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
		assert.Equal(t, len(effectsOf[Start](b)), 0, "no write has confirmed the job's home")
		b.advanceBy(20 * time.Millisecond)
		commits = append(commits, effectsOf[Commit](b)...)
	}
	assert.Assert(t, len(commits) > 0)
	b.step(CommitDone{ID: commits[0].ID, Version: benchToken + 1})
	starts := effectsOf[Start](b)
	assert.Equal(t, len(starts), 1)
	assert.Assert(t, starts[0].Run.Number > 1)
}

// A job is submitted again while the endpoint may still carry out a start order of the
// first submission. It is not placed, here or elsewhere, before that run has certainly
// ended (soak, seed 336).
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
	b.step(StopDone{Endpoint: benchEndpoint.ID, Token: benchToken, Run: stops[0].Run, Outcome: Accepted, Reading: b.reading()})
	b.advanceBy(time.Millisecond)
	b.report(nil, nil)
	for range 20 {
		if next := b.placedNumbers(); len(next) > 0 {
			assert.Assert(t, next[0] > starts[0].Run.Number)
			return
		}
		b.advanceBy(10 * time.Millisecond)
	}
	t.Fatal("the job was not placed after its former run had ended")
}

// Guards against two runs of a task at once: after a pause, an instance started the queued
// runs of its own jobs, or repeated their starts, although their callers had left.
func TestOwnRunsStartAfterAPauseOnlyForCallersThatWait(t *testing.T) {
	b := newBench(t)
	full := b.submit(1, 64000)
	assert.Equal(t, len(full), 1)
	b.answerStart(&full[0], Accepted)
	left, waiting := b.jobs+1, b.jobs+2
	assert.Equal(t, len(b.submit(1, 40000))+len(b.submit(1, 40000)), 0, "both wait for capacity")
	b.holdChecks = true
	b.now = b.now.Add(2 * time.Second)
	b.report(nil, []workload.EndedRun{{Sequence: 1, Run: full[0].Run, How: workload.Done}})
	assert.Equal(t, len(effectsOf[Start](b)), 0)
	b.step(Abandon{Handle: Handle(left)})
	assert.Equal(t, len(effectsOf[Start](b)), 0)
	b.now = b.now.Add(placePause)
	b.report(nil, nil)
	assert.Equal(t, len(effectsOf[Start](b)), 0, "callers are not checked")
	b.holdChecks = false
	b.report(nil, nil)
	assert.Equal(t, len(effectsOf[Start](b)), 0, "callers are checked as of the end of the pause")
	b.report(nil, nil)
	starts := effectsOf[Start](b)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Run.Task.Job, workload.JobID(rune('a'+waiting)))
	b.now = b.now.Add(2 * time.Second)
	b.step()
	assert.Equal(t, b.countFirstCopies()+len(effectsOf[Start](b)), 0, "the start is repeated")
	assert.Equal(t, len(effectsOf[StopRun](b)), 1)
}

// Guards against a stored job's task that runs again after it is done: the next incarnation of
// an endpoint had carried out a late start, and its end was acknowledged unrecorded, as a run
// of this number had lately ended here without a known outcome.
func TestEndOfALateStartIsKeptAlthoughItsRunHasEndedHere(t *testing.T) {
	b := newBench(t)
	b.control.keptOutcomes.storedJobsExist = true
	b.control.handlePlaceRequest(b.control.self, &PlaceRequest{
		Sequence: 1, Job: "0a", Service: "s", Need: workload.Resources{MilliCPU: 1000}, Estimate: time.Second, Stored: true,
		Objective: time.Second, Expiry: 3 * time.Second, CallerTimeout: 3 * time.Second, Tasks: []PlacedTask{{Number: 1}},
	})
	b.step()
	starts := effectsOf[Start](b)
	assert.Equal(t, len(starts), 1)
	b.startInNextLife(&starts[0])
	ended, ok := b.control.holder.ended.Get(starts[0].Run)
	assert.Assert(t, ok && ended.message.How == workload.Unknown)
	next := benchEndpoint
	next.ID.Born++
	b.step(Listed{Endpoints: []workload.Endpoint{next}})
	for range 150 {
		b.serveStore()
		b.advanceBy(10 * time.Millisecond)
		b.serveStore()
	}
	assert.Equal(t, b.control.Overview().Held, 1)
	b.step(Reported{Endpoint: next.ID, Token: benchToken, Sent: b.now, Received: b.now, Report: workload.Report{
		Clock: time.Second, Ended: []workload.EndedRun{{Sequence: 1, Run: starts[0].Run, How: workload.Done}},
	}})
	assert.Equal(t, len(effectsOf[Acknowledge](b)), 0)
	assert.Assert(t, b.control.keptOutcomes.outcomes.Has(starts[0].Run))
}

// Guards against a stored job's task that runs again after it is done: a request for a report
// that is sent while a start is not confirmed may be carried out by the endpoint's next
// incarnation after that start, and acknowledge its end unseen.
func TestNothingIsAcknowledgedWhileAStartIsNotConfirmed(t *testing.T) {
	b := newBench(t)
	b.control.keptOutcomes.storedJobsExist = true
	first := b.placeStored("0a")
	b.answerStart(&first, Accepted)
	second := b.placeStored("0b")
	ended := []workload.EndedRun{{Sequence: 1, Run: first.Run, How: workload.Done}}
	b.report(nil, ended)
	b.step(b.receivedFrom(benchPeer, &OutcomesRecorded{Runs: []workload.Run{first.Run}}))
	assert.Equal(t, len(effectsOf[Acknowledge](b)), 0)
	b.report(nil, ended)
	assert.Equal(t, len(effectsOf[Acknowledge](b)), 0)
	b.answerStart(&second, Accepted)
	b.report([]workload.RunningRun{{Run: second.Run}}, ended)
	acknowledged := effectsOf[Acknowledge](b)
	assert.Equal(t, len(acknowledged), 1)
	assert.Equal(t, acknowledged[0].Upto, int64(1))
}

// Guards against ends that are never acknowledged: as long as a report shows its limit of ends,
// it shows neither the end of a run whose start is not confirmed nor that there is none.
func TestTruncatedReportIsAcknowledgedAlthoughAStartIsNotConfirmed(t *testing.T) {
	b := newBench(t)
	b.control.keptOutcomes.storedJobsExist = true
	b.placeStored("0a")
	var ended []workload.EndedRun
	for i := range workload.MaxReportedEnds {
		ended = append(ended, workload.EndedRun{Sequence: int64(i + 1), Run: workload.Run{Task: workload.TaskID{Job: "0b", Index: i}, Number: 1}, How: workload.Stopped})
	}
	b.report(nil, ended)
	acknowledged := effectsOf[Acknowledge](b)
	assert.Equal(t, len(acknowledged), 1)
	assert.Equal(t, acknowledged[0].Upto, int64(workload.MaxReportedEnds))
}

// placeStored places a run of a stored job and returns its start order.
func (b *bench) placeStored(job workload.JobID) Start {
	b.control.handlePlaceRequest(b.control.self, &PlaceRequest{
		Sequence: 1, Job: job, Service: "s", Need: workload.Resources{MilliCPU: 1000}, Estimate: time.Second, Stored: true,
		Objective: time.Second, Expiry: 3 * time.Second, CallerTimeout: 3 * time.Second, Tasks: []PlacedTask{{Number: 1}},
	})
	b.step()
	starts := effectsOf[Start](b)
	assert.Equal(b.t, len(starts), 1)
	return starts[0]
}
