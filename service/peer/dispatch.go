package peer

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"

	"crocusseam/pkg/dispatch"
	"crocusseam/pkg/routing"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/submission"
	"crocusseam/service/peer/wire"
)

// ErrInvalidMessage reports that a peer's message is malformed or of an unknown
// kind.
type ErrInvalidMessage struct {
	Kind  string
	Cause error
}

func (e *ErrInvalidMessage) Error() string { return fmt.Sprintf("message %s: %v", e.Kind, e.Cause) }

func (e *ErrInvalidMessage) Unwrap() error { return e.Cause }

var (
	errKind     = errors.New("the kind is unknown")
	errAttempt  = errors.New("the attempt is missing")
	errLengths  = errors.New("the lists of endpoints and of occupied slots differ in length")
	errHolder   = errors.New("the holder is missing")
	errInstance = errors.New("it names no instance")
	errOutcome  = errors.New("the outcome is unknown")
	errSpeed    = errors.New("the speed is not a positive number")
	errUptime   = errors.New("the uptime is longer than an instance can run")
	errReply    = errors.New("the reply has neither an answer nor a refusal")
)

func toAttempt(a routing.Attempt) *wire.Attempt {
	return &wire.Attempt{Home: a.Home, Incarnation: a.Incarnation, Number: a.Number}
}

func toAttempts(list []routing.Attempt) []*wire.Attempt {
	out := make([]*wire.Attempt, len(list))
	for i, a := range list {
		out[i] = toAttempt(a)
	}
	return out
}

func toAddress(a netip.AddrPort) []byte {
	b, err := a.MarshalBinary()
	if err != nil {
		return nil // MarshalBinary of netip never fails
	}
	return b
}

func toAddresses(list []netip.AddrPort) [][]byte {
	out := make([][]byte, len(list))
	for i, a := range list {
		out[i] = toAddress(a)
	}
	return out
}

// ToWire converts a message to its form on the wire.
func ToWire(m dispatch.Message) *wire.Message {
	switch m := m.(type) {
	case *dispatch.Announce:
		return &wire.Message{Kind: &wire.Message_Announce{Announce: toAnnounce(m)}}
	case *dispatch.Withdraw:
		return &wire.Message{Kind: &wire.Message_Withdraw{Withdraw: &wire.Withdraw{Numbers: m.Numbers}}}
	case *dispatch.Assign:
		return &wire.Message{Kind: &wire.Message_Assign{Assign: &wire.Assign{
			Number: m.Number, Endpoint: toAddress(m.Endpoint),
			Owner: &wire.Instance{Name: m.Holder.Instance, Incarnation: m.Holder.Incarnation},
		}}}
	case *dispatch.ReturnAssignment:
		return &wire.Message{Kind: &wire.Message_Return{Return: &wire.Return{Attempt: toAttempt(m.Attempt), Endpoint: toAddress(m.Endpoint)}}}
	case *dispatch.PlaceRequest:
		return &wire.Message{Kind: &wire.Message_Place{Place: toPlaceRequest(m)}}
	case *dispatch.Drop:
		return &wire.Message{Kind: &wire.Message_Drop{Drop: &wire.Drop{Attempt: toAttempt(m.Attempt)}}}
	case *dispatch.Result:
		return &wire.Message{Kind: &wire.Message_Result{Result: &wire.Result{
			Attempt: toAttempt(m.Attempt), Endpoint: toAddress(m.Endpoint), Outcome: wire.Outcome(m.Outcome),
			Output: m.Output, Detail: m.Detail, RunTimeNanos: int64(m.RunTime), Speed: m.Speed, Learned: m.SpeedLearned,
		}}}
	case *dispatch.Acknowledge:
		return &wire.Message{Kind: &wire.Message_Acknowledge{Acknowledge: &wire.Acknowledge{Numbers: m.Numbers}}}
	case *dispatch.Supply:
		return &wire.Message{Kind: &wire.Message_Supply{Supply: toSupply(m)}}
	case *dispatch.Beat:
		return &wire.Message{Kind: &wire.Message_Beat{Beat: toBeat(m)}}
	default:
		return toWireOther(m)
	}
}

