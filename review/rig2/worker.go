package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a worker. It carries out orders as PROTOCOL.md says: leases on its
// own clock, fencing tokens, run numbers, and ends that are listed until they are seen.
type worker struct {
	id, zone, service string
	labels            []string
	address           string
	cpu, memMb        int
	store             *store
	ledger            *ledger
	// duration tells how long a task takes, and how it ends.
	duration func(task, spec string) (time.Duration, string)

	mu       sync.Mutex
	ended    chan struct{} // closed and replaced at each end
	up, dark bool
	state    string
	born     int64
	began    time.Time
	token    uint64
	until    time.Duration
	running  map[string]*execution
	ends     []end
	lastEnd  int64
	highest  map[string]int // run of the last stop or end of a task
	server   *http.Server
	stopBeat chan struct{}
	seq      int
}

type execution struct {
	task   string
	run    int
	began  time.Time
	length time.Duration
	how    string
}

type end struct {
	n    int64
	task string
	run  int
	how  string
}

const (
	heartbeat   = 1500 * time.Millisecond
	holdMax     = time.Second
	workerTick  = 2 * time.Millisecond
	endsPerLook = 500
)

// start begins a new life of the worker under its id and address.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.address = listener.Addr().String()
	w.up, w.state, w.born, w.began, w.token, w.until = true, "ready", time.Now().UnixMilli(), time.Now(), 0, 0
	w.running, w.highest, w.ends, w.lastEnd, w.seq = make(map[string]*execution), make(map[string]int), nil, 0, 0
	w.ended = make(chan struct{})
	w.stopBeat = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.runStart)
	mux.HandleFunc("POST /v1/run-stop", w.runStop)
	mux.HandleFunc("POST /v1/hold", w.hold)
	mux.HandleFunc("GET /health", func(out http.ResponseWriter, _ *http.Request) { out.WriteHeader(http.StatusOK) })
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	server, stop := w.server, w.stopBeat
	w.mu.Unlock()
	w.ledger.note("worker up", w.id, fmt.Sprintf("born %d at %s in %s, labels %v", w.born, w.address, w.zone, w.labels))
	go func() { _ = server.Serve(listener) }()
	go w.beat(stop)
	go w.tick(stop)
	return nil
}

// crash ends the worker's life: its runs end, its connections break, and it knows nothing of
// them later. Its entry stays until three heartbeats were missed.
func (w *worker) crash() {
	w.mu.Lock()
	w.up = false
	close(w.stopBeat)
	born, name := w.born, rowName{"servers", "", w.id}
	for _, x := range w.running {
		w.ledger.ended(w, x.task, x.run, "crashed")
	}
	w.running = make(map[string]*execution)
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
	w.ledger.note("worker down", w.id, "")
	time.AfterFunc(3*heartbeat, func() {
		w.mu.Lock()
		gone := !w.up && w.born == born
		w.mu.Unlock()
		if gone {
			w.store.drop(name)
		}
	})
}

func (w *worker) beat(stop chan struct{}) {
	for {
		w.mu.Lock()
		w.seq++
		entry := map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": w.state, "coldLeftMs": 0,
			"capacity": map[string]int{"cpu": w.cpu, "memMb": w.memMb, "gpu": 0}, "labels": w.labels, "clockMs": w.clock().Milliseconds(), "seq": w.seq, "born": w.born,
		}
		w.mu.Unlock()
		w.store.put(rowName{"servers", "", w.id}, entry)
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// tick ends runs that are done and, when the lease is over, all of them.
func (w *worker) tick(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(workerTick):
		}
		w.mu.Lock()
		for _, x := range w.running {
			switch {
			case w.clock() >= w.until:
				w.end(x, "lapsed")
			case time.Since(x.began) >= x.length:
				w.end(x, x.how)
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) clock() time.Duration { return time.Since(w.began) }

// end records the end of a run. The lock is held.
func (w *worker) end(x *execution, how string) {
	delete(w.running, x.task)
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, x.task, x.run, how})
	w.highest[x.task] = max(w.highest[x.task], x.run)
	w.ledger.ended(w, x.task, x.run, how)
	close(w.ended)
	w.ended = make(chan struct{})
}

