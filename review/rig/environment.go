package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	host       = "parts.example"
	service    = "parts"
	readyAfter = 20 * time.Second // until all gates must be ready
)

// route is a queue of the configuration.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"prefix"`
	TimeoutMs   int     `json:"timeoutMs"`
	SloMs       int     `json:"sloMs"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"maxAttempts"`
	Stretch     float64 `json:"stretch"`
}

// plan describes an environment.
type plan struct {
	gates       []gatePlan
	workers     int // in each zone
	cores       int
	maxAttempts int
	seed        uint64
}

type gatePlan struct {
	zone     string
	cpuShare float64
}

// gate is a process of the system.
type gate struct {
	name, ip, settings string
	command            *exec.Cmd
	done               chan struct{}
}

func (g *gate) front() string { return g.ip + ":8161" }

// environment is a store, workers and gates.
type environment struct {
	plan    plan
	ledger  *ledger
	store   *store
	workers []*worker
	gates   []*gate
	folder  string
	program []string
	network string // the first three numbers of all addresses
	servers []*http.Server
	stop    context.CancelFunc
	wait    sync.WaitGroup
}

// errCannotRun says that a case couldn't run, whatever the system did.
var errCannotRun = errors.New("the case could not run")

func cannot(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errCannotRun, fmt.Sprintf(format, args...))
}

func newEnvironment(p plan) (*environment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, cannot("%v", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	e := &environment{
		plan: p, ledger: newLedger(), store: newStore(p.seed), folder: folder, stop: stop,
		network: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250)),
	}
	if e.program, err = deployedCommand(); err != nil {
		return e, err
	}
	storeAddress, err := e.serve(e.network+".200:0", e.store.handler())
	if err != nil {
		return e, err
	}
	e.configure()
	zones := make(map[string]bool)
	for _, g := range p.gates {
		if zones[g.zone] {
			continue
		}
		zones[g.zone] = true
		for range p.workers {
			w := newWorker(e.ledger, fmt.Sprintf("w-%s-%d", g.zone, len(e.workers)), g.zone, "r-"+g.zone, service, p.cores)
			if w.address, err = e.serve(fmt.Sprintf("%s.%d:0", e.network, 100+len(e.workers)), w.handler()); err != nil {
				return e, err
			}
			e.workers = append(e.workers, w)
			e.wait.Go(func() { e.heartbeats(ctx, w) })
		}
	}
	for i, g := range p.gates {
		if err := e.addGate(i, g, storeAddress); err != nil {
			return e, err
		}
	}
	return e, e.awaitReady()
}

// deployedCommand returns the command of the deploy file's only role.
func deployedCommand() ([]string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, cannot("%v", err)
	}
	found := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(text)
	if found == nil {
		return nil, cannot("deploy/system.toml names no command")
	}
	words := strings.Fields(string(found[1]))
	if _, err := os.Stat(words[0]); err != nil {
		return nil, cannot("%v", err)
	}
	return words, nil
}

func (e *environment) serve(address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", cannot("%v", err)
	}
	server := &http.Server{Handler: handler}
	e.servers = append(e.servers, server)
	e.wait.Go(func() { _ = server.Serve(listener) })
	return listener.Addr().String(), nil
}

// configure writes the operator's first configuration.
func (e *environment) configure() {
	r := route{
		Name: "orders", Host: host, Prefix: "/orders/", TimeoutMs: 1500, SloMs: 60, Priority: 1, Service: service,
		MaxAttempts: e.plan.maxAttempts, Stretch: 1.6,
	}
	text, err := json.Marshal(map[string]any{
		"version": 3, "routes": []route{r}, "limits": map[string]any{"maxBodyBytes": 262144},
		"services": []map[string]any{{"name": service, "enforcesCapacity": false, "healthPath": "/health"}},
	})
	if err != nil {
		panic(err)
	}
	e.store.put(rowName{Table: "op", Key: "config"}, text)
}

// heartbeats writes a worker's entry, as long as the store takes it.
func (e *environment) heartbeats(ctx context.Context, w *worker) {
	for seq := 1; ctx.Err() == nil; seq++ {
		down := false
		e.store.disrupt(func(s *store) { down = s.down })
		if !down {
			e.store.put(rowName{Table: "servers", Key: w.id}, w.entry(seq))
		}
		select {
		case <-time.After(heartbeat):
		case <-ctx.Done():
		}
	}
}

// addGate writes the settings of a gate, from the template of the deploy file, and starts
// the gate.
func (e *environment) addGate(number int, p gatePlan, storeAddress string) error {
	g := &gate{name: fmt.Sprintf("gate-%d", number), ip: fmt.Sprintf("%s.%d", e.network, 10+number)}
	g.settings = filepath.Join(e.folder, g.name+".json")
	template, err := os.ReadFile("deploy/gate.json")
	if err != nil {
		return cannot("%v", err)
	}
	text := string(template)
	for name, value := range map[string]string{
		"node|json": strconv.Quote(g.name), "zone|json": strconv.Quote(p.zone), "listen.front|json": strconv.Quote(g.front()),
		"listen.ready|json": strconv.Quote(g.ip + ":8167"), "listen.control|json": strconv.Quote(g.ip + ":8166"), "ip": g.ip,
		"platform.address|json": strconv.Quote(storeAddress), "limits.cpuShare": strconv.FormatFloat(p.cpuShare, 'g', -1, 64), "limits.memoryMb": "284",
		"limits.linkMbps": "1000", "bounds.holdMaxMs": "1000", "bounds.graceS": "6", "bounds.farX": "2", "bounds.status_s": "120",
	} {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		return cannot("the template of the settings has a field that this stand-in does not know: %s", text)
	}
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		return cannot("%v", err)
	}
	e.gates = append(e.gates, g)
	return e.start(g)
}

