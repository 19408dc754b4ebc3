package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"crocusseam/pkg/client"
	"crocusseam/pkg/submission"
	"crocusseam/service/api"
)

const (
	floodTaskBytes = 2700 // of a payload; with 1000 tasks the body of a submission has 3.7 MB
	floodAttempts  = 30   // of the ordinary request
	floodResends   = 40
	floodRefusals  = 150 // of each client
	// floodPayloadBytes is the payload of a refused submission; all together have 480 MB.
	floodPayloadBytes = 40_000
	// floodPatience is how long a client of the flood waits for an answer. Without one its submission was accepted.
	floodPatience    = 3 * time.Second
	floodResendPause = 200 * time.Millisecond
)

// Guards against an instance that clients end by submissions which are complete and within all limits:
// nothing bounded the memory of what it had accepted.
func TestFloodOfCompleteSubmissions(t *testing.T) {
	start, _ := startFloodPlatform(t)
	var a addresses
	cmd := start(&a, "east-0")
	requests := make([]string, floodConnections)
	for k := range requests {
		requests[k] = completeSubmission(t, fmt.Sprint("large", k))
	}
	submitAll(t, a.Callers, requests)
	checkFlooded(t, cmd, a.Callers)
}

// Guards against an instance that clients end by submissions which are all refused, as another body has their id.
// Each was kept until its deadline while a job with an earlier one was open.
func TestFloodOfRefusedSubmissions(t *testing.T) {
	start, _ := startFloodPlatform(t)
	var first, second addresses
	start(&first, "east-0")
	cmd := start(&second, "east-1")
	for k := range floodConnections {
		assert.Assert(t, submitOrdinary(first.Callers, fmt.Sprint("taken", k)))
	}
	var group errgroup.Group
	group.Go(func() error {
		sendRequest(second.Callers, submissionRequest(t, "long", 1, `{"Work":"1m"}`, 5*time.Minute)) // its deadline is before the others'
		return nil
	})
	for k := range floodConnections {
		group.Go(func() error {
			request := submissionRequest(t, fmt.Sprint("taken", k), 1, strings.Repeat(" ", floodPayloadBytes), 10*time.Minute)
			for range floodRefusals {
				sendRequest(second.Callers, request)
			}
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	checkFlooded(t, cmd, second.Callers)
}

// checkFlooded checks that an instance answers an ordinary request after a flood, and has kept its bounds.
func checkFlooded(t *testing.T, cmd *exec.Cmd, address netip.AddrPort) {
	t.Helper()
	served := false
	for k := 0; k < floodAttempts && !served; k++ {
		served = submitOrdinary(address, fmt.Sprint("ordinary", k))
	}
	peak, descriptors := peakMB(t, cmd.Process.Pid), openDescriptors(t, cmd.Process.Pid)
	t.Logf("%d MB at most, %d descriptors", peak, descriptors)
	assert.Check(t, served, "an ordinary request is not served after the flood")
	assert.Check(t, peak < maxFloodMB, "%d MB", peak)
	assert.Check(t, descriptors < maxFloodDescriptors, "%d descriptors", descriptors)
}

// submitOrdinary reports whether an ordinary submission under this id is completed.
func submitOrdinary(address netip.AddrPort, id string) bool {
	job := processJob(0)
	job.ID = id
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	answer, err := client.New(client.Config{Instances: []netip.AddrPort{address}}).Submit(ctx, job, 0)
	return err == nil && answer.Status == submission.Complete
}

// sendRequest sends a request and waits for the begin of its answer, if there is one.
func sendRequest(address netip.AddrPort, request string) {
	c, err := net.DialTimeout("tcp", address.String(), 5*time.Second)
	if err != nil {
		return // the instance may have ended, which is checked later
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(floodPatience))
	_, _ = c.Write([]byte(request)) // fails where the instance refuses the request
	_, _ = c.Read(make([]byte, 64))
}

// submitAll sends each request again until it is not refused, and keeps its connection open until the test ends.
func submitAll(t *testing.T, address netip.AddrPort, requests []string) {
	var group errgroup.Group
	for _, request := range requests {
		group.Go(func() error {
			for range floodResends {
				c, err := net.DialTimeout("tcp", address.String(), 5*time.Second)
				if err != nil {
					return nil // the instance may have ended, which is checked later
				}
				t.Cleanup(func() { _ = c.Close() })
				_ = c.SetDeadline(time.Now().Add(floodPatience))
				_, _ = c.Write([]byte(request)) // fails where the instance refuses the request
				answer := make([]byte, 64)
				if n, err := c.Read(answer); errors.Is(err, os.ErrDeadlineExceeded) || strings.HasPrefix(string(answer[:n]), "HTTP/1.1 200") {
					return nil
				}
				_ = c.Close()
				time.Sleep(floodResendPause)
			}
			return nil
		})
	}
	assert.NilError(t, group.Wait())
}

// completeSubmission returns the request of a submission with the most tasks.
func completeSubmission(t *testing.T, id string) string {
	return submissionRequest(t, id, submission.DefaultLimits().MaxTasks, `{"Work":"20ms"}`+strings.Repeat(" ", floodTaskBytes), 10*time.Minute)
}

func submissionRequest(t *testing.T, id string, tasks int, payload string, deadline time.Duration) string {
	s := &submission.Submission{Key: submission.Key{Team: "capstone", ID: id}, Deadline: time.Now().Add(deadline).UTC().Round(0)}
	for k := range tasks {
		s.Tasks = append(s.Tasks, submission.Task{Name: fmt.Sprint("t", k), Kind: "seat-hold", Payload: []byte(payload), DeclaredRunTime: 20 * time.Millisecond})
	}
	body, err := json.Marshal(api.EncodeSubmission(s))
	assert.NilError(t, err)
	assert.Assert(t, len(body) < floodBodyBytes)
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", api.PathSubmissions, len(body), body)
}
