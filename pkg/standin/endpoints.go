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
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"crocusseam/pkg/document"
	"crocusseam/pkg/storage"
	"crocusseam/service/endpoint"
)

// Work is the payload that the stand-ins of endpoints understand: how long the
// task runs at speed 1.
type Work struct {
	Work document.Duration
}

// EndpointConfig describes one endpoint.
type EndpointConfig struct {
	Address netip.AddrPort // port 0 picks one
	Domain  string
	Slots   int
	// Speed divides the run times.
	Speed float64
}

// EndpointFaults are the faults of one endpoint. Fields that are left out stay
// as they are.
type EndpointFaults struct {
	Failing *bool    `json:",omitempty"`
	Leaving *bool    `json:",omitempty"`
	Speed   *float64 `json:",omitempty"`
	// StragglePercent is the share of tasks that take five times as long.
	StragglePercent *float64 `json:",omitempty"`
}

// Start is a line of the endpoints' ledger.
type Start struct {
	Team     string
	ID       string `json:"Id"`
	Task     string
	Try      int
	Token    string
	Endpoint netip.AddrPort
	At       time.Time
	// AfterLeaving is how long the endpoint had been leaving.
	AfterLeaving document.Duration `json:",omitempty"`
}

// Endpoint is the stand-in of one endpoint.
type Endpoint struct {
	config   EndpointConfig
	listener net.Listener
	server   *http.Server
	group    *Endpoints

	mu              sync.Mutex
	running         int
	peak            int
	failing         bool
	leavingSince    time.Time
	speed           float64
	stragglePercent float64
}

// Endpoints is the stand-in of all endpoints, with their common ledger.
type Endpoints struct {
	list []*Endpoint

	mu      sync.Mutex
	ledger  []Start
	refused int64
}

// NewEndpoints binds the addresses of the endpoints.
func NewEndpoints(configs []EndpointConfig) (*Endpoints, error) {
	all := &Endpoints{}
	overshoot()
	for _, c := range configs {
		listener, err := net.Listen("tcp", c.Address.String())
		if err != nil {
			return nil, eris.Wrapf(err, "listen for an endpoint's stand-in at %s", c.Address)
		}
		e := &Endpoint{config: c, listener: listener, group: all, speed: c.Speed}
		e.config.Address = listener.Addr().(*net.TCPAddr).AddrPort()
		mux := http.NewServeMux()
		mux.HandleFunc(endpoint.TaskPath, e.task)
		e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
		all.list = append(all.list, e)
	}
	return all, nil
}

// Configs returns the endpoints with the addresses that they listen at.
func (a *Endpoints) Configs() []EndpointConfig {
	configs := make([]EndpointConfig, len(a.list))
	for i, e := range a.list {
		configs[i] = e.config
	}
	return configs
}

// Run serves until the context ends.
func (a *Endpoints) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, e := range a.list {
		group.Go(func() error {
			stop := context.AfterFunc(ctx, func() { _ = e.server.Close() })
			defer stop()
			if err := e.server.Serve(e.listener); !errors.Is(err, http.ErrServerClosed) {
				return eris.Wrapf(err, "serve the endpoint's stand-in at %s", e.config.Address)
			}
			return nil
		})
	}
	return group.Wait()
}

// Ledger returns every start so far.
func (a *Endpoints) Ledger() []Start {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Start(nil), a.ledger...)
}

// Refused returns how many tasks were refused because all slots were busy.
func (a *Endpoints) Refused() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refused
}

func (a *Endpoints) discoveryList(before time.Time) []storage.ListedInstance {
	list := make([]storage.ListedInstance, len(a.list))
	for i, e := range a.list {
		e.mu.Lock()
		list[i] = storage.ListedInstance{Address: e.config.Address, Leaving: !e.leavingSince.IsZero() && e.leavingSince.Before(before)}
		e.mu.Unlock()
	}
	return list
}

// Switch switches the faults of the endpoint at an address.
func (a *Endpoints) SetFaults(address netip.AddrPort, f EndpointFaults) {
	for _, e := range a.list {
		if e.config.Address == address {
			e.setFaults(f)
		}
	}
}

func (e *Endpoint) setFaults(f EndpointFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Failing != nil {
		e.failing = *f.Failing
	}
	if f.Speed != nil {
		e.speed = *f.Speed
	}
	if f.StragglePercent != nil {
		e.stragglePercent = *f.StragglePercent
	}
	if f.Leaving != nil {
		e.leavingSince = time.Time{}
		if *f.Leaving {
			e.leavingSince = time.Now()
		}
	}
}

const (
	failTime        = 2 * time.Millisecond
	straggleFactor  = 5
	maxPayloadBytes = 16 << 20
)

// task runs one task by waiting. It answers with the task's own id, so that a
// caller can tell a result that was meant for another.
func (e *Endpoint) task(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxPayloadBytes))
	if err != nil {
		return
	}
	var work Work
	if err := json.Unmarshal(body, &work); err != nil {
		http.Error(w, "the payload has no Work: "+err.Error(), http.StatusBadRequest)
		return
	}
	wait, failing, ok := e.occupySlot(time.Duration(work.Work))
	if !ok {
		http.Error(w, "all slots are busy", http.StatusServiceUnavailable)
		return
	}
	defer e.releaseSlot()
	e.recordStart(r)
	select {
	case <-r.Context().Done():
		return
	case <-time.After(wait - overshoot()):
	}
	if failing {
		http.Error(w, "the task failed", http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(w, r.Header.Get(endpoint.HeaderID)+"/"+r.Header.Get(endpoint.HeaderTask))
}

func (e *Endpoint) occupySlot(work time.Duration) (wait time.Duration, failing, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= e.config.Slots {
		e.group.mu.Lock()
		e.group.refused++
		e.group.mu.Unlock()
		return 0, false, false
	}
	e.running++
	e.peak = max(e.peak, e.running)
	if e.failing {
		return failTime, true, true
	}
	wait = time.Duration(float64(work) / e.speed)
	if rand.Float64()*100 < e.stragglePercent {
		wait *= straggleFactor
	}
	return wait, false, true
}

func (e *Endpoint) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *Endpoint) recordStart(r *http.Request) {
	h := r.Header
	try, _ := strconv.Atoi(h.Get(endpoint.HeaderTry))
	s := Start{
		Team: h.Get(endpoint.HeaderTeam), ID: h.Get(endpoint.HeaderID), Task: h.Get(endpoint.HeaderTask),
		Try: try, Token: h.Get(endpoint.HeaderToken), Endpoint: e.config.Address, At: time.Now(),
	}
	e.mu.Lock()
	if !e.leavingSince.IsZero() {
		s.AfterLeaving = document.Duration(s.At.Sub(e.leavingSince))
	}
	e.mu.Unlock()
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	e.group.ledger = append(e.group.ledger, s)
}
