// Package standin takes the place of the outside systems in trials and tests:
// the platform's services and the endpoints. Faults are switched by a control
// call.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"crocusseam/pkg/document"
	"crocusseam/pkg/storage"
	"crocusseam/service/store"
)

// Figures of the platform's stand-in.
const (
	minWriteTime   = 3 * time.Millisecond
	maxWriteTime   = 6 * time.Millisecond
	readTime       = 500 * time.Microsecond
	writesPerSec   = 400
	readsPerSec    = 2000
	longestQueue   = time.Second
	listLag        = time.Second
	maxRequestBody = 64 << 20
)

// Paths of the stand-in's own calls.
const (
	PathControl = "/control"
	PathLedger  = "/ledger"
)

// Faults is the body of a control call. Fields that are left out stay as they
// are.
type Faults struct {
	// Away makes every call fail at once, SlowBy delays every call.
	Away   *bool              `json:",omitempty"`
	SlowBy *document.Duration `json:",omitempty"`
	// LoseAnswers commits take effect and are not answered; LoseWrites commits
	// neither take effect nor are answered.
	LoseAnswers int `json:",omitempty"`
	LoseWrites  int `json:",omitempty"`
	// Endpoints switches the faults of endpoints, by address.
	Endpoints map[netip.AddrPort]EndpointFaults `json:",omitempty"`
}

// Platform is the stand-in of the platform's services.
type Platform struct {
	memory    *storage.Memory
	listener  net.Listener
	server    *http.Server
	endpoints *Endpoints

	mu          sync.Mutex
	away        bool
	slowBy      time.Duration
	loseAnswers int
	loseWrites  int
	nextWrite   time.Time
	nextRead    time.Time
	writes      int64
	reads       int64
}

// NewPlatform binds the stand-in's address; port 0 picks one. The endpoints may
// be nil.
func NewPlatform(address netip.AddrPort, endpoints *Endpoints) (*Platform, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, eris.Wrapf(err, "listen for the platform's stand-in at %s", address)
	}
	p := &Platform{memory: storage.NewMemory(), listener: listener, endpoints: endpoints}
	mux := http.NewServeMux()
	mux.HandleFunc(store.PathGet, p.get)
	mux.HandleFunc(store.PathScan, p.scan)
	mux.HandleFunc(store.PathCommit, p.commit)
	mux.HandleFunc(store.PathObjects, p.object)
	mux.HandleFunc(store.PathInstances, p.list)
	mux.HandleFunc(PathControl, p.control)
	mux.HandleFunc(PathLedger, p.ledger)
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	return p, nil
}

// Address returns the stand-in's address.
func (p *Platform) Address() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// Run serves until the context ends.
func (p *Platform) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = p.server.Close() })
	defer stop()
	if err := p.server.Serve(p.listener); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "serve the platform's stand-in")
	}
	return nil
}

// Operations returns how many writes and reads were asked for.
func (p *Platform) Operations() (writes, reads int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.writes, p.reads
}

// pace takes a place in the queue of an operation and returns the wait until
// its turn, or false if the queue is too long.
func pace(next *time.Time, perSec int, now time.Time) (time.Duration, bool) {
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

// admitRead waits for a read's turn. It reports whether the read is served.
func (p *Platform) admitRead(w http.ResponseWriter) bool {
	p.mu.Lock()
	p.reads++
	wait, ok := pace(&p.nextRead, readsPerSec, time.Now())
	away, slow := p.away, p.slowBy
	p.mu.Unlock()
	if away || !ok {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return false
	}
	sleep(wait + readTime + slow)
	return true
}

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

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	var in store.GetRequest
	if !p.admitRead(w) || !decode(w, r, &in) {
		return
	}
	row, _ := p.memory.Get(r.Context(), in.Key)
	encode(w, http.StatusOK, store.RowsReply{Rows: []storage.Row{row}})
}

func (p *Platform) scan(w http.ResponseWriter, r *http.Request) {
	var in store.ScanRequest
	if !p.admitRead(w) || !decode(w, r, &in) {
		return
	}
	rows, _ := p.memory.Scan(r.Context(), in.Prefix, in.Limit)
	encode(w, http.StatusOK, store.RowsReply{Rows: rows})
}

// writeFaults is what happens to one commit.
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
	wait, ok := pace(&p.nextWrite, writesPerSec, time.Now())
	f := writeFaults{wait: wait + p.slowBy, refused: p.away || !ok}
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
	var in store.CommitRequest
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
	version, err := p.memory.Commit(r.Context(), in.Writes)
	if f.loseAnswer {
		panic(http.ErrAbortHandler)
	}
	var conflict *storage.ErrConflict
	if errors.As(err, &conflict) {
		encode(w, http.StatusConflict, store.CommitReply{Rows: conflict.Rows})
		return
	}
	encode(w, http.StatusOK, store.CommitReply{Version: version})
}

func (p *Platform) object(w http.ResponseWriter, r *http.Request) {
	name := strings.TrimPrefix(r.URL.Path, store.PathObjects)
	if !p.admitRead(w) {
		return
	}
	if r.Method == http.MethodPut {
		content, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBody))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		_ = p.memory.Put(r.Context(), name, content)
		w.WriteHeader(http.StatusOK)
		return
	}
	content, err := p.memory.GetObject(r.Context(), name)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	_, _ = w.Write(content)
}

func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	if !p.admitRead(w) {
		return
	}
	list := []storage.ListedInstance{}
	if p.endpoints != nil {
		list = p.endpoints.listed(time.Now().Add(-listLag))
	}
	encode(w, http.StatusOK, list)
}

// Switch switches faults.
func (p *Platform) Switch(f Faults) {
	p.mu.Lock()
	if f.Away != nil {
		p.away = *f.Away
	}
	if f.SlowBy != nil {
		p.slowBy = time.Duration(*f.SlowBy)
	}
	p.loseAnswers += f.LoseAnswers
	p.loseWrites += f.LoseWrites
	p.mu.Unlock()
	if p.endpoints == nil {
		return
	}
	for a, e := range f.Endpoints {
		p.endpoints.Switch(a, e)
	}
}

func (p *Platform) control(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !decode(w, r, &f) {
		return
	}
	p.Switch(f)
	encode(w, http.StatusOK, struct{}{})
}

func (p *Platform) ledger(w http.ResponseWriter, _ *http.Request) {
	if p.endpoints == nil {
		encode(w, http.StatusOK, []Start{})
		return
	}
	encode(w, http.StatusOK, p.endpoints.Ledger())
}
