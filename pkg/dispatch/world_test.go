package dispatch_test

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sort"
	"strings"
	"time"

	"crocusseam/pkg/dispatch"
	"crocusseam/pkg/document"
	"crocusseam/pkg/routing"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/submission"
)

// world simulates a cluster in virtual time: several dispatch.Control instances
// run against fake endpoints, a fake network and an in-memory store. Its ledger
// records starts and replies, from which violations checks the invariants.
type world struct {
	now    time.Time
	events eventHeap
	seq    int
	random *rand.Rand

	nodes         map[string]*node
	maxOpenBytes  int64
	names         []string
	endpoints     map[netip.AddrPort]*fakeEndpoint
	sessions      map[[2]dispatch.PeerID]*session
	store         *storage.Memory
	cuts          map[[2]string]bool // blocked directions: {from, to}, each a domain or "platform"
	platformDown  bool
	platformDelay time.Duration
	answersToLose int // how many of the next commits are applied without an answer to the instance
	writesToLose  int // how many of the next commits are dropped before the store applies them
	switchOff     []dispatch.Rule
	timing        dispatch.Timing
	document      *document.Document
	hop           time.Duration

	ledger ledger

	// hooks holds functions by step. Each runs once, when its step is first
	// reached; the steps of a job are those of the submission in probe.
	hooks    map[string]func()
	probe    submission.Key
	maxDelay time.Duration // answers of the platform and the endpoints are delayed at random by less than this
	doubled  bool          // answers of the platform and the endpoints are delivered twice
	versions map[string]uint64
	reverts  int

	nextHandle  dispatch.Handle
	badDocument bool // stageDocument writes a document that fails validation
	extra       *load
	costs       *costs
	calls       map[string]int // calls to the platform, by kind (read or write); not counted if nil

	applied    storage.Row // the rollout row that the first operator read; all operators write on top of it
	oldRollout storage.Row
	oldScans   int // how many of the next scans return oldRollout

	probeCommits  map[commitKey]bool
	probeAttempts map[routing.Attempt]bool
}

