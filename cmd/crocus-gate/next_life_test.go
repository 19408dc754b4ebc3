package main

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"crocusseam/pkg/model"
	"crocusseam/pkg/workload"
	"crocusseam/platform"
)

const (
	sentTime    = 40 * time.Millisecond  // in which the calls of a trial are sent
	arrivalTime = 50 * time.Millisecond  // in which calls arrive once a path is open
	stopsSent   = 750 * time.Millisecond // until starts are given up and stopped, while answers still count
	pausedTime  = 300 * time.Millisecond // of a gate that keeps its callers
	jobsOfTrial = 24
	halfCPU     = 30000 // two such tasks fit a worker
	largerCPU   = 33000 // one such task fits a worker, beside one of halfCPU
	// A next life is known before a task of taskTime ends, and a lease is longer.
	taskTime  = 900 * time.Millisecond
	shortTask = 20 * time.Millisecond
	// The first tasks of stored jobs end soon after the answers of their workers begin to wait.
	firstTask    = 200 * time.Millisecond
	firstAnswers = 160 * time.Millisecond
)

// nextLife has half of the workers of a gate start again under their names while calls are on
// their way to them.
type nextLife struct {
	*twoHomes
	trial  int
	holder *process
	again  []int // the workers that start again
	others []int
	jobs   errgroup.Group
	// started are the runs that next lives have started just after their paths opened, and stopped
	// those that they have stopped then.
	started, stopped map[workload.Run]bool
}

// playNextLives plays trials at several gates at once. It checks the workers' world, and that in
// each trial calls for former lives have reached next ones.
func playNextLives(t *testing.T, play func(n *nextLife)) {
	h := newTwoHomes(t, twoHomesProfile, 3, buildGate(t))
	var g errgroup.Group
	var trials []*nextLife
	var names []string
	for i, p := range h.gates[:3] {
		workers := workersOf(p)
		n := &nextLife{
			twoHomes: h, trial: i, holder: p, again: workers[:workersOfGate/2], others: workers[workersOfGate/2:],
			started: make(map[workload.Run]bool), stopped: make(map[workload.Run]bool),
		}
		trials, names = append(trials, n), append(names, p.name)
		g.Go(func() error {
			play(n)
			return n.jobs.Wait()
		})
	}
	assert.Check(t, g.Wait())
	h.awaitIdle()
	for _, n := range trials {
		t.Logf("%s: %d calls for former lives have reached next ones, which have started %d runs and stopped %d", n.holder.name, n.formerCalls(), len(n.started), len(n.stopped))
		assert.Check(t, n.formerCalls() > 0, "%s: no call for a former life has reached the next one", n.holder.name)
	}
	h.checkBreaches(names)
}

// submitJobs has callers submit jobs of one task until they are completed.
func (n *nextLife) submitJobs(count, cpu int, length time.Duration, ephemeral bool) {
	for range count {
		j := newJob(n.trial, length)
		j.Ephemeral, j.Steps[0].Need.MilliCPU = ephemeral, cpu
		n.jobs.Go(func() error { return n.complete(j) })
	}
}

// complete submits a job until it is completed.
func (n *nextLife) complete(j *workload.Job) error {
	n.workers.Expect(&model.Outcome{Job: j})
	method, body := http.MethodPost, platform.EncodeJob(j)
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); {
		status, state := n.call(n.client, n.holder, method, j.ID, body, callerPatience)
		switch {
		case status == http.StatusOK && state == "completed":
			return nil
		case status == http.StatusOK && !j.Ephemeral: // accepted
			method, body = http.MethodGet, nil
			time.Sleep(shortTask)
		default:
			time.Sleep(resendDelay)
		}
	}
	return fmt.Errorf("job %s at %s is not completed", j.ID, n.holder.name)
}

// silence has the bytes to or from the workers that start again wait.
func (n *nextLife) silence(s proxyState) { n.setPaths(n.again, s) }

// restart lets the next lives begin.
func (n *nextLife) restart() {
	n.changeWorkers(n.again, func(x *model.Endpoint) {
		x.Crash()
		x.Restart()
	})
}

