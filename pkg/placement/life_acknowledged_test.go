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

// Guards against a stored job's task that runs again after it is done (soak seed 3002): a start
// that waited on the way was carried out by an endpoint's next life, and a request for a report
// of the former life, which that life answered too, acknowledged the end that nobody had seen.
func TestEndOfANextLifeIsNotAcknowledgedForTheFormer(t *testing.T) {
	for phase := time.Duration(0); phase < 700*time.Millisecond; phase += 50 * time.Millisecond {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			t.Parallel()
			w := model.New(deployment(1))
			route := workload.Route{Name: "stored", Service: w.Config.Service, Stretch: 3, Slack: time.Second, Timeout: 10 * time.Second, MaxAttempts: 3}
			l := load([]model.Kind{{Name: "short", Tasks: 40, Work: 30 * time.Millisecond, MilliCPU: 27000}}, 0)
			submit := func() *model.Outcome {
				j, _ := w.Draw(&l, &l.Kinds[0])
				j.Ephemeral = false
				return w.Submit(w.Nodes[0], j, route, 10*time.Second)
			}
			w.Run(4 * time.Second)
			for range 4 {
				submit() // their ends are acknowledged
			}
			w.Run(time.Second + phase)
			each := func(do func(*model.Endpoint)) {
				for _, x := range w.Endpoints {
					do(x)
				}
			}
			cut := func(cut bool) {
				each(func(x *model.Endpoint) {
					for _, n := range w.Nodes {
						w.Cut(n.ID.Instance, x.Info.ID.Name, cut)
					}
				})
			}
			each(func(x *model.Endpoint) { x.LateOrders, x.LateBy = 1, 300*time.Millisecond })
			o := submit()
			w.Run(20 * time.Millisecond)
			cut(true)
			each(func(x *model.Endpoint) { x.LateOrders = 0 })
			w.Run(80 * time.Millisecond)
			each((*model.Endpoint).Crash)
			w.Run(100 * time.Millisecond)
			each((*model.Endpoint).Restart)
			w.Run(250 * time.Millisecond)
			cut(false)
			w.Run(30 * time.Second)
			assert.Check(t, o.AllDone())
			assert.Check(t, cmp.Len(w.Breaches, 0))
		})
	}
}
