package dispatch

import (
	"net/netip"
	"time"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/routing"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/submission"
)

// Handle identifies a caller's request that waits for a reply.
type Handle uint64

// Input is an event that Step applies to the control state.
type Input interface{ isInput() }

// Submit is a caller's request to run a submission.
type Submit struct {
	Handle     Handle
	Submission *submission.Submission
}

// Await is a caller's request for the answer to an earlier submission.
type Await struct {
	Handle Handle
	Key    submission.Key
}

// Cancel is a caller's request to cancel a submission.
type Cancel struct {
	Handle Handle
	Key    submission.Key
}

// Abandon reports that a caller has closed its request before the reply.
type Abandon struct {
	Handle Handle
}

// CommitDone is the result of a Commit.
type CommitDone struct {
	ID      uint64
	Version storage.Version
	Err     error
}

// GetDone is the result of a Get.
type GetDone struct {
	ID  uint64
	Row storage.Row
	Err error
}

// ObjectDone is the result of a PutObject or a GetObject.
type ObjectDone struct {
	ID      uint64
	Content []byte
	Err     error
}

// ScanDone is the result of a Scan.
type ScanDone struct {
	ID   uint64
	Rows []storage.Row
	Err  error
}

// ListDone is the result of a List.
type ListDone struct {
	Instances []storage.ListedInstance
	Err       error
}

// AttemptDone reports the outcome of a started attempt.
type AttemptDone struct {
	Attempt routing.Attempt
	Outcome Outcome
	Output  []byte
	Detail  string
}

// Received delivers a message from a peer.
type Received struct {
	From    PeerID
	Message Message
}

// PeerUp reports that a session with a peer was established.
type PeerUp struct {
	Peer PeerID
}

// PeerDown reports that the session with a peer was lost.
type PeerDown struct {
	Peer PeerID
}

// Stop starts a planned stop.
type Stop struct{}

// Tick has no content. It makes Step run its systems at a new time.
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

// Effect is an operation that Step asks its caller to perform: input, output or
// the run of a task.
type Effect interface{ isEffect() }

// Reply sends the reply to a caller's request.
type Reply struct {
	Handle Handle
	Reply  submission.Reply
}

// Commit writes rows to the table in one atomic, conditional write.
type Commit struct {
	ID     uint64
	Writes []storage.Write
}

// Get reads one row of the table.
type Get struct {
	ID  uint64
	Key string
}

// PutObject writes an object to the object store.
type PutObject struct {
	ID      uint64
	Name    string
	Content []byte
}

// GetObject reads an object from the object store.
type GetObject struct {
	ID   uint64
	Name string
}

// Scan reads the rows of the table whose keys begin with Prefix.
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

// Interrupt stops a started attempt.
type Interrupt struct {
	Attempt routing.Attempt
}

// Send sends a message to a peer.
type Send struct {
	Peer    PeerID
	Message Message
}

// Connect replaces the list of peers to keep sessions with.
type Connect struct {
	Peers []Peer
}

// Stopped reports that a planned stop is complete.
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

// PeerID identifies one incarnation of an instance.
type PeerID = instance.ID

// Peer is an instance and the address where its peers reach it.
type Peer = instance.Peer

// Outcome is how an attempt finished.
type Outcome int

// Outcomes of an attempt.
const (
	Done       Outcome = iota + 1
	NotStarted         // the task has certainly not run
	TaskFailed
	Unknown // the task may have run
)

func (o Outcome) String() string {
	return [...]string{"", "Done", "NotStarted", "TaskFailed", "Unknown"}[o]
}

// Message is sent from one instance to another, or to itself.
type Message interface{ isMessage() }

// Announce reports to the lead tasks of one job that wait for a slot.
type Announce struct {
	Job           uint64 // the home's number for the job
	Team          string
	Priority      int
	Waited        time.Duration
	RemainingTime time.Duration // until the deadline
	RemainingWork time.Duration // of all tasks of the job without a slot, also of those not in Demands
	Demands       []routing.Demand
}

// Withdraw reports to the lead that attempts no longer wait for a slot.
type Withdraw struct {
	Numbers []uint64 // of the home's attempts
}

// Assign gives a home a slot for one of its attempts.
type Assign struct {
	Number   uint64 // of the home's attempt
	Endpoint netip.AddrPort
	Holder   PeerID
}

