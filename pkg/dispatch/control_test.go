package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/submission"
)

func withRunningWorld(t *testing.T, config worldConfig) *world {
	t.Helper()
	w := newWorld(config)
	w.run(5 * time.Second)
	for _, name := range w.names {
		assert.Assert(t, w.nodes[name].control.IsLive(), name)
	}
	return w
}

func TestJobIsAnsweredWhole(t *testing.T) {
	w := withRunningWorld(t, defaultWorld(1))
	h := w.submit("a1", w.job("one", 20, 200*time.Millisecond))
	w.run(3 * time.Second)
	reply := w.replyTo(h)
	assert.Assert(t, reply != nil)
	assert.Assert(t, reply.Answer != nil, "%+v", reply.Refusal)
	assert.Equal(t, reply.Answer.Status, submission.Complete)
	assert.Equal(t, w.ledger.startCount, 20)
	assert.DeepEqual(t, w.violations(), []string(nil))
}

func TestEveryEndpointHasOneHolder(t *testing.T) {
	w := withRunningWorld(t, defaultWorld(1))
	total := 0
	for _, name := range w.names {
		total += w.nodes[name].control.HeldEndpoints()
	}
	assert.Equal(t, total, 48)
}
