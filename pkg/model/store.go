package model

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"crocusseam/pkg/placement"
	"crocusseam/pkg/storage"
)

// Store simulates the platform's store.
type Store struct {
	// Unavailable makes every call fail, RefusedInstances only the calls of the
	// instances with these names.
	Unavailable      bool
	RefusedInstances map[string]bool
	// LoseAnswers is the share of commits that take effect and whose answer is lost.
	LoseAnswers float64
	// UnreadablePrefix makes scans of keys that begin with it fail.
	UnreadablePrefix string
	// AnswerDelay is added to the time of every answer.
	AnswerDelay time.Duration
	// RowsRead counts the rows that scans have returned, MostRows the most of a table in one scan.
	RowsRead int
	MostRows map[string]int

	world    *World
	memory   *storage.Memory
	operator []operatorRow // configurations, the newest last
	// evacuations says that the operator has evacuated a domain at some time.
	evacuations bool
}

const scanLimit = 25_000 // rows

var (
	errUnavailable = errors.New("the store is unavailable")
	errTooMany     = errors.New("a commit has too many entries")
	errName        = errors.New("a name is too long")
)

// serves reports whether calls of an instance reach the store and are served.
func (s *Store) serves(n *Node) bool {
	return !s.Unavailable && !s.RefusedInstances[n.ID.Instance] && s.world.reaches(n.location(), location{"store", "store"})
}

func (s *Store) commit(n *Node, m placement.Commit) {
	delay := s.world.Config.ToStore
	if entries := storage.Entries(m.Writes); entries > storage.MaxEntries {
		s.world.breach(fmt.Sprintf("a commit of %s has %d entries", n.ID, entries))
		n.later(2*delay, func() {
			n.deliver(placement.CommitDone{ID: m.ID, Err: &storage.ErrUncertain{Step: "commit", Peer: "store", Cause: errTooMany}})
		})
		return
	}
	if slices.ContainsFunc(m.Writes, func(w storage.Write) bool { return !storage.NamesFit(w.Key) }) {
		n.later(2*delay, func() {
			n.deliver(placement.CommitDone{ID: m.ID, Err: &storage.ErrUncertain{Step: "commit", Peer: "store", Cause: errName}})
		})
		return
	}
	if !s.serves(n) {
		n.later(storeTimeout, func() {
			n.deliver(placement.CommitDone{ID: m.ID, Err: &storage.ErrUncertain{Step: "commit", Peer: "store", Cause: errUnavailable}})
		})
		return
	}
	s.world.After(delay, func() {
		version, err := s.memory.Commit(context.Background(), m.Writes)
		if s.LoseAnswers > 0 && s.world.random.Float64() < s.LoseAnswers {
			n.later(storeTimeout, func() {
				n.deliver(placement.CommitDone{ID: m.ID, Err: &storage.ErrUncertain{Step: "commit", Peer: "store", Cause: errUnavailable}})
			})
			return
		}
		n.later(delay+s.AnswerDelay, func() { n.deliver(placement.CommitDone{ID: m.ID, Version: version, Err: err}) })
	})
}

func (s *Store) scan(n *Node, m placement.Scan) {
	if !s.serves(n) {
		n.later(storeTimeout, func() {
			n.deliver(placement.ScanDone{ID: m.ID, Err: &storage.ErrUnavailable{Step: "scan", Peer: "store", Cause: errUnavailable}})
		})
		return
	}
	if !storage.NamesFit(m.Prefix) || (s.UnreadablePrefix != "" && strings.HasPrefix(m.Prefix, s.UnreadablePrefix)) {
		n.later(2*s.world.Config.ToStore, func() {
			n.deliver(placement.ScanDone{ID: m.ID, Err: &storage.ErrUnavailable{Step: "scan", Peer: "store", Cause: errUnavailable}})
		})
		return
	}
	var rows []storage.Row
	var err error
	if m.Last != "" {
		rows, err = s.memory.ScanRange(context.Background(), m.Prefix, m.Last, cmp.Or(m.Limit, scanLimit))
	} else {
		rows, err = s.memory.Scan(context.Background(), m.Prefix, scanLimit)
	}
	s.RowsRead += len(rows)
	name, _, _ := strings.Cut(m.Prefix, ":")
	s.MostRows[name] = max(s.MostRows[name], len(rows))
	n.later(2*s.world.Config.ToStore+s.AnswerDelay, func() { n.deliver(placement.ScanDone{ID: m.ID, Rows: rows, Err: err}) })
}

// Count returns how many rows have a key that begins with a prefix.
func (s *Store) Count(prefix string) int {
	rows, _ := s.memory.Scan(context.Background(), prefix, math.MaxInt) // it never fails
	return len(rows)
}