type order struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"untilMs"`
	Token uint64 `json:"fencingToken"`
	Seen  int64  `json:"seenUpto"`
	Wait  int64  `json:"waitMs"`
}

// read decodes an order and answers those that are for another worker. The lock is held when
// it returns true.
func (w *worker) read(out http.ResponseWriter, r *http.Request, o *order) bool {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil || json.Unmarshal(body, o) != nil {
		reply(out, http.StatusBadRequest, map[string]any{})
		return false
	}
	if target := r.Header.Get("X-Crocusseam-Target-Instance"); target != "" && target != w.id {
		reply(out, http.StatusMisdirectedRequest, map[string]any{})
		return false
	}
	w.mu.Lock()
	if w.dark {
		w.mu.Unlock()
		<-r.Context().Done()
		return false
	}
	if o.Token < w.token {
		w.answer(out, http.StatusConflict, map[string]any{"reason": "fence"})
		w.mu.Unlock()
		return false
	}
	w.token = o.Token
	return true
}

// answer answers with the fields that every body of a worker has. The lock is held.
func (w *worker) answer(out http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"], body["born"] = w.clock().Milliseconds(), w.born
	reply(out, status, body)
}

// renew extends the lease; it never shortens it. The lock is held.
func (w *worker) renew(untilMs int64) {
	until := min(time.Duration(untilMs)*time.Millisecond, w.clock()+holdMax)
	w.until = max(w.until, until)
}

func (w *worker) runStart(out http.ResponseWriter, r *http.Request) {
	var o order
	if !w.read(out, r, &o) {
		return
	}
	defer w.mu.Unlock()
	if x, ok := w.running[o.Task]; ok && x.run == o.Run {
		w.renew(o.Until)
		w.answer(out, http.StatusOK, map[string]any{})
		return
	}
	if x, ok := w.running[o.Task]; (ok && x.run > o.Run) || w.highest[o.Task] >= o.Run {
		w.renew(o.Until)
		w.answer(out, http.StatusConflict, map[string]any{"reason": "old"})
		return
	}
	if time.Duration(o.Until)*time.Millisecond <= w.clock() {
		w.answer(out, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	w.renew(o.Until)
	length, how := w.duration(o.Task, o.Spec)
	w.running[o.Task] = &execution{o.Task, o.Run, time.Now(), length, how}
	w.ledger.started(w, o.Task, o.Run, o.Spec)
	w.answer(out, http.StatusOK, map[string]any{})
}

func (w *worker) runStop(out http.ResponseWriter, r *http.Request) {
	var o order
	if !w.read(out, r, &o) {
		return
	}
	defer w.mu.Unlock()
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if x, ok := w.running[o.Task]; ok && x.run <= o.Run {
		w.end(x, "stopped")
	}
	w.answer(out, http.StatusOK, map[string]any{})
}

func (w *worker) hold(out http.ResponseWriter, r *http.Request) {
	var o order
	if !w.read(out, r, &o) {
		return
	}
	if o.Until > 0 {
		w.renew(o.Until)
	}
	for len(w.ends) > 0 && w.ends[0].n <= o.Seen {
		w.ends = w.ends[1:]
	}
	changed := w.ended
	idle := len(w.ends) == 0
	w.mu.Unlock()
	if idle && o.Wait > 0 {
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dark {
		w.mu.Unlock()
		<-r.Context().Done()
		w.mu.Lock()
		return
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range w.running {
		running = append(running, []any{x.task, x.run, "", int(100 * time.Since(x.began) / x.length)})
	}
	for _, e := range w.ends[:min(len(w.ends), endsPerLook)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	w.answer(out, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

// goDark takes the worker's machine away without a sign: connections stay open, and nothing is
// answered any more.
func (w *worker) goDark() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up, w.dark = false, true
	close(w.stopBeat)
	for _, x := range w.running {
		w.ledger.ended(w, x.task, x.run, "lost with its worker")
	}
	w.running = make(map[string]*execution)
	w.ledger.note("worker dark", w.id, "")
	time.AfterFunc(3*heartbeat, func() { w.store.drop(rowName{"servers", "", w.id}) })
}

// isRunning reports whether a task whose name begins with a prefix runs here now.
func (w *worker) isRunning(prefix string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task := range w.running {
		if strings.HasPrefix(task, prefix) {
			return true
		}
	}
	return false
}

// load returns the number of tasks that run here now.
func (w *worker) load() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}
