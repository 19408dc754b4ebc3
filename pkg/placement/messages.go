package placement

import (
	"net/netip"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/table"
	"crocusseam/pkg/workload"
)

// Handle identifies a caller's request that has not been answered yet.
type Handle uint64

// Input is an event that Control.Step processes: a caller's request, the result
// of an effect, or a message from a peer.
type Input interface{ isInput() }

// Submit asks to run a job.
type Submit struct {
	Handle Handle
	Job    *workload.Job
	Route  workload.Route
	// CallerTimeout is how long the caller waits for the answer.
	CallerTimeout time.Duration
}

// Ask asks for the state of a job.
type Ask struct {
	Handle Handle
	ID     workload.JobID
	Route  string
}

// Cancel asks to cancel a job.
type Cancel struct {
	Handle Handle
	ID     workload.JobID
	Route  string
}

// Count asks how many jobs of a route wait for their first start.
type Count struct {
	Handle Handle
	Route  string
}

// Abandon reports that the caller of a request no longer waits for its answer.
type Abandon struct{ Handle Handle }

// CallersChecked answers a CheckCallers: every caller that waits for an answer still waited at At.
// Those that had left by then were abandoned before.
type CallersChecked struct{ At time.Time }

// Configured carries a configuration version that this instance now uses.
type Configured struct {
	Configuration *workload.Configuration
	Raw           []byte // the operator's document, forwarded to peers as it is
}

// Listed carries the complete list of endpoints that discovery returned.
type Listed struct{ Endpoints []workload.Endpoint }

// EvacuationSet carries the complete set of failure domains that the operator has evacuated, and
// the version of the store up to which it is known.
type EvacuationSet struct {
	Version storage.Version
	Domains []string
}

// CommitDone answers a Commit.
type CommitDone struct {
	ID      uint64
	Version storage.Version
	Err     error
}

// ScanDone answers a Scan.
type ScanDone struct {
	ID   uint64
	Rows []storage.Row
	Err  error
}

// Reported carries a report that an endpoint returned to its holder.
type Reported struct {
	Endpoint workload.EndpointID
	Token    workload.Token
	Sent     time.Time // when the holder requested the report
	Received time.Time
	Report   workload.Report
}

// Silent reports that a request for an endpoint's report failed.
type Silent struct {
	Endpoint workload.EndpointID
	Token    workload.Token
	Outcome  OrderOutcome
	Err      error
}

// OrderOutcome is the outcome of an order (a start or stop command) to an endpoint.
type OrderOutcome int

// Outcomes of an order. An order has certainly had no effect unless its outcome is
// Accepted, Unanswered or, of a stop, OtherLife.
const (
	Accepted    OrderOutcome = iota + 1
	Unanswered               // the endpoint may have executed it, or may do so later
	NotSent                  // the endpoint could not be reached
	Fenced                   // the endpoint has received a higher token
	TooOld                   // the endpoint knows a run of the task with the same or a higher number
	TooLate                  // the lease expired before the order arrived
	NoRoom                   // the run does not fit beside the endpoint's other runs
	Unwell                   // the endpoint refuses work temporarily
	OtherLife                // another incarnation of the endpoint is there: it executed a stop, and was sent no start
	Misdirected              // a process that is not this endpoint answered
	Malformed                // the endpoint could not decode it
)

var orderOutcomeNames = [...]string{"", "Accepted", "Unanswered", "NotSent", "Fenced", "TooOld", "TooLate", "NoRoom", "Unwell", "OtherLife", "Misdirected", "Malformed"}

func (o OrderOutcome) String() string { return orderOutcomeNames[o] }

// StartDone carries the outcome of a Start. It may arrive after the control state
// has repeated the order or given it up.
type StartDone struct {
	Endpoint workload.EndpointID
	Token    workload.Token
	Run      workload.Run
	Copy     int
	Outcome  OrderOutcome
	Reading  ClockReading
	Err      error
}

// StopDone carries the outcome of a StopRun.
type StopDone struct {
	Endpoint workload.EndpointID
	Token    workload.Token
	Run      workload.Run
	Outcome  OrderOutcome
	Reading  ClockReading
	Err      error
}