// start starts the process of a gate.
func (e *environment) start(g *gate) error {
	log, err := os.OpenFile(filepath.Join(e.folder, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return cannot("%v", err)
	}
	g.command = exec.Command(e.program[0], e.program[1:]...)
	g.command.Env = []string{"CROCUSSEAM_NODE_FILE=" + g.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	g.command.Stdout, g.command.Stderr = log, log
	g.done = make(chan struct{})
	if err := g.command.Start(); err != nil {
		return cannot("%v", err)
	}
	noteStarted(g.command.Process)
	e.ledger.write("process %s starts", g.name)
	command, done := g.command, g.done
	e.wait.Go(func() {
		err := command.Wait()
		e.ledger.write("process %s has ended: %v", g.name, err)
		close(done)
	})
	return nil
}

// started holds all processes that were started, so that none outlives the case.
var started struct {
	sync.Mutex
	processes []*os.Process
}

func noteStarted(p *os.Process) {
	started.Lock()
	defer started.Unlock()
	started.processes = append(started.processes, p)
}

// killStarted kills the processes that have not ended yet; the others have no effect.
func killStarted() {
	started.Lock()
	defer started.Unlock()
	for _, p := range started.processes {
		_ = p.Kill()
	}
}

func (e *environment) signal(g *gate, s syscall.Signal) {
	e.ledger.write("process %s gets signal: %v", g.name, s)
	_ = g.command.Process.Signal(s)
}

// kill kills the process of a gate and waits for its end.
func (e *environment) kill(g *gate) {
	e.signal(g, syscall.SIGKILL)
	<-g.done
}

func (e *environment) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyAfter); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, g := range e.gates {
			if r, err := client.Get("http://" + g.ip + ":8167/v1/readiness"); err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(e.gates) && e.held() == len(e.workers) {
			e.ledger.write("all processes are ready")
			return nil
		}
	}
	return cannot("the processes were not ready in time")
}

// held returns the number of workers that a process has called.
func (e *environment) held() int {
	n := 0
	for _, w := range e.workers {
		w.mu.Lock()
		if w.fence > 0 {
			n++
		}
		w.mu.Unlock()
	}
	return n
}

// close ends all processes that this environment has started.
func (e *environment) close() {
	killStarted()
	e.stop()
	for _, s := range e.servers {
		_ = s.Close()
	}
	e.wait.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(e.folder)
		return
	}
	fmt.Println("logs are kept in", e.folder)
}

// reply is the answer to a client's call; status 0 is none.
type reply struct {
	status int
	body   string
}

func (r reply) state() string {
	var s struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(r.body), &s)
	return s.State
}

// waiting returns the number of waiting jobs that a queue's answer gives.
func (r reply) waiting() (n int, ok bool) {
	var s struct {
		Waiting *int `json:"waiting"`
	}
	if r.status != http.StatusOK || json.Unmarshal([]byte(r.body), &s) != nil || s.Waiting == nil {
		return 0, false
	}
	return *s.Waiting, true
}

// call sends a client's call to a gate.
func (e *environment) call(g *gate, method, id string, body any, timeout time.Duration) reply {
	var text []byte
	if body != nil {
		text, _ = json.Marshal(body)
	}
	request, err := http.NewRequest(method, "http://"+g.front()+"/orders/"+id, bytes.NewReader(text))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Crocusseam-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	e.ledger.write("client sends %s %s to %s %s", method, id, g.name, text)
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		e.ledger.write("client has no answer to %s %s from %s: %v", method, id, g.name, err)
		return reply{}
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		e.ledger.write("client has no whole answer to %s %s from %s: %v", method, id, g.name, err)
		return reply{}
	}
	e.ledger.write("client gets %d for %s %s from %s: %s", response.StatusCode, method, id, g.name, strings.TrimSpace(string(got)))
	return reply{response.StatusCode, string(got)}
}

// submit hands a job in until it is accepted or rejected. After no answer, 502 or 504 the
// same request goes to the next gate.
func (e *environment) submit(first int, id string, body any) bool {
	for try := range 8 {
		switch r := e.call(e.gates[(first+try)%len(e.gates)], http.MethodPost, id, body, 1500*time.Millisecond); {
		case r.status >= 200 && r.status < 300:
			return true
		case r.status == 0 || r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout:
			time.Sleep(300 * time.Millisecond)
		default:
			return false
		}
	}
	return false
}

// job returns a job of one step.
func job(spec string, count, cpu, estimateMs int) map[string]any {
	return map[string]any{"spec": spec, "steps": []map[string]any{{"count": count, "cpu": cpu, "memMb": 64, "estMs": estimateMs}}}
}

// newID returns an id that begins with the digit of a part of the tables.
func newID(part int) string { return fmt.Sprintf("%x%015x", part%16, rand.Uint64()>>4) }
