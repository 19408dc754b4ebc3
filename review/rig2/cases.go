package main

import (
	"fmt"
	"net/http"
	"time"
)

// verdict is the outcome of a case: what broke the rule, or nothing.
type verdict string

const held verdict = ""

// deployment starts workers and gates in zones: one gate and some workers in each.
func (e *environment) deployment(zones []string, workersPerZone int, duration func(task, spec string) (time.Duration, string)) error {
	for i, zone := range zones {
		for n := range workersPerZone {
			if _, err := e.addWorker(fmt.Sprintf("i-%s-%d", zone, n+1), zone, []string{"a", fmt.Sprintf("r%d-1", i+1)}, duration); err != nil {
				return err
			}
		}
	}
	return nil
}

func (e *environment) startGates(zones []string) error {
	for _, zone := range zones {
		if _, err := e.startGate("gate-"+zone, zone); err != nil {
			return err
		}
	}
	return e.awaitReady()
}

// awaitStart waits until a task has been started.
func (e *environment) awaitStart(task string, patience time.Duration) bool {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if len(e.startsOf(task, time.Time{})) > 0 {
			return true
		}
	}
	return false
}

// running reports whether a worker runs a task whose name begins with a prefix.
func (e *environment) running(prefix string) bool {
	for _, w := range e.workers {
		if w.isRunning(prefix) {
			return true
		}
	}
	return false
}

func fixed(d time.Duration) func(string, string) (time.Duration, string) {
	return func(string, string) (time.Duration, string) { return d, "done" }
}

// workerReturns: the only worker that may run a task crashes while it runs it, and starts again
// under its id.
func workerReturns(e *environment) (verdict, error) {
	zones := []string{"z-a", "z-b", "z-c"}
	if err := e.deployment(zones, 2, fixed(6*time.Second)); err != nil {
		return held, err
	}
	if _, err := e.addWorker("i-z-a-3", "z-a", []string{"a", "r1-1"}, fixed(6*time.Second)); err != nil {
		return held, err
	}
	special, err := e.addWorker("i-special", "z-b", []string{"b", "r2-1"}, fixed(6*time.Second))
	if err != nil {
		return held, err
	}
	if err := e.startGates(zones); err != nil {
		return held, err
	}
	wanted := job(step{Count: 1, CPU: 2000, MemMb: 64, EstMs: 6000, Requires: "b"})
	const first, second = "00000000000000a1", "10000000000000b2"
	if a := e.call(e.gates[0], http.MethodPost, first, wanted, 5*time.Second); a.status != http.StatusOK {
		return held, cannot("the job was not accepted")
	}
	if !e.awaitStart(first, 5*time.Second) {
		return held, cannot("the job did not start")
	}
	time.Sleep(2 * time.Second)
	if e.trouble {
		special.crash()
		time.Sleep(4 * time.Second)
		if err := special.start(); err != nil {
			return held, cannot("start the worker again: %v", err)
		}
	}
	// The worker is back, its entry too. A job of the same kind shows that it runs tasks.
	time.Sleep(4 * time.Second)
	if a := e.call(e.gates[1], http.MethodPost, second, wanted, 5*time.Second); a.status != http.StatusOK {
		return held, cannot("the second job was not accepted")
	}
	longest := e.longestIdle(first, finish)
	a := e.call(e.gates[0], http.MethodGet, first, nil, 5*time.Second)
	b := e.call(e.gates[1], http.MethodGet, second, nil, 5*time.Second)
	e.note("seen", "", fmt.Sprintf("the first job had nothing running for %.1f s on end; starts of it: %d, of the second: %d", longest.Seconds(), len(e.startsOf(first+".", time.Time{})), len(e.startsOf(second+".", time.Time{}))))
	switch {
	case b.state() != "completed":
		return held, cannot("the second job is %q, so the worker did not serve", b.state())
	case longest > idleLimit && a.state() != "completed":
		return verdict(fmt.Sprintf("LOST: the accepted job is %q, and has had nothing running for %.1f s, though its task's turn has come and the only worker with its label is idle", a.state(), longest.Seconds())), nil
	case a.state() != "completed":
		return held, cannot("the first job is %q", a.state())
	}
	return held, nil
}

