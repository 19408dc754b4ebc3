package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// changeLimit is the users' bound: a change is in force everywhere within it.
const changeLimit = 10 * time.Second

// TestChangeIsInForceEverywhereWithinItsBound applies a change 100 times, with a
// crash, a lost answer or a cut at a random moment of its way. An instance that
// is cut from the platform does not count until it reads the table again.
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

// TestRejectedVersionNeverComesIntoForce stages bytes that no instance accepts.
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

// TestLateInstanceLoadsTheVersionInForce joins an instance during a change.
func TestLateInstanceLoadsTheVersionInForce(t *testing.T) {
	w := withRollout(t, 1)
	assert.NilError(t, w.stageDocument("operator"))
	w.run(1500 * time.Millisecond)
	w.addNode("d2", "d", 33)
	w.run(changeLimit)
	assert.Equal(t, w.nodes["d2"].control.ActiveVersion(), uint64(2))
	assert.Equal(t, w.reverts, 0)
}
