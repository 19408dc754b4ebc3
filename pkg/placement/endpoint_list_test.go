package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/table"
	"crocusseam/pkg/workload"
)

// precedingPeer precedes the bench's instance in the order of reading the endpoint list;
// farPeer is the first instance of another failure domain.
var (
	precedingPeer = instance.ID{Instance: "z", Incarnation: 1}
	farPeer       = instance.ID{Instance: "far", Incarnation: 1}
)

// connectMembers sets up sessions with peers whose member rows this instance has read.
func (b *bench) connectMembers(rows ...MemberRow) {
	var stored []storage.Row
	for i := range rows {
		stored = append(stored, storage.Row{Key: MemberPrefix + rows[i].Instance, Value: encodeStored(rows[i]), Version: 1})
	}
	b.control.readMembers(stored)
	for _, r := range rows {
		id := instance.ID{Instance: r.Instance, Incarnation: r.Incarnation}
		b.step(PeerUp{Peer: id}, b.receivedFrom(id, &Heartbeat{Configuration: 1}))
	}
}

func (b *bench) endpointListsTo(peer instance.ID) []*EndpointList {
	var lists []*EndpointList
	for _, s := range effectsOf[Send](b) {
		if m, ok := s.Message.(*EndpointList); ok && s.Peer == peer {
			lists = append(lists, m)
		}
	}
	return lists
}

// The reader sends the whole endpoint list once, and then only the changes: a message
// for an unchanged list has a few bytes, whatever the length of the list.
func TestListIsPassedOnAsDifferences(t *testing.T) {
	b := newBench(t)
	b.connectMembers(MemberRow{Instance: "b", Incarnation: 1, Domain: "east"}, MemberRow{Instance: "far", Incarnation: 1, Domain: "west"},
		MemberRow{Instance: "far-2", Incarnation: 1, Domain: "west"})
	second, third := benchEndpoint, benchEndpoint
	second.ID.Name, third.ID.Name = "e-2", "e-3"
	b.step(Listed{Endpoints: []workload.Endpoint{benchEndpoint, second}})
	far := b.endpointListsTo(farPeer)
	assert.Equal(t, len(far), 1)
	assert.Equal(t, far[0].Base, uint64(0))
	assert.Equal(t, len(far[0].Rows), 2)
	near := b.endpointListsTo(benchPeer)
	assert.Equal(t, len(near), 1)
	assert.Assert(t, near[0].Base > 0 && len(near[0].Rows) == 1, "the list was sent when the session began")
	assert.Equal(t, len(b.endpointListsTo(instance.ID{Instance: "far-2", Incarnation: 1})), 0, "the first instance of its domain forwards the list")
	b.step(Listed{Endpoints: []workload.Endpoint{benchEndpoint, second}})
	same := b.endpointListsTo(benchPeer)[0]
	assert.Assert(t, same.Base > 0 && len(same.Rows) == 0 && len(same.Gone) == 0)
	second.Draining = true
	b.step(Listed{Endpoints: []workload.Endpoint{second, third}})
	changed := b.endpointListsTo(benchPeer)[0]
	assert.Equal(t, changed.Base, same.Sequence)
	assert.Equal(t, len(changed.Rows), 2)
	assert.DeepEqual(t, changed.Gone, []string{"e-1"})
}

// An instance doesn't send its endpoint list to a restarted member when the list has not
// been refreshed for a while: it may contain endpoints that have left since.
func TestOldListIsNotPassedToAMemberThatHasRestarted(t *testing.T) {
	b := newBench(t)
	b.connectMembers(MemberRow{Instance: "b", Incarnation: 1, Domain: "east"})
	b.step(Listed{Endpoints: []workload.Endpoint{benchEndpoint}})
	b.connectMembers(MemberRow{Instance: "b", Incarnation: 2, Domain: "east"})
	assert.Equal(t, len(b.endpointListsTo(instance.ID{Instance: "b", Incarnation: 2})), 1)
	b.advanceBy(listMaxAge)
	b.connectMembers(MemberRow{Instance: "b", Incarnation: 3, Domain: "east"})
	assert.Equal(t, len(b.endpointListsTo(instance.ID{Instance: "b", Incarnation: 3})), 0)
	// A list received from an instance of the same domain is not forwarded.
	b.step(b.receivedFrom(instance.ID{Instance: "b", Incarnation: 3}, &EndpointList{table.Difference[string, workload.Endpoint]{Sequence: 1, Rows: []workload.Endpoint{benchEndpoint}}}))
	b.connectMembers(MemberRow{Instance: "b", Incarnation: 4, Domain: "east"})
	assert.Equal(t, len(b.endpointListsTo(instance.ID{Instance: "b", Incarnation: 4})), 0)
}

