package peer

import (
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"crocusseam/pkg/dispatch"
	"crocusseam/pkg/routing"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/submission"
	"crocusseam/service/peer/wire"
)

// samples has one message of each kind.
func sampleMessages() []dispatch.Message {
	e := netip.MustParseAddrPort("10.0.0.1:9000")
	a := routing.Attempt{Home: "east-1", Incarnation: 7, Number: 9}
	key := submission.Key{Team: "capstone", ID: "one"}
	return []dispatch.Message{
		&dispatch.Announce{Job: 1, Team: "capstone", Priority: -2, Waited: time.Second, RemainingTime: time.Hour, RemainingWork: time.Minute, Demands: []routing.Demand{{
			Attempt: a, Team: "capstone", Kind: "hold", Work: time.Second, Processors: 1, MemoryBytes: 2, Accelerators: 3, Repeatable: true, Avoid: []netip.AddrPort{e},
		}}},
		&dispatch.Withdraw{Numbers: []uint64{1, 2}},
		&dispatch.Assign{Number: 9, Endpoint: e, Holder: dispatch.PeerID{Instance: "west-1", Incarnation: 3}},
		&dispatch.ReturnAssignment{Attempt: a, Endpoint: e},
		&dispatch.PlaceRequest{Attempt: a, Key: key, Task: "t", Try: 2, Kind: "hold", Payload: []byte("p"), Token: "x", RemainingTime: time.Second, Work: time.Minute, Endpoint: e, Resent: true},
		&dispatch.Drop{Attempt: a},
		&dispatch.Result{Attempt: a, Endpoint: e, Outcome: dispatch.Unknown, Output: []byte("o"), Detail: "d", RunTime: time.Second, Speed: 2, SpeedLearned: true},
		&dispatch.Acknowledge{Numbers: []uint64{4}},
		&dispatch.Supply{
			Whole: true, Endpoints: []dispatch.EndpointReport{{Endpoint: e, Slots: 8, Speed: 1.5, Probe: true, Samples: 3}},
			Held: []dispatch.HeldAttempt{{Attempt: a, Endpoint: e, RemainingTime: time.Second}}, Done: []routing.Attempt{a},
		},
		&dispatch.Beat{Waits: []dispatch.PriorityWait{{Priority: -1, Wait: time.Second}}},
		&dispatch.HoldRequest{Endpoints: []netip.AddrPort{e}},
		&dispatch.HoldGrant{Endpoints: []netip.AddrPort{e}, Occupied: []int{3}},
		&dispatch.HoldFreed{Endpoint: e},
		&dispatch.Attach{Key: key, Token: "x"},
		&dispatch.AttachReply{Key: key, Reply: submission.Reply{Answer: &submission.Answer{Status: submission.Complete, Results: []submission.Result{{Name: "t", Output: []byte("o")}}}}},
		&dispatch.AttachReply{Key: key, Reply: submission.Reply{Refusal: &submission.Refusal{Reason: submission.Overloaded, NotRun: true, RetryAfter: time.Second, Detail: "d"}}},
		&dispatch.AttachReply{Key: key, Absent: true},
		&dispatch.CancelJob{Key: key},
		&dispatch.Relay{ID: 5, Writes: []storage.Write{{Key: "k", Value: []byte("v"), Expect: storage.AnyVersion, Delete: true}}},
		&dispatch.RelayDone{ID: 5, Version: 6, Outcome: dispatch.Conflicted, Rows: []storage.Row{{Key: "k", Value: []byte("v"), Version: 3}}},
		&dispatch.Forward{Submission: &submission.Submission{
			Key: key, Class: "Door", Deadline: time.Unix(5, 6).UTC(), Repeatable: true, HomeDomain: "east", Attempt: 1,
			Tasks: []submission.Task{{Name: "t", Kind: "k", Payload: []byte("p"), DeclaredRunTime: time.Second, Processors: 1, MemoryBytes: 2, Accelerators: 3}},
		}},
		&dispatch.Goodbye{},
	}
}

func TestMessagesSurviveTheWire(t *testing.T) {
	for _, m := range sampleMessages() {
		text, err := proto.Marshal(ToWire(m))
		assert.NilError(t, err)
		var w wire.Message
		assert.NilError(t, proto.Unmarshal(text, &w))
		got, err := FromWire(&w)
		assert.NilError(t, err, "%T", m)
		assert.Equal(t, encoded(got), encoded(m))
	}
}

func encoded(m dispatch.Message) string {
	text, err := proto.MarshalOptions{Deterministic: true}.Marshal(ToWire(m))
	if err != nil {
		return err.Error()
	}
	return string(text)
}

func TestMalformedMessagesAreRefused(t *testing.T) {
	for _, m := range []*wire.Message{
		{},
		{Kind: &wire.Message_Place{Place: &wire.Place{}}},
		{Kind: &wire.Message_Assign{Assign: &wire.Assign{Endpoint: []byte("xx")}}},
		{Kind: &wire.Message_Result{Result: &wire.Result{Attempt: &wire.Attempt{}, Endpoint: make([]byte, 6)}}},
		{Kind: &wire.Message_HoldGrant{HoldGrant: &wire.HoldGrant{Occupied: []uint32{1}}}},
		{Kind: &wire.Message_AttachReply{AttachReply: &wire.AttachReply{}}},
	} {
		_, err := FromWire(m)
		assert.Assert(t, err != nil, "%v", m)
	}
}

func FuzzFromWire(f *testing.F) {
	for _, m := range sampleMessages() {
		text, err := proto.Marshal(ToWire(m))
		assert.NilError(f, err)
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var w wire.Message
		if proto.Unmarshal(text, &w) != nil {
			return
		}
		if m, err := FromWire(&w); err == nil {
			assert.Assert(t, ToWire(m) != nil)
		}
	})
}
