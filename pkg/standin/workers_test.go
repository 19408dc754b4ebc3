package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
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
	testLease = time.Second
	testJob   = workload.JobID("5c0e7a21d94b36f8")
	longRun   = time.Hour
)

// testWorkers serves one worker, which knows a job of many tasks that run for long.
func testWorkers(t *testing.T) *Workers {
	t.Helper()
	w, err := NewWorkers(WorkersConfig{Service: "booking", Lease: testLease, Domains: []model.Domain{{
		Name: "east", Endpoints: []model.EndpointConfig{{Capacity: workload.Resources{MilliCPU: 64000, MemoryMB: 1024}, Speed: 1}},
	}}})
	assert.NilError(t, err)
	w.Expect(&model.Outcome{Job: &workload.Job{ID: testJob, Ephemeral: true, Steps: []workload.Step{{Count: 100, Estimate: longRun, Need: workload.Resources{MilliCPU: 10}}}}})
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return w.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		assert.Check(t, group.Wait())
	})
	return w
}

// name returns the name of the worker.
func (w *Workers) name() (name string) {
	w.With(func(m *model.World) { name = m.Endpoints[0].Info.ID.Name })
	return name
}

// post makes a call to the worker for an incarnation.
func post(t *testing.T, w *Workers, client *http.Client, path, name, body string) (status int, answer []byte, contentType string) {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+w.Addresses()[0].String()+path, bytes.NewBufferString(body))
	assert.NilError(t, err)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Crocusseam-Target-Instance", name)
	response, err := client.Do(request)
	assert.NilError(t, err)
	defer func() { assert.Check(t, response.Body.Close()) }()
	answer, err = io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, answer, response.Header.Get("Content-Type")
}

func startBody(index, run, token, until int) string {
	return fmt.Sprintf(`{"task":"%s.0.0.%d","run":%d,"spec":"x","untilMs":%d,"fencingToken":%d}`, testJob, index, run, until, token)
}

func stopBody(index, run, token int) string {
	return fmt.Sprintf(`{"task":"%s.0.0.%d","run":%d,"fencingToken":%d}`, testJob, index, run, token)
}

