package placement_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"crocusseam/pkg/model"
	"crocusseam/pkg/placement"
	"crocusseam/pkg/slots"
	"crocusseam/pkg/workload"
)

// submitTo submits jobs of three tasks of some length to an instance.
func (w *longJobs) submitTo(n *model.Node, jobs int, length time.Duration) []*model.Outcome {
	l := load([]model.Kind{{Name: "long", Tasks: 3, Work: length, MilliCPU: 9000}}, 0)
	var list []*model.Outcome
	for range jobs {
		j, _ := w.Draw(&l, &l.Kinds[0])
		list = append(list, w.Submit(n, j, w.route, 10*time.Second))
	}
	return list
}

// directoryOf returns the instance that knows the home of a job while all can be reached.
func (w *longJobs) directoryOf(id workload.JobID) *model.Node {
	best := w.Nodes[0]
	for _, n := range w.Nodes[1:] {
		if slots.Score(string(id), n.ID.Instance) > slots.Score(string(id), best.ID.Instance) {
			best = n
		}
	}
	return best
}

// submitKnownTo submits a job to an instance whose directory is another one.
func (w *longJobs) submitKnownTo(home, directory *model.Node, length time.Duration) *model.Outcome {
	l := load([]model.Kind{{Name: "long", Tasks: 3, Work: length, MilliCPU: 9000}}, 0)
	for {
		if j, _ := w.Draw(&l, &l.Kinds[0]); w.directoryOf(j.ID) == directory {
			return w.Submit(home, j, w.route, 10*time.Second)
		}
	}
}

func (w *longJobs) logged(event string) int {
	sum := 0
	for _, n := range w.Nodes {
		sum += n.LogEvents[event]
	}
	return sum
}

// Guards against two runs of a task at once: an instance read the request of a caller that had
// given up and come back elsewhere, before it read that the caller had left. Other callers of the
// instance were not affected, or it had just started, so it had no sign of that.
func TestRequestsReadLateStartNothingBesideTheirSecondHome(t *testing.T) {
	for _, uptime := range []time.Duration{0, 300 * time.Millisecond, time.Second, 2 * time.Second} {
		for _, gap := range []time.Duration{1, 5, 20, 60} {
			t.Run(fmt.Sprint(uptime, " after a start, closed ", gap*time.Millisecond, " later"), func(t *testing.T) {
				t.Parallel()
				for late := time.Duration(0); late <= 3*time.Second; late += 150 * time.Millisecond {
					w := newLongJobs(uint64(late + gap))
					first, second := w.Nodes[0], w.Nodes[len(w.Nodes)-1]
					if uptime > 0 {
						w.After(max(0, late-uptime), first.Start)
						first.Kill()
					}
					jobs := w.submitTo(second, 8, 3*time.Second)
					w.After(late, func() {
						for _, o := range jobs {
							w.SubmitLate(first, o, w.route, 10*time.Second, gap*time.Millisecond)
						}
						w.submitTo(first, 2, 100*time.Millisecond)
					})
					w.Run(9 * time.Second)
					assert.Check(t, len(w.Breaches) == 0, "requests read %v late: %d tasks ran twice at once", late, len(w.Breaches))
				}
			})
		}
	}
}

// Guards against two runs of a task at once: a second home began a job while the stops of the
// first one's runs were still on their way.
func TestSecondHomeWaitsForTheRunsOfTheFirst(t *testing.T) {
	for _, slow := range []time.Duration{0, 200, 600, 900} {
		t.Run(fmt.Sprint(slow*time.Millisecond), func(t *testing.T) {
			t.Parallel()
			w := newLongJobs(3)
			jobs := w.submitTo(w.Nodes[0], 8, 2*time.Second)
			w.Run(300 * time.Millisecond)
			for _, x := range w.busyEndpoints() {
				if slow > 0 {
					x.LateOrders, x.LateBy = 1, slow*time.Millisecond
					w.After(50*time.Millisecond, func() { x.LateOrders = 0 })
				}
			}
			for _, o := range jobs {
				w.Nodes[0].DisconnectCaller(o)
			}
			w.Run(20 * time.Millisecond)
			for _, o := range jobs {
				w.Resubmit(w.Nodes[len(w.Nodes)-1], o, w.route, 10*time.Second)
			}
			w.Run(9 * time.Second)
			assert.Check(t, cmp.Len(w.CheckFinal(), 0))
			for _, o := range jobs {
				assert.Check(t, o.AllDone() && o.Answer.Status == placement.Completed, "job %s: %s", o.Job.ID, o.Answer.Status)
			}
		})
	}
}