// runHook runs the hook of a step, if there is one, and removes it.
func (w *world) runHook(step string) {
	if do, ok := w.hooks[step]; ok {
		delete(w.hooks, step)
		do()
	}
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type node struct {
	id       dispatch.PeerID
	domain   string
	control  *dispatch.Control
	inbox    []dispatch.Input
	stepping bool
	wake     int
	up       bool
	paused   bool
	stopped  bool
	peers    []dispatch.Peer
	running  map[routing.Attempt]*fakeRun
	clock    time.Duration // offset of the node's clock from the world's
}

type session struct {
	up    bool
	epoch int
}

type fakeEndpoint struct {
	address      netip.AddrPort
	domain       string
	slots        int
	speed        float64
	running      int
	failing      bool
	dead         bool
	leavingSince time.Time
	peak         int
}

type fakeRun struct {
	endpoint *fakeEndpoint
	ended    bool
}

type start struct {
	token string
	try   int
	at    time.Time
}

// ledger records what the endpoints and the callers observed.
type ledger struct {
	starts             map[string][]start // by submission key and task
	startCount         int
	byEndpoint         map[netip.AddrPort]int
	doubleStarts       int
	busy               int
	startsAfterLeaving int
	replies            map[dispatch.Handle]replyRecord
	requests           map[dispatch.Handle]*request
	cutOff             int
	repeatable         map[submission.Key]bool
}

type replyRecord struct {
	reply submission.Reply
	at    time.Time
}

type request struct {
	sub  *submission.Submission
	node string
	at   time.Time
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type worldConfig struct {
	seed      uint64
	instances map[string][]string // domain -> names
	perDomain int
	slots     int
	speeds    func(i int) float64
	policy    routing.PolicyName
	classes   []document.Class
	timing    *dispatch.Timing
	switchOff []dispatch.Rule
	hop       time.Duration
	// maxOpenBytes is the limit of each instance; 0 means none.
	maxOpenBytes int64
}

func defaultWorld(seed uint64) worldConfig {
	return worldConfig{
		seed:      seed,
		instances: map[string][]string{"a": {"a1", "a2"}, "b": {"b1", "b2"}, "c": {"c1", "c2"}, "d": {"d1"}},
		perDomain: 12, slots: 8, speeds: spreadSpeeds, hop: 500 * time.Microsecond,
	}
}

// spreadSpeeds returns the speed of the i-th endpoint of a domain. Speeds range
// from 0.5 to 4 and are the same in each domain.
func spreadSpeeds(i int) float64 {
	steps := []float64{1, 2, 0.5, 4, 1, 2, 0.5, 1, 2, 4, 1, 2}
	return steps[i%len(steps)]
}

func newWorld(config worldConfig) *world {
	w := &world{
		now: epoch, random: rand.New(rand.NewPCG(config.seed, 77)),
		nodes: map[string]*node{}, endpoints: map[netip.AddrPort]*fakeEndpoint{},
		sessions: map[[2]dispatch.PeerID]*session{}, store: storage.NewMemory(),
		cuts: map[[2]string]bool{}, hooks: map[string]func(){}, versions: map[string]uint64{},
		probeCommits: map[commitKey]bool{}, probeAttempts: map[routing.Attempt]bool{}, switchOff: config.switchOff, maxOpenBytes: config.maxOpenBytes, timing: dispatch.DefaultTiming(), hop: config.hop,
		ledger: ledger{
			starts: map[string][]start{}, byEndpoint: map[netip.AddrPort]int{},
			replies: map[dispatch.Handle]replyRecord{}, requests: map[dispatch.Handle]*request{}, repeatable: map[submission.Key]bool{},
		},
	}
	if config.timing != nil {
		w.timing = *config.timing
	}
	w.document = &document.Document{
		Environment: "test", Classes: config.classes,
		Teams:   []document.Team{{Name: "capstone"}, {Name: "ciclo"}},
		Routing: document.Routing{Policy: config.policy},
	}
	domains := make([]string, 0, len(config.instances))
	for d := range config.instances {
		domains = append(domains, d)
	}
	sort.Strings(domains)
	for di, d := range domains {
		group := document.Group{Name: "workers", Slots: config.slots, Connections: 64, Processors: 64, MemoryBytes: 256 << 30}
		for i := range config.perDomain {
			a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(di), 0, byte(i + 1)}), 9000)
			group.Endpoints = append(group.Endpoints, a)
			w.endpoints[a] = &fakeEndpoint{address: a, domain: d, slots: config.slots, speed: config.speeds(i)}
		}
		w.document.Domains = append(w.document.Domains, document.Domain{Name: d, Groups: []document.Group{group}})
	}
	for di, d := range domains {
		for i, name := range config.instances[d] {
			w.addNode(name, d, di*10+i)
		}
	}
	return w
}

func (w *world) addNode(name, domain string, index int) {
	incarnation := uint64(1)
	if old, ok := w.nodes[name]; ok {
		incarnation = old.id.Incarnation + 1
	} else {
		w.names = append(w.names, name)
	}
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 99, 0, byte(index)}), 7000)
	n := &node{id: dispatch.PeerID{Instance: name, Incarnation: incarnation}, domain: domain, up: true, running: map[routing.Attempt]*fakeRun{}}
	n.control = dispatch.New(dispatch.Config{
		Instance: name, Incarnation: incarnation, Domain: domain, Address: address, Callers: address,
		Capacity: 1, Seed: uint64(index) + 1, Timing: w.timing, Document: w.document, DocumentVersion: 1,
		MaxOpenBytes: w.maxOpenBytes,
	})
	for _, r := range w.switchOff {
		n.control.SwitchOff(r)
	}
	w.nodes[name] = n
	w.deliver(n, dispatch.Tick{})
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now.Add(d), w.seq, do})
}

func (w *world) run(d time.Duration) { w.runUntil(w.now.Add(d)) }

