package placement_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/model"
	"crocusseam/pkg/placement"
	"crocusseam/pkg/workload"
)

// Guards against an instance that adopts a job again while its first adoption of it waits for the
// store: each adoption stops the runs of the one before.
func TestInstanceAdoptsAJobOnceBesideASlowStore(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		config := deployment(seed)
		adopted := 0
		config.Log = func(_ *model.Node, e placement.LogEvent) {
			if e.Event == "job adopted" {
				adopted++
			}
		}
		w := model.New(config)
		w.Run(4 * time.Second)
		l := load([]model.Kind{{Name: "job", Tasks: 1, Work: 20 * time.Second, MilliCPU: 27000, Stored: true}}, 0)
		for range 100 {
			w.SubmitTo(w.Nodes[0], &l, &l.Kinds[0])
		}
		w.Run(3 * time.Second)
		open := 0
		for _, o := range w.Jobs {
			if !o.AllDone() {
				open++
			}
		}
		w.Store.AnswerDelay = 1200 * time.Millisecond
		w.Nodes[0].Kill()
		w.After(4*time.Second, w.Nodes[0].Start)
		w.Run(9 * time.Second)
		w.Store.AnswerDelay = 0
		w.Run(5 * time.Second)
		assert.Check(t, adopted > 0 && adopted <= open, "%d jobs were adopted %d times", open, adopted)
	})
}

// submitBacklog submits the stored jobs of a client, whose ids all begin alike. There is room for
// a few of them at a time.
func submitBacklog(w *model.World, home *model.Node, client string, number int) {
	route := workload.Route{Name: "job", Service: w.Config.Service, MaxAttempts: 3, Stretch: 3, Slack: time.Minute}
	for i := range number {
		id := workload.JobID(fmt.Sprintf("%s%012x", client, i))
		w.Submit(home, &workload.Job{ID: id, Spec: strings.Repeat("spec", 300), Steps: []workload.Step{{
			Count: 1, Need: workload.Resources{MilliCPU: 32000, MemoryMB: 64}, Estimate: 2 * time.Second,
		}}}, route, 5*time.Second)
	}
}

// Guards against adoptions that read the jobs of all other homes between those of the lost one at once.
func TestAdoptionReadsFewJobsOfOtherHomes(t *testing.T) {
	const jobs, page = 2000, 100
	w := model.New(deployment(1))
	w.Run(4 * time.Second)
	route := workload.Route{Name: "job", Service: w.Config.Service, MaxAttempts: 3, Stretch: 3, Slack: time.Minute}
	for i := range jobs {
		home := w.Nodes[1+i%5]
		if i%50 == 0 {
			home = w.Nodes[0]
		}
		w.Submit(home, &workload.Job{ID: workload.JobID(fmt.Sprintf("a%015x", i)), Steps: []workload.Step{{
			Count: 1, Need: workload.Resources{MilliCPU: 32000}, Estimate: time.Second,
		}}}, route, 5*time.Second)
	}
	w.Run(time.Second)
	w.Nodes[0].Kill()
	w.Run(time.Minute)
	assert.Check(t, w.Store.MostRows["jobs"] <= page, "%d rows of jobs were read at once", w.Store.MostRows["jobs"])
	for id, o := range w.Jobs {
		assert.Check(t, o.AllDone(), "job %s", id)
	}
	assert.Check(t, len(w.Breaches) == 0, "%v", w.Breaches)
}

// Guards against adoptions that exceed the memory of an instance: each batch of jobs read all jobs
// of the partition.
func TestAdoptionReadsAJobOnce(t *testing.T) {
	const jobs = 1000
	w := model.New(deployment(1))
	w.Run(4 * time.Second)
	submitBacklog(w, w.Nodes[0], "0006", jobs)
	w.Run(3 * time.Second)
	read := w.Store.RowsRead
	w.Nodes[0].Kill()
	w.Run(4 * time.Second)
	// Scans for orphans read a partition's open rows a few times.
	assert.Check(t, w.Store.RowsRead-read < 10*jobs, "%d rows were read for %d jobs", w.Store.RowsRead-read, jobs)
	w.Nodes[0].Start()
	w.Run(2 * time.Minute)
	for id, o := range w.Jobs {
		assert.Check(t, o.AllDone(), "job %s", id)
	}
	assert.Check(t, len(w.Breaches) == 0, "%v", w.Breaches)
}

