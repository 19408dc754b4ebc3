package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/model"
	"crocusseam/pkg/placement"
	"crocusseam/pkg/workload"
)

// cancelBound is how long tasks of a job may run on after its cancellation was acknowledged.
const cancelBound = 3*time.Second + 50*time.Millisecond

// cancelRunningJob submits a stored job of one long task to the first instance, calls trouble
// when it runs, and cancels it through another one. It checks that the cancellation is
// acknowledged, and that the task ends after that.
func cancelRunningJob(t *testing.T, trouble func(w *model.World, home, other *model.Node)) {
	t.Helper()
	eachSeed(t, func(t *testing.T, seed uint64) {
		w := model.New(deployment(seed))
		w.Run(4 * time.Second)
		home, other := w.Nodes[0], w.Nodes[4]
		l := load([]model.Kind{{Name: "job", Tasks: 1, Work: time.Minute, MilliCPU: 27000, Stored: true}}, 0)
		o := w.SubmitTo(home, &l, &l.Kinds[0])
		w.Run(time.Second)
		assert.Assert(t, o.Started)
		trouble(w, home, other)
		var answer placement.Answer
		for range 10 {
			by := other
			if !by.Up {
				by = w.Nodes[5]
			}
			w.Cancel(by, o.Job.ID, func(a placement.Answer) { answer = a })
			w.Run(500 * time.Millisecond)
			if answer.Status == placement.Cancelled {
				break
			}
		}
		assert.Equal(t, answer.Status, placement.Cancelled)
		w.Run(cancelBound)
		for _, x := range w.Endpoints {
			assert.Equal(t, x.Used().MilliCPU, 0, "a task of the cancelled job runs on at %s", x.Info.ID.Name)
		}
	})
}

// Guards against a cancellation that is acknowledged and lost with a silent session between the
// instance that records it and the home of the job.
func TestCancellationOutlivesASilentSession(t *testing.T) {
	cancelRunningJob(t, func(w *model.World, home, other *model.Node) { w.Silence(home, other) })
}

// Guards against a cancellation that is recorded while its answer from the store is lost: who
// acknowledges it reads the outcome only, and the home was not told.
func TestCancellationWhoseRecordIsUnansweredReachesTheHome(t *testing.T) {
	cancelRunningJob(t, func(w *model.World, home, other *model.Node) {
		w.Silence(home, other)
		w.Store.LoseAnswers = 1
		w.After(800*time.Millisecond, func() { w.Store.LoseAnswers = 0 })
	})
}

// Guards against a cancellation whose recording instance is lost before it has told the home.
func TestCancellationOutlivesTheInstanceThatRecordedIt(t *testing.T) {
	cancelRunningJob(t, func(w *model.World, home, other *model.Node) {
		w.Silence(home, other)
		w.After(120*time.Millisecond, other.Kill)
	})
}

// Guards against a cancellation that is dropped without an answer: it meets a late copy of the
// job's request, which waits for a slow store, at an instance that is not the job's home.
func TestCancellationThatMeetsALateCopyOfTheRequestIsAnswered(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		w := model.New(deployment(seed))
		w.Run(4 * time.Second)
		home, other := w.Nodes[0], w.Nodes[4]
		l := load([]model.Kind{{Name: "job", Tasks: 1, Work: time.Minute, MilliCPU: 27000, Stored: true}}, 0)
		o := w.SubmitTo(home, &l, &l.Kinds[0])
		w.Run(time.Second)
		assert.Assert(t, o.Started)
		w.Store.AnswerDelay = 500 * time.Millisecond
		w.SubmitLate(other, o, workload.Route{Name: "job", Service: w.Config.Service, MaxAttempts: 3}, 5*time.Second, 10*time.Second)
		w.Run(150 * time.Millisecond)
		var answer placement.Answer
		w.Cancel(other, o.Job.ID, func(a placement.Answer) { answer = a })
		w.Run(4 * time.Second)
		assert.Equal(t, answer.Status, placement.Cancelled)
		for _, x := range w.Endpoints {
			assert.Equal(t, x.Used().MilliCPU, 0, "a task of the cancelled job runs on at %s", x.Info.ID.Name)
		}
	})
}

// Guards against an audit that asks a store in trouble again and again: it waits for the answers of the
// last one, and a while after that.
func TestAuditOfRowsSparesAStoreInTrouble(t *testing.T) {
	w := model.New(deployment(1))
	w.Run(4 * time.Second)
	l := load([]model.Kind{{Name: "job", Tasks: 1, Work: time.Minute, MilliCPU: 27000, Stored: true}}, 0)
	for range 16 {
		w.SubmitTo(w.Nodes[0], &l, &l.Kinds[0])
	}
	w.Run(time.Second)
	w.Nodes[5].Kill()
	w.Run(1500 * time.Millisecond)
	w.Store.UnreadablePrefix = "open:"
	home := w.Nodes[0]
	before := home.LogEvents["open jobs not audited"]
	w.Run(20 * time.Second)
	failed := home.LogEvents["open jobs not audited"] - before
	assert.Check(t, failed > 0 && failed <= 20*16, "%d reads of partitions have failed in 20 s", failed)
}