// busy returns how many of the workers run something.
func (n *nextLife) busy(workers []int) int {
	count := 0
	n.changeWorkers(workers, func(x *model.Endpoint) {
		if x.Used().MilliCPU > 0 {
			count++
		}
	})
	return count
}

// formerCalls returns how many calls for former lives the next ones have received.
func (n *nextLife) formerCalls() int {
	count := 0
	n.changeWorkers(n.again, func(x *model.Endpoint) { count += x.FormerCalls })
	return count
}

// await waits until a condition holds, at most as long as callers wait.
func (n *nextLife) await(what string, holds func() bool) {
	for end := time.Now().Add(callerPatience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			assert.Check(n.t, false, "%s: %s not reached", n.holder.name, what)
			return
		}
	}
}

// observe notes what the next lives start and stop.
func (n *nextLife) observe(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(time.Millisecond) {
		n.changeWorkers(n.again, func(x *model.Endpoint) {
			report := x.Report()
			for _, r := range report.Running {
				n.started[r.Run] = true
			}
			for _, r := range report.Ended {
				n.started[r.Run] = true
				if r.How == workload.Stopped {
					n.stopped[r.Run] = true
				}
			}
		})
	}
}

// sendStarts has starts wait on the paths to the workers that start again.
func (n *nextLife) sendStarts() {
	n.silence(proxyState{BlockedToTarget: true})
	n.submitJobs(jobsOfTrial, halfCPU, taskTime, true)
	n.await("a start at the other workers", func() bool { return n.busy(n.others) > 0 })
	sleepOrDone(n.ctx, sentTime)
}

// Guards against two runs of a task at once: a start for a former life is accepted by the next one,
// whose answer does not name it, and the task starts elsewhere when the next life shows.
func TestStartAcceptedByNextLifeIsNotOverWithTheFormer(t *testing.T) {
	playNextLives(t, func(n *nextLife) {
		n.sendStarts()
		n.restart()
		n.silence(proxyState{})
		n.observe(arrivalTime)
	})
}

// Guards against two runs of a task at once: a start, its copy and its stop reach the next life
// together, and the task starts elsewhere while the run is being stopped.
func TestStartAndStopAcceptedByNextLifeAreNotOverWithTheFormer(t *testing.T) {
	playNextLives(t, func(n *nextLife) {
		n.sendStarts()
		sleepOrDone(n.ctx, stopsSent-sentTime)
		n.restart()
		n.silence(proxyState{})
		n.observe(2 * arrivalTime)
	})
}

// Guards against two runs of a task at once: a holder sleeps while the next life accepts its
// starts, and reads the answers when it wakes.
func TestPausedHolderDoesNotTakeNextLifeForTheFormer(t *testing.T) {
	playNextLives(t, func(n *nextLife) {
		n.sendStarts()
		n.signals(n.holder, func(p *process) {
			p.signal(syscall.SIGSTOP)
			sleepOrDone(n.ctx, pausedTime)
			n.restart()
			n.silence(proxyState{})
			n.observe(arrivalTime)
		})
	})
}

// Guards against a stored job's task that runs again after it is done: the next life accepts the
// start, so the holder acknowledges ends of the former life, and with them that of the run.
func TestEndAtNextLifeIsNotAcknowledgedWithThoseOfTheFormer(t *testing.T) {
	playNextLives(t, func(n *nextLife) {
		n.submitJobs(workersOfGate, largerCPU, firstTask, false)
		n.await("runs at most workers", func() bool { return 2*n.busy(n.again) > len(n.again) })
		sleepOrDone(n.ctx, firstAnswers)
		n.silence(proxyState{BlockedFromTarget: true})
		n.await("the end of these runs", func() bool { return n.busy(n.again) == 0 })
		n.restart()
		n.submitJobs(workersOfGate, halfCPU, shortTask, false)
		n.await("a call for a former life at a next one", func() bool {
			n.observe(time.Millisecond)
			return n.formerCalls() > 0 && n.busy(n.again) == 0
		})
		n.observe(shortTask)
		n.silence(proxyState{})
	})
}
