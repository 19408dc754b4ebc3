package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/model"
	"crocusseam/pkg/placement"
)

// Guards against an instance that adopts a job again while its first adoption of it waits for the
// store: each adoption stops the runs of the one before.
func TestInstanceAdoptsAJobOnceBesideASlowStore(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		config := deployment(seed)
		adopted := 0
		config.Log = func(_ *model.Node, e placement.LogEvent) {
			if e.Event == "job adopted" {
				adopted++
			}
		}
		w := model.New(config)
		w.Run(4 * time.Second)
		l := load([]model.Kind{{Name: "job", Tasks: 1, Work: 20 * time.Second, MilliCPU: 27000, Stored: true}}, 0)
		for range 100 {
			w.SubmitTo(w.Nodes[0], &l, &l.Kinds[0])
		}
		w.Run(3 * time.Second)
		open := 0
		for _, o := range w.Jobs {
			if !o.AllDone() {
				open++
			}
		}
		w.Store.AnswerDelay = 1200 * time.Millisecond
		w.Nodes[0].Kill()
		w.After(4*time.Second, w.Nodes[0].Start)
		w.Run(9 * time.Second)
		w.Store.AnswerDelay = 0
		w.Run(5 * time.Second)
		assert.Check(t, adopted > 0 && adopted <= open, "%d jobs were adopted %d times", open, adopted)
	})
}
