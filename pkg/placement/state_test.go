package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/model"
	"crocusseam/pkg/placement"
)

// Guards against a job that is shown as completed by one instance and then as running by its home,
// which has not heard yet that the outcome is recorded.
func TestStateDoesNotGoBackWhileTheOutcomeIsRecorded(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		w := model.New(deployment(seed))
		w.Run(4 * time.Second)
		home, other := w.Nodes[0], w.Nodes[4]
		l := load([]model.Kind{{Name: "job", Tasks: 1, Work: 300 * time.Millisecond, MilliCPU: 27000, Stored: true}}, 0)
		o := w.SubmitTo(home, &l, &l.Kinds[0])
		w.Run(100 * time.Millisecond)
		w.Store.LoseAnswers = 1
		w.After(time.Second, func() { w.Store.LoseAnswers = 0 })
		completed := false
		for range 100 {
			w.State(other, o.Job.ID, func(a placement.Answer) { completed = completed || a.Status == placement.Completed })
			w.Run(20 * time.Millisecond)
			if !completed {
				continue
			}
			w.State(home, o.Job.ID, func(a placement.Answer) {
				assert.Check(t, a.Status == placement.Completed, "the home shows %s at %s", a.Status, w.Elapsed())
			})
		}
		w.Run(time.Second)
		assert.Assert(t, completed)
	})
}
