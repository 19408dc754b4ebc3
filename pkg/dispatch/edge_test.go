package dispatch_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/dispatch"
	"crocusseam/pkg/document"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/submission"
)

func complete(t *testing.T, r *submission.Reply) {
	t.Helper()
	assert.Assert(t, r != nil && r.Answer != nil, describe(r))
	assert.Equal(t, r.Answer.Status, submission.Complete)
}

func TestResubmissionGetsTheRecordedAnswer(t *testing.T) {
	w := withRunningWorld(t, defaultWorld(1))
	s := w.job("one", 3, 100*time.Millisecond)
	first := w.submit("a1", s)
	w.run(2 * time.Second)
	again := *s
	again.Attempt = 2
	second := w.submit("c1", &again)
	w.run(time.Second)
	complete(t, w.replyTo(first))
	complete(t, w.replyTo(second))
	assert.Equal(t, w.ledger.startCount, 3)
}

func TestOtherBodyUnderTheSameIDIsRefusedWithBothDigests(t *testing.T) {
	w := withRunningWorld(t, defaultWorld(1))
	s := w.job("one", 1, 100*time.Millisecond)
	w.submit("a1", s)
	w.run(time.Second)
	other := *s
	other.Repeatable = true
	h := w.submit("b1", &other)
	w.run(time.Second)
	r := w.replyTo(h)
	assert.Assert(t, r.Refusal != nil)
	assert.Equal(t, r.Refusal.Reason, submission.DigestDiffers)
	assert.ErrorContains(t, r.Refusal, s.Digest().String())
	assert.ErrorContains(t, r.Refusal, other.Digest().String())
}

// TestIDIsRefusedAfterItsDeadline resubmits a job after its claim row is deleted.
// Claims are kept until after the deadline, and the deadline is part of the body,
// so a body whose row is gone is refused and never runs again.
func TestIDIsRefusedAfterItsDeadline(t *testing.T) {
	w := withRunningWorld(t, defaultWorld(1))
	s := w.job("one", 1, 100*time.Millisecond)
	s.Deadline = w.now.Add(5 * time.Second)
	w.submit("a1", s)
	w.run(5*time.Second + 40*time.Second)
	_, err := w.store.Commit(context.Background(), []storage.Write{{Key: dispatch.ClaimKey(s.Key), Expect: storage.AnyVersion, Delete: true}})
	assert.NilError(t, err)
	again := *s
	again.Attempt = 2
	h := w.submit("b1", &again)
	w.run(time.Second)
	assert.Equal(t, w.replyTo(h).Refusal.Reason, submission.DeadlinePassed)
	assert.Equal(t, w.replyTo(h).Refusal.NotRun, false)
	assert.Equal(t, w.ledger.startCount, 1)
}

func TestNotRunClaimIsTakenOver(t *testing.T) {
	config := defaultWorld(1)
	w := withRunningWorld(t, config)
	for _, e := range w.endpoints {
		e.dead = true
	}
	s := w.job("one", 1, 100*time.Millisecond)
	s.Deadline = w.now.Add(30 * time.Second)
	writeNotRunClaim(t, w, s)
	for _, e := range w.endpoints {
		e.dead = false
	}
	s.Attempt = 2
	h := w.submit("a1", s)
	w.run(3 * time.Second)
	complete(t, w.replyTo(h))
}

// Guards against a submission that arrives while a request for the same id reads its claim row: the job that
// the request made has no tasks. Attempt 1 finds no row, attempt 2 one of a submission that was not run.
func TestSubmissionBesideARequestForItsAnswer(t *testing.T) {
	w := withRunningWorld(t, defaultWorld(1))
	for _, attempt := range []int{1, 2} {
		s := w.job(fmt.Sprint("asked", attempt), 3, 100*time.Millisecond)
		s.Attempt = attempt
		if attempt == 2 {
			writeNotRunClaim(t, w, s)
		}
		asked := w.await("a1", s.Key)
		submitted := w.submit("a1", s)
		w.run(3 * time.Second)
		complete(t, w.replyTo(submitted))
		complete(t, w.replyTo(asked))
	}
	assert.Equal(t, w.ledger.startCount, 6)
}

