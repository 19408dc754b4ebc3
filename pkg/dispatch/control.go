// Package dispatch is the control state of an entry instance: tables of jobs,
// endpoints and instances, and the systems that run over them. It does no
// input or output of its own. Step takes inputs and the time and returns
// effects, so that the same inputs always lead to the same decisions.
//
// An instance plays up to three parts. As home it owns the jobs that it has
// claimed. As owner it holds endpoints of its domain and is the only one that
// starts tasks there. As lead it matches the waiting tasks of all homes with
// the free slots of all owners. The lead has no say in safety: it may be wrong,
// late, doubled or away, and costs only time.
package dispatch

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"crocusseam/pkg/document"
	"crocusseam/pkg/routing"
	"crocusseam/pkg/table"
)

// Config constructs a Control.
type Config struct {
	Instance    string
	Incarnation uint64
	Domain      string
	Address     netip.AddrPort // for peers
	Callers     netip.AddrPort // for callers
	Capacity    int            // relative size of the instance
	Seed        uint64
	Timing      Timing
	// Document is in force until the table names another one. It may be nil.
	Document        *document.Document
	DocumentVersion uint64
}

// Timing holds the periods and bounds of the control systems.
type Timing struct {
	Heartbeat      time.Duration // between renewals of the instance's row
	Term           time.Duration // without a renewal, after which an instance counts as dead
	ClaimWait      time.Duration // longest wait for the answer to a claim
	OutcomeLinger  time.Duration // outcomes wait this long for company
	LeadBeat       time.Duration // between beats of the lead
	LeadSilence    time.Duration // without a beat, after which a home takes another lead
	PeerLoss       time.Duration // without a session, after which a peer's attempts are unknown
	StartWithin    time.Duration // an owner starts a placed task within this or never
	Retain         time.Duration // answered jobs stay in memory
	MaxDeadline    time.Duration // longest deadline of a submission
	Retention      time.Duration // claims stay in the table after their deadline
	ListPeriod     time.Duration // between reads of the platform's list
	WritesPerSec   float64       // budget of commits for claims and outcomes
	RowsPerCommit  int
	BreakerFails   int // failures in a row that open the breaker
	BreakerBackoff time.Duration
}

// DefaultTiming returns the timing that serves unless settings say otherwise.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:      time.Second,
		Term:           3 * time.Second,
		ClaimWait:      2 * time.Second,
		OutcomeLinger:  150 * time.Millisecond,
		LeadBeat:       200 * time.Millisecond,
		LeadSilence:    700 * time.Millisecond,
		PeerLoss:       5 * time.Second,
		StartWithin:    2 * time.Second,
		Retain:         30 * time.Second,
		MaxDeadline:    time.Hour,
		Retention:      24 * time.Hour,
		ListPeriod:     time.Second,
		WritesPerSec:   50,
		RowsPerCommit:  200,
		BreakerFails:   3,
		BreakerBackoff: 500 * time.Millisecond,
	}
}

// Control is the control state of one instance. It is not safe for concurrent
// use: one goroutine owns it.
type Control struct {
	config Config
	self   PeerID
	now    time.Time
	last   time.Time
	random *rand.Rand

	effects []Effect
	local   []Received // messages of this instance to itself

	document *document.Document
	hedging  bool // some class allows hedging
	shapes   *table.Table[netip.AddrPort, *routing.Shape]

	claims  claimWriter
	home    home
	owner   owner
	lead    lead
	roster  membership
	checks  checks
	counted Counters
	stop    stopState
}

// checks switches off rules one at a time, to prove that tests notice.
type checks struct {
	noClaim        bool
	noReadBack     bool
	noDigest       bool
	noAttemptLimit bool
	noDrain        bool
	noVersionCheck bool
}

type stopState int

const (
	running stopState = iota
	leaving
	stopped
)

// New returns the control state of an instance that has just started.
func New(config Config) *Control {
	c := &Control{
		config: config,
		self:   PeerID{Instance: config.Instance, Incarnation: config.Incarnation},
		random: rand.New(rand.NewPCG(config.Seed, config.Incarnation)),
		shapes: table.New[netip.AddrPort, *routing.Shape](),
	}
	c.claims = newClaimWriter()
	c.home = newHome()
	c.owner = newOwner()
	c.lead = newLead()
	c.roster = newMembership()
	if config.Document != nil {
		c.applyDocument(config.Document, config.DocumentVersion)
	}
	return c
}

// Step takes inputs in the order in which they came and returns what is to be
// done about them, and when it wants to be called again at the latest.
func (c *Control) Step(now time.Time, inputs []Input) ([]Effect, time.Time) {
	c.begin(now)
	for _, in := range inputs {
		c.handle(in)
		c.drainLocal()
	}
	c.runSystems()
	effects := c.effects
	c.effects = nil
	return effects, c.nextWake()
}

