package placement_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/model"
	"crocusseam/pkg/placement"
	"crocusseam/pkg/workload"
)

// Guards against reads of the store whose number grows with the callers that ask for unknown jobs, and against callers
// among them that get no answer.
func TestLookupsAreBounded(t *testing.T) {
	const callers, maxReads, maxWaiting = 9000, 32, 4000
	w := model.New(deployment(1))
	w.Run(4 * time.Second)
	n := w.Nodes[0]
	answers := make(map[placement.Status]int)
	ask := func(k int) {
		id, count := workload.JobID(fmt.Sprintf("000a%012x", k)), func(a placement.Answer) { answers[a.Status]++ }
		if k%2 == 0 {
			w.State(n, id, count)
		} else {
			w.Cancel(n, id, count)
		}
	}
	w.Store.AnswerDelay = 100 * time.Millisecond
	for k := range callers {
		ask(k)
	}
	for range 800 {
		w.Run(10 * time.Millisecond)
		reading, waiting := n.Control.Lookups()
		assert.Assert(t, reading <= maxReads && waiting <= maxWaiting, "%d read, %d wait", reading, waiting)
	}
	w.Store.AnswerDelay = 0
	assert.Equal(t, answers[placement.Absent]+answers[placement.Unavailable], callers, "%v", answers)
	assert.Check(t, answers[placement.Absent] > maxReads, "%v", answers)
	clear(answers)
	for k := range maxWaiting / 2 { // what fits is answered in calm
		ask(callers + k)
	}
	w.Run(5 * time.Second)
	assert.Equal(t, answers[placement.Absent], maxWaiting/2, "%v", answers)
	reading, waiting := n.Control.Lookups()
	assert.Check(t, reading == 0 && waiting == 0, "%d read, %d wait", reading, waiting)
}
