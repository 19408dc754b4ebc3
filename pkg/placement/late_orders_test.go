package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/workload"
)

// listLife lists an incarnation of the endpoint.
func (b *bench) listLife(born int64) workload.EndpointID {
	life := benchEndpoint
	life.ID.Born = born
	b.step(Listed{Endpoints: []workload.Endpoint{life}})
	return life.ID
}

// countStops counts the stop orders for a run that an incarnation of the endpoint is sent in a
// span, none of which is answered.
func (b *bench) countStops(span time.Duration, id workload.Run, life workload.EndpointID) int {
	n := 0
	for end := b.now.Add(span); b.now.Before(end); b.advanceBy(10 * time.Millisecond) {
		for _, s := range effectsOf[StopRun](b) {
			if s.Run == id && s.Endpoint == life {
				n++
			}
		}
	}
	return n
}

func (b *bench) answerStop(id workload.Run, life workload.EndpointID, outcome OrderOutcome) {
	b.step(StopDone{Endpoint: life, Token: benchToken, Run: id, Outcome: outcome, Reading: b.reading()})
}

// Guards against two runs of a task at once: of the stops of a start that nobody had answered, the
// endpoint's next incarnation was sent one, and it was lost.
func TestUnansweredStartIsStoppedUntilTheNextLifeAcceptsIt(t *testing.T) {
	for _, outcome := range []OrderOutcome{Accepted, OtherLife, Fenced, Misdirected} {
		t.Run(outcome.String(), func(t *testing.T) {
			b := newBench(t)
			starts := b.submit(1, 1000)
			run := starts[0].Run
			b.answerStart(&starts[0], Unanswered)
			next := b.listLife(benchEndpoint.ID.Born + 1)
			stops := b.countStops(2*time.Second, run, next)
			assert.Assert(t, stops >= 8 && stops <= 11, "%d stops in 2 s", stops)
			b.answerStop(run, next, Unanswered)
			assert.Assert(t, b.countStops(time.Second, run, next) > 0)
			b.answerStop(run, next, outcome)
			assert.Equal(t, b.countStops(time.Second, run, next), 0)
			last := b.listLife(next.Born + 1)
			assert.Assert(t, b.countStops(time.Second, run, last) > 0, "this incarnation knows of no stop")
			b.countStops(lateOrderWindow, run, last)
			assert.Equal(t, b.countStops(time.Second, run, last), 0, "no order is as late as that")
			assert.Equal(t, b.control.holder.lateStarts.Len(), 0)
		})
	}
}

// Guards against two runs of a task at once: the hold of an endpoint had ended while a copy of a
// start was not answered, in its former life or since, and its next incarnation carried that out.
func TestStartUnansweredUnderAFormerHoldIsStoppedInTheNextLife(t *testing.T) {
	for name, endHold := range map[string]func(b *bench, id workload.Run){
		"its run was done and it was yielded": func(b *bench, id workload.Run) {
			b.report(nil, []workload.EndedRun{{Sequence: 1, Run: id, How: workload.Done}})
			b.connectMembers(MemberRow{Instance: "b", Incarnation: 1, Domain: "east", Share: 1})
			b.step(Stop{})
			b.step(b.receivedFrom(benchPeer, &Yield{Endpoints: []string{"e-1"}}))
		},
		"it was fenced": func(b *bench, _ workload.Run) {
			b.step(Silent{Endpoint: benchEndpoint.ID, Token: benchToken, Outcome: Fenced})
		},
		"it left the list": func(b *bench, _ workload.Run) {
			b.step(Listed{})
			for range 30 {
				b.advanceBy(100 * time.Millisecond)
				b.step(Listed{})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			starts := b.submit(1, 1000)
			b.answerStart(&starts[0], Unanswered)
			again := effectsOf[Start](b)
			assert.Equal(t, len(again), 1)
			b.answerStart(&again[0], Accepted)
			endHold(b, starts[0].Run)
			b.advanceBy(10 * time.Millisecond)
			assert.Equal(t, b.control.holder.endpoints.Len(), 0)
			next := b.listLife(benchEndpoint.ID.Born + 1)
			assert.Assert(t, b.countStops(time.Second, starts[0].Run, next) >= 4)
		})
	}
}

// Guards against a task that runs again after it is done (soak seed 93100): a next life had answered,
// and was sent no stop of a start whose run had ended before, as the list did not name it yet.
func TestNextLifeThatAnswersIsSentStopsBeforeItIsListed(t *testing.T) {
	b := newBench(t)
	starts := b.submit(1, 1000)
	b.answerStart(&starts[0], Unanswered)
	again := effectsOf[Start](b)
	b.answerStart(&again[0], Accepted)
	b.report(nil, []workload.EndedRun{{Sequence: 1, Run: starts[0].Run, How: workload.Done}})
	assert.Equal(t, b.countStops(time.Second, starts[0].Run, benchEndpoint.ID), 0)
	b.step(Silent{Endpoint: benchEndpoint.ID, Token: benchToken, Outcome: OtherLife})
	assert.Assert(t, b.countStops(time.Second, starts[0].Run, benchEndpoint.ID) >= 4)
	b.answerStop(starts[0].Run, benchEndpoint.ID, OtherLife)
	assert.Equal(t, b.countStops(time.Second, starts[0].Run, benchEndpoint.ID), 0)
}