// Guards against the answer of another body for a submission whose id was asked for before.
func TestOtherBodyBesideARequestForAnAnswerIsRefused(t *testing.T) {
	w := withRunningWorld(t, defaultWorld(1))
	s := w.job("one", 1, time.Second)
	w.submit("a1", s)
	w.run(200 * time.Millisecond)
	asked := w.await("b1", s.Key)
	other := *s
	other.Repeatable = true
	for _, wait := range []time.Duration{200 * time.Millisecond, 2 * time.Second} { // while the job is followed, and after its end
		w.run(wait)
		h := w.submit("b1", &other)
		w.run(100 * time.Millisecond)
		r := w.replyTo(h)
		assert.Assert(t, r != nil && r.Refusal != nil, "%+v", r)
		assert.Equal(t, r.Refusal.Reason, submission.DigestDiffers)
	}
	complete(t, w.replyTo(asked))
}

func writeNotRunClaim(t *testing.T, w *world, s *submission.Submission) {
	t.Helper()
	row := dispatch.ClaimRow{Team: s.Team, ID: s.ID, Digest: s.Digest(), Home: "c1", Incarnation: 1, Token: "x", State: dispatch.StateNotRun}
	value, err := json.Marshal(row)
	assert.NilError(t, err)
	_, err = w.store.Commit(context.Background(), []storage.Write{{Key: dispatch.ClaimKey(s.Key), Value: value}})
	assert.NilError(t, err)
}

func TestTaskThatNoEndpointHoldsIsRefused(t *testing.T) {
	w := withRunningWorld(t, defaultWorld(1))
	s := w.job("one", 1, 100*time.Millisecond)
	s.Tasks[0].Accelerators = 8
	h := w.submit("a1", s)
	w.run(time.Second)
	r := w.replyTo(h).Refusal
	assert.Equal(t, r.Reason, submission.NoWorkerFits)
	assert.Equal(t, r.NotRun, true)
	row, _ := w.store.Get(context.Background(), dispatch.ClaimKey(s.Key))
	assert.Equal(t, row.Version, storage.Version(0))
}

// withQuotas returns a running world whose document has these teams.
func withQuotas(t *testing.T, teams ...document.Team) *world {
	t.Helper()
	w := newWorld(defaultWorld(1))
	w.document.Teams = teams
	w.run(5 * time.Second)
	return w
}

func TestQuotaBoundsTheSlotsOfATeam(t *testing.T) {
	w := withQuotas(t, document.Team{Name: "capstone", Quota: 10}, document.Team{Name: "ciclo"})
	peak := 0
	w.submit("a1", w.job("big", 60, 400*time.Millisecond))
	for range 60 {
		w.run(10 * time.Millisecond)
		running := 0
		for _, e := range w.endpoints {
			running += e.running
		}
		peak = max(peak, running)
	}
	assert.Equal(t, peak, 10)
}

func TestOverloadByOneTeamLeavesTheOtherItsShare(t *testing.T) {
	w := withQuotas(t, document.Team{Name: "capstone"}, document.Team{Name: "ciclo"})
	for i := range 40 {
		s := w.job(fmt.Sprint("flood", i), 60, 500*time.Millisecond)
		w.submit(w.names[i%len(w.names)], s)
	}
	w.run(500 * time.Millisecond)
	s := w.job("small", 90, 500*time.Millisecond)
	s.Team = "ciclo"
	h := w.submit("b1", s)
	w.run(3 * time.Second)
	complete(t, w.replyTo(h))
}

func TestHedgeStartsOnlyRepeatableTasksWithinItsBudget(t *testing.T) {
	config := defaultWorld(1)
	class := document.DefaultClass()
	class.Hedge = document.Hedge{Enabled: true, After: 3, BudgetPercent: 5}
	config.classes = []document.Class{class}
	w := withRunningWorld(t, config)
	for i := range 20 {
		s := w.job(fmt.Sprint("teach", i), 20, 50*time.Millisecond)
		s.Repeatable = true
		w.submit(w.names[i%len(w.names)], s)
		w.run(200 * time.Millisecond)
	}
	before := w.ledger.startCount
	for _, e := range w.endpoints {
		if e.speed == 4 {
			e.speed = 0.05
		}
	}
	s := w.job("slow", 4, 200*time.Millisecond)
	s.Repeatable = true
	h := w.submit("a1", s)
	plain := w.submit("a1", w.job("plain", 4, 200*time.Millisecond))
	w.run(10 * time.Second)
	complete(t, w.replyTo(h))
	complete(t, w.replyTo(plain))
	assert.Assert(t, w.counters().Hedges >= 1)
	assert.Assert(t, w.ledger.startCount-before <= 8+4)
	assert.DeepEqual(t, w.violations(), []string(nil))
}

