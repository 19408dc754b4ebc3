package placement_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/model"
	"crocusseam/pkg/placement"
	"crocusseam/pkg/workload"
)

// storedMix returns the mix of jobs with all of them stored, not ephemeral.
func storedMix(rate float64) []model.Kind {
	kinds := model.Mix(rate)
	for i := range kinds {
		kinds[i].Stored = true
	}
	return kinds
}

// runStoredScenario runs a load of stored jobs with faults. It checks that every accepted
// job completes once, whatever happens to its home, and that instances report it as
// completed. The function before is called before the load, trouble during it.
func runStoredScenario(t *testing.T, rate float64, span time.Duration, before, trouble func(*model.World)) {
	t.Helper()
	eachSeed(t, func(t *testing.T, seed uint64) {
		w := model.New(deployment(seed))
		w.Run(4 * time.Second)
		if before != nil {
			before(w)
		}
		w.StartLoad(load(storedMix(rate), span))
		trouble(w)
		w.Run(30 * time.Second)
		breaches := w.CheckFinal()
		if len(breaches) > 5 {
			breaches = breaches[:5]
		}
		assert.Check(t, len(breaches) == 0, "%v", breaches)
		checkStored(t, w)
	})
}

func checkStored(t *testing.T, w *model.World) {
	t.Helper()
	accepted, unfinished, states := 0, 0, make(map[placement.Status]int)
	asked := slices.DeleteFunc(slices.Clone(w.Nodes), func(n *model.Node) bool { return !n.Up })[:2]
	for id, o := range w.Jobs {
		if o.Answer.Status != placement.Queued && o.Answer.Status != placement.Running {
			continue
		}
		accepted++
		if !o.AllDone() {
			unfinished++
		}
		for _, n := range asked {
			w.State(n, id, func(a placement.Answer) { states[a.Status]++ })
		}
	}
	w.Run(2 * time.Second)
	t.Logf("%d jobs, %d accepted, states %v", len(w.Jobs), accepted, states)
	assert.Check(t, accepted > len(w.Jobs)/2)
	assert.Check(t, unfinished == 0, "%d accepted jobs have tasks that are not done", unfinished)
	assert.Check(t, states[placement.Completed] == 2*accepted, "%v of %d jobs", states, accepted)
}

func TestStoredJobsOnACalmDay(t *testing.T) {
	runStoredScenario(t, 0.5, 5*time.Second, nil, func(w *model.World) { w.Run(5 * time.Second) })
}

func TestHomesOfStoredJobsKilled(t *testing.T) {
	runStoredScenario(t, 0.5, 8*time.Second, nil, func(w *model.World) {
		w.Run(2 * time.Second)
		w.Nodes[0].Kill()
		w.Run(1500 * time.Millisecond)
		w.Nodes[3].Kill()
		w.Run(time.Second)
		w.Nodes[0].Start()
		w.Run(2 * time.Second)
		w.Nodes[3].Start()
		w.Run(3 * time.Second)
	})
}

func TestEverythingKilledWithStoredJobs(t *testing.T) {
	runStoredScenario(t, 0.5, 8*time.Second, nil, func(w *model.World) {
		w.Run(3 * time.Second)
		for _, n := range w.Nodes {
			n.Kill()
		}
		w.Run(time.Second)
		for _, n := range w.Nodes {
			n.Start()
		}
		w.Run(6 * time.Second)
	})
}

func TestHomeOfStoredJobsFrozen(t *testing.T) {
	runStoredScenario(t, 0.5, 8*time.Second, nil, func(w *model.World) {
		w.Run(2 * time.Second)
		w.Nodes[1].Pause(4 * time.Second)
		w.Run(3 * time.Second)
		w.Nodes[4].Pause(500 * time.Millisecond)
		w.Run(4 * time.Second)
	})
}

func TestDomainWithStoredJobsCutOff(t *testing.T) {
	runStoredScenario(t, 0.4, 8*time.Second, nil, func(w *model.World) {
		w.Run(2 * time.Second)
		others := []string{"domain-b", "domain-c", "domain-d", "store"}
		for _, o := range others {
			w.Cut("domain-a", o, true)
		}
		w.Run(5 * time.Second)
		for _, o := range others {
			w.Cut("domain-a", o, false)
		}
		w.Run(3 * time.Second)
	})
}