func (w *world) runUntil(end time.Time) {
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// deliver passes an input to a node. It delays or doubles answers (see isAnswer)
// as maxDelay and doubled say.
func (w *world) deliver(n *node, in dispatch.Input) {
	w.noteInput(n, in)
	if w.maxDelay > 0 && isAnswer(in) {
		w.after(time.Duration(w.random.Int64N(int64(w.maxDelay))), func() { w.enqueue(n, in) })
		return
	}
	w.enqueue(n, in)
	if w.doubled && isAnswer(in) {
		w.after(time.Millisecond, func() { w.enqueue(n, in) })
	}
}

// isAnswer reports whether deliver may delay or double an input. Messages of a
// session are excluded: a session keeps their order, and only the sending peer
// itself repeats them.
func isAnswer(in dispatch.Input) bool {
	switch in.(type) {
	case dispatch.CommitDone, dispatch.GetDone, dispatch.ScanDone, dispatch.ListDone, dispatch.AttemptDone:
		return true
	}
	return false
}

func (w *world) noteInput(n *node, in dispatch.Input) {
	switch m := in.(type) {
	case dispatch.Submit:
		if m.Submission.Key == w.probe {
			w.runHook("Accept")
		}
	case dispatch.CommitDone:
		if w.probeCommits[commitKey{n.id, m.ID}] {
			w.runHook("ClaimAnswered")
		}
	case dispatch.AttemptDone:
		if w.probeAttempts[m.Attempt] {
			w.runHook("AnswerReceived")
		}
	}
}

type commitKey struct {
	node dispatch.PeerID
	id   uint64
}

func (w *world) noteEffect(n *node, e dispatch.Effect) {
	switch m := e.(type) {
	case dispatch.Commit:
		w.noteCommit(n, m)
	case dispatch.Start:
		if m.PlaceRequest.Key == w.probe {
			w.probeAttempts[m.PlaceRequest.Attempt] = true
			w.runHook("StartSent")
			w.after(20*time.Millisecond, func() { w.runHook("Running") })
		}
	case dispatch.Send:
		if _, ok := m.Message.(*dispatch.Announce); ok && n.id.Instance == "b1" {
			w.runHook("Queued")
		}
	case dispatch.Reply:
		if r := w.ledger.requests[m.Handle]; r != nil && r.sub != nil && r.sub.Key == w.probe {
			w.runHook("AnswerDelivered")
		}
	}
}

func (w *world) noteCommit(n *node, m dispatch.Commit) {
	for _, wr := range m.Writes {
		switch {
		case wr.Key == dispatch.ClaimKey(w.probe) && len(w.probeAttempts) == 0:
			w.probeCommits[commitKey{n.id, m.ID}] = true
			w.runHook("ClaimSent")
		case wr.Key == dispatch.ClaimKey(w.probe):
			w.runHook("OutcomeRecorded")
		case wr.Key == dispatch.InstancePrefix+"b1":
			w.runHook("Heartbeat")
			if strings.Contains(string(wr.Value), "StagedVersion") {
				w.runHook("Stage")
			}
		case wr.Key == dispatch.RolloutKey:
			w.runHook("Activate")
		}
	}
}

func (w *world) enqueue(n *node, in dispatch.Input) {
	if !n.up {
		return
	}
	n.inbox = append(n.inbox, in)
	w.scheduleStep(n)
}

func (w *world) scheduleStep(n *node) {
	if n.stepping || n.paused {
		return
	}
	n.stepping = true
	w.after(0, func() { w.step(n) })
}

func (w *world) step(n *node) {
	n.stepping = false
	if !n.up || n.paused {
		return
	}
	inputs := n.inbox
	n.inbox = nil
	began := time.Now()
	effects, wake := n.control.Step(w.now.Add(n.clock), inputs)
	if w.costs != nil {
		w.costs.addStep(n.id.Instance, time.Since(began))
	}
	n.wake++
	turn := n.wake
	w.after(wake.Sub(w.now.Add(n.clock)), func() {
		if n.wake == turn {
			w.scheduleStep(n)
		}
	})
	w.noteVersion(n)
	for _, e := range effects {
		w.noteEffect(n, e)
		w.perform(n, e)
	}
}

// noteVersion counts how often the active document version of a node decreases.
func (w *world) noteVersion(n *node) {
	version := n.control.ActiveVersion()
	key := n.id.String()
	if version < w.versions[key] {
		w.reverts++
	}
	w.versions[key] = max(version, w.versions[key])
}

func (w *world) perform(n *node, e dispatch.Effect) {
	switch m := e.(type) {
	case dispatch.Reply:
		w.recordReply(n, m)
	case dispatch.Commit:
		w.commit(n, m)
	case dispatch.Get:
		w.call(n, time.Millisecond, func(err error) dispatch.Input {
			row, _ := w.store.Get(context.Background(), m.Key)
			return dispatch.GetDone{ID: m.ID, Row: row, Err: err}
		})
	case dispatch.PutObject:
		w.call(n, time.Millisecond, func(err error) dispatch.Input {
			if err == nil {
				err = w.store.Put(context.Background(), m.Name, m.Content)
			}
			return dispatch.ObjectDone{ID: m.ID, Err: err}
		})
	case dispatch.GetObject:
		w.call(n, time.Millisecond, func(err error) dispatch.Input {
			if err != nil {
				return dispatch.ObjectDone{ID: m.ID, Err: err}
			}
			content, err := w.store.GetObject(context.Background(), m.Name)
			return dispatch.ObjectDone{ID: m.ID, Content: content, Err: err}
		})
	case dispatch.Scan:
		w.call(n, time.Millisecond, func(err error) dispatch.Input {
			if err != nil {
				return dispatch.ScanDone{ID: m.ID, Err: err}
			}
			rows, _ := w.store.Scan(context.Background(), m.Prefix, dispatch.ScanLimit)
			w.ageRollout(rows)
			return dispatch.ScanDone{ID: m.ID, Rows: rows}
		})
	case dispatch.List:
		w.call(n, time.Millisecond, func(err error) dispatch.Input { return dispatch.ListDone{Instances: w.list(), Err: err} })
	case dispatch.Start:
		w.startTask(n, m.PlaceRequest)
	case dispatch.Interrupt:
		w.interrupt(n, m.Attempt)
	case dispatch.Send:
		w.sendMessage(n, m)
	case dispatch.Connect:
		n.peers = m.Peers
		w.connect(n)
	case dispatch.Stopped:
		n.stopped = true
		w.crash(n.id.Instance)
	}
}

// ageRollout replaces the rollout row in a scan's result by oldRollout, for the
// next oldScans scans that would return a newer row.
func (w *world) ageRollout(rows []storage.Row) {
	if w.oldScans == 0 {
		return
	}
	for i := range rows {
		if rows[i].Key == dispatch.RolloutKey && rows[i].Version > w.oldRollout.Version {
			rows[i] = w.oldRollout
			w.oldScans--
		}
	}
}

// listLag is how long the endpoint list still shows a leaving endpoint as active.
const listLag = time.Second

func (w *world) list() []storage.ListedInstance {
	var list []storage.ListedInstance
	for _, d := range w.document.Domains {
		for _, a := range d.Groups[0].Endpoints {
			e := w.endpoints[a]
			leaving := !e.leavingSince.IsZero() && w.now.Sub(e.leavingSince) > listLag
			list = append(list, storage.ListedInstance{Address: a, Leaving: leaving})
		}
	}
	return list
}

var errPlatformDown = errors.New("away")

// callTimeout is how long a node waits for a call whose request or answer is lost.
const callTimeout = time.Second

func (w *world) reaches(from, to string) bool { return !w.cuts[[2]string{from, to}] }

// call simulates a read from the platform that takes d. It passes to answer the
// read's error, or nil, and delivers the input that answer returns.
func (w *world) call(n *node, d time.Duration, answer func(error) dispatch.Input) {
	if w.calls != nil {
		w.calls["read"]++
	}
	if !w.reaches(n.domain, "platform") || !w.reaches("platform", n.domain) {
		w.after(callTimeout, func() { w.deliver(n, answer(&storage.ErrUnavailable{Step: "read", Cause: errPlatformDown})) })
		return
	}
	if w.platformDown {
		w.after(d, func() { w.deliver(n, answer(&storage.ErrUnavailable{Step: "read", Cause: errPlatformDown})) })
		return
	}
	w.after(d+w.platformDelay, func() { w.deliver(n, answer(nil)) })
}

func (w *world) commit(n *node, m dispatch.Commit) {
	if w.calls != nil {
		w.calls["write"]++
	}
	latency := 3*time.Millisecond + time.Duration(w.random.Int64N(int64(3*time.Millisecond))) + w.platformDelay
	fail := func(d time.Duration, err error) {
		w.after(d, func() { w.deliver(n, dispatch.CommitDone{ID: m.ID, Err: err}) })
	}
	uncertain := &storage.ErrUncertain{Step: "commit", Cause: errPlatformDown}
	switch {
	case !w.reaches(n.domain, "platform"):
		fail(callTimeout, uncertain)
		return
	case w.platformDown:
		fail(time.Millisecond, &storage.ErrUnavailable{Step: "commit", Cause: errPlatformDown})
		return
	case w.writesToLose > 0:
		w.writesToLose--
		fail(callTimeout, uncertain)
		return
	}
	lost := w.answersToLose > 0
	if lost {
		w.answersToLose--
	}
	w.after(latency/2, func() {
		version, err := w.store.Commit(context.Background(), m.Writes)
		if lost || !w.reaches("platform", n.domain) {
			fail(callTimeout, uncertain)
			return
		}
		w.after(latency/2, func() { w.deliver(n, dispatch.CommitDone{ID: m.ID, Version: version, Err: err}) })
	})
}

func (w *world) pairKey(a, b dispatch.PeerID) [2]dispatch.PeerID {
	if a.String() > b.String() {
		a, b = b, a
	}
	return [2]dispatch.PeerID{a, b}
}

// connect opens a session to each of the node's peers that is up and that the
// network connects with it in both directions.
func (w *world) connect(n *node) {
	for _, p := range n.peers {
		other := w.nodes[p.ID.Instance]
		if other == nil || other.id != p.ID || !other.up || other.id == n.id {
			continue
		}
		key := w.pairKey(n.id, other.id)
		s := w.sessions[key]
		if s == nil {
			s = &session{}
			w.sessions[key] = s
		}
		if s.up || !w.reaches(n.domain, other.domain) || !w.reaches(other.domain, n.domain) || n.paused || other.paused {
			continue
		}
		s.up = true
		s.epoch++
		w.after(time.Millisecond, func() {
			w.deliver(n, dispatch.PeerUp{Peer: other.id})
			w.deliver(other, dispatch.PeerUp{Peer: n.id})
		})
	}
}

func (w *world) sendMessage(n *node, m dispatch.Send) {
	if w.costs != nil {
		w.costs.addMessage(n.id.Instance, m.Message)
	}
	other := w.nodes[m.Peer.Instance]
	s := w.sessions[w.pairKey(n.id, m.Peer)]
	if other == nil || other.id != m.Peer || s == nil || !s.up {
		return
	}
	epoch := s.epoch
	hop := 100 * time.Microsecond
	if other.domain != n.domain {
		hop = w.hop
	}
	if !w.reaches(n.domain, other.domain) {
		return
	}
	w.after(hop, func() {
		if s.up && s.epoch == epoch {
			w.deliver(other, dispatch.Received{From: n.id, Message: m.Message})
		}
	})
}

// sessionTimeout is how long it takes until a cut or a pause ends a session.
const sessionTimeout = 1500 * time.Millisecond

// dropSession ends a session after a delay, notifies both sides then and lets
// them try to reconnect.
func (w *world) dropSession(key [2]dispatch.PeerID, delay time.Duration) {
	s := w.sessions[key]
	if s == nil || !s.up {
		return
	}
	w.after(delay, func() {
		if !s.up {
			return
		}
		s.up = false
		for i := range key {
			if n := w.nodes[key[i].Instance]; n != nil && n.id == key[i] {
				w.deliver(n, dispatch.PeerDown{Peer: key[1-i]})
				w.retryConnect(n)
			}
		}
	})
}

func (w *world) retryConnect(n *node) {
	w.after(300*time.Millisecond, func() {
		if !n.up {
			return
		}
		w.connect(n)
		for _, p := range n.peers {
			other := w.nodes[p.ID.Instance]
			if other != nil && other.id == p.ID && other.up && !w.sessions[w.pairKey(n.id, other.id)].up {
				w.retryConnect(n)
				return
			}
		}
	})
}

// cut blocks the network in one direction, from one domain (or the platform) to
// another, and drops the sessions between the two.
func (w *world) cut(from, to string) {
	w.cuts[[2]string{from, to}] = true
	for _, key := range w.sortedSessions() {
		a, b := w.nodes[key[0].Instance], w.nodes[key[1].Instance]
		if a == nil || b == nil {
			continue
		}
		if (a.domain == from && b.domain == to) || (b.domain == from && a.domain == to) {
			w.dropSession(key, sessionTimeout)
		}
	}
}

func (w *world) heal(from, to string) { delete(w.cuts, [2]string{from, to}) }

func (w *world) sortedSessions() [][2]dispatch.PeerID {
	keys := make([][2]dispatch.PeerID, 0, len(w.sessions))
	for k := range w.sessions {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return fmt.Sprint(keys[i]) < fmt.Sprint(keys[j]) })
	return keys
}

