package model

import (
	"fmt"
	"net/netip"
	"time"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/placement"
	"crocusseam/pkg/workload"
)

// Node is an instance.
type Node struct {
	ID     instance.ID
	Domain string
	Share  int // relative size
	Up     bool
	Frozen bool
	// Decisions counts the decisions by event.
	Decisions map[string]int
	Control   *placement.Control
	// Prepare is called with each new control state, if it is set.
	Prepare func(*placement.Control)

	world    *World
	inputs   []placement.Input
	stepping bool
	wakeAt   time.Time
	handles  uint64
	callers  map[placement.Handle]*Outcome
	answers  map[placement.Handle]func(placement.Answer)
	sessions map[instance.ID]bool
	watches  map[string]*watch
	life     int
}

type watch struct {
	placement.Watch
	seen         int64
	acknowledged int64
	clock        time.Duration
	at           time.Time
	ended        bool
}

// AddNode starts an instance in a failure domain.
func (w *World) AddNode(domain string) *Node {
	n := &Node{world: w, Domain: domain, Share: 1, Decisions: make(map[string]int)}
	n.ID.Instance = fmt.Sprintf("%s-%d", domain, len(w.Nodes)+1)
	w.Nodes = append(w.Nodes, n)
	n.Start()
	return n
}

func (n *Node) place() place { return place{n.ID.Instance, n.Domain} }

// Start starts the instance's process in a new incarnation.
func (n *Node) Start() {
	n.life++
	n.ID.Incarnation = uint64(n.world.Now.UnixNano())
	n.Up, n.Frozen, n.inputs, n.stepping = true, false, nil, false
	n.callers = make(map[placement.Handle]*Outcome)
	n.answers = make(map[placement.Handle]func(placement.Answer))
	n.sessions = make(map[instance.ID]bool)
	n.watches = make(map[string]*watch)
	n.Control = placement.New(placement.Config{
		Self: n.ID, Domain: n.Domain, Address: netip.MustParseAddrPort("127.0.0.1:1"), Share: n.Share,
		Seed: n.world.Config.Seed, Timing: n.world.Config.Timing, Retention: n.world.Config.Retention,
	})
	if n.Prepare != nil {
		n.Prepare(n.Control)
	}
	n.deliver(placement.Configured{Configuration: &workload.Configuration{Version: 1}})
	n.discover(n.life)
}

// Kill ends the instance's process. Its callers get no answer.
func (n *Node) Kill() {
	n.Up = false
	n.life++
	for _, o := range n.world.Nodes {
		if o != n {
			o.loseSession(n)
		}
	}
	for _, o := range n.callers {
		o.Answered = n.world.Now
	}
}

// HangUp breaks the connection of the caller of a job.
func (n *Node) HangUp(o *Outcome) {
	for h, waiting := range n.callers {
		if waiting == o {
			delete(n.callers, h)
			o.Unanswered = true
			n.deliver(placement.Abandon{Handle: h})
		}
	}
}

// Freeze stops the instance for a while; its sessions stay.
func (n *Node) Freeze(span time.Duration) {
	n.Frozen = true
	n.world.After(span, func() {
		n.Frozen = false
		n.schedule()
	})
}

func (n *Node) deliver(in placement.Input) {
	if !n.Up {
		return
	}
	n.inputs = append(n.inputs, in)
	n.schedule()
}

// schedule lets the control state step at this moment.
func (n *Node) schedule() {
	if n.stepping || n.Frozen || !n.Up {
		return
	}
	n.stepping = true
	life := n.life
	n.world.After(0, func() {
		if n.life != life {
			return
		}
		n.stepping = false
		if !n.Frozen {
			n.step()
		}
	})
}

func (n *Node) step() {
	inputs := n.inputs
	n.inputs = nil
	effects, next := n.Control.Step(n.world.Now, inputs)
	for _, e := range effects {
		n.perform(e)
	}
	if n.wakeAt.After(n.world.Now) && !n.wakeAt.After(next) {
		return
	}
	n.wakeAt = next
	life := n.life
	n.world.After(next.Sub(n.world.Now), func() {
		if n.life == life {
			n.schedule()
		}
	})
}

// later does something after a while if the process still lives then.
func (n *Node) later(wait time.Duration, do func()) {
	life := n.life
	n.world.After(wait, func() {
		if n.life == life {
			do()
		}
	})
}

