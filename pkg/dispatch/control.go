// Package dispatch is the control state of an entry instance: tables of jobs,
// endpoints and instances, and the systems that run over them. It does no
// input or output of its own. Step takes inputs and the time and returns
// effects, so that the same inputs always lead to the same decisions.
//
// An instance has up to three roles. As home it coordinates the jobs that it
// has claimed. As holder of endpoints in its domain it is the only instance
// that starts tasks there. As lead it matches the waiting tasks of all homes
// with the free slots of all holders. Safety doesn't depend on the lead: a lead
// that is wrong, late or absent, or a second lead, only delays tasks.
package dispatch

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"crocusseam/pkg/document"
	"crocusseam/pkg/routing"
	"crocusseam/pkg/table"
)

// Config holds the identity and the settings of a Control.
type Config struct {
	Instance    string
	Incarnation uint64
	Domain      string
	Address     netip.AddrPort // where peers connect
	Callers     netip.AddrPort // where callers connect
	Capacity    int            // relative to other instances of the domain
	Seed        uint64         // of the random numbers
	// MaxOpenBytes bounds the estimated memory of the jobs that the instance has accepted and not forgotten
	// yet; 0 means no limit.
	MaxOpenBytes int64
	Timing       Timing
	// Document is in force until the table names another one. It may be nil.
	Document        *document.Document
	DocumentVersion uint64
}

// Timing holds the periods and limits of the control systems.
type Timing struct {
	Heartbeat        time.Duration // interval between renewals of the instance's row
	MemberTimeout    time.Duration // an instance that hasn't renewed its row for this long counts as dead
	ClaimWait        time.Duration // longest wait for the result of a claim
	OutcomeLinger    time.Duration // an outcome waits this long for others to share its commit
	LeadHeartbeat    time.Duration // interval between heartbeats of the lead
	LeadTimeout      time.Duration // a home with waiting tasks replaces a lead that sends nothing for this long
	PeerTimeout      time.Duration // without a session for this long, attempts at a peer have outcome Unknown
	StartTimeout     time.Duration // a holder never starts an attempt that it received longer ago than this
	JobRetention     time.Duration // how long answered jobs stay in memory
	MaxDeadline      time.Duration // longest time from submission to deadline
	ClaimRetention   time.Duration // how long claims stay in the table after their deadline
	ListPeriod       time.Duration // interval between reads of the platform's instance list
	WritesPerSec     float64       // average limit of commits for claims and outcomes
	MaxRowsPerCommit int
	BreakerFailures  int           // consecutive platform failures that open the circuit breaker
	BreakerBackoff   time.Duration // first back-off of the open breaker; it doubles
}

// DefaultTiming returns the timing that is used unless settings override it.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:        time.Second,
		MemberTimeout:    3 * time.Second,
		ClaimWait:        2 * time.Second,
		OutcomeLinger:    150 * time.Millisecond,
		LeadHeartbeat:    200 * time.Millisecond,
		LeadTimeout:      700 * time.Millisecond,
		PeerTimeout:      5 * time.Second,
		StartTimeout:     2 * time.Second,
		JobRetention:     30 * time.Second,
		MaxDeadline:      time.Hour,
		ClaimRetention:   24 * time.Hour,
		ListPeriod:       time.Second,
		WritesPerSec:     50,
		MaxRowsPerCommit: 200,
		BreakerFailures:  3,
		BreakerBackoff:   500 * time.Millisecond,
	}
}

// Control is the control state of one instance. It is not safe for concurrent
// use: one goroutine owns it.
type Control struct {
	config   Config
	self     PeerID
	now      time.Time
	lastStep time.Time
	random   *rand.Rand

	effects       []Effect
	localMessages []Received // messages of this instance to itself

	document *document.Document
	hedging  bool                                         // some class of the document allows hedging
	shapes   *table.Table[netip.AddrPort, *routing.Shape] // of the document's endpoints

	claims       claimWriter
	home         home
	holder       holder
	lead         lead
	membership   membership
	ruleSwitches ruleSwitches
	counters     Counters
	stop         stopState
}

// ruleSwitches turns off single safety rules. Only tests set them, to prove that
// the fault matrix fails without the rule.
type ruleSwitches struct {
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
	c.holder = newHolder()
	c.lead = newLead()
	c.membership = newMembership()
	if config.Document != nil {
		c.applyDocument(config.Document, config.DocumentVersion)
	}
	return c
}

