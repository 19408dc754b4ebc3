package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"crocusseam/pkg/model"
	"crocusseam/pkg/workload"
	"crocusseam/platform"
)

// floodProfile has one gate, which the test starts with its own settings.
var floodProfile = profile{domains: 1, joiningGates: 1, workers: 4}

const (
	floodMemoryMB      = 100 // the gate's setting and the bound of its peak resident memory
	floodDescriptors   = 700 // the gate's setting
	floodFileReserve   = 200 // descriptors of the setting that are kept for files
	floodBodies        = 400 // connections with a body
	floodConnections   = 800 // connections without one, more than there are descriptors
	floodBodyBytes     = 255_000
	floodHeaderBytes   = 12 << 10 // of headers that stop within the limit
	floodPieceBytes    = 4000
	floodFewComplete   = 8               // one request in so many is sent to its end
	floodWriteTimeout  = 8 * time.Second // until a client stops writing to a gate that does not read
	floodHold          = time.Second     // from the end of the flood until the ordinary request
	floodSamplePeriod  = 20 * time.Millisecond
	floodAttempts      = 30 // of the ordinary request
	floodAttemptPause  = 500 * time.Millisecond
	floodCallerTimeout = time.Minute // that the clients claim to wait
)

// Guards against a process that exceeds its memory or its descriptors, ends, or stops to answer
// ordinary callers, because many clients send large bodies, send no end of their bodies or headers,
// or keep connections open.
func TestFlood(t *testing.T) {
	binary := buildGate(t)
	for _, c := range []struct {
		name        string
		connections int
		client      func(f *flood, c net.Conn, j *workload.Job, complete bool)
	}{
		{"whole_bodies", floodBodies, func(f *flood, c net.Conn, j *workload.Job, complete bool) {
			f.sendBody(c, j, complete, floodBodyBytes)
		}},
		{"bodies_in_pieces", floodBodies, func(f *flood, c net.Conn, j *workload.Job, complete bool) {
			f.sendBody(c, j, complete, floodPieceBytes)
		}},
		{"large_chunks", floodBodies, func(f *flood, c net.Conn, j *workload.Job, complete bool) {
			f.sendChunks(c, j, complete, 32<<10)
		}},
		{"small_chunks", floodBodies, func(f *flood, c net.Conn, j *workload.Job, complete bool) {
			f.sendChunks(c, j, complete, 16)
		}},
		{"endless_headers", floodConnections, func(f *flood, c net.Conn, _ *workload.Job, complete bool) { f.sendHeaders(c, complete) }},
		{"idle_connections", floodConnections, func(*flood, net.Conn, *workload.Job, bool) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startFlood(t, binary)
			f.run(c.connections, c.client)
			f.check()
		})
	}
}

// flood is a gate and the clients that flood it.
type flood struct {
	*soak
	gate           *process
	address        string
	conns          []net.Conn
	maxDescriptors atomic.Int64
}

func startFlood(t *testing.T, binary string) *flood { return startFloodOf(t, binary, floodProfile) }

// startFloodOf starts all gates of a profile with the limits of the flood tests. The first one is flooded.
func startFloodOf(t *testing.T, binary string, profile profile) *flood {
	s := newSoak(t, profile, 1, binary)
	for _, p := range s.gates {
		p.setup["MemoryMB"] = floodMemoryMB
		p.setup["Descriptors"] = floodDescriptors
		text, err := json.Marshal(p.setup)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(p.settings, text, 0o600))
		s.start(p, binary)
	}
	s.awaitServing()
	assert.Equal(t, len(s.breaches), 0, "%v", s.breaches)
	f := &flood{soak: s, gate: s.gates[0], address: gateAddress(0, portCallers).String()}
	t.Cleanup(func() {
		for _, c := range f.conns {
			_ = c.Close() // the gate may have closed it
		}
	})
	return f
}

// run lets all clients send at a time. Their connections stay open until the test ends.
func (f *flood) run(connections int, client func(*flood, net.Conn, *workload.Job, bool)) {
	stop := make(chan struct{})
	var sampler, clients errgroup.Group
	sampler.Go(func() error {
		for {
			select {
			case <-stop:
				return nil
			case <-time.After(floodSamplePeriod):
				f.sampleDescriptors()
			}
		}
	})
	for i := range connections {
		c, err := net.DialTimeout("tcp", f.address, floodWriteTimeout)
		if err != nil {
			continue // the gate may refuse connections
		}
		f.conns = append(f.conns, c)
		clients.Go(func() error {
			_ = c.SetWriteDeadline(time.Now().Add(floodWriteTimeout)) // the gate may have closed it
			client(f, c, floodJob(), i%floodFewComplete == 0)
			return nil
		})
	}
	_ = clients.Wait()
	time.Sleep(floodHold)
	close(stop)
	_ = sampler.Wait()
}

// floodJob returns a job whose body is short. The clients lengthen it by spaces.
func floodJob() *workload.Job {
	return &workload.Job{ID: workload.JobID(fmt.Sprintf("%016x", rand.Uint64())), Spec: strings.Repeat("x", 4000), Ephemeral: true, Steps: []workload.Step{{
		Count: 1, Estimate: 10 * time.Millisecond, Need: workload.Resources{MilliCPU: 1000},
	}}}
}

