package dispatch_test

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"crocusseam/pkg/dispatch"
	"crocusseam/pkg/document"
	"crocusseam/pkg/reference"
	"crocusseam/pkg/routing"
	"crocusseam/pkg/submission"
)

// scenario is a measured load with a fault.
type scenario struct {
	name string
	load loadConfig
	// strike brings the fault about, faultAt after the load began.
	strike func(w *world)
	// settled is when the jobs that count for the response begin to arrive.
	countFrom time.Duration
	// endpoints changes what the reference knows of the endpoints.
	endpoints func([]reference.Endpoint) []reference.Endpoint
	classes   []document.Class
	// only limits the load to these instances.
	only []string
}

const (
	warmUp  = 6 * time.Second
	faultAt = 6 * time.Second
)

func unclaimedClasses() []document.Class {
	c := document.DefaultClass()
	c.Name, c.UnclaimedService, c.Priority = "Door", true, 10
	return []document.Class{document.DefaultClass(), c}
}

func plainLoad(share float64, length time.Duration) loadConfig {
	return loadConfig{share: share, length: length, maxTasks: 100, deadline: 60 * time.Second}
}

func slowFour(list []reference.Endpoint) []reference.Endpoint {
	for i := range 4 {
		list[i*12+3].Speed /= 10
	}
	return list
}

// onlyDomainB is what a domain that is cut off can reach.
func onlyDomainB(list []reference.Endpoint) []reference.Endpoint { return list[12:24] }

// add joins another load to this one.
func (l *load) add(other *load) {
	l.jobs = append(l.jobs, other.jobs...)
	l.subs = append(l.subs, other.subs...)
	l.nodes = append(l.nodes, other.nodes...)
	l.handles = append(l.handles, other.handles...)
}

func withoutFailing(list []reference.Endpoint) []reference.Endpoint {
	list[3].Slots = 0
	list[15].Slots = 0
	return list
}

func (w *world) endpointAt(i int) *fakeEndpoint {
	return w.endpoints[w.document.Domains[i/12].Groups[0].Endpoints[i%12]]
}

func scenarios() []scenario {
	door := plainLoad(0.5, 45*time.Second)
	door.repeatable, door.class, door.homeDomain, door.maxTasks = true, "Door", "b", 1
	door.share = 0.1
	wrong := plainLoad(0.7, 25*time.Second)
	wrong.errorFactor = 10
	repeatable := plainLoad(0.7, 25*time.Second)
	repeatable.repeatable = true
	overload := plainLoad(3, 30*time.Second)
	overload.deadline = 8 * time.Second
	return []scenario{
		{name: "healthy 70%", load: plainLoad(0.7, 25*time.Second)},
		{name: "healthy 90%", load: plainLoad(0.9, 25*time.Second)},
		{name: "4 of 48 at a tenth", load: plainLoad(0.7, 25*time.Second), endpoints: slowFour, countFrom: 10 * time.Second, strike: func(w *world) {
			for i := range 4 {
				w.endpointAt(i*12 + 3).speed /= 10
			}
		}},
		{name: "2 failing everything", load: repeatable, endpoints: withoutFailing, countFrom: 8 * time.Second, strike: func(w *world) {
			w.endpointAt(3).failing = true
			w.endpointAt(15).failing = true
		}},
		{name: "burst 5x of 2 s", load: plainLoad(0.5, 25*time.Second), strike: func(w *world) {
			burst := plainLoad(2, 2*time.Second)
			burst.seed = 1000
			w.extra = w.offer(burst)
		}},
		{name: "declared off by 10x", load: wrong, countFrom: 10 * time.Second},
		{name: "no fault, door checks", load: door, only: []string{"b1", "b2"}, classes: unclaimedClasses()},
		{name: "platform down 30 s, door checks", load: door, only: []string{"b1", "b2"}, classes: unclaimedClasses(), strike: func(w *world) {
			w.platformDown = true
			w.after(30*time.Second, func() { w.platformDown = false })
		}},
		{name: "platform 200 ms a write", load: plainLoad(0.7, 25*time.Second), strike: func(w *world) {
			w.platformDelay = 200 * time.Millisecond
		}},
		{name: "domain cut off 30 s, work homed there", endpoints: onlyDomainB, load: door, only: []string{"b1", "b2"}, classes: unclaimedClasses(), strike: func(w *world) {
			for _, other := range []string{"a", "c", "d", "platform"} {
				w.cut("b", other)
				w.cut(other, "b")
			}
			w.after(30*time.Second, func() {
				for _, other := range []string{"a", "c", "d", "platform"} {
					w.heal("b", other)
					w.heal(other, "b")
				}
			})
		}},
		{name: "wave cancelling half", load: plainLoad(0.9, 25*time.Second), strike: func(w *world) { w.cancelHalf() }},
		{name: "crash and replacement", load: plainLoad(0.7, 25*time.Second), countFrom: 16 * time.Second, strike: func(w *world) {
			w.crash("c1")
			w.after(4*time.Second, func() { w.addNode("c9", "c", 29) })
		}},
		// The reference keeps no deadlines, so it is no measure here: goodput is.
		{name: "overload 3x", load: overload, endpoints: func([]reference.Endpoint) []reference.Endpoint { return nil }},
	}
}