func (n *Node) perform(e placement.Effect) {
	w := n.world
	switch m := e.(type) {
	case placement.LogEvent:
		n.Decisions[m.Event]++
	case placement.Reply:
		if o, ok := n.callers[m.Handle]; ok {
			delete(n.callers, m.Handle)
			o.Answered, o.Answer = w.Now, m.Answer
		}
		if answer, ok := n.answers[m.Handle]; ok {
			delete(n.answers, m.Handle)
			answer(m.Answer)
		}
	case placement.Send:
		n.send(m)
	case placement.Connect:
		for _, p := range m.Peers {
			n.dial(p.ID)
		}
	case placement.DropSession:
		if o := w.peer(m.Peer); o != nil {
			n.loseSession(o)
			o.loseSession(n)
		}
	case placement.Watch:
		n.startWatch(m)
	case placement.RequestReport:
		n.look(m)
	case placement.Acknowledge:
		if x, ok := n.watches[m.Endpoint.Name]; ok && x.Endpoint == m.Endpoint && x.Token == m.Token {
			x.acknowledged = max(x.acknowledged, m.Upto)
		}
	case placement.Unwatch:
		if x, ok := n.watches[m.Endpoint.Name]; ok {
			x.ended = true
			delete(n.watches, m.Endpoint.Name)
		}
	case placement.Start:
		n.order(m.Endpoint, orderTimeout, func(x *Endpoint) placement.OrderOutcome { return x.Start(&m) }, func(o placement.OrderOutcome) {
			n.deliver(placement.StartDone{Endpoint: m.Endpoint, Token: m.Token, Run: m.Run, Copy: m.Copy, Outcome: o})
		})
	case placement.StopRun:
		n.order(m.Endpoint, w.Config.Timing.AnswerTimeout, func(x *Endpoint) placement.OrderOutcome { return x.Stop(&m) }, func(o placement.OrderOutcome) {
			n.deliver(placement.StopDone{Endpoint: m.Endpoint, Token: m.Token, Run: m.Run, Outcome: o})
		})
	case placement.Probe:
		x := w.endpoint(m.Endpoint)
		reachable := x != nil && x.Up && w.reaches(n.place(), x.place())
		n.later(2*w.Config.BetweenDomains, func() { n.deliver(placement.ProbeDone{Endpoint: m.Endpoint.Name, Reachable: reachable}) })
	case placement.Commit:
		w.Store.commit(n, m)
	case placement.Scan:
		w.Store.scan(n, m)
	}
}

func (n *Node) send(m placement.Send) {
	w := n.world
	o := w.peer(m.Peer)
	if o == nil || !n.sessions[m.Peer] {
		return
	}
	from := n.ID
	w.After(w.oneWay(n.place(), o.place())+w.heldUp(n, o), func() {
		if o.ID == m.Peer && o.sessions[from] && w.reaches(n.place(), o.place()) {
			o.deliver(placement.Received{From: from, Envelope: m.Envelope})
		}
	})
}

// dial sets up a session, again and again until there is one.
func (n *Node) dial(id instance.ID) {
	w := n.world
	if n.sessions[id] || id.Incarnation > n.ID.Incarnation || (id.Incarnation == n.ID.Incarnation && id.Instance < n.ID.Instance) {
		return
	}
	o := w.peer(id)
	if o == nil || !o.Up || o.Frozen || !w.reaches(n.place(), o.place()) {
		n.later(redial, func() { n.dial(id) })
		return
	}
	n.later(2*w.oneWay(n.place(), o.place()), func() {
		if o.ID != id || !o.Up || n.sessions[id] || !w.reaches(n.place(), o.place()) {
			return
		}
		n.sessions[id], o.sessions[n.ID] = true, true
		n.deliver(placement.PeerUp{Peer: id})
		o.deliver(placement.PeerUp{Peer: n.ID})
	})
}

func (n *Node) loseSession(o *Node) {
	if !n.sessions[o.ID] {
		return
	}
	delete(n.sessions, o.ID)
	n.deliver(placement.PeerDown{Peer: o.ID})
	id := o.ID
	n.later(redial, func() { n.dial(id) })
	other := n.ID
	o.later(redial, func() { o.dial(other) })
}

// discover reads the list of endpoints again and again.
func (n *Node) discover(life int) {
	if n.life != life {
		return
	}
	w := n.world
	if w.Store.serves(n) && n.Control.Overview().ReadsList {
		var list []workload.Endpoint
		for _, x := range w.Endpoints {
			if x.Listed {
				list = append(list, x.Info)
			}
		}
		n.deliver(placement.Listed{Endpoints: list})
	}
	w.After(discoveryPeriod, func() { n.discover(life) })
}