func TestStoredJobsWhileAnswersOfTheStoreAreLost(t *testing.T) {
	runStoredScenario(t, 0.4, 8*time.Second, func(w *model.World) { w.Store.LoseAnswers = 0.3 }, func(w *model.World) {
		w.Run(4 * time.Second)
		w.Nodes[2].Kill()
		w.Run(4 * time.Second)
		w.Store.LoseAnswers = 0
	})
}

func TestStoredJobsWhileOrdersAreCarriedOutLate(t *testing.T) {
	late := func(share float64) func(*model.World) {
		return func(w *model.World) {
			for _, e := range w.Endpoints {
				e.LateOrders, e.LateBy, e.LoseAnswers = share, 3*time.Second, share
			}
		}
	}
	runStoredScenario(t, 0.4, 8*time.Second, late(0.04), func(w *model.World) {
		w.Run(3 * time.Second)
		w.Nodes[0].Kill()
		w.Run(6 * time.Second)
		late(0)(w)
	})
}

func TestEndpointsOfStoredJobsCrash(t *testing.T) {
	runStoredScenario(t, 0.4, 8*time.Second, nil, func(w *model.World) {
		w.Run(2 * time.Second)
		for i := range 6 {
			e := w.Endpoints[i*7]
			e.Crash()
			w.After(time.Duration(i)*500*time.Millisecond, e.Restart)
		}
		w.Run(6 * time.Second)
	})
}

func TestInstancesWithStoredJobsStoppedInTurn(t *testing.T) {
	runStoredScenario(t, 0.4, 14*time.Second, nil, func(w *model.World) {
		for _, n := range w.Nodes {
			w.Run(2 * time.Second)
			n.BeginPlannedStop()
			w.After(5500*time.Millisecond, func() {
				n.Kill()
				n.Start()
			})
		}
		w.Run(8 * time.Second)
	})
}

// While the store is unreachable, instances refuse stored jobs at once and run none of
// their tasks; jobs accepted before continue.
func TestStoredJobsAreRefusedWhileTheStoreIsAway(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		w := model.New(deployment(seed))
		w.Run(4 * time.Second)
		w.StartLoad(load(storedMix(0.4), 2*time.Second))
		w.Run(2 * time.Second)
		w.Store.Unavailable = true
		w.Run(3 * time.Second)
		l := load(storedMix(0.4), 0)
		first := w.SubmitTo(w.Nodes[0], &l, &l.Kinds[0])
		w.Run(3 * time.Second)
		assert.Check(t, first.Answer.Status == placement.TimedOut || first.Answer.Status == placement.Refused)
		second := w.SubmitTo(w.Nodes[0], &l, &l.Kinds[0])
		w.Run(10 * time.Millisecond)
		assert.Equal(t, second.Answer.Status, placement.Refused)
		assert.Check(t, second.Answer.RetryAfter > 0)
		w.Store.Unavailable = false
		w.Run(20 * time.Second)
		assert.Check(t, len(w.CheckFinal()) == 0, "%v", w.Breaches)
	})
}

// A job that is submitted again, to any instance and at any time, runs once; another job
// with the same ID is refused.
func TestStoredJobHandedInAgainIsOneJob(t *testing.T) {
	w := model.New(deployment(1))
	w.Run(4 * time.Second)
	l := load([]model.Kind{{Name: "job", Tasks: 3, Work: 300 * time.Millisecond, MilliCPU: 27000, Stored: true}}, 0)
	o := w.SubmitTo(w.Nodes[0], &l, &l.Kinds[0])
	route := workload.Route{Name: "job", Service: "booking", MaxAttempts: 3}
	var answers []*model.Outcome
	again := func(n *model.Node, j *workload.Job) {
		answer := w.Submit(n, j, route, 2*time.Second)
		answers = append(answers, answer)
		w.Jobs[j.ID] = o
	}
	again(w.Nodes[0], o.Job)
	again(w.Nodes[5], o.Job)
	w.Run(100 * time.Millisecond)
	again(w.Nodes[0], o.Job)
	again(w.Nodes[3], o.Job)
	w.Run(3 * time.Second)
	again(w.Nodes[0], o.Job)
	again(w.Nodes[4], o.Job)
	other := *o.Job
	other.Spec = "another job"
	again(w.Nodes[2], &other)
	w.Run(time.Second)
	for i, a := range answers[:4] {
		assert.Check(t, a.Answer.Status == placement.Queued || a.Answer.Status == placement.Running, "%d: %v", i, a.Answer)
	}
	for _, a := range answers[4:6] {
		assert.Equal(t, a.Answer.Status, placement.Completed)
	}
	assert.Equal(t, answers[6].Answer.Status, placement.Mismatch)
	assert.Check(t, o.AllDone())
	assert.Check(t, len(w.Breaches) == 0, "%v", w.Breaches)
}

