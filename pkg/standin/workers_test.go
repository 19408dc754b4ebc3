package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
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
