package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// store is a stand-in of the platform's metadata store: tables of rows, conditional
// transactions and a feed, as PROTOCOL.md describes them.
type store struct {
	mu      sync.Mutex
	changed *sync.Cond
	rows    map[rowName]*row
	ver     uint64
	began   time.Time
	// factor multiplies the usual time of an answer; 1 is a sound store.
	factor atomic.Int64
	server *http.Server
	addr   string
}

type rowName struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	rowName
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type transaction struct {
	ExpectRev []row     `json:"expectRev"`
	SetKeys   []row     `json:"setKeys"`
	Remove    []rowName `json:"remove"`
}

const (
	answerTime      = 4 * time.Millisecond
	transactionTime = 8 * time.Millisecond
	pageRows        = 500
	pageBytes       = 700 << 10 // 1 MB in base64
	maxEntries      = 100
)

func newStore(address string) (*store, error) {
	s := &store{rows: make(map[rowName]*row), began: time.Now()}
	s.changed = sync.NewCond(&s.mu)
	s.factor.Store(1)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.addr = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.transact)
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) answerDelay() { time.Sleep(answerTime * time.Duration(s.factor.Load())) }

func (s *store) nowMs() int64 { return time.Since(s.began).Milliseconds() }

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// put writes a row as the operator or a worker does, drop removes one.
func (s *store) put(name rowName, value any) uint64 {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.rows[name] = &row{rowName: name, Value: raw, Ver: s.ver}
	s.changed.Broadcast()
	return s.ver
}

func (s *store) drop(name rowName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.rows[name]; ok && !r.Tombstone {
		s.ver++
		s.rows[name] = &row{rowName: name, Ver: s.ver, Tombstone: true}
		s.changed.Broadcast()
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil || json.Unmarshal(body, &t) != nil || len(t.ExpectRev)+len(t.SetKeys)+len(t.Remove) > maxEntries {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	for _, e := range t.SetKeys {
		if e.Table == "op" || e.Table == "servers" {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	time.Sleep(transactionTime)
	status, answer := s.apply(&t)
	s.answerDelay()
	reply(w, status, answer)
}

func (s *store) apply(t *transaction) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []row{}
	conflict := false
	for _, e := range t.ExpectRev {
		found, ok := s.rows[e.rowName]
		present := ok && !found.Tombstone
		if present {
			current = append(current, *found)
		}
		if (present && found.Ver != e.Ver) || (!present && e.Ver != 0) {
			conflict = true
		}
	}
	if conflict {
		return http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.ver, "nowMs": s.nowMs()}
	}
	s.ver++
	for _, e := range t.SetKeys {
		s.rows[e.rowName] = &row{rowName: e.rowName, Value: e.Value, Ver: s.ver}
	}
	for _, name := range t.Remove {
		if r, ok := s.rows[name]; ok && !r.Tombstone {
			s.rows[name] = &row{rowName: name, Ver: s.ver, Tombstone: true}
		}
	}
	s.changed.Broadcast()
	return http.StatusOK, map[string]any{"ver": s.ver, "nowMs": s.nowMs()}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > pageRows {
		limit = pageRows
	}
	s.mu.Lock()
	rows := []row{}
	for name, e := range s.rows {
		if name.Table == q.Get("table") && name.Part == q.Get("part") && !e.Tombstone && name.Key >= q.Get("from") && (!q.Has("to") || name.Key < q.Get("to")) {
			rows = append(rows, *e)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	n, size := 0, 0
	for n < len(rows) && n < limit && (n == 0 || size+len(rows[n].Value) <= pageBytes) {
		size += len(rows[n].Value)
		n++
	}
	more := n < len(rows)
	rows = rows[:n]
	s.answerDelay()
	reply(w, http.StatusOK, map[string]any{"rows": rows, "hasMore": more, "ver": ver, "nowMs": s.nowMs()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.Now().Add(time.Duration(min(wait, 30_000)) * time.Millisecond)
	timer := time.AfterFunc(time.Until(end), s.changed.Broadcast)
	defer timer.Stop()
	rows := []row{}
	s.mu.Lock()
	for {
		for name, e := range s.rows {
			if name.Table == q.Get("table") && e.Ver > after {
				rows = append(rows, *e)
			}
		}
		if len(rows) > 0 || !time.Now().Before(end) || r.Context().Err() != nil {
			break
		}
		s.changed.Wait()
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(rows, func(a, b int) bool { return rows[a].Ver < rows[b].Ver })
	s.answerDelay()
	reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver, "nowMs": s.nowMs()})
}
