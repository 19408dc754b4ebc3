package placement_test

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/model"
	"crocusseam/pkg/placement"
	"crocusseam/pkg/workload"
)

// Guards against runs that take more memory at their holder than JobMemory tells, by what their
// requests hold, or after their end.
func TestEstimatedMemoryOfRunsIsThatOfTheHeap(t *testing.T) {
	for _, c := range []struct {
		spec, tasks, jobs int
		work              time.Duration
	}{
		{300, 1, 5000, time.Minute},
		{4000, 1, 2000, time.Minute},
		{4000, 8, 500, time.Minute},
		{4000, 1000, 5, time.Minute},
		{300, 1, 5000, 20 * time.Millisecond},
		{4000, 1, 2000, 20 * time.Millisecond},
		{4000, 1000, 5, 20 * time.Millisecond},
	} {
		before, _ := heapOfHolder(t, c.spec, c.tasks, 0, c.work)
		after, estimate := heapOfHolder(t, c.spec, c.tasks, c.jobs, c.work)
		runs := int64(c.tasks * c.jobs)
		took := (after - before) / runs
		t.Logf("%+v: %d bytes a run, estimated as %d", c, took, estimate/runs)
		assert.Check(t, after-before < estimate && after-before > estimate/2, "%+v: %d bytes a run are estimated as %d", c, took, estimate/runs)
	}
}

// heapOfHolder returns how much heap a holder takes while it has the runs of another instance's jobs, or has had them lately,
// and what it estimates for them.
func heapOfHolder(t *testing.T, spec, tasks, jobs int, work time.Duration) (heap, estimate int64) {
	t.Helper()
	control := controlAfter(time.Second, 1, 1, jobs, workload.Job{Ephemeral: true, Spec: strings.Repeat("s", spec), Steps: []workload.Step{{Count: tasks, Estimate: work}}})
	o := control.Overview()
	assert.Equal(t, o.Runs+o.Ended, tasks*jobs)
	estimate = control.JobMemory()
	return heapOf(control), estimate
}

// controlAfter returns the control state of one of two instances after waves of jobs that take a span each. The first instance takes
// the jobs from callers, the second one holds all endpoints.
func controlAfter(span time.Duration, of, waves, jobs int, job workload.Job) *placement.Control {
	config := deployment(1)
	config.Domains = config.Domains[:1]
	config.Domains[0].Shares = []int{0, 1}
	w := model.New(config)
	w.Run(4 * time.Second)
	route := workload.Route{Name: "job", Service: config.Service, MaxAttempts: 3, Stretch: 3, Slack: time.Minute}
	for wave := range waves {
		for i := range jobs {
			j := job
			j.ID, j.Spec, j.Steps = workload.JobID(fmt.Sprintf("%08x%08x", wave, i)), strings.Clone(job.Spec), slices.Clone(job.Steps)
			j.Steps[0].Need = workload.Resources{MilliCPU: 1}
			w.Submit(w.Nodes[0], &j, route, time.Minute)
		}
		w.Run(span)
	}
	return w.Nodes[of].Control
}

// heapOf returns how much heap a control state takes that nothing else refers to.
func heapOf(control *placement.Control) int64 {
	with := liveHeap()
	runtime.KeepAlive(control)
	return with - liveHeap()
}

// Guards against state that instances keep of each job for long after its end. The first waves are not counted: maps keep
// the room of the most keys that they have had.
func TestNothingIsKeptOfEndedJobs(t *testing.T) {
	const jobs, waves, moreWaves, most = 200, 16, 16, 32
	for _, ephemeral := range []bool{false, true} {
		for of, role := range []string{"home", "holder"} {
			job := workload.Job{Ephemeral: ephemeral, Spec: "s", Steps: []workload.Step{{Count: 1, Estimate: 20 * time.Millisecond}}}
			before := heapOf(controlAfter(20*time.Second, of, waves, jobs, job))
			took := (heapOf(controlAfter(20*time.Second, of, waves+moreWaves, jobs, job)) - before) / (jobs * moreWaves)
			t.Logf("ephemeral %v: the %s keeps %d bytes a job", ephemeral, role, took)
			assert.Check(t, took < most, "ephemeral %v: the %s keeps %d bytes a job", ephemeral, role, took)
		}
	}
}
