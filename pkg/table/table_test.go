package table

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestIterationKeepsTheOrderOfInsertion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab := New[int, int]()
		var order []int
		for range rapid.IntRange(0, 60).Draw(t, "operations") {
			key := rapid.IntRange(0, 12).Draw(t, "key")
			if rapid.Bool().Draw(t, "delete") {
				if tab.Delete(key) {
					order = without(order, key)
				}
				continue
			}
			if !tab.Has(key) {
				order = append(order, key)
			}
			tab.Put(key, key*2)
		}
		var got []int
		for k, v := range tab.All() {
			if v != k*2 {
				t.Fatalf("key %d has value %d", k, v)
			}
			got = append(got, k)
		}
		if len(got) != len(order) || tab.Len() != len(order) {
			t.Fatalf("got %v, want %v", got, order)
		}
		for i := range got {
			if got[i] != order[i] {
				t.Fatalf("got %v, want %v", got, order)
			}
		}
	})
}

func without(list []int, key int) []int {
	var kept []int
	for _, k := range list {
		if k != key {
			kept = append(kept, k)
		}
	}
	return kept
}

func TestRowsMayBeDeletedDuringIteration(t *testing.T) {
	tab := New[int, string]()
	for i := range 10 {
		tab.Put(i, "")
	}
	var got []int
	for k := range tab.All() {
		got = append(got, k)
		tab.Delete(k)
		tab.Delete(k + 1)
	}
	assert.DeepEqual(t, got, []int{0, 2, 4, 6, 8})
	assert.Equal(t, tab.Len(), 0)
}