// Guards against faults that only a generous stand-in hides: an answer to an order that names the
// life which gives it lets a start at a next life pass for none. Each answer has the fields that
// the users' page names for its call and outcome, and no others.
func TestWorkersAnswerWithTheFieldsOfTheirCall(t *testing.T) {
	clock := []string{"clockMs"}
	refusal := []string{"clockMs", "reason"}
	lists := []string{"born", "clockMs", "ended", "running"}
	const far = 1 << 30
	for _, c := range []struct {
		name, path, body string
		instance         string // the worker itself, if empty
		status           int
		fields           []string // none: no body
		reason           string
	}{
		{"StartAccepted", platform.PathStart, startBody(1, 1, 7, far), "", 200, clock, ""},
		{"StartThere", platform.PathStart, startBody(0, 2, 7, far), "", 200, clock, ""},
		{"StartFenced", platform.PathStart, startBody(1, 1, 6, far), "", 409, refusal, "fence"},
		{"StartOld", platform.PathStart, startBody(9, 3, 7, far), "", 409, refusal, "old"},
		{"StartOlder", platform.PathStart, startBody(9, 2, 7, far), "", 409, refusal, "old"},
		{"StartLate", platform.PathStart, startBody(1, 1, 7, 0), "", 409, refusal, "late"},
		{"StartForAnother", platform.PathStart, startBody(1, 1, 7, far), "another", 421, nil, ""},
		{"StartUnreadable", platform.PathStart, `{"task":`, "", 400, nil, ""},
		{"StartWithoutTask", platform.PathStart, `{"run":1,"fencingToken":7}`, "", 400, nil, ""},
		{"StopAccepted", platform.PathStop, stopBody(0, 2, 7), "", 200, clock, ""},
		{"StopOfNothing", platform.PathStop, stopBody(1, 1, 7), "", 200, clock, ""},
		{"StopFenced", platform.PathStop, stopBody(0, 2, 6), "", 409, refusal, "fence"},
		{"StopForAnother", platform.PathStop, stopBody(0, 2, 7), "another", 421, nil, ""},
		{"StopUnreadable", platform.PathStop, `[]`, "", 400, nil, ""},
		{"Hold", platform.PathReport, `{"fencingToken":7,"seenUpto":0}`, "", 200, lists, ""},
		{"HoldRenews", platform.PathReport, `{"fencingToken":7,"seenUpto":0,"untilMs":5000,"waitMs":0}`, "", 200, lists, ""},
		{"HoldFenced", platform.PathReport, `{"fencingToken":6,"seenUpto":0}`, "", 409, refusal, "fence"},
		{"HoldForAnother", platform.PathReport, `{"fencingToken":7,"seenUpto":0}`, "another", 421, nil, ""},
		{"HoldWaitsTooLong", platform.PathReport, `{"fencingToken":7,"seenUpto":0,"waitMs":2001}`, "", 400, nil, ""},
		{"HoldWaitsAFraction", platform.PathReport, `{"fencingToken":7,"seenUpto":0,"waitMs":0.5}`, "", 400, nil, ""},
		{"HoldUnreadable", platform.PathReport, `{"seenUpto":"x"}`, "", 400, nil, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := testWorkers(t)
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			name := w.name()
			// Run 2 of task 0 is there, run 3 of task 9 was stopped before it came.
			for path, body := range map[string]string{platform.PathStart: startBody(0, 2, 7, far), platform.PathStop: stopBody(9, 3, 7)} {
				status, _, _ := post(t, w, client, path, name, body)
				assert.Equal(t, status, http.StatusOK)
			}
			if c.instance != "" {
				name = c.instance
			}
			status, answer, contentType := post(t, w, client, c.path, name, c.body)
			assert.Equal(t, status, c.status, "%s", answer)
			if c.fields == nil {
				assert.Equal(t, string(answer), "")
				return
			}
			assert.Equal(t, contentType, "application/json")
			var fields map[string]json.RawMessage
			assert.NilError(t, json.Unmarshal(answer, &fields))
			assert.DeepEqual(t, slices.Sorted(maps.Keys(fields)), c.fields)
			var reason string
			if c.reason != "" {
				assert.NilError(t, json.Unmarshal(fields["reason"], &reason))
			}
			assert.Equal(t, reason, c.reason)
		})
	}
}

// A worker's entry has the fields of the users' page, each of its type.
func TestDiscoveryEntryOfAWorker(t *testing.T) {
	w := testWorkers(t)
	for _, state := range []string{"ready", "draining"} {
		w.With(func(m *model.World) { m.Endpoints[0].Info.Draining = state == "draining" })
		rows := w.Entries()
		assert.Equal(t, len(rows), 1)
		assert.Equal(t, rows[0].Key, "servers/"+w.name())
		var entry map[string]any
		assert.NilError(t, json.Unmarshal(rows[0].Value, &entry))
		assert.Assert(t, entry["born"].(float64) > 0)
		remaining, draining := entry["remainingMs"]
		assert.Equal(t, draining, state == "draining")
		assert.Assert(t, !draining || remaining == 0.0)
		delete(entry, "remainingMs")
		assert.DeepEqual(t, entry, map[string]any{
			"service": "booking", "address": w.Addresses()[0].String(), "zone": "east", "version": "1", "slots": 1.0, "state": state, "coldLeftMs": 0.0, "seq": 1.0,
			"capacity": map[string]any{"cpu": 64000.0, "memMb": 1024.0, "gpu": 0.0}, "labels": []any{}, "born": entry["born"],
		})
	}
}

