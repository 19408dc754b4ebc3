// Package table provides maps with a fixed order of iteration, and copies of them
// that are updated by differences.
package table

import "iter"

// Table maps keys to rows and iterates over them in the order of insertion,
// so that the same inputs always lead to the same decisions. The zero value
// is not usable; construct it with New. A Table is not safe for concurrent use.
type Table[K comparable, V any] struct {
	rows  map[K]*row[K, V]
	first *row[K, V]
	last  *row[K, V]
}

type row[K comparable, V any] struct {
	key     K
	value   V
	prev    *row[K, V]
	next    *row[K, V]
	deleted bool
}

// New returns an empty table.
func New[K comparable, V any]() *Table[K, V] {
	return &Table[K, V]{rows: make(map[K]*row[K, V])}
}

// Len returns the number of rows.
func (t *Table[K, V]) Len() int { return len(t.rows) }

// Get returns the value under key and whether the table has one.
func (t *Table[K, V]) Get(key K) (V, bool) {
	r, ok := t.rows[key]
	if !ok {
		var zero V
		return zero, false
	}
	return r.value, true
}

// Has reports whether the table has a row under key.
func (t *Table[K, V]) Has(key K) bool {
	_, ok := t.rows[key]
	return ok
}

// Put inserts or replaces the value under key. A replaced row keeps its position.
func (t *Table[K, V]) Put(key K, value V) {
	if r, ok := t.rows[key]; ok {
		r.value = value
		return
	}
	r := &row[K, V]{key: key, value: value, prev: t.last}
	if t.last == nil {
		t.first = r
	} else {
		t.last.next = r
	}
	t.last = r
	t.rows[key] = r
}

// Delete removes the row under key and reports whether there was one. It is
// allowed during an iteration.
func (t *Table[K, V]) Delete(key K) bool {
	r, ok := t.rows[key]
	if !ok {
		return false
	}
	delete(t.rows, key)
	r.deleted = true
	if r.prev == nil {
		t.first = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		t.last = r.prev
	} else {
		r.next.prev = r.prev
	}
	return true
}

// All iterates over the rows in the order of insertion. It skips rows that are
// deleted during the iteration. A deleted row keeps its next pointer, so an
// iteration whose current row is deleted still reaches the rows after it.
func (t *Table[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for r := t.first; r != nil; r = r.next {
			if r.deleted {
				continue
			}
			if !yield(r.key, r.value) {
				return
			}
		}
	}
}

// First returns the row that was inserted first, and whether there is one.
func (t *Table[K, V]) First() (K, V, bool) {
	if t.first == nil {
		var key K
		var value V
		return key, value, false
	}
	return t.first.key, t.first.value, true
}
