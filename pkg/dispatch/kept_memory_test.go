package dispatch_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/dispatch"
)

// Guards against state that instances keep of each submission for long after its answer. The first waves are not counted: maps
// keep the room of the most keys that they have had.
func TestNothingIsKeptOfAnsweredSubmissions(t *testing.T) {
	const jobs, waves, moreWaves, most = 300, 8, 16, 32
	for _, name := range []string{"a1", "a2", "b1"} {
		before := heapAfter(t, name, waves, jobs)
		took := (heapAfter(t, name, waves+moreWaves, jobs) - before) / (jobs * moreWaves)
		t.Logf("%s keeps %d bytes a submission", name, took)
		assert.Check(t, took < most, "%s keeps %d bytes a submission", name, took)
	}
}

// heapAfter returns the heap that the control state of an instance takes after waves of submissions.
func heapAfter(t *testing.T, name string, waves, jobs int) int64 {
	t.Helper()
	var control *dispatch.Control
	func() {
		w := withRunningWorld(t, defaultWorld(1))
		for wave := range waves {
			for k := range jobs {
				w.submit("a1", w.job(fmt.Sprintf("wave%d.%d", wave, k), 1, time.Millisecond))
			}
			w.run(45 * time.Second)
		}
		control = w.nodes[name].control
	}()
	with := liveHeap()
	runtime.KeepAlive(control)
	return with - liveHeap()
}