func (c *Control) begin(now time.Time) {
	if c.last.IsZero() {
		c.last = now
	}
	c.now = now
	if now.Sub(c.last) > c.config.Timing.Term/2 {
		c.afterPause()
	}
	c.last = now
}

// afterPause is called when the process stood still for so long that others
// may believe it dead. It gives up everything that rests on being alive.
func (c *Control) afterPause() {
	c.counted.Pauses++
	c.ownerAfterPause()
	c.membershipAfterPause()
}

func (c *Control) handle(in Input) {
	switch m := in.(type) {
	case Submit:
		c.submit(m)
	case Await:
		c.await(m)
	case Cancel:
		c.cancel(m)
	case Abandon:
		c.abandon(m)
	case CommitDone:
		c.commitDone(m)
	case GetDone:
		c.getDone(m)
	case ObjectDone:
		c.objectDone(m)
	case ScanDone:
		c.scanDone(m)
	case ListDone:
		c.listDone(m)
	case AttemptDone:
		c.attemptDone(m)
	case Received:
		c.receive(m)
	case PeerUp:
		c.peerUp(m.Peer)
	case PeerDown:
		c.peerDown(m.Peer)
	case Stop:
		c.beginStop()
	case Tick:
	}
}

func (c *Control) receive(m Received) {
	c.markLeadSeen(m.From)
	switch msg := m.Message.(type) {
	case *Announce:
		c.leadAnnounce(m.From, msg)
	case *Withdraw:
		c.leadWithdraw(m.From, msg)
	case *Return:
		c.leadReturn(msg)
	case *Supply:
		c.leadSupply(m.From, msg)
	case *Assign:
		c.handleAssign(m.From, msg)
	case *Beat:
		c.beaten(m.From, msg)
	case *Place:
		c.placed(m.From, msg)
	case *Drop:
		c.dropped(msg)
	case *Result:
		c.handleResult(m.From, msg)
	case *Acknowledge:
		c.acknowledged(m.From, msg)
	case *HoldRequest:
		c.holdRequested(m.From, msg)
	case *HoldGrant:
		c.holdGranted(m.From, msg)
	case *HoldFreed:
		c.holdFreed(msg)
	case *Attach:
		c.handleAttach(m.From, msg)
	case *AttachReply:
		c.handleAttachReply(msg)
	case *CancelJob:
		c.cancelJob(msg.Key)
	case *Relay:
		c.handleRelay(m.From, msg)
	case *RelayDone:
		c.handleRelayDone(m.From, msg)
	case *Forward:
		c.forwarded(m.From, msg)
	case *Goodbye:
		c.handleGoodbye(m.From)
	}
}

func (c *Control) drainLocal() {
	for len(c.local) > 0 {
		m := c.local[0]
		c.local = c.local[1:]
		c.receive(m)
	}
}

// runSystems runs every system once over its tables. The order follows the way
// of a job, so that a step carries it as far as it can go.
func (c *Control) runSystems() {
	c.runMembership()
	c.runClaims()
	c.runHome()
	c.drainLocal()
	c.runOwner()
	c.drainLocal()
	c.runLead()
	c.drainLocal()
	c.runReports()
	c.drainLocal()
	c.runStop()
}

// nextWake returns the time by which Step must be called even without inputs.
func (c *Control) nextWake() time.Time {
	wake := c.now.Add(c.config.Timing.LeadBeat / 2)
	wake = earlier(wake, c.claims.nextFlush)
	wake = earlier(wake, c.home.nextDue)
	wake = earlier(wake, c.roster.nextHeartbeat)
	if c.lead.dirty && c.lead.waiting.Len() > 0 {
		wake = earlier(wake, c.lead.nextMatch)
	}
	return later(wake, c.now.Add(time.Millisecond))
}

func earlier(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (c *Control) emit(e Effect) { c.effects = append(c.effects, e) }

// send sends a message to a peer, or to this instance itself.
func (c *Control) send(to PeerID, m Message) {
	if to == c.self {
		c.local = append(c.local, Received{From: c.self, Message: m})
		return
	}
	c.emit(Send{Peer: to, Message: m})
}

// jitter returns a uniformly random duration up to limit.
func (c *Control) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(c.random.Int64N(int64(limit)))
}

// beginStop begins a planned stop: no new work is accepted, and what is in
// flight finishes.
func (c *Control) beginStop() {
	if c.stop != running {
		return
	}
	c.stop = leaving
	c.roster.nextHeartbeat = c.now
	for id := range c.roster.sessions.All() {
		c.send(id, &Goodbye{})
	}
}

func (c *Control) runStop() {
	if c.stop != leaving {
		return
	}
	if !c.checks.noDrain && (c.home.openJobs > 0 || c.claims.busy() || c.owner.occupied > 0 || c.home.hasPendingAcks()) {
		return
	}
	c.stop = stopped
	c.emit(Stopped{})
}