// order sends an order to an endpoint. What a slow or cut network does to it is
// up to the endpoint's faults.
func (n *Node) order(id workload.EndpointID, patience time.Duration, do func(*Endpoint) placement.OrderOutcome, done func(placement.OrderOutcome)) {
	w := n.world
	x := w.endpoint(id)
	if x == nil || !x.Up || !w.reaches(n.place(), x.place()) {
		n.later(patience, func() { done(placement.Unanswered) })
		return
	}
	way := w.oneWay(n.place(), x.place())
	if x.LateOrders > 0 && w.random.Float64() < x.LateOrders {
		w.After(x.LateBy, func() { do(x) })
		n.later(patience, func() { done(placement.Unanswered) })
		return
	}
	lost := x.LoseAnswers > 0 && w.random.Float64() < x.LoseAnswers
	w.After(way, func() {
		outcome := do(x)
		if outcome == placement.Accepted && x.Info.ID != id {
			outcome = placement.OtherLife
		}
		if lost || !w.reaches(n.place(), x.place()) {
			n.later(patience, func() { done(placement.Unanswered) })
			return
		}
		n.later(way, func() { done(outcome) })
	})
}

func (n *Node) startWatch(m placement.Watch) {
	if x, ok := n.watches[m.Endpoint.Name]; ok {
		if x.Endpoint == m.Endpoint && x.Token == m.Token {
			x.Renew, x.ExplicitAcks = m.Renew, m.ExplicitAcks
			return
		}
		x.ended = true
	}
	x := &watch{Watch: m}
	n.watches[m.Endpoint.Name] = x
	n.ask(x, 0)
}

// ask asks an endpoint for a report that waits for an end.
func (n *Node) ask(x *watch, wait time.Duration) {
	w := n.world
	if x.ended {
		return
	}
	if n.Frozen {
		n.later(redial, func() { n.ask(x, wait) })
		return
	}
	sent := w.Now
	until := time.Duration(0)
	if x.Renew && !x.at.IsZero() {
		until = x.clock + sent.Sub(x.at) + w.Config.Timing.Lease
	}
	var report workload.Report
	answered, gaveUp := false, false
	n.order(x.Endpoint, w.Config.Timing.AnswerTimeout, func(e *Endpoint) placement.OrderOutcome {
		outcome := e.Hold(x.Token, x.seen, until)
		if outcome != placement.Accepted {
			return outcome
		}
		way := w.oneWay(n.place(), e.place())
		e.WhenEnded(wait, func() {
			report = e.Report()
			if !w.reaches(n.place(), e.place()) || !e.Up {
				return
			}
			n.later(way, func() {
				if x.ended || gaveUp {
					return
				}
				answered = true
				x.clock, x.at = report.Clock, w.Now
				n.deliver(placement.Reported{Endpoint: x.Endpoint, Token: x.Token, Sent: sent, Received: w.Now, Report: report})
				n.askAgain(x, report.Ended)
			})
		})
		return outcome
	}, func(o placement.OrderOutcome) {
		if x.ended {
			return
		}
		if o == placement.Accepted {
			n.later(wait+w.Config.Timing.AnswerTimeout, func() {
				if !answered && !x.ended {
					gaveUp = true
					n.silence(x, placement.Unanswered)
				}
			})
			return
		}
		gaveUp = true
		n.silence(x, o)
	})
}

// askAgain acknowledges ends and asks for the next report. Ends that wait to be
// confirmed are looked at again after a moment.
func (n *Node) askAgain(x *watch, ended []workload.EndedRun) {
	if !x.ExplicitAcks {
		for _, end := range ended {
			x.seen = max(x.seen, end.Sequence)
		}
		n.ask(x, reportWait)
		return
	}
	pause := time.Duration(0)
	if len(ended) > 0 {
		pause = confirmWait
	}
	n.later(pause, func() {
		x.seen = max(x.seen, x.acknowledged)
		n.ask(x, reportWait)
	})
}

func (n *Node) silence(x *watch, o placement.OrderOutcome) {
	n.deliver(placement.Silent{Endpoint: x.Endpoint, Token: x.Token, Outcome: o})
	if o == placement.Fenced || o == placement.OtherLife {
		x.ended = true
		return
	}
	n.later(reportRetry, func() { n.ask(x, 0) })
}

// Leave begins a planned stop.
func (n *Node) Leave() { n.deliver(placement.Stop{}) }

// look asks an endpoint for one report at once.
func (n *Node) look(m placement.RequestReport) {
	sent := n.world.Now
	var report workload.Report
	n.order(m.Endpoint, n.world.Config.Timing.AnswerTimeout, func(e *Endpoint) placement.OrderOutcome {
		outcome := e.Hold(m.Token, 0, 0)
		report = e.Report()
		return outcome
	}, func(o placement.OrderOutcome) {
		if o == placement.Accepted {
			n.deliver(placement.Reported{Endpoint: m.Endpoint, Token: m.Token, Sent: sent, Received: n.world.Now, Report: report})
		}
	})
}