func (w *world) crash(name string) {
	n := w.nodes[name]
	if !n.up {
		return
	}
	n.up = false
	for _, r := range n.running {
		if !r.ended {
			r.ended = true
			if n.stopped {
				w.ledger.cutOff++
			}
			r.endpoint.running--
		}
	}
	for _, key := range w.sortedSessions() {
		if key[0] == n.id || key[1] == n.id {
			w.dropSession(key, time.Millisecond)
		}
	}
	handles := make([]int, 0)
	for h, r := range w.ledger.requests {
		if _, done := w.ledger.replies[h]; !done && r.node == name {
			handles = append(handles, int(h))
		}
	}
	if n.stopped {
		w.ledger.cutOff += len(handles)
	}
}

func (w *world) pause(name string, d time.Duration) {
	n := w.nodes[name]
	n.paused = true
	for _, key := range w.sortedSessions() {
		if key[0] == n.id || key[1] == n.id {
			if d > sessionTimeout {
				w.dropSession(key, sessionTimeout)
			}
		}
	}
	w.after(d, func() {
		n.paused = false
		w.scheduleStep(n)
		w.retryConnect(n)
	})
}

func (w *world) startTask(n *node, p dispatch.PlaceRequest) {
	e := w.endpoints[p.Endpoint]
	done := func(d time.Duration, outcome dispatch.Outcome, detail string) {
		w.after(d, func() {
			w.deliver(n, dispatch.AttemptDone{Attempt: p.Attempt, Outcome: outcome, Detail: detail, Output: []byte(p.Task)})
		})
	}
	const oneWay = 100 * time.Microsecond
	if e.dead {
		done(2*oneWay, dispatch.NotStarted, "connection refused")
		return
	}
	if e.running >= e.slots {
		w.ledger.busy++
		done(2*oneWay, dispatch.NotStarted, "busy")
		return
	}
	w.ledger.record(w, p, e)
	if e.failing {
		done(5*time.Millisecond, dispatch.TaskFailed, "failed")
		return
	}
	work, err := time.ParseDuration(string(p.Payload))
	if err != nil {
		panic(err)
	}
	e.running++
	e.peak = max(e.peak, e.running)
	run := &fakeRun{endpoint: e}
	n.running[p.Attempt] = run
	w.after(2*oneWay+time.Duration(float64(work)/e.speed), func() {
		if run.ended {
			return
		}
		run.ended = true
		delete(n.running, p.Attempt)
		e.running--
		outcome := dispatch.Done
		if e.dead {
			outcome = dispatch.Unknown
		}
		w.deliver(n, dispatch.AttemptDone{Attempt: p.Attempt, Outcome: outcome, Output: outputOf(p.Key.ID, p.Task, p.Payload)})
	})
}