// A stored job can be cancelled through any instance: its tasks stop, and every instance
// reports it as cancelled.
func TestStoredJobsAreCancelledThroughAnyInstance(t *testing.T) {
	w := model.New(deployment(1))
	w.Run(4 * time.Second)
	l := load([]model.Kind{{Name: "job", Tasks: 3, Work: 20 * time.Second, MilliCPU: 27000, Stored: true}}, 0)
	for i, n := range []*model.Node{w.Nodes[0], w.Nodes[1], w.Nodes[4]} {
		o := w.SubmitTo(w.Nodes[0], &l, &l.Kinds[0])
		w.Run(time.Second)
		assert.Check(t, o.Started)
		var answers []placement.Answer
		take := func(a placement.Answer) { answers = append(answers, a) }
		w.Cancel(n, o.Job.ID, take)
		w.Run(200 * time.Millisecond)
		for _, x := range w.Endpoints {
			assert.Equal(t, x.Used().MilliCPU, 0, "job %d", i)
		}
		w.State(w.Nodes[2], o.Job.ID, take)
		w.State(w.Nodes[0], o.Job.ID, take)
		w.Cancel(w.Nodes[3], o.Job.ID, take)
		w.Run(time.Second)
		assert.Equal(t, len(answers), 4)
		for _, a := range answers {
			assert.Equal(t, a.Status, placement.Cancelled)
		}
	}
	var unknown placement.Answer
	w.Cancel(w.Nodes[1], "00000000000000ff", func(a placement.Answer) { unknown = a })
	w.Run(time.Second)
	assert.Equal(t, unknown.Status, placement.Absent)
	assert.Check(t, len(w.Breaches) == 0, "%v", w.Breaches)
}

// Every instance reports how many jobs of a route wait at all instances together.
func TestWaitingJobsAreCountedEverywhere(t *testing.T) {
	w := model.New(deployment(1))
	w.Run(4 * time.Second)
	l := load([]model.Kind{{Name: "job", Tasks: 1, Work: 20 * time.Second, MilliCPU: 60000, Stored: true}}, 0)
	for i := range 80 {
		w.SubmitTo(w.Nodes[i%6], &l, &l.Kinds[0])
	}
	w.Run(1500 * time.Millisecond)
	started := 0
	for _, o := range w.Jobs {
		if o.Started {
			started++
		}
	}
	assert.Check(t, started < 80)
	for _, n := range w.Nodes {
		w.Waiting(n, "job", func(a placement.Answer) { assert.Equal(t, a.Waiting, 80-started) })
	}
	w.Run(time.Second)
}

// Outcomes are kept for the retention period, even when all instances restart, and are
// removed some time after it.
func TestOutcomesAreRemovedAfterTheirRetention(t *testing.T) {
	config := deployment(1)
	config.Retention = time.Minute
	w := model.New(config)
	w.Run(4 * time.Second)
	l := load([]model.Kind{{Name: "job", Tasks: 1, Work: 50 * time.Millisecond, MilliCPU: 27000, Stored: true}}, 0)
	for range 40 {
		w.SubmitTo(w.Nodes[0], &l, &l.Kinds[0])
	}
	w.Run(30 * time.Second)
	for _, n := range w.Nodes {
		n.Kill()
		n.Start()
	}
	states := func() map[placement.Status]int {
		counts := make(map[placement.Status]int)
		for id := range w.Jobs {
			w.State(w.Nodes[3], id, func(a placement.Answer) { counts[a.Status]++ })
		}
		w.Run(time.Second)
		return counts
	}
	w.Run(29 * time.Second)
	assert.Equal(t, states()[placement.Completed], 40)
	w.Run(2 * time.Minute)
	assert.Equal(t, states()[placement.Absent], 40)
}