// Guards against an instance that adopts more jobs than it may have open. They are adopted when others
// have ended.
func TestAdoptionKeepsTheLimitOfOpenJobs(t *testing.T) {
	const limit = 150
	config := deployment(1)
	config.MaxStoredJobs = limit
	left := 0
	config.Log = func(_ *model.Node, e placement.LogEvent) {
		if e.Event == "jobs left for a later adoption" {
			left++
		}
	}
	w := model.New(config)
	w.Run(4 * time.Second)
	lost := w.Nodes[:3]
	for i, n := range lost {
		submitBacklog(w, n, fmt.Sprintf("000%d", i), limit)
	}
	w.Run(time.Second)
	for _, n := range lost {
		n.Kill()
	}
	for range 300 {
		w.Run(100 * time.Millisecond)
		for _, n := range w.Nodes[3:] {
			assert.Check(t, n.Control.Overview().Jobs <= limit, "%s has %d open jobs", n.ID.Instance, n.Control.Overview().Jobs)
		}
	}
	assert.Check(t, left > 0)
	w.Run(90 * time.Second)
	for id, o := range w.Jobs {
		assert.Check(t, o.AllDone(), "job %s", id)
	}
}

// Guards against adopted jobs that wait for good for an endpoint which is listed and which no
// instance reaches.
func TestAdoptedJobsDoNotWaitForAnEndpointThatNobodyReaches(t *testing.T) {
	for name, domain := range map[string]string{"held": "domain-b", "in a domain without instances": "nowhere"} {
		t.Run(name, func(t *testing.T) {
			eachSeed(t, func(t *testing.T, seed uint64) {
				w := model.New(deployment(seed))
				x := w.AddEndpoint(domain, model.EndpointConfig{Capacity: workload.Resources{MilliCPU: 64000, MemoryMB: 1024}, Speed: 1})
				x.Up = false
				w.Run(4 * time.Second)
				submitBacklog(w, w.Nodes[0], "0006", 20)
				w.Run(time.Second)
				w.Nodes[0].Kill()
				w.Run(30 * time.Second)
				for id, o := range w.Jobs {
					assert.Check(t, o.AllDone(), "job %s", id)
				}
				assert.Check(t, len(w.Breaches) == 0, "%v", w.Breaches)
			})
		})
	}
}

// An endpoint that instances lose for a while is waited for until its leases are over: nothing
// runs twice when it is back.
func TestEndpointThatIsBackAfterAnAdoptionRunsNothingTwice(t *testing.T) {
	for _, away := range []time.Duration{2 * time.Second, 8 * time.Second, 25 * time.Second} {
		t.Run(away.String(), func(t *testing.T) {
			eachSeed(t, func(t *testing.T, seed uint64) {
				w := model.New(deployment(seed))
				w.Run(4 * time.Second)
				submitBacklog(w, w.Nodes[0], "0006", 150)
				w.Run(time.Second)
				cut := func(yes bool) {
					for _, x := range w.Endpoints[:6] {
						for _, n := range w.Nodes {
							w.Cut(x.Info.ID.Name, n.ID.Instance, yes)
						}
					}
				}
				cut(true)
				w.Run(300 * time.Millisecond)
				w.Nodes[0].Kill()
				w.Run(away)
				cut(false)
				w.Run(40 * time.Second)
				for id, o := range w.Jobs {
					assert.Check(t, o.AllDone(), "job %s", id)
				}
				assert.Check(t, len(w.Breaches) == 0, "%v", w.Breaches)
			})
		})
	}
}
