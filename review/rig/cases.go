package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	outage     = 4500 * time.Millisecond // of the store
	downTime   = 3 * time.Second         // of a killed gate, within the site's 3.5 s
	finish     = 14 * time.Second        // finish_s
	cancelTime = 3 * time.Second         // cancel_ms
	stopTime   = 50 * time.Millisecond   // stopMs
	idleTime   = 3 * time.Second         // with nothing running, until an open job counts as lost

	visibleTime = 5 * time.Second // visible_ms and 2 s
)

var fourZones = []gatePlan{{"a", 0.4}, {"b", 0.4}, {"c", 0.4}, {"d", 0.4}}

// endsCase: jobs of many short tasks come all the time, and the store is slow for a while.
func endsCase(trouble bool) (*environment, []string, error) {
	e, err := newEnvironment(plan{gates: fourZones[:2], workers: 1, cores: 64, maxAttempts: 4, seed: 1})
	if err != nil {
		return e, nil, err
	}
	var clients sync.WaitGroup
	for i := range 13 {
		if trouble && i == 4 {
			e.slowStore()
		}
		clients.Go(func() { e.submit(i, newID(i), job("ms=50", 1000, 1600, 50)) })
		time.Sleep(900 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(finish)
	for _, w := range e.workers {
		e.ledger.write("worker %s kept %d ended runs at the most", w.id, w.mostEnd)
	}
	return e, e.ledger.twice(), nil
}

// killCase: jobs of many short tasks come all the time, and a small gate is killed, which
// holds no workers and is the home of a few jobs.
func killCase(trouble bool) (*environment, []string, error) {
	gates := []gatePlan{{"a", 0.8}, {"b", 0.8}, {"a", 0.144}}
	e, err := newEnvironment(plan{gates: gates, workers: 1, cores: 64, maxAttempts: 4, seed: 1})
	if err != nil {
		return e, nil, err
	}
	var clients sync.WaitGroup
	for i := range 13 {
		clients.Go(func() { e.submit(i%2, newID(i), job("ms=50", 1000, 1600, 50)) })
		if i < 5 {
			clients.Go(func() { e.submit(2, newID(i), job("ms=300", 20, 800, 300)) })
		}
		time.Sleep(300 * time.Millisecond)
		if trouble && i == 4 {
			e.killForAWhile(e.gates[2])
		}
		time.Sleep(700 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(finish)
	for _, w := range e.workers {
		e.ledger.write("worker %s kept %d ended runs at the most", w.id, w.mostEnd)
	}
	return e, e.ledger.twice(), nil
}

// slowStore makes the store slow for the time of a disruption.
func (e *environment) slowStore() {
	e.ledger.write("the store is slow")
	e.store.disrupt(func(s *store) { s.slowX = 60 })
	time.AfterFunc(outage, func() {
		e.store.disrupt(func(s *store) { s.slowX = 1 })
		e.ledger.write("the store is not slow any more")
	})
}

// orphanCase: a gate is killed and starts again a second later, while answers of the store
// are lost. This is done up to four times, until the rule is broken.
func orphanCase(trouble bool) (*environment, []string, error) {
	gates := []gatePlan{{"a", 0.8}, {"b", 0.3}, {"c", 0.3}}
	e, err := newEnvironment(plan{gates: gates, workers: 3, cores: 32, maxAttempts: 4, seed: uint64(time.Now().UnixNano())})
	if err != nil {
		return e, nil, err
	}
	time.Sleep(3 * time.Second)
	var ids, breaches []string
	for round := 0; round < 4 && len(breaches) == 0; round++ {
		ids = append(ids, e.submitMany(64, job("ms=2500", 2, 2000, 2500))...)
		time.Sleep(500 * time.Millisecond)
		if trouble {
			if err := e.killWhileAnswersAreLost(); err != nil {
				return e, nil, err
			}
		}
		time.Sleep(outage + finish)
		breaches = e.unfinished(ids)
	}
	return e, breaches, nil
}

// killWhileAnswersAreLost kills the first gate and starts it again a second later, while
// answers of the store are lost.
func (e *environment) killWhileAnswersAreLost() error {
	e.ledger.write("answers to 0.35 of the writes are lost")
	e.store.disrupt(func(s *store) { s.lostOf = 0.35 })
	time.AfterFunc(outage, func() {
		e.store.disrupt(func(s *store) { s.lostOf = 0 })
		e.ledger.write("no more answers are lost")
	})
	e.kill(e.gates[0])
	time.Sleep(time.Second)
	return e.start(e.gates[0])
}

// killForAWhile kills a gate, which starts again after downTime.
func (e *environment) killForAWhile(g *gate) {
	e.kill(g)
	time.AfterFunc(downTime, func() {
		if err := e.start(g); err != nil {
			e.ledger.write("process %s could not start again: %v", g.name, err)
		}
	})
}

// submitMany hands equal jobs in at the first gate and returns the ids of those that were
// accepted.
func (e *environment) submitMany(n int, body any) []string {
	var ids []string
	var mu sync.Mutex
	var clients sync.WaitGroup
	for i := range n {
		id := newID(i)
		clients.Go(func() {
			if e.submit(0, id, body) {
				mu.Lock()
				ids = append(ids, id)
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	return ids
}

// unfinished asks for accepted jobs, and returns those that are open with nothing running
// for idleTime.
func (e *environment) unfinished(ids []string) []string {
	asked := time.Now()
	lastRun := make(map[string]time.Time)
	for _, runs := range e.ledger.tasks() {
		for _, r := range runs {
			id, end := r.key.task[:16], r.end
			if end.IsZero() {
				end = asked
			}
			if end.After(lastRun[id]) {
				lastRun[id] = end
			}
		}
	}
	var breaches []string
	for i, id := range ids {
		state := e.call(e.gates[i%len(e.gates)], http.MethodGet, id, nil, 1500*time.Millisecond).state()
		if idle := asked.Sub(lastRun[id]); (state == "queued" || state == "running") && idle > idleTime {
			breaches = append(breaches, fmt.Sprintf("LOST: job %s was accepted and is shown as %s; nothing of it has run for %.1f s, and all workers are idle", id, state, idle.Seconds()))
		}
	}
	return breaches
}

// budgetCase: a gate is killed that is the home of jobs, some of which can never be done.
func budgetCase(trouble bool) (*environment, []string, error) {
	const maxAttempts = 2
	gates := []gatePlan{{"a", 0.8}, {"b", 0.8}, {"a", 0.144}, {"b", 0.144}}
	e, err := newEnvironment(plan{gates: gates, workers: 3, cores: 32, maxAttempts: maxAttempts, seed: 1})
	if err != nil {
		return e, nil, err
	}
	time.Sleep(3 * time.Second)
	var clients sync.WaitGroup
	for i := range 160 {
		body := job("ms=200", 4, 500, 200)
		if i%20 == 6 {
			body = job("ms=200 fail", 4, 500, 200)
		}
		clients.Go(func() { e.submit(2+i%2, newID(i), body) })
		time.Sleep(20 * time.Millisecond)
		if trouble && i == 120 {
			e.killForAWhile(e.gates[2])
		}
	}
	clients.Wait()
	time.Sleep(20 * time.Second)
	return e, e.ledger.overBudget(maxAttempts), nil
}

// failedCase: a gate is killed while the store is down. One task of each job fails once.
func failedCase(trouble bool) (*environment, []string, error) {
	const maxAttempts = 4
	e, err := newEnvironment(plan{gates: fourZones, workers: 3, cores: 32, maxAttempts: maxAttempts, seed: 1})
	if err != nil {
		return e, nil, err
	}
	time.Sleep(3 * time.Second)
	ids := e.submitMany(2, job("ms=4000 firstfails=1800", 40, 4000, 4000))
	time.Sleep(200 * time.Millisecond)
	if trouble {
		e.ledger.write("the store is down")
		e.store.disrupt(func(s *store) { s.down = true })
		time.Sleep(300 * time.Millisecond)
		e.killForAWhile(e.gates[1])
		time.Sleep(outage - 300*time.Millisecond)
		e.store.disrupt(func(s *store) { s.down = false })
		e.ledger.write("the store is not down any more")
	}
	time.Sleep(finish)
	return e, e.failedWithoutCause(ids, maxAttempts), nil
}

// failedWithoutCause asks for accepted jobs, and returns those that are shown as failed
// although no task of theirs has failed maxAttempts times.
func (e *environment) failedWithoutCause(ids []string, maxAttempts int) []string {
	most := make(map[string]int)
	for task, runs := range e.ledger.tasks() {
		failed := 0
		for _, r := range runs {
			if r.how == "failed" {
				failed++
			}
		}
		most[task[:16]] = max(most[task[:16]], failed)
	}
	var breaches []string
	for _, id := range ids {
		state := e.call(e.gates[0], http.MethodGet, id, nil, 1500*time.Millisecond).state()
		if state == "failed" && most[id] < maxAttempts {
			breaches = append(breaches, fmt.Sprintf("LOST: job %s is shown as failed; no task of it has failed more than %d times (maxAttempts is %d)", id, most[id], maxAttempts))
		}
	}
	return breaches
}

// cancelCase: jobs are cancelled soon after their acknowledgement, at another gate.
func cancelCase(trouble bool) (*environment, []string, error) {
	gates := []gatePlan{{"a", 0.8}, {"b", 0.8}, {"a", 0.144}, {"b", 0.144}}
	e, err := newEnvironment(plan{gates: gates, workers: 3, cores: 32, maxAttempts: 4, seed: 1})
	if err != nil {
		return e, nil, err
	}
	time.Sleep(3 * time.Second)
	id := newID(3)
	if !e.submit(2, id, job("ms=30000", 2, 2000, 30000)) {
		return e, nil, cannot("the job was not accepted")
	}
	time.Sleep(300 * time.Millisecond)
	if !trouble {
		time.Sleep(12 * time.Second)
		return e, nil, nil
	}
	if r := e.call(e.gates[3], http.MethodDelete, id, nil, 1500*time.Millisecond); r.status != http.StatusOK {
		return e, nil, cannot("the cancelling was answered with %d", r.status)
	}
	answered := time.Now()
	time.Sleep(12 * time.Second)
	var breaches []string
	for task, runs := range e.ledger.tasks() {
		for _, r := range runs {
			end := r.end
			if end.IsZero() {
				end = time.Now()
			}
			if after := end.Sub(answered); after > cancelTime+stopTime {
				breaches = append(breaches, fmt.Sprintf("UNASKED: %s run %d still ran on %s %.1f s after the cancelling of its job was acknowledged", task, r.key.run, r.worker, after.Seconds()))
			}
		}
	}
	return e, breaches, nil
}

// countCase: a gate is killed that is the home of jobs that wait for room.
func countCase(trouble bool) (*environment, []string, error) {
	e, err := newEnvironment(plan{gates: fourZones, workers: 1, cores: 8, maxAttempts: 4, seed: 1})
	if err != nil {
		return e, nil, err
	}
	time.Sleep(3 * time.Second)
	ids := e.submitMany(100, job("ms=2000", 1, 8000, 2000))
	accepted := time.Now()
	time.Sleep(visibleTime + time.Second)
	if trouble {
		e.killForAWhile(e.gates[0])
	}
	var breaches []string
	for range 40 {
		for _, g := range e.gates[1:] {
			asked := time.Now()
			r := e.call(g, http.MethodGet, "", nil, 1500*time.Millisecond)
			waiting := e.notBegun(ids)
			if got, ok := r.waiting(); ok && asked.Sub(accepted) > visibleTime && 2*got < waiting {
				breaches = append(breaches, fmt.Sprintf("MIXED: %s gives %d as waiting at %.3f s; %d jobs were accepted over %.1f s before and have not begun",
					g.name, got, e.ledger.at(asked), waiting, visibleTime.Seconds()))
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return e, breaches, nil
}

// notBegun counts the jobs of which no task has started.
func (e *environment) notBegun(ids []string) int {
	begun := make(map[string]bool)
	for task := range e.ledger.tasks() {
		begun[task[:16]] = true
	}
	n := 0
	for _, id := range ids {
		if !begun[id] {
			n++
		}
	}
	return n
}
