package dispatch

import (
	"net/netip"
	"time"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/routing"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/submission"
)

// Handle names a caller's request that waits for a reply.
type Handle uint64

// Input is a message to the control state.
type Input interface{ isInput() }

// Submit asks to run a submission.
type Submit struct {
	Handle     Handle
	Submission *submission.Submission
}

// Await asks for the answer to a submission.
type Await struct {
	Handle Handle
	Key    submission.Key
}

// Cancel asks to cancel a submission.
type Cancel struct {
	Handle Handle
	Key    submission.Key
}

// Abandon says that the caller of a request has gone.
type Abandon struct {
	Handle Handle
}

// CommitDone answers a Commit.
type CommitDone struct {
	ID      uint64
	Version storage.Version
	Err     error
}

// GetDone answers a Get.
type GetDone struct {
	ID  uint64
	Row storage.Row
	Err error
}

// ObjectDone answers a PutObject or a GetObject.
type ObjectDone struct {
	ID      uint64
	Content []byte
	Err     error
}

// ScanDone answers a Scan of the control rows.
type ScanDone struct {
	ID   uint64
	Rows []storage.Row
	Err  error
}

// ListDone answers a List.
type ListDone struct {
	Instances []storage.ListedInstance
	Err       error
}

// AttemptDone tells how a started attempt ended.
type AttemptDone struct {
	Attempt routing.Attempt
	Outcome Outcome
	Output  []byte
	Detail  string
}

// Received is a message from a peer.
type Received struct {
	From    PeerID
	Message Message
}

// PeerUp says that a session with a peer was established.
type PeerUp struct {
	Peer PeerID
}

// PeerDown says that the session with a peer was lost.
type PeerDown struct {
	Peer PeerID
}

// Stop asks for a planned stop.
type Stop struct{}

// Tick says only that time has passed.
type Tick struct{}

func (Submit) isInput()      {}
func (Await) isInput()       {}
func (Cancel) isInput()      {}
func (Abandon) isInput()     {}
func (CommitDone) isInput()  {}
func (GetDone) isInput()     {}
func (ScanDone) isInput()    {}
func (ObjectDone) isInput()  {}
func (ListDone) isInput()    {}
func (AttemptDone) isInput() {}
func (Received) isInput()    {}
func (PeerUp) isInput()      {}
func (PeerDown) isInput()    {}
func (Stop) isInput()        {}
func (Tick) isInput()        {}

// Effect is something that the control state asks the traffic side to do.
type Effect interface{ isEffect() }

// Reply answers a caller.
type Reply struct {
	Handle Handle
	Reply  submission.Reply
}

// Commit writes rows to the table.
type Commit struct {
	ID     uint64
	Writes []storage.Write
}

// Get reads a row of the table.
type Get struct {
	ID  uint64
	Key string
}

// PutObject stores an object.
type PutObject struct {
	ID      uint64
	Name    string
	Content []byte
}

// GetObject reads an object.
type GetObject struct {
	ID   uint64
	Name string
}

// Scan reads the control rows of the table.
type Scan struct {
	ID     uint64
	Prefix string
}

// List reads the platform's list of instances.
type List struct{}

// Start starts an attempt at an endpoint.
type Start struct {
	PlaceRequest PlaceRequest
}

// Interrupt ends an attempt that was started.
type Interrupt struct {
	Attempt routing.Attempt
}

// Send sends a message to a peer.
type Send struct {
	Peer    PeerID
	Message Message
}

// Connect names the peers that sessions are to be kept with.
type Connect struct {
	Peers []Peer
}

// Stopped says that a planned stop has finished.
type Stopped struct{}

func (Reply) isEffect()     {}
func (Commit) isEffect()    {}
func (Get) isEffect()       {}
func (Scan) isEffect()      {}
func (PutObject) isEffect() {}
func (GetObject) isEffect() {}
func (List) isEffect()      {}
func (Start) isEffect()     {}
func (Interrupt) isEffect() {}
func (Send) isEffect()      {}
func (Connect) isEffect()   {}
func (Stopped) isEffect()   {}

// PeerID names an instance in one incarnation.
type PeerID = instance.ID

// Peer is an instance and where its peers reach it.
type Peer = instance.Peer

// Outcome says how an attempt ended.
type Outcome int

// Outcomes. NotStarted is certain; Unknown may have run.
const (
	Done Outcome = iota + 1
	NotStarted
	TaskFailed
	Unknown
)

func (o Outcome) String() string {
	return [...]string{"", "Done", "NotStarted", "TaskFailed", "Unknown"}[o]
}

// Message is a message between instances.
type Message interface{ isMessage() }

// Announce tells the lead of tasks that wait for a slot.
type Announce struct {
	Job           uint64 // number that the home gave the job
	Team          string
	Priority      int
	Waited        time.Duration
	RemainingTime time.Duration // until the deadline
	RemainingWork time.Duration // work left in the job, also of tasks not listed
	Demands       []routing.Demand
}

