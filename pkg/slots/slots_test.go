package slots

import (
	"fmt"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func drawMembers(t *rapid.T) []Member {
	count := rapid.IntRange(1, 9).Draw(t, "members")
	members := make([]Member, count)
	for i := range members {
		members[i] = Member{Instance: fmt.Sprint("i", i), Capacity: rapid.IntRange(1, 8).Draw(t, "capacity")}
	}
	return members
}

func drawEndpoints(t *rapid.T) []netip.AddrPort {
	count := rapid.IntRange(0, 60).Draw(t, "endpoints")
	list := make([]netip.AddrPort, count)
	for i := range list {
		list[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 9000)
	}
	return list
}

func counts(division map[netip.AddrPort]string) map[string]int {
	n := make(map[string]int)
	for _, holder := range division {
		n[holder]++
	}
	return n
}

func TestDivisionIsExactAndProportional(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		endpoints, members := drawEndpoints(t), drawMembers(t)
		division := Assign(endpoints, members)
		if len(division) != len(endpoints) {
			t.Fatalf("%d of %d endpoints have a holder", len(division), len(endpoints))
		}
		total := 0
		for _, m := range members {
			total += m.Capacity
		}
		n := counts(division)
		for _, m := range members {
			share := len(endpoints) * m.Capacity / total
			if n[m.Instance] < share || n[m.Instance] > share+1 {
				t.Fatalf("%s holds %d, its share is %d", m.Instance, n[m.Instance], share)
			}
		}
	})
}

func TestDivisionDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		endpoints, members := drawEndpoints(t), drawMembers(t)
		division := Assign(endpoints, members)
		shuffled := Assign(rapid.Permutation(endpoints).Draw(t, "order"), rapid.Permutation(members).Draw(t, "members' order"))
		for e, holder := range division {
			if shuffled[e] != holder {
				t.Fatalf("%s is held by %s or %s", e, holder, shuffled[e])
			}
		}
	})
}

func TestLeavingMemberMovesFewEndpoints(t *testing.T) {
	var endpoints []netip.AddrPort
	for i := range 120 {
		endpoints = append(endpoints, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 9000))
	}
	members := []Member{{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}}
	before, after := Assign(endpoints, members), Assign(endpoints, members[:3])
	moved := 0
	for e, holder := range before {
		if holder != "d" && after[e] != holder {
			moved++
		}
	}
	assert.Assert(t, moved <= len(endpoints)/4, "%d endpoints changed hands between members that stayed", moved)
}

func TestNobodyHoldsWithoutMembers(t *testing.T) {
	assert.Equal(t, len(Assign([]netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")}, nil)), 0)
}
