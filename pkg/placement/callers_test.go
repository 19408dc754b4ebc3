package placement

import (
	"testing"
	"time"

	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"

	"crocusseam/pkg/workload"
)

// loggedFields returns the fields of the last line about an event that the last step has logged.
func (b *bench) loggedFields(event string) map[string]any {
	encoder := zapcore.NewMapObjectEncoder()
	for _, l := range effectsOf[LogEvent](b) {
		if l.Event == event {
			encoder = zapcore.NewMapObjectEncoder()
			for _, f := range l.Fields {
				f.AddTo(encoder)
			}
		}
	}
	return encoder.Fields
}

// Guards against an incident that logs cannot explain: whether a home had known its callers
// when it extended the lease of a run that ended too late.
func TestLogSaysWhenCallersWereKnown(t *testing.T) {
	const gap = 300 * time.Millisecond
	b := newBench(t)
	starts := b.submit(1, 1000)
	b.answerStart(&starts[0], Accepted)
	b.now = b.now.Add(gap)
	b.step(Abandon{Handle: Handle(b.jobs)})
	assert.Assert(t, b.loggedFields("job answered")["CallersKnown"].(time.Duration) >= gap)
	left := b.loggedFields("stop ordered")["LeaseLeft"].(time.Duration)
	assert.Assert(t, left > 0 && left <= b.control.config.Timing.Lease, "%v", left)
	for range 6 {
		b.advanceBy(10 * time.Millisecond)
		if known := b.loggedFields("callers known again"); known["Gap"] != nil {
			assert.Equal(t, known["Gap"], gap)
			assert.Equal(t, known["Abandoned"], int64(1))
			return
		}
	}
	t.Fatal("no line says that callers are known again")
}

// Guards against two runs of a task at once: an instance that ran for 12 ms in each 72 ms confirmed
// callers, and extended leases, without having read that they had left.
func TestLeaseIsExtendedOnlyFromAMomentAtWhichCallersWaited(t *testing.T) {
	const off, on = 60 * time.Millisecond, 12 * time.Millisecond
	b := newBench(t)
	b.connectPeer()
	starts := b.submit(1, 1000)
	limit := b.renewUntil(time.Time{})
	b.answerStart(&starts[0], Accepted)
	b.holdChecks = true
	var echo time.Duration
	percent := 0
	observe := func() {
		limit = b.renewUntil(limit)
		for _, m := range effectsOf[Send](b) {
			echo = m.LastReceived
		}
	}
	burst := func() {
		b.now = b.now.Add(off)
		b.step(b.receivedFrom(benchPeer, &Heartbeat{Configuration: 1}))
		observe()
		percent++
		b.now = b.now.Add(on)
		b.report([]workload.RunningRun{{Run: starts[0].Run, Percent: percent}}, nil)
		observe()
	}
	burst()
	known, confirmed := limit, echo
	for range 10 {
		burst()
		assert.Equal(t, limit, known, "the lease is extended before callers are checked")
		assert.Equal(t, echo, confirmed, "a message is confirmed before callers are checked")
	}
	checked := b.now
	b.checkedAt, b.holdChecks = nil, false
	b.step(CallersChecked{At: checked})
	b.advanceBy(checkInterval)
	assert.Equal(t, b.renewUntil(limit), checked.Add(b.control.config.Timing.maxUnconfirmed()))
	for range 10 {
		burst()
	}
	assert.Assert(t, limit.After(b.now.Add(b.control.config.Timing.Lease)), "the lease is not extended although callers are checked")
	assert.Assert(t, echo > confirmed, "nothing is confirmed although callers are checked")
}

// Guards against two runs of a task at once: a request that had come while the process stood
// still was read after the check of the other callers, and started although its caller had left.
func TestRequestReadAfterAGapStartsOnceItsCallerIsChecked(t *testing.T) {
	for _, left := range []bool{true, false} {
		b := newBench(t)
		b.now = b.now.Add(300 * time.Millisecond)
		b.step()
		b.advanceBy(20 * time.Millisecond)
		b.advanceBy(20 * time.Millisecond)
		b.holdChecks = true
		assert.Equal(t, len(b.submit(1, 1000)), 0)
		b.advanceBy(20 * time.Millisecond)
		assert.Equal(t, len(effectsOf[Start](b)), 0)
		if left {
			b.step(Abandon{Handle: Handle(b.jobs)})
		}
		b.holdChecks = false
		b.advanceBy(time.Millisecond)
		starts := len(effectsOf[Start](b))
		b.advanceBy(time.Millisecond)
		starts += len(effectsOf[Start](b))
		assert.Equal(t, starts == 0, left)
	}
}

// Guards against jobs that never start: where each step came late, each one put off the start to
// the next check of callers.
func TestJobsStartWhereEachStepComesLate(t *testing.T) {
	b := newBench(t)
	starts := 0
	for range 5 {
		b.now = b.now.Add(300 * time.Millisecond)
		b.report(nil, nil)
		b.submit(1, 1000)
		starts += b.countFirstCopies()
	}
	for range 2 {
		b.advanceBy(300 * time.Millisecond)
		starts += b.countFirstCopies()
	}
	assert.Equal(t, starts, 5)
}

// Guards against leases that end although callers wait: heartbeats went out just before the check
// of callers, and confirmed what the check before had shown.
func TestHeartbeatsFollowACheckOfCallers(t *testing.T) {
	b := newBench(t)
	b.connectPeer()
	b.submit(1, 1000)
	heartbeats := 0
	for range 400 {
		b.advanceBy(time.Millisecond)
		for _, m := range effectsOf[Send](b) {
			if _, ok := m.Message.(*Heartbeat); ok {
				heartbeats++
				assert.Assert(t, b.now.Sub(b.control.home.callers.confirmedAt) <= time.Millisecond)
			}
		}
	}
	assert.Assert(t, heartbeats >= 2)
}
