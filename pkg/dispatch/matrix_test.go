package dispatch_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"sort"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"crocusseam/pkg/dispatch"
	"crocusseam/pkg/document"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/submission"
)

// steps are the points of a job's, an instance's and a document's life at which
// faults strike.
var steps = []string{
	"Accept", "ClaimSent", "ClaimAnswered", "Queued", "StartSent", "Running", "AnswerReceived", "OutcomeRecorded", "AnswerDelivered",
	"Join", "Heartbeat", "Leave", "Apply", "Stage", "Activate",
}

// faultLength is how long a fault lasts: beyond the term of a heartbeat.
const faultLength = 5 * time.Second

// home is the instance that the probed submission is sent to; it is not the
// lead, so that all roles are apart.
const home = "b1"

type fault struct {
	name        string
	response    string // what the system does about it
	injectFault func(w *world)
}

var faults = []fault{
	{"InstanceCrash", "the claim keeps others from running it; a resubmission finds the row", func(w *world) {
		w.crash(home)
		w.after(2*time.Second, func() { w.addNode(home, "b", 10) })
	}},
	{"InstancePause", "after the pause it gives up queued work and asks for its endpoints anew", func(w *world) { w.pause(home, faultLength) }},
	{"EndpointDeath", "refused connections go elsewhere; broken ones are unknown", func(w *world) {
		w.eachProbed(func(e *fakeEndpoint) { e.dead = true }, func(e *fakeEndpoint) { e.dead = false })
	}},
	{"Straggler", "the learned speed falls; later tasks go elsewhere", func(w *world) {
		w.eachProbed(func(e *fakeEndpoint) { e.speed /= 10 }, func(e *fakeEndpoint) { e.speed *= 10 })
	}},
	{"EndpointFailing", "ejected after failures of several jobs, then probed", func(w *world) {
		w.eachProbed(func(e *fakeEndpoint) { e.failing = true }, func(e *fakeEndpoint) { e.failing = false })
	}},
	{"EndpointLeaving", "no new work once the list shows it", func(w *world) {
		w.eachProbed(func(e *fakeEndpoint) { e.leavingSince = w.now }, func(*fakeEndpoint) {})
	}},
	{"PlatformDown", "claims wait within their bound; new work is refused", func(w *world) {
		w.platformDown = true
		w.after(faultLength, func() { w.platformDown = false })
	}},
	{"PlatformSlow", "claims take longer; slots are no longer kept for them", func(w *world) {
		w.platformDelay = 200 * time.Millisecond
		w.after(faultLength, func() { w.platformDelay = 0 })
	}},
	{"AnswerLost", "the same commit again tells whether the first took effect", func(w *world) { w.answersToLose += 3 }},
	{"WriteLost", "the same commit again", func(w *world) { w.writesToLose += 3 }},
	{"CutFromDomain", "sessions end; attempts there are asked for again or unknown", func(w *world) {
		w.cutBoth("b", "a")
	}},
	{"CutFromPlatform", "claims go through a sibling", func(w *world) { w.cutBoth("b", "platform") }},
	{"CutOff", "the domain serves what needs no claim", func(w *world) {
		for _, other := range []string{"a", "c", "d", "platform"} {
			w.cutBoth("b", other)
		}
	}},
	{"AsymmetricCut", "sessions end on both sides", func(w *world) {
		w.cut("b", "a")
		w.after(faultLength, func() { w.heal("b", "a") })
	}},
	{"Resubmission", "attaches to the job in flight or gets its answer", func(w *world) { w.resubmitProbe("c1", "d1", home) }},
	{"Cancellation", "queued tasks are dropped, running ones interrupted", func(w *world) {
		w.nextHandle++
		w.ledger.requests[w.nextHandle] = &request{node: "c1", at: w.now}
		w.deliver(w.nodes["c1"], dispatch.Cancel{Handle: w.nextHandle, Key: w.probe})
	}},
	{"LateMessages", "late answers are matched by id", func(w *world) {
		w.maxDelay = 300 * time.Millisecond
		w.after(faultLength, func() { w.maxDelay = 0 })
	}},
	{"DoubledMessages", "the second copy is ignored", func(w *world) {
		w.doubled = true
		w.after(faultLength, func() { w.doubled = false })
	}},
	{"ClockStep", "taken for a pause: queued work is given up", func(w *world) { w.nodes[home].clock += 10 * time.Second }},
	{"TwoOperators", "one commit wins, the other conflicts", func(w *world) {
		won := 0
		for i := range 2 {
			if w.stageDocument(fmt.Sprint("operator", i)) == nil {
				won++
			}
		}
		if won > 1 {
			w.ledger.doubleStarts++ // both changes were accepted
		}
	}},
	{"OldRead", "a lower version is never taken", func(w *world) { w.serveOldRollout() }},
}

