package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// changeLimit is the time promised to users within which a configuration change is
// active on every instance.
const changeLimit = 10 * time.Second

// TestChangeIsInForceEverywhereWithinItsBound stages a change under 100 seeds, with a
// crash, lost answers to table commits or a domain cut off from the platform at a
// random moment of the rollout. An instance that is cut off cannot read the table and
// gets another changeLimit.
func TestChangeIsInForceEverywhereWithinItsBound(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 3))
			w := withRollout(t, seed)
			assert.NilError(t, w.stageDocument("operator"))
			victim := w.names[r.IntN(len(w.names))]
			cut := ""
			at := time.Duration(r.Int64N(int64(4 * time.Second)))
			switch seed % 3 {
			case 0:
				w.after(at, func() { w.crash(victim) })
			case 1:
				w.after(at, func() { w.answersToLose += 2 })
			case 2:
				cut = w.nodes[victim].domain
				w.after(at, func() { w.cutBoth(cut, "platform") })
			}
			w.run(changeLimit)
			for _, n := range w.sortedNodes() {
				if n.up && n.domain != cut {
					assert.Equal(t, n.control.ActiveVersion(), uint64(2), "%s, %s struck after %s", n.id.Instance, victim, at)
				}
			}
			w.run(changeLimit)
			for _, n := range w.sortedNodes() {
				if n.up {
					assert.Equal(t, n.control.ActiveVersion(), uint64(2), n.id.Instance)
				}
			}
			assert.Equal(t, w.reverts, 0)
		})
	}
}

// TestRejectedVersionNeverComesIntoForce stages a document with faults, which no
// instance accepts, and checks that version 1 stays active.
func TestRejectedVersionNeverComesIntoForce(t *testing.T) {
	w := withRollout(t, 1)
	w.badDocument = true
	assert.NilError(t, w.stageDocument("operator"))
	w.run(changeLimit)
	for _, n := range w.sortedNodes() {
		assert.Equal(t, n.control.ActiveVersion(), uint64(1))
	}
	state := w.rolloutRow(t)
	assert.Assert(t, state.Staged == nil)
	assert.Assert(t, state.Rejected != nil && state.Rejected.Reason != "")
}

// TestLateInstanceLoadsTheVersionInForce adds an instance during a rollout.
func TestLateInstanceLoadsTheVersionInForce(t *testing.T) {
	w := withRollout(t, 1)
	assert.NilError(t, w.stageDocument("operator"))
	w.run(1500 * time.Millisecond)
	w.addNode("d2", "d", 33)
	w.run(changeLimit)
	assert.Equal(t, w.nodes["d2"].control.ActiveVersion(), uint64(2))
	assert.Equal(t, w.reverts, 0)
}
