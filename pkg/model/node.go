package model

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/placement"
	"crocusseam/pkg/workload"
)

// Node simulates the process of an instance around its control state.
type Node struct {
	ID     instance.ID
	Domain string
	Share  int // relative size
	Up     bool
	Paused bool
	// LogEvents counts the log events of the control state by name.
	LogEvents map[string]int
	Control   *placement.Control
	// Prepare, if set, is called with each new control state.
	Prepare func(*placement.Control)
	// FeedSilent says that the instance's feed of the operator's rows brings nothing.
	FeedSilent bool
	// FeedRenewals counts the renewals of that feed.
	FeedRenewals int
	// ConfiguredAt holds the times at which configurations reached the instance, by version.
	ConfiguredAt map[uint64]time.Time
	// CloseDelay is how long the process runs before it reads that a caller has closed its
	// connection. A pause begins it anew.
	CloseDelay time.Duration
	// ReceivedConfigurations counts the bytes of configurations received from peers.
	ReceivedConfigurations int64

	world      *World
	inputs     []placement.Input
	stepping   bool
	wakeAt     time.Time
	lastHandle uint64
	callers    map[placement.Handle]*Outcome
	closed     []placement.Handle // callers' requests whose close has not been read
	pauses     int                // so that timers of before a pause do nothing
	answers    map[placement.Handle]func(placement.Answer)
	sessions   map[instance.ID]bool
	watches    map[string]*watch
	up, down   link
	onWake     []func() // what came due during a pause
	generation int      // incremented at each start and kill, so that older timers do nothing
}

// watch is the watch of an endpoint by an instance, with the state of its reports.
type watch struct {
	placement.Watch
	ackSequence   int64         // sent with the next report request; 0 acknowledges nothing
	confirmedAck  int64         // the last one that was sent with an answered request
	acknowledged  int64         // by the control state
	endpointClock time.Duration // in the last report
	clockReadAt   time.Time     // when that report came
	cancelled     bool
}

// AddNode starts an instance in a failure domain.
func (w *World) AddNode(domain string) *Node {
	n := &Node{world: w, Domain: domain, Share: 1, LogEvents: make(map[string]int)}
	n.ID.Instance = fmt.Sprintf("%s-%d", domain, len(w.Nodes)+1)
	w.Nodes = append(w.Nodes, n)
	n.Start()
	return n
}

func (n *Node) location() location { return location{n.ID.Instance, n.Domain} }

// Start starts the instance's process in a new incarnation.
func (n *Node) Start() {
	n.generation++
	n.ID.Incarnation = uint64(n.world.Now.UnixNano())
	n.Up, n.Paused, n.inputs, n.stepping = true, false, nil, false
	n.callers, n.closed = make(map[placement.Handle]*Outcome), nil
	n.answers = make(map[placement.Handle]func(placement.Answer))
	n.sessions = make(map[instance.ID]bool)
	n.watches = make(map[string]*watch)
	n.ConfiguredAt = make(map[uint64]time.Time)
	n.Control = placement.New(placement.Config{
		Self: n.ID, Domain: n.Domain, Address: netip.MustParseAddrPort("127.0.0.1:1"), Share: n.Share,
		Seed: n.world.Config.Seed, Timing: n.world.Config.Timing, Retention: n.world.Config.Retention,
		OverloadControl: n.world.Config.OverloadControl, AdaptivePlacement: n.world.Config.AdaptivePlacement,
		LinkRate: n.up.rate, ColdOver: n.world.Config.ColdOver, ColdSlack: n.world.Config.ColdSlack, MaxStoredJobs: n.world.Config.MaxStoredJobs, EvacuationBound: n.world.Config.EvacuationBound,
		MaxStoredBytes: n.world.Config.MaxStoredBytes, MaxOpenBytes: n.world.Config.MaxOpenBytes, MaxRunBytes: n.world.Config.MaxRunBytes,
	})
	if n.Prepare != nil {
		n.Prepare(n.Control)
	}
	n.deliver(placement.Configured{Configuration: &workload.Configuration{Version: 1, Services: n.world.Config.Services}})
	n.followConfiguration()
	n.followEvacuations()
	n.discover(n.generation)
}

