// Package placement is the control state of an entry instance for jobs whose
// tasks need processors, memory and accelerators. It does no input or output of
// its own: Step takes inputs and the time and returns effects, so that the same
// inputs always lead to the same decisions.
//
// As home an instance owns the jobs that callers have handed to it and chooses
// a holder for each task. As holder it orders the endpoints that pkg/hold gives
// it, and is the only one that does: it knows exactly what is reserved there.
package placement

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/hold"
	"crocusseam/pkg/instance"
	"crocusseam/pkg/table"
	"crocusseam/pkg/workload"
)

// Config constructs a Control.
type Config struct {
	Self    instance.ID
	Domain  string
	Address netip.AddrPort // for peers
	Share   int            // relative size of the instance
	// FarFactor is how many times as long a task takes away from its data.
	FarFactor float64
	// LinkRate is the rate of the instance's own link in bytes a second; 0 is without
	// bound.
	LinkRate float64
	// Retention is how long the outcome of a stored job can be asked for.
	Retention time.Duration
	Seed      uint64
	Timing    Timing
}

// Timing holds the periods and bounds of the control systems.
type Timing struct {
	HeartbeatInterval time.Duration // between signs of life to peers
	AdvertPause       time.Duration // shortest time between adverts of room
	SuspectAfter      time.Duration // of a peer, after which it is suspected
	EchoTimeout       time.Duration // since the last message that a home has certainly received, after which its runs are stopped
	DeadAfter         time.Duration // of silence in links and rows, after which an instance is dead
	Lease             time.Duration // of what runs at an endpoint, on the endpoint's clock
	Settle            time.Duration // a new instance waits for others before it takes holds
	Established       time.Duration // uptime from which others yield to an instance
	MemberScan        time.Duration // between reads of the members' rows
	SuspectScan       time.Duration // the same while a member is suspected
	RowRenewal        time.Duration // between renewals of the own row while a member is suspected
	FirstStartTimeout time.Duration // for the answer to the first copy of a start order
	AnswerTimeout     time.Duration // for the answer to any other order
	StartRetries      int           // further copies of a start order that was not answered
	StopRetry         time.Duration // between copies of a stop order that was not answered
	MaxReportAge      time.Duration // of the last report, above which nothing starts at an endpoint
	MaxAbsence        time.Duration // a discovery entry may be absent before the endpoint is gone
	RetryAfter        time.Duration // shortest time that a refused caller is asked to wait
	MinLeaveTime      time.Duration // a planned stop goes on serving at least this long
	MaxLeaveTime      time.Duration // a planned stop ends after this at the latest
}

// DefaultTiming returns the timing that serves unless settings say otherwise.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: 150 * time.Millisecond,
		AdvertPause:       5 * time.Millisecond,
		SuspectAfter:      450 * time.Millisecond, // three beats
		EchoTimeout:       900 * time.Millisecond, // a silence in each direction
		DeadAfter:         700 * time.Millisecond, // two renewals of a row
		Lease:             time.Second,
		Settle:            time.Second,
		Established:       3 * time.Second,
		MemberScan:        2 * time.Second,
		SuspectScan:       400 * time.Millisecond,
		RowRenewal:        300 * time.Millisecond, // three within a term
		FirstStartTimeout: 60 * time.Millisecond,  // many round trips; a second copy does no harm
		AnswerTimeout:     150 * time.Millisecond,
		StartRetries:      1,
		StopRetry:         200 * time.Millisecond,
		MaxReportAge:      800 * time.Millisecond,
		MaxAbsence:        2500 * time.Millisecond, // entries lost in an outage are back after two seconds
		RetryAfter:        time.Second,
		MinLeaveTime:      2500 * time.Millisecond, // two missed readiness checks, one second apart
		MaxLeaveTime:      5 * time.Second,
	}
}

// clockDrift is the share by which an endpoint's clock may be slow.
const clockDrift = 0.02

// leaseEnd is how long after a renewal everything at an endpoint has certainly
// ended, by this instance's clock.
func (t Timing) leaseExpiry() time.Duration {
	return time.Duration(float64(t.Lease)*(1+clockDrift)) + stopTime
}

// stopTime is the longest time that an endpoint takes to stop a run.
const stopTime = 50 * time.Millisecond

