package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// environment is a small deployment: a store, workers, and gates as separate processes.
type environment struct {
	*ledger
	dir     string
	store   *store
	workers []*worker
	gates   []*process
	trouble bool
	hosts   int
}

// process is a gate and the proxy that stands before its address for other gates.
type process struct {
	name, callers, ready string
	settings, zone       string
	peers                *proxy
	command              *exec.Cmd
	mu                   sync.Mutex // of command and done, which a restart replaces
	done                 chan struct{}
}

const (
	host    = "seats.example"
	prefix  = "/hold/"
	route   = "r-hold"
	service = "booking"

	contact   = 3 * time.Second // contactMs
	ackTime   = 4 * time.Second // ackMs
	cancel    = 3 * time.Second // cancel_ms
	stopTime  = 50 * time.Millisecond
	finish    = 14 * time.Second // finish_s
	recovery  = 12 * time.Second // recoverS
	idleLimit = 3 * time.Second  // for which a job whose turn has come may have nothing running
)

// errCannotRun says that a case could not be played.
var errCannotRun = errors.New("the case could not run")

func cannot(format string, a ...any) error {
	return fmt.Errorf("%w: %s", errCannotRun, fmt.Sprintf(format, a...))
}

func newEnvironment(l *ledger, trouble bool) (*environment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s, err := newStore("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &environment{ledger: l, dir: dir, store: s, trouble: trouble}
	s.put(rowName{"op", "", "config"}, map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": route, "host": host, "prefix": prefix, "kind": "non_idempotent", "timeoutMs": 1500, "sloMs": 60, "priority": 0,
			"service": service, "maxAttempts": 3, "stretch": 1.6,
		}},
		"services": []map[string]any{{"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "spare": false}},
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return e, nil
}

// addWorker starts a worker of 64 cores.
func (e *environment) addWorker(id, zone string, labels []string, duration func(task, spec string) (time.Duration, string)) (*worker, error) {
	w := &worker{id: id, zone: zone, service: service, labels: labels, address: "127.0.0.1:0", cpu: 64000, memMb: 262144, store: e.store, ledger: e.ledger, duration: duration}
	e.workers = append(e.workers, w)
	return w, w.start()
}

// Ports of a gate, the same for all gates, below those that the system gives to connections.
const (
	portCallers = 8161 + iota
	portReady
	portPeers
	portMetrics
)

// nextHost returns a loopback address that no other play of a case uses, as its middle parts
// come from the number of this process.
func (e *environment) nextHost() string {
	e.hosts++
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid/250%64, 1+pid%250, 10+e.hosts)
}

// addresses returns the addresses of the ports of a host, after a look that they are free.
func addresses(host string) ([]string, error) {
	var list []string
	for port := portCallers; port <= portMetrics; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
		if err != nil {
			return nil, cannot("%v", err)
		}
		_ = l.Close()
		list = append(list, l.Addr().String())
	}
	return list, nil
}

