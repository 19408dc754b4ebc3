package placement_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"crocusseam/pkg/model"
	"crocusseam/pkg/workload"
)

// homeFaults break the connections of the callers of an instance at one moment.
var homeFaults = []struct {
	name string
	do   func(w *longJobs, home *model.Node)
}{
	{"callers leave", func(w *longJobs, home *model.Node) { w.disconnect(home) }},
	{"home killed", func(_ *longJobs, home *model.Node) { home.Kill() }},
	{"home killed and restarted", func(w *longJobs, home *model.Node) {
		home.Kill()
		w.After(300*time.Millisecond, home.Start)
	}},
	{"home paused for 0.2 s", func(w *longJobs, home *model.Node) {
		home.Pause(200 * time.Millisecond)
		w.disconnect(home)
	}},
	{"home paused for 0.4 s", func(w *longJobs, home *model.Node) {
		home.Pause(400 * time.Millisecond)
		w.disconnect(home)
	}},
	{"home paused for 3 s", func(w *longJobs, home *model.Node) {
		home.Pause(3 * time.Second)
		w.disconnect(home)
	}},
	{"home cut off from its peers", func(w *longJobs, home *model.Node) {
		for _, n := range w.Nodes[1:] {
			w.Cut(home.ID.Instance, n.ID.Instance, true)
		}
		w.disconnect(home)
	}},
	{"messages of the home delayed", func(w *longJobs, home *model.Node) {
		for _, n := range w.Nodes[1:] {
			w.DelayMessages(home, n, 2*time.Second)
		}
		w.disconnect(home)
	}},
}

// endpointFaults affect the endpoints at which runs of the jobs are, or their holders.
var endpointFaults = []struct {
	name string
	do   func(w *longJobs, busy []*model.Endpoint)
}{
	{"no other", func(*longJobs, []*model.Endpoint) {}},
	{"endpoints cut off", func(w *longJobs, busy []*model.Endpoint) {
		for _, x := range busy {
			for _, n := range w.Nodes {
				w.Cut(x.Info.ID.Name, n.ID.Instance, true)
			}
		}
	}},
	{"endpoints carry orders out late", func(_ *longJobs, busy []*model.Endpoint) {
		for _, x := range busy {
			x.LateOrders, x.LateBy = 1, 4*time.Second
		}
	}},
	{"answers of endpoints lost", func(_ *longJobs, busy []*model.Endpoint) {
		for _, x := range busy {
			x.LoseAnswers = 1
		}
	}},
	{"holders paused for 0.4 s", func(w *longJobs, _ []*model.Endpoint) { w.pauseHolders(400 * time.Millisecond) }},
	{"holders paused for 0.8 s", func(w *longJobs, _ []*model.Endpoint) { w.pauseHolders(800 * time.Millisecond) }},
	{"holders paused for 3 s", func(w *longJobs, _ []*model.Endpoint) { w.pauseHolders(3 * time.Second) }},
}

func (w *longJobs) disconnect(home *model.Node) {
	for _, o := range w.open {
		home.DisconnectCaller(o)
	}
}

// pauseHolders pauses all instances but the first, the home, and the last, to which callers
// submit their jobs again.
func (w *longJobs) pauseHolders(span time.Duration) {
	for _, n := range w.Nodes[1 : len(w.Nodes)-1] {
		n.Pause(span)
	}
}

// busyEndpoints returns the endpoints at which tasks run.
func (w *longJobs) busyEndpoints() []*model.Endpoint {
	var busy []*model.Endpoint
	for _, x := range w.Endpoints {
		if len(x.Report().Running) > 0 {
			busy = append(busy, x)
		}
	}
	return busy
}

// Guards against two runs of a task at once: a job whose home or caller had gone was submitted
// again while runs of it still went on, since its home and the path to an endpoint had failed
// at nearly the same time.
func TestRunsEndBeforeCallersSubmitTheirJobsAgain(t *testing.T) {
	const step, last = 20 * time.Millisecond, 400 * time.Millisecond
	for _, h := range homeFaults {
		for _, e := range endpointFaults {
			t.Run(fmt.Sprint(h.name, ", ", e.name), func(t *testing.T) {
				t.Parallel()
				for offset := time.Duration(0); offset <= last; offset += step {
					w := newLongJobs(uint64(offset))
					w.submit(8)
					w.Run(300 * time.Millisecond)
					busy := w.busyEndpoints()
					w.After(offset, func() { e.do(w, busy) })
					h.do(w, w.Nodes[0])
					w.Run(resendDelay)
					w.resendTo(w.Nodes[len(w.Nodes)-1])
					w.Run(3 * time.Second)
					assert.Check(t, cmp.Len(w.Breaches, 0), "the endpoint fault %v after the home's: %d tasks", offset, len(w.Breaches))
				}
			})
		}
	}
}