// toWireOther converts the messages that are not sent for every task.
func toWireOther(m dispatch.Message) *wire.Message {
	switch m := m.(type) {
	case *dispatch.HoldRequest:
		return &wire.Message{Kind: &wire.Message_HoldRequest{HoldRequest: &wire.HoldRequest{Endpoints: toAddresses(m.Endpoints)}}}
	case *dispatch.HoldGrant:
		grant := &wire.HoldGrant{Endpoints: toAddresses(m.Endpoints)}
		for _, n := range m.Occupied {
			grant.Occupied = append(grant.Occupied, uint32(n))
		}
		return &wire.Message{Kind: &wire.Message_HoldGrant{HoldGrant: grant}}
	case *dispatch.HoldFreed:
		return &wire.Message{Kind: &wire.Message_HoldFreed{HoldFreed: &wire.HoldFreed{Endpoint: toAddress(m.Endpoint)}}}
	case *dispatch.Attach:
		return &wire.Message{Kind: &wire.Message_Attach{Attach: &wire.Attach{Team: m.Key.Team, Id: m.Key.ID, Token: m.Token}}}
	case *dispatch.AttachReply:
		return &wire.Message{Kind: &wire.Message_AttachReply{AttachReply: toAttachReply(m)}}
	case *dispatch.CancelJob:
		return &wire.Message{Kind: &wire.Message_CancelJob{CancelJob: &wire.CancelJob{Team: m.Key.Team, Id: m.Key.ID}}}
	case *dispatch.Relay:
		return &wire.Message{Kind: &wire.Message_Relay{Relay: toRelay(m)}}
	case *dispatch.RelayDone:
		return &wire.Message{Kind: &wire.Message_RelayDone{RelayDone: toRelayDone(m)}}
	case *dispatch.Forward:
		return &wire.Message{Kind: &wire.Message_Forward{Forward: toForward(m.Submission)}}
	case *dispatch.Goodbye:
		return &wire.Message{Kind: &wire.Message_Goodbye{Goodbye: &wire.Goodbye{}}}
	}
	return nil
}

func toAnnounce(m *dispatch.Announce) *wire.Announce {
	out := &wire.Announce{
		Job: m.Job, Team: m.Team, Priority: int64(m.Priority),
		WaitedNanos: int64(m.Waited), LeftNanos: int64(m.RemainingTime), RemainingNanos: int64(m.RemainingWork),
	}
	for i := range m.Demands {
		d := &m.Demands[i]
		out.Demands = append(out.Demands, &wire.Demand{
			Attempt: toAttempt(d.Attempt), Kind: d.Kind, WorkNanos: int64(d.Work), Processors: uint32(d.Processors),
			MemoryBytes: uint64(d.MemoryBytes), Accelerators: uint32(d.Accelerators), Repeatable: d.Repeatable,
			Avoid: toAddresses(d.Avoid),
		})
	}
	return out
}

func toPlaceRequest(m *dispatch.PlaceRequest) *wire.Place {
	return &wire.Place{
		Attempt: toAttempt(m.Attempt), Team: m.Key.Team, Id: m.Key.ID, Task: m.Task, Try: uint32(m.Try),
		Kind: m.Kind, Payload: m.Payload, Token: m.Token, LeftNanos: int64(m.RemainingTime), WorkNanos: int64(m.Work),
		Endpoint: toAddress(m.Endpoint), Again: m.Resent,
	}
}

func toSupply(m *dispatch.Supply) *wire.Supply {
	out := &wire.Supply{Whole: m.Whole, Done: toAttempts(m.Done)}
	for _, r := range m.Endpoints {
		out.Endpoints = append(out.Endpoints, &wire.EndpointReport{
			Endpoint: toAddress(r.Endpoint), Slots: uint32(r.Slots), Speed: r.Speed, Probe: r.Probe, Samples: uint32(r.Samples),
		})
	}
	for _, h := range m.Held {
		out.Held = append(out.Held, &wire.HeldAttempt{
			Attempt: toAttempt(h.Attempt), Endpoint: toAddress(h.Endpoint), LeftNanos: int64(h.RemainingTime),
		})
	}
	return out
}

func toBeat(m *dispatch.Beat) *wire.Beat {
	out := &wire.Beat{}
	for _, w := range m.Waits {
		out.Waits = append(out.Waits, &wire.PriorityWait{Priority: int64(w.Priority), WaitNanos: int64(w.Wait)})
	}
	return out
}

