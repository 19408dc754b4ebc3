package model

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/placement"
	"crocusseam/pkg/workload"
)

// The breach of two runs at once names both runs, the tokens of their holders and how
// both ended.
func TestBreachOfTwoRunsNamesBoth(t *testing.T) {
	w := New(Config{Timing: placement.DefaultTiming(), Domains: []Domain{{Name: "d", Endpoints: []EndpointConfig{{Speed: 1}, {Speed: 1}}}}})
	job := &workload.Job{ID: "1", Ephemeral: true, Steps: []workload.Step{{Count: 1, Estimate: 100 * time.Millisecond}}}
	w.Jobs[job.ID] = &Outcome{Job: job}
	for i, x := range w.Endpoints {
		run := workload.Run{Task: workload.TaskID{Job: job.ID}, Number: i + 1}
		assert.Equal(t, x.Start(&placement.Start{Run: run, Token: workload.Token(7 + i), Until: time.Hour}), placement.Accepted)
		w.Run(20 * time.Millisecond)
	}
	w.Endpoints[0].Stop(&placement.StopRun{Run: workload.Run{Task: workload.TaskID{Job: job.ID}, Number: 1}, Token: 9})
	w.Run(time.Second)
	assert.DeepEqual(t, w.Breaches, []string{
		"task {1 0 0} runs on d-endpoint-1 and was started on d-endpoint-2: " +
			"run 1 on d-endpoint-1 (born 1000000000, token 7) started 0s; run 2 on d-endpoint-2 (born 1000000000, token 8) started 20ms; " +
			"run 1 on d-endpoint-1 (born 1000000000, token 7) started 0s, told to stop 40ms (token 9), Stopped 70ms; " +
			"run 2 on d-endpoint-2 (born 1000000000, token 8) started 20ms, Done 120ms",
	})
}
