// Package standin contains stand-ins of the external systems for trials and tests:
// the platform's services and the endpoints. Faults are set by control calls.
package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"crocusseam/pkg/document"
	"crocusseam/pkg/model"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/workload"
	"crocusseam/platform"
)

const (
	minWriteTime   = 3 * time.Millisecond
	maxWriteTime   = 6 * time.Millisecond
	readTime       = 500 * time.Microsecond
	writesPerSec   = 400
	readsPerSec    = 2000
	longestQueue   = time.Second // calls that would wait longer for their turn are refused
	maxPageRows    = 500
	feedPoll       = 10 * time.Millisecond // period in which a waiting feed reads its table
	listLag        = time.Second           // until discovery shows that an endpoint is leaving
	maxRequestBody = 64 << 20              // bytes
)

// Paths of the stand-in's own calls.
const (
	PathControl = "/control"
	PathLedger  = "/ledger"
)

// Faults is the body of a control call. Omitted fields leave their faults as they
// are.
type Faults struct {
	// Away makes every call fail at once. SlowBy delays every call.
	Away   *bool              `json:",omitempty"`
	SlowBy *document.Duration `json:",omitempty"`
	// LoseAnswers is the number of following commits that take effect without an
	// answer, LoseWrites the number of those that have neither effect nor answer.
	LoseAnswers int `json:",omitempty"`
	LoseWrites  int `json:",omitempty"`
	// Forget drops the history, so that feeds cannot continue from earlier versions.
	Forget bool `json:",omitempty"`
	// Endpoints sets the faults of endpoints, by address.
	Endpoints map[netip.AddrPort]EndpointFaults `json:",omitempty"`
}

// Platform is the stand-in of the platform's services: store, objects and discovery.
type Platform struct {
	memory    *storage.Memory
	listener  net.Listener
	server    *http.Server
	endpoints *Endpoints
	workers   *Workers

	// rowsMutex makes a commit one step for feeds.
	rowsMutex sync.RWMutex
	deleted   map[string]storage.Version // keys of deleted rows -> version of the deletion

	mu          sync.Mutex
	unavailable bool
	delay       time.Duration
	loseAnswers int
	loseWrites  int
	compacted   uint64 // feeds cannot continue from an earlier version
	nextWrite   time.Time
	nextRead    time.Time
	writes      int64
	reads       int64
}

// NewPlatform listens at an address; port 0 picks a free port. The endpoints, which
// may be nil, are shown by discovery.
func NewPlatform(address netip.AddrPort, endpoints *Endpoints) (*Platform, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, eris.Wrapf(err, "listen for the platform's stand-in at %s", address)
	}
	p := &Platform{memory: storage.NewMemory(), listener: listener, endpoints: endpoints, deleted: make(map[string]storage.Version)}
	mux := http.NewServeMux()
	mux.HandleFunc(platform.PathRows, p.rows)
	mux.HandleFunc(platform.PathFeed, p.feed)
	mux.HandleFunc(platform.PathTransact, p.commit)
	mux.HandleFunc(platform.PathPut, p.putObject)
	mux.HandleFunc(platform.PathGet, p.getObject)
	mux.HandleFunc(PathControl, p.control)
	mux.HandleFunc(PathLedger, p.ledger)
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	return p, nil
}

// ListWorkers makes discovery show these workers.
func (p *Platform) ListWorkers(w *Workers) { p.workers = w }

// Address returns the stand-in's address.
func (p *Platform) Address() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// Run serves calls until the context ends.
func (p *Platform) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = p.server.Close() })
	defer stop()
	if err := p.server.Serve(p.listener); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "serve the platform's stand-in")
	}
	return nil
}

// Row returns a row of the store without a call.
func (p *Platform) Row(key string) storage.Row {
	row, err := p.memory.Get(context.Background(), key)
	if err != nil {
		return storage.Row{Key: key}
	}
	return row
}

// Operations returns the numbers of requested writes and reads.
func (p *Platform) Operations() (writes, reads int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.writes, p.reads
}

// reserveTurn reserves the next turn of an operation that is limited to a rate. It
// returns the wait until that turn, or false if the wait would be too long.
func reserveTurn(next *time.Time, perSec int, now time.Time) (time.Duration, bool) {
	if next.Before(now) {
		*next = now
	}
	wait := next.Sub(now)
	if wait > longestQueue {
		return 0, false
	}
	*next = next.Add(time.Second / time.Duration(perSec))
	return wait, true
}

// admitRead waits for a read's turn and returns true, or answers with an error and
// returns false.
func (p *Platform) admitRead(w http.ResponseWriter) bool {
	p.mu.Lock()
	p.reads++
	wait, ok := reserveTurn(&p.nextRead, readsPerSec, time.Now())
	unavailable, slow := p.unavailable, p.delay
	p.mu.Unlock()
	if unavailable || !ok {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return false
	}
	sleep(wait + readTime + slow)
	return true
}