func (w *world) cutBoth(a, b string) {
	w.cut(a, b)
	w.cut(b, a)
	w.after(faultLength, func() {
		w.heal(a, b)
		w.heal(b, a)
	})
}

// eachProbed strikes three endpoints of the home's domain, or those where the
// probed submission runs, and heals them later.
func (w *world) eachProbed(strike, heal func(*fakeEndpoint)) {
	var hit []*fakeEndpoint
	for _, n := range w.sortedNodes() {
		for id := range w.probeAttempts {
			if run, ok := n.running[id]; ok {
				hit = append(hit, run.endpoint)
			}
		}
	}
	if len(hit) == 0 {
		for _, a := range w.document.Domains[1].Groups[0].Endpoints[:3] {
			hit = append(hit, w.endpoints[a])
		}
	}
	struck := map[netip.AddrPort]bool{}
	for _, e := range hit {
		if struck[e.address] {
			continue
		}
		struck[e.address] = true
		strike(e)
		w.after(faultLength, func() { heal(e) })
	}
}

func (w *world) sortedNodes() []*node {
	names := append([]string(nil), w.names...)
	sort.Strings(names)
	list := make([]*node, len(names))
	for i, n := range names {
		list[i] = w.nodes[n]
	}
	return list
}

func (w *world) resubmitProbe(names ...string) {
	for _, r := range w.ledger.requests {
		if r.sub != nil && r.sub.Key == w.probe && r.sub.Attempt == 1 {
			again := *r.sub
			again.Attempt = 2
			for _, n := range names {
				if w.nodes[n].up {
					w.submit(n, &again)
				}
			}
			return
		}
	}
}

// writeRollout makes the world's document version 1 in the table.
func (w *world) writeRollout() {
	text, err := json.Marshal(w.document)
	if err != nil {
		panic(err)
	}
	first, err := json.Marshal(dispatch.Rollout{Active: dispatch.Revision{Version: 1, Digest: document.Digest(text)}})
	if err != nil {
		panic(err)
	}
	_, _ = w.store.Commit(context.Background(), []storage.Write{
		{Key: dispatch.DocumentKey(document.Digest(text)), Value: text, Expect: storage.AnyVersion},
		{Key: dispatch.RolloutKey, Value: first, Expect: storage.AnyVersion},
	})
	w.oldRollout, _ = w.store.Get(context.Background(), dispatch.RolloutKey)
}

func withRollout(t *testing.T, seed uint64) *world {
	t.Helper()
	w := newWorld(defaultWorld(seed))
	w.writeRollout()
	w.run(5 * time.Second)
	return w
}

func (w *world) rolloutRow(t *testing.T) dispatch.Rollout {
	t.Helper()
	row, err := w.store.Get(context.Background(), dispatch.RolloutKey)
	assert.NilError(t, err)
	var rollout dispatch.Rollout
	assert.NilError(t, json.Unmarshal(row.Value, &rollout))
	return rollout
}

// stageDocument is an operator's apply: a conditional write of a staged version.
func (w *world) stageDocument(by string) error {
	ctx := context.Background()
	row, _ := w.store.Get(ctx, dispatch.RolloutKey)
	if w.applied.Version == 0 {
		w.applied = row
	}
	var rollout dispatch.Rollout
	if err := json.Unmarshal(w.applied.Value, &rollout); err != nil {
		return err
	}
	changed := *w.document
	changed.Environment = "test changed by " + by
	if w.badDocument {
		changed.Teams = nil
	}
	text, err := json.Marshal(changed)
	if err != nil {
		return err
	}
	rollout.Staged = &dispatch.Revision{Version: rollout.Active.Version + 1, Digest: document.Digest(text), By: by}
	value, err := json.Marshal(rollout)
	if err != nil {
		return err
	}
	_, err = w.store.Commit(ctx, []storage.Write{
		{Key: dispatch.DocumentKey(rollout.Staged.Digest), Value: text, Expect: storage.AnyVersion},
		{Key: dispatch.RolloutKey, Value: value, Expect: w.applied.Version},
	})
	return err
}

// serveOldRollout makes scans show an old rollout row, after a version that was
// just applied has come into force.
func (w *world) serveOldRollout() { w.after(8*time.Second, func() { w.oldScans = 10 }) }

// cell is one run of the matrix.
type cell struct {
	step   string
	faults []fault
	off    []dispatch.Rule
	seed   uint64
}

func (c cell) name() string {
	names := make([]string, len(c.faults))
	for i, f := range c.faults {
		names[i] = f.name
	}
	return c.step + "/" + strings.Join(names, "+")
}

