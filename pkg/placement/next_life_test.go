package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/workload"
)

// acceptedByNextLife answers an order as the endpoint's next life does, which has just begun.
func (b *bench) acceptedByNextLife() ClockReading {
	return ClockReading{Clock: 3 * time.Millisecond, Sent: b.now, Received: b.now.Add(time.Millisecond)}
}

// startInNextLife has the endpoint's next life carry out a start, and then show itself.
func (b *bench) startInNextLife(m *Start) {
	b.step(StartDone{Endpoint: m.Endpoint, Token: m.Token, Run: m.Run, Copy: m.Copy, Outcome: Accepted, Reading: b.acceptedByNextLife()})
	b.step(Silent{Endpoint: m.Endpoint, Token: m.Token, Outcome: OtherLife})
}

// otherEndpoint is where a task can start while e-1 begins another life.
var otherEndpoint = workload.EndpointID{Name: "e-2", Born: 1}

// listNextLife lists the next life of the endpoint and another endpoint, and reports that endpoint as
// empty until it is in use.
func (b *bench) listNextLife() workload.EndpointID {
	next, other := benchEndpoint, benchEndpoint
	next.ID.Born++
	other.ID = otherEndpoint
	b.step(Listed{Endpoints: []workload.Endpoint{next, other}})
	b.serveStore()
	return next.ID
}

// startsElsewhere counts the runs that start at the other endpoint in a span.
func (b *bench) startsElsewhere(span time.Duration) (n int) {
	for end := b.now.Add(span); b.now.Before(end); {
		b.serveStore()
		b.advanceBy(10 * time.Millisecond)
		n += b.countFirstCopies()
		b.serveStore()
		b.step(Reported{Endpoint: otherEndpoint, Token: benchToken, Sent: b.now, Received: b.now, Report: workload.Report{Clock: b.clock()}})
		n += b.countFirstCopies()
	}
	return n
}

// Guards against two runs of a task at once: the next life of an endpoint accepted a start that was
// meant for the former one, and the run counted as lapsed with that one.
func TestRunThatANextLifeAcceptedIsNotOverWithTheFormerLife(t *testing.T) {
	for name, learn := range map[string]func(b *bench) workload.EndpointID{
		"the list names it": (*bench).listNextLife,
		"a report names it": func(b *bench) workload.EndpointID {
			b.step(Silent{Endpoint: benchEndpoint.ID, Token: benchToken, Outcome: OtherLife})
			return b.listNextLife()
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			starts := b.submit(1, 1000)
			b.step(StartDone{Endpoint: starts[0].Endpoint, Token: benchToken, Run: starts[0].Run, Copy: 1, Outcome: Accepted, Reading: b.acceptedByNextLife()})
			assert.Check(t, len(effectsOf[RequestReport](b)) == 1, "a report names the life")
			next := learn(b)
			assert.Equal(t, b.startsElsewhere(1500*time.Millisecond), 0)
			b.answerStop(starts[0].Run, next, Accepted)
			assert.Equal(t, b.startsElsewhere(stopTime-15*time.Millisecond), 0, "the run may take as long to stop")
			assert.Equal(t, b.startsElsewhere(200*time.Millisecond), 1)
		})
	}
}

// Guards against two runs of a task at once: a start, its second copy and the stop of its run all
// reached the next life when a silent path opened. As all were answered, nothing seemed to be left there.
func TestRunThatANextLifeStopsIsNotOverAtOnce(t *testing.T) {
	b := newBench(t)
	starts := b.submit(1, 1000)
	id := starts[0].Run
	b.advanceBy(61 * time.Millisecond) // the first copy counts as unanswered
	again := effectsOf[Start](b)
	assert.Equal(t, len(again), 1)
	b.advanceBy(151 * time.Millisecond) // and the second
	assert.Equal(t, len(effectsOf[StopRun](b)), 1)
	stopSent := b.now
	b.advanceBy(20 * time.Millisecond)
	for i := range 2 {
		b.step(StartDone{Endpoint: benchEndpoint.ID, Token: benchToken, Run: id, Copy: i + 1, Outcome: Accepted, Reading: b.acceptedByNextLife()})
	}
	stopped := b.acceptedByNextLife()
	stopped.Sent = stopSent
	b.step(StopDone{Endpoint: benchEndpoint.ID, Token: benchToken, Run: id, Outcome: Accepted, Reading: stopped})
	next := b.listNextLife()
	assert.Equal(t, b.startsElsewhere(1500*time.Millisecond), 0)
	b.answerStop(id, next, Accepted)
	assert.Equal(t, b.startsElsewhere(250*time.Millisecond), 1)
}

