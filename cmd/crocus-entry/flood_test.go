package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
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
	floodConnections = 80
	floodBodyBytes   = 4 << 20
	// maxFloodMB bounds the process's memory: 16 MB for bodies, garbage, and some 25 MB idle. The
	// flood has 320 MB.
	maxFloodMB = 160
	// maxFloodDescriptors bounds its descriptors: 100 connections of callers and what it has itself.
	maxFloodDescriptors = 160
)

// startFloodPlatform starts a stand-in of the platform. It returns a function that starts an instance with the limits of
// the flood tests, and the platform's address.
func startFloodPlatform(t *testing.T) (start func(a *addresses, instance string) *exec.Cmd, platformAddress netip.AddrPort) {
	dir := buildPrograms(t)
	file := filepath.Join(dir, "document.json")
	var platform addresses
	startProcess(t, &platform, dir+"/crocus-standin", "--domain", "east", "--endpoints", "6", "--team", "capstone", "--document", file)
	out, err := exec.Command(dir+"/crocus", "apply", file, "--platform", platform.Platform.String(), "--by", "test").CombinedOutput()
	assert.NilError(t, err, string(out))
	return func(a *addresses, instance string) *exec.Cmd {
		cmd := startProcess(t, a, dir+"/crocus-entry", "--instance", instance, "--domain", "east", "--platform", platform.Platform.String(),
			"--max-body-bytes", fmt.Sprint(floodBodyBytes), "--max-read-bytes", fmt.Sprint(16<<20), "--max-connections", "100")
		awaitReady(t, a.Callers)
		return cmd
	}, platform.Platform
}

// flood opens connections, sends each request, and keeps the connections open until the test
// ends. The instance may close any of them.
func flood(t *testing.T, address netip.AddrPort, requests []string) {
	t.Helper()
	var group errgroup.Group
	for _, request := range requests {
		c, err := net.DialTimeout("tcp", address.String(), 5*time.Second)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		group.Go(func() error {
			_ = c.SetWriteDeadline(time.Now().Add(3 * time.Second))
			_, _ = c.Write([]byte(request)) // fails where the instance refuses the request
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	time.Sleep(time.Second) // the instance reads what has arrived
}

// Guards against an instance that clients end by requests which stop short of their end: it kept
// every body whole in memory, and every connection. Checked are survival, the peak of memory, descriptors
// and an answer to an ordinary request, which depend on no speed.
func TestFloodsOfUntrustedClients(t *testing.T) {
	start, _ := startFloodPlatform(t)
	head := "POST " + api.PathSubmissions + " HTTP/1.1\r\nHost: x\r\n"
	filler := strings.Repeat("x", floodBodyBytes-1)
	pieces := strings.Repeat("10\r\n"+strings.Repeat("x", 16)+"\r\n", floodBodyBytes/22)
	floods := map[string]string{
		"whole bodies":    head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", floodBodyBytes, filler),
		"chunked":         head + "Transfer-Encoding: chunked\r\n\r\n" + pieces,
		"endless headers": head + "X: " + strings.Repeat("x", 1000),
	}
	names := []string{"whole bodies", "chunked", "endless headers", "idle connections"}
	for i, name := range names {
		t.Run(name, func(t *testing.T) {
			var a addresses
			cmd := start(&a, fmt.Sprint("east-", i))
			requests := make([]string, floodConnections)
			for k := range requests {
				requests[k] = floods[name]
			}
			if name == "idle connections" { // kept after an answered request
				requests = make([]string, 200)
				for k := range requests {
					requests[k] = "GET " + api.PathHealth + " HTTP/1.1\r\nHost: x\r\n\r\n"
				}
			}
			flood(t, a.Callers, requests)
			peak, descriptors := peakMB(t, cmd.Process.Pid), openDescriptors(t, cmd.Process.Pid)
			t.Logf("%d MB at most, %d descriptors", peak, descriptors)
			assert.Check(t, peak < maxFloodMB, "%d MB", peak)
			assert.Check(t, descriptors < maxFloodDescriptors, "%d descriptors", descriptors)
			job := processJob(0)
			job.ID = fmt.Sprint("ordinary", i)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			answer, err := client.New(client.Config{Instances: []netip.AddrPort{a.Callers}}).Submit(ctx, job, 0)
			assert.NilError(t, err)
			assert.Equal(t, answer.Status, submission.Complete)
			_ = cmd.Process.Kill()
			_, _ = cmd.Process.Wait()
		})
	}
}

var peakMemory = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// peakMB returns the most memory that a process has had in MB.
func peakMB(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	assert.NilError(t, err, "the process has ended")
	found := peakMemory.FindSubmatch(status)
	assert.Assert(t, found != nil, "the process has ended")
	kb, err := strconv.Atoi(string(found[1]))
	assert.NilError(t, err)
	return kb >> 10
}

func openDescriptors(t *testing.T, pid int) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	assert.NilError(t, err)
	return len(entries)
}
