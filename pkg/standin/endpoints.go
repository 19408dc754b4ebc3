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

// Work is the payload of a task at a stand-in of an endpoint: the run time of the task
// at speed 1.
type Work struct {
	Work document.Duration
}

// EndpointConfig describes one endpoint.
type EndpointConfig struct {
	Address netip.AddrPort // port 0 picks a free port
	Domain  string
	Slots   int
	// Speed divides the run times.
	Speed float64
}

// EndpointFaults are the faults of one endpoint. Omitted fields leave their faults as
// they are.
type EndpointFaults struct {
	Failing *bool    `json:",omitempty"`
	Leaving *bool    `json:",omitempty"`
	Speed   *float64 `json:",omitempty"`
	// StragglePercent is the percentage of tasks that take straggleFactor times as
	// long.
	StragglePercent *float64 `json:",omitempty"`
}

// Start is an entry of the endpoints' ledger: the start of one task.
type Start struct {
	Team     string
	ID       string `json:"Id"`
	Task     string
	Try      int
	Token    string
	Endpoint netip.AddrPort
	At       time.Time
	// AfterLeaving is how long the endpoint had been leaving at the start.
	AfterLeaving document.Duration `json:",omitempty"`
}

// Endpoint is the stand-in of one endpoint that is used through its slots.
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

// Endpoints holds the stand-ins of all endpoints and the ledger of their starts.
type Endpoints struct {
	list []*Endpoint

	mu      sync.Mutex
	ledger  []Start
	refused int64
}

// NewEndpoints listens at the addresses of the endpoints.
func NewEndpoints(configs []EndpointConfig) (*Endpoints, error) {
	group := &Endpoints{}
	overshoot()
	for _, c := range configs {
		listener, err := net.Listen("tcp", c.Address.String())
		if err != nil {
			return nil, eris.Wrapf(err, "listen for an endpoint's stand-in at %s", c.Address)
		}
		e := &Endpoint{config: c, listener: listener, group: group, speed: c.Speed}
		e.config.Address = listener.Addr().(*net.TCPAddr).AddrPort()
		mux := http.NewServeMux()
		mux.HandleFunc(endpoint.TaskPath, e.task)
		e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
		group.list = append(group.list, e)
	}
	return group, nil
}

// Configs returns the descriptions of the endpoints, with the addresses at which they
// listen.
func (a *Endpoints) Configs() []EndpointConfig {
	configs := make([]EndpointConfig, len(a.list))
	for i, e := range a.list {
		configs[i] = e.config
	}
	return configs
}

// Run serves tasks until the context ends.
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

// Refused returns the number of tasks that were refused because all slots were busy.
func (a *Endpoints) Refused() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refused
}

// discoveryList returns the endpoints as discovery shows them: leaving, if they began
// to leave before the given time.
func (a *Endpoints) discoveryList(before time.Time) []storage.ListedInstance {
	list := make([]storage.ListedInstance, len(a.list))
	for i, e := range a.list {
		e.mu.Lock()
		list[i] = storage.ListedInstance{Address: e.config.Address, Leaving: !e.leavingSince.IsZero() && e.leavingSince.Before(before)}
		e.mu.Unlock()
	}
	return list
}

// SetFaults sets the faults of the endpoint at an address.
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
	failTime        = 2 * time.Millisecond // until a failing task ends
	straggleFactor  = 5
	maxPayloadBytes = 16 << 20
)

// task runs one task by waiting. It answers with the task's own id, so that a caller
// notices a result that belongs to another task.
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

// occupySlot occupies a slot for a task and returns how long the task takes and
// whether it fails, or not ok if all slots are busy.
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

// recordStart adds a start to the ledger.
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
