package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits and times of the store, as the settings of the small deployments give them.
const (
	readTime       = 4 * time.Millisecond
	commitTime     = 8 * time.Millisecond // txMs
	partInterval   = time.Second / 150    // appendsPerS
	rowBytes       = 65536
	maxEntries     = 100
	maxCommitBytes = 1 << 20
	maxPageRows    = 500
	maxFeedWait    = 30 * time.Second
)

// rowName names a row.
type rowName struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type storedRow struct {
	rowName
	Value     string `json:"value,omitempty"` // base64
	Ver       uint64 `json:"ver,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type transaction struct {
	ExpectRev []struct {
		rowName
		Ver uint64 `json:"ver"`
	} `json:"expectRev"`
	SetKeys []storedRow `json:"setKeys"`
	Remove  []rowName   `json:"remove"`
}

// store is a stand-in of the platform's metadata store. It loses nothing that it has
// acknowledged.
type store struct {
	mu       sync.Mutex
	began    time.Time
	rows     map[rowName]storedRow // deleted ones stay as tombstones, for feeds
	version  uint64
	changed  chan struct{} // closed and replaced with each transaction
	nextTurn map[string]time.Time

	// Disruptions.
	down    bool    // every call is answered with 503
	lostOf  float64 // share of the writes that are done and not answered
	slowX   int     // factor of all times; 0 is 1
	random  *rand.Rand
	lost    int
	refused int
}

func newStore(seed uint64) *store {
	return &store{
		began: time.Now(), rows: make(map[rowName]storedRow), changed: make(chan struct{}), nextTurn: make(map[string]time.Time),
		random: rand.New(rand.NewPCG(seed, 7)),
	}
}

// put writes a row as the operator or a worker does, without the limits of calls.
func (s *store) put(name rowName, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[name] = storedRow{rowName: name, Value: base64.StdEncoding.EncodeToString(value), Ver: s.version}
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// disrupt changes the disruptions.
func (s *store) disrupt(do func(*store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do(s)
}

// count returns the number of present rows of a table.
func (s *store) list(table string) []storedRow {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []storedRow
	for _, r := range s.rows {
		if r.Table == table && !r.Tombstone {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b storedRow) int { return strings.Compare(a.Key, b.Key) })
	return list
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	mux.HandleFunc("POST /v1/rows-tx", s.commit)
	return mux
}

// admit takes the time of a call, and refuses it while the store is down.
func (s *store) admit(w http.ResponseWriter, took time.Duration) bool {
	s.mu.Lock()
	down := s.down
	if down {
		s.refused++
	}
	took *= time.Duration(max(1, s.slowX))
	s.mu.Unlock()
	if down {
		answer(w, http.StatusServiceUnavailable, map[string]any{"error": "unavailable"})
		return false
	}
	time.Sleep(took)
	return true
}

func answer(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *store) page(rows []storedRow, more bool) map[string]any {
	if rows == nil {
		rows = []storedRow{}
	}
	return map[string]any{"rows": rows, "hasMore": more, "ver": s.version, "nowMs": time.Since(s.began).Milliseconds()}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, readTime) {
		return
	}
	q := r.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	var rows []storedRow
	for name, row := range s.rows {
		if name.Table != q.Get("table") || name.Part != q.Get("part") || row.Tombstone || name.Key < q.Get("from") || (q.Has("to") && name.Key >= q.Get("to")) {
			continue
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b storedRow) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	page := s.page(rows, more)
	s.mu.Unlock()
	answer(w, http.StatusOK, page)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, readTime) {
		return
	}
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(min(maxFeedWait, time.Duration(wait)*time.Millisecond))
	for waiting := true; ; {
		s.mu.Lock()
		var rows []storedRow
		for name, row := range s.rows {
			if name.Table == q.Get("table") && row.Ver > after {
				rows = append(rows, row)
			}
		}
		slices.SortFunc(rows, func(a, b storedRow) int { return int(a.Ver) - int(b.Ver) })
		page, changed, down := s.page(rows, false), s.changed, s.down
		s.mu.Unlock()
		switch {
		case down:
			answer(w, http.StatusServiceUnavailable, map[string]any{"error": "unavailable"})
			return
		case len(rows) > 0 || !waiting:
			answer(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// turn returns how long a transaction waits for its part, and false if more than a
// second of transactions is waiting there.
func (s *store) turn(part string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	next := s.nextTurn[part]
	if next.Before(now) {
		next = now
	}
	if next.Sub(now) > time.Second {
		return 0, false
	}
	s.nextTurn[part] = next.Add(partInterval)
	return next.Sub(now), true
}

func (t *transaction) problem(size int) string {
	parts := make(map[string]bool)
	for _, e := range t.ExpectRev {
		parts[e.Part] = true
	}
	for _, e := range t.SetKeys {
		parts[e.Part] = true
		if value, err := base64.StdEncoding.DecodeString(e.Value); err != nil || len(value) > rowBytes {
			return "a value is not base64 of at most rowBytes"
		}
	}
	for _, e := range t.Remove {
		parts[e.Part] = true
	}
	switch {
	case len(t.ExpectRev)+len(t.SetKeys)+len(t.Remove) > maxEntries:
		return "more than 100 entries"
	case size > maxCommitBytes:
		return "more than 1 MB"
	case len(parts) != 1:
		return "not of one part"
	}
	return ""
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var t transaction
	if err != nil || json.Unmarshal(body, &t) != nil {
		answer(w, http.StatusBadRequest, map[string]any{"error": "the body cannot be read"})
		return
	}
	if problem := t.problem(len(body)); problem != "" {
		answer(w, http.StatusBadRequest, map[string]any{"error": problem})
		return
	}
	part := ""
	for _, e := range t.ExpectRev {
		part = e.Part
	}
	for _, e := range t.SetKeys {
		part = e.Part
	}
	wait, ok := s.turn(part)
	if !ok {
		answer(w, http.StatusTooManyRequests, map[string]any{"error": "too many transactions of the part"})
		return
	}
	if !s.admit(w, wait+commitTime) {
		return
	}
	s.mu.Lock()
	conflict := false
	var current []storedRow
	for _, e := range t.ExpectRev {
		row, present := s.rows[e.rowName]
		present = present && !row.Tombstone
		if present {
			current = append(current, row)
		}
		if (present && row.Ver != e.Ver) || (!present && e.Ver != 0) {
			conflict = true
		}
	}
	status := http.StatusOK
	if conflict {
		status = http.StatusPreconditionFailed
	} else {
		current = nil
		s.version++
		for _, e := range t.SetKeys {
			s.rows[e.rowName] = storedRow{rowName: e.rowName, Value: e.Value, Ver: s.version}
		}
		for _, name := range t.Remove {
			s.rows[name] = storedRow{rowName: name, Ver: s.version, Tombstone: true}
		}
		s.notify()
	}
	page := s.page(current, false)
	lost := !conflict && s.lostOf > 0 && s.random.Float64() < s.lostOf
	if lost {
		s.lost++
	}
	s.mu.Unlock()
	if lost {
		// The connection delivers nothing further.
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	answer(w, status, page)
}
