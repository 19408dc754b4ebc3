package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"crocusseam/pkg/model"
	"crocusseam/pkg/workload"
	"crocusseam/platform"
)

const (
	floodSmallClients  = 300
	floodSmallJobsEach = 200
)

// Guards against a process that exceeds its memory because many clients send jobs of one short task and
// the longest specification, each as soon as the one before is answered.
func TestFloodOfSmallJobs(t *testing.T) {
	binary := buildGate(t)
	for name, ephemeral := range map[string]bool{"ephemeral_jobs": true, "stored_jobs": false} {
		t.Run(name, func(t *testing.T) {
			f := startFlood(t, binary)
			f.run(floodSmallClients, func(f *flood, c net.Conn, _ *workload.Job, _ bool) { f.sendInTurn(c, ephemeral) })
			f.check()
		})
	}
}

// sendInTurn sends jobs of one task that takes little of an endpoint, until the gate closes the connection.
func (f *flood) sendInTurn(c net.Conn, ephemeral bool) {
	answers := bufio.NewReader(c)
	for range floodSmallJobsEach {
		j := floodJob()
		j.Ephemeral, j.Steps[0].Need = ephemeral, workload.Resources{MilliCPU: 1}
		f.workers.Expect(&model.Outcome{Job: j})
		body := platform.EncodeJob(j)
		_ = c.SetDeadline(time.Now().Add(floodWriteTimeout))
		if _, err := c.Write(append([]byte(requestHead(j, fmt.Sprint("Content-Length: ", len(body)))), body...)); err != nil {
			return
		}
		response, err := http.ReadResponse(answers, nil)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, response.Body)
		if err != nil {
			return
		}
	}
}