// Homes that were cut off from the other failure domains and from the store reconnect
// after other instances have taken over their stored jobs: they start none of these
// jobs' tasks again.
func TestHomeOfStoredJobsCutOffAlone(t *testing.T) {
	runStoredScenario(t, 1.1, 8*time.Second, nil, func(w *model.World) {
		w.Run(2 * time.Second)
		cut := func(yes bool) {
			for _, o := range []string{"domain-b", "domain-c", "domain-d"} {
				w.Cut("domain-a", o, yes)
			}
			for _, n := range w.Nodes[:2] {
				w.Cut(n.ID.Instance, "store", yes)
			}
		}
		cut(true)
		w.Run(6 * time.Second)
		cut(false)
		w.Run(3 * time.Second)
	})
}

// An instance that adopts a stored job records its outcome, even if it has never accepted
// a stored job itself.
func TestFirstStoredJobOfAnInstanceIsAdopted(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		w := model.New(deployment(seed))
		w.Run(4 * time.Second)
		l := load([]model.Kind{{Name: "job", Tasks: 3, Work: 300 * time.Millisecond, MilliCPU: 27000, Stored: true}}, 0)
		o := w.SubmitTo(w.Nodes[0], &l, &l.Kinds[0])
		w.Run(100 * time.Millisecond)
		assert.Equal(t, o.Answer.Status, placement.Queued)
		w.Nodes[0].Kill()
		w.Run(10 * time.Second)
		var status placement.Status
		w.State(w.Nodes[1], o.Job.ID, func(a placement.Answer) { status = a.Status })
		w.Run(time.Second)
		assert.Equal(t, status, placement.Completed)
		assert.Check(t, o.AllDone())
	})
}

// Guards against stored jobs that nobody runs: an instance whose adoption of jobs took
// effect without its knowledge goes on with them, even though another instance scans
// their partitions by then.
func TestAdoptionWithALostAnswerIsNoticed(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		w := worldWithStoredJobs(seed)
		w.Nodes[0].Kill()
		runUntilLogged(w, "job without a home")
		w.Store.LoseAnswers = 1
		w.Run(20 * time.Millisecond)
		w.Store.LoseAnswers = 0
		w.Nodes[0].Start()
		runUntilLogged(w, "jobs not adopted")
		w.Run(14 * time.Second)
		assert.Check(t, len(w.CheckFinal()) == 0, "%v", w.Breaches)
		checkStored(t, w)
	})
}

// worldWithStoredJobs returns a deployment whose first instance is the home of 64 stored
// jobs, which have just started.
func worldWithStoredJobs(seed uint64) *model.World {
	w := model.New(deployment(seed))
	w.Run(4 * time.Second)
	l := load([]model.Kind{{Name: "job", Tasks: 2, Work: 2500 * time.Millisecond, MilliCPU: 2000, Stored: true}}, 0)
	for range 64 {
		w.SubmitTo(w.Nodes[0], &l, &l.Kinds[0])
	}
	w.Run(500 * time.Millisecond)
	return w
}

// runUntilLogged advances a world until some instance has logged an event.
func runUntilLogged(w *model.World, event string) {
	for range 1000 {
		if slices.ContainsFunc(w.Nodes, func(n *model.Node) bool { return n.LogEvents[event] > 0 }) {
			return
		}
		w.Run(10 * time.Millisecond)
	}
}

// Guards against stored jobs that nobody runs: two instances that each take the other for
// the holder of endpoints, after commits of holds without an answer, do not wait for each
// other for ever.
func TestHoldsTakenWithLostAnswersAreNoticed(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		w := worldWithStoredJobs(seed)
		w.Store.LoseAnswers = 0.6
		w.Nodes[0].Kill()
		w.Run(2 * time.Second)
		w.Nodes[0].Start()
		w.Run(2500 * time.Millisecond)
		w.Store.LoseAnswers = 0
		w.Run(14 * time.Second)
		assert.Check(t, len(w.CheckFinal()) == 0, "%v", w.Breaches)
		checkStored(t, w)
	})
}

// Guards against jobs shown as failed without cause: the outcome of a failed run counts
// once, although its holder sends it again and again while the store is away.
func TestFailedRunCountsOnce(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		w := model.New(deployment(seed))
		w.Run(4 * time.Second)
		l := load([]model.Kind{{Name: "job", Tasks: 40, Work: 4 * time.Second, MilliCPU: 20000, Stored: true}}, 0)
		failing := w.Endpoints[12:18] // a half of those of the home's domain
		for _, x := range failing {
			x.FailsAll = true
		}
		o := w.SubmitTo(w.Nodes[2], &l, &l.Kinds[0])
		w.Run(500 * time.Millisecond)
		for _, x := range failing {
			x.FailsAll = false
		}
		w.Store.Unavailable = true
		w.Nodes[3].Kill()
		w.Run(4500 * time.Millisecond)
		w.Store.Unavailable = false
		w.Nodes[3].Start()
		w.Run(30 * time.Second)
		assert.Check(t, o.AllDone())
		assert.Check(t, len(w.CheckFinal()) == 0, "%v", w.Breaches)
		checkStored(t, w)
	})
}

