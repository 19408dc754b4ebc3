// Package placement is the control state of an entry instance for jobs whose
// tasks need processors, memory and accelerators. It does no input or output of
// its own: Step takes inputs and the time and returns effects, so that the same
// inputs always lead to the same decisions.
//
// An instance has two roles. As home it coordinates the jobs that callers have
// submitted to it and chooses a holder for each task. As holder it starts and stops
// runs at the endpoints that pkg/hold assigns to it. Each endpoint has only one
// holder, which therefore knows exactly what is reserved there.
package placement

import (
	"cmp"
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
	Address netip.AddrPort // where peers reach the instance
	Share   int            // relative weight; 0 holds endpoints only if all in its domain are 0
	// FarFactor multiplies the estimate of a task that runs away from its data.
	FarFactor float64
	// LinkRate is the bandwidth of the instance's uplink in bytes a second; 0 means
	// unlimited.
	LinkRate float64
	// ColdOver above 0 limits the starts at cold endpoints to the rate of their service, which
	// ColdSlack starts may exceed.
	ColdOver  float64
	ColdSlack float64
	// AdaptivePlacement switches on the rules of the adaptive type.
	AdaptivePlacement bool
	// Retention is how long callers can ask for the outcome of a stored job.
	Retention time.Duration
	// MaxStoredJobs bounds the open stored jobs of the instance, accepted and adopted ones; 0 means
	// the default.
	MaxStoredJobs int
	// MaxRunBytes bounds the estimated memory of the ended runs that the instance keeps as a holder, and
	// of the tasks that it places as a home, see run_limits.go; 0 means no limit.
	MaxRunBytes int64
	// EvacuationBound is the time within which nothing may start any more in a failure domain that
	// the operator evacuates. Above 0 nothing starts before the evacuated domains are known.
	EvacuationBound time.Duration
	// MaxStoredBytes bounds the estimated memory of these jobs, and MaxOpenBytes that of the
	// ephemeral jobs that wait for their answer; 0 means no limit.
	MaxStoredBytes int64
	MaxOpenBytes   int64
	// SmallJobsShare is the part of both that large jobs leave to small ones: 5 stands for a fifth, 0
	// for nothing.
	SmallJobsShare int
	Seed           uint64
	Timing         Timing
	// OverloadControl orders waiting work by its urgency and admits only jobs that can end in
	// time, see overload.go.
	OverloadControl bool
}

// Timing holds the intervals and timeouts of a Control.
type Timing struct {
	HeartbeatInterval time.Duration // between heartbeats to a peer
	AdvertPause       time.Duration // shortest time between two adverts
	SuspectAfter      time.Duration // without a message from a peer until it is suspected
	EchoTimeout       time.Duration // since the last message that a home has confirmed, until its holders stop its runs
	DeadAfter         time.Duration // without messages and row renewals until an instance counts as dead
	Lease             time.Duration // of the runs at an endpoint, on the endpoint's clock
	ResubmitAfter     time.Duration // after which callers without an answer submit a job again
	Settle            time.Duration // that a new instance waits for other members before it takes holds
	Established       time.Duration // uptime from which other holders yield endpoints to an instance
	MemberScan        time.Duration // between scans of the members' rows
	SuspectScan       time.Duration // between these scans while a member is suspected
	RowRenewal        time.Duration // between renewals of the instance's own row while it suspects a member
	FirstStartTimeout time.Duration // for the answer to the first copy of a start order
	AnswerTimeout     time.Duration // for the answer to any other order
	StartRetries      int           // further copies of a start order that was not answered
	StopRetry         time.Duration // between copies of a stop order that was not answered
	MaxReportAge      time.Duration // of an endpoint's last report; above it nothing starts there
	MaxAbsence        time.Duration // from discovery until an endpoint counts as gone
	RetryAfter        time.Duration // shortest time that a refused caller is asked to wait before it tries again
	MinLeaveTime      time.Duration // shortest duration of a planned stop
	MaxLeaveTime      time.Duration // longest duration of a planned stop
}