// lossTerm is how long after the last sign of a holder, or after the placing of
// the run, its runs have certainly ended: the holder stops the runs of a home that
// has not confirmed a message for the Echo term, or its leases run out.
func (t Timing) holderLossTimeout() time.Duration {
	return t.EchoTimeout + t.StopRetry + t.leaseExpiry()
}

// Control is the control state of one instance. It is not safe for concurrent
// use: one goroutine owns it.
type Control struct {
	config   Config
	self     instance.ID
	began    time.Time
	now      time.Time
	random   *rand.Rand
	effects  []Effect
	counters Counters

	configuration    *workload.Configuration
	rawConfiguration []byte
	disabledRules    disabledRules
	uplink           uplink

	home          home
	holder        holder
	membership    membership
	recorder      recorder
	adoption      adoption
	keptOutcomes  keptOutcomes
	endpointList  endpointList
	stop          stopState
	stopStartedAt time.Time
	nextID        uint64
	commits       map[uint64]func(CommitDone)
	scans         map[uint64]func(ScanDone)
}

// checks switches off rules one at a time, to prove that tests notice.
type disabledRules struct {
	orphans, keptRefusals, storedMark bool
}

type stopState int

const (
	serving stopState = iota
	leaving
	stopped
)

// New returns the control state of an instance that has just started.
func New(config Config) *Control {
	c := &Control{
		config: config, self: config.Self, uplink: uplink{bytesPerSecond: config.LinkRate},
		random:  rand.New(rand.NewPCG(config.Seed, config.Self.Incarnation)),
		commits: make(map[uint64]func(CommitDone)),
		scans:   make(map[uint64]func(ScanDone)),
	}
	c.home = newHome()
	c.holder = newHolder(hold.Config{
		Self: config.Self, Domain: config.Domain, Share: config.Share,
		YieldRequestPeriod: yieldRequestInterval, YieldTerm: yieldTimeout,
	})
	c.membership = newMembership()
	c.recorder = newRecorder()
	c.keptOutcomes = newKeptOutcomes()
	c.endpointList = newEndpointList()
	c.adoption.unknownHomes, c.adoption.marks = make(map[instance.ID]time.Time), make(map[string][]mark)
	return c
}

// Step takes inputs in the order in which they came and returns what is to be
// done about them, and when it wants to be called again at the latest.
func (c *Control) Step(now time.Time, inputs []Input) ([]Effect, time.Time) {
	gap := now.Sub(c.now)
	c.now = now
	if c.began.IsZero() {
		c.began = now
		if c.config.Share == 0 {
			c.endpointList.refreshedAt = now.Add(noShareStartWait - listMaxAge)
		}
	} else if gap > c.config.Timing.SuspectAfter {
		c.handlePause(gap)
	}
	for _, in := range inputs {
		c.handleWithRecovery(in)
	}
	c.runMembership()
	c.runEndpointList()
	c.runHolds()
	c.runHolder()
	c.runHome()
	c.runAdoption()
	c.runKeptOutcomes()
	c.runCancels()
	c.runRecorder()
	c.sendAdverts()
	c.runStop()
	effects := c.effects
	c.effects = nil
	tick := c.config.Timing.HeartbeatInterval / busyStepsPerHeartbeat
	if c.home.jobs.Len() == 0 && c.holder.runs.Len() == 0 {
		tick = c.config.Timing.HeartbeatInterval / idleStepsPerHeartbeat
	}
	return effects, now.Add(tick)
}

// wake judges everything anew after the instance stood still: what it believes of
// others is as old as the gap, and what they placed here they have given up.
func (c *Control) handlePause(gap time.Duration) {
	c.orphanForeignRuns(gap)
	c.reverifyStored("this instance stood still")
	c.membership.nextMemberCheck = c.now
	c.checkMembers()
}

// Steps within a beat without any input, at least.
const (
	busyStepsPerHeartbeat = 7
	idleStepsPerHeartbeat = 3
)

