package main

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the workers, as the settings of the small deployments give them.
const (
	holdMax     = time.Second // holdMaxMs
	stopTakes   = 30 * time.Millisecond
	maxHoldWait = 2 * time.Second
	endsAtOnce  = 500 // ended runs in one answer
	heartbeat   = 1500 * time.Millisecond
)

// work is what the spec of a job tells the stand-in: how long its tasks run, and whether
// they fail.
type work struct {
	length time.Duration
	fails  bool
}

// parseSpec reads a spec such as "ms=200", "ms=200 fail" or "ms=2000 firstfails=500". In
// the last one the first run of the first task fails after 500 ms.
func parseSpec(spec string, key runKey) work {
	w := work{}
	for _, word := range strings.Fields(spec) {
		name, value, _ := strings.Cut(word, "=")
		n, _ := strconv.Atoi(value)
		switch name {
		case "ms":
			w.length = time.Duration(n) * time.Millisecond
		case "fail":
			w.fails = true
		case "firstfails":
			if key.run == 1 && strings.HasSuffix(key.task, ".0") {
				w.length, w.fails = time.Duration(n)*time.Millisecond, true
			}
		}
	}
	return w
}

type runKey struct {
	task string
	run  int
}

type running struct {
	began    time.Time
	length   time.Duration
	stopping bool
}

type ended struct {
	number int
	key    runKey
	how    string
	at     time.Time
}

// worker is a stand-in of a worker that runs tasks by waiting. It doesn't guard its
// capacity.
type worker struct {
	id, zone, rack, service, address string
	cores                            int
	born                             int64
	began                            time.Time
	ledger                           *ledger

	mu      sync.Mutex
	fence   uint64
	lease   time.Time // until when everything that runs is held
	lapses  []time.Time
	runs    map[runKey]*running
	highest map[string]int // highest run of a task that was stopped or has ended
	ends    []ended
	number  int
	changed chan struct{}
	mostEnd int // most ended runs that were kept at once
}

func newWorker(l *ledger, id, zone, rack, service string, cores int) *worker {
	now := time.Now()
	return &worker{
		id: id, zone: zone, rack: rack, service: service, cores: cores, born: now.UnixMilli(), began: now, ledger: l,
		runs: make(map[runKey]*running), highest: make(map[string]int), changed: make(chan struct{}),
	}
}

// entry is the worker's row in the store.
func (w *worker) entry(seq int) []byte {
	text, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "1", "slots": 8, "state": "ready", "coldLeftMs": 0, "seq": seq,
		"born": w.born, "labels": []string{"a", w.rack}, "capacity": map[string]any{"cpu": w.cores * 1000, "memMb": 131072, "gpu": 0},
	})
	if err != nil {
		panic(err)
	}
	return text
}

func (w *worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", func(out http.ResponseWriter, r *http.Request) { w.call(out, r, w.start) })
	mux.HandleFunc("POST /v1/run-stop", func(out http.ResponseWriter, r *http.Request) { w.call(out, r, w.stop) })
	mux.HandleFunc("POST /v1/hold", func(out http.ResponseWriter, r *http.Request) { w.call(out, r, w.hold) })
	return mux
}

type order struct {
	Task   string `json:"task"`
	Run    int    `json:"run"`
	Spec   string `json:"spec"`
	Until  int64  `json:"untilMs"`
	Fence  uint64 `json:"fencingToken"`
	Seen   int    `json:"seenUpto"`
	WaitMs int    `json:"waitMs"`
}