func toAttachReply(m *dispatch.AttachReply) *wire.AttachReply {
	out := &wire.AttachReply{Team: m.Key.Team, Id: m.Key.ID, Absent: m.Absent}
	if a := m.Reply.Answer; a != nil {
		out.Answer = &wire.Answer{Status: string(a.Status), Reason: string(a.Reason), Detail: a.Detail}
		for _, r := range a.Results {
			out.Answer.Results = append(out.Answer.Results, &wire.TaskResult{Name: r.Name, Output: r.Output})
		}
	}
	if r := m.Reply.Refusal; r != nil {
		out.Refusal = &wire.Refusal{
			Reason: string(r.Reason), NotRun: r.NotRun, RetryAfterNanos: int64(r.RetryAfter), Detail: r.Detail,
		}
	}
	return out
}

func toRelay(m *dispatch.Relay) *wire.Relay {
	out := &wire.Relay{Id: m.ID}
	for _, w := range m.Writes {
		out.Writes = append(out.Writes, &wire.Write{Key: w.Key, Value: w.Value, Expect: uint64(w.Expect), Delete: w.Delete})
	}
	return out
}

func toRelayDone(m *dispatch.RelayDone) *wire.RelayDone {
	out := &wire.RelayDone{Id: m.ID, Version: uint64(m.Version), Outcome: wire.CommitOutcome(m.Outcome)}
	for _, r := range m.Rows {
		out.Rows = append(out.Rows, &wire.Row{Key: r.Key, Value: r.Value, Version: uint64(r.Version)})
	}
	return out
}

func toForward(s *submission.Submission) *wire.Forward {
	out := &wire.Forward{
		Team: s.Team, Id: s.ID, Class: s.Class, DeadlineUnixNanos: s.Deadline.UnixNano(), Repeatable: s.Repeatable,
		HomeDomain: s.HomeDomain, Attempt: uint32(s.Attempt),
	}
	for _, t := range s.Tasks {
		out.Tasks = append(out.Tasks, &wire.Task{
			Name: t.Name, Kind: t.Kind, Payload: t.Payload, DeclaredRunTimeNanos: int64(t.DeclaredRunTime),
			Processors: uint32(t.Processors), MemoryBytes: uint64(t.MemoryBytes), Accelerators: uint32(t.Accelerators),
		})
	}
	return out
}

func fromForward(m *wire.Forward) *submission.Submission {
	s := &submission.Submission{
		Key: submission.Key{Team: m.GetTeam(), ID: m.GetId()}, Class: m.GetClass(),
		Deadline: time.Unix(0, m.GetDeadlineUnixNanos()).UTC(), Repeatable: m.GetRepeatable(),
		HomeDomain: m.GetHomeDomain(), Attempt: int(m.GetAttempt()),
	}
	for _, t := range m.GetTasks() {
		s.Tasks = append(s.Tasks, submission.Task{
			Name: t.GetName(), Kind: t.GetKind(), Payload: t.GetPayload(), DeclaredRunTime: time.Duration(t.GetDeclaredRunTimeNanos()),
			Processors: int(t.GetProcessors()), MemoryBytes: int64(t.GetMemoryBytes()), Accelerators: int(t.GetAccelerators()),
		})
	}
	return s
}

// reader converts the parts of a message from their wire form and keeps the first
// error.
type reader struct {
	err error
}

func (r *reader) recordError(err error) {
	if r.err == nil {
		r.err = err
	}
}

func (r *reader) attempt(a *wire.Attempt) routing.Attempt {
	if a == nil {
		r.recordError(errAttempt)
		return routing.Attempt{}
	}
	return routing.Attempt{Home: a.Home, Incarnation: a.Incarnation, Number: a.Number}
}

func (r *reader) attempts(list []*wire.Attempt) []routing.Attempt {
	var out []routing.Attempt
	for _, a := range list {
		out = append(out, r.attempt(a))
	}
	return out
}

func (r *reader) address(b []byte) netip.AddrPort {
	var a netip.AddrPort
	if err := a.UnmarshalBinary(b); err != nil {
		r.recordError(err)
	}
	return a
}

func (r *reader) addresses(list [][]byte) []netip.AddrPort {
	var out []netip.AddrPort
	for _, b := range list {
		out = append(out, r.address(b))
	}
	return out
}

// FromWire converts a message from its form on the wire. It returns
// *ErrInvalidMessage if the kind is unknown, or a part is missing or malformed.
func FromWire(m *wire.Message) (dispatch.Message, error) {
	r := &reader{}
	out := r.message(m)
	if out == nil {
		r.recordError(errKind)
	}
	if r.err != nil {
		return nil, &ErrInvalidMessage{Kind: fmt.Sprintf("%T", m.GetKind()), Cause: r.err}
	}
	return out, nil
}

