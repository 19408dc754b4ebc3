package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"crocusseam/pkg/model"
	"crocusseam/pkg/workload"
)

// resendDelay is how long callers wait after a broken connection until they submit their job
// again, to any instance.
const resendDelay = 1300 * time.Millisecond

// longJobs is a world with ephemeral jobs of long tasks, some of them at every instance's
// endpoints.
type longJobs struct {
	*model.World
	route workload.Route
	open  []*model.Outcome
}

func newLongJobs(seed uint64) *longJobs {
	w := &longJobs{World: model.New(deployment(seed))}
	w.route = workload.Route{Name: "long", Service: w.Config.Service, Stretch: 3, Slack: time.Second, Timeout: 10 * time.Second, MaxAttempts: 3}
	w.Run(4 * time.Second)
	return w
}

// submit submits jobs to the first instance.
func (w *longJobs) submit(jobs int) {
	l := load([]model.Kind{{Name: "long", Tasks: 3, Work: 3 * time.Second, MilliCPU: 27000}}, 0)
	for range jobs {
		j, _ := w.Draw(&l, &l.Kinds[0])
		w.open = append(w.open, w.Submit(w.Nodes[0], j, w.route, 10*time.Second))
	}
}

// resendTo submits all jobs again, to another instance.
func (w *longJobs) resendTo(n *model.Node) {
	for _, o := range w.open {
		w.Resubmit(n, o, w.route, 10*time.Second)
	}
}

// Guards against two runs of a task at once: the order to drop the runs of a job whose caller
// had left was lost with the session to their holder. What happens to the home after that makes
// the earlier run end as done, be stopped late, or overlap two later ones.
func TestDroppedRunsEndAlthoughTheirDropWasLost(t *testing.T) {
	for name, then := range map[string]func(w *longJobs){
		"nothing further": func(*longJobs) {},
		"home killed":     func(w *longJobs) { w.Nodes[0].Kill() },
		"callers leave again, home killed": func(w *longJobs) {
			w.disconnect(w.Nodes[3])
			w.Run(300 * time.Millisecond)
			w.resendTo(w.Nodes[2])
			w.Run(300 * time.Millisecond)
			w.Nodes[0].Kill()
		},
	} {
		t.Run(name, func(t *testing.T) {
			eachSeed(t, func(t *testing.T, seed uint64) {
				w := newLongJobs(seed)
				w.submit(8)
				w.Run(300 * time.Millisecond)
				home := w.Nodes[0]
				for _, cut := range []bool{true, false} {
					for _, n := range w.Nodes[1:] {
						w.Cut(home.ID.Instance, n.ID.Instance, cut)
					}
					w.disconnect(home)
					w.Run(10 * time.Millisecond)
				}
				w.Run(resendDelay - 20*time.Millisecond)
				w.resendTo(w.Nodes[3])
				w.Run(200 * time.Millisecond)
				then(w)
				w.Run(3 * time.Second)
				assert.Check(t, cmp.Len(w.Breaches, 0))
			})
		})
	}
}

// Guards against two runs of a task at once: an instance that had been paused started the jobs
// of requests that had come meanwhile, whose callers had left and submitted them elsewhere.
func TestRequestsReadAfterAPauseStartOnlyForCallersThatWait(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		w := newLongJobs(seed)
		home := w.Nodes[0]
		home.Pause(3 * time.Second)
		w.Run(10 * time.Millisecond)
		w.submit(8)
		w.Run(1500 * time.Millisecond)
		for _, o := range w.open[1:] {
			w.After(1500*time.Millisecond, func() { home.DisconnectCaller(o) }) // noticed after the pause
		}
		w.Run(resendDelay)
		for _, o := range w.open[1:] {
			w.Resubmit(w.Nodes[3], o, w.route, 10*time.Second)
		}
		w.Run(9 * time.Second)
		assert.Check(t, cmp.Len(w.Breaches, 0))
		assert.Check(t, w.open[0].AllDone(), "the job whose caller waits is not done")
	})
}

// Guards against two runs of a task at once: requests that had waited on a path which stood
// still were started, although their callers had left and submitted them elsewhere.
func TestRequestsReadAfterASilenceStartOnlyForCallersThatWait(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		w := newLongJobs(seed)
		for range 20 {
			w.submit(1)
			w.Run(30 * time.Millisecond)
		}
		w.disconnect(w.Nodes[0])
		w.open = nil
		w.Run(1500 * time.Millisecond)
		w.submit(8)
		for _, o := range w.open[1:] {
			w.After(3*time.Millisecond, func() { w.Nodes[0].DisconnectCaller(o) })
		}
		w.Run(time.Second)
		for _, o := range w.open[1:] {
			assert.Check(t, !o.Started, "job %s was started", o.Job.ID)
		}
		w.Run(9 * time.Second)
		assert.Check(t, w.open[0].AllDone(), "the job whose caller waits is not done")
	})
}