// Guards against stops that only cost: a start whose copies were all answered, or whose only copy
// has shown its run, cannot come later.
func TestAnsweredStartIsNotStoppedInTheNextLife(t *testing.T) {
	for name, answer := range map[string]func(b *bench, first, second *Start){
		"both copies answered": func(b *bench, first, second *Start) {
			b.answerStart(second, Accepted)
			b.answerStart(first, Accepted)
		},
		"one copy, its run listed": nil,
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			starts := b.submit(1, 1000)
			if answer != nil {
				b.answerStart(&starts[0], Unanswered)
				again := effectsOf[Start](b)
				answer(b, &starts[0], &again[0])
			} else {
				b.report([]workload.RunningRun{{Run: starts[0].Run}}, nil)
				b.answerStart(&starts[0], Unanswered)
			}
			next := b.listLife(benchEndpoint.ID.Born + 1)
			assert.Equal(t, b.countStops(time.Second, starts[0].Run, next), 0)
		})
	}
}

// Guards against a task that waits although nothing can start it any more: its home learned only
// by a report of the endpoint's next holder that a start could not come late.
func TestTaskGoesOnWhenTheNextLifeHasAcceptedTheStop(t *testing.T) {
	b := newBench(t)
	starts := b.submit(1, 1000)
	b.startInNextLife(&starts[0])
	next, other := benchEndpoint, benchEndpoint
	next.ID.Born++
	other.ID = workload.EndpointID{Name: "e-2", Born: 1}
	b.step(Listed{Endpoints: []workload.Endpoint{next, other}})
	startsWithin := func(span time.Duration) (n int) {
		for end := b.now.Add(span); b.now.Before(end); {
			b.serveStore()
			b.advanceBy(10 * time.Millisecond)
			n += b.countFirstCopies()
			b.serveStore()
			b.step(Reported{Endpoint: other.ID, Token: benchToken, Sent: b.now, Received: b.now, Report: workload.Report{Clock: time.Minute}})
			n += b.countFirstCopies()
		}
		return n
	}
	assert.Equal(t, startsWithin(1500*time.Millisecond), 0)
	b.answerStop(starts[0].Run, next.ID, Accepted)
	assert.Equal(t, startsWithin(200*time.Millisecond), 1)
}

// Guards against two runs of a task at once: a job was submitted again to its home, which had
// forgotten a run of it, with the end of the hold or of the job, although a next life might start it.
func TestJobHandedInAgainWaitsForALateStart(t *testing.T) {
	for _, leavesFirst := range []bool{true, false} {
		t.Run(fmt.Sprint(leavesFirst), func(t *testing.T) {
			b := newBench(t)
			starts := b.submit(1, 1000)
			b.answerStart(&starts[0], Unanswered)
			next, second := benchEndpoint, benchEndpoint
			next.ID.Born++
			second.ID.Name = benchPeerEndpoint
			b.connectPeer()
			if leavesFirst {
				b.step(Abandon{Handle: Handle(b.jobs)})
			}
			b.step(Listed{Endpoints: []workload.Endpoint{next, second}})
			if !leavesFirst {
				b.step(Abandon{Handle: Handle(b.jobs)})
			}
			b.jobs--
			b.submit(1, 1000)
			assert.Equal(t, len(b.placedNumbers()), 0)
			placedWithin := func(span time.Duration) (numbers []int) {
				for end := b.now.Add(span); b.now.Before(end); {
					b.now = b.now.Add(10 * time.Millisecond)
					b.step(b.receivedFrom(benchPeer, &Heartbeat{Configuration: 1}))
					numbers = append(numbers, b.placedNumbers()...)
				}
				return numbers
			}
			assert.Equal(t, len(placedWithin(1500*time.Millisecond)), 0)
			b.answerStop(starts[0].Run, next.ID, Accepted)
			numbers := placedWithin(200 * time.Millisecond)
			assert.Assert(t, len(numbers) == 1 && numbers[0] > starts[0].Run.Number, "%v", numbers)
		})
	}
}