func (w *world) interrupt(n *node, id routing.Attempt) {
	run, ok := n.running[id]
	if !ok || run.ended {
		return
	}
	run.ended = true
	delete(n.running, id)
	run.endpoint.running--
	w.after(200*time.Microsecond, func() {
		w.deliver(n, dispatch.AttemptDone{Attempt: id, Outcome: dispatch.Unknown, Detail: "interrupted"})
	})
}

// record adds a start to the ledger. It counts a double start if the same attempt
// had started before, if the task had started under another claim, or if the
// submission is not Repeatable and any attempt had started before.
func (l *ledger) record(w *world, p dispatch.PlaceRequest, e *fakeEndpoint) {
	key := p.Key.String() + "/" + p.Task
	repeatable := l.repeatable[p.Key]
	for _, s := range l.starts[key] {
		if s.token != p.Token || s.try == p.Try || !repeatable {
			l.doubleStarts++
			break
		}
	}
	l.starts[key] = append(l.starts[key], start{p.Token, p.Try, w.now})
	l.startCount++
	l.byEndpoint[e.address]++
	if !e.leavingSince.IsZero() && w.now.Sub(e.leavingSince) > 3*time.Second {
		l.startsAfterLeaving++
	}
}

func (w *world) submit(name string, s *submission.Submission) dispatch.Handle {
	w.nextHandle++
	h := w.nextHandle
	w.ledger.requests[h] = &request{sub: s, node: name, at: w.now}
	w.ledger.repeatable[s.Key] = s.Repeatable
	w.deliver(w.nodes[name], dispatch.Submit{Handle: h, Submission: s})
	return h
}