// ProbeDone tells whether this instance can reach an endpoint that it wants to
// take.
type ProbeDone struct {
	Endpoint  string
	Reachable bool
}

// PeerUp says that a session with a peer was established.
type PeerUp struct{ Peer instance.ID }

// PeerDown says that the session with a peer was lost.
type PeerDown struct{ Peer instance.ID }

// Received is a message from a peer.
type Received struct {
	From instance.ID
	Envelope
}

// Stop requests a planned stop of the instance.
type Stop struct{}

func (Submit) isInput()         {}
func (Ask) isInput()            {}
func (Cancel) isInput()         {}
func (Count) isInput()          {}
func (Abandon) isInput()        {}
func (CallersChecked) isInput() {}
func (Configured) isInput()     {}
func (Listed) isInput()         {}
func (EvacuationSet) isInput()  {}
func (CommitDone) isInput()     {}
func (ScanDone) isInput()       {}
func (Reported) isInput()       {}
func (Silent) isInput()         {}
func (StartDone) isInput()      {}
func (StopDone) isInput()       {}
func (ProbeDone) isInput()      {}
func (PeerUp) isInput()         {}
func (PeerDown) isInput()       {}
func (Received) isInput()       {}
func (Stop) isInput()           {}

// Effect is an action that Control.Step returns for its caller to perform: a
// network request, a storage access, a log line.
type Effect interface{ isEffect() }

// Reply answers a caller.
type Reply struct {
	Handle Handle
	Answer Answer
}

// Status is the kind of an Answer.
type Status int

// Statuses of an answer.
const (
	Completed   Status = iota + 1 // every task is done
	Failed                        // a task has used up its attempts
	Refused                       // not accepted; no task of the job runs or will run
	TimedOut                      // not finished in time; some tasks may have run
	Cancelled                     // ended by a caller's request
	Queued                        // job state: no task has started
	Running                       // job state: a task has started
	Absent                        // no job with this id is known
	Counted                       // the answer carries Waiting
	Mismatch                      // another job is known under this id
	Unavailable                   // the state of the job cannot be determined now
)

var statusNames = [...]string{"", "Completed", "Failed", "Refused", "TimedOut", "Cancelled", "Queued", "Running", "Absent", "Counted", "Mismatch", "Unavailable"}

func (s Status) String() string { return statusNames[s] }

// Answer is the answer to a caller's request.
type Answer struct {
	Status     Status
	Reason     string
	RetryAfter time.Duration // for Refused: how long to wait before submitting again
	Waiting    int           // for Counted: jobs that wait for their first start
}

// Start orders an endpoint to start a run.
type Start struct {
	Endpoint workload.EndpointID
	Address  netip.AddrPort
	Token    workload.Token
	Run      workload.Run
	Spec     string
	Until    time.Duration // end of the run's lease on the endpoint's clock
	Copy     int           // number of this copy of the order, starting at 1
}

// StopRun orders an endpoint to stop a run.
type StopRun struct {
	Endpoint workload.EndpointID
	Address  netip.AddrPort
	Token    workload.Token
	Run      workload.Run
}

// Watch requests reports from an endpoint continuously, under a token. With Renew
// set, each request renews the lease of the endpoint's runs. A Watch replaces an
// earlier one of the same endpoint.
type Watch struct {
	Endpoint workload.EndpointID
	Address  netip.AddrPort
	Token    workload.Token
	Renew    bool
	// RenewUntil is the latest time to which the lease may be renewed. It is zero while
	// nothing runs at the endpoint, and then no lease is renewed.
	RenewUntil time.Time
	// ExplicitAcks makes the watch acknowledge ended runs to the endpoint only on an
	// Acknowledge. Otherwise it acknowledges every ended run that it has delivered.
	ExplicitAcks bool
}

// LeaseEnd returns the time to which a request that is sent now renews a lease of the
// given length, or false if it renews none.
func (w *Watch) LeaseEnd(now time.Time, lease time.Duration) (time.Time, bool) {
	end := cappedLease(now.Add(lease), w.RenewUntil)
	return end, w.Renew && !w.RenewUntil.IsZero() && end.After(now)
}

