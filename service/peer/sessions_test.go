package peer

import (
	"io"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"crocusseam/pkg/instance"
)

// Guards against two runs of a task at once: the reader of an earlier session delivered a
// placement behind the drop of the same run, which had come over the next session.
func TestMessagesOfAnEarlierSessionAreLeft(t *testing.T) {
	var received []string
	l := &Sessions[string]{sessions: make(map[instance.ID]*session[string])}
	record := func(event string) {
		if l.mu.TryLock() {
			l.mu.Unlock()
			t.Errorf("%s may be overtaken", event)
		}
		received = append(received, event)
	}
	l.config = Config[string]{
		Up: func(instance.ID) { record("up") }, Down: func(instance.ID) { record("down") },
		Received: func(_ instance.ID, m string) { record(m) }, Logger: zap.NewNop(),
	}
	begin := func() *session[string] {
		s := &session[string]{peer: instance.ID{Instance: "b", Incarnation: 1}, closer: io.NopCloser(nil), since: time.Now(), signal: make(chan struct{}, 1)}
		l.register(s)
		return s
	}
	earlier := begin()
	assert.Assert(t, l.receive(earlier, "place run 1"))
	later := begin()
	assert.Assert(t, l.receive(later, "drop run 1"))
	assert.Assert(t, !l.receive(earlier, "place run 2"))
	l.unregister(earlier, errReplaced)
	l.unregister(later, io.EOF)
	assert.DeepEqual(t, received, []string{"up", "place run 1", "down", "up", "drop run 1", "down"})
}