func (w *world) await(name string, key submission.Key) dispatch.Handle {
	w.nextHandle++
	h := w.nextHandle
	w.ledger.requests[h] = &request{node: name, at: w.now}
	w.deliver(w.nodes[name], dispatch.Await{Handle: h, Key: key})
	return h
}

func (w *world) recordReply(n *node, m dispatch.Reply) {
	if _, twice := w.ledger.replies[m.Handle]; twice {
		panic("a request was answered twice")
	}
	w.ledger.replies[m.Handle] = replyRecord{m.Reply, w.now}
}

func (w *world) replyTo(h dispatch.Handle) *submission.Reply {
	r, ok := w.ledger.replies[h]
	if !ok {
		return nil
	}
	return &r.reply
}

// outputOf returns the output of a task's run. It names the job, the task and the
// payload, so that checkReply detects a result that belongs to another task.
func outputOf(id, task string, payload []byte) []byte {
	out := id + "/" + task + "/" + string(payload)
	if strings.HasPrefix(id, "long") {
		out += strings.Repeat("x", longOutput)
	}
	return []byte(out)
}

// longOutput is how many bytes are added to the output of each task of a job whose
// ID begins with "long".
const longOutput = 20_000

// violations lists the invariants that were violated, according to the ledger and
// the counters of the instances.
func (w *world) violations() []string {
	var list []string
	l := &w.ledger
	if l.doubleStarts > 0 {
		list = append(list, fmt.Sprintf("%d double starts", l.doubleStarts))
	}
	if l.startsAfterLeaving > 0 {
		list = append(list, fmt.Sprintf("%d starts after leaving", l.startsAfterLeaving))
	}
	if w.reverts > 0 {
		list = append(list, fmt.Sprintf("%d versions went back", w.reverts))
	}
	for _, n := range w.names {
		if breaches := w.nodes[n].control.Counters().BackfillBreaches; breaches > 0 {
			list = append(list, fmt.Sprintf("%s: %d back-fills lost", n, breaches))
		}
	}
	if l.cutOff > 0 {
		list = append(list, fmt.Sprintf("%d cut off by a planned stop", l.cutOff))
	}
	handles := make([]int, 0, len(l.replies))
	for h := range l.replies {
		handles = append(handles, int(h))
	}
	sort.Ints(handles)
	for _, h := range handles {
		if v := w.checkReply(dispatch.Handle(h)); v != "" {
			list = append(list, v)
		}
	}
	return list
}