// cancelAtWaitingGate: a late copy of a job's request and then its cancel reach a gate that is
// not its home, while the store is slow.
func cancelAtWaitingGate(e *environment) (verdict, error) {
	zones := []string{"z-a", "z-b", "z-c"}
	duration := func(task, _ string) (time.Duration, string) {
		if task[len(task)-4:] == ".0.0" {
			return 20 * time.Second, "done"
		}
		return 2 * time.Second, "done"
	}
	if err := e.deployment(zones, 2, duration); err != nil {
		return held, err
	}
	if err := e.startGates(zones); err != nil {
		return held, err
	}
	const id = "00000000000000a1"
	wanted := job(step{Count: 1, CPU: 2000, MemMb: 64, EstMs: 20000}, step{Count: 1, CPU: 2000, MemMb: 64, EstMs: 2000, After: []int{0}})
	if a := e.call(e.gates[0], http.MethodPost, id, wanted, 5*time.Second); a.status != http.StatusOK {
		return held, cannot("the job was not accepted")
	}
	accepted := time.Now()
	if !e.awaitStart(id, 5*time.Second) {
		return held, cannot("the job did not start")
	}
	time.Sleep(2 * time.Second)
	if e.trouble {
		e.store.factor.Store(60)
		e.note("store slow", "", "answers take 60 times as long")
	}
	time.Sleep(500 * time.Millisecond)
	late := make(chan answer, 1)
	go func() { late <- e.call(e.gates[1], http.MethodPost, id, wanted, 5*time.Second) }()
	time.Sleep(150 * time.Millisecond)
	cancelSent := time.Now()
	cancelled := make(chan answer, 1)
	go func() { cancelled <- e.call(e.gates[1], http.MethodDelete, id, nil, 40*time.Second) }()
	time.Sleep(3850 * time.Millisecond)
	if e.trouble {
		e.store.factor.Store(1)
		e.note("store sound", "", "")
	}
	steady := time.Now().Add(contact)
	<-late
	// The cancel has waited ackMs of steady state by then, and cancel_ms are over.
	bound := steady.Add(ackTime + cancel)
	time.Sleep(time.Until(bound.Add(stopTime + time.Second)))
	runsOn := e.running(id + ".")
	var reply answer
	select {
	case reply = <-cancelled:
		cancelled <- reply
	default:
	}
	time.Sleep(time.Until(accepted.Add(25 * time.Second)))
	starts := len(e.startsOf(id+".", bound))
	e.note("seen", "", fmt.Sprintf("cancel sent at %.1f s, its answer by then: %s; bound at %.1f s; a task ran on after it: %v; starts after it: %d", cancelSent.Sub(e.began).Seconds(), reply, bound.Sub(e.began).Seconds(), runsOn, starts))
	e.call(e.gates[2], http.MethodGet, id, nil, 5*time.Second)
	if runsOn || starts > 0 {
		return verdict(fmt.Sprintf("UNASKED: the cancel was sent, and had waited ackMs of steady state without an answer (%d by then); cancel_ms later a task of the job ran on: %v; tasks started later: %d", reply.status, runsOn, starts)), nil
	}
	return held, nil
}

