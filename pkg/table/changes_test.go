package table

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"
)

type numbered struct {
	key   int
	value int
}

func collect(t *Table[int, numbered]) map[int]numbered {
	rows := make(map[int]numbered)
	for k, v := range t.All() {
		rows[k] = v
	}
	return rows
}

// Copies that take differences at different times, some of them late enough for
// removed keys to be forgotten, hold what the table holds.
func TestCopiesFollowTheTable(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 1))
	source := NewTrackedTable[int](func(a, b numbered) bool { return a == b }, 3)
	copies := make([]*Copy[int, numbered], 4)
	bases := make([]uint64, len(copies))
	for i := range copies {
		copies[i] = NewCopy(func(n numbered) int { return n.key })
	}
	state := make(map[int]numbered)
	for range 2000 {
		key := random.IntN(12)
		if random.IntN(3) == 0 {
			delete(state, key)
		} else {
			state[key] = numbered{key, random.IntN(3)}
		}
		source.Replace(maps.All(state))
		for i := range copies {
			if random.IntN(1<<i) != 0 {
				continue
			}
			d := source.Since(bases[i])
			assert.Assert(t, copies[i].Apply(d))
			bases[i] = d.Sequence
			assert.DeepEqual(t, collect(copies[i].Rows), state, cmp.AllowUnexported(numbered{}))
		}
	}
}

// A difference that does not follow on the copy's state changes nothing; the whole
// table always does.
func TestDifferenceThatDoesNotFollow(t *testing.T) {
	source := NewTrackedTable[int](func(a, b numbered) bool { return a == b }, 3)
	rows := []numbered{{1, 1}, {2, 2}}
	assert.Assert(t, source.Replace(byKey(rows)))
	assert.Assert(t, !source.Replace(byKey(rows)))
	c := NewCopy(func(n numbered) int { return n.key })
	assert.Assert(t, !c.Apply(Difference[int, numbered]{Base: 4, Sequence: 5, Gone: []int{1}}))
	whole := source.Since(0)
	assert.Assert(t, c.Apply(whole) && !whole.Empty())
	same := source.Since(whole.Sequence)
	assert.Assert(t, same.Empty() && c.Apply(same))
	assert.Equal(t, c.Rows.Len(), 2)
}

func byKey(rows []numbered) func(func(int, numbered) bool) {
	return func(yield func(int, numbered) bool) {
		for _, r := range slices.Clone(rows) {
			if !yield(r.key, r) {
				return
			}
		}
	}
}