// Guards against a test that shows nothing: without the directory, tasks run twice.
func TestSecondHomeNoticesTheLackOfTheDirectory(t *testing.T) {
	w := newLongJobs(3)
	for _, n := range w.Nodes {
		n.Control.SwitchOff(placement.RuleDirectory)
	}
	jobs := w.submitTo(w.Nodes[0], 8, 2*time.Second)
	w.Run(300 * time.Millisecond)
	for _, o := range jobs {
		w.Resubmit(w.Nodes[len(w.Nodes)-1], o, w.route, 10*time.Second)
	}
	w.Run(time.Second)
	assert.Assert(t, len(w.Breaches) > 0)
}

// Guards against two runs of a task at once, and against work that is done twice: a home goes on
// with a job whose caller has left unnoticed and come back elsewhere.
func TestCompletionIsPassedOnToTheHomeThatWaits(t *testing.T) {
	w := newLongJobs(5)
	o := w.submitTo(w.Nodes[0], 1, 2*time.Second)[0]
	w.Run(500 * time.Millisecond)
	started := w.logged("start ordered")
	w.Resubmit(w.Nodes[5], o, w.route, 10*time.Second)
	w.Run(100 * time.Millisecond)
	w.Resubmit(w.Nodes[3], o, w.route, 10*time.Second)
	w.Run(9 * time.Second)
	assert.Check(t, cmp.Len(w.CheckFinal(), 0))
	assert.Equal(t, w.logged("start ordered"), started, "the job was started again")
	assert.Equal(t, w.logged("job passed on"), 2)
	for _, n := range w.Nodes {
		assert.Equal(t, n.Control.Overview().Jobs, 0, "%s has open jobs", n.ID.Instance)
	}
}

// Guards against two runs of a task at once, and against jobs that nobody runs: a home that waits
// loses its caller, and then the one that it waited for does.
func TestWithdrawnHomeIsPassedOver(t *testing.T) {
	w := newLongJobs(6)
	o := w.submitTo(w.Nodes[0], 1, 2*time.Second)[0]
	w.Run(500 * time.Millisecond)
	w.SubmitLate(w.Nodes[2], o, w.route, 10*time.Second, 30*time.Millisecond)
	w.Run(10 * time.Millisecond)
	w.Resubmit(w.Nodes[4], o, w.route, 10*time.Second)
	w.Run(100 * time.Millisecond)
	w.Nodes[0].DisconnectCaller(o)
	w.Run(9 * time.Second)
	assert.Check(t, cmp.Len(w.CheckFinal(), 0))
	assert.Check(t, o.AllDone() && o.Answer.Status == placement.Completed, "%s", o.Answer.Status)
	assert.Equal(t, w.logged("job passed on"), 1)
}

// directoryFaults befall the member that knows the home of a job.
var directoryFaults = []struct {
	name string
	do   func(w *longJobs, directory, home *model.Node)
}{
	{"killed", func(_ *longJobs, directory, _ *model.Node) { directory.Kill() }},
	{"restarted", func(w *longJobs, directory, _ *model.Node) {
		directory.Kill()
		w.After(200*time.Millisecond, directory.Start)
	}},
	{"paused for 0.3 s", func(_ *longJobs, directory, _ *model.Node) { directory.Pause(300 * time.Millisecond) }},
	{"paused for 2 s", func(_ *longJobs, directory, _ *model.Node) { directory.Pause(2 * time.Second) }},
	{"cut off from the home", func(w *longJobs, directory, home *model.Node) {
		w.Cut(directory.ID.Instance, home.ID.Instance, true)
	}},
	{"silent", func(w *longJobs, directory, home *model.Node) {
		w.DelayMessages(directory, home, 2*time.Second)
		w.DelayMessages(home, directory, 2*time.Second)
	}},
	{"leaving", func(_ *longJobs, directory, _ *model.Node) { directory.BeginPlannedStop() }},
}

