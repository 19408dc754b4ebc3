package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against two runs of a task at once, at a second restart within a second: the next life has
// accepted the stop of a start, and the answer to its other copy, of a clock too young for that
// life, shows that the one after it carries it out.
func TestStartThatALifeAfterTheStoppedOneAcceptedIsStopped(t *testing.T) {
	b := newBench(t)
	starts := b.submit(1, 1000)
	id := starts[0].Run
	b.answerStart(&starts[0], Unanswered)
	again := effectsOf[Start](b)
	assert.Equal(t, len(again), 1)
	sent := b.now
	b.step(Silent{Endpoint: benchEndpoint.ID, Token: benchToken, Outcome: OtherLife})
	assert.Equal(t, len(effectsOf[StopRun](b)), 1)
	b.advanceBy(10 * time.Millisecond)
	stopped := ClockReading{Clock: 300 * time.Millisecond, Sent: b.now, Received: b.now}
	b.step(StopDone{Endpoint: benchEndpoint.ID, Token: benchToken, Run: id, Outcome: Accepted, Reading: stopped})
	b.advanceBy(50 * time.Millisecond)
	accepted := ClockReading{Clock: 2 * time.Millisecond, Sent: sent, Received: b.now}
	b.step(StartDone{Endpoint: benchEndpoint.ID, Token: benchToken, Run: id, Copy: 2, Outcome: Accepted, Reading: accepted})
	assert.Assert(t, b.countStops(time.Second, id, benchEndpoint.ID) > 0)
}
