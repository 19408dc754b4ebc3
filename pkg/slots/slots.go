// Package slots assigns the endpoints of a failure domain, and with them their
// slots and connections, to the domain's live instances.
package slots

import (
	"fmt"
	"hash/fnv"
	"sort"
)

// Endpoint identifies an endpoint, or anything else that is assigned to members.
// Its String method returns a unique name.
type Endpoint interface {
	comparable
	fmt.Stringer
}

// Name is an Endpoint that consists only of its name.
type Name string

// String returns the name.
func (n Name) String() string { return string(n) }

// Member is an instance that endpoints can be assigned to.
type Member struct {
	Instance string
	Capacity int // relative size, at least 1
}

// Assign assigns each endpoint to exactly one member. Each member gets a number of
// endpoints in proportion to its capacity, rounded up or down. Rendezvous hashing
// chooses which ones, so that a change of members moves few endpoints. The result
// depends only on the given sets, not on their order. Without members it is empty.
func Assign[E Endpoint](endpoints []E, members []Member) map[E]string {
	assignment := make(map[E]string, len(endpoints))
	if len(members) == 0 {
		return assignment
	}
	members = append([]Member(nil), members...)
	sort.Slice(members, func(i, j int) bool { return members[i].Instance < members[j].Instance })
	remaining := quotas(len(endpoints), members)
	for _, p := range rankCandidates(endpoints, members) {
		if _, taken := assignment[p.endpoint]; taken || remaining[p.member] == 0 {
			continue
		}
		assignment[p.endpoint] = members[p.member].Instance
		remaining[p.member]--
	}
	return assignment
}

// quotas splits count in proportion to the members' capacities by the largest
// remainder method.
func quotas(count int, members []Member) []int {
	total := 0
	for _, m := range members {
		total += max(m.Capacity, 1)
	}
	quota := make([]int, len(members))
	unassigned := count
	order := make([]int, len(members))
	for i, m := range members {
		quota[i] = count * max(m.Capacity, 1) / total
		unassigned -= quota[i]
		order[i] = i
	}
	remainder := func(i int) int { return count * max(members[i].Capacity, 1) % total }
	sort.SliceStable(order, func(a, b int) bool { return remainder(order[a]) > remainder(order[b]) })
	for _, i := range order[:unassigned] {
		quota[i]++
	}
	return quota
}

// candidate is a possible assignment of an endpoint to a member.
type candidate[E Endpoint] struct {
	endpoint E
	name     string
	member   int // index into the members
	score    uint64
}

// rankCandidates lists all pairs of endpoint and member, those with the highest
// score first.
func rankCandidates[E Endpoint](endpoints []E, members []Member) []candidate[E] {
	list := make([]candidate[E], 0, len(endpoints)*len(members))
	for _, e := range endpoints {
		name := e.String()
		for i, m := range members {
			list = append(list, candidate[E]{e, name, i, Score(name, m.Instance)})
		}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if a.score != b.score {
			return a.score > b.score
		}
		if a.name != b.name {
			return a.name < b.name
		}
		return a.member < b.member
	})
	return list
}

// Score returns the rendezvous hashing weight of an instance for a key.
func Score(key, instance string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(instance))
	return mix(h.Sum64())
}

// mix spreads the bits of a hash with the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