// Guards against jobs that wait for a directory that cannot answer.
func TestDirectoryThatFailsDelaysAJobByItsTimeoutAtMost(t *testing.T) {
	const timeout = 60 * time.Millisecond
	elapsed := func(fault int, at time.Duration, with bool) time.Duration {
		w := newLongJobs(uint64(at) + 9)
		if !with {
			for _, n := range w.Nodes {
				n.Control.SwitchOff(placement.RuleDirectory)
			}
		}
		home, directory := w.Nodes[0], w.Nodes[4]
		w.After(200*time.Millisecond+at, func() { directoryFaults[fault].do(w, directory, home) })
		w.Run(200 * time.Millisecond)
		o := w.submitKnownTo(home, directory, 200*time.Millisecond)
		w.Run(5 * time.Second)
		assert.Check(t, o.Answer.Status == placement.Completed, "%s at %v: %s", directoryFaults[fault].name, at, o.Answer.Status)
		assert.Check(t, cmp.Len(w.Breaches, 0))
		return o.Answered.Sub(o.Submitted)
	}
	for f := range directoryFaults {
		t.Run(directoryFaults[f].name, func(t *testing.T) {
			t.Parallel()
			for at := -20 * time.Millisecond; at <= 20*time.Millisecond; at += time.Millisecond {
				added := elapsed(f, at, true) - elapsed(f, at, false)
				assert.Check(t, added <= timeout+time.Millisecond, "the fault %v after the job was submitted adds %v", at, added)
			}
		})
	}
}

// Guards against two runs of a task at once, and against entries that keep a job from its next
// home: the member that knew a job's home fails while the job runs, and its caller comes back
// elsewhere. A paused directory is noticed after 0.45 s, and until then nobody waits for it.
func TestRegistrationsSurviveTheirDirectory(t *testing.T) {
	for _, f := range directoryFaults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			begin := 50 * time.Millisecond
			if strings.HasPrefix(f.name, "paused") {
				begin = 500 * time.Millisecond
			}
			for after := begin; after <= 5*time.Second; after += 150 * time.Millisecond {
				w := newLongJobs(uint64(after))
				home, directory, next := w.Nodes[0], w.Nodes[4], w.Nodes[2]
				o := w.submitKnownTo(home, directory, 7*time.Second)
				w.Run(300 * time.Millisecond)
				f.do(w, directory, home)
				w.Run(after)
				w.SubmitLate(next, o, w.route, 10*time.Second, 20*time.Millisecond)
				w.Run(time.Second)
				assert.Check(t, len(w.Breaches) == 0, "submitted again %v after the fault: %d tasks ran twice at once", after, len(w.Breaches))
			}
		})
	}
}

// Guards against jobs that wait for each other's home: two instances ask different members for one
// job, since one of them does not reach the member that the other asks.
func TestHomesWithDifferentViewsDoNotWaitForEachOther(t *testing.T) {
	for first := range 6 {
		for _, heal := range []time.Duration{0, 300 * time.Millisecond, time.Second} {
			t.Run(fmt.Sprint(first, " ", heal), func(t *testing.T) {
				t.Parallel()
				w := newLongJobs(uint64(first))
				a, b, directory := w.Nodes[first], w.Nodes[(first+1)%6], w.Nodes[(first+2)%6]
				w.Cut(b.ID.Instance, directory.ID.Instance, true)
				w.Run(time.Second)
				o := w.submitKnownTo(a, directory, time.Second)
				w.Run(10 * time.Millisecond)
				w.Resubmit(b, o, w.route, 10*time.Second)
				w.Run(heal)
				w.Cut(b.ID.Instance, directory.ID.Instance, false)
				w.Run(8 * time.Second)
				assert.Check(t, o.Answer.Status == placement.Completed, "%s", o.Answer.Status)
				for _, n := range w.Nodes {
					assert.Check(t, n.Control.Overview().Jobs == 0, "%s has open jobs", n.ID.Instance)
				}
				again := w.logged("job has another home")
				w.Resubmit(w.Nodes[(first+3)%6], o, w.route, 10*time.Second)
				w.Run(5 * time.Second)
				assert.Equal(t, w.logged("job has another home"), again, "a job that has ended everywhere has a home")
			})
		}
	}
}

