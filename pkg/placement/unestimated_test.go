package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/model"
	"crocusseam/pkg/workload"
)

// submitUnestimated submits a stored job of one task without an estimate.
func submitUnestimated(w *model.World, length time.Duration) *model.Outcome {
	job := &workload.Job{ID: "00000000000000a1", Steps: []workload.Step{{Count: 1, Need: rareNeed}}}
	o := w.Submit(w.Nodes[0], job, workload.Route{Name: "job", Service: w.Config.Service, MaxAttempts: 3, Stretch: 3, Slack: time.Second}, 10*time.Second)
	o.Lengths = []time.Duration{length}
	return o
}

// Guards against a task without an estimate that is stopped as a straggler at every endpoint.
func TestTaskWithoutAnEstimateIsNotStopped(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		w := model.New(deployment(seed))
		w.Run(4 * time.Second)
		o := submitUnestimated(w, 8*time.Second)
		w.Run(18 * time.Second) // the slowest endpoints have a speed of 0.55
		assert.Check(t, o.AllDone())
		stopped := int64(0)
		for _, n := range w.Nodes {
			stopped += n.Control.Overview().Counters.StragglersStopped
		}
		assert.Equal(t, stopped, int64(0))
	})
}

// A task without an estimate that hangs is tried elsewhere.
func TestTaskWithoutAnEstimateThatHangsIsTriedElsewhere(t *testing.T) {
	w := model.New(deployment(1))
	w.Run(4 * time.Second)
	o := submitUnestimated(w, 2*time.Second)
	w.Run(100 * time.Millisecond)
	assert.Assert(t, o.Started)
	for _, x := range w.Endpoints {
		x.Hangs = x.Runs(o.Job.ID) > 0
	}
	w.Run(90 * time.Second)
	assert.Check(t, o.AllDone())
	assert.Check(t, len(w.Breaches) == 0, "%v", w.Breaches)
}
