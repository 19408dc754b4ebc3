package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"crocusseam/pkg/client"
	"crocusseam/pkg/standin"
	"crocusseam/pkg/submission"
	"crocusseam/service/api"
)

// withBinaries builds the programs.
func buildPrograms(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir+"/", "crocusseam/cmd/...").CombinedOutput()
	assert.NilError(t, err, string(out))
	return dir
}

// withProcess starts a program and returns it with its first line of output.
func startProcess(t *testing.T, first any, path string, args ...string) *exec.Cmd {
	t.Helper()
	cmd := exec.Command(path, args...)
	cmd.Stderr = os.Stderr
	stdout, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_, _ = cmd.Process.Wait()
	})
	line, err := bufio.NewReader(stdout).ReadBytes('\n')
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(line, first), string(line))
	return cmd
}

type addresses struct {
	Instance string
	Callers  netip.AddrPort
	Platform netip.AddrPort
}

func awaitReady(t *testing.T, address netip.AddrPort) {
	t.Helper()
	for range 400 {
		response, err := http.Get("http://" + address.String() + api.PathReady)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("instance %s is not ready", address)
}

func processJob(i int) *submission.Submission {
	s := &submission.Submission{
		Key:      submission.Key{Team: "capstone", ID: fmt.Sprint("job", i)},
		Deadline: time.Now().Add(20 * time.Second).UTC().Round(0),
	}
	for k := range 1 + i%8 {
		s.Tasks = append(s.Tasks, submission.Task{
			Name: fmt.Sprint("t", k), Kind: "seat-hold", Payload: []byte(`{"Work":"60ms"}`), DeclaredRunTime: 60 * time.Millisecond,
		})
	}
	return s
}

// TestProcessesUnderSignals runs the built programs, kills one instance, stops
// another in plan, and judges by the endpoints' ledger.
func TestProcessesUnderSignals(t *testing.T) {
	dir := buildPrograms(t)
	file := filepath.Join(dir, "document.json")
	var platform addresses
	startProcess(t, &platform, dir+"/crocus-standin", "--domain", "east", "--domain", "west", "--endpoints", "6", "--team", "capstone", "--document", file)
	out, err := exec.Command(dir+"/crocus", "apply", file, "--platform", platform.Platform.String(), "--by", "test").CombinedOutput()
	assert.NilError(t, err, string(out))
	var instances []netip.AddrPort
	var processes []*exec.Cmd
	for i, domain := range []string{"east", "east", "west", "west"} {
		var a addresses
		cmd := startProcess(t, &a, dir+"/crocus-entry", "--instance", fmt.Sprintf("%s-%d", domain, i), "--domain", domain, "--platform", platform.Platform.String())
		instances = append(instances, a.Callers)
		processes = append(processes, cmd)
	}
	for _, a := range instances {
		awaitReady(t, a)
	}

	var mu sync.Mutex
	stopping, cutOff := false, 0
	c := client.New(client.Config{Instances: instances, Observe: func(x client.Exchange) {
		mu.Lock()
		defer mu.Unlock()
		if stopping && x.Instance == instances[2] && x.Err != nil && x.Written {
			cutOff++
		}
	}})
	const jobs = 300
	answers := make([]*submission.Answer, jobs)
	submitted := make([]*submission.Submission, jobs)
	var group errgroup.Group
	for i := range jobs {
		switch i {
		case 100:
			assert.NilError(t, processes[1].Process.Signal(syscall.SIGKILL))
		case 180:
			mu.Lock()
			stopping = true
			mu.Unlock()
			assert.NilError(t, processes[2].Process.Signal(syscall.SIGTERM))
		}
		submitted[i] = processJob(i)
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
			defer cancel()
			var err error
			answers[i], err = c.Submit(ctx, submitted[i], i)
			return err
		})
		time.Sleep(12 * time.Millisecond)
	}
	assert.NilError(t, group.Wait())
	state, err := processes[2].Process.Wait()
	assert.NilError(t, err)
	assert.Equal(t, state.ExitCode(), 0)
	assert.Equal(t, cutOff, 0)
	checkLedger(t, platform.Platform, submitted, answers)
}

// judgeLedger checks the answers against what the endpoints say they started.
func checkLedger(t *testing.T, platform netip.AddrPort, submitted []*submission.Submission, answers []*submission.Answer) {
	t.Helper()
	response, err := http.Get("http://" + platform.String() + standin.PathLedger)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	var ledger []standin.Start
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&ledger))
	starts := make(map[string]int)
	for _, s := range ledger {
		starts[s.ID+"/"+s.Task]++
	}
	for key, n := range starts {
		assert.Equal(t, n, 1, "%s was started %d times", key, n)
	}
	complete := 0
	for i, a := range answers {
		assert.Assert(t, a != nil)
		if a.Status != submission.Complete {
			assert.Equal(t, len(a.Results), 0)
			continue
		}
		complete++
		assert.Equal(t, len(a.Results), len(submitted[i].Tasks))
		for k, r := range a.Results {
			assert.Equal(t, string(r.Output), submitted[i].ID+"/"+submitted[i].Tasks[k].Name)
		}
	}
	t.Logf("%d of %d jobs complete", complete, len(answers))
	assert.Assert(t, complete > len(answers)/2)
}
