// Package model runs the control states of package placement in virtual time
// with endpoints, a store and a network of its own, for tests and experiments.
// The same seed always leads to the same run.
package model

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/placement"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/workload"
)

// Config constructs a World.
type Config struct {
	Seed    uint64
	Domains []Domain
	Service string
	Timing  placement.Timing
	// InDomain, BetweenDomains and ToStore are one-way times of the network.
	InDomain       time.Duration
	BetweenDomains time.Duration
	ToStore        time.Duration
	// MaxAttempts is how often a task may fail.
	MaxAttempts int
	// Retention is how long the outcomes of stored jobs are kept.
	Retention time.Duration
}

// Domain is a failure domain with its instances and endpoints.
type Domain struct {
	Name      string
	Instances int
	Endpoints []EndpointConfig
	// Shares are the relative sizes of the instances; 1 where there are fewer.
	Shares []int
}

// EndpointConfig describes an endpoint.
type EndpointConfig struct {
	Capacity workload.Resources
	Speed    float64
}

// Periods of what surrounds the control states.
const (
	reportWait      = 400 * time.Millisecond
	reportRetry     = 50 * time.Millisecond
	confirmWait     = 25 * time.Millisecond
	storeTimeout    = time.Second
	discoveryPeriod = 700 * time.Millisecond
	stopTime        = 30 * time.Millisecond
	orderTimeout    = time.Second
	redialDelay     = 50 * time.Millisecond
)

var epoch = time.Unix(1_000_000, 0)

// World is everything in virtual time.
type World struct {
	Config    Config
	Now       time.Time
	Nodes     []*Node
	Endpoints []*Endpoint
	Store     *Store
	// Breaches lists what must never happen and did.
	Breaches []string
	// Jobs holds what became of every job.
	Jobs map[workload.JobID]*Outcome

	random       *rand.Rand
	events       events
	sequence     uint64
	cuts         map[[2]string]bool
	delayedUntil map[[2]string]time.Time // of messages between two instances, until when
	jobs         int
}

// Outcome is what became of a job.
type Outcome struct {
	Job       *workload.Job
	Kind      string
	Worth     float64
	Submitted time.Time
	Objective time.Duration
	Lengths   []time.Duration // of the tasks of the first step, where they differ from the estimate
	Answered  time.Time
	Answer    placement.Answer
	Started   bool // an endpoint has started a task of it
	// Unanswered says that a connection of its caller broke: what was handed in there
	// may have run, whatever a later answer says of itself.
	CallerDisconnected bool

	finished         map[workload.TaskID]bool // tasks that have ended as done
	acknowledgedDone map[workload.TaskID]bool // acknowledged ends, of a stored job
	lastRun          map[workload.TaskID]int  // highest number started, of a stored job
}

// AllDone reports whether every task of the job has ended as done.
func (o *Outcome) AllDone() bool { return len(o.finished) == o.Job.Tasks() }

func (o *Outcome) finish(t workload.TaskID) {
	if o.finished == nil {
		o.finished = make(map[workload.TaskID]bool)
	}
	o.finished[t] = true
}

// InTime reports whether the job was completed within its objective.
func (o *Outcome) InTime() bool {
	return o.Answer.Status == placement.Completed && o.Answered.Sub(o.Submitted) <= o.Objective
}

// Late reports whether the job was completed after its objective, but while it
// was still worth something.
func (o *Outcome) Late() bool {
	elapsed := o.Answered.Sub(o.Submitted)
	return o.Answer.Status == placement.Completed && elapsed > o.Objective && elapsed <= lateFactor*o.Objective
}

type event struct {
	at       time.Time
	sequence uint64
	do       func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// New returns a world whose instances start at its first moment.
func New(config Config) *World {
	w := &World{
		Config: config, Now: epoch, random: rand.New(rand.NewPCG(config.Seed, 1)),
		Jobs: make(map[workload.JobID]*Outcome), cuts: make(map[[2]string]bool), delayedUntil: make(map[[2]string]time.Time),
	}
	w.Store = &Store{world: w, memory: storage.NewMemory()}
	for _, d := range config.Domains {
		for _, e := range d.Endpoints {
			w.AddEndpoint(d.Name, e)
		}
	}
	for _, d := range config.Domains {
		for i := range d.Instances {
			n := w.AddNode(d.Name)
			if i < len(d.Shares) {
				n.Share = d.Shares[i]
				n.Start()
			}
		}
	}
	return w
}

// After does something after a while.
func (w *World) After(wait time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.events, event{w.Now.Add(max(wait, 0)), w.sequence, do})
}

// Elapsed is how much time has passed since the world's first moment.
func (w *World) Elapsed() time.Duration { return w.Now.Sub(epoch) }

// Run lets time pass.
func (w *World) Run(span time.Duration) {
	end := w.Now.Add(span)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.Now = e.at
		e.do()
	}
	w.Now = end
}

