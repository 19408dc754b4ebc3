package dispatch_test

import (
	"os"
	"testing"
	"time"

	"crocusseam/pkg/routing"
)

// TestMeasure prints paired runs of the policies. It is a measurement, not a
// check: it runs only when MEASURE is set.
func TestMeasure(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("set MEASURE=1 to measure")
	}
	for _, share := range shares() {
		for _, policy := range policies() {
			config := defaultWorld(1)
			config.policy = policy
			w := withRunningWorld(t, config)
			l := w.offer(loadConfig{seed: 1, share: share, length: 40 * time.Second, maxTasks: 100, deadline: 60 * time.Second})
			begin := time.Now()
			w.run(100 * time.Second)
			f := w.judgeLoad(l, w.referenceEndpoints(), l.jobs[0].Arrival.Add(10*time.Second))
			t.Logf("%v %s %v\n   %v\n %v %v", share, policy, time.Since(begin), f, f.byKind, w.ledger.messages)
		}
	}
}

func shares() []float64 { return []float64{0.7, 0.9} }

func policies() []routing.PolicyName {
	if os.Getenv("MEASURE") == "own" {
		return []routing.PolicyName{routing.EarliestCompletion}
	}
	return []routing.PolicyName{routing.EarliestCompletion, routing.Random, routing.RoundRobin}
}
