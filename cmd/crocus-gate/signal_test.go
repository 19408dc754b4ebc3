package main

import (
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A signal to reload the settings does not end a starting process that still waits for
// the store.
func TestReloadWhileStarting(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "crocus-gate")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	assert.NilError(t, err, string(out))
	store, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never answers
	assert.NilError(t, err)
	defer func() { assert.NilError(t, store.Close()) }()
	address := func(port uint16) string { return gateAddress(99, port).String() }
	text, err := json.Marshal(map[string]any{
		"Instance": "gate", "Domain": "d", "Callers": address(portCallers), "Ready": address(portReady), "Peers": address(portPeers),
		"Metrics": address(portMetrics), "Store": store.Addr().String(), "Processor": 0.4, "MemoryMB": 284,
		"LinkMbps": 1000, "Lease": "1s", "Grace": "6s", "FarFactor": 1.5, "Retention": "120s", "Log": "info",
	})
	assert.NilError(t, err)
	path := filepath.Join(dir, "gate.json")
	assert.NilError(t, os.WriteFile(path, text, 0o600))
	cmd := exec.Command(binary, "--settings", path)
	assert.NilError(t, cmd.Start())
	conn, err := store.Accept() // the process has begun to read its member row
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }() // the process is killed
	assert.NilError(t, cmd.Process.Signal(syscall.SIGHUP))
	ended := make(chan error, 1)
	defer time.AfterFunc(200*time.Millisecond, func() { _ = cmd.Process.Kill() }).Stop() // ends the wait
	ended <- cmd.Wait()
	status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus)
	assert.Assert(t, ok && status.Signal() == syscall.SIGKILL, "the process ended by itself: %v", <-ended)
}
