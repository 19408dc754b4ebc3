package placement

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/table"
	"crocusseam/pkg/workload"
)

// Handle names a caller's request that waits for a reply.
type Handle uint64

// Input is a message to the control state.
type Input interface{ isInput() }

// Submit asks to run a job.
type Submit struct {
	Handle Handle
	Job    *workload.Job
	Route  workload.Route
	// Left is how long the caller waits for the answer.
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

// Abandon says that the caller of a request has gone.
type Abandon struct{ Handle Handle }

// Configured says that a version of the configuration came into force here.
type Configured struct {
	Configuration *workload.Configuration
	Raw           []byte // as the operator wrote it, for peers
}

// Listed carries the endpoints that discovery shows.
type Listed struct{ Endpoints []workload.Endpoint }

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

// Reported is what an endpoint reported to its holder.
type Reported struct {
	Endpoint workload.EndpointID
	Token    workload.Token
	Sent     time.Time // when it was asked
	Received time.Time
	Report   workload.Report
}

// Silent says that an endpoint did not report.
type Silent struct {
	Endpoint workload.EndpointID
	Token    workload.Token
	Outcome  OrderOutcome
	Err      error
}

// OrderOutcome tells how an order to an endpoint ended.
type OrderOutcome int

// Outcomes of an order. All but Accepted, Unanswered and OtherLife certainly did
// nothing.
const (
	Accepted    OrderOutcome = iota + 1
	Unanswered               // it may have been carried out, or may be later
	NotSent                  // the endpoint could not be reached
	Fenced                   // the endpoint has seen a higher token
	TooOld                   // a run with a number that is not lower was there
	TooLate                  // the lease was over before the order came
	NoRoom                   // it does not fit what runs there
	Unwell                   // the endpoint refuses work for now
	OtherLife                // another life of the endpoint has carried it out
	Misdirected              // something else answered
	Malformed                // the endpoint did not understand it
)

var orderOutcomeNames = [...]string{"", "Accepted", "Unanswered", "NotSent", "Fenced", "TooOld", "TooLate", "NoRoom", "Unwell", "OtherLife", "Misdirected", "Malformed"}

func (o OrderOutcome) String() string { return orderOutcomeNames[o] }

// StartDone answers a Start. It may come after the order was given up or repeated.
type StartDone struct {
	Endpoint workload.EndpointID
	Token    workload.Token
	Run      workload.Run
	Copy     int
	Outcome  OrderOutcome
	Err      error
}

// StopDone answers a StopRun.
type StopDone struct {
	Endpoint workload.EndpointID
	Token    workload.Token
	Run      workload.Run
	Outcome  OrderOutcome
	Err      error
}

// ProbeDone tells whether an endpoint that this instance wants to take can be
// reached.
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

// Stop asks for a planned stop.
type Stop struct{}

func (Submit) isInput()     {}
func (Ask) isInput()        {}
func (Cancel) isInput()     {}
func (Count) isInput()      {}
func (Abandon) isInput()    {}
func (Configured) isInput() {}
func (Listed) isInput()     {}
func (CommitDone) isInput() {}
func (ScanDone) isInput()   {}
func (Reported) isInput()   {}
func (Silent) isInput()     {}
func (StartDone) isInput()  {}
func (StopDone) isInput()   {}
func (ProbeDone) isInput()  {}
func (PeerUp) isInput()     {}
func (PeerDown) isInput()   {}
func (Received) isInput()   {}
func (Stop) isInput()       {}

// Effect is something that the control state asks the traffic side to do.
type Effect interface{ isEffect() }

// Reply answers a caller.
type Reply struct {
	Handle Handle
	Answer Answer
}

// Status says what an answer tells a caller.
type Status int

// Statuses of an answer.
const (
	Completed   Status = iota + 1 // every task is done
	Failed                        // a task has failed as often as allowed
	Refused                       // not accepted; nothing of it runs or will
	TimedOut                      // not finished in time; some of it may have run
	Cancelled                     // ended on a caller's wish
	Queued                        // state: no task has started
	Running                       // state
	Absent                        // no such job is known
	Counted                       // carries Waiting
	Mismatch                      // another job is known under this id
	Unavailable                   // it cannot be told now
)

var statusNames = [...]string{"", "Completed", "Failed", "Refused", "TimedOut", "Cancelled", "Queued", "Running", "Absent", "Counted", "Mismatch", "Unavailable"}

func (s Status) String() string { return statusNames[s] }

// Answer is the answer to a caller's request.
type Answer struct {
	Status     Status
	Reason     string
	RetryAfter time.Duration // for a refusal: when to come back
	Waiting    int
}

// Start orders an endpoint to start a run.
type Start struct {
	Endpoint workload.EndpointID
	Address  netip.AddrPort
	Token    workload.Token
	Run      workload.Run
	Spec     string
	Until    time.Duration // end of the lease on the endpoint's clock
	Copy     int           // counts the orders of this run
}

// StopRun orders an endpoint to stop a run.
type StopRun struct {
	Endpoint workload.EndpointID
	Address  netip.AddrPort
	Token    workload.Token
	Run      workload.Run
}

// Watch keeps asking an endpoint for reports under a token; Renew says that each
// question renews the lease of what runs there. It replaces an earlier Watch of
// the endpoint.
type Watch struct {
	Endpoint workload.EndpointID
	Address  netip.AddrPort
	Token    workload.Token
	Renew    bool
	// Confirmed says that ends are acknowledged only when an Acknowledge says so.
	// Otherwise the watch acknowledges all that it has delivered.
	ExplicitAcks bool
}

// Acknowledge lets a watch that waits for it acknowledge ends.
type Acknowledge struct {
	Endpoint workload.EndpointID
	Token    workload.Token
	Upto     int64 // the sequence of the last end
}

// Look asks an endpoint for a report at once, beside its Watch.
type RequestReport struct {
	Endpoint workload.EndpointID
	Address  netip.AddrPort
	Token    workload.Token
}

// Unwatch ends a Watch.
type Unwatch struct{ Endpoint workload.EndpointID }

// Probe asks whether an endpoint can be reached.
type Probe struct {
	Endpoint workload.EndpointID
	Address  netip.AddrPort
}

// Commit writes rows.
type Commit struct {
	ID     uint64
	Writes []storage.Write
}

// Scan reads the rows under a prefix.
type Scan struct {
	ID     uint64
	Prefix string
}

// Send sends a message to a peer.
type Send struct {
	Peer instance.ID
	Envelope
}

// Connect names the peers that sessions are to be kept with.
type Connect struct{ Peers []instance.Peer }

// DropSession ends a session that has gone silent, so that it is set up anew.
type DropSession struct{ Peer instance.ID }

// Adopt offers a configuration that a peer has passed on.
type OfferConfiguration struct {
	From    instance.ID
	Version uint64
	Raw     []byte
}

// Decision is a line for the log: something that touched a request or changed
// what this instance believes.
type LogEvent struct {
	Event  string
	Fields []zap.Field
}

// Finished reports a job that was answered, for the histograms.
type Finished struct {
	Route   string
	Status  Status
	Elapsed time.Duration
}

// Stopped says that a planned stop has finished.
type Stopped struct{}

func (Reply) isEffect()              {}
func (Start) isEffect()              {}
func (StopRun) isEffect()            {}
func (Watch) isEffect()              {}
func (RequestReport) isEffect()      {}
func (Acknowledge) isEffect()        {}
func (Unwatch) isEffect()            {}
func (Probe) isEffect()              {}
func (Commit) isEffect()             {}
func (Scan) isEffect()               {}
func (Send) isEffect()               {}
func (Connect) isEffect()            {}
func (DropSession) isEffect()        {}
func (OfferConfiguration) isEffect() {}
func (LogEvent) isEffect()           {}
func (Finished) isEffect()           {}
func (Stopped) isEffect()            {}

// Message is a message between instances.
type Message interface{ isMessage() }

// Stamped is a message with the times that bound how long its receiver may rely
// on its sender. Each is an uptime, so clocks are never compared.
type Envelope struct {
	Message Message
	// Sent is the uptime of the sender when it sent the message.
	Sent time.Duration
	// Heard is the Sent of the last message that the sender has received from the
	// receiver.
	LastReceived time.Duration
}

// Place asks the holder of endpoints to run tasks of one step. All times are
// left from the sending on.
type PlaceRequest struct {
	Sequence      uint64 // counts the sender's places to this peer
	Job           workload.JobID
	Spec          string
	Step          int
	Service       string
	Need          workload.Resources
	Label         string
	Rack          string
	Estimate      time.Duration
	Objective     time.Duration // until the objective
	Expiry        time.Duration // until the answer is of no use
	CallerTimeout time.Duration // until the caller stops waiting
	Priority      int
	Tasks         []PlacedTask
	// Stored says that the job is stored: ends of its runs are kept by the holder
	// until their home has recorded them.
	Stored bool
	// Round counts the homes that a stored job has had. A holder refuses a lower
	// one than it has seen.
	Round int
}

// PlacedTask is one task of a Place.
type PlacedTask struct {
	Index  int
	Number int      // of the run
	Avoid  []string // endpoints where it has failed
}

// Drop tells a holder that runs are no longer wanted, or, OnlyWaiting, that their
// home has a better place for those that have not been ordered yet.
type Drop struct {
	Runs        []workload.Run
	OnlyWaiting bool
}

// Ended tells a home how a run ended.
type RunEnded struct {
	Run      workload.Run
	How      workload.How
	Endpoint string // empty if it never had one
	Elapsed  time.Duration
	Detail   string
	// Kept says that the holder keeps the end until it is Recorded.
	Kept bool
	// Late says that the start may still be carried out, by the endpoint's next
	// life, until that life has seen the token of its next holder.
	MayStartLater bool
}

// Recorded tells a holder that ends of runs are stored, so that the endpoints
// may forget them.
type OutcomesRecorded struct{ Runs []workload.Run }

// Inquire asks a holder what it knows of the runs of stored jobs whose home the
// sender is. Runs for an earlier home are stopped.
type Inquire struct {
	Sequence uint64
	Jobs     []JobRound
}

// JobRound is a job in one round.
type JobRound struct {
	Job   workload.JobID
	Round int
}

// Found answers an Inquire, after an Ended for each end that the holder keeps.
type InquiryAnswer struct {
	Sequence uint64
	// Live are runs of these jobs that have not certainly ended.
	Live []workload.Run
	// Covered are the endpoints at which the sender knows all that runs.
	Covered []string
}

// Waiting tells a home that a run has to wait for room at its holder.
type Waiting struct {
	Run workload.Run
	// For is how long, as far as known.
	ExpectedWait time.Duration
}

// Advert tells a peer what room a holder's endpoints have.
type Advert struct {
	LastRequest uint64 // the last Place of that peer that is counted in
	// Rooms are those that have changed since the last advert to that peer.
	ChangedCapacity table.Difference[string, FreeCapacity]
	// Waits are how long a task that fits nowhere would wait, as far as known.
	Waits Waits
	// Total is the capacity of the endpoints in use.
	Total workload.Resources
}

// Room is what is free at one endpoint.
type FreeCapacity struct {
	Endpoint string
	Free     workload.Resources
	Speed    float64
}

// Beat is a sign of life.
type Heartbeat struct {
	Leaving bool
	// Configuration is the version in force at the sender.
	Configuration uint64
	// Uptime is how long the sender has been running.
	Uptime time.Duration
	// Unheard says that the sender does not hear the receiver.
	ReceiverSuspected bool
	// Waiting counts the sender's jobs of which no task has started, by route.
	Waiting map[string]int
}

// Settings passes the operator's configuration on.
type PeerConfiguration struct {
	Version uint64
	Raw     []byte
}

// Listing passes the list of endpoints on, as what has changed.
type EndpointList struct {
	table.Difference[string, workload.Endpoint]
}

// Yield asks the holder of endpoints to give them up.
type Yield struct{ Endpoints []string }

// Yielded says that the sender orders nothing more at an endpoint, whose row
// has this version.
type Yielded struct {
	Endpoint string
	Version  storage.Version
}

// CancelJob asks all homes to cancel a job.
type CancelJob struct{ ID workload.JobID }

func (*PlaceRequest) isMessage()      {}
func (*Drop) isMessage()              {}
func (*RunEnded) isMessage()          {}
func (*OutcomesRecorded) isMessage()  {}
func (*Inquire) isMessage()           {}
func (*InquiryAnswer) isMessage()     {}
func (*Waiting) isMessage()           {}
func (*Advert) isMessage()            {}
func (*Heartbeat) isMessage()         {}
func (*PeerConfiguration) isMessage() {}
func (*EndpointList) isMessage()      {}
func (*Yield) isMessage()             {}
func (*Yielded) isMessage()           {}
func (*CancelJob) isMessage()         {}