// cancelHalf cancels every second job that has no answer yet.
func (w *world) cancelHalf() {
	var open []dispatch.Handle
	for h := range w.ledger.requests {
		if _, done := w.ledger.replies[h]; !done {
			open = append(open, h)
		}
	}
	sort.Slice(open, func(i, j int) bool { return open[i] < open[j] })
	for i := 0; i < len(open); i += 2 {
		r := w.ledger.requests[open[i]]
		w.nextHandle++
		w.ledger.requests[w.nextHandle] = &request{node: r.node, at: w.now}
		w.deliver(w.nodes[r.node], dispatch.Cancel{Handle: w.nextHandle, Key: r.sub.Key})
	}
}

// measure runs a scenario under a policy.
func (s scenario) measure(policy routing.PolicyName, seed uint64) loadStats {
	config := defaultWorld(seed)
	config.policy = policy
	config.classes = s.classes
	w := newWorld(config)
	w.run(5 * time.Second)
	load := s.load
	load.seed = seed
	load.only = s.only
	began := w.now
	l := w.offer(load)
	before := map[string]int{}
	if s.strike != nil {
		w.after(faultAt, func() { s.strike(w) })
	}
	w.after(faultAt+2*time.Second, func() {
		for a, n := range w.ledger.byEndpoint {
			before[a.String()] = n
		}
		before["all"] = w.ledger.startCount
	})
	w.run(load.length + load.deadline + 10*time.Second)
	endpoints := w.plainEndpoints(config)
	if s.endpoints != nil {
		endpoints = s.endpoints(endpoints)
	}
	if w.extra != nil {
		l.add(w.extra)
	}
	f := w.evaluateLoad(l, endpoints, began.Add(max(s.countFrom, warmUp)))
	failing := 0
	for i := range 48 {
		if e := w.endpointAt(i); e.failing {
			failing += w.ledger.byEndpoint[e.address] - before[e.address.String()]
		}
	}
	f.failingShare = float64(failing) / float64(max(1, w.ledger.startCount-before["all"]))
	f.goodput = w.goodput(l, began, load.length)
	return f
}

// plainEndpoints are the endpoints as they were before any fault.
func (w *world) plainEndpoints(config worldConfig) []reference.Endpoint {
	list := w.referenceEndpoints()
	for i := range list {
		list[i].Speed = config.speeds(i % config.perDomain)
	}
	return list
}

