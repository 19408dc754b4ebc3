package placement_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/model"
	"crocusseam/pkg/placement"
	"crocusseam/pkg/workload"
)

// Guards against runs whose number grows with the tasks of open jobs, against counts of phases that
// disagree with the tasks, and against small jobs that large ones keep from running.
func TestPlacedTasksAreBounded(t *testing.T) {
	const maxRuns, largeJobs = 400, 6
	config := deployment(1)
	config.MaxRunBytes = maxRuns << 10
	w := model.New(config)
	w.Run(4 * time.Second)
	route := workload.Route{Name: "job", Service: config.Service, MaxAttempts: 3, Stretch: 3, Slack: time.Minute}
	for k := range 2 * largeJobs {
		j := largeJob("000a", k, 100*time.Millisecond)
		j.Ephemeral = k%2 == 0
		w.Submit(w.Nodes[0], j, route, 5*time.Minute)
	}
	var small []*model.Outcome
	for k := range 100 {
		if k%10 == 0 {
			j := &workload.Job{ID: workload.JobID(fmt.Sprintf("000b%012x", k)), Ephemeral: true, Steps: []workload.Step{{Count: 2, Need: workload.Resources{MilliCPU: 50}, Estimate: 10 * time.Millisecond}}}
			w.Submit(w.Nodes[0], j, route, 10*time.Second)
			small = append(small, w.Jobs[j.ID])
		}
		w.Run(20 * time.Millisecond)
		for _, n := range w.Nodes {
			o := n.Control.Overview()
			assert.Assert(t, o.Placed <= maxRuns/4, "%s has placed %d tasks", n.ID.Instance, o.Placed)
			assert.NilError(t, n.Control.CheckPhases())
		}
	}
	w.Run(5 * time.Minute)
	checkAllRan(t, w, len(w.Jobs))
	for _, o := range small {
		assert.Check(t, o.Answer.Status == placement.Completed, "%v", o.Answer)
	}
	for _, n := range w.Nodes {
		assert.NilError(t, n.Control.CheckPhases())
		assert.Check(t, n.Control.Overview().Placed == 0)
	}
}

// BenchmarkLargeJobs measures a home's steps from the submission of jobs with the most tasks until they are placed.
func BenchmarkLargeJobs(b *testing.B) {
	for _, jobs := range []int{5, 20, 80} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			for b.Loop() {
				config := deployment(1)
				config.MaxRunBytes = 10_000 << 10
				w := model.New(config)
				w.Run(4 * time.Second)
				for k := range jobs {
					w.Submit(w.Nodes[0], largeJob("000a", k, time.Minute), workload.Route{Name: "job", Service: config.Service, MaxAttempts: 3, Stretch: 3, Slack: time.Minute}, time.Minute)
				}
				w.Run(time.Second)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*jobs*workload.MaxTasks), "ns/task")
		})
	}
}
