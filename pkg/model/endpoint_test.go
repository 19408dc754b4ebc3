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

// The lease that a start brings holds for all that runs there, also if the start is a copy or is
// refused as old. It is never shortened, and a lower token brings none.
func TestEveryStartBringsItsLease(t *testing.T) {
	const lease = time.Second
	for _, c := range []struct {
		name     string
		start    placement.Start
		outcome  placement.OrderOutcome
		leaseEnd time.Duration
	}{
		{"another run", placement.Start{Run: workload.Run{Task: workload.TaskID{Job: "1", Index: 1}, Number: 1}, Token: 7, Until: 900 * time.Millisecond}, placement.Accepted, 900 * time.Millisecond},
		{"a copy", placement.Start{Run: workload.Run{Task: workload.TaskID{Job: "1"}, Number: 1}, Token: 7, Until: 900 * time.Millisecond}, placement.Accepted, 900 * time.Millisecond},
		{"old", placement.Start{Run: workload.Run{Task: workload.TaskID{Job: "1", Index: 2}, Number: 1}, Token: 7, Until: 900 * time.Millisecond}, placement.TooOld, 900 * time.Millisecond},
		{"shorter", placement.Start{Run: workload.Run{Task: workload.TaskID{Job: "1"}, Number: 1}, Token: 7, Until: 200 * time.Millisecond}, placement.Accepted, 500 * time.Millisecond},
		{"too long", placement.Start{Run: workload.Run{Task: workload.TaskID{Job: "1"}, Number: 1}, Token: 7, Until: time.Hour}, placement.Accepted, lease + 100*time.Millisecond},
		{"fenced", placement.Start{Run: workload.Run{Task: workload.TaskID{Job: "1"}, Number: 1}, Token: 6, Until: 900 * time.Millisecond}, placement.Fenced, 500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			timing := placement.DefaultTiming()
			timing.Lease = lease
			w := New(Config{Timing: timing, Domains: []Domain{{Name: "d", Endpoints: []EndpointConfig{{Speed: 1}}}}})
			w.Jobs["1"] = &Outcome{Job: &workload.Job{ID: "1", Ephemeral: true, Steps: []workload.Step{{Count: 3, Estimate: time.Hour}}}}
			x := w.Endpoints[0]
			first := workload.Run{Task: workload.TaskID{Job: "1"}, Number: 1}
			assert.Equal(t, x.Start(&placement.Start{Run: first, Token: 7, Until: 500 * time.Millisecond}), placement.Accepted)
			assert.Equal(t, x.Stop(&placement.StopRun{Run: workload.Run{Task: workload.TaskID{Job: "1", Index: 2}, Number: 1}, Token: 7}), placement.Accepted)
			w.Run(100 * time.Millisecond)
			assert.Equal(t, x.Start(&c.start), c.outcome)
			w.Run(c.leaseEnd - w.Elapsed() - time.Millisecond)
			assert.Equal(t, len(x.Report().Ended), 0)
			w.Run(time.Millisecond)
			ended := x.Report().Ended
			assert.Assert(t, len(ended) > 0)
			assert.DeepEqual(t, ended[0], workload.EndedRun{Sequence: 1, Run: first, How: workload.Lapsed})
		})
	}
}

// A lease ends on the endpoint's clock, which may run slow.
func TestLeaseEndsOnASlowClock(t *testing.T) {
	for _, lag := range []float64{0, 0.001, 0.0137, 0.02} {
		w := New(Config{Timing: placement.DefaultTiming(), Domains: []Domain{{Name: "d", Endpoints: []EndpointConfig{{Speed: 1, ClockLag: lag}}}}})
		w.Jobs["1"] = &Outcome{Job: &workload.Job{ID: "1", Ephemeral: true, Steps: []workload.Step{{Count: 1, Estimate: time.Hour}}}}
		x := w.Endpoints[0]
		w.Run(time.Minute)
		assert.Equal(t, x.Clock(), time.Duration(float64(time.Minute)*(1-lag)))
		const lease = 700 * time.Millisecond
		assert.Equal(t, x.Start(&placement.Start{Run: workload.Run{Task: workload.TaskID{Job: "1"}, Number: 1}, Until: x.Clock() + lease}), placement.Accepted)
		w.Run(time.Duration(float64(lease)/(1-lag)) - time.Microsecond)
		assert.Equal(t, len(x.Report().Ended), 0)
		w.Run(2 * time.Microsecond)
		assert.Equal(t, len(x.Report().Ended), 1)
	}
}