// goodput is the work of complete jobs answered in the second half of the load,
// as a part of what all slots could do in that time.
func (w *world) goodput(l *load, began time.Time, length time.Duration) float64 {
	from, to := began.Add(length/2), began.Add(length)
	work := 0.0
	for i := range l.jobs {
		r, ok := w.ledger.replies[l.handles[i]]
		if !ok || r.reply.Answer == nil || r.reply.Answer.Status != submission.Complete || r.at.Before(from) || r.at.After(to) {
			continue
		}
		for _, d := range l.jobs[i].Work {
			work += d.Seconds()
		}
	}
	return work / (w.power() * (length / 2).Seconds())
}

// TestMeasure prints paired runs of the policies: medians over the seeds. It is
// a measurement, not a check: it runs only when MEASURE is set, to all or to a
// part of a scenario's name. SEEDS and POLICIES limit it further.
func TestMeasure(t *testing.T) {
	which := os.Getenv("MEASURE")
	if which == "" {
		t.Skip("set MEASURE=all to measure")
	}
	policies := []routing.PolicyName{routing.EarliestCompletion, routing.Random, routing.RoundRobin}
	if only := os.Getenv("POLICIES"); only != "" {
		policies = []routing.PolicyName{routing.PolicyName(only)}
	}
	seeds := 5
	if text := os.Getenv("SEEDS"); text != "" {
		_, _ = fmt.Sscan(text, &seeds)
	}
	var mu sync.Mutex
	results := map[string][]loadStats{}
	t.Run("runs", func(t *testing.T) {
		for _, s := range scenarios() {
			if which != "all" && !strings.Contains(s.name, which) {
				continue
			}
			for _, p := range policies {
				for seed := range seeds {
					t.Run(fmt.Sprint(s.name, p, seed), func(t *testing.T) {
						t.Parallel()
						f := s.measure(p, uint64(seed+1))
						mu.Lock()
						defer mu.Unlock()
						key := fmt.Sprintf("| %s | %s |", s.name, p)
						results[key] = append(results[key], f)
					})
				}
			}
		}
	})
	var keys []string
	for k := range results {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	fmt.Println("| Scenario | Policy | To reference P50 | P99 | To ideal P50 | P99 | Wasted/start | Busy | Failing share | Goodput | Complete/failed/refused/open | Violations |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, k := range keys {
		fmt.Println(k, row(results[k]))
	}
}

func median(list []loadStats, value func(loadStats) float64) float64 {
	values := make([]float64, len(list))
	for i, f := range list {
		values[i] = value(f)
	}
	sort.Float64s(values)
	return values[len(values)/2]
}

func row(list []loadStats) string {
	violations := 0
	var kinds []string
	for _, f := range list {
		violations += len(f.violations)
	}
	for kind, n := range list[0].byKind {
		if n > 0 {
			kinds = append(kinds, fmt.Sprint(kind, " ", n))
		}
	}
	sort.Strings(kinds)
	return fmt.Sprintf("%.3f | %.3f | %.2f | %.2f | %.4f | %.0f | %.4f | %.3f | %.0f/%.0f/%.0f/%.0f | %d | %s",
		median(list, func(f loadStats) float64 { return f.p50 }), median(list, func(f loadStats) float64 { return f.p99 }),
		median(list, func(f loadStats) float64 { return f.ideal50 }), median(list, func(f loadStats) float64 { return f.ideal99 }),
		median(list, func(f loadStats) float64 { return f.wasted }), median(list, func(f loadStats) float64 { return float64(f.busy) }),
		median(list, func(f loadStats) float64 { return f.failingShare }), median(list, func(f loadStats) float64 { return f.goodput }),
		median(list, func(f loadStats) float64 { return float64(f.complete) }), median(list, func(f loadStats) float64 { return float64(f.failed) }),
		median(list, func(f loadStats) float64 { return float64(f.refused) }), median(list, func(f loadStats) float64 { return float64(f.open) }),
		violations, strings.Join(kinds, ", "))
}