// Step applies inputs in the order in which they arrived. It returns the effects
// that the caller must perform and the latest time for the next call.
func (c *Control) Step(now time.Time, inputs []Input) ([]Effect, time.Time) {
	c.beginStep(now)
	for _, in := range inputs {
		c.handleInput(in)
		c.deliverLocal()
	}
	c.runSystems()
	effects := c.effects
	c.effects = nil
	return effects, c.nextWake()
}

func (c *Control) beginStep(now time.Time) {
	if c.lastStep.IsZero() {
		c.lastStep = now
	}
	c.now = now
	if now.Sub(c.lastStep) > c.config.Timing.MemberTimeout/2 {
		c.afterPause()
	}
	c.lastStep = now
}

// afterPause handles a pause of the process that was so long that others may
// count the instance as dead. It gives up all state that is valid only while
// the others count it as alive.
func (c *Control) afterPause() {
	c.counters.Pauses++
	c.holderAfterPause()
	c.membershipAfterPause()
}

// handleInput passes an input to its handler. A Tick has none: it only makes the step
// run in which it arrives.
func (c *Control) handleInput(in Input) {
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
		c.handleMessage(m)
	case PeerUp:
		c.peerUp(m.Peer)
	case PeerDown:
		c.peerDown(m.Peer)
	case Stop:
		c.beginStop()
	case Tick:
	}
}

func (c *Control) handleMessage(m Received) {
	c.markLeadSeen(m.From)
	switch msg := m.Message.(type) {
	case *Announce:
		c.handleAnnounce(m.From, msg)
	case *Withdraw:
		c.handleWithdraw(m.From, msg)
	case *ReturnAssignment:
		c.handleReturnAssignment(msg)
	case *Supply:
		c.handleSupply(m.From, msg)
	case *Assign:
		c.handleAssign(m.From, msg)
	case *Beat:
		c.handleBeat(m.From, msg)
	case *PlaceRequest:
		c.handlePlaceRequest(m.From, msg)
	case *Drop:
		c.dropped(msg)
	case *Result:
		c.handleResult(m.From, msg)
	case *Acknowledge:
		c.handleAcknowledge(m.From, msg)
	case *HoldRequest:
		c.handleHoldRequest(m.From, msg)
	case *HoldGrant:
		c.handleHoldGrant(m.From, msg)
	case *HoldFreed:
		c.handleHoldFreed(msg)
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
		c.handleForward(m.From, msg)
	case *Goodbye:
		c.handleGoodbye(m.From)
	}
}

func (c *Control) deliverLocal() {
	for len(c.localMessages) > 0 {
		m := c.localMessages[0]
		c.localMessages = c.localMessages[1:]
		c.handleMessage(m)
	}
}

// runSystems runs every system once over its tables. The order follows the
// lifecycle of a job, so that one step advances a job as far as possible.
func (c *Control) runSystems() {
	c.runMembership()
	c.runClaims()
	c.runHome()
	c.deliverLocal()
	c.runHolder()
	c.deliverLocal()
	c.runLead()
	c.deliverLocal()
	c.reportToLead()
	c.deliverLocal()
	c.runStop()
}

// nextWake returns the latest time of the next Step if no inputs arrive.
func (c *Control) nextWake() time.Time {
	wake := c.now.Add(c.config.Timing.LeadHeartbeat / 2)
	wake = earlier(wake, c.claims.nextFlush)
	wake = earlier(wake, c.home.nextDue)
	wake = earlier(wake, c.membership.nextHeartbeat)
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

// send sends a message to a peer. Messages to this instance itself skip the
// network.
func (c *Control) send(to PeerID, m Message) {
	if to == c.self {
		c.localMessages = append(c.localMessages, Received{From: c.self, Message: m})
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

// beginStop begins a planned stop: the instance accepts no new work and finishes
// the work in flight.
func (c *Control) beginStop() {
	if c.stop != running {
		return
	}
	c.stop = leaving
	c.membership.nextHeartbeat = c.now
	for id := range c.membership.sessions.All() {
		c.send(id, &Goodbye{})
	}
}

func (c *Control) runStop() {
	if c.stop != leaving {
		return
	}
	if !c.ruleSwitches.noDrain && (c.home.openJobs > 0 || c.claims.busy() || c.holder.occupied > 0 || c.home.hasPendingAcks()) {
		return
	}
	c.stop = stopped
	c.emit(Stopped{})
}