// Acknowledge makes a watch with ExplicitAcks acknowledge ended runs to its
// endpoint.
type Acknowledge struct {
	Endpoint workload.EndpointID
	Token    workload.Token
	Upto     int64 // sequence of the last ended run to acknowledge
}

// RequestReport requests one report from an endpoint immediately, independently of
// its Watch.
type RequestReport struct {
	Endpoint workload.EndpointID
	Address  netip.AddrPort
	Token    workload.Token
}

// Unwatch ends a Watch.
type Unwatch struct{ Endpoint workload.EndpointID }

// Probe checks whether an endpoint can be reached.
type Probe struct {
	Endpoint workload.EndpointID
	Address  netip.AddrPort
}

// CheckCallers looks at the connections of all callers that wait for an answer, abandons the
// requests of those that have left, and is answered with CallersChecked.
type CheckCallers struct{}

// Commit writes rows to the store in one transaction.
type Commit struct {
	ID     uint64
	Writes []storage.Write
}

// Scan reads the rows of the store whose keys begin with Prefix or, with Last, those of one partition
// from the key Prefix to the key Last, and not many more than Limit if that is above 0.
type Scan struct {
	ID     uint64
	Prefix string
	Last   string
	Limit  int
}

// Send sends a message to a peer.
type Send struct {
	Peer instance.ID
	Envelope
}

// Connect sets the peers to keep sessions with.
type Connect struct{ Peers []instance.Peer }

// DropSession closes the session with a peer, so that a new one is established.
type DropSession struct{ Peer instance.ID }

// OfferConfiguration offers this instance a configuration that peers have sent.
type OfferConfiguration struct {
	From    instance.ID
	Version uint64
	Raw     []byte
}

// RenewFeed ends the present call of the store's feed of the operator's rows and begins another
// one, over a new connection.
type RenewFeed struct{}

// LogEvent writes a log line about a decision that affects a request or about a
// change of the control state.
type LogEvent struct {
	Event  string
	Level  zapcore.Level
	Fields []zap.Field
}

// Finished reports an answered job to the latency histograms.
type Finished struct {
	Route   string
	Status  Status
	Elapsed time.Duration
}

// Stopped reports that a planned stop is complete.
type Stopped struct{}

func (Reply) isEffect()              {}
func (Start) isEffect()              {}
func (StopRun) isEffect()            {}
func (Watch) isEffect()              {}
func (RequestReport) isEffect()      {}
func (Acknowledge) isEffect()        {}
func (Unwatch) isEffect()            {}
func (Probe) isEffect()              {}
func (CheckCallers) isEffect()       {}
func (Commit) isEffect()             {}
func (Scan) isEffect()               {}
func (Send) isEffect()               {}
func (Connect) isEffect()            {}
func (DropSession) isEffect()        {}
func (OfferConfiguration) isEffect() {}
func (RenewFeed) isEffect()          {}
func (LogEvent) isEffect()           {}
func (Finished) isEffect()           {}
func (Stopped) isEffect()            {}

// Message is a message between instances.
type Message interface{ isMessage() }

// Envelope is a message with the times from which its receiver computes how long
// it may rely on the sender. Each is an uptime of the process that set it, so that
// clocks of two hosts are never compared.
type Envelope struct {
	Message Message
	// Sent is the uptime of the sender when it sent the message.
	Sent time.Duration
	// LastReceived is the Sent of the last message that the sender has received from
	// the receiver.
	LastReceived time.Duration
}

// PlaceRequest asks the holder of endpoints to run tasks of one step. Objective,
// Expiry and CallerTimeout count from the moment of sending.
type PlaceRequest struct {
	Sequence      uint64 // counts the sender's requests to this peer
	Job           workload.JobID
	Spec          string
	Step          int
	Service       string
	Need          workload.Resources
	Label         string
	Rack          string
	Estimate      time.Duration
	Objective     time.Duration // until the job should be complete
	Expiry        time.Duration // until a result is useless to the caller
	CallerTimeout time.Duration // until the caller stops waiting
	Priority      int
	Tasks         []PlacedTask
	// Stored says that the job is stored: the holder keeps the outcomes of its runs
	// until the home has recorded them.
	Stored bool
	// Round counts the homes that a stored job has had. A holder refuses a request
	// with a lower round than the highest one it has received.
	Round int
	// Expected is Estimate as the home has corrected it by what such tasks have taken lately; 0
	// is not known.
	Expected time.Duration
}

