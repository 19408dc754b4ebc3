package placement_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"crocusseam/pkg/model"
	"crocusseam/pkg/placement"
)

// lateWorld is a world in which the endpoints of the first domain carry out start orders late.
type lateWorld struct {
	*longJobs
	late []*model.Endpoint
}

func newLateWorld(seed uint64) *lateWorld {
	w := &lateWorld{longJobs: newLongJobs(seed)}
	for _, x := range w.Endpoints {
		if x.Info.Domain == w.Nodes[0].Domain {
			w.late = append(w.late, x)
		}
	}
	return w
}

func (w *lateWorld) each(do func(*model.Endpoint)) {
	for _, x := range w.late {
		do(x)
	}
}

func (w *lateWorld) cut(cut bool) {
	w.each(func(x *model.Endpoint) {
		for _, n := range w.Nodes {
			w.Cut(n.ID.Instance, x.Info.ID.Name, cut)
		}
	})
}

// Guards against two runs of a task at once (soak seed 95200): the next life of an endpoint
// carried out starts that nobody had answered, the only stop that it was sent was lost, and callers
// submitted their jobs again elsewhere.
func TestLateStartAtANextLifeIsStopped(t *testing.T) {
	for phase := time.Duration(0); phase < 700*time.Millisecond; phase += 50 * time.Millisecond {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			t.Parallel()
			w := newLateWorld(1)
			w.Run(phase)
			w.each(func(x *model.Endpoint) { x.LateOrders, x.LateBy = 1, 2800*time.Millisecond })
			l := load([]model.Kind{{Name: "long", Tasks: 3, Work: 3 * time.Second, MilliCPU: 27000}}, 0)
			for range 6 {
				j, _ := w.Draw(&l, &l.Kinds[0])
				w.open = append(w.open, w.Submit(w.Nodes[0], j, w.route, 2*time.Second))
			}
			w.Run(50 * time.Millisecond)
			w.each(func(x *model.Endpoint) { x.LateOrders = 0 })
			w.cut(true)
			w.Store.AnswerDelay = 2200 * time.Millisecond // no next holder makes a higher token known
			w.Run(450 * time.Millisecond)
			w.each((*model.Endpoint).Crash)
			w.Run(2100 * time.Millisecond)
			w.each((*model.Endpoint).Restart)
			w.Run(400 * time.Millisecond)
			w.cut(false)
			w.Run(300 * time.Millisecond)
			w.resendTo(w.Nodes[len(w.Nodes)-1]) // 1.3 s after the answer
			w.Run(3 * time.Second)
			assert.Check(t, cmp.Len(w.Breaches, 0))
		})
	}
}

// Guards against a stored job's task that runs again after it is done (soak seed 93102): its first
// start had not been answered, the second was, and the endpoint's next life carried out the first.
func TestLateCopyOfAStartIsNotRunAgain(t *testing.T) {
	for phase := time.Duration(0); phase < 700*time.Millisecond; phase += 50 * time.Millisecond {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			t.Parallel()
			w := newLateWorld(1)
			w.Run(phase)
			l := load([]model.Kind{{Name: "short", Tasks: 4, Work: 100 * time.Millisecond, MilliCPU: 27000}}, 0)
			w.each(func(x *model.Endpoint) { x.LateOrders, x.LateBy = 1, 2500*time.Millisecond })
			for range 4 {
				j, _ := w.Draw(&l, &l.Kinds[0])
				j.Ephemeral = false
				w.open = append(w.open, w.Submit(w.Nodes[0], j, w.route, 10*time.Second))
			}
			w.Run(60 * time.Millisecond)
			w.each(func(x *model.Endpoint) { x.LateOrders = 0 })
			w.Run(940 * time.Millisecond)
			w.Store.AnswerDelay = 2200 * time.Millisecond // no next holder makes a higher token known
			w.each((*model.Endpoint).Crash)
			w.Run(100 * time.Millisecond)
			w.each((*model.Endpoint).Restart)
			w.Run(20 * time.Second)
			for _, o := range w.open {
				assert.Check(t, o.AllDone())
			}
			assert.Check(t, cmp.Len(w.Breaches, 0))
		})
	}
}

// Guards against a next life that knows no higher token for seconds: its former holder, in a planned
// stop, had been asked for the endpoint while runs were there, and let the other wait until it asked
// again.
func TestNextLifeGetsAHolderAtOnceInAPlannedStop(t *testing.T) {
	const bound = 300 * time.Millisecond // a missed report of the former life, and a commit
	for phase := time.Duration(0); phase < 700*time.Millisecond; phase += 50 * time.Millisecond {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			t.Parallel()
			config := deployment(1)
			var w *model.World
			listed, inUse := make(map[string]time.Time), make(map[string]time.Time)
			config.Log = func(_ *model.Node, e placement.LogEvent) {
				times := map[string]map[string]time.Time{"endpoint listed": listed, "endpoint in use": inUse}[e.Event]
				for _, f := range e.Fields {
					if _, known := times[f.String]; f.Key == "Endpoint" && times != nil && !known && w != nil {
						times[f.String] = w.Now
					}
				}
			}
			w = model.New(config)
			offerMix(w, 0.8, 10*time.Second)
			w.Run(2*time.Second + phase)
			leaving := w.Nodes[4] // the only one of its domain
			leaving.BeginPlannedStop()
			w.Run(30 * time.Millisecond)
			var reborn []*model.Endpoint
			for _, x := range w.Endpoints {
				if x.Info.Domain == leaving.Domain {
					reborn = append(reborn, x)
					x.Crash()
				}
			}
			w.Run(300 * time.Millisecond)
			clear(listed)
			clear(inUse)
			for _, x := range reborn {
				x.Restart()
			}
			w.Run(2 * time.Second)
			for _, x := range reborn {
				name := x.Info.ID.Name
				after := inUse[name].Sub(listed[name])
				assert.Check(t, !inUse[name].IsZero() && after < bound, "%s: %v after it was listed", name, after)
			}
		})
	}
}