// Withdraw tells the lead that tasks no longer wait.
type Withdraw struct {
	Numbers []uint64
}

// Assign tells a home where to place a task.
type Assign struct {
	Number   uint64
	Endpoint netip.AddrPort
	Holder   PeerID
}

// Return tells the lead that an assignment was not used.
type ReturnAssignment struct {
	Attempt  routing.Attempt
	Endpoint netip.AddrPort
}

// Place gives a task to the instance that holds the endpoint.
type PlaceRequest struct {
	Attempt       routing.Attempt
	Key           submission.Key
	Task          string
	Try           int // number of this attempt at the task, from 1
	Kind          string
	Payload       []byte
	Token         string
	RemainingTime time.Duration // until the deadline
	Work          time.Duration // expected run time at speed 1
	Endpoint      netip.AddrPort
	Resent        bool // sent before, over an earlier session
}

// Drop tells an owner to end or forget an attempt.
type Drop struct {
	Attempt routing.Attempt
}

// Result tells a home how an attempt ended.
type Result struct {
	Attempt      routing.Attempt
	Endpoint     netip.AddrPort
	Outcome      Outcome
	Output       []byte
	Detail       string
	RunTime      time.Duration
	Speed        float64
	SpeedLearned bool // the speed rests on enough samples
}

// Acknowledge tells an owner which results have arrived.
type Acknowledge struct {
	Numbers []uint64
}

// EndpointReport is what an owner tells the lead of an endpoint.
type EndpointReport struct {
	Endpoint netip.AddrPort
	Slots    int // 0 while nothing may start there
	Speed    float64
	Probe    bool // only a single, Repeatable task may try it
	Samples  int  // that the speed was learned from, up to routing.EnoughSamples
}

// Supply tells the lead what an owner holds. Reports are absolute. Whole says
// that no other endpoints are held and that Held is everything that occupies
// slots; Done lists attempts that no longer do.
type Supply struct {
	Whole     bool
	Endpoints []EndpointReport
	Held      []HeldAttempt
	Done      []routing.Attempt
}

// HeldAttempt is an attempt that occupies a slot.
type HeldAttempt struct {
	Attempt       routing.Attempt
	Endpoint      netip.AddrPort
	RemainingTime time.Duration // expected
}

// Beat tells members that the lead is alive and how long new work waits.
// Waits is in falling order of Priority; each counts the work of its priority
// and all above.
type Beat struct {
	Waits []PriorityWait
}

// PriorityWait is the expected wait at one priority.
type PriorityWait struct {
	Priority int
	Wait     time.Duration
}

// HoldRequest asks a sibling to give endpoints up.
type HoldRequest struct {
	Endpoints []netip.AddrPort
}

// HoldGrant says that the sender starts nothing more at the endpoints. Occupied
// lists how many slots its last tasks still occupy there, in the same order.
type HoldGrant struct {
	Endpoints []netip.AddrPort
	Occupied  []int
}

// HoldFreed says that a task of the endpoint's former holder has ended.
type HoldFreed struct {
	Endpoint netip.AddrPort
}

// Attach asks a job's home for its answer.
type Attach struct {
	Key   submission.Key
	Token string
}

// AttachReply carries a job's answer. Absent says that the home has no such job
// in memory; its row in the table tells the rest.
type AttachReply struct {
	Key    submission.Key
	Absent bool
	Reply  submission.Reply
}

// CancelJob asks a job's home to cancel it.
type CancelJob struct {
	Key submission.Key
}

// Relay asks a sibling to commit rows to the table.
type Relay struct {
	ID     uint64
	Writes []storage.Write
}

// RelayDone answers a Relay.
type RelayDone struct {
	ID      uint64
	Version storage.Version
	Outcome CommitOutcome
	Rows    []storage.Row
}

// CommitOutcome tells how a relayed commit ended.
type CommitOutcome int

// Outcomes of a relayed commit.
const (
	Committed CommitOutcome = iota + 1
	Conflicted
	Unavailable
	Uncertain
)

// Forward hands a submission to the sibling that may start it without a claim.
type Forward struct {
	Submission *submission.Submission
}

// Goodbye says that the sender is leaving in plan.
type Goodbye struct{}

func (*Announce) isMessage()         {}
func (*Withdraw) isMessage()         {}
func (*Assign) isMessage()           {}
func (*ReturnAssignment) isMessage() {}
func (*PlaceRequest) isMessage()     {}
func (*Drop) isMessage()             {}
func (*Result) isMessage()           {}
func (*Acknowledge) isMessage()      {}
func (*Supply) isMessage()           {}
func (*Beat) isMessage()             {}
func (*HoldRequest) isMessage()      {}
func (*HoldGrant) isMessage()        {}
func (*HoldFreed) isMessage()        {}
func (*Attach) isMessage()           {}
func (*AttachReply) isMessage()      {}
func (*CancelJob) isMessage()        {}
func (*Relay) isMessage()            {}
func (*RelayDone) isMessage()        {}
func (*Goodbye) isMessage()          {}
func (*Forward) isMessage()          {}
