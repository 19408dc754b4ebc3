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
	"path/filepath"
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
	// floodPatience is how long a client of the flood waits for an answer. Without one its submission was accepted.
	floodPatience    = 3 * time.Second
	floodResendPause = 200 * time.Millisecond
)

// Guards against an instance that clients end by submissions which are complete and within all limits:
// nothing bounded the memory of what it had accepted.
func TestFloodOfCompleteSubmissions(t *testing.T) {
	dir := buildPrograms(t)
	file := filepath.Join(dir, "document.json")
	var platform, a addresses
	startProcess(t, &platform, dir+"/crocus-standin", "--domain", "east", "--endpoints", "6", "--team", "capstone", "--document", file)
	out, err := exec.Command(dir+"/crocus", "apply", file, "--platform", platform.Platform.String(), "--by", "test").CombinedOutput()
	assert.NilError(t, err, string(out))
	cmd := startProcess(t, &a, dir+"/crocus-entry", "--instance", "east-0", "--domain", "east", "--platform", platform.Platform.String(),
		"--max-body-bytes", fmt.Sprint(floodBodyBytes), "--max-read-bytes", fmt.Sprint(16<<20), "--max-connections", "100")
	awaitReady(t, a.Callers)
	requests := make([]string, floodConnections)
	for k := range requests {
		requests[k] = completeSubmission(t, k)
	}
	submitAll(t, a.Callers, requests)
	served := false
	for k := 0; k < floodAttempts && !served; k++ {
		job := processJob(0)
		job.ID = fmt.Sprint("ordinary", k)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		answer, err := client.New(client.Config{Instances: []netip.AddrPort{a.Callers}}).Submit(ctx, job, 0)
		cancel()
		served = err == nil && answer.Status == submission.Complete
	}
	peak, descriptors := peakMB(t, cmd.Process.Pid), openDescriptors(t, cmd.Process.Pid)
	t.Logf("%d MB at most, %d descriptors", peak, descriptors)
	assert.Check(t, served, "an ordinary request is not served after the flood")
	assert.Check(t, peak < maxFloodMB, "%d MB", peak)
	assert.Check(t, descriptors < maxFloodDescriptors, "%d descriptors", descriptors)
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
func completeSubmission(t *testing.T, number int) string {
	s := &submission.Submission{Key: submission.Key{Team: "capstone", ID: fmt.Sprint("large", number)}, Deadline: time.Now().Add(10 * time.Minute).UTC().Round(0)}
	payload := []byte(`{"Work":"20ms"}` + strings.Repeat(" ", floodTaskBytes))
	for k := range submission.DefaultLimits().MaxTasks {
		s.Tasks = append(s.Tasks, submission.Task{Name: fmt.Sprint("t", k), Kind: "seat-hold", Payload: payload, DeclaredRunTime: 20 * time.Millisecond})
	}
	body, err := json.Marshal(api.EncodeSubmission(s))
	assert.NilError(t, err)
	assert.Assert(t, len(body) < floodBodyBytes)
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", api.PathSubmissions, len(body), body)
}
