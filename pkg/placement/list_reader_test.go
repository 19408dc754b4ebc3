package placement_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/model"
	"crocusseam/pkg/placement"
)

// drainBound is how long after the entry of an endpoint says that it drains tasks may be started
// there.
const drainBound = 2 * time.Second

// Guards against starts at endpoints that have left, because the instance that reads their list was
// lost, with and without a reset of its connections, when they began to drain.
func TestDrainingEndpointIsKnownInTimeAfterTheLossOfTheReader(t *testing.T) {
	for phase := time.Duration(0); phase < 800*time.Millisecond; phase += 100 * time.Millisecond {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s silent %v", phase, silent), func(t *testing.T) {
				t.Parallel()
				config := deployment(1)
				var drainedAt time.Time
				var w *model.World
				var late []string
				config.Started = func(x *model.Endpoint, m *placement.Start) {
					if x.Info.Draining && w.Now.Sub(drainedAt) > drainBound {
						late = append(late, fmt.Sprintf("%v at %s %s later", m.Run, x.Info.ID.Name, w.Now.Sub(drainedAt)))
					}
				}
				w = model.New(config)
				w.Run(4 * time.Second)
				w.StartLoad(load(model.Mix(1.2), 8*time.Second))
				w.Run(2*time.Second + phase)
				for _, n := range w.Nodes {
					if !n.Control.Overview().ReadsList {
						continue
					}
					if silent {
						for _, o := range w.Nodes {
							w.Silence(n, o)
						}
					}
					n.Kill()
					break
				}
				drainedAt = w.Now
				for i, x := range w.Endpoints {
					x.Info.Draining = i%4 == 0
				}
				w.Run(8 * time.Second)
				assert.Check(t, len(late) == 0, "%d late starts, the first: %v", len(late), late[:min(1, len(late))])
			})
		}
	}
}
