package placement_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/model"
	"crocusseam/pkg/workload"
)

// Guards against a search for better holders that goes over all runs of this instance for each waiting task.
func TestOwnCapacityIsComputedOnceForAllWaitingTasks(t *testing.T) {
	const searches = 100 // in 2 s
	config := deployment(1)
	config.Domains = config.Domains[:1]
	config.Domains[0].Instances = 1
	w := model.New(config)
	w.Run(4 * time.Second)
	route := workload.Route{Name: "job", Service: config.Service, MaxAttempts: 3, Stretch: 3, Slack: 10 * time.Minute}
	for k := range 300 {
		w.Submit(w.Nodes[0], &workload.Job{
			ID: workload.JobID(fmt.Sprintf("%016x", k)), Ephemeral: true, Steps: []workload.Step{{Count: 1, Need: workload.Resources{MilliCPU: 64000}, Estimate: time.Minute}},
		}, route, 10*time.Minute)
	}
	w.Run(2 * time.Second)
	before := w.Nodes[0].Control.Overview()
	w.Run(2 * time.Second)
	after := w.Nodes[0].Control.Overview()
	assert.Assert(t, before.Queued > 50 && after.Queued == before.Queued, "%d and %d waiting tasks", before.Queued, after.Queued)
	passes := after.Counters.CapacityPasses - before.Counters.CapacityPasses
	assert.Check(t, passes <= 2*searches, "%d passes in %d searches for %d waiting tasks", passes, searches, after.Queued)
}

// BenchmarkLostHomeOfManyJobs measures from the death of a home with many stored jobs of one task until they have run elsewhere.
func BenchmarkLostHomeOfManyJobs(b *testing.B) {
	for _, jobs := range []int{1000, 2000, 4000} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			for b.Loop() {
				w := model.New(deployment(1))
				w.Run(4 * time.Second)
				route := workload.Route{Name: "job", Service: w.Config.Service, MaxAttempts: 3, Stretch: 3, Slack: time.Minute}
				for k := range jobs {
					w.Submit(w.Nodes[0], &workload.Job{
						ID: workload.JobID(fmt.Sprintf("%x%015x", k%16, k)), Steps: []workload.Step{{Count: 1, Need: workload.Resources{MilliCPU: 32000}, Estimate: 300 * time.Millisecond}},
					}, route, time.Minute)
				}
				w.Run(200 * time.Millisecond)
				w.Nodes[0].Kill()
				w.Run(time.Minute)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*jobs), "ns/job")
		})
	}
}