func (c *Control) handleInput(in Input) {
	switch m := in.(type) {
	case Submit:
		c.submit(m)
	case Ask:
		c.answerState(m)
	case Cancel:
		c.cancel(m)
	case Count:
		c.reply(m.Handle, Answer{Status: Counted, Waiting: c.waitingJobs(m.Route)})
	case Abandon:
		c.abandon(m)
	case Configured:
		c.handleConfigured(m)
	case Listed:
		c.handleListed(m)
	case CommitDone:
		c.commitDone(m)
	case ScanDone:
		c.scanDone(m)
	case Reported:
		c.handleReported(m)
	case Silent:
		c.handleSilent(m)
	case StartDone:
		c.startDone(m)
	case StopDone:
		c.stopDone(m)
	case ProbeDone:
		c.probeDone(m)
	case PeerUp:
		c.handlePeerUp(m.Peer)
	case PeerDown:
		c.handlePeerDown(m.Peer)
	case Received:
		c.noteReceived(m.From, m.Envelope)
		c.handleMessage(m.From, m.Message)
	case Stop:
		c.beginStop()
	}
}

func (c *Control) handleMessage(from instance.ID, message Message) {
	switch m := message.(type) {
	case *PlaceRequest:
		c.handlePlaceRequest(from, m)
	case *Drop:
		c.handleDrop(from, m)
	case *RunEnded:
		c.handleRunEnded(from, m)
	case *Waiting:
		c.handleRunWaiting(from, m)
	case *Advert:
		c.handleAdvert(from, m)
	case *Heartbeat:
		c.handleHeartbeat(from, m)
	case *PeerConfiguration:
		c.handlePeerConfiguration(from, m)
	case *EndpointList:
		c.handleEndpointList(from, m)
	case *Yield:
		c.handleYield(from, m)
	case *Yielded:
		c.holder.registry.Yielded(m.Endpoint, m.Version)
		c.holder.planDue = c.now
	case *CancelJob:
		c.cancelLocal(m.ID)
	case *OutcomesRecorded:
		c.handleOutcomesRecorded(m)
	case *Inquire:
		c.handleInquire(from, m)
	case *InquiryAnswer:
		c.handleInquiryAnswer(from, m)
	}
}

func (c *Control) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Control) reply(h Handle, a Answer) { c.emit(Reply{Handle: h, Answer: a}) }

// send sends a message; what is meant for this instance itself is handled at
// once.
func (c *Control) send(to instance.ID, m Message) {
	if to == c.self {
		c.handleMessage(to, m)
		return
	}
	stamped := Envelope{Message: m, Sent: c.now.Sub(c.began)}
	if p, ok := c.membership.members.Get(to.Instance); ok && p.id == to {
		p.sentAt = c.now
		stamped.LastReceived = p.peerSent
	}
	c.emit(Send{Peer: to, Envelope: stamped})
}

func (c *Control) logEvent(event string, fields ...zap.Field) {
	c.emit(LogEvent{Event: event, Fields: fields})
}

func (c *Control) commitDone(m CommitDone) {
	if done, ok := c.commits[m.ID]; ok {
		delete(c.commits, m.ID)
		done(m)
	}
}

func (c *Control) scanDone(m ScanDone) {
	if done, ok := c.scans[m.ID]; ok {
		delete(c.scans, m.ID)
		done(m)
	}
}

func (c *Control) commit(e Commit, done func(CommitDone)) {
	c.nextID++
	e.ID = c.nextID
	c.commits[e.ID] = done
	c.emit(e)
}

func (c *Control) scan(prefix string, done func(ScanDone)) {
	c.nextID++
	c.scans[c.nextID] = done
	c.emit(Scan{ID: c.nextID, Prefix: prefix})
}

// configured takes a version that came into force. Versions only rise.
func (c *Control) handleConfigured(m Configured) {
	if c.configuration != nil && m.Configuration.Version <= c.configuration.Version {
		return
	}
	c.configuration, c.rawConfiguration = m.Configuration, m.Raw
	c.logEvent("configuration in force", zap.Uint64("Version", m.Configuration.Version), zap.Int("Routes", len(m.Configuration.Routes)))
}

// storeFirst is how long an instance that starts waits for the configuration of the
// store before it takes a peer's, which may be older than the one it had before.
const storeConfigurationWait = 800 * time.Millisecond