func (r *reader) message(m *wire.Message) dispatch.Message {
	switch k := m.GetKind().(type) {
	case *wire.Message_Announce:
		return r.announce(k.Announce)
	case *wire.Message_Withdraw:
		return &dispatch.Withdraw{Numbers: k.Withdraw.GetNumbers()}
	case *wire.Message_Assign:
		return r.assign(k.Assign)
	case *wire.Message_Return:
		return &dispatch.ReturnAssignment{Attempt: r.attempt(k.Return.GetAttempt()), Endpoint: r.address(k.Return.GetEndpoint())}
	case *wire.Message_Place:
		return r.placeRequest(k.Place)
	case *wire.Message_Drop:
		return &dispatch.Drop{Attempt: r.attempt(k.Drop.GetAttempt())}
	case *wire.Message_Result:
		return r.result(k.Result)
	case *wire.Message_Acknowledge:
		return &dispatch.Acknowledge{Numbers: k.Acknowledge.GetNumbers()}
	case *wire.Message_Supply:
		return r.supply(k.Supply)
	case *wire.Message_Beat:
		return r.beat(k.Beat)
	default:
		return r.otherMessage(m)
	}
}

func (r *reader) otherMessage(m *wire.Message) dispatch.Message {
	switch k := m.GetKind().(type) {
	case *wire.Message_HoldRequest:
		return &dispatch.HoldRequest{Endpoints: r.addresses(k.HoldRequest.GetEndpoints())}
	case *wire.Message_HoldGrant:
		return r.holdGrant(k.HoldGrant)
	case *wire.Message_HoldFreed:
		return &dispatch.HoldFreed{Endpoint: r.address(k.HoldFreed.GetEndpoint())}
	case *wire.Message_Attach:
		return &dispatch.Attach{Key: submission.Key{Team: k.Attach.GetTeam(), ID: k.Attach.GetId()}, Token: k.Attach.GetToken()}
	case *wire.Message_AttachReply:
		return r.attachReply(k.AttachReply)
	case *wire.Message_CancelJob:
		return &dispatch.CancelJob{Key: submission.Key{Team: k.CancelJob.GetTeam(), ID: k.CancelJob.GetId()}}
	case *wire.Message_Relay:
		return r.relay(k.Relay)
	case *wire.Message_RelayDone:
		return r.relayDone(k.RelayDone)
	case *wire.Message_Forward:
		return &dispatch.Forward{Submission: fromForward(k.Forward)}
	case *wire.Message_Goodbye:
		return &dispatch.Goodbye{}
	}
	return nil
}

func (r *reader) announce(m *wire.Announce) dispatch.Message {
	out := &dispatch.Announce{
		Job: m.GetJob(), Team: m.GetTeam(), Priority: int(m.GetPriority()),
		Waited: time.Duration(m.GetWaitedNanos()), RemainingTime: time.Duration(m.GetLeftNanos()),
		RemainingWork: time.Duration(m.GetRemainingNanos()),
	}
	for _, d := range m.GetDemands() {
		out.Demands = append(out.Demands, routing.Demand{
			Attempt: r.attempt(d.GetAttempt()), Team: m.GetTeam(), Kind: d.GetKind(), Work: time.Duration(d.GetWorkNanos()),
			Processors: int(d.GetProcessors()), MemoryBytes: int64(d.GetMemoryBytes()), Accelerators: int(d.GetAccelerators()),
			Repeatable: d.GetRepeatable(), Avoid: r.addresses(d.GetAvoid()),
		})
	}
	return out
}

func (r *reader) assign(m *wire.Assign) dispatch.Message {
	if m.GetOwner() == nil {
		r.recordError(errHolder)
	}
	return &dispatch.Assign{
		Number: m.GetNumber(), Endpoint: r.address(m.GetEndpoint()),
		Holder: dispatch.PeerID{Instance: m.GetOwner().GetName(), Incarnation: m.GetOwner().GetIncarnation()},
	}
}

func (r *reader) placeRequest(m *wire.Place) dispatch.Message {
	return &dispatch.PlaceRequest{
		Attempt: r.attempt(m.GetAttempt()), Key: submission.Key{Team: m.GetTeam(), ID: m.GetId()}, Task: m.GetTask(),
		Try: int(m.GetTry()), Kind: m.GetKind(), Payload: m.GetPayload(), Token: m.GetToken(),
		RemainingTime: time.Duration(m.GetLeftNanos()), Work: time.Duration(m.GetWorkNanos()),
		Endpoint: r.address(m.GetEndpoint()), Resent: m.GetAgain(),
	}
}