// Kill ends the instance's process and its sessions. Its callers get no answer.
func (n *Node) Kill() {
	n.Up = false
	n.generation++
	for _, x := range n.watches {
		x.cancelled = true // an endpoint may still answer its last request
	}
	for _, o := range n.world.Nodes {
		if o != n {
			o.loseSession(n)
		}
	}
	for _, h := range slices.Sorted(maps.Keys(n.callers)) { // resends draw random numbers
		n.callers[h].loseConnection(n.world.Now)
	}
}

// DisconnectCaller breaks the connection of the caller of a job.
func (n *Node) DisconnectCaller(o *Outcome) {
	for h, waiting := range n.callers {
		if waiting == o {
			delete(n.callers, h)
			o.CallerDisconnected = true
			n.closed = append(n.closed, h)
		}
	}
	n.readClosesLater()
}

// readClosesLater reads after CloseDelay which callers have left, unless the process is paused
// before then.
func (n *Node) readClosesLater() {
	if n.CloseDelay == 0 {
		n.readCloses()
		return
	}
	if n.Paused || len(n.closed) == 0 {
		return
	}
	pauses := n.pauses
	n.later(n.CloseDelay, func() {
		if n.pauses == pauses {
			n.readCloses()
		}
	})
}

// readCloses tells the control state of all callers that have closed their connections.
func (n *Node) readCloses() {
	closed := n.closed
	n.closed = nil
	for _, h := range closed {
		n.deliver(placement.Abandon{Handle: h})
	}
}

// Pause pauses the instance's process for a while. Its sessions stay open.
func (n *Node) Pause(span time.Duration) {
	n.Paused = true
	n.pauses++
	n.world.After(span, func() {
		n.Paused = false
		due := n.onWake
		n.onWake = nil
		for _, do := range due {
			do()
		}
		n.schedule()
		n.readClosesLater()
	})
}

// deliver passes an input to the control state, unless the process is down.
func (n *Node) deliver(in placement.Input) {
	if !n.Up {
		return
	}
	n.inputs = append(n.inputs, in)
	n.schedule()
}

