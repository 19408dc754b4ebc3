package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/model"
	"crocusseam/pkg/placement"
	"crocusseam/pkg/workload"
)

// Guards against sequences of legal requests that an instance fails at, gives no answer to, or keeps something of: few
// ids, two bodies for each, questions, cancellations, and callers that leave, all within milliseconds.
func TestClientsAtRandom(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			config := deployment(seed)
			config.MaxStoredBytes, config.MaxOpenBytes, config.MaxRuns = 64<<10, 64<<10, 100
			w := model.New(config)
			w.Run(4 * time.Second)
			random := rand.New(rand.NewPCG(seed, 62))
			if seed%2 == 0 {
				w.Store.AnswerDelay = time.Duration(random.IntN(300)) * time.Millisecond
			}
			asked, answered := 0, 0
			count := func(placement.Answer) { answered++ }
			var outcomes []*model.Outcome
			for range 1000 {
				n := w.Nodes[random.IntN(3)]
				j := randomJob(random)
				switch random.IntN(8) {
				case 0, 1:
					asked++
					w.State(n, j.ID, count)
				case 2:
					asked++
					w.Cancel(n, j.ID, count)
				case 3:
					w.SubmitLate(n, &model.Outcome{Job: j}, clientRoute, 10*time.Second, time.Duration(random.IntN(20))*time.Millisecond)
				case 4, 5:
					o := &model.Outcome{Job: j, Submitted: w.Now}
					outcomes = append(outcomes, o)
					if w.Jobs[j.ID] == nil {
						w.Jobs[j.ID] = o
					}
					w.Resubmit(n, o, clientRoute, 10*time.Second)
				default:
					asked++
					w.Waiting(n, clientRoute.Name, count)
				}
				w.Run(time.Duration(random.IntN(3000)) * time.Microsecond)
			}
			w.Store.AnswerDelay = 0
			w.Run(2 * time.Minute)
			assert.Equal(t, answered, asked)
			for i, o := range outcomes {
				assert.Check(t, o.Answer.Status != 0, "submission %d of %s is not answered", i, o.Job.ID)
			}
			assert.Check(t, len(w.Breaches) == 0, "%.5v", w.Breaches)
			for _, n := range w.Nodes {
				o := n.Control.Overview()
				reading, waiting := n.Control.Lookups()
				assert.Check(t, o.Counters.Unexpected == 0, "%s: %d panics", n.ID.Instance, o.Counters.Unexpected)
				assert.Check(t, o.OpenBytes == 0 && o.StoredBytes == 0 && o.Placed == 0 && reading == 0 && waiting == 0, "%s keeps %d and %d bytes, %d tasks, %d reads, %d lookups",
					n.ID.Instance, o.OpenBytes, o.StoredBytes, o.Placed, reading, waiting)
				assert.NilError(t, n.Control.CheckPhases())
			}
		})
	}
}

var clientRoute = workload.Route{Name: "job", MaxAttempts: 3, Stretch: 3, Slack: time.Minute}

// randomJob returns one of few jobs, with one of two bodies.
func randomJob(random *rand.Rand) *workload.Job {
	k := random.IntN(16)
	return &workload.Job{
		ID: workload.JobID(fmt.Sprintf("000c%012x", k)), Spec: fmt.Sprint(random.IntN(2)), Ephemeral: k%2 == 0,
		Steps: []workload.Step{{Count: 1 + k%3*10, Need: workload.Resources{MilliCPU: 50}, Estimate: 10 * time.Millisecond}},
	}
}