// Guards against jobs that are not served although they could be: a second home waited for runs at
// endpoints that did not answer, until the first home's orders could not come late any more.
func TestSecondHomeDoesNotWaitForEndpointsThatAreSilent(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		w := newLongJobs(seed)
		first, second := w.Nodes[0], w.Nodes[len(w.Nodes)-1]
		for _, x := range w.Endpoints {
			if x.Info.Domain == first.Domain {
				for _, n := range w.Nodes {
					w.Cut(x.Info.ID.Name, n.ID.Instance, true)
				}
			}
		}
		jobs := w.submitTo(first, 8, time.Second)
		w.Run(200 * time.Millisecond)
		for _, o := range jobs {
			first.DisconnectCaller(o)
		}
		w.Run(resendDelay)
		for _, o := range jobs {
			w.Resubmit(second, o, w.route, 10*time.Second)
		}
		w.Run(100 * time.Millisecond)
		for _, o := range jobs {
			assert.Check(t, o.Started, "job %s has not started 0.1 s after it was submitted again", o.Job.ID)
		}
		w.Run(8 * time.Second)
		assert.Check(t, cmp.Len(w.Breaches, 0))
		for _, o := range jobs {
			assert.Check(t, o.AllDone() && o.Answer.Status == placement.Completed, "job %s: %s", o.Job.ID, o.Answer.Status)
		}
	})
}

// Guards against two runs of a task at once: a home that had lost its sessions, or stood still,
// counted as gone although its runs went on, and the next one began.
func TestWaitingHomeBeginsOnlyWhenTheRunsOfALostOneHaveEnded(t *testing.T) {
	pause := func(span time.Duration) func(*longJobs, *model.Node) {
		return func(_ *longJobs, first *model.Node) { first.Pause(span) }
	}
	reset := func(span time.Duration) func(*longJobs, *model.Node) {
		return func(w *longJobs, first *model.Node) {
			for _, cut := range []bool{true, false} {
				for _, n := range w.Nodes[1:] {
					w.Cut(first.ID.Instance, n.ID.Instance, cut)
				}
				w.Run(span)
			}
		}
	}
	for name, do := range map[string]func(*longJobs, *model.Node){
		"killed": func(_ *longJobs, first *model.Node) { first.Kill() },
		"restarted": func(w *longJobs, first *model.Node) {
			first.Kill()
			w.After(100*time.Millisecond, first.Start)
		},
		"paused for 0.6 s": pause(600 * time.Millisecond), "paused for 1.5 s": pause(1500 * time.Millisecond), "paused for 3 s": pause(3 * time.Second),
		"sessions reset, 5 ms": reset(5 * time.Millisecond), "sessions reset, 300 ms": reset(300 * time.Millisecond),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for at := time.Duration(0); at < 400*time.Millisecond; at += 20 * time.Millisecond {
				w := newLongJobs(uint64(at) + 3)
				first, second := w.Nodes[0], w.Nodes[len(w.Nodes)-1]
				jobs := w.submitTo(first, 8, 5*time.Second)
				w.Run(300 * time.Millisecond)
				for _, o := range jobs {
					w.Resubmit(second, o, w.route, 10*time.Second)
				}
				w.Run(300*time.Millisecond + at)
				do(w, first)
				w.Run(5 * time.Second)
				assert.Check(t, len(w.Breaches) == 0, "%v after the second submission: %d tasks ran twice at once", at, len(w.Breaches))
			}
		})
	}
}