// cancelBesideSilence: the connection between two gates goes silent. One is the home of a job, the
// other takes its cancel.
func cancelBesideSilence(e *environment) (verdict, error) {
	zones := []string{"z-a", "z-b", "z-c"}
	if err := e.deployment(zones, 2, fixed(22*time.Second)); err != nil {
		return held, err
	}
	if err := e.startGates(zones); err != nil {
		return held, err
	}
	const id = "00000000000000a1"
	wanted := job(step{Count: 1, CPU: 2000, MemMb: 64, EstMs: 22000})
	if a := e.call(e.gates[1], http.MethodPost, id, wanted, 5*time.Second); a.status != http.StatusOK {
		return held, cannot("the job was not accepted")
	}
	if !e.awaitStart(id, 5*time.Second) {
		return held, cannot("the job did not start")
	}
	time.Sleep(4 * time.Second)
	if e.trouble {
		// The gate that started later dials, so the last one's connection to the home is the only one
		// that passes the home's proxy.
		e.gates[1].peers.silence()
		e.note("silence", "", "the open connection between "+e.gates[1].name+" and "+e.gates[2].name+" passes nothing any more")
	}
	silent := time.Now()
	time.Sleep(100 * time.Millisecond)
	a := e.call(e.gates[2], http.MethodDelete, id, nil, 5*time.Second)
	if a.status != http.StatusOK && a.status != http.StatusGone {
		return held, cannot("the cancel was not acknowledged")
	}
	calm := silent.Add(contact)
	bound := calm.Add(cancel + stopTime)
	time.Sleep(time.Until(bound.Add(time.Second)))
	runsOn := e.running(id + ".")
	time.Sleep(time.Until(bound.Add(4 * time.Second)))
	still := e.running(id + ".")
	for _, p := range e.gates {
		e.call(p, http.MethodGet, id, nil, 5*time.Second)
	}
	e.note("seen", "", fmt.Sprintf("bound at %.1f s; a task ran 1 s after it: %v; 4 s after it: %v", bound.Sub(e.began).Seconds(), runsOn, still))
	if runsOn {
		return "UNASKED: the cancel was acknowledged, and a task of the job ran on after a calm stretch of cancel_ms + stopMs", nil
	}
	return held, nil
}

// foreignEntry: an entry of another writer stands among those of the workers, and the home of a
// job is killed.
func foreignEntry(e *environment) (verdict, error) {
	zones := []string{"z-a", "z-b", "z-c"}
	if err := e.deployment(zones, 2, fixed(8*time.Second)); err != nil {
		return held, err
	}
	if e.trouble && !withoutEntry() {
		e.store.put(rowName{"servers", "", "i-foreign"}, map[string]any{
			"service": service, "address": e.nextHost() + ":9", "zone": "z-b", "state": "ready",
			"capacity": map[string]int{"cpu": 64000, "memMb": 262144, "gpu": 0}, "labels": []string{"a", "r2-1"},
		})
		e.note("foreign entry", "i-foreign", "without version, slots, coldLeftMs, seq, born")
	}
	if err := e.startGates(zones); err != nil {
		return held, err
	}
	const id = "00000000000000a1"
	wanted := job(step{Count: 1, CPU: 2000, MemMb: 64, EstMs: 8000})
	if a := e.call(e.gates[0], http.MethodPost, id, wanted, 5*time.Second); a.status != http.StatusOK {
		return held, cannot("the job was not accepted")
	}
	if !e.awaitStart(id, 5*time.Second) {
		return held, cannot("the job did not start")
	}
	time.Sleep(2 * time.Second)
	if e.trouble {
		if err := e.restart(e.gates[0], 500*time.Millisecond); err != nil {
			return held, err
		}
	}
	time.Sleep(recovery)
	longest := e.longestIdle(id, finish+idleLimit)
	a := e.call(e.gates[1], http.MethodGet, id, nil, 5*time.Second)
	e.note("seen", "", fmt.Sprintf("the job had nothing running for %.1f s on end; starts of it: %d", longest.Seconds(), len(e.startsOf(id+".", time.Time{}))))
	if longest > idleLimit {
		return verdict(fmt.Sprintf("LOST: the accepted job is %q, and has had nothing running for %.1f s, though its task's turn has come and all workers are idle", a.state(), longest.Seconds())), nil
	}
	if a.state() != "completed" {
		return held, cannot("the job is %q", a.state())
	}
	return held, nil
}