// startGate starts a gate with the command of the deploy file and the settings of its template.
func (e *environment) startGate(name, zone string) (*process, error) {
	a, err := addresses(e.nextHost())
	if err != nil {
		return nil, err
	}
	p := &process{name: name, callers: a[0], ready: a[1]}
	if p.peers, err = newProxy(a[2]); err != nil {
		return nil, err
	}
	settings, err := json.MarshalIndent(map[string]any{
		"Instance": name, "Domain": zone, "Callers": a[0], "Ready": a[1], "Peers": a[2], "Advertised": p.peers.address(), "Metrics": a[3],
		"Store": e.store.addr, "Processor": 0.4, "MemoryMB": 284, "LinkMbps": 1000.0, "Lease": "1000ms", "Grace": "6s", "FarFactor": 1.5,
		"Retention": "120s", "Log": "info",
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	file := filepath.Join(e.dir, name+".json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return nil, err
	}
	p.settings, p.zone = file, zone
	if err := e.launch(p); err != nil {
		return nil, err
	}
	e.gates = append(e.gates, p)
	return p, nil
}

// launch starts the process of a gate.
func (e *environment) launch(p *process) error {
	logs, err := os.OpenFile(filepath.Join(e.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command, done := exec.Command("target/crocus-gate"), make(chan struct{})
	command.Env = append(os.Environ(), "CROCUSSEAM_NODE_FILE="+p.settings)
	command.Stdout, command.Stderr = logs, logs
	if err := command.Start(); err != nil {
		return cannot("start target/crocus-gate: %v", err)
	}
	go func() {
		_ = command.Wait()
		_ = logs.Close()
		close(done)
	}()
	p.mu.Lock()
	p.command, p.done = command, done
	p.mu.Unlock()
	e.note("gate started", p.name, "in "+p.zone)
	return nil
}

// close ends all processes that the case has started.
func (e *environment) close() {
	for _, p := range e.gates {
		command, done := p.now()
		_ = command.Process.Kill()
		<-done
	}
	if kept := os.Getenv("KEEP_LOGS"); kept == "" {
		_ = os.RemoveAll(e.dir)
	} else {
		fmt.Println("logs in", e.dir)
	}
}

// awaitReady waits until all gates are ready, and then a little longer so that they have
// divided the workers.
func (e *environment) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, p := range e.gates {
			response, err := http.Get("http://" + p.ready + "/v1/readiness")
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(e.gates) {
			time.Sleep(5 * time.Second)
			return nil
		}
	}
	return cannot("the gates were not ready within 20 s")
}

// answer is what a client got; status 0 is no answer.
type answer struct {
	status int
	body   string
	after  time.Duration
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%s) after %.3f s", a.body, a.after.Seconds())
	}
	return fmt.Sprintf("%d %s after %.3f s", a.status, bytes.TrimSpace([]byte(a.body)), a.after.Seconds())
}

func (a answer) state() string {
	var s struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(a.body), &s)
	return s.State
}

// call sends a client's request to a gate and waits for its answer.
func (e *environment) call(p *process, method, id string, body any, patience time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var content io.Reader
	if body != nil {
		raw, _ := json.Marshal(body)
		content = bytes.NewReader(raw)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+p.callers+prefix+id, content)
	if err != nil {
		return answer{body: err.Error()}
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Crocusseam-Deadline-Ms", fmt.Sprint(patience.Milliseconds()))
	e.note("client sends", p.name, method+" "+prefix+id)
	began := time.Now()
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	a := answer{after: time.Since(began)}
	if err != nil {
		a.body = err.Error()
	} else {
		raw, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.body, a.after = response.StatusCode, string(raw), time.Since(began)
		if readErr != nil {
			a.status, a.body = 0, readErr.Error()
		}
	}
	e.note("client gets", p.name, fmt.Sprintf("for %s %s%s: %s", method, prefix, id, a))
	return a
}

// step is a step of a submitted job.
type step struct {
	Count    int    `json:"count"`
	CPU      int    `json:"cpu"`
	MemMb    int    `json:"memMb"`
	EstMs    int    `json:"estMs,omitempty"`
	After    []int  `json:"after,omitempty"`
	Requires string `json:"requires,omitempty"`
}

func job(steps ...step) map[string]any {
	return map[string]any{"spec": "a job of the review", "steps": steps}
}

// proxy passes bytes between two addresses. Silence makes the connections that are open pass
// nothing any more, without an end; new ones work.
type proxy struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	era      int
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to}
	go p.run()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.era++
}

func (p *proxy) now() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.era
}

func (p *proxy) run() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = from.Close()
			continue
		}
		era := p.now()
		go p.pass(era, from, to)
		go p.pass(era, to, from)
	}
}

// pass copies one direction. What arrives on a silent connection is read and lost, and its end
// is not passed on.
func (p *proxy) pass(era int, from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if p.now() != era {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// now returns the present process of a gate.
func (p *process) now() (*exec.Cmd, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command, p.done
}

// restart kills a gate and starts it again with the same settings after a pause.
func (e *environment) restart(p *process, pause time.Duration) error {
	command, done := p.now()
	_ = command.Process.Kill()
	<-done
	e.note("gate killed", p.name, "")
	time.Sleep(pause)
	return e.launch(p)
}