// DefaultTiming returns the timing to use where the settings give none.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: 150 * time.Millisecond,
		AdvertPause:       5 * time.Millisecond,
		SuspectAfter:      450 * time.Millisecond, // three heartbeats
		EchoTimeout:       900 * time.Millisecond, // SuspectAfter in each direction
		DeadAfter:         700 * time.Millisecond, // two renewals of a row
		Lease:             time.Second,
		ResubmitAfter:     1300 * time.Millisecond,
		Settle:            time.Second,
		Established:       3 * time.Second,
		MemberScan:        2 * time.Second,
		SuspectScan:       400 * time.Millisecond,
		RowRenewal:        300 * time.Millisecond, // up to three within DeadAfter
		FirstStartTimeout: 60 * time.Millisecond,  // many round trips; a second copy of the order is harmless
		AnswerTimeout:     150 * time.Millisecond,
		StartRetries:      1,
		StopRetry:         200 * time.Millisecond,
		MaxReportAge:      800 * time.Millisecond,
		MaxAbsence:        2500 * time.Millisecond, // entries that lapse in an outage return after two seconds
		RetryAfter:        time.Second,
		MinLeaveTime:      2500 * time.Millisecond, // two missed readiness checks, one second apart
		MaxLeaveTime:      5 * time.Second,
	}
}

// clockDrift is the largest fraction by which an endpoint's clock may run slow.
const clockDrift = 0.02

// leaseExpiry returns the time after a lease renewal, on this instance's clock, by
// which every run at the endpoint has certainly ended.
func (t Timing) leaseExpiry() time.Duration {
	return time.Duration(float64(t.Lease)*(1+clockDrift)) + stopTime
}

// maxUnconfirmed returns the time for which runs may go on after it was last known that their
// callers wait. Their leases have certainly expired before the callers submit the jobs again,
// on the slowest clock, read as long ago as a report may be.
func (t Timing) maxUnconfirmed() time.Duration {
	return time.Duration(float64(t.ResubmitAfter)/(1+clockDrift)-clockDrift*float64(t.MaxReportAge)) - messageTime
}

// returnSlack returns the longest pause of a home after which it may place tasks at once: callers
// that left meanwhile come back when leases that are granted now have expired.
func (t Timing) returnSlack() time.Duration { return t.maxUnconfirmed() - t.Lease }

// messageTime is allowed for a message or an order on its way.
const messageTime = 30 * time.Millisecond

// stopTime is the longest time that an endpoint takes to stop a run.
const stopTime = 50 * time.Millisecond

// holderLossTimeout returns the time after a holder's last message, or after a run
// was placed if that is later, by which the holder's runs have certainly ended: the
// holder stops the runs of a home that confirms no message within EchoTimeout, and
// if the holder has failed its leases expire.
func (t Timing) holderLossTimeout() time.Duration {
	return t.EchoTimeout + t.StopRetry + t.leaseExpiry()
}

// unreachedTimeout returns the time after which no run of an earlier holder is left at an endpoint
// that no instance reaches, and none can start there.
func (t Timing) unreachedTimeout() time.Duration { return t.holderLossTimeout() + lateOrderWindow }

// Control is the control state of one instance. It is not safe for concurrent
// use: one goroutine owns it.
type Control struct {
	config   Config
	self     instance.ID
	began    time.Time
	now      time.Time
	random   *rand.Rand
	effects  []Effect
	logged   int // events of the present step
	counters Counters

	disabledRules disabledRules
	adaptive      adaptive
	uplink        uplink

	configuration configuration
	evacuation    evacuation
	home          home
	holder        holder
	membership    membership
	directory     directory
	recorder      recorder
	adoption      adoption
	keptOutcomes  keptOutcomes
	endpointList  endpointList
	cancelNotices cancelNotices
	sweep         sweep
	overload      overload
	stop          stopState
	stopStartedAt time.Time
	nextID        uint64
	commits       map[uint64]func(CommitDone)
	scans         map[uint64]func(ScanDone)
}

// disabledRules says which rules tests have disabled, to check that some test fails
// without each of them.
type disabledRules struct {
	orphans, keptRefusals, storedMark, directory, evacuation bool
}

type stopState int

const (
	serving stopState = iota
	leaving
	stopped
)

