package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	backlogJobs        = 2600
	backlogConnections = 40                   // of the client, all to the gate that its hash selects
	backlogPause       = 4 * time.Millisecond // between two jobs: 250 a second at most
	backlogRoom        = 6 * 32               // tasks of 2 cores that six workers of 64 cores run
	backlogTime        = 50 * time.Second     // the longest time in which they are handed in
	backlogWatch       = 40 * time.Second
	memoryMb           = 284
	taskTime           = 20 * time.Second
)

// memoryOf returns the resident memory of a gate in megabytes.
func (p *process) memoryOf() int {
	command, _ := p.now()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// guardMemory kills a gate that exceeds memoryMb and starts it again, as the platform does, until
// stop is closed. It counts in kills how often it did, by gate.
func (e *environment) guardMemory(stop chan struct{}, kills map[string]int) error {
	peak := make(map[string]int)
	for {
		select {
		case <-stop:
			e.note("peak memory", "", fmt.Sprintf("in MB: %v", peak))
			return nil
		case <-time.After(10 * time.Millisecond):
		}
		for _, p := range e.gates {
			mb := p.memoryOf()
			peak[p.name] = max(peak[p.name], mb)
			if mb <= memoryMb {
				continue
			}
			kills[p.name]++
			e.note("over memory", p.name, fmt.Sprintf("%d MB of %d", mb, memoryMb))
			if err := e.restart(p, 500*time.Millisecond); err != nil {
				return err
			}
		}
	}
}

// backlog: the gate is killed that has accepted the jobs of one client, most of which wait for room.
func backlog(e *environment) (verdict, error) {
	zones := []string{"z-a", "z-b", "z-c"}
	if err := e.deployment(zones, 2, fixed(taskTime)); err != nil {
		return held, err
	}
	if err := e.startGates(zones); err != nil {
		return held, err
	}
	stop := make(chan struct{})
	kills := make(map[string]int)
	var guard sync.WaitGroup
	var guardErr error
	guard.Add(1)
	go func() {
		defer guard.Done()
		guardErr = e.guardMemory(stop, kills)
	}()
	accepted := e.submitBacklog()
	endOfTraffic := time.Now()
	e.note("traffic ends", "", fmt.Sprintf("%d jobs accepted", len(accepted)))
	var err error
	if e.trouble {
		err = e.restart(e.gates[0], 500*time.Millisecond)
	}
	idle := e.watchBacklog(accepted, endOfTraffic)
	close(stop)
	guard.Wait()
	if err != nil || guardErr != nil {
		return held, cannot("%v %v", err, guardErr)
	}
	e.note("seen", "", fmt.Sprintf("waiting jobs beside idle workers, from finish_s after the end of the traffic on: for %.1f s on end; gates killed over their memory: %v", idle.Seconds(), kills))
	if idle > idleLimit {
		return verdict(fmt.Sprintf("LOST: accepted jobs had nothing running for %.1f s, with more than half of the workers' room free; gates without a disruption exceeded their memory and were killed: %v", idle.Seconds(), kills)), nil
	}
	return held, nil
}

// submitBacklog hands the jobs in and returns those that were accepted. Their numbers are the
// times at which the client has made them.
func (e *environment) submitBacklog() map[string]bool {
	wanted := job(step{Count: 1, CPU: 2000, MemMb: 64, EstMs: int(taskTime.Milliseconds())})
	wanted["spec"] = strings.Repeat("spec", 300)
	var mu sync.Mutex
	accepted := make(map[string]bool)
	var clients sync.WaitGroup
	ids := make(chan string)
	for range backlogConnections {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for id := range ids {
				if a := e.call(e.gates[0], http.MethodPost, id, wanted, 5*time.Second); a.status == http.StatusOK {
					mu.Lock()
					accepted[id] = true
					mu.Unlock()
				}
			}
		}()
	}
	for end, n := time.Now().Add(backlogTime), 0; n < backlogJobs && time.Now().Before(end); n++ {
		ids <- fmt.Sprintf("%016x", time.Now().UnixMicro())
		time.Sleep(backlogPause)
	}
	close(ids)
	clients.Wait()
	return accepted
}

// watchBacklog watches the jobs until all are done or the watch is over. It returns the longest
// time, from finish_s after the end of the traffic on, in which some job that is not done had
// nothing running although more than half of the workers' room was free.
func (e *environment) watchBacklog(accepted map[string]bool, endOfTraffic time.Time) time.Duration {
	var idle, longest time.Duration
	seen, report := time.Now(), time.Now()
	for end := endOfTraffic.Add(backlogWatch); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		done, running := e.doneJobs(accepted), 0
		for _, w := range e.workers {
			running += w.load()
		}
		now := time.Now()
		if len(accepted)-done-running > 0 && running < backlogRoom/2 && now.Sub(endOfTraffic) >= finish {
			idle += now.Sub(seen)
		} else {
			idle = 0
		}
		seen, longest = now, max(longest, idle)
		if now.Sub(report) >= 5*time.Second || done == len(accepted) {
			report = now
			e.note("progress", "", fmt.Sprintf("%d of %d jobs done, %d tasks running, room for %d", done, len(accepted), running, backlogRoom))
		}
		if done == len(accepted) {
			break
		}
	}
	return longest
}

// doneJobs counts the jobs of which the task is done.
func (e *environment) doneJobs(accepted map[string]bool) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	done := make(map[string]bool)
	for _, x := range e.ends {
		if id, _, _ := strings.Cut(x.task, "."); x.how == "done" && accepted[id] {
			done[id] = true
		}
	}
	return len(done)
}
