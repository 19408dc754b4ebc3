// Package slots divides the endpoints of a failure domain, and with them their
// slots and connections, among the domain's live instances.
package slots

import (
	"fmt"
	"hash/fnv"
	"sort"
)

// Endpoint is what names an endpoint in a division. Names differ.
type Endpoint interface {
	comparable
	fmt.Stringer
}

// Name names what is divided where a text is enough.
type Name string

// String returns the name.
func (n Name) String() string { return string(n) }

// Member is an instance that takes part in a division.
type Member struct {
	Instance string
	Capacity int // relative size, at least 1
}

// Divide assigns each endpoint to exactly one member. The numbers of endpoints
// are in proportion to the capacities, exact to one endpoint, and which
// endpoints a member gets is chosen by rendezvous hashing, so that a change of
// members moves few of them. The result depends only on the sets given, not on
// their order. Without members it is empty.
func Assign[E Endpoint](endpoints []E, members []Member) map[E]string {
	division := make(map[E]string, len(endpoints))
	if len(members) == 0 {
		return division
	}
	members = append([]Member(nil), members...)
	sort.Slice(members, func(i, j int) bool { return members[i].Instance < members[j].Instance })
	left := quotas(len(endpoints), members)
	for _, p := range rankCandidates(endpoints, members) {
		if _, taken := division[p.endpoint]; taken || left[p.member] == 0 {
			continue
		}
		division[p.endpoint] = members[p.member].Instance
		left[p.member]--
	}
	return division
}

// quotas splits a count in proportion to the capacities by largest remainders.
func quotas(count int, members []Member) []int {
	total := 0
	for _, m := range members {
		total += max(m.Capacity, 1)
	}
	quota := make([]int, len(members))
	rest := count
	order := make([]int, len(members))
	for i, m := range members {
		quota[i] = count * max(m.Capacity, 1) / total
		rest -= quota[i]
		order[i] = i
	}
	remainder := func(i int) int { return count * max(members[i].Capacity, 1) % total }
	sort.SliceStable(order, func(a, b int) bool { return remainder(order[a]) > remainder(order[b]) })
	for _, i := range order[:rest] {
		quota[i]++
	}
	return quota
}

type candidate[E Endpoint] struct {
	endpoint E
	name     string
	member   int
	score    uint64
}

// preferences lists all pairs of endpoint and member, the strongest first.
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

// Score is the rendezvous weight of an instance for a key.
func Score(key, instance string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(instance))
	return mix(h.Sum64())
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