// probeDeadline bounds the probed submission.
const probeDeadline = 8 * time.Second

// run runs a cell and returns what broke and what the caller saw.
func (c cell) run() (broken []string, saw string) {
	config := defaultWorld(c.seed)
	config.perDomain = 4
	config.switchOff = c.off
	w := newWorld(config)
	w.writeRollout()
	w.run(5 * time.Second)
	w.probe = submission.Key{Team: "capstone", ID: "probe"}
	struck := false
	w.hooks[c.step] = func() {
		struck = true
		for _, f := range c.faults {
			f.injectFault(w)
		}
	}
	handle := c.offer(w)
	c.triggerStep(w)
	w.run(25 * time.Second)
	broken = w.violations()
	if !struck {
		broken = append(broken, "the step was never reached")
	}
	broken = append(broken, w.unanswered()...)
	broken = append(broken, c.checkRecovery(w, handle)...)
	return broken, describe(w.replyTo(handle))
}

// offer submits the probe and some jobs around it, of which some are
// resubmitted elsewhere and some are Repeatable.
func (c cell) offer(w *world) dispatch.Handle {
	names := []string{"a1", "b1", "c1", "d1", "a2", "b2", "c2"}
	for i := range 30 {
		s := w.job(fmt.Sprint("around", i), 1+i%4, time.Duration(50+20*i)*time.Millisecond)
		s.Deadline = w.now.Add(12 * time.Second)
		s.Repeatable = i%3 == 0
		w.after(time.Duration(i)*80*time.Millisecond, func() { w.submitIfUp(names[i%len(names)], s) })
		if i%5 == 0 {
			again := *s
			again.Attempt = 2
			w.after(time.Duration(i)*80*time.Millisecond+30*time.Millisecond, func() { w.submitIfUp(names[(i+2)%len(names)], &again) })
		}
		if i%7 == 0 {
			other := *s
			other.Attempt = 2
			other.Tasks = append([]submission.Task(nil), s.Tasks...)
			other.Tasks[0].Payload = []byte("77ms")
			w.after(time.Duration(i)*80*time.Millisecond+40*time.Millisecond, func() { w.submitIfUp(names[(i+1)%len(names)], &other) })
		}
	}
	probe := w.job("probe", 3, 300*time.Millisecond)
	var handle dispatch.Handle
	w.run(500 * time.Millisecond)
	probe.Deadline = w.now.Add(probeDeadline)
	if c.step != "Heartbeat" {
		handle = w.submit(home, probe)
	} else {
		w.after(time.Millisecond, func() {})
		handle = w.submit(home, probe)
	}
	return handle
}

func (w *world) submitIfUp(name string, s *submission.Submission) {
	if n := w.nodes[name]; n.up && !n.paused {
		w.submit(name, s)
	}
}

// act brings about the steps that are not part of a job.
func (c cell) triggerStep(w *world) {
	w.run(100 * time.Millisecond)
	switch c.step {
	case "Join":
		w.addNode("b3", "b", 12)
		w.after(2*time.Millisecond, func() { w.runHook("Join") })
	case "Leave":
		w.deliver(w.nodes[home], dispatch.Stop{})
		w.after(2*time.Millisecond, func() { w.runHook("Leave") })
	case "Apply":
		_ = w.stageDocument("operator")
		w.runHook("Apply")
	case "Stage", "Activate":
		_ = w.stageDocument("operator")
	}
}

// unanswered lists requests that were never answered although their instance
// stayed up.
func (w *world) unanswered() []string {
	var list []string
	for h, r := range w.ledger.requests {
		n := w.nodes[r.node]
		_, done := w.ledger.replies[h]
		if !done && n.up && n.id.Incarnation == 1 && w.now.Sub(r.at) > 20*time.Second {
			key := "a request"
			if r.sub != nil {
				key = r.sub.Key.String()
			}
			list = append(list, fmt.Sprintf("%s at %s was not answered within its bound", key, r.node))
		}
	}
	sort.Strings(list)
	return list
}

