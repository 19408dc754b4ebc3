package table

import "iter"

// Changes is a table that tells what has changed since an earlier state, so that
// a copy elsewhere can be kept by differences. Construct it with NewChanges.
type TrackedTable[K comparable, V any] struct {
	entries  *Table[K, trackedRow[V]]
	equal    func(a, b V) bool
	maxGone  int
	gone     int
	sequence uint64
	floor    uint64 // changes after this sequence are known
}

// change is a row, or that there is none any more, with the sequence of its last
// change.
type trackedRow[V any] struct {
	value    V
	sequence uint64
	gone     bool
}

// Difference is what has changed since the sequence Base, or the whole table if
// Base is 0.
type Difference[K comparable, V any] struct {
	Base     uint64
	Sequence uint64
	Rows     []V // new or changed
	Gone     []K
}

// Empty reports whether nothing has changed.
func (d *Difference[K, V]) Empty() bool { return d.Base > 0 && len(d.Rows)+len(d.Gone) == 0 }

// NewChanges returns an empty table. It remembers at most maxGone removed keys.
func NewTrackedTable[K comparable, V any](equal func(a, b V) bool, maxGone int) *TrackedTable[K, V] {
	return &TrackedTable[K, V]{entries: New[K, trackedRow[V]](), equal: equal, maxGone: maxGone}
}

// Sequence counts the states of the table; it is 0 before the first row.
func (t *TrackedTable[K, V]) Sequence() uint64 { return t.sequence }

// Replace makes the table hold just these rows, and reports whether that differs
// from the state before.
func (t *TrackedTable[K, V]) Replace(rows iter.Seq2[K, V]) bool {
	next := t.sequence + 1
	changed := false
	present := make(map[K]bool, t.entries.Len())
	for key, value := range rows {
		present[key] = true
		old, ok := t.entries.Get(key)
		if ok && !old.gone && t.equal(old.value, value) {
			continue
		}
		if ok && old.gone {
			t.gone--
		}
		changed = true
		t.entries.Put(key, trackedRow[V]{value: value, sequence: next})
	}
	for key, e := range t.entries.All() {
		if !present[key] && !e.gone {
			changed = true
			t.gone++
			t.entries.Put(key, trackedRow[V]{sequence: next, gone: true})
		}
	}
	if changed {
		t.sequence = next
	}
	if t.gone > t.maxGone {
		t.forgetGone()
	}
	return changed
}

func (t *TrackedTable[K, V]) forgetGone() {
	t.floor, t.gone = t.sequence, 0
	for key, e := range t.entries.All() {
		if e.gone {
			t.entries.Delete(key)
		}
	}
}

// Since returns what has changed since a sequence; since 0, or one that is too old
// to tell, the whole table.
func (t *TrackedTable[K, V]) Since(base uint64) Difference[K, V] {
	if base < t.floor {
		base = 0
	}
	d := Difference[K, V]{Base: base, Sequence: t.sequence}
	if base == t.sequence {
		return d
	}
	for key, e := range t.entries.All() {
		switch {
		case e.sequence <= base:
		case !e.gone:
			d.Rows = append(d.Rows, e.value)
		case base > 0:
			d.Gone = append(d.Gone, key)
		}
	}
	return d
}

// Copy is a table that is kept by the differences of another one. The zero value
// is not usable; construct it with NewCopy.
type Copy[K comparable, V any] struct {
	Rows     *Table[K, V]
	keyOf    func(V) K
	sequence uint64
}

// NewCopy returns an empty copy; keyOf is the key of a row.
func NewCopy[K comparable, V any](keyOf func(V) K) *Copy[K, V] {
	return &Copy[K, V]{Rows: New[K, V](), keyOf: keyOf}
}

// Apply takes a difference, and reports whether it follows on the state of the
// copy. One that does not changes nothing.
func (c *Copy[K, V]) Apply(d Difference[K, V]) bool {
	switch {
	case d.Base == 0:
		c.Rows = New[K, V]()
	case d.Base != c.sequence:
		return false
	}
	c.sequence = d.Sequence
	for _, v := range d.Rows {
		c.Rows.Put(c.keyOf(v), v)
	}
	for _, k := range d.Gone {
		c.Rows.Delete(k)
	}
	return true
}
