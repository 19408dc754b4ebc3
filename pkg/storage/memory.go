package storage

import (
	"context"
	"slices"
	"strings"
	"sync"
)

// Memory is a table and an object store in memory, for tests and stand-ins. Its
// calls have no delays or faults; a wrapper can add them. It is safe for concurrent
// use.
type Memory struct {
	mu      sync.Mutex
	version Version
	rows    map[string]Row
	keys    []string // of the rows, in order
	objects map[string][]byte
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{rows: make(map[string]Row), objects: make(map[string][]byte)}
}

// Get returns the row under key.
func (m *Memory) Get(_ context.Context, key string) (Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.row(key), nil
}

func (m *Memory) row(key string) Row {
	if r, ok := m.rows[key]; ok {
		return r
	}
	return Row{Key: key}
}

// Scan returns the rows whose keys begin with prefix, in key order.
func (m *Memory) Scan(_ context.Context, prefix string, limit int) ([]Row, error) {
	return m.scan(prefix, func(key string) bool { return strings.HasPrefix(key, prefix) }, limit), nil
}

// ScanRange returns the rows from the first to the last key, in key order.
func (m *Memory) ScanRange(_ context.Context, first, last string, limit int) ([]Row, error) {
	return m.scan(first, func(key string) bool { return key <= last }, limit), nil
}

// scan returns the rows from the first key on while their keys are wanted.
func (m *Memory) scan(first string, wanted func(key string) bool, limit int) []Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []Row
	for i, _ := slices.BinarySearch(m.keys, first); i < len(m.keys) && len(found) < limit && wanted(m.keys[i]); i++ {
		found = append(found, m.rows[m.keys[i]])
	}
	return found
}

// Commit applies all writes, or none and returns *ErrConflict.
func (m *Memory) Commit(_ context.Context, writes []Write) (Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var conflicts []Row
	for _, w := range writes {
		if w.Expect == AnyVersion {
			continue
		}
		if r := m.row(w.Key); r.Version != w.Expect {
			conflicts = append(conflicts, r)
		}
	}
	if len(conflicts) > 0 {
		return 0, &ErrConflict{Rows: conflicts}
	}
	m.version++
	for _, w := range writes {
		if w.Check {
			continue
		}
		if w.Delete {
			delete(m.rows, w.Key)
			if i, found := slices.BinarySearch(m.keys, w.Key); found {
				m.keys = slices.Delete(m.keys, i, i+1)
			}
			continue
		}
		if i, found := slices.BinarySearch(m.keys, w.Key); !found {
			m.keys = slices.Insert(m.keys, i, w.Key)
		}
		m.rows[w.Key] = Row{Key: w.Key, Value: w.Value, Version: m.version}
	}
	return m.version, nil
}

// Version returns the number of commits so far.
func (m *Memory) Version() Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// Put stores an object.
func (m *Memory) Put(_ context.Context, name string, content []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.objects[name] = content
	return nil
}

// GetObject returns an object, or *ErrAbsent if there is none.
func (m *Memory) GetObject(_ context.Context, name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	content, ok := m.objects[name]
	if !ok {
		return nil, &ErrAbsent{Name: name}
	}
	return content, nil
}
