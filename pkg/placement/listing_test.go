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

// largePeer goes before the bench's instance in reading the list; farPeer is the
// first instance of another domain.
var (
	precedingPeer = instance.ID{Instance: "z", Incarnation: 1}
	farPeer       = instance.ID{Instance: "far", Incarnation: 1}
)

// meetRows sets up sessions with peers whose rows are known.
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

// The reader sends the whole list once, then what has changed: an unchanged list
// of any length is a few bytes.
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
	assert.Assert(t, near[0].Base > 0 && len(near[0].Rows) == 1, "it was sent the list when it was met")
	assert.Equal(t, len(b.endpointListsTo(instance.ID{Instance: "far-2", Incarnation: 1})), 0, "the first of its domain passes it on")
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

// A member that has restarted is not greeted with a list that this instance has not
// heard to be true for a while: it may name endpoints that have left since.
func TestOldListIsNotPassedToAMemberThatHasRestarted(t *testing.T) {
	b := newBench(t)
	b.connectMembers(MemberRow{Instance: "b", Incarnation: 1, Domain: "east"})
	b.step(Listed{Endpoints: []workload.Endpoint{benchEndpoint}})
	b.connectMembers(MemberRow{Instance: "b", Incarnation: 2, Domain: "east"})
	assert.Equal(t, len(b.endpointListsTo(instance.ID{Instance: "b", Incarnation: 2})), 1)
	b.advanceBy(listMaxAge)
	b.connectMembers(MemberRow{Instance: "b", Incarnation: 3, Domain: "east"})
	assert.Equal(t, len(b.endpointListsTo(instance.ID{Instance: "b", Incarnation: 3})), 0)
	// A list that is heard from another one of the domain is not passed on here.
	b.step(b.receivedFrom(instance.ID{Instance: "b", Incarnation: 3}, &EndpointList{table.Difference[string, workload.Endpoint]{Sequence: 1, Rows: []workload.Endpoint{benchEndpoint}}}))
	b.connectMembers(MemberRow{Instance: "b", Incarnation: 4, Domain: "east"})
	assert.Equal(t, len(b.endpointListsTo(instance.ID{Instance: "b", Incarnation: 4})), 0)
}

// What comes from another domain is passed on within this one, and nobody else
// reads the list meanwhile. When it stops coming, this instance reads it until it
// comes again.
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
	assert.Equal(t, len(b.endpointListsTo(benchPeer)[0].Rows), 1, "the other one is known since the start")
	assert.Equal(t, len(b.endpointListsTo(farPeer)), 0)
	b.step(b.receivedFrom(farPeer, &EndpointList{table.Difference[string, workload.Endpoint]{Sequence: 5, Base: 4, Gone: []string{"e-2"}}}))
	assert.DeepEqual(t, b.endpointListsTo(benchPeer)[0].Gone, []string{"e-2"})
	b.step(b.receivedFrom(farPeer, &EndpointList{table.Difference[string, workload.Endpoint]{Sequence: 9, Base: 8, Gone: []string{"e-1"}}}))
	assert.Equal(t, len(b.endpointListsTo(benchPeer)), 0, "changes since a list that is not known here")
	for range 12 {
		b.advanceBy(200 * time.Millisecond)
		b.step(b.receivedFrom(farPeer, &Heartbeat{Configuration: 1}), b.receivedFrom(benchPeer, &Heartbeat{Configuration: 1}))
	}
	assert.Assert(t, b.control.Overview().ReadsList)
	b.step(Listed{Endpoints: []workload.Endpoint{benchEndpoint}})
	assert.Assert(t, b.control.Overview().ReadsList, "nobody that goes before passes one on")
	b.step(b.receivedFrom(farPeer, &EndpointList{table.Difference[string, workload.Endpoint]{Sequence: 9, Rows: []workload.Endpoint{benchEndpoint}}}))
	assert.Assert(t, !b.control.Overview().ReadsList)
}

// Instances of a domain that all miss the list take their turns to read it.
func TestOneOfManyReadsALostList(t *testing.T) {
	b := newBench(t)
	b.connectMembers(MemberRow{Instance: "z", Incarnation: 1, Domain: "east", Share: 9})
	b.step(b.receivedFrom(precedingPeer, &EndpointList{table.Difference[string, workload.Endpoint]{Sequence: 4, Rows: []workload.Endpoint{benchEndpoint}}}))
	for range 12 {
		b.step(b.receivedFrom(precedingPeer, &Heartbeat{Configuration: 1}))
		assert.Assert(t, !b.control.Overview().ReadsList, "the one that goes before has its turn first")
		b.advanceBy(200 * time.Millisecond)
	}
	assert.Assert(t, b.control.Overview().ReadsList)
}
