package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"crocusseam/pkg/model"
	"crocusseam/pkg/standin"
)

// fault is one kind of fault; run injects it, and ends it after span.
type fault struct {
	name string
	run  func(s *soak, r *rand.Rand, span time.Duration, binary string)
}

func sleepOrDone(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

func (s *soak) withGate(r *rand.Rand, do func(p *process, i int)) {
	i := r.IntN(len(s.gates))
	s.inject(s.gates[i], func(p *process) { do(p, i) })
}

// inject injects a fault into a gate unless another one is in progress there.
func (s *soak) inject(p *process, do func(p *process)) {
	p.mu.Lock()
	free := p.cmd != nil && !p.inFault
	p.inFault = true
	p.mu.Unlock()
	if !free {
		return
	}
	p.disturbed.begin()
	do(p)
	p.disturbed.end()
	p.mu.Lock()
	p.inFault = false
	p.mu.Unlock()
}

func proxyFault(name string, pick func(s *soak, r *rand.Rand) (*proxy, *disturbance), state func(r *rand.Rand) proxyState) fault {
	return fault{name, func(s *soak, r *rand.Rand, span time.Duration, _ string) {
		l, d := pick(s, r)
		d.begin()
		l.setState(state(r))
		sleepOrDone(s.ctx, span)
		l.setState(proxyState{})
		d.end()
	}}
}

var (
	pickStoreProxy = func(s *soak, r *rand.Rand) (*proxy, *disturbance) {
		i := r.IntN(len(s.toStore))
		return s.toStore[i], &s.gates[i].disturbed
	}
	pickPeersProxy = func(s *soak, r *rand.Rand) (*proxy, *disturbance) {
		p := s.pickGate(r)
		return p.toPeers(), &p.disturbed
	}
	pickWorkerProxy = func(s *soak, r *rand.Rand) (*proxy, *disturbance) {
		return s.toWorkers[r.IntN(len(s.toWorkers))], new(disturbance)
	}
	blocked = func(r *rand.Rand) proxyState {
		return proxyState{BlockedToTarget: r.IntN(3) > 0, BlockedFromTarget: r.IntN(3) > 0}
	}
	delayed = func(r *rand.Rand) proxyState {
		return proxyState{Delay: time.Duration(20+r.IntN(400)) * time.Millisecond}
	}
	unreachable = func(*rand.Rand) proxyState { return proxyState{Unreachable: true} }
)

// changeWorkers applies a change to those of some workers that have neither left for good
// nor are still to be added.
func (s *soak) changeWorkers(workers []int, do func(x *model.Endpoint)) {
	s.workers.With(func(w *model.World) {
		for _, i := range workers {
			if x := w.Endpoints[i]; x.Up || x.Listed {
				do(x)
			}
		}
	})
}

func workerFault(name string, do, undo func(x *model.Endpoint)) fault {
	return fault{name, func(s *soak, r *rand.Rand, span time.Duration, _ string) {
		i := r.IntN(len(s.toWorkers))
		s.changeWorkers([]int{i}, do)
		sleepOrDone(s.ctx, span)
		s.changeWorkers([]int{i}, undo)
	}}
}

var faults = []fault{
	{"gate killed", func(s *soak, r *rand.Rand, span time.Duration, binary string) {
		s.withGate(r, func(p *process, _ int) {
			p.kill()
			sleepOrDone(s.ctx, span/2)
			s.start(p, binary)
		})
	}},
	{"gate paused", func(s *soak, r *rand.Rand, span time.Duration, _ string) {
		s.withGate(r, func(p *process, _ int) {
			p.signal(syscall.SIGSTOP)
			sleepOrDone(s.ctx, span)
			p.signal(syscall.SIGCONT)
		})
	}},
	{"gate stopped in plan", func(s *soak, r *rand.Rand, _ time.Duration, binary string) {
		s.withGate(r, func(p *process, _ int) {
			p.signal(syscall.SIGTERM)
			p.waitExit()
			s.start(p, binary)
		})
	}},
	{"settings reloaded", func(s *soak, r *rand.Rand, _ time.Duration, _ string) {
		s.withGate(r, func(p *process, _ int) { p.signal(syscall.SIGHUP) })
	}},
	proxyFault("store silent for a gate", pickStoreProxy, blocked),
	proxyFault("store slow for a gate", pickStoreProxy, delayed),
	proxyFault("store resets a gate", pickStoreProxy, unreachable),
	proxyFault("peers silent", pickPeersProxy, blocked),
	proxyFault("peers slow", pickPeersProxy, delayed),
	proxyFault("peers reset", pickPeersProxy, unreachable),
	proxyFault("worker silent", pickWorkerProxy, blocked),
	proxyFault("worker slow", pickWorkerProxy, delayed),
	proxyFault("worker resets", pickWorkerProxy, unreachable),
	workerFault("worker hangs", func(x *model.Endpoint) { x.Hangs = true }, func(x *model.Endpoint) {
		x.Hangs = false
		x.Crash() // runs that hang do not recover
		x.Restart()
	}),
	workerFault("worker fails all", func(x *model.Endpoint) { x.FailsAll = true }, func(x *model.Endpoint) { x.FailsAll = false }),
	workerFault("worker crashes", (*model.Endpoint).Crash, (*model.Endpoint).Restart),
	{"store away", func(s *soak, _ *rand.Rand, span time.Duration, _ string) {
		s.changes.store.begin()
		defer s.changes.store.end()
		yes, no := true, false
		s.store.SetFaults(standin.Faults{Away: &yes})
		sleepOrDone(s.ctx, span)
		s.store.SetFaults(standin.Faults{Away: &no})
	}},
	{"store loses answers", func(s *soak, r *rand.Rand, _ time.Duration, _ string) {
		s.changes.store.begin()
		defer s.changes.store.end()
		s.store.SetFaults(standin.Faults{LoseAnswers: 1 + r.IntN(6), LoseWrites: r.IntN(3)})
	}},
	{"store forgets its history", func(s *soak, _ *rand.Rand, _ time.Duration, _ string) {
		s.changes.store.begin()
		defer s.changes.store.end()
		s.store.SetFaults(standin.Faults{Forget: true})
	}},
}

// drawFault draws a fault, every second time one of those whose names begin with SOAK_FAULT.
func (s *soak) drawFault() fault {
	f := s.profile.faults[s.random.IntN(len(s.profile.faults))]
	prefix := os.Getenv("SOAK_FAULT")
	if prefix == "" {
		return f
	}
	var named []fault
	for _, f := range s.profile.faults {
		if strings.HasPrefix(f.name, prefix) {
			named = append(named, f)
		}
	}
	if assert.Check(s.t, len(named) > 0, "no fault begins with %q", prefix) && s.random.IntN(2) == 0 {
		f = named[s.random.IntN(len(named))]
	}
	return f
}

// runFaults injects random faults one after the other. Each lasts a while, so that faults
// overlap.
func (s *soak) runFaults(binary string) {
	var running errgroup.Group
	history, err := os.Create(filepath.Join(s.dir, "faults.log"))
	assert.NilError(s.t, err)
	for end := time.Now().Add(s.profile.duration); time.Now().Before(end) && s.ctx.Err() == nil; {
		f := s.drawFault()
		span := time.Duration(300+s.random.IntN(3200)) * time.Millisecond
		own := rand.New(rand.NewPCG(s.random.Uint64(), 2))
		s.count(f.name)
		s.lastFault.Store(time.Now().UnixNano())
		running.Go(func() error {
			began := time.Now()
			f.run(s, own, span, binary)
			s.lastFault.Store(time.Now().UnixNano())
			_, err := fmt.Fprintf(history, "%s to %s %s\n", began.UTC().Format(model.StampFormat), time.Now().UTC().Format(model.StampFormat), f.name)
			return err
		})
		sleepOrDone(s.ctx, time.Duration(s.random.Int64N(int64(2*time.Second)/int64(s.profile.overlappingFaults))))
	}
	assert.Check(s.t, running.Wait())
	assert.Check(s.t, history.Close())
}
