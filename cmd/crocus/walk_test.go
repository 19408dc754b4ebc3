package main

import (
	"os"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const readme = "../../README.md"

var varying = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ`)

// TestReadmeWalk runs the commands in the README's first console block and compares
// their output with the block. With -update it rewrites the README.
func TestReadmeWalk(t *testing.T) {
	text, err := os.ReadFile(readme)
	assert.NilError(t, err)
	before, rest, found := strings.Cut(string(text), "```console\n")
	assert.Assert(t, found)
	walk, after, found := strings.Cut(rest, "```\n")
	assert.Assert(t, found)
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir+"/", "crocusseam/cmd/...").CombinedOutput()
	assert.NilError(t, err, string(out))
	var shown strings.Builder
	for _, line := range strings.Split(walk, "\n") {
		if !strings.HasPrefix(line, "$ ") {
			continue
		}
		shown.WriteString(line + "\n")
		shown.WriteString(runLine(t, dir, strings.TrimPrefix(line, "$ ")))
	}
	golden.Assert(t, before+"```console\n"+shown.String()+"```\n"+after, "../"+readme)
}

// settleTime is how long the test waits for a program in the background to start.
const settleTime = 1500 * time.Millisecond

func runLine(t *testing.T, dir, line string) string {
	t.Helper()
	command, background := strings.CutSuffix(line, " &")
	cmd := exec.Command("bash", "-c", command)
	if background {
		cmd = exec.Command("bash", "-c", "exec "+command)
	}
	cmd.Dir = dir
	cmd.Env = append(os.Environ(), "PATH="+dir+":"+os.Getenv("PATH"))
	if !background {
		out, _ := cmd.CombinedOutput()
		return varying.ReplaceAllString(string(out), "<time>")
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_, _ = cmd.Process.Wait()
	})
	time.Sleep(settleTime)
	return ""
}