// requestHead returns the beginning of a request of a job, with one more header.
func requestHead(j *workload.Job, header string) string {
	return fmt.Sprintf("POST /seats/%s HTTP/1.1\r\nHost: %s\r\nX-Crocusseam-Deadline-Ms: %d\r\n%s\r\n\r\n", j.ID, soakHost, floodCallerTimeout.Milliseconds(), header)
}

// body returns the body of a job, and registers the job if the body will be sent to its end.
func (f *flood) body(j *workload.Job, complete bool) []byte {
	if complete {
		f.workers.Expect(&model.Outcome{Job: j})
	}
	b := platform.EncodeJob(j)
	return append(b, bytes.Repeat([]byte{' '}, floodBodyBytes-len(b))...)
}

// sendBody sends a body of a known length in pieces, without its last byte unless it is complete.
func (f *flood) sendBody(c net.Conn, j *workload.Job, complete bool, piece int) {
	b := f.body(j, complete)
	if _, err := c.Write([]byte(requestHead(j, fmt.Sprint("Content-Length: ", len(b))))); err != nil {
		return
	}
	if !complete {
		b = b[:len(b)-1]
	}
	for len(b) > 0 {
		n := min(piece, len(b))
		if _, err := c.Write(b[:n]); err != nil {
			return
		}
		b = b[n:]
	}
}

// sendChunks sends a body in chunks, without the last one unless it is complete. Several small
// chunks go into one write.
func (f *flood) sendChunks(c net.Conn, j *workload.Job, complete bool, size int) {
	b := f.body(j, complete)
	var chunks bytes.Buffer
	chunks.WriteString(requestHead(j, "Transfer-Encoding: chunked"))
	for len(b) > 0 {
		n := min(size, len(b))
		if n == len(b) && !complete {
			break
		}
		fmt.Fprintf(&chunks, "%x\r\n%s\r\n", n, b[:n])
		b = b[n:]
		if chunks.Len() > floodPieceBytes {
			if _, err := chunks.WriteTo(c); err != nil {
				return
			}
		}
	}
	if complete {
		chunks.WriteString("0\r\n\r\n")
	}
	_, _ = chunks.WriteTo(c) // the gate may have closed it
}

// sendHeaders sends headers without an end: they stop within the limit of headers, or go on
// beyond it.
func (f *flood) sendHeaders(c net.Conn, beyond bool) {
	total := floodHeaderBytes
	if beyond {
		total *= 8
	}
	if _, err := fmt.Fprintf(c, "GET /seats/ HTTP/1.1\r\nHost: %s\r\n", soakHost); err != nil {
		return
	}
	for sent := 0; sent < total; sent += 1000 {
		if _, err := fmt.Fprintf(c, "X-Filler-%d: %s\r\n", sent, strings.Repeat("x", 980)); err != nil {
			return
		}
	}
}

func (f *flood) sampleDescriptors() {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", f.gate.last.Pid))
	if err == nil {
		f.maxDescriptors.Store(max(f.maxDescriptors.Load(), int64(len(entries))))
	}
}

// peakMemory returns the peak resident memory of the gate in bytes, or 0 if it has ended.
func (f *flood) peakMemory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.gate.last.Pid))
	assert.NilError(f.t, err)
	for line := range strings.Lines(string(status)) {
		var kB int
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kB); n == 1 {
			return kB << 10
		}
	}
	return 0
}

// check checks that the gate answers an ordinary request while the connections are open, lives, and
// has stayed within its memory and its descriptors.
func (f *flood) check() {
	served := false
	for range floodAttempts {
		j := floodJob()
		f.workers.Expect(&model.Outcome{Job: j})
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		request, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+f.address+"/seats/"+string(j.ID), bytes.NewReader(platform.EncodeJob(j)))
		assert.NilError(f.t, err)
		request.Host = soakHost
		platform.SetCallerTimeout(request.Header, callerTimeout)
		client.Timeout = callerPatience
		response, err := client.Do(request)
		if err == nil {
			served = response.StatusCode == http.StatusOK
			_ = response.Body.Close()
		}
		if served {
			break
		}
		time.Sleep(floodAttemptPause)
	}
	f.sampleDescriptors()
	memory, descriptors := f.peakMemory(), f.maxDescriptors.Load()
	f.t.Logf("%d connections; peak resident memory %.1f MB of %d, %d descriptors of %d", len(f.conns), float64(memory)/(1<<20), floodMemoryMB, descriptors, floodDescriptors-floodFileReserve)
	assert.Check(f.t, served, "an ordinary request is not served beside the flood")
	assert.Check(f.t, memory > 0, "the gate has ended")
	assert.Check(f.t, memory < floodMemoryMB<<20, "the gate has used %d MB of its %d MB", memory>>20, floodMemoryMB)
	assert.Check(f.t, descriptors < floodDescriptors-floodFileReserve, "the gate has had %d descriptors open of its %d", descriptors, floodDescriptors-floodFileReserve)
}

// Guards against a planned stop that does not end because clients hold requests open.
func TestFloodBesideStop(t *testing.T) {
	f := startFlood(t, buildGate(t))
	f.run(floodBodies, func(f *flood, c net.Conn, j *workload.Job, complete bool) { f.sendBody(c, j, complete, floodBodyBytes) })
	f.gate.signal(syscall.SIGTERM)
	f.gate.waitExit()
	assert.Equal(t, len(f.breaches), 0, "%v", f.breaches)
}
