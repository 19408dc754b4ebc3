package placement_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/model"
	"crocusseam/pkg/workload"
)

// Guards against an instance that reads all outcomes of a partition at once, and against outcomes that are removed before their
// retention is over or never.
func TestOutcomesAreRemovedPageByPage(t *testing.T) {
	const jobs, page = 1300, 500
	config := deployment(1)
	config.Retention = 30 * time.Second
	w := model.New(config)
	w.Run(4 * time.Second)
	route := workload.Route{Name: "job", Service: config.Service, MaxAttempts: 3, Stretch: 3, Slack: time.Minute}
	for k := range jobs {
		w.Submit(w.Nodes[k%len(w.Nodes)], &workload.Job{
			ID: workload.JobID(fmt.Sprintf("a%015x", k)), Steps: []workload.Step{{Count: 1, Need: workload.Resources{MilliCPU: 1}, Estimate: 10 * time.Millisecond}},
		}, route, time.Minute)
	}
	w.Run(5 * time.Second)
	checkAllRan(t, w, jobs)
	w.Run(config.Retention - 5*time.Second)
	assert.Equal(t, w.Store.Count("ended:a/"), jobs)
	w.Run(time.Minute)
	assert.Equal(t, w.Store.Count("ended:a/"), 0)
	assert.Check(t, w.Store.MostRows["ended"] <= page, "%d rows were read at once", w.Store.MostRows["ended"])
}