// The rows of a report have the columns of the users' page.
func TestRowsOfAReport(t *testing.T) {
	w := testWorkers(t)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	name := w.name()
	for i := range 2 {
		status, _, _ := post(t, w, client, platform.PathStart, name, startBody(i, 2, 7, 1<<30))
		assert.Equal(t, status, http.StatusOK)
	}
	status, _, _ := post(t, w, client, platform.PathStop, name, stopBody(1, 2, 7))
	assert.Equal(t, status, http.StatusOK)
	_, answer, _ := post(t, w, client, platform.PathReport, name, `{"fencingToken":7,"seenUpto":0,"waitMs":900}`)
	var report struct {
		Running, Ended [][]any
		Born           int64
	}
	assert.NilError(t, json.Unmarshal(answer, &report))
	assert.DeepEqual(t, report.Running, [][]any{{string(testJob) + ".0.0.0", 2.0, "", 0.0}})
	assert.DeepEqual(t, report.Ended, [][]any{{1.0, string(testJob) + ".0.0.1", 2.0, "stopped", ""}})
	assert.Assert(t, report.Born > 0)
}

// call writes a call to the worker over a connection.
func call(t *testing.T, c net.Conn, path, name, body string) {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+c.RemoteAddr().String()+path, bytes.NewBufferString(body))
	assert.NilError(t, err)
	request.Header.Set("X-Crocusseam-Target-Instance", name)
	_ = request.Write(c) // a reset may have come
}

// readStatus returns the status of the next answer over a connection, or 0 if it ends without one.
func readStatus(t *testing.T, c net.Conn) int {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the connection stays open")
		return 0
	}
	defer func() { assert.Check(t, response.Body.Close()) }()
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	return response.StatusCode
}

func dialWorker(t *testing.T, w *Workers) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", w.Addresses()[0].String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against answers of a next life to calls of a former one: the connections of a worker end
// with its life, answered or not, and one that is down accepts none.
func TestConnectionsOfAWorkerEndWithItsLife(t *testing.T) {
	w := testWorkers(t)
	name := w.name()
	change := func(do func(*model.Endpoint)) {
		w.With(func(m *model.World) { do(m.Endpoints[0]) })
	}
	idle, waiting := dialWorker(t, w), dialWorker(t, w)
	call(t, idle, platform.PathStart, name, startBody(0, 1, 7, 1<<30))
	assert.Equal(t, readStatus(t, idle), http.StatusOK)
	call(t, waiting, platform.PathReport, name, `{"fencingToken":8,"seenUpto":0,"waitMs":1500}`)
	for status := http.StatusOK; status != http.StatusConflict; { // until it waits
		call(t, idle, platform.PathStop, name, stopBody(5, 1, 7))
		status = readStatus(t, idle)
	}

	change((*model.Endpoint).Crash)
	assert.Equal(t, readStatus(t, waiting), 0)
	// The reset may come before the dial returns.
	if down, err := net.Dial("tcp", w.Addresses()[0].String()); err == nil {
		call(t, down, platform.PathStart, name, startBody(1, 1, 7, 1<<30))
		assert.Equal(t, readStatus(t, down), 0)
		assert.NilError(t, down.Close())
	} else {
		assert.ErrorIs(t, err, syscall.ECONNRESET)
	}

	change((*model.Endpoint).Restart)
	call(t, idle, platform.PathStart, name, startBody(2, 1, 7, 1<<30))
	assert.Equal(t, readStatus(t, idle), 0)
	next := dialWorker(t, w)
	call(t, next, platform.PathStart, name, startBody(3, 1, 1, 1<<30)) // the new life knows no token
	assert.Equal(t, readStatus(t, next), http.StatusOK)
	change(func(x *model.Endpoint) {
		report := x.Report()
		assert.Equal(t, len(report.Running), 1)
		assert.Equal(t, report.Running[0].Run.Task.Index, 3)
	})

	// A restart without a moment between the lives.
	change(func(x *model.Endpoint) {
		x.Crash()
		x.Restart()
	})
	call(t, next, platform.PathStart, name, startBody(4, 1, 1, 1<<30))
	assert.Equal(t, readStatus(t, next), 0)
	change(func(x *model.Endpoint) { assert.Equal(t, len(x.Report().Running), 0) })
}
