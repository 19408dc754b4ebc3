package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"crocusseam/pkg/model"
	"crocusseam/pkg/workload"
	"crocusseam/platform"
)

const (
	floodJobs            = 600 // connections with one complete job each
	floodLeavingClients  = 300
	floodJobsEachLeaving = 6
	floodLeaveWithin     = 300 * time.Millisecond // until a client leaves
	floodSteps           = 10
	floodStepTasks       = 100
	floodGates           = 3                // of the test in which the flooded one dies
	floodJobsHold        = 20 * time.Second // from the end of the crowd until the ordinary request
)

// Guards against a process that exceeds its memory or stops to answer ordinary callers because many
// clients send large jobs that are complete and within all limits.
func TestFloodOfCompleteJobs(t *testing.T) {
	binary := buildGate(t)
	oneJob := func(need int, ephemeral bool) func(*flood, net.Conn, *workload.Job, bool) {
		return func(f *flood, c net.Conn, j *workload.Job, _ bool) {
			_, _ = c.Write(f.largeRequest(j, need, ephemeral)) // the gate may have closed it
		}
	}
	for _, c := range []struct {
		name        string
		connections int
		client      func(f *flood, c net.Conn, j *workload.Job, complete bool)
	}{
		{"stored_jobs", floodJobs, oneJob(1000, false)},
		{"stored_jobs_of_small_tasks", floodJobs, oneJob(1, false)},
		{"ephemeral_jobs", floodJobs, oneJob(1000, true)},
		{"ephemeral_jobs_of_small_tasks", floodJobs, oneJob(1, true)},
		{"stored_jobs_of_leaving_clients", floodLeavingClients, func(f *flood, c net.Conn, _ *workload.Job, _ bool) { f.leaveOften(c, false) }},
		{"ephemeral_jobs_of_leaving_clients", floodLeavingClients, func(f *flood, c net.Conn, _ *workload.Job, _ bool) { f.leaveOften(c, true) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startFlood(t, binary)
			f.run(c.connections, c.client)
			time.Sleep(floodJobsHold)
			f.check()
		})
	}
}

// Guards against instances that exceed their memory when they adopt the jobs of a home that dies with
// all the work of a crowd.
func TestFloodOfAdoptedJobs(t *testing.T) {
	binary := buildGate(t)
	f := startFloodOf(t, binary, profile{domains: 1, joiningGates: floodGates, workers: 4})
	f.run(floodJobs, func(f *flood, c net.Conn, j *workload.Job, _ bool) {
		_, _ = c.Write(f.largeRequest(j, 1000, false)) // the gate may have closed it
	})
	f.gate.kill()
	time.Sleep(floodJobsHold)
	for i, p := range f.gates[1:] {
		f.gate, f.address = p, gateAddress(i+1, portCallers).String()
		f.check()
	}
}

// largeRequest returns the request of a job with the most tasks and the longest specification.
func (f *flood) largeRequest(j *workload.Job, need int, ephemeral bool) []byte {
	j.Ephemeral, j.Steps = ephemeral, nil
	for range floodSteps {
		j.Steps = append(j.Steps, workload.Step{Count: floodStepTasks, Estimate: 10 * time.Millisecond, Need: workload.Resources{MilliCPU: need}})
	}
	f.workers.Expect(&model.Outcome{Job: j})
	body := platform.EncodeJob(j)
	return append([]byte(requestHead(j, fmt.Sprint("Content-Length: ", len(body)))), body...)
}

// leaveOften sends one job after the other and closes the connection soon after each.
func (f *flood) leaveOften(c net.Conn, ephemeral bool) {
	for k := range floodJobsEachLeaving {
		if k > 0 {
			var err error
			if c, err = net.DialTimeout("tcp", f.address, floodWriteTimeout); err != nil {
				continue // the gate may refuse connections
			}
		}
		_ = c.SetWriteDeadline(time.Now().Add(floodWriteTimeout))
		_, _ = c.Write(f.largeRequest(floodJob(), 1000, ephemeral)) // the gate may have closed it
		time.Sleep(rand.N(floodLeaveWithin))
		_ = c.Close()
	}
}