// decode decodes the body of a request. If that fails, it answers with an error and
// returns false.
func decode(w http.ResponseWriter, r *http.Request, in any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBody)).Decode(in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func encode(w http.ResponseWriter, status int, out any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out)
}

// rows serves the rows of a partition of a table between two keys.
func (p *Platform) rows(w http.ResponseWriter, r *http.Request) {
	if !p.admitRead(w) {
		return
	}
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > maxPageRows {
		limit = maxPageRows
	}
	prefix := platform.RowName{Table: q.Get("table"), Part: q.Get("part")}
	last := prefix.String() + cmp.Or(q.Get("to"), "\xff") // no key has that byte
	all, _ := p.memory.ScanRange(r.Context(), prefix.String()+q.Get("from"), last, limit+1)
	if prefix.String() == platform.EndpointPrefix {
		all = p.entries()
	}
	page := platform.Page{Rows: []platform.StoredRow{}, Ver: uint64(p.memory.Version())}
	for i := range all {
		row := stored(&all[i])
		if row.Key < q.Get("from") || (q.Has("to") && row.Key >= q.Get("to")) {
			continue
		}
		if page.HasMore = len(page.Rows) == limit; page.HasMore {
			break
		}
		page.Rows = append(page.Rows, row)
	}
	encode(w, http.StatusOK, page)
}

func stored(r *storage.Row) platform.StoredRow {
	return platform.StoredRow{RowName: platform.NameOf(r.Key), Value: r.Value, Ver: uint64(r.Version)}
}

// feed serves the rows of a table that are newer than a version, and waits for one
// if there is none.
func (p *Platform) feed(w http.ResponseWriter, r *http.Request) {
	if !p.admitRead(w) {
		return
	}
	q := r.URL.Query()
	after, errAfter := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(q.Get("waitMs"))
	if errAfter != nil || errWait != nil {
		http.Error(w, "after and waitMs must be numbers", http.StatusBadRequest)
		return
	}
	if after < p.compactedUpTo() {
		http.Error(w, "the history is gone", http.StatusGone)
		return
	}
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	page := platform.Page{Rows: []platform.StoredRow{}}
	for len(page.Rows) == 0 && time.Now().Before(deadline) && r.Context().Err() == nil {
		page = p.changes(q.Get("table")+"/", after)
		if len(page.Rows) == 0 {
			sleep(feedPoll)
		}
	}
	encode(w, http.StatusOK, page)
}

// changes returns the rows of a table that were written or deleted after a version.
func (p *Platform) changes(prefix string, after uint64) platform.Page {
	p.rowsMutex.RLock()
	defer p.rowsMutex.RUnlock()
	page := platform.Page{Rows: []platform.StoredRow{}, Ver: max(after, uint64(p.memory.Version()))}
	all, _ := p.memory.Scan(context.Background(), prefix, math.MaxInt)
	for i := range all {
		if uint64(all[i].Version) > after {
			page.Rows = append(page.Rows, stored(&all[i]))
		}
	}
	for _, key := range slices.Sorted(maps.Keys(p.deleted)) {
		if version := uint64(p.deleted[key]); version > after && strings.HasPrefix(key, prefix) {
			page.Rows = append(page.Rows, platform.StoredRow{RowName: platform.NameOf(key), Ver: version, Tombstone: true})
		}
	}
	return page
}

// compactedUpTo returns the earliest version from which feeds can continue.
func (p *Platform) compactedUpTo() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.compacted
}

// writeFaults holds the delay of one commit and the faults that apply to it.
type writeFaults struct {
	wait       time.Duration
	refused    bool
	loseAnswer bool
	loseWrite  bool
}

func (p *Platform) admitWrite() writeFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	wait, ok := reserveTurn(&p.nextWrite, writesPerSec, time.Now())
	f := writeFaults{wait: wait + p.delay, refused: p.unavailable || !ok}
	switch {
	case f.refused:
	case p.loseWrites > 0:
		p.loseWrites--
		f.loseWrite = true
	case p.loseAnswers > 0:
		p.loseAnswers--
		f.loseAnswer = true
	}
	return f
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var in platform.Transaction
	if !decode(w, r, &in) {
		return
	}
	f := p.admitWrite()
	if f.refused {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	sleep(f.wait + minWriteTime + rand.N(maxWriteTime-minWriteTime))
	if f.loseWrite {
		panic(http.ErrAbortHandler)
	}
	version, err := p.commitRows(r.Context(), writesOf(&in))
	if f.loseAnswer {
		panic(http.ErrAbortHandler)
	}
	if err == nil {
		encode(w, http.StatusOK, platform.Page{Rows: []platform.StoredRow{}, Ver: uint64(version)})
		return
	}
	page := platform.Page{Rows: []platform.StoredRow{}}
	for _, e := range in.ExpectRev {
		if row, _ := p.memory.Get(r.Context(), e.String()); row.Version > 0 {
			page.Rows = append(page.Rows, stored(&row))
		}
	}
	encode(w, http.StatusPreconditionFailed, page)
}