// PlacedTask is one task of a PlaceRequest.
type PlacedTask struct {
	Index  int
	Number int      // of the run
	Avoid  []string // endpoints where a run of the task did not succeed: the last to use
	// Exclude is how long the run must not start at the endpoints of Avoid at all.
	Exclude time.Duration
}

// Drop asks a holder to stop runs. With OnlyWaiting set it applies only to runs for
// which the holder has sent no start order yet: their home places them elsewhere.
type Drop struct {
	Runs        []workload.Run
	OnlyWaiting bool
}

// RunEnded tells a home the outcome of a run.
type RunEnded struct {
	Run      workload.Run
	How      workload.How
	Endpoint string // empty if no endpoint was chosen for the run
	Born     int64  // life of the endpoint
	Elapsed  time.Duration
	Detail   string
	// Kept says that the holder keeps the outcome until it gets OutcomesRecorded.
	Kept bool
	// MayStartLater says that the endpoint's next incarnation may still execute the
	// start order, until that incarnation has received the token of its next holder, or
	// a second RunEnded without it follows.
	MayStartLater bool
	// LateFor is how long it may at the latest, if the sender knows when the start was ordered.
	LateFor time.Duration
	// StartUnanswered says of a run that never ran that some copy of its start was not answered: the
	// holder has excluded that it starts in the endpoint's present life, but not in a later one.
	StartUnanswered bool
	// TooLate says of a run that never ran that it was given back because it could no longer end
	// before its expiry.
	TooLate bool
	// Work is the run time of a run that is done, scaled to an endpoint of speed 1.
	Work time.Duration
}

// lateWindow returns how long a start may still be carried out after a message with MayStartLater.
func (m *RunEnded) lateWindow() time.Duration {
	if m.LateFor <= 0 {
		return lateOrderWindow
	}
	return min(m.LateFor, lateOrderWindow)
}

// OutcomesRecorded tells a holder that the home has stored the outcomes of runs, so
// that the endpoints may forget these runs.
type OutcomesRecorded struct{ Runs []workload.Run }

// Inquire asks a holder for the runs of stored jobs whose home is the sender. The
// holder stops runs that an earlier home has placed.
type Inquire struct {
	Sequence uint64
	Jobs     []JobRound
}

// JobRound names a stored job and the round of its home.
type JobRound struct {
	Job   workload.JobID
	Round int
}

// InquiryAnswer answers an Inquire. The holder first sends a RunEnded for each
// outcome that it keeps.
type InquiryAnswer struct {
	Sequence uint64
	// Live are the runs of these jobs that may not have ended.
	Live []workload.Run
	// Covered are the endpoints of which the sender knows every run.
	Covered []string
}

// Waiting tells a home that a run waits for free capacity at its holder.
type Waiting struct {
	Run workload.Run
	// ExpectedWait is the holder's estimate of the time until the run starts.
	ExpectedWait time.Duration
}

// Advert tells a peer the free capacity of a holder's endpoints.
type Advert struct {
	LastRequest uint64 // Sequence of the receiver's last PlaceRequest that the advert accounts for
	// ChangedCapacity is what has changed since the last advert to that peer.
	ChangedCapacity table.Difference[string, FreeCapacity]
	// Waits are the expected waits of a task that fits no endpoint now.
	Waits Waits
	// Total is the capacity of all endpoints in use, free or not.
	Total workload.Resources
}

// FreeCapacity is the unreserved capacity of one endpoint.
type FreeCapacity struct {
	Endpoint string
	Free     workload.Resources
	Speed    float64
}