// checkReply describes what is wrong with the reply to a submission, or returns "".
func (w *world) checkReply(h dispatch.Handle) string {
	r := w.ledger.requests[h]
	reply := w.ledger.replies[h].reply
	if r.sub == nil {
		return ""
	}
	if refusal := reply.Refusal; refusal != nil {
		if refusal.NotRun && w.startedBefore(r.sub, w.ledger.replies[h].at) {
			return fmt.Sprintf("%s: said to be not run, but it ran (%s)", r.sub.Key, refusal.Reason)
		}
		return ""
	}
	if reply.Answer.Status != submission.Complete {
		if len(reply.Answer.Results) > 0 {
			return fmt.Sprintf("%s: a failed answer with results", r.sub.Key)
		}
		return ""
	}
	if len(reply.Answer.Results) != len(r.sub.Tasks) {
		return fmt.Sprintf("%s: a partial answer", r.sub.Key)
	}
	for i, t := range r.sub.Tasks {
		got := reply.Answer.Results[i]
		if got.Name != t.Name || string(got.Output) != string(outputOf(r.sub.ID, t.Name, t.Payload)) {
			return fmt.Sprintf("%s: task %s has the result of another: %s", r.sub.Key, t.Name, got.Output)
		}
	}
	return ""
}

// startedBefore reports whether a task of the submission started before then.
func (w *world) startedBefore(s *submission.Submission, then time.Time) bool {
	for _, t := range s.Tasks {
		for _, st := range w.ledger.starts[s.Key.String()+"/"+t.Name] {
			if st.at.Before(then) {
				return true
			}
		}
	}
	return false
}

func (w *world) job(id string, tasks int, work time.Duration) *submission.Submission {
	s := &submission.Submission{Key: submission.Key{Team: "capstone", ID: id}, Deadline: w.now.Add(30 * time.Second), Attempt: 1}
	for i := range tasks {
		s.Tasks = append(s.Tasks, submission.Task{Name: fmt.Sprint("t", i), Kind: "hold", Payload: []byte(work.String()), DeclaredRunTime: work})
	}
	return s
}