// commitRows commits writes and remembers the deleted rows for feeds. The workers' ledger learns of
// evacuations.
func (p *Platform) commitRows(ctx context.Context, writes []storage.Write) (storage.Version, error) {
	p.rowsMutex.Lock()
	defer p.rowsMutex.Unlock()
	version, err := p.memory.Commit(ctx, writes)
	if err != nil {
		return 0, err
	}
	for _, w := range writes {
		if w.Check {
			continue
		}
		delete(p.deleted, w.Key)
		if w.Delete {
			p.deleted[w.Key] = version
		}
		if domain, ok := strings.CutPrefix(w.Key, platform.EvacuationPrefix); ok && p.workers != nil {
			_, err := platform.DecodeEvacuation(&storage.Row{Key: w.Key, Value: w.Value})
			p.workers.With(func(m *model.World) { m.NoteEvacuation(domain, !w.Delete && err == nil) })
		}
	}
	return version, nil
}

// writesOf returns the writes of a transaction with their conditions.
func writesOf(t *platform.Transaction) []storage.Write {
	expected := make(map[string]storage.Version, len(t.ExpectRev))
	for _, e := range t.ExpectRev {
		expected[e.String()] = storage.Version(e.Ver)
	}
	expect := func(key string) storage.Version {
		if v, ok := expected[key]; ok {
			return v
		}
		return storage.AnyVersion
	}
	var writes []storage.Write
	for i := range t.SetKeys {
		key := t.SetKeys[i].String()
		writes = append(writes, storage.Write{Key: key, Value: t.SetKeys[i].Value, Expect: expect(key)})
	}
	for _, n := range t.Remove {
		writes = append(writes, storage.Write{Key: n.String(), Delete: true, Expect: expect(n.String())})
	}
	for key, version := range expected {
		if !slices.ContainsFunc(writes, func(w storage.Write) bool { return w.Key == key }) {
			writes = append(writes, storage.Write{Key: key, Check: true, Expect: version})
		}
	}
	return writes
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	if !p.admitRead(w) {
		return
	}
	content, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_ = p.memory.Put(r.Context(), strings.TrimPrefix(r.URL.Path, platform.PathPut), content)
	w.WriteHeader(http.StatusOK)
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	if !p.admitRead(w) {
		return
	}
	content, err := p.memory.GetObject(r.Context(), strings.TrimPrefix(r.URL.Path, platform.PathGet))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	_, _ = w.Write(content)
}

// entries returns the discovery entries of the endpoints and workers, and those that
// were written as rows.
func (p *Platform) entries() []storage.Row {
	rows, _ := p.memory.Scan(context.Background(), platform.EndpointPrefix, math.MaxInt)
	if p.workers != nil {
		rows = append(rows, p.workers.Entries()...)
	}
	if p.endpoints == nil {
		return rows
	}
	for _, e := range p.endpoints.discoveryList(time.Now().Add(-listLag)) {
		name := strings.ReplaceAll(e.Address.String(), ":", "-")
		rows = append(rows, storage.Row{Key: platform.EndpointPrefix + name, Value: platform.EncodeEndpoint(workload.Endpoint{
			Service: "tasks", Address: e.Address, Domain: "any", Draining: e.Leaving,
		}), Version: 1})
	}
	return rows
}

// SetFaults sets faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	if f.Away != nil {
		p.unavailable = *f.Away
	}
	if f.SlowBy != nil {
		p.delay = time.Duration(*f.SlowBy)
	}
	p.loseAnswers += f.LoseAnswers
	p.loseWrites += f.LoseWrites
	if f.Forget {
		p.compacted = uint64(p.memory.Version()) + 1
	}
	p.mu.Unlock()
	if p.endpoints == nil {
		return
	}
	for a, e := range f.Endpoints {
		p.endpoints.SetFaults(a, e)
	}
}

func (p *Platform) control(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !decode(w, r, &f) {
		return
	}
	p.SetFaults(f)
	encode(w, http.StatusOK, struct{}{})
}

func (p *Platform) ledger(w http.ResponseWriter, _ *http.Request) {
	if p.endpoints == nil {
		encode(w, http.StatusOK, []Start{})
		return
	}
	encode(w, http.StatusOK, p.endpoints.Ledger())
}