// Guards against starts after too many failed runs: the next home of a job counts the
// failures that the former one did not record.
func TestNextHomeCountsFailedRuns(t *testing.T) {
	for after := 300 * time.Millisecond; after < 1500*time.Millisecond; after += 50 * time.Millisecond {
		t.Run(after.String(), func(t *testing.T) {
			t.Parallel()
			w := model.New(deployment(1))
			w.Run(4 * time.Second)
			for _, x := range w.Endpoints {
				x.FailsAll = true
			}
			l := load([]model.Kind{{Name: "job", Tasks: 4, Work: time.Second, MilliCPU: 2000, Stored: true}}, 0)
			o := w.SubmitTo(w.Nodes[0], &l, &l.Kinds[0])
			w.Run(after)
			w.Nodes[0].Kill()
			w.Run(3 * time.Second)
			w.Nodes[0].Start()
			w.Run(15 * time.Second)
			var status placement.Status
			w.State(w.Nodes[1], o.Job.ID, func(a placement.Answer) { status = a.Status })
			w.Run(time.Second)
			assert.Equal(t, status, placement.Failed)
			assert.Check(t, len(w.CheckFinal()) == 0, "%v", w.Breaches)
		})
	}
}

// Guards against tasks that run twice: a run whose end is behind the ends that a report can
// list has not lapsed.
func TestEndsBeyondThoseOfAReport(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		config := deployment(seed)
		config.Domains = config.Domains[:2]
		for i := range config.Domains {
			config.Domains[i].Instances, config.Domains[i].Endpoints = 2-i, config.Domains[i].Endpoints[:1]
		}
		config.Domains[0].Shares = []int{1, 0}
		w := model.New(config)
		w.Run(4 * time.Second)
		l := load([]model.Kind{
			{Name: "many", Tasks: 450, Work: 40 * time.Millisecond, MilliCPU: 1500, Stored: true},
			{Name: "few", Tasks: 20, Work: 300 * time.Millisecond, MilliCPU: 800, Stored: true},
		}, 0)
		for i := range 8 {
			w.SubmitTo(w.Nodes[i%2*2], &l, &l.Kinds[0])
			if i < 4 {
				w.SubmitTo(w.Nodes[1], &l, &l.Kinds[1])
			}
			w.Run(300 * time.Millisecond)
			if i == 3 {
				w.Nodes[1].Kill()
				w.After(3*time.Second, w.Nodes[1].Start)
			}
			w.Run(200 * time.Millisecond)
		}
		w.Run(25 * time.Second)
		assert.Check(t, len(w.CheckFinal()) == 0, "%d breaches: %.300v", len(w.Breaches), w.Breaches)
		checkStored(t, w)
	})
}

// Guards against a number of waiting jobs that leaves out those whose home has just been
// killed: while they are adopted, no instance gives less than half of them.
func TestWaitingJobsOfAKilledHomeAreCounted(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		w := model.New(deployment(seed))
		w.Run(4 * time.Second)
		l := load([]model.Kind{{Name: "job", Tasks: 1, Work: 20 * time.Second, MilliCPU: 60000, Stored: true}}, 0)
		for range 160 {
			w.SubmitTo(w.Nodes[0], &l, &l.Kinds[0])
		}
		w.Run(6 * time.Second)
		w.Nodes[0].Kill()
		w.After(3*time.Second, w.Nodes[0].Start)
		for range 80 {
			w.Run(100 * time.Millisecond)
			waiting := 0
			for _, o := range w.Jobs {
				if !o.Started {
					waiting++
				}
			}
			for _, n := range w.Nodes[1:] {
				w.Waiting(n, "job", func(a placement.Answer) {
					assert.Check(t, 2*a.Waiting >= waiting, "%s gives %d of %d at %s", n.ID.Instance, a.Waiting, waiting, w.Elapsed())
				})
			}
		}
		assert.Check(t, len(w.Breaches) == 0, "%v", w.Breaches)
	})
}