// Guards against two runs of a task at once: an instance that was stopped in plan left a start that
// the endpoint's next incarnation might carry out.
func TestPlannedStopWaitsForTheStopOfALateStart(t *testing.T) {
	b := newBench(t)
	starts := b.submit(1, 1000)
	b.answerStart(&starts[0], Unanswered)
	b.step(Abandon{Handle: Handle(b.jobs)})
	next := b.listLife(benchEndpoint.ID.Born + 1)
	b.step(Stop{})
	for end := b.now.Add(b.control.config.Timing.MinLeaveTime + 500*time.Millisecond); b.now.Before(end); {
		b.advanceBy(10 * time.Millisecond)
		assert.Equal(t, len(effectsOf[Stopped](b)), 0)
	}
	b.answerStop(starts[0].Run, next, Accepted)
	assert.Equal(t, len(effectsOf[Stopped](b)), 1)
}

// Guards against a next life that knows no higher token for seconds: its endpoint's holder, in a
// planned stop, had been asked for it while runs were there, and left it when its life had ended.
func TestEndpointThatWasAskedForIsYieldedWithItsLife(t *testing.T) {
	b := newBench(t)
	b.connectMembers(MemberRow{Instance: "b", Incarnation: 1, Domain: "east", Share: 1})
	starts := b.submit(1, 1000)
	b.answerStart(&starts[0], Accepted)
	b.step(Stop{})
	b.step(b.receivedFrom(benchPeer, &Yield{Endpoints: []string{"e-1"}}))
	b.listLife(benchEndpoint.ID.Born + 1)
	yielded := 0
	for _, s := range effectsOf[Send](b) {
		if m, ok := s.Message.(*Yielded); ok && s.Peer == benchPeer && m.Endpoint == "e-1" {
			yielded++
		}
	}
	assert.Equal(t, yielded, 1)
}

// outcomesTo returns the outcomes of runs that were sent to a home in the last step.
func (b *bench) outcomesTo(home instance.ID) []*RunEnded {
	var ends []*RunEnded
	for _, s := range effectsOf[Send](b) {
		if e, ok := s.Message.(*RunEnded); ok && s.Peer == home {
			ends = append(ends, e)
		}
	}
	return ends
}

// connectSecondHome sets up sessions with benchPeer and with another home.
func (b *bench) connectSecondHome() instance.ID {
	second := instance.ID{Instance: "c", Incarnation: 1}
	b.connectPeer()
	b.step(PeerUp{Peer: second}, b.receivedFrom(second, &Heartbeat{Configuration: 1}))
	return second
}

// Guards against a job that a second home refuses, as it is not told that a copy of the start for the
// first one was not answered.
func TestSecondHomeHearsOfAnUnansweredStart(t *testing.T) {
	b := newBench(t)
	second := b.connectSecondHome()
	b.step(b.receivedFrom(benchPeer, placeRequest(1)))
	start := effectsOf[Start](b)[0]
	b.step(b.receivedFrom(second, placeRequest(1)))
	b.answerStart(&start, Unanswered)
	b.answerStart(&effectsOf[Start](b)[0], Unanswered)
	b.step(StopDone{Endpoint: benchEndpoint.ID, Token: benchToken, Run: start.Run, Outcome: Accepted, Reading: b.reading()})
	b.now = b.now.Add(time.Millisecond)
	b.report(nil, nil)
	for _, home := range []instance.ID{benchPeer, second} {
		ends := b.outcomesTo(home)
		assert.Equal(t, len(ends), 1)
		assert.Assert(t, ends[0].How == workload.NeverRan && ends[0].StartUnanswered, "%v", ends[0])
	}
}

// Guards against two runs of a task at once: a second home that has placed the same run is told
// that it never ran, although its end is uncertain and the endpoint's next life may start it.
func TestSecondHomeHearsOfAnUncertainEndWhatTheFirstHears(t *testing.T) {
	for name, placedAfterTheEnd := range map[string]bool{"before the end": false, "after the end": true} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			second := b.connectSecondHome()
			b.step(b.receivedFrom(benchPeer, placeRequest(1)))
			starts := effectsOf[Start](b)
			assert.Equal(t, len(starts), 1)
			run := starts[0].Run
			if !placedAfterTheEnd {
				b.step(b.receivedFrom(second, placeRequest(1)))
			}
			next := b.listLife(benchEndpoint.ID.Born + 1)
			first := b.outcomesTo(benchPeer)
			assert.Equal(t, len(first), 1)
			assert.Assert(t, first[0].How == workload.Unknown && first[0].MayStartLater)
			if placedAfterTheEnd {
				b.step(b.receivedFrom(second, placeRequest(1)))
				assert.Equal(t, len(effectsOf[Start](b)), 0)
			}
			assert.DeepEqual(t, b.outcomesTo(second), first)
			b.countStops(300*time.Millisecond, run, next)
			b.answerStop(run, next, Accepted)
			ends := b.outcomesTo(second)
			assert.Equal(t, len(ends), 1)
			assert.DeepEqual(t, ends, b.outcomesTo(benchPeer))
			assert.Assert(t, !ends[0].MayStartLater)
		})
	}
}