// offered takes a configuration that a peer has passed on. Peers offer it again.
func (c *Control) handlePeerConfiguration(from instance.ID, m *PeerConfiguration) {
	if c.configuration == nil && c.now.Sub(c.began) < storeConfigurationWait {
		c.logEvent("configuration of a peer left", zap.Stringer("Peer", from), zap.Uint64("Version", m.Version))
		return
	}
	c.emit(OfferConfiguration{From: from, Version: m.Version, Raw: m.Raw})
}

func (c *Control) configurationVersion() uint64 {
	if c.configuration == nil {
		return 0
	}
	return c.configuration.Version
}

func (c *Control) beginStop() {
	if c.stop != serving {
		return
	}
	c.stop, c.stopStartedAt = leaving, c.now
	c.holder.registry.Leave()
	c.holder.advertDue, c.holder.advertChanged = c.now, true
	c.membership.nextHeartbeat = c.now
	c.logEvent("planned stop begins", zap.Int("OpenJobs", c.home.jobs.Len()), zap.Int("Runs", c.holder.runs.Len()))
}

// runStop ends a planned stop once nothing is open here and siblings have had
// the time to take over, or its time is up.
func (c *Control) runStop() {
	if c.stop != leaving {
		return
	}
	elapsed := c.now.Sub(c.stopStartedAt)
	open := c.home.jobs.Len() > 0 || c.holder.runs.Len() > 0
	if elapsed < c.config.Timing.MinLeaveTime || (open && elapsed < c.config.Timing.MaxLeaveTime) {
		return
	}
	c.stop = stopped
	for _, j := range c.home.jobs.All() {
		if j.stored == nil {
			c.timeOut(j)
		}
	}
	c.logEvent("planned stop ends", zap.Duration("Elapsed", elapsed), zap.Int("OpenJobs", c.home.jobs.Len()), zap.Int("Runs", c.holder.runs.Len()))
	c.emit(Stopped{})
}

// Overview is what the traffic side needs to know of the control state.
type Overview struct {
	Ready   bool
	Version uint64 // of the configuration in force
	Jobs    int
	Runs    int
	Held    int
	Members int
	// ReadsList says that the instance is to read the list of endpoints.
	ReadsList bool
	Counters  Counters
}

// Overview returns a copy of the state for reports. An instance is ready when it
// has a configuration and some instance it hears offers endpoints.
func (c *Control) Overview() Overview {
	return Overview{
		Ready:   c.stop == serving && c.configuration != nil && c.anyCapacity(),
		Version: c.configurationVersion(), Jobs: c.home.jobs.Len(), Runs: c.holder.runs.Len(), Held: c.holder.held,
		Members: c.membership.members.Len(), ReadsList: c.endpointList.reading, Counters: c.counters,
	}
}

// Counters count what has happened since the start of the instance.
type Counters struct {
	Submitted         int64 // jobs handed in
	Completed         int64 // jobs answered as completed
	Failed            int64 // jobs answered as failed
	Refused           int64 // jobs refused
	TimedOut          int64 // jobs that ran out of time
	Abandoned         int64 // jobs whose caller left
	Late              int64 // jobs completed after their objective
	Placed            int64 // tasks sent to a holder
	Started           int64 // start orders sent for the first time
	RepeatedStarts    int64 // further copies of start orders
	Stops             int64 // stop orders sent
	Waited            int64 // runs that had to wait for room
	Retries           int64 // tasks started again after a failed run
	Lapsed            int64 // runs whose lease ran out
	Orphans           int64 // runs stopped because their home was silent
	FencedOrders      int64 // orders refused for a lower token
	HoldsTaken        int64 // endpoints taken
	HoldsYielded      int64 // endpoints yielded
	MembersLost       int64 // members found dead
	SilentEndpoints   int64 // endpoints that stopped reporting
	UnknownRuns       int64 // runs found at an endpoint that nobody here started
	FailedCommits     int64 // commits of holds and members without success
	StragglersStopped int64 // runs stopped because they made no progress
	Looks             int64 // reports asked for beside the watches
	Adopted           int64 // stored jobs taken over from homes that were gone
	Unexpected        int64 // unexpected errors that were contained
}

// taskRuns is a table of runs.
type runTable = table.Table[workload.Run, *run]