// darkWorker: a worker's machine is lost for good, silently, just before a job is handed in, and
// the start of the job's task is sent to it.
func darkWorker(e *environment) (verdict, error) {
	zones := []string{"z-a", "z-b", "z-c"}
	if err := e.deployment(zones, 1, fixed(2*time.Second)); err != nil {
		return held, err
	}
	if err := e.startGates(zones); err != nil {
		return held, err
	}
	wanted := job(step{Count: 1, CPU: 2000, MemMb: 64, EstMs: 2000})
	const earlier, id = "00000000000000a1", "10000000000000b2"
	if a := e.call(e.gates[1], http.MethodPost, earlier, wanted, 5*time.Second); a.status != http.StatusOK {
		return held, cannot("the job was not accepted")
	}
	time.Sleep(4 * time.Second)
	if e.trouble {
		e.workers[1].goDark()
	}
	time.Sleep(100 * time.Millisecond)
	if a := e.call(e.gates[1], http.MethodPost, id, wanted, 5*time.Second); a.status != http.StatusOK {
		return held, cannot("the job was not accepted")
	}
	endOfTraffic := time.Now()
	e.note("traffic ends", "", "")
	time.Sleep(time.Until(endOfTraffic.Add(finish)))
	idle := e.longestIdle(id, 2*idleLimit)
	a := e.call(e.gates[0], http.MethodGet, id, nil, 5*time.Second)
	time.Sleep(time.Until(endOfTraffic.Add(27 * time.Second)))
	e.call(e.gates[0], http.MethodGet, id, nil, 5*time.Second)
	if idle > idleLimit && a.state() != "completed" {
		return verdict(fmt.Sprintf("LOST: from finish_s after the end of the traffic on, the accepted job, %q, had nothing running for %.1f s, though its task's turn has come and two sound workers are idle", a.state(), idle.Seconds())), nil
	}
	return held, nil
}

// unestimated: a job whose client gives no estimate.
func unestimated(e *environment) (verdict, error) {
	zones := []string{"z-a", "z-b", "z-c"}
	if err := e.deployment(zones, 2, fixed(8*time.Second)); err != nil {
		return held, err
	}
	if err := e.startGates(zones); err != nil {
		return held, err
	}
	wanted := job(step{Count: 1, CPU: 2000, MemMb: 64, EstMs: 8000})
	if e.trouble {
		wanted = job(step{Count: 1, CPU: 2000, MemMb: 64})
	}
	const id = "00000000000000a1"
	if a := e.call(e.gates[1], http.MethodPost, id, wanted, 5*time.Second); a.status != http.StatusOK {
		return held, cannot("the job was not accepted")
	}
	time.Sleep(20 * time.Second)
	idle := e.longestIdle(id, finish)
	a := e.call(e.gates[0], http.MethodGet, id, nil, 5*time.Second)
	if idle > idleLimit && a.state() != "completed" {
		return verdict(fmt.Sprintf("LOST: %q idle %.1f s", a.state(), idle.Seconds())), nil
	}
	return held, nil
}

// longestIdle returns the longest time in a period in which nothing of a job that has not ended
// ran.
func (e *environment) longestIdle(id string, period time.Duration) time.Duration {
	var idle, longest time.Duration
	seen := time.Now()
	for end := seen.Add(period); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		now := time.Now()
		if e.running(id+".") || e.endsOf(id+".", "done") > 0 {
			idle = 0
		} else {
			idle += now.Sub(seen)
		}
		seen = now
		longest = max(longest, idle)
	}
	return longest
}

// failsEverywhere: a task that can never be done has fewer eligible workers than attempts.
func failsEverywhere(e *environment) (verdict, error) {
	zones := []string{"z-a", "z-b", "z-c"}
	if err := e.deployment(zones, 2, fixed(time.Second)); err != nil {
		return held, err
	}
	fails := func(string, string) (time.Duration, string) { return 500 * time.Millisecond, "failed" }
	if !e.trouble {
		fails = fixed(500 * time.Millisecond)
	}
	for _, zone := range []string{"z-a", "z-b"} {
		if _, err := e.addWorker("i-special-"+zone, zone, []string{"b", "r9-1"}, fails); err != nil {
			return held, err
		}
	}
	if err := e.startGates(zones); err != nil {
		return held, err
	}
	const id = "00000000000000a1"
	if a := e.call(e.gates[0], http.MethodPost, id, job(step{Count: 1, CPU: 2000, MemMb: 64, EstMs: 500, Requires: "b"}), 5*time.Second); a.status != http.StatusOK {
		return held, cannot("the job was not accepted")
	}
	time.Sleep(finish)
	idle := e.longestIdle(id, 2*idleLimit)
	a := e.call(e.gates[1], http.MethodGet, id, nil, 5*time.Second)
	if idle > idleLimit && a.state() != "completed" && a.state() != "failed" {
		return verdict(fmt.Sprintf("LOST: the accepted job is %q after %d of 3 attempts, and had nothing running for %.1f s", a.state(), len(e.startsOf(id+".", time.Time{})), idle.Seconds())), nil
	}
	return held, nil
}
