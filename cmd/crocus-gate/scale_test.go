package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"crocusseam/pkg/workload"
)

const (
	scaleSettle  = 8 * time.Second // until sessions and adverts have settled
	scaleWindow  = 10 * time.Second
	scaleCallers = 16
	clockTick    = 10 * time.Millisecond // unit of the processor times in /proc
)

// usage is what a process has taken so far.
type usage struct {
	processor time.Duration
	waiting   time.Duration // of its threads for a processor
	resident  int           // bytes
}

func readUsage(t *testing.T, pid int) usage {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	assert.NilError(t, err)
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	var user, system, pages int
	_, err = fmt.Sscan(fields[11]+" "+fields[12]+" "+fields[21], &user, &system, &pages)
	assert.NilError(t, err)
	u := usage{processor: time.Duration(user+system) * clockTick, resident: pages * os.Getpagesize()}
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	assert.NilError(t, err)
	for _, f := range threads {
		text, _ := os.ReadFile(f) // the thread may have ended
		var ran, waited time.Duration
		_, _ = fmt.Sscan(string(text), &ran, &waited)
		u.waiting += waited
	}
	return u
}

// sample is what the gates and the test process have taken so far.
type sample struct {
	at             time.Time
	own, gates     usage          // of the test process and of all gates
	messages       int            // sent to peers
	byKind         map[string]int // bytes of them
	sessions, lost int            // that have begun and ended
}

func (s *soak) sample() sample {
	out := sample{at: time.Now(), own: readUsage(s.t, os.Getpid()), byKind: make(map[string]int)}
	for i, p := range s.gates {
		u := readUsage(s.t, p.cmd.Process.Pid)
		out.gates.processor += u.processor
		out.gates.waiting += u.waiting
		out.gates.resident += u.resident
		response, err := http.Get(fmt.Sprintf("http://%s/metrics", gateAddress(i, portMetrics)))
		assert.NilError(s.t, err)
		var m struct {
			Gates map[string]struct {
				PeerMessagesSent int
				PeerBytesByKind  map[string]int
			}
		}
		assert.NilError(s.t, json.NewDecoder(response.Body).Decode(&m))
		assert.NilError(s.t, response.Body.Close())
		g := m.Gates[p.name]
		out.messages += g.PeerMessagesSent
		for kind, n := range g.PeerBytesByKind {
			out.byKind[kind] += n
		}
		log, err := os.ReadFile(p.settings + ".log")
		assert.NilError(s.t, err)
		out.sessions += bytes.Count(log, []byte(`"session up"`))
		out.lost += bytes.Count(log, []byte(`"session down"`))
	}
	return out
}

// measure logs what a gate takes a second, on average over all gates and scaleWindow.
func (s *soak) measure(phase string) {
	before := s.sample()
	sleepOrDone(s.ctx, scaleWindow)
	after := s.sample()
	span := after.at.Sub(before.at).Seconds()
	each := span * float64(len(s.gates))
	kinds := make(map[string]int)
	for kind, n := range after.byKind {
		kinds[kind] = int(float64(n-before.byKind[kind]) / each)
	}
	s.t.Logf("%d gates, %s: each %.4f processors, waits %.4f, %.1f MB, %.0f messages/s, %.1f sessions, bytes/s by kind %v; all %.2f processors, %d sessions lost; proxies %.2f processors, %d MB",
		len(s.gates), phase, (after.gates.processor-before.gates.processor).Seconds()/each, (after.gates.waiting-before.gates.waiting).Seconds()/each,
		float64(after.gates.resident)/float64(len(s.gates))/(1<<20), float64(after.messages-before.messages)/each, float64(after.sessions-after.lost)/float64(len(s.gates)),
		kinds, (after.gates.processor-before.gates.processor).Seconds()/span, after.lost-before.lost, (after.own.processor-before.own.processor).Seconds()/span, after.own.resident>>20)
}

// TestScale measures what gates take without faults: idle, under a light load of ephemeral
// and of stored jobs, and idle with stored jobs kept. SCALE_GATES lists the numbers of gates.
func TestScale(t *testing.T) {
	for _, n := range strings.FieldsFunc(os.Getenv("SCALE_GATES"), func(r rune) bool { return r == ',' }) {
		t.Run(n, func(t *testing.T) {
			binary := buildGate(t)
			t.Setenv("SOAK_GATES", n)
			s := newSoak(t, smallProfile, 1, binary)
			s.awaitServing()
			sleepOrDone(s.ctx, scaleSettle)
			s.measure("idle")
			s.measureLoaded("ephemeral jobs", true)
			s.measureLoaded("stored jobs", false)
			sleepOrDone(s.ctx, scaleSettle)
			s.measure("idle after stored jobs")
		})
	}
}

func (s *soak) measureLoaded(phase string, ephemeral bool) {
	ctx, cancel := context.WithCancel(s.ctx)
	var callers errgroup.Group
	for i := range scaleCallers {
		r := rand.New(rand.NewPCG(1, uint64(i)))
		callers.Go(func() error {
			return s.caller(ctx, r, func(r *rand.Rand) *workload.Job {
				j := shortJob(r)
				j.Ephemeral = ephemeral
				return j
			})
		})
	}
	s.measure(phase)
	cancel()
	assert.NilError(s.t, callers.Wait())
}
