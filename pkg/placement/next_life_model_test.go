package placement_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"crocusseam/pkg/model"
)

// Guards against a simulated report that names a life which has not given it: a request that waits
// at an endpoint when it crashes is answered by the next life, as if by the former one. A run that
// the next life has accepted then counts as listed by the former one.
func TestReportNamesTheLifeThatGivesIt(t *testing.T) {
	for phase := time.Duration(0); phase < 400*time.Millisecond; phase += 20 * time.Millisecond {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			t.Parallel()
			config := deployment(1)
			config.InDomain = 10 * time.Millisecond
			w := model.New(config)
			w.Run(4*time.Second + phase)
			l := load([]model.Kind{{Name: "long", Tasks: 3, Work: time.Second, MilliCPU: 9000}}, 0)
			for range 12 {
				w.SubmitTo(w.Nodes[0], &l, &l.Kinds[0])
			}
			w.Run(5 * time.Millisecond) // their starts are on their way
			for _, x := range w.Endpoints {
				x.Crash()
				x.Restart()
			}
			w.Run(6 * time.Second)
			assert.Check(t, cmp.Len(w.Breaches, 0))
		})
	}
}