// Heartbeat tells a peer that the sender is alive, and the sender's state.
type Heartbeat struct {
	Leaving bool
	// Configuration is the configuration version that the sender uses.
	Configuration uint64
	// ConfigurationBytes is the size of its document, or 0 if the sender does not answer a
	// ConfigurationRequest.
	ConfigurationBytes int
	// Uptime is how long the sender has been running.
	Uptime time.Duration
	// KeepsDirectory says that the sender answers a Register. Earlier versions do not.
	KeepsDirectory bool
	// ReceiverSuspected says that the sender has received nothing from the receiver
	// for so long that it suspects it.
	ReceiverSuspected bool
	// Waiting counts by route the sender's jobs of which no task has started.
	Waiting map[string]int
	// LostWaiting counts by route the waiting jobs of lost instances that are not all adopted.
	LostWaiting map[string]int
	// Adopting says that the sender may have jobs of a lost instance to adopt.
	Adopting bool
	// Evacuated are the evacuated failure domains, known up to EvacuationVersion of the store; 0 if
	// the sender does not know them.
	EvacuationVersion storage.Version
	Evacuated         []string
	// Estimates are what the sender has observed of the run times of tasks; without any the last
	// ones hold.
	Estimates []TaskEstimates
}

// ConfigurationRequest asks a peer for a part of a configuration's document.
type ConfigurationRequest struct {
	Version uint64
	Offset  int
	Limit   int // bytes of the part
}

// ConfigurationPart is the part of a configuration's document from Offset on. A part without
// data says that the sender serves others at the moment.
type ConfigurationPart struct {
	Version uint64
	Offset  int
	Size    int // of the whole document; 0 if the part is the whole of it
	Data    []byte
}

// EndpointList forwards the changes of the endpoint list to a peer.
type EndpointList struct {
	table.Difference[string, workload.Endpoint]
}

// Yield asks a holder to give up its holds of endpoints.
type Yield struct{ Endpoints []string }

// Yielded tells a peer that the sender sends no more orders to an endpoint. Version
// is the version of the row of its hold.
type Yielded struct {
	Endpoint string
	Version  storage.Version
}

// CancelJob asks the receiver to cancel a job if it is the job's home.
type CancelJob struct {
	ID workload.JobID
	// Recorded says that the job is cancelled in the store. The receiver answers with
	// CancelConfirmed.
	Recorded bool
}

// CancelConfirmed tells the sender of a recorded CancelJob that the job is not open at its home
// any more.
type CancelConfirmed struct{ ID workload.JobID }

// Register asks the directory member of an ephemeral job's id whether the sender may be the
// job's home.
type Register struct {
	Job    workload.JobID
	Number uint64        // counts the sender's registrations
	Left   time.Duration // until the caller stops waiting
	// Occupant is the home that the sender waits for, if another member has named one.
	Occupant instance.ID
}

// Registered answers a Register, at once or when the former home has released the job.
type Registered struct {
	Job       workload.JobID
	Number    uint64 // of the Register
	Completed bool   // the former home has completed the job
	// Former is the former home, if the sender does not reach it.
	Former instance.ID
}

// Occupied answers a Register while another instance is the job's home.
type Occupied struct {
	Job    workload.JobID
	Number uint64 // of the Register
	Home   instance.ID
}

// Recall asks the home of a job to release it as soon as it can.
type Recall struct {
	Job    workload.JobID
	Number uint64 // of the home's Register
}

// Release tells the directory that the sender is not the home of jobs any more and none of its
// runs of them can be going on, or that it does not wait for them any more.
type Release struct{ Jobs []ReleasedJob }

// ReleasedJob is a job of a Release.
type ReleasedJob struct {
	Job       workload.JobID
	Number    uint64 // of the last Register
	Completed bool
}

func (*Register) isMessage()             {}
func (*Registered) isMessage()           {}
func (*Occupied) isMessage()             {}
func (*Recall) isMessage()               {}
func (*Release) isMessage()              {}
func (*PlaceRequest) isMessage()         {}
func (*Drop) isMessage()                 {}
func (*RunEnded) isMessage()             {}
func (*OutcomesRecorded) isMessage()     {}
func (*Inquire) isMessage()              {}
func (*InquiryAnswer) isMessage()        {}
func (*Waiting) isMessage()              {}
func (*Advert) isMessage()               {}
func (*Heartbeat) isMessage()            {}
func (*ConfigurationRequest) isMessage() {}
func (*ConfigurationPart) isMessage()    {}
func (*EndpointList) isMessage()         {}
func (*Yield) isMessage()                {}
func (*Yielded) isMessage()              {}
func (*CancelJob) isMessage()            {}
func (*CancelConfirmed) isMessage()      {}
