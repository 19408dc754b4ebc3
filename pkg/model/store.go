package model

import (
	"context"
	"errors"
	"fmt"
	"time"

	"crocusseam/pkg/placement"
	"crocusseam/pkg/storage"
)

// Store is the platform's store.
type Store struct {
	// Away makes every call fail, Refuses those of the instances named.
	Unavailable      bool
	RefusedInstances map[string]bool
	// LoseAnswers is the share of commits that take effect and are not answered.
	LoseAnswers float64
	// Slow delays every answer.
	AnswerDelay time.Duration

	world  *World
	memory *storage.Memory
}

const scanLimit = 5000

var (
	errUnavailable = errors.New("the store is away")
	errTooMany     = errors.New("a commit has too many entries")
)

func (s *Store) serves(n *Node) bool {
	return !s.Unavailable && !s.RefusedInstances[n.ID.Instance] && s.world.reaches(n.location(), location{"store", "store"})
}

func (s *Store) commit(n *Node, m placement.Commit) {
	way := s.world.Config.ToStore
	if entries := storage.Entries(m.Writes); entries > storage.MaxEntries {
		s.world.breach(fmt.Sprintf("a commit of %s has %d entries", n.ID, entries))
		n.later(2*way, func() {
			n.deliver(placement.CommitDone{ID: m.ID, Err: &storage.ErrUncertain{Step: "commit", Peer: "store", Cause: errTooMany}})
		})
		return
	}
	if !s.serves(n) {
		n.later(storeTimeout, func() {
			n.deliver(placement.CommitDone{ID: m.ID, Err: &storage.ErrUncertain{Step: "commit", Peer: "store", Cause: errUnavailable}})
		})
		return
	}
	s.world.After(way, func() {
		version, err := s.memory.Commit(context.Background(), m.Writes)
		if s.LoseAnswers > 0 && s.world.random.Float64() < s.LoseAnswers {
			n.later(storeTimeout, func() {
				n.deliver(placement.CommitDone{ID: m.ID, Err: &storage.ErrUncertain{Step: "commit", Peer: "store", Cause: errUnavailable}})
			})
			return
		}
		n.later(way+s.AnswerDelay, func() { n.deliver(placement.CommitDone{ID: m.ID, Version: version, Err: err}) })
	})
}

func (s *Store) scan(n *Node, m placement.Scan) {
	if !s.serves(n) {
		n.later(storeTimeout, func() {
			n.deliver(placement.ScanDone{ID: m.ID, Err: &storage.ErrUnavailable{Step: "scan", Peer: "store", Cause: errUnavailable}})
		})
		return
	}
	rows, err := s.memory.Scan(context.Background(), m.Prefix, scanLimit)
	n.later(2*s.world.Config.ToStore+s.AnswerDelay, func() { n.deliver(placement.ScanDone{ID: m.ID, Rows: rows, Err: err}) })
}