func (r *reader) result(m *wire.Result) dispatch.Message {
	outcome := dispatch.Outcome(m.GetOutcome())
	if outcome < dispatch.Done || outcome > dispatch.Unknown {
		r.recordError(errOutcome)
	}
	if !(m.GetSpeed() > 0) || math.IsInf(m.GetSpeed(), 0) {
		r.recordError(errSpeed)
	}
	return &dispatch.Result{
		Attempt: r.attempt(m.GetAttempt()), Endpoint: r.address(m.GetEndpoint()), Outcome: outcome,
		Output: m.GetOutput(), Detail: m.GetDetail(), RunTime: time.Duration(m.GetRunTimeNanos()), Speed: m.GetSpeed(), SpeedLearned: m.GetLearned(),
	}
}

func (r *reader) supply(m *wire.Supply) dispatch.Message {
	out := &dispatch.Supply{Whole: m.GetWhole(), Done: r.attempts(m.GetDone())}
	for _, e := range m.GetEndpoints() {
		if !(e.GetSpeed() > 0) || math.IsInf(e.GetSpeed(), 0) {
			r.recordError(errSpeed)
		}
		out.Endpoints = append(out.Endpoints, dispatch.EndpointReport{
			Endpoint: r.address(e.GetEndpoint()), Slots: int(e.GetSlots()), Speed: e.GetSpeed(), Probe: e.GetProbe(), Samples: int(e.GetSamples()),
		})
	}
	for _, h := range m.GetHeld() {
		out.Held = append(out.Held, dispatch.HeldAttempt{
			Attempt: r.attempt(h.GetAttempt()), Endpoint: r.address(h.GetEndpoint()), RemainingTime: time.Duration(h.GetLeftNanos()),
		})
	}
	return out
}

func (r *reader) beat(m *wire.Beat) dispatch.Message {
	out := &dispatch.Beat{}
	for _, w := range m.GetWaits() {
		out.Waits = append(out.Waits, dispatch.PriorityWait{Priority: int(w.GetPriority()), Wait: time.Duration(w.GetWaitNanos())})
	}
	return out
}

func (r *reader) holdGrant(m *wire.HoldGrant) dispatch.Message {
	if len(m.GetEndpoints()) != len(m.GetOccupied()) {
		r.recordError(errLengths)
	}
	out := &dispatch.HoldGrant{Endpoints: r.addresses(m.GetEndpoints())}
	for _, n := range m.GetOccupied() {
		out.Occupied = append(out.Occupied, int(n))
	}
	return out
}

func (r *reader) attachReply(m *wire.AttachReply) dispatch.Message {
	out := &dispatch.AttachReply{Key: submission.Key{Team: m.GetTeam(), ID: m.GetId()}, Absent: m.GetAbsent()}
	if a := m.GetAnswer(); a != nil {
		answer := &submission.Answer{Status: submission.Status(a.GetStatus()), Reason: submission.Reason(a.GetReason()), Detail: a.GetDetail()}
		for _, t := range a.GetResults() {
			answer.Results = append(answer.Results, submission.Result{Name: t.GetName(), Output: t.GetOutput()})
		}
		out.Reply.Answer = answer
	}
	if f := m.GetRefusal(); f != nil {
		out.Reply.Refusal = &submission.Refusal{
			Reason: submission.Reason(f.GetReason()), NotRun: f.GetNotRun(),
			RetryAfter: time.Duration(f.GetRetryAfterNanos()), Detail: f.GetDetail(),
		}
	}
	if !out.Absent && out.Reply.Answer == nil && out.Reply.Refusal == nil {
		r.recordError(errReply)
	}
	return out
}

func (r *reader) relay(m *wire.Relay) dispatch.Message {
	out := &dispatch.Relay{ID: m.GetId()}
	for _, w := range m.GetWrites() {
		out.Writes = append(out.Writes, storage.Write{
			Key: w.GetKey(), Value: w.GetValue(), Expect: storage.Version(w.GetExpect()), Delete: w.GetDelete(),
		})
	}
	return out
}

func (r *reader) relayDone(m *wire.RelayDone) dispatch.Message {
	out := &dispatch.RelayDone{ID: m.GetId(), Version: storage.Version(m.GetVersion()), Outcome: dispatch.CommitOutcome(m.GetOutcome())}
	for _, row := range m.GetRows() {
		out.Rows = append(out.Rows, storage.Row{Key: row.GetKey(), Value: row.GetValue(), Version: storage.Version(row.GetVersion())})
	}
	return out
}