// An endpoint list from another failure domain is forwarded within this one, and no
// instance here reads it meanwhile. When it stops arriving, this instance reads the list
// until it arrives again.
func TestListOfAnotherDomainIsPassedOn(t *testing.T) {
	b := newBench(t)
	b.connectMembers(MemberRow{Instance: "b", Incarnation: 1, Domain: "east"}, MemberRow{Instance: "far", Incarnation: 1, Domain: "west", Share: 9})
	for range 12 {
		b.advanceBy(200 * time.Millisecond)
		b.step(b.receivedFrom(farPeer, &Heartbeat{Configuration: 1}), b.receivedFrom(benchPeer, &Heartbeat{Configuration: 1}))
	}
	assert.Assert(t, b.control.Overview().ReadsList)
	second := benchEndpoint
	second.ID.Name = "e-2"
	b.step(b.receivedFrom(farPeer, &EndpointList{table.Difference[string, workload.Endpoint]{Sequence: 4, Rows: []workload.Endpoint{benchEndpoint, second}}}))
	assert.Assert(t, !b.control.Overview().ReadsList)
	assert.Equal(t, len(b.endpointListsTo(benchPeer)[0].Rows), 1, "the other endpoint is known since the start")
	assert.Equal(t, len(b.endpointListsTo(farPeer)), 0)
	b.step(b.receivedFrom(farPeer, &EndpointList{table.Difference[string, workload.Endpoint]{Sequence: 5, Base: 4, Gone: []string{"e-2"}}}))
	assert.DeepEqual(t, b.endpointListsTo(benchPeer)[0].Gone, []string{"e-2"})
	b.step(b.receivedFrom(farPeer, &EndpointList{table.Difference[string, workload.Endpoint]{Sequence: 9, Base: 8, Gone: []string{"e-1"}}}))
	assert.Equal(t, len(b.endpointListsTo(benchPeer)), 0, "the changes refer to a list that is not known here")
	for range 12 {
		b.advanceBy(200 * time.Millisecond)
		b.step(b.receivedFrom(farPeer, &Heartbeat{Configuration: 1}), b.receivedFrom(benchPeer, &Heartbeat{Configuration: 1}))
	}
	assert.Assert(t, b.control.Overview().ReadsList)
	b.step(Listed{Endpoints: []workload.Endpoint{benchEndpoint}})
	assert.Assert(t, b.control.Overview().ReadsList, "no preceding instance forwards a list")
	b.step(b.receivedFrom(farPeer, &EndpointList{table.Difference[string, workload.Endpoint]{Sequence: 9, Rows: []workload.Endpoint{benchEndpoint}}}))
	assert.Assert(t, !b.control.Overview().ReadsList)
}

// When all instances of a failure domain miss the endpoint list, they begin to read it
// one after the other, in their order, so that one of them reads it.
func TestOneOfManyReadsALostList(t *testing.T) {
	b := newBench(t)
	b.connectMembers(MemberRow{Instance: "z", Incarnation: 1, Domain: "east", Share: 9})
	b.step(b.receivedFrom(precedingPeer, &EndpointList{table.Difference[string, workload.Endpoint]{Sequence: 4, Rows: []workload.Endpoint{benchEndpoint}}}))
	for range 12 {
		b.step(b.receivedFrom(precedingPeer, &Heartbeat{Configuration: 1}))
		assert.Assert(t, !b.control.Overview().ReadsList, "the preceding instance begins to read first")
		b.advanceBy(200 * time.Millisecond)
	}
	assert.Assert(t, b.control.Overview().ReadsList)
}

// Guards against two runs of a task at once: the list of a member that had been cut off showed
// an earlier incarnation of an endpoint, and the runs there counted as lapsed while they ran.
func TestOutdatedListEndsNoLifeOfAnEndpoint(t *testing.T) {
	b := newBench(t)
	b.connectMembers(MemberRow{Instance: "b", Incarnation: 1, Domain: "east"})
	present, former := benchEndpoint, benchEndpoint
	present.Version, present.Draining = 9, true
	former.Version, former.ID.Born = 4, benchEndpoint.ID.Born-1
	starts := b.submit(1, 1000)
	b.answerStart(&starts[0], Accepted)
	b.step(Listed{Endpoints: []workload.Endpoint{present}})
	b.step(b.receivedFrom(benchPeer, &EndpointList{table.Difference[string, workload.Endpoint]{Sequence: 1, Rows: []workload.Endpoint{former}}}))
	assert.Equal(t, b.control.Overview().Held, 1)
	for range 10 {
		b.advanceBy(10 * time.Millisecond)
		assert.Equal(t, len(effectsOf[Start](b)), 0, "the task is started again")
	}
	listed, ok := b.control.holder.listed.Get(benchEndpoint.ID.Name)
	assert.Assert(t, ok && listed.Draining && listed.ID == benchEndpoint.ID)
	next := former
	next.ID.Born, next.Version = benchEndpoint.ID.Born+1, 10
	b.step(Listed{Endpoints: []workload.Endpoint{next}})
	assert.Equal(t, b.control.Overview().Held, 0, "a later incarnation ends the hold")
}