// New returns the control state of an instance that has just started.
func New(config Config) *Control {
	config.MaxStoredJobs = cmp.Or(config.MaxStoredJobs, maxStoredJobs)
	c := &Control{
		config: config, self: config.Self, uplink: uplink{bytesPerSecond: config.LinkRate},
		random:  rand.New(rand.NewPCG(config.Seed, config.Self.Incarnation)),
		commits: make(map[uint64]func(CommitDone)),
		scans:   make(map[uint64]func(ScanDone)),
	}
	c.adaptive = newAdaptive(config.AdaptivePlacement)
	c.configuration = newConfiguration()
	c.evacuation = newEvacuation()
	c.home = newHome()
	c.holder = newHolder(hold.Config{
		Self: config.Self, Domain: config.Domain, Share: config.Share,
		YieldRequestPeriod: yieldRequestInterval, YieldTerm: yieldTimeout,
	})
	c.membership = newMembership()
	c.directory = newDirectory()
	c.recorder = newRecorder()
	c.keptOutcomes = newKeptOutcomes()
	c.endpointList = newEndpointList()
	c.cancelNotices = newCancelNotices()
	c.overload = newOverload()
	c.adoption.unknownHomes, c.adoption.unsettled, c.sweep.marks = make(map[instance.ID]time.Time), make(map[string]time.Time), make(map[string][]mark)
	c.adoption.inProgress, c.adoption.scannedAt = make(map[workload.JobID]bool), make(map[string]time.Time)
	return c
}

// Step processes inputs in the order in which they arrived. It returns the effects
// to perform and the latest time of the next call.
func (c *Control) Step(now time.Time, inputs []Input) ([]Effect, time.Time) {
	gap := now.Sub(c.now)
	c.now = now
	c.noteLoopDelay()
	if c.began.IsZero() {
		c.began, c.home.callers.confirmedAt = now, now
		if c.config.Share == 0 {
			c.endpointList.refreshedAt = now.Add(noShareStartWait - listMaxAge)
		}
	} else {
		c.noteGap(gap)
	}
	for _, in := range inputs {
		c.handleWithRecovery(in)
	}
	c.runMembership()
	c.runConfiguration()
	c.runEndpointList()
	c.runHolds()
	c.runHolder()
	c.runDirectory()
	c.runHome()
	c.runAdoption()
	c.runKeptOutcomes()
	c.runCancels()
	c.runCancelNotices()
	c.runAudit()
	c.runRecorder()
	c.sendAdverts()
	c.runStop()
	c.runCallerCheck()
	effects := c.effects
	c.effects, c.logged, c.home.waitingNow = nil, 0, nil
	tick := c.config.Timing.HeartbeatInterval / busyStepsPerHeartbeat
	if c.home.jobs.Len() == 0 && c.holder.runs.Len() == 0 {
		tick = c.config.Timing.HeartbeatInterval / idleStepsPerHeartbeat
	}
	next := now.Add(tick)
	if due := c.home.registerDue; !due.IsZero() && due.Before(next) {
		next = due
	}
	if due := c.callerCheckDue(); due.Before(next) && !c.home.callers.pending {
		next = due
	}
	c.overload.nextStep = next
	return effects, next
}

// handlePause re-evaluates the state after the process was paused: what it knows of
// other instances and of callers is as old as the gap, and other homes have given up the
// runs that they placed here.
func (c *Control) handlePause(gap time.Duration) {
	c.home.callers.placeFrom = c.now.Add(placePause)
	c.orphanForeignRuns(gap)
	c.reverifyStored("this instance stood still")
	c.membership.nextMemberCheck = c.now
	c.checkMembers()
	if c.config.EvacuationBound > 0 {
		c.emit(RenewFeed{}) // its connection may have gone silent meanwhile
	}
	c.registerAgain(func(_ workload.JobID, r *registration) bool {
		r.begun = false // another instance may have begun the job meanwhile
		return true
	})
}

// The number of steps per heartbeat interval when no input arrives.
const (
	busyStepsPerHeartbeat = 7
	idleStepsPerHeartbeat = 3
)