// homePauses keep an instance from running for a while.
var homePauses = []struct {
	name string
	do   func(w *longJobs, home *model.Node, span time.Duration)
}{
	{"one pause", func(_ *longJobs, home *model.Node, span time.Duration) { home.Pause(span) }},
	{"bursts", func(w *longJobs, home *model.Node, span time.Duration) {
		const off, on = 60 * time.Millisecond, 12 * time.Millisecond
		for at := time.Duration(0); at < span; at += off + on {
			w.After(at, func() { home.Pause(off) })
		}
	}},
}

// Guards against two runs of a task at once: a home that had stood still extended leases before
// it had read that callers had left meanwhile, and the stops of their runs were not answered.
func TestRunsEndBeforeCallersReturnToAHomeThatReadsLate(t *testing.T) {
	const (
		pauseStep, lastPause = 100 * time.Millisecond, 1300 * time.Millisecond
		faultStep, lastFault = 30 * time.Millisecond, 120 * time.Millisecond
		closeDelay           = 100 * time.Millisecond
	)
	for _, p := range homePauses {
		for _, e := range endpointFaults[:4] {
			t.Run(fmt.Sprint(p.name, ", ", e.name), func(t *testing.T) {
				t.Parallel()
				for pause := time.Duration(0); pause <= lastPause; pause += pauseStep {
					for after := time.Duration(0); after <= lastFault; after += faultStep {
						w := newLongJobs(uint64(pause + after))
						home := w.Nodes[0]
						home.CloseDelay = closeDelay
						w.submit(8)
						w.Run(300 * time.Millisecond)
						busy := w.busyEndpoints()
						w.After(pause+after, func() { e.do(w, busy) })
						p.do(w, home, pause)
						w.Run(5 * time.Millisecond)
						w.disconnect(home)
						w.Run(resendDelay)
						w.resendTo(w.Nodes[len(w.Nodes)-1])
						w.Run(3 * time.Second)
						assert.Check(t, cmp.Len(w.Breaches, 0), "paused for %v, the endpoint fault %v later: %d tasks", pause, after, len(w.Breaches))
					}
				}
			})
		}
	}
}

// fill occupies every endpoint with one-task jobs of an instance, all of one length.
func (w *longJobs) fill(n *model.Node, length time.Duration) {
	for _, x := range w.Endpoints {
		x.SetSpeed(1)
	}
	l := load([]model.Kind{{Name: "long", Tasks: 1, Work: length, MilliCPU: 27000}}, 0)
	for range 4 * len(w.Endpoints) {
		j, _ := w.Draw(&l, &l.Kinds[0])
		j.Steps[0] = workload.Step{Count: 1, Estimate: length, Need: workload.Resources{MilliCPU: 32000, MemoryMB: 64}}
		w.Submit(n, j, w.route, 20*time.Second)
	}
}

// Guards against two runs of a task at once: a queued run of a home that had just failed started
// at an endpoint whose lease had been renewed for longer than the run may go on.
func TestQueuedRunStartsUnderNoLongerLease(t *testing.T) {
	const length = 1200 * time.Millisecond
	for _, pause := range []bool{true, false} {
		for lead := 300 * time.Millisecond; lead <= 360*time.Millisecond; lead += 20 * time.Millisecond {
			for after := 5 * time.Millisecond; after <= 45*time.Millisecond; after += 20 * time.Millisecond {
				t.Run(fmt.Sprint(pause, lead, after), func(t *testing.T) {
					t.Parallel()
					w := newLongJobs(uint64(lead + after))
					w.fill(w.Nodes[1], length)
					w.Run(100 * time.Millisecond)
					w.submit(12)
					w.Run(length - lead - 100*time.Millisecond) // the endpoints are free after lead
					w.Nodes[0].Kill()
					w.After(lead+after, func() {
						if pause {
							w.pauseHolders(3 * time.Second)
							return
						}
						for _, x := range w.Endpoints[:36] {
							for _, n := range w.Nodes {
								w.Cut(x.Info.ID.Name, n.ID.Instance, true)
							}
						}
					})
					w.Run(resendDelay)
					w.resendTo(w.Nodes[len(w.Nodes)-1])
					w.Run(3 * time.Second)
					assert.Check(t, cmp.Len(w.Breaches, 0))
				})
			}
		}
	}
}

// Guards against leases that end although callers wait: an instance that runs in short bursts
// confirmed nothing to the holders of its runs.
func TestInstanceThatRunsInBurstsKeepsItsRuns(t *testing.T) {
	for _, off := range []time.Duration{100, 140, 160, 250, 300} {
		t.Run(fmt.Sprint(int64(off)), func(t *testing.T) {
			w := newLongJobs(7)
			w.submit(8)
			w.Run(300 * time.Millisecond)
			for at := time.Duration(0); at < 6*time.Second; at += off*time.Millisecond + 45*time.Millisecond {
				w.After(at, func() { w.Nodes[0].Pause(off * time.Millisecond) })
			}
			w.Run(9 * time.Second)
			for _, n := range w.Nodes {
				k := n.Control.Overview().Counters
				assert.Check(t, k.Lapsed == 0 && k.Orphans == 0, "%s: %d lapsed, %d stopped as their home could not be relied on", n.ID.Instance, k.Lapsed, k.Orphans)
			}
		})
	}
}