// acknowledged takes the acknowledgement of an end. A task of a stored job that is done starts never
// again, also not between its end and its acknowledgement, unless the endpoint's lease ran
// out between the two: then its holder had no way to know.
func (w *World) recordAcknowledged(e *workload.EndedRun, lapsed bool) {
	o, ok := w.Jobs[e.Run.Task.Job]
	if !ok || o.Job.Ephemeral || e.How != workload.Done || lapsed {
		return
	}
	if o.acknowledgedDone == nil {
		o.acknowledgedDone = make(map[workload.TaskID]bool)
	}
	o.acknowledgedDone[e.Run.Task] = true
	if last := o.lastRun[e.Run.Task]; last > e.Run.Number {
		w.breach(fmt.Sprintf("run %d of task %v was started, although run %d is done and acknowledged", last, e.Run.Task, e.Run.Number))
	}
}

func (w *World) started(o *Outcome, r workload.Run) {
	if o.Job.Ephemeral {
		return
	}
	if o.lastRun == nil {
		o.lastRun = make(map[workload.TaskID]int)
	}
	o.lastRun[r.Task] = max(o.lastRun[r.Task], r.Number)
	if o.acknowledgedDone[r.Task] {
		w.breach(fmt.Sprintf("run %d of task %v was started, which is done", r.Number, r.Task))
	}
}

func (w *World) breach(text string) { w.Breaches = append(w.Breaches, text) }

// Cut parts two places from each other, or heals the cut. A place is an
// instance, an endpoint, a failure domain or "store".
func (w *World) Cut(a, b string, cut bool) {
	w.cuts[[2]string{a, b}] = cut
	w.cuts[[2]string{b, a}] = cut
	if !cut {
		return
	}
	for _, n := range w.Nodes {
		for _, o := range w.Nodes {
			if n != o && !w.reaches(n.location(), o.location()) {
				n.loseSession(o)
			}
		}
	}
}

// HoldUp holds the messages of one instance to another up for a while. They come
// when it is over, also if their session has ended meanwhile.
func (w *World) DelayMessages(from, to *Node, span time.Duration) {
	w.delayedUntil[[2]string{from.ID.Instance, to.ID.Instance}] = w.Now.Add(span)
}

func (w *World) messageDelay(from, to *Node) time.Duration {
	return max(0, w.delayedUntil[[2]string{from.ID.Instance, to.ID.Instance}].Sub(w.Now))
}

// place names where something stands: itself and its failure domain.
type location struct {
	name   string
	domain string
}

func (w *World) reaches(a, b location) bool {
	for _, x := range []string{a.name, a.domain} {
		for _, y := range []string{b.name, b.domain} {
			if w.cuts[[2]string{x, y}] {
				return false
			}
		}
	}
	return true
}

func (w *World) oneWay(a, b location) time.Duration {
	if a.domain == b.domain {
		return w.Config.InDomain
	}
	return w.Config.BetweenDomains
}

// Submit hands a job to an instance on a route.
func (w *World) Submit(n *Node, j *workload.Job, route workload.Route, patience time.Duration) *Outcome {
	o := &Outcome{Job: j, Submitted: w.Now, Objective: route.Objective(j)}
	w.Jobs[j.ID] = o
	w.Resubmit(n, o, route, patience)
	return o
}

// Resubmit hands a job in again, as a caller does that got no answer.
func (w *World) Resubmit(n *Node, o *Outcome, route workload.Route, patience time.Duration) {
	if !n.Up {
		o.Answered = w.Now
		return
	}
	n.lastHandle++
	h := placement.Handle(n.lastHandle)
	n.callers[h] = o
	n.deliver(placement.Submit{Handle: h, Job: o.Job, Route: route, CallerTimeout: patience})
}

// State asks an instance for the state of a job.
func (w *World) State(n *Node, id workload.JobID, answer func(placement.Answer)) {
	n.lastHandle++
	n.answers[placement.Handle(n.lastHandle)] = answer
	n.deliver(placement.Ask{Handle: placement.Handle(n.lastHandle), ID: id})
}

// Cancel asks an instance to cancel a job.
func (w *World) Cancel(n *Node, id workload.JobID, answer func(placement.Answer)) {
	n.lastHandle++
	n.answers[placement.Handle(n.lastHandle)] = answer
	n.deliver(placement.Cancel{Handle: placement.Handle(n.lastHandle), ID: id})
}

// Waiting asks an instance how many jobs of a route wait.
func (w *World) Waiting(n *Node, route string, answer func(placement.Answer)) {
	n.lastHandle++
	n.answers[placement.Handle(n.lastHandle)] = answer
	n.deliver(placement.Count{Handle: placement.Handle(n.lastHandle), Route: route})
}

// Settled checks what must hold at the end: a refused job has not started, and
// every job handed to an instance that lives has its answer.
func (w *World) CheckFinal() []string {
	for id, o := range w.Jobs {
		if o.Answered.IsZero() {
			w.breach("job " + string(id) + " has no answer")
		}
		if o.Answer.Status == placement.Completed && o.Job.Ephemeral && !o.AllDone() {
			w.breach("job " + string(id) + " was answered as completed, and a task of it has not ended so")
		}
		if o.Answer.Status == placement.Refused && o.Started && !o.CallerDisconnected {
			w.breach("job " + string(id) + " was refused, and a task of it started")
		}
	}
	return w.Breaches
}

// Peer returns the instance with this identity if it is up.
func (w *World) peer(id instance.ID) *Node {
	for _, n := range w.Nodes {
		if n.ID == id {
			return n
		}
	}
	return nil
}
