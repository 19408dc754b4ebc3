package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/model"
	"crocusseam/pkg/placement"
	"crocusseam/pkg/workload"
)

const rareLabel = "rare"

var rareNeed = workload.Resources{MilliCPU: 2000, MemoryMB: 64}

// rareWorld returns a world in which a number of endpoints, in different domains, have a label.
func rareWorld(seed uint64, number int) (*model.World, []*model.Endpoint) {
	w := model.New(deployment(seed))
	var rare []*model.Endpoint
	for _, domain := range []string{"domain-a", "domain-b"}[:number] {
		x := w.AddEndpoint(domain, model.EndpointConfig{Capacity: workload.Resources{MilliCPU: 4000, MemoryMB: 4096}, Speed: 1})
		x.Info.Labels = []string{rareLabel}
		rare = append(rare, x)
	}
	w.Run(4 * time.Second)
	return w, rare
}

// submitRare submits a stored job of one task that needs the label.
func submitRare(w *model.World, id workload.JobID, need workload.Resources, length time.Duration) *model.Outcome {
	job := &workload.Job{ID: id, Steps: []workload.Step{{Count: 1, Need: need, Estimate: length, Label: rareLabel}}}
	return w.Submit(w.Nodes[0], job, workload.Route{Name: "rare", Service: w.Config.Service, MaxAttempts: 3, Stretch: 3}, 10*time.Second)
}

// Guards against a task that is never started again because the only endpoint that may run it
// has crashed once under it.
func TestTaskRunsAgainInTheNextLifeOfItsOnlyEndpoint(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		w, rare := rareWorld(seed, 1)
		o := submitRare(w, "00000000000000a1", rareNeed, 4*time.Second)
		w.Run(2 * time.Second)
		assert.Assert(t, o.Started)
		rare[0].Crash()
		w.Run(4 * time.Second)
		rare[0].Restart()
		w.Run(9 * time.Second)
		assert.Check(t, o.AllDone())
		assert.Check(t, len(w.CheckFinal()) == 0, "%v", w.Breaches)
	})
}

// Guards against a task that waits for a busy endpoint, as a run of it has lapsed once in the
// present life of an idle one.
func TestTaskRunsAgainWhereItLapsedWhileOthersAreBusy(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		w, rare := rareWorld(seed, 2)
		full := workload.Resources{MilliCPU: 4000, MemoryMB: 64}
		first := submitRare(w, "00000000000000a1", full, time.Minute)
		second := submitRare(w, "10000000000000a2", full, 4*time.Second)
		w.Run(time.Second)
		assert.Assert(t, first.Started && second.Started)
		idle := rare[0]
		if idle.Runs("00000000000000a1") > 0 {
			idle = rare[1]
		}
		assert.Equal(t, idle.Runs("10000000000000a2"), 1)
		for _, n := range w.Nodes {
			w.Cut(idle.Info.ID.Name, n.ID.Instance, true)
		}
		w.Run(2 * time.Second)
		for _, n := range w.Nodes {
			w.Cut(idle.Info.ID.Name, n.ID.Instance, false)
		}
		w.Run(10 * time.Second)
		assert.Check(t, second.AllDone())
		assert.Check(t, len(w.Breaches) == 0, "%v", w.Breaches)
	})
}

// Guards against a task that has failed once at each endpoint that may run it, and is neither
// tried again nor shown as failed.
func TestTaskFailsAfterItsAttemptsAtFewerEndpoints(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		w, rare := rareWorld(seed, 2)
		for _, x := range rare {
			x.FailsAll = true
		}
		o := submitRare(w, "00000000000000a1", rareNeed, 400*time.Millisecond)
		w.Run(900 * time.Millisecond) // no attempt waits where no other endpoint is left
		var state placement.Answer
		w.State(w.Nodes[3], o.Job.ID, func(a placement.Answer) { state = a })
		w.Run(100 * time.Millisecond)
		assert.Equal(t, state.Status, placement.Failed)
	})
}

// Guards against a task that stands still for longer than a start can be carried out late: its
// endpoint was lost for good, silently, just before the start was sent there.
func TestTaskGoesOnWhenItsStartCanNotBeLateAnyMore(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		w, rare := rareWorld(seed, 2)
		full := workload.Resources{MilliCPU: 4000, MemoryMB: 64}
		rare[0].Up = false
		jobs := []*model.Outcome{submitRare(w, "00000000000000a1", full, time.Second), submitRare(w, "10000000000000a2", full, time.Second)}
		w.Run(4500 * time.Millisecond)
		rare[0].Listed = false // its entry expires
		w.Run(12500 * time.Millisecond)
		for _, o := range jobs {
			assert.Check(t, o.AllDone(), "job %s", o.Job.ID)
		}
		assert.Check(t, len(w.Breaches) == 0, "%v", w.Breaches)
	})
}