// afterwards checks that the system is whole again: the probe's outcome is the
// same everywhere, a new job is complete, one document is in force.
func (c cell) checkRecovery(w *world, first dispatch.Handle) []string {
	var broken []string
	w.maxDelay, w.doubled = 0, false
	asked := []dispatch.Handle{w.await("c1", w.probe), w.await("d1", w.probe)}
	fresh := w.submit("c1", w.job("fresh", 4, 100*time.Millisecond))
	w.run(12 * time.Second)
	if r := w.replyTo(fresh); r == nil || r.Answer == nil || r.Answer.Status != submission.Complete {
		broken = append(broken, "a new job after the fault: "+describe(r))
	}
	told := w.replyTo(first)
	for _, h := range asked {
		r := w.replyTo(h)
		switch {
		case r == nil:
			broken = append(broken, "asking for the probe's answer was not answered")
		case told == nil || told.Answer == nil || told.Answer.Status != submission.Complete:
		case r.Answer == nil || (r.Answer.Status != submission.Complete && r.Answer.Reason != submission.OutcomeUnknown):
			broken = append(broken, "the caller was told Complete, others "+describe(r))
		}
	}
	versions := map[uint64]bool{}
	for _, n := range w.sortedNodes() {
		if n.up {
			versions[n.control.ActiveVersion()] = true
		}
	}
	if len(versions) > 1 {
		broken = append(broken, fmt.Sprintf("several versions are in force: %v", versions))
	}
	broken = append(broken, w.violations()...)
	return broken
}

func describe(r *submission.Reply) string {
	switch {
	case r == nil:
		return "connection lost; asks again by id"
	case r.Refusal != nil && r.Refusal.NotRun:
		return "refused " + string(r.Refusal.Reason) + ", not run"
	case r.Refusal != nil:
		return "refused " + string(r.Refusal.Reason)
	case r.Answer.Status == submission.Complete:
		return "Complete"
	}
	return "Failed " + string(r.Answer.Reason)
}

func singles() []cell {
	var cells []cell
	for _, s := range steps {
		for _, f := range faults {
			cells = append(cells, cell{step: s, faults: []fault{f}, seed: 1})
		}
	}
	return cells
}

// sampledPairs is how many pairs of faults run without PAIRS=all.
const sampledPairs = 500

func pairs() []cell {
	var cells []cell
	for _, s := range steps {
		for i := range faults {
			for k := i; k < len(faults); k++ {
				cells = append(cells, cell{step: s, faults: []fault{faults[i], faults[k]}, seed: uint64(1 + i)})
			}
		}
	}
	if os.Getenv("PAIRS") == "all" {
		return cells
	}
	r := rand.New(rand.NewPCG(1, 2))
	r.Shuffle(len(cells), func(i, k int) { cells[i], cells[k] = cells[k], cells[i] })
	return cells[:sampledPairs]
}

func TestMatrixSingles(t *testing.T) {
	cells := singles()
	seen := make([]string, len(cells))
	t.Run("cells", func(t *testing.T) {
		for i, c := range cells {
			t.Run(c.name(), func(t *testing.T) {
				t.Parallel()
				broken, saw := c.run()
				seen[i] = saw
				assert.DeepEqual(t, broken, []string(nil))
			})
		}
	})
	golden.Assert(t, faultsPage(cells, seen), "../../../docs/FAULTS.md")
}

func TestMatrixPairs(t *testing.T) {
	for _, c := range pairs() {
		t.Run(c.name(), func(t *testing.T) {
			t.Parallel()
			broken, _ := c.run()
			assert.DeepEqual(t, broken, []string(nil))
		})
	}
}

// TestMatrixHasTeeth switches off one rule at a time. The matrix must notice.
func TestMatrixHasTeeth(t *testing.T) {
	for _, rule := range []dispatch.Rule{
		dispatch.RuleClaim, dispatch.RuleReadBack, dispatch.RuleDigest,
		dispatch.RuleAttemptLimit, dispatch.RuleDrain, dispatch.RuleVersionCheck,
	} {
		t.Run(string(rule), func(t *testing.T) {
			t.Parallel()
			for _, c := range singles() {
				c.off = []dispatch.Rule{rule}
				if broken, _ := c.run(); len(broken) > 0 {
					t.Logf("%s: %v", c.name(), broken)
					return
				}
			}
			t.Fatalf("no cell broke without the rule %s", rule)
		})
	}
}

func faultsPage(cells []cell, seen []string) string {
	var b strings.Builder
	b.WriteString("# Faults\n\nGenerated by the fault matrix (`go test ./pkg/dispatch -run TestMatrixSingles -update`).\n")
	b.WriteString("The probed submission has three tasks, is not Repeatable, and is sent to instance b1\n")
	b.WriteString("of failure domain b while other jobs run. In every cell all invariants hold by the\n")
	b.WriteString("endpoints' ledger and every request to an instance that stays up is answered.\n")
	byFault := map[string][]string{}
	for i, c := range cells {
		byFault[c.faults[0].name] = append(byFault[c.faults[0].name], fmt.Sprintf("| %s | %s |", c.step, seen[i]))
	}
	for _, f := range faults {
		fmt.Fprintf(&b, "\n## %s\n\nWhat the system does: %s.\n\n| Step | What the caller sees |\n| --- | --- |\n", f.name, f.response)
		b.WriteString(strings.Join(byFault[f.name], "\n") + "\n")
	}
	return b.String()
}
