package placement

import (
	"testing"
	"time"

	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"
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