func (w *worker) call(out http.ResponseWriter, r *http.Request, do func(*http.Request, order) (int, map[string]any)) {
	if r.Header.Get("X-Crocusseam-Target-Instance") != w.id {
		answer(out, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	var m order
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &m) != nil {
		answer(out, http.StatusBadRequest, map[string]any{})
		return
	}
	status, reply := do(r, m)
	reply["clockMs"], reply["born"] = time.Since(w.began).Milliseconds(), w.born
	answer(out, status, reply)
}

func rejected(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// fenced records a fencing token, and reports whether a higher one came before.
func (w *worker) fenced(token uint64) bool {
	if token < w.fence {
		return true
	}
	w.fence = token
	return false
}

// checkLease ends everything if the lease has expired.
func (w *worker) checkLease(now time.Time) {
	if w.lease.IsZero() || now.Before(w.lease) {
		return
	}
	w.lapses = append(w.lapses, w.lease)
	w.lease = time.Time{}
	for key := range w.runs {
		w.end(key, "lapsed", now)
	}
}

// extend extends the lease; it never shortens.
func (w *worker) extend(until int64, now time.Time) {
	end := w.began.Add(time.Duration(until) * time.Millisecond)
	if limit := now.Add(holdMax); end.After(limit) {
		end = limit
	}
	if !end.After(now) || !end.After(w.lease) {
		return
	}
	w.lease = end
	time.AfterFunc(time.Until(end)+time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.checkLease(time.Now())
	})
}

func (w *worker) end(key runKey, how string, now time.Time) {
	delete(w.runs, key)
	w.highest[key.task] = max(w.highest[key.task], key.run)
	w.number++
	w.ends = append(w.ends, ended{w.number, key, how, now})
	w.mostEnd = max(w.mostEnd, len(w.ends))
	w.ledger.runEnded(w.id, key, how, now)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) start(_ *http.Request, m order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.checkLease(now)
	if w.fenced(m.Fence) {
		return rejected("fence")
	}
	key := runKey{m.Task, m.Run}
	if _, ok := w.runs[key]; ok {
		w.extend(m.Until, now)
		return http.StatusOK, map[string]any{}
	}
	if m.Run <= w.highest[m.Task] {
		w.extend(m.Until, now)
		return rejected("old")
	}
	if !w.began.Add(time.Duration(m.Until) * time.Millisecond).After(now) {
		return rejected("late")
	}
	w.extend(m.Until, now)
	job := parseSpec(m.Spec, key)
	r := &running{began: now, length: job.length}
	w.runs[key] = r
	w.ledger.runStarted(w.id, key, m.Fence, now)
	how := "done"
	if job.fails {
		how = "failed"
	}
	time.AfterFunc(job.length, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.runs[key] == r && !r.stopping {
			w.end(key, how, time.Now())
		}
	})
	return http.StatusOK, map[string]any{}
}

func (w *worker) stop(_ *http.Request, m order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkLease(time.Now())
	if w.fenced(m.Fence) {
		return rejected("fence")
	}
	key := runKey{m.Task, m.Run}
	w.highest[m.Task] = max(w.highest[m.Task], m.Run)
	if r, ok := w.runs[key]; ok && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopTakes, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.runs[key] == r {
				w.end(key, "stopped", time.Now())
			}
		})
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) hold(r *http.Request, m order) (int, map[string]any) {
	w.mu.Lock()
	now := time.Now()
	w.checkLease(now)
	if w.fenced(m.Fence) {
		w.mu.Unlock()
		return rejected("fence")
	}
	for len(w.ends) > 0 && w.ends[0].number <= m.Seen {
		e := &w.ends[0]
		lapsed := false
		for _, at := range w.lapses {
			lapsed = lapsed || at.After(e.at)
		}
		w.ledger.endNoted(w.id, e.key, lapsed, now)
		w.ends = w.ends[1:]
	}
	w.extend(m.Until, now)
	deadline := time.After(min(maxHoldWait, time.Duration(m.WaitMs)*time.Millisecond))
	for waiting := m.WaitMs > 0; len(w.ends) == 0 && waiting; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	now = time.Now()
	w.checkLease(now)
	runs, ends := [][]any{}, [][]any{}
	for key, run := range w.runs {
		percent := min(99, int(100*now.Sub(run.began)/max(run.length, time.Millisecond)))
		runs = append(runs, []any{key.task, key.run, "", percent, 0})
	}
	for i := range min(len(w.ends), endsAtOnce) {
		e := &w.ends[i]
		ends = append(ends, []any{e.number, e.key.task, e.key.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"running": runs, "ended": ends}
}
