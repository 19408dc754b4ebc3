package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/model"
	"crocusseam/pkg/workload"
	"crocusseam/platform"
)

const (
	floodLookupClients = 200
	floodLookups       = 300 // of each client
	// floodStoreDelay is how late the store's answers are during the flood, within the gate's timeout of a read.
	floodStoreDelay = 200 * time.Millisecond
)

// Guards against a process that exceeds its memory, or keeps its store from stored jobs, because many clients
// ask for jobs that nobody knows, or cancel them, and leave before the answer.
func TestFloodOfLookups(t *testing.T) {
	binary := buildGate(t)
	for _, method := range []string{http.MethodGet, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			f := startFlood(t, binary)
			f.toStore[0].setState(proxyState{Delay: floodStoreDelay})
			f.run(floodLookupClients, func(f *flood, c net.Conn, _ *workload.Job, _ bool) { f.lookUpAndLeave(c, method) })
			f.toStore[0].setState(proxyState{})
			f.checkStored()
			f.check()
		})
	}
}

// lookUpAndLeave asks for one unknown job after the other and resets the connection after each request.
func (f *flood) lookUpAndLeave(c net.Conn, method string) {
	for k := range floodLookups {
		if k > 0 {
			var err error
			if c, err = net.DialTimeout("tcp", f.address, floodWriteTimeout); err != nil {
				continue // the gate may refuse connections
			}
		}
		_, _ = fmt.Fprintf(c, "%s /seats/%s HTTP/1.1\r\nHost: %s\r\n\r\n", method, floodJob().ID, soakHost) // the gate may have closed it
		time.Sleep(2 * time.Millisecond)                                                                    // for the gate to read it
		resetConn(c)
	}
}

// checkStored checks that an ordinary stored job is accepted.
func (f *flood) checkStored() {
	accepted := false
	for range floodAttempts {
		j := floodJob()
		j.Ephemeral = false
		f.workers.Expect(&model.Outcome{Job: j})
		request, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+f.address+"/seats/"+string(j.ID), bytes.NewReader(platform.EncodeJob(j)))
		assert.NilError(f.t, err)
		request.Host = soakHost
		platform.SetCallerTimeout(request.Header, callerTimeout)
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerPatience}
		response, err := client.Do(request)
		if err == nil {
			accepted = response.StatusCode == http.StatusOK
			_ = response.Body.Close()
		}
		if accepted {
			break
		}
		time.Sleep(floodAttemptPause)
	}
	assert.Check(f.t, accepted, "an ordinary stored job is not accepted beside the flood")
}
