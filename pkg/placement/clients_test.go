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
			config.MaxStoredBytes, config.MaxOpenBytes, config.MaxRunBytes = 64<<10, 64<<10, 100<<10
			w := model.New(config)
			w.Run(4 * time.Second)
			random := rand.New(rand.NewPCG(seed, 62))
			if seed%2 == 0 {
				w.Store.AnswerDelay = time.Duration(random.IntN(300)) * time.Millisecond
			}
			asked, answered := 0, 0
			count := func(placement.Answer) { answered++ }
			var outcomes []*model.Outcome
			for k := range randomJobs {
				j := clientJob(k, "")
				w.Jobs[j.ID] = &model.Outcome{Job: j}
			}
			for range 1000 {
				n := w.Nodes[random.IntN(3)]
				j := clientJob(random.IntN(randomJobs), fmt.Sprint(random.IntN(2)))
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
			assert.Check(t, len(w.Breaches) == 0, "%d, first %v", len(w.Breaches), w.Breaches[:min(len(w.Breaches), 3)])
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

var clientRoute = workload.Route{Name: "job", Service: deployment(1).Service, MaxAttempts: 3, Stretch: 3, Slack: time.Minute}

const randomJobs = 16

// clientJob returns a job of a random client, of which each second one is stored.
func clientJob(number int, spec string) *workload.Job {
	return &workload.Job{
		ID: workload.JobID(fmt.Sprintf("000c%012x", number)), Spec: spec, Ephemeral: number%2 == 0,
		Steps: []workload.Step{{Count: 1 + number%3*10, Need: workload.Resources{MilliCPU: 50}, Estimate: 10 * time.Millisecond}},
	}
}

// Guards against stored jobs that are not recorded beside submissions of jobs that have ended: a commit of several jobs
// fails with one of them.
func TestJobsAreRecordedBesideEndedOnes(t *testing.T) {
	const known, submissions = 200, 8000
	w := model.New(deployment(1))
	w.Run(4 * time.Second)
	job := func(k int) *workload.Job {
		return &workload.Job{ID: workload.JobID(fmt.Sprintf("000d%012x", k)), Steps: []workload.Step{{Count: 1, Need: workload.Resources{MilliCPU: 50}, Estimate: 10 * time.Millisecond}}}
	}
	for k := range known {
		w.Submit(w.Nodes[4], job(k), clientRoute, 10*time.Second)
	}
	w.Run(5 * time.Second)
	states := make(map[workload.JobID]placement.Status)
	var ordinary []*model.Outcome
	for k := range submissions {
		w.Resubmit(w.Nodes[0], &model.Outcome{Job: job(k % known)}, clientRoute, 10*time.Second)
		if k%1000 == 500 {
			ordinary = append(ordinary, w.Submit(w.Nodes[0], job(known+k), clientRoute, 10*time.Second))
		}
		w.Run(500 * time.Microsecond)
		if k == submissions-1 { // while the crowd goes on
			for _, o := range ordinary[:len(ordinary)-2] {
				w.State(w.Nodes[4], o.Job.ID, func(a placement.Answer) { states[o.Job.ID] = a.Status })
			}
		}
	}
	w.Run(100 * time.Millisecond)
	for _, o := range ordinary[:len(ordinary)-2] {
		assert.Check(t, o.Answer.Status == placement.Queued && states[o.Job.ID] == placement.Completed, "%s: answered %v, now %v", o.Job.ID, o.Answer, states[o.Job.ID])
	}
}