// ReturnAssignment reports to the lead that the home does not use an assigned
// slot.
type ReturnAssignment struct {
	Attempt  routing.Attempt
	Endpoint netip.AddrPort
}

// PlaceRequest asks the holder of an endpoint to run one attempt at a task.
type PlaceRequest struct {
	Attempt       routing.Attempt
	Key           submission.Key
	Task          string
	Try           int // number of this attempt at the task, from 1
	Kind          string
	Payload       []byte
	Token         string        // of the job's claim
	RemainingTime time.Duration // until the deadline
	Work          time.Duration // expected run time at speed 1
	Endpoint      netip.AddrPort
	Resent        bool // the home has sent it before, over an earlier session
}

// Drop asks a holder to interrupt an attempt, or to remove it from its queue.
type Drop struct {
	Attempt routing.Attempt
}

// Result reports to a home the outcome and output of an attempt.
type Result struct {
	Attempt      routing.Attempt
	Endpoint     netip.AddrPort
	Outcome      Outcome
	Output       []byte
	Detail       string
	RunTime      time.Duration
	Speed        float64
	SpeedLearned bool // Speed is computed from enough samples
}

// Acknowledge confirms to a holder that results have reached the home.
type Acknowledge struct {
	Numbers []uint64 // of the home's attempts
}

// EndpointReport describes an endpoint to the lead.
type EndpointReport struct {
	Endpoint netip.AddrPort
	Slots    int // 0 while no task may start there
	Speed    float64
	Probe    bool // the endpoint is ejected: only one Repeatable task may run there, as a probe
	Samples  int  // runs that Speed is computed from, up to routing.EnoughSamples
}

// Supply reports to the lead the endpoints that a holder offers. Each
// EndpointReport replaces the last one of its endpoint.
type Supply struct {
	Whole     bool // Endpoints and Held are complete; otherwise Endpoints lists changes and Held is empty
	Endpoints []EndpointReport
	Held      []HeldAttempt     // attempts that have been placed and have not ended
	Done      []routing.Attempt // attempts that have ended since the last report
}

// HeldAttempt is an attempt that occupies or waits for a slot of its holder.
type HeldAttempt struct {
	Attempt       routing.Attempt
	Endpoint      netip.AddrPort
	RemainingTime time.Duration // expected until its end
}

// Beat is the lead's heartbeat to the other members.
type Beat struct {
	Waits []PriorityWait // in falling order of priority
}

// PriorityWait is the expected wait of new work at one priority. It includes the
// waiting work of that priority and of all higher ones.
type PriorityWait struct {
	Priority int
	Wait     time.Duration
}

// HoldRequest asks a sibling to give up its holds of endpoints.
type HoldRequest struct {
	Endpoints []netip.AddrPort
}

// HoldGrant confirms that the sender starts no more tasks at the endpoints.
type HoldGrant struct {
	Endpoints []netip.AddrPort
	Occupied  []int // slots that the sender's runs still occupy, by index in Endpoints
}

// HoldFreed reports to a new holder that a run of the former holder, the
// sender, has ended and released its slot.
type HoldFreed struct {
	Endpoint netip.AddrPort
}

// Attach asks a job's home for the job's answer.
type Attach struct {
	Key   submission.Key
	Token string // of the job's claim
}

// AttachReply carries a job's answer.
type AttachReply struct {
	Key    submission.Key
	Absent bool // the home has no such job in memory; the claim row has its state
	Reply  submission.Reply
}

// CancelJob asks a job's home to cancel the job.
type CancelJob struct {
	Key submission.Key
}

// Relay asks a sibling to commit rows to the table, because the sender can't
// reach the platform.
type Relay struct {
	ID     uint64
	Writes []storage.Write
}

// RelayDone is the result of a Relay.
type RelayDone struct {
	ID      uint64
	Version storage.Version
	Outcome CommitOutcome
	Rows    []storage.Row // the present rows, if Conflicted
}

// CommitOutcome is the outcome of a relayed commit.
type CommitOutcome int

// Outcomes of a relayed commit.
const (
	Committed   CommitOutcome = iota + 1
	Conflicted                // a row had another version than the write expected
	Unavailable               // the commit has certainly not taken effect
	Uncertain                 // the commit may have taken effect
)

// Forward passes a submission on to the sibling that may start it without a
// claim.
type Forward struct {
	Submission *submission.Submission
}

// Goodbye reports that the sender has begun a planned stop.
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