// schedule schedules a step of the control state at the present time, so that one
// step takes all inputs that arrive at that time.
func (n *Node) schedule() {
	if n.stepping || n.Paused || !n.Up {
		return
	}
	n.stepping = true
	generation := n.generation
	n.world.After(0, func() {
		if n.generation != generation {
			return
		}
		n.stepping = false
		if !n.Paused {
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
	generation := n.generation
	n.world.After(next.Sub(n.world.Now), func() {
		if n.generation == generation {
			n.schedule()
		}
	})
}

// later calls do after some time, unless the process was killed or restarted
// meanwhile.
func (n *Node) later(wait time.Duration, do func()) {
	generation := n.generation
	n.world.After(wait, func() {
		if n.generation == generation {
			do()
		}
	})
}

func (n *Node) perform(e placement.Effect) {
	w := n.world
	switch m := e.(type) {
	case placement.LogEvent:
		n.LogEvents[m.Event]++
		if w.Config.Log != nil {
			w.Config.Log(n, m)
		}
	case placement.Reply:
		if o, ok := n.callers[m.Handle]; ok {
			delete(n.callers, m.Handle)
			o.Answered, o.Answer = w.Now, m.Answer
			if o.retry != nil && m.Answer.Status == placement.Refused {
				o.retry(m.Answer.RetryAfter)
			}
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
		n.requestReport(m)
	case placement.Acknowledge:
		if x, ok := n.watches[m.Endpoint.Name]; ok && x.Endpoint == m.Endpoint && x.Token == m.Token {
			x.acknowledged = max(x.acknowledged, m.Upto)
		}
	case placement.Unwatch:
		if x, ok := n.watches[m.Endpoint.Name]; ok {
			x.cancelled = true
			delete(n.watches, m.Endpoint.Name)
		}
	case placement.Start:
		n.order(m.Endpoint, orderTimeout, w.Config.LifeConnections, func(x *Endpoint) placement.OrderOutcome { return x.Start(&m) }, func(o placement.OrderOutcome, r placement.ClockReading) {
			n.deliver(placement.StartDone{Endpoint: m.Endpoint, Token: m.Token, Run: m.Run, Copy: m.Copy, Outcome: o, Reading: r})
		})
	case placement.StopRun:
		n.order(m.Endpoint, w.Config.Timing.AnswerTimeout, false, func(x *Endpoint) placement.OrderOutcome { return x.Stop(&m) }, func(o placement.OrderOutcome, r placement.ClockReading) {
			n.deliver(placement.StopDone{Endpoint: m.Endpoint, Token: m.Token, Run: m.Run, Outcome: o, Reading: r})
		})
	case placement.Probe:
		x := w.endpoint(m.Endpoint)
		reachable := x != nil && x.Up && w.reaches(n.location(), x.location())
		n.later(2*w.Config.BetweenDomains, func() { n.deliver(placement.ProbeDone{Endpoint: m.Endpoint.Name, Reachable: reachable}) })
	case placement.OfferConfiguration:
		n.offered(m)
	case placement.RenewFeed:
		n.FeedRenewals++
		n.followEvacuations()
	case placement.CheckCallers:
		n.readCloses()
		n.deliver(placement.CallersChecked{At: w.Now})
	case placement.Commit:
		w.Store.commit(n, m)
	case placement.Scan:
		w.Store.scan(n, m)
	}
}

func (n *Node) send(m placement.Send) {
	w := n.world
	o := w.peer(m.Peer)
	if o == nil || !n.sessions[m.Peer] || w.silent[[2]string{n.ID.Instance, o.ID.Instance}] {
		return
	}
	from := n.ID
	transfer := w.transfer(n, o, m.Envelope)
	if transfer > writeDeadline {
		n.later(writeDeadline, func() {
			if o.ID == m.Peer && n.sessions[m.Peer] {
				n.loseSession(o)
				o.loseSession(n)
			}
		})
		return
	}
	w.After(w.oneWay(n.location(), o.location())+transfer+w.messageDelay(n, o), func() {
		if o.ID == m.Peer && o.sessions[from] && w.reaches(n.location(), o.location()) {
			if part, ok := m.Message.(*placement.ConfigurationPart); ok {
				o.ReceivedConfigurations += int64(len(part.Data))
			}
			o.deliver(placement.Received{From: from, Envelope: m.Envelope})
		}
	})
}

// dial sets up a session with a peer and retries until there is one. Of two
// instances the one with the later incarnation dials, or at the same incarnation the
// one whose name sorts first.
func (n *Node) dial(id instance.ID) {
	w := n.world
	if n.sessions[id] || id.Incarnation > n.ID.Incarnation || (id.Incarnation == n.ID.Incarnation && id.Instance < n.ID.Instance) {
		return
	}
	o := w.peer(id)
	if o == nil || !o.Up || o.Paused || !w.reaches(n.location(), o.location()) {
		n.later(redialDelay, func() { n.dial(id) })
		return
	}
	n.later(2*w.oneWay(n.location(), o.location()), func() {
		if o.ID != id || !o.Up || n.sessions[id] || !w.reaches(n.location(), o.location()) {
			return
		}
		n.sessions[id], o.sessions[n.ID] = true, true
		w.setSilent(n, o, false)
		n.deliver(placement.PeerUp{Peer: id})
		o.deliver(placement.PeerUp{Peer: n.ID})
	})
}

// loseSession ends a session at this instance, and lets both dial again.
func (n *Node) loseSession(o *Node) {
	if !n.sessions[o.ID] {
		return
	}
	delete(n.sessions, o.ID)
	n.deliver(placement.PeerDown{Peer: o.ID})
	id := o.ID
	n.later(redialDelay, func() { n.dial(id) })
	other := n.ID
	o.later(redialDelay, func() { o.dial(other) })
}

// discover reads the endpoint list in each discovery period.
func (n *Node) discover(generation int) {
	if n.generation != generation {
		return
	}
	w := n.world
	if w.Store.serves(n) && n.Control.Overview().ReadsList {
		var list []workload.Endpoint
		for _, x := range w.Endpoints {
			if x.Listed {
				e := x.Info
				if !x.Cold() {
					e.ColdUntil = 0
				}
				e.Version = uint64(w.Now.UnixNano())
				list = append(list, e)
			}
		}
		n.deliver(placement.Listed{Endpoints: list})
	}
	period := discoveryPeriod
	if !n.Control.Overview().ReadsList {
		period = readerCheckPeriod
	}
	w.After(period, func() { n.discover(generation) })
}

// order sends an order to an endpoint, subject to the network's cuts and the
// endpoint's faults, and calls done with the outcome. An order without an answer
// has the outcome Unanswered after the timeout. One that is only for a life reaches no other one.
func (n *Node) order(id workload.EndpointID, timeout time.Duration, onlyForLife bool, do func(*Endpoint) placement.OrderOutcome, done func(placement.OrderOutcome, placement.ClockReading)) {
	w := n.world
	x := w.endpoint(id)
	sent := w.Now
	unanswered := func() {
		n.later(timeout, func() { done(placement.Unanswered, placement.ClockReading{Sent: sent, Received: w.Now}) })
	}
	if x == nil || !x.Up || !w.reaches(n.location(), x.location()) {
		unanswered()
		return
	}
	delay := w.oneWay(n.location(), x.location())
	if x.OrderIsLate() {
		w.After(x.LateBy, func() { do(x) })
		unanswered()
		return
	}
	lost := x.AnswerIsLost()
	w.After(delay, func() {
		outcome, clock := placement.OtherLife, x.Clock()
		if !onlyForLife || x.Info.ID == id {
			outcome = do(x)
		}
		if lost || !w.reaches(n.location(), x.location()) {
			unanswered()
			return
		}
		n.later(delay, func() { done(outcome, placement.ClockReading{Clock: clock, Sent: sent, Received: w.Now}) })
	})
}

func (n *Node) startWatch(m placement.Watch) {
	if x, ok := n.watches[m.Endpoint.Name]; ok {
		if x.Endpoint == m.Endpoint && x.Token == m.Token {
			x.Renew, x.RenewUntil, x.ExplicitAcks = m.Renew, m.RenewUntil, m.ExplicitAcks
			return
		}
		x.cancelled = true
	}
	x := &watch{Watch: m}
	n.watches[m.Endpoint.Name] = x
	n.pollReport(x, 0)
}

// pollReport requests a report, which the endpoint answers when a run has ended or
// the wait is over, and then polls again.
func (n *Node) pollReport(x *watch, wait time.Duration) {
	w := n.world
	if x.cancelled {
		return
	}
	if n.Paused {
		generation := n.generation
		n.onWake = append(n.onWake, func() {
			if n.generation == generation {
				n.pollReport(x, wait)
			}
		})
		return
	}
	sent := w.Now
	until := time.Duration(0)
	if end, ok := x.LeaseEnd(sent, w.Config.Timing.Lease); ok && !x.clockReadAt.IsZero() {
		until = x.endpointClock + end.Sub(x.clockReadAt)
	}
	var report workload.Report
	var reportReady, accepted, answered, gaveUp bool
	var life workload.EndpointID // that answers
	receive := func() {
		if x.cancelled || gaveUp {
			return
		}
		if life != x.Endpoint {
			gaveUp = true
			n.handleNoReport(x, placement.OtherLife)
			return
		}
		answered = true
		x.endpointClock, x.clockReadAt = report.Clock, w.Now
		x.confirmedAck = max(x.confirmedAck, x.ackSequence)
		x.ackSequence = 0
		n.deliver(placement.Reported{Endpoint: x.Endpoint, Token: x.Token, Sent: sent, Received: w.Now, Report: report})
		n.pollAgain(x, report.Ended)
	}
	n.order(x.Endpoint, w.Config.Timing.AnswerTimeout, false, func(e *Endpoint) placement.OrderOutcome {
		outcome := e.AcknowledgeAndRenew(x.Token, x.ackSequence, until)
		if outcome != placement.Accepted {
			return outcome
		}
		delay := w.oneWay(n.location(), e.location())
		life = e.Info.ID
		e.WhenEnded(wait, func() {
			report = e.Report()
			if !w.reaches(n.location(), e.location()) || !e.Up {
				return
			}
			reportReady = true
			if accepted {
				n.later(delay, receive)
			}
		})
		return outcome
	}, func(o placement.OrderOutcome, _ placement.ClockReading) {
		if x.cancelled || answered {
			return
		}
		if o == placement.Accepted {
			accepted = true
			if reportReady {
				receive()
				return
			}
			n.later(wait+w.Config.Timing.AnswerTimeout, func() {
				if !answered && !x.cancelled {
					gaveUp = true
					n.handleNoReport(x, placement.Unanswered)
				}
			})
			return
		}
		gaveUp = true
		n.handleNoReport(x, o)
	})
}

// pollAgain requests the next report and acknowledges ended runs with it that are not
// acknowledged yet: all of the last report, or on a watch with confirmation those that the control state has
// acknowledged. In that case it waits confirmWait, so that a report with ended runs
// isn't requested again at once.
func (n *Node) pollAgain(x *watch, ended []workload.EndedRun) {
	if !x.ExplicitAcks {
		for _, end := range ended {
			x.acknowledge(end.Sequence)
		}
		n.pollReport(x, reportWait)
		return
	}
	pause := time.Duration(0)
	if len(ended) > 0 {
		pause = confirmWait
	}
	n.later(pause, func() {
		x.acknowledge(x.acknowledged)
		n.pollReport(x, reportWait)
	})
}

// acknowledge lets the next report request acknowledge ended runs, unless an answered one has
// done so.
func (x *watch) acknowledge(upto int64) {
	if upto > x.confirmedAck {
		x.ackSequence = max(x.ackSequence, upto)
	}
}

// handleNoReport notifies the control state of a failed report request and retries
// it, unless the endpoint has another holder or incarnation. The next incarnation may answer
// the retry, so it acknowledges nothing.
func (n *Node) handleNoReport(x *watch, o placement.OrderOutcome) {
	x.ackSequence = 0
	n.deliver(placement.Silent{Endpoint: x.Endpoint, Token: x.Token, Outcome: o})
	if o == placement.Fenced || o == placement.OtherLife {
		x.cancelled = true
		return
	}
	n.later(reportRetry, func() { n.pollReport(x, 0) })
}

// BeginPlannedStop begins a planned stop of the instance.
func (n *Node) BeginPlannedStop() { n.deliver(placement.Stop{}) }

// requestReport requests a single report, which the endpoint answers at once.
func (n *Node) requestReport(m placement.RequestReport) {
	sent := n.world.Now
	var report workload.Report
	n.order(m.Endpoint, n.world.Config.Timing.AnswerTimeout, false, func(e *Endpoint) placement.OrderOutcome {
		outcome := e.AcknowledgeAndRenew(m.Token, 0, 0)
		report = e.Report()
		if outcome == placement.Accepted && e.Info.ID != m.Endpoint {
			return placement.OtherLife
		}
		return outcome
	}, func(o placement.OrderOutcome, _ placement.ClockReading) {
		switch o {
		case placement.Accepted:
			n.deliver(placement.Reported{Endpoint: m.Endpoint, Token: m.Token, Sent: sent, Received: n.world.Now, Report: report})
		case placement.OtherLife:
			n.deliver(placement.Silent{Endpoint: m.Endpoint, Token: m.Token, Outcome: o})
		default:
		}
	})
}