// handleInput passes an input of a step to its handler.
func (c *Control) handleInput(in Input) {
	switch m := in.(type) {
	case Submit:
		c.submit(m)
	case Ask:
		c.answerState(m)
	case Cancel:
		c.cancel(m)
	case Count:
		c.reply(m.Handle, Answer{Status: Counted, Waiting: c.countForCaller(m.Route)})
	case Abandon:
		c.abandon(m)
	case CallersChecked:
		c.callersChecked(m)
	case Configured:
		c.handleConfigured(m)
	case EvacuationSet:
		c.handleEvacuationSet(m)
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
	case *ConfigurationRequest:
		c.handleConfigurationRequest(from, m)
	case *ConfigurationPart:
		c.handleConfigurationPart(from, m)
	case *EndpointList:
		c.handleEndpointList(from, m)
	case *Yield:
		c.handleYield(from, m)
	case *Yielded:
		c.holder.registry.Yielded(m.Endpoint, m.Version)
		c.holder.planDue = c.now
	case *CancelJob:
		c.handleCancelJob(from, m)
	case *CancelConfirmed:
		c.handleCancelConfirmed(from, m)
	case *Register:
		c.handleRegister(from, m)
	case *Registered:
		c.handleRegistered(from, m)
	case *Occupied:
		c.handleOccupied(from, m)
	case *Recall:
		c.handleRecall(from, m)
	case *Release:
		c.handleRelease(from, m)
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

// send sends a message to a peer. It handles a message to this instance itself
// immediately.
func (c *Control) send(to instance.ID, m Message) {
	if to == c.self {
		c.handleMessage(to, m)
		return
	}
	stamped := Envelope{Message: m, Sent: c.now.Sub(c.began)}
	if p, ok := c.membership.members.Get(to.Instance); ok && p.id == to {
		p.sentAt = c.now
		stamped.LastReceived = c.confirmReceived(p)
	}
	c.emit(Send{Peer: to, Envelope: stamped})
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

// scanPage reads rows of a partition from the first to the last key, in their order, until it has the limit or a few more.
func (c *Control) scanPage(first, last string, limit int, done func(ScanDone)) {
	c.nextID++
	c.scans[c.nextID] = done
	c.emit(Scan{ID: c.nextID, Prefix: first, Last: last, Limit: limit})
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

// runStop ends a planned stop when no job, run or late start is left and MinLeaveTime, in which
// other instances take over, has passed, and otherwise after MaxLeaveTime. It then
// times out the jobs that are not stored, and leaves stored ones as they are.
func (c *Control) runStop() {
	if c.stop != leaving {
		return
	}
	elapsed := c.now.Sub(c.stopStartedAt)
	open := c.home.jobs.Len() > 0 || c.holder.runs.Len() > 0 || c.lateStartsOpen()
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

// Overview is a summary of the control state for readiness checks, metrics and the
// reader of the endpoint list.
type Overview struct {
	Ready   bool
	Version uint64 // of the configuration in use
	Jobs    int
	Runs    int
	Held    int
	Cold    int // of the held endpoints
	Members int
	// StoredBytes and OpenBytes are the estimated memory of the open stored jobs, with those
	// that are being adopted, and of the ephemeral jobs that wait for their answer.
	StoredBytes int64
	OpenBytes   int64
	// Placed is the number of tasks of this instance's jobs that have a holder, Dropped that of runs of closed jobs that may go
	// on, Queued that of runs that wait here for an endpoint, and Ended that of runs that have ended here lately.
	Placed  int
	Dropped int
	Queued  int
	Ended   int
	// ReadsList says that this instance has to read the endpoint list from discovery.
	ReadsList bool
	// EvacuationKnown says that the set of evacuated failure domains is known, as of EvacuationVersion.
	EvacuationKnown   bool
	EvacuationVersion uint64
	Evacuated         []EvacuatedDomain
	Counters          Counters
	// Overload are the decisions of overload control by route; none without it.
	Overload []OverloadCounts
}

// Overview returns a summary of the control state. An instance is ready when it is
// not stopping, has a configuration, knows the evacuated failure domains if it has to, and it or a
// member that it receives messages from has endpoints in use.
func (c *Control) Overview() Overview {
	return Overview{
		Ready:   c.stop == serving && c.configuration.inUse != nil && !c.evacuationUnknown() && c.anyCapacity(),
		Version: c.configurationVersion(), Jobs: c.home.jobs.Len(), Runs: c.holder.runs.Len(), Held: c.holder.held, Cold: c.holder.cold,
		StoredBytes: c.home.memory.stored + c.home.memory.adopting, OpenBytes: c.home.memory.ephemeral,
		Placed: c.home.placed, Dropped: c.home.dropped, Queued: len(c.holder.queue), Ended: c.holder.ended.Len(),
		Members: c.membership.members.Len(), ReadsList: c.endpointList.reading, Counters: c.counters,
		EvacuationKnown: c.evacuation.known, EvacuationVersion: uint64(c.evacuation.version), Evacuated: c.evacuatedDomains(),
		Overload: c.overload.list(c.now),
	}
}

// Counters count what has happened since the start of the instance.
type Counters struct {
	Submitted         int64 // jobs submitted
	Completed         int64 // jobs answered as completed
	Failed            int64 // jobs answered as failed
	Refused           int64 // jobs refused
	TimedOut          int64 // jobs that were not finished in time
	Abandoned         int64 // jobs whose last caller stopped waiting
	Late              int64 // jobs completed after their objective
	Placed            int64 // tasks sent to a holder
	Started           int64 // start orders sent for the first time
	RepeatedStarts    int64 // further copies of start orders
	Stops             int64 // stop orders sent
	Waited            int64 // runs that had to wait for free capacity
	Retries           int64 // tasks placed again after a run that did not complete
	Lapsed            int64 // runs whose lease expired
	Orphans           int64 // runs stopped because their home could not be relied on
	FencedOrders      int64 // orders refused for a lower token
	HoldsTaken        int64 // endpoints taken
	HoldsYielded      int64 // endpoints yielded
	MembersLost       int64 // members declared dead
	SilentEndpoints   int64 // endpoints that stopped reporting
	UnknownRuns       int64 // runs found at an endpoint that this instance did not start
	FailedCommits     int64 // failed commits of holds, members and stored jobs
	Unconfirmed       int64 // jobs begun although the directory did not answer in time
	Occupied          int64 // registrations of jobs that had another home
	Recalled          int64 // recalls of jobs for which other instances waited
	PassedOn          int64 // jobs that the directory passed on to an instance that waited
	StragglersStopped int64 // runs stopped because they made no progress
	Looks             int64 // reports requested in addition to the watches
	Adopted           int64 // stored jobs taken over from homes that have failed
	Starved           int64 // runs started before more urgent ones because they had waited for too long
	GivenBack         int64 // queued runs given back because they could no longer end in time
	Unexpected        int64 // recovered panics
	CapacityPasses    int64 // computations of the own free capacity and waits, each of which goes over all runs here
	EventsLeftOut     int64 // events that were not logged as there were too many in one step
	UnshownLives      int64 // orders accepted in a life of their endpoint that the answer did not show
	Evacuations       int64 // evacuations of failure domains that this instance has learned of
	EvacuatedStarts   int64 // unanswered starts stopped instead of repeated, as their domain was evacuated
	EvacuatedWaits    int64 // queued runs returned to their homes, as their domain was evacuated
	EvacuatedRefusals int64 // jobs refused as only endpoints in evacuated domains could run them
	EjectionsLimited  int64 // endpoints left in use although runs failed there, as too many of their domain were out of use
	ColdStarts        int64 // start orders sent to cold endpoints
	// Jobs refused and adoptions put off for the memory that open jobs take here.
	StoredOverMemory    int64 // stored jobs refused at MaxStoredBytes
	OpenOverMemory      int64 // ephemeral jobs refused at MaxOpenBytes
	LookupsRefused      int64 // of callers that asked for or cancelled a job that is not open here, as too many did
	AdoptionsOverMemory int64 // scans of which jobs were left for a later adoption at MaxStoredBytes
}

// runTable holds runs by their identity.
type runTable = table.Table[workload.Run, *run]

// endedRunTable holds ended runs for endedRunRetention, to answer repeated placement requests.
type endedRunTable = table.Table[workload.Run, endedRun]
