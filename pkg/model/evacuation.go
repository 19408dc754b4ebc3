package model

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"time"

	"crocusseam/pkg/placement"
	"crocusseam/pkg/storage"
)

const (
	evacuationPrefix = "op/evacuate/"
	// defaultEvacuationBound is the operators' usual bound.
	defaultEvacuationBound = 5 * time.Second
)

// Evacuate writes the row by which the operator evacuates a failure domain. The store has
// acknowledged it when Evacuate returns.
func (w *World) Evacuate(domain string) {
	w.NoteEvacuation(domain, true)
	w.writeEvacuation(storage.Write{Key: evacuationPrefix + domain, Value: []byte("{}"), Expect: storage.AnyVersion})
}

// GiveBack deletes the row of an evacuated failure domain.
func (w *World) GiveBack(domain string) {
	w.NoteEvacuation(domain, false)
	w.writeEvacuation(storage.Write{Key: evacuationPrefix + domain, Delete: true, Expect: storage.AnyVersion})
}

// NoteEvacuation tells the ledger of starts that a failure domain is evacuated from now on, or given back.
func (w *World) NoteEvacuation(domain string, evacuated bool) {
	if !evacuated {
		delete(w.evacuatedAt, domain)
	} else if _, ok := w.evacuatedAt[domain]; !ok {
		w.evacuatedAt[domain] = w.Now
	}
}

func (w *World) writeEvacuation(write storage.Write) {
	if _, err := w.Store.memory.Commit(context.Background(), []storage.Write{write}); err != nil {
		panic("the simulated store refuses a row without a condition: " + err.Error())
	}
	w.Store.evacuations = true
	for _, n := range w.Nodes {
		if n.Up {
			n.followEvacuations()
		}
	}
}

// followEvacuations delivers the set of evacuated domains as an answer of the feed does: at once when
// the store can be reached, and after feedRetry otherwise. Simulations without evacuations have no such
// answers.
func (n *Node) followEvacuations() {
	w := n.world
	if n.FeedSilent || !(w.Store.evacuations || w.Config.EvacuationBound > 0) {
		return
	}
	if !w.Store.serves(n) {
		n.later(feedRetry, n.followEvacuations)
		return
	}
	n.later(w.Config.ToStore, func() {
		rows, err := w.Store.memory.Scan(context.Background(), evacuationPrefix, scanLimit)
		if err != nil {
			panic("the simulated store cannot be scanned: " + err.Error())
		}
		set := placement.EvacuationSet{Version: w.Store.memory.Version()}
		for i := range rows {
			set.Domains = append(set.Domains, strings.TrimPrefix(rows[i].Key, evacuationPrefix))
		}
		n.later(w.Config.ToStore, func() { n.deliver(set) })
	})
}

// checkEvacuation checks that a run was not started in an evacuated domain after the bound.
func (w *World) checkEvacuation(r *endpointRun) {
	domain := r.endpoint.Info.Domain
	at, evacuated := w.evacuatedAt[domain]
	if !evacuated {
		return
	}
	elapsed := w.Now.Sub(at)
	w.LastEvacuatedStart = max(w.LastEvacuatedStart, elapsed)
	if elapsed > cmp.Or(w.Config.EvacuationBound, defaultEvacuationBound) && !(w.Config.LateStartExcused != nil && w.Config.LateStartExcused(r.endpoint, r.token)) {
		w.breach(fmt.Sprintf("%v, %s after %s was evacuated", r, elapsed, domain))
	}
}