func TestDrainedInstanceGivesItsEndpointsUpAndTakesThemBack(t *testing.T) {
	w := withRunningWorld(t, defaultWorld(1))
	key := dispatch.DrainPrefix + "a1"
	_, err := w.store.Commit(context.Background(), []storage.Write{{Key: key, Value: []byte("{}"), Expect: storage.AnyVersion}})
	assert.NilError(t, err)
	w.run(5 * time.Second)
	assert.Equal(t, w.nodes["a1"].control.HeldEndpoints(), 0)
	assert.Equal(t, w.nodes["a2"].control.HeldEndpoints(), 12)
	h := w.submit("a1", w.job("refused", 1, 50*time.Millisecond))
	w.run(time.Second)
	assert.Equal(t, w.replyTo(h).Refusal.Reason, submission.Leaving)
	_, err = w.store.Commit(context.Background(), []storage.Write{{Key: key, Expect: storage.AnyVersion, Delete: true}})
	assert.NilError(t, err)
	w.run(6 * time.Second)
	assert.Equal(t, w.nodes["a1"].control.HeldEndpoints(), 6)
}

func TestLongResultsAreKeptInTheObjectStore(t *testing.T) {
	w := withRunningWorld(t, defaultWorld(1))
	s := w.job("long", 10, 50*time.Millisecond)
	first := w.submit("a1", s)
	w.run(200 * time.Millisecond)
	complete(t, w.replyTo(first))
	w.platformDown = true
	w.run(2 * time.Second)
	w.platformDown = false
	w.run(6 * time.Second)
	w.crash("a1")
	w.run(6 * time.Second)
	row, err := w.store.Get(context.Background(), dispatch.ClaimKey(s.Key))
	assert.NilError(t, err)
	assert.Assert(t, len(row.Value) < 2000)
	again := *s
	again.Attempt = 2
	second := w.submit("c1", &again)
	w.run(time.Second)
	complete(t, w.replyTo(second))
	assert.DeepEqual(t, w.violations(), []string(nil))
	assert.Equal(t, w.ledger.startCount, 10)
}

func TestOutputBeyondItsBoundFailsTheJob(t *testing.T) {
	w := withRunningWorld(t, defaultWorld(1))
	h := w.submit("a1", w.job("long", 300, 50*time.Millisecond))
	w.run(3 * time.Second)
	r := w.replyTo(h)
	assert.Assert(t, r != nil && r.Answer != nil)
	assert.Equal(t, r.Answer.Reason, submission.TaskFailed)
	assert.Assert(t, strings.Contains(r.Answer.Detail, "output is longer"))
}

// TestBusyHomeKeepsItsLead guards against a home leaving a lead that works: a home
// whose tasks were all assigned at once received no heartbeats and took the lead for
// unresponsive.
func TestBusyHomeKeepsItsLead(t *testing.T) {
	w := withRunningWorld(t, defaultWorld(1))
	before := w.counters().LeadChanges
	w.offer(loadConfig{seed: 1, share: 0.1, length: 5 * time.Second, maxTasks: 1, deadline: 20 * time.Second, only: []string{"b1", "b2"}})
	w.run(10 * time.Second)
	assert.Equal(t, w.counters().LeadChanges, before)
}

// TestDomainStartsAtOnce starts all 20 instances of a domain together and checks
// that they hold all 12 endpoints. Each instance limits its operations on the table.
func TestDomainStartsAtOnce(t *testing.T) {
	config := defaultWorld(1)
	config.instances = map[string][]string{"a": {}}
	for i := range 20 {
		config.instances["a"] = append(config.instances["a"], fmt.Sprintf("a%02d", i))
	}
	w := newWorld(config)
	w.run(10 * time.Second)
	total := 0
	for _, n := range w.names {
		total += w.nodes[n].control.HeldEndpoints()
	}
	assert.Equal(t, total, 12)
}
