package table

import "iter"

// TrackedTable is a table that records when each row last changed, so that a Copy
// elsewhere can be updated by differences. Construct it with NewTrackedTable.
type TrackedTable[K comparable, V any] struct {
	entries  *Table[K, trackedRow[V]]
	equal    func(a, b V) bool
	maxGone  int
	gone     int // removed keys in entries
	sequence uint64
	floor    uint64 // all changes after this sequence are in entries
}

// trackedRow is a row, or the record that a row was removed, with the sequence
// number of its last change.
type trackedRow[V any] struct {
	value    V
	sequence uint64
	gone     bool
}

// Difference contains the changes since the sequence number Base, or the whole
// table if Base is 0.
type Difference[K comparable, V any] struct {
	Base     uint64
	Sequence uint64
	Rows     []V // new or changed
	Gone     []K // removed
}

// Empty reports whether the difference contains no change.
func (d *Difference[K, V]) Empty() bool { return d.Base > 0 && len(d.Rows)+len(d.Gone) == 0 }

// NewTrackedTable returns an empty table. It keeps a record of at most maxGone
// removed keys. With more, it drops all these records, and copies with an older
// state need the whole table.
func NewTrackedTable[K comparable, V any](equal func(a, b V) bool, maxGone int) *TrackedTable[K, V] {
	return &TrackedTable[K, V]{entries: New[K, trackedRow[V]](), equal: equal, maxGone: maxGone}
}

// Sequence returns the sequence number of the table's state: 0 while the table has
// never had a row, and one more after each Replace that changes anything.
func (t *TrackedTable[K, V]) Sequence() uint64 { return t.sequence }

// Replace replaces the contents of the table by rows, and reports whether that
// changed anything.
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

// forgetGone drops the records of removed keys.
func (t *TrackedTable[K, V]) forgetGone() {
	t.floor, t.gone = t.sequence, 0
	for key, e := range t.entries.All() {
		if e.gone {
			t.entries.Delete(key)
		}
	}
}

// Since returns the changes since a sequence number. It returns the whole table if
// base is 0 or so old that the keys removed since then are not all recorded.
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

// Copy is a copy of a TrackedTable that is updated by differences. The zero value
// is not usable; construct it with NewCopy.
type Copy[K comparable, V any] struct {
	Rows     *Table[K, V]
	keyOf    func(V) K
	sequence uint64
}

// NewCopy returns an empty copy. The function keyOf returns the key of a row.
func NewCopy[K comparable, V any](keyOf func(V) K) *Copy[K, V] {
	return &Copy[K, V]{Rows: New[K, V](), keyOf: keyOf}
}

// Apply applies a difference and reports whether it could: the difference must
// contain the whole table or have the copy's state as its base. Otherwise Apply
// changes nothing.
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