// Guards against two runs of a task at once: the former life of an endpoint had accepted a stop, whose
// answer was taken for one of the next life.
func TestStopThatTheFormerLifeAcceptedSaysNothingOfTheNext(t *testing.T) {
	for name, learn := range map[string]func(b *bench){
		"a report names the next life": func(b *bench) {
			b.step(Silent{Endpoint: benchEndpoint.ID, Token: benchToken, Outcome: OtherLife})
		},
		"the list names it": func(b *bench) { b.listNextLife() },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			starts := b.submit(1, 1000)
			id := starts[0].Run
			b.answerStart(&starts[0], Unanswered)
			again := effectsOf[Start](b)
			b.answerStart(&again[0], Unanswered)
			assert.Equal(t, len(effectsOf[StopRun](b)), 1)
			onTheWay := b.reading()
			b.advanceBy(10 * time.Millisecond)
			learn(b)
			onTheWay.Received = b.now
			b.step(StopDone{Endpoint: benchEndpoint.ID, Token: benchToken, Run: id, Outcome: Accepted, Reading: onTheWay})
			next := b.listNextLife()
			assert.Equal(t, b.startsElsewhere(1500*time.Millisecond), 0)
			b.answerStop(id, next, Accepted)
			assert.Equal(t, b.startsElsewhere(250*time.Millisecond), 1)
		})
	}
}

// Guards against a run that ends with a lease that nobody has granted: the next life has accepted it, and
// its lease there began with its arrival.
func TestRunThatNoReportHasShownDoesNotEndWithTheLease(t *testing.T) {
	b := newBench(t)
	starts := b.submit(1, 1000)
	b.step(StartDone{Endpoint: starts[0].Endpoint, Token: benchToken, Run: starts[0].Run, Copy: 1, Outcome: Accepted, Reading: b.acceptedByNextLife()})
	for range 150 {
		b.advanceBy(10 * time.Millisecond)
		b.step(Silent{Endpoint: benchEndpoint.ID, Token: benchToken, Outcome: Unanswered})
	}
	assert.Equal(t, b.control.holder.runs.Len(), 1)
	assert.Equal(t, b.control.Overview().Counters.Lapsed, int64(0))
}

// Guards against a run that is given up although it is where it was meant: an answer does not show the
// life, but the report that follows does.
func TestReportShowsTheLifeOfARun(t *testing.T) {
	for name, report := range map[string]workload.Report{
		"running": {Running: []workload.RunningRun{{}}},
		"ended":   {Ended: []workload.EndedRun{{Sequence: 1, How: workload.Done}}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			starts := b.submit(1, 1000)
			id := starts[0].Run
			b.step(StartDone{Endpoint: starts[0].Endpoint, Token: benchToken, Run: id, Copy: 1, Outcome: Accepted, Reading: ClockReading{Sent: b.now, Received: b.now}})
			for i := range report.Running {
				report.Running[i].Run = id
			}
			for i := range report.Ended {
				report.Ended[i].Run = id
			}
			b.report(report.Running, report.Ended)
			assert.Equal(t, b.control.holder.lateStarts.Len(), 0)
			next := b.listNextLife()
			assert.Equal(t, b.countStops(time.Second, id, next), 0, "the run has begun in the former life, and its start was sent once")
			assert.Equal(t, b.control.holder.runs.Len(), 0)
		})
	}
}

// Guards against a task that waits for nothing: its only start was not sent, as another life of the
// endpoint had been there.
func TestStartThatWasNotSentNeverRan(t *testing.T) {
	b := newBench(t)
	starts := b.submit(1, 1000)
	b.answerStart(&starts[0], OtherLife)
	assert.Equal(t, b.control.Overview().Held, 0)
	next := b.listNextLife()
	assert.Equal(t, b.countStops(100*time.Millisecond, starts[0].Run, next), 0)
	assert.Equal(t, b.startsElsewhere(300*time.Millisecond), 1)
}
