package standin

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"crocusseam/pkg/model"
	"crocusseam/pkg/placement"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/workload"
	"crocusseam/platform"
)

// WorkersConfig holds the parameters of Workers.
type WorkersConfig struct {
	Service string
	Lease   time.Duration
	Domains []model.Domain
	// LateStartExcused is that of model.Config.
	LateStartExcused func(*model.Endpoint, workload.Token) bool
	// Logger, if set, logs the starts that workers carry out and the ends that they forget.
	Logger *zap.Logger
}

// Workers are stand-ins of endpoints with a capacity: the simulated endpoints of
// package model in real time, served over the platform's HTTP calls.
type Workers struct {
	mu          sync.Mutex
	world       *model.World
	began       time.Time
	listeners   []net.Listener
	connections map[net.Conn]life      // open ones
	entries     map[string]storage.Row // discovery entries as last listed, by name
	version     storage.Version        // of the last change of an entry
}

// life is an incarnation of a worker, whose connections end with it.
type life struct {
	worker *model.Endpoint
	began  time.Time
}

func (l life) goesOn() bool {
	began, up := l.worker.Life()
	return up && began.Equal(l.began)
}

type lifeKey struct{} // of a connection's life in its context

// workersTick is the period in which the workers' world catches up with real time.
const workersTick = time.Millisecond

// NewWorkers listens at a loopback address for each endpoint.
func NewWorkers(config WorkersConfig) (*Workers, error) {
	timing := placement.DefaultTiming()
	timing.Lease = config.Lease
	world := model.Config{Service: config.Service, Timing: timing, LateStartExcused: config.LateStartExcused}
	if config.Logger != nil {
		logWorkers(&world, config.Logger)
	}
	w := &Workers{began: time.Now(), connections: make(map[net.Conn]life), entries: make(map[string]storage.Row), world: model.New(world)}
	w.world.Began = w.began
	for _, d := range config.Domains {
		for _, e := range d.Endpoints {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return nil, eris.Wrap(err, "listen for a worker's stand-in")
			}
			w.listeners = append(w.listeners, listener)
			x := w.world.AddEndpoint(d.Name, e)
			x.Info.Address = listener.Addr().(*net.TCPAddr).AddrPort()
		}
	}
	return w, nil
}

// logWorkers logs what the workers of a world start and forget, with their incarnations, which
// requests do not name.
func logWorkers(config *model.Config, logger *zap.Logger) {
	config.Started = func(x *model.Endpoint, m *placement.Start) {
		logger.Info("run started", zap.String("Endpoint", x.Info.ID.Name), zap.Int64("Born", x.Info.ID.Born), zap.Uint64("Token", uint64(m.Token)),
			zap.String("Job", string(m.Run.Task.Job)), zap.String("Task", m.Run.Task.Name()), zap.Int("Run", m.Run.Number))
	}
	config.Acknowledged = func(x *model.Endpoint, token workload.Token, ended []workload.EndedRun) {
		for i := range ended {
			id := ended[i].Run
			logger.Info("end acknowledged", zap.String("Endpoint", x.Info.ID.Name), zap.Int64("Born", x.Info.ID.Born), zap.Uint64("Token", uint64(token)),
				zap.String("Job", string(id.Task.Job)), zap.String("Task", id.Task.Name()), zap.Int("Run", id.Number), zap.Int64("Sequence", ended[i].Sequence), zap.Stringer("How", ended[i].How))
		}
	}
}

// Run serves calls until the context ends.
func (w *Workers) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for i, l := range w.listeners {
		x := w.world.Endpoints[i]
		server := &http.Server{
			Handler: w.handler(x), ReadHeaderTimeout: time.Second, ConnState: w.forget,
			ConnContext: func(ctx context.Context, c net.Conn) context.Context {
				return context.WithValue(ctx, lifeKey{}, w.accept(x, c))
			},
		}
		group.Go(func() error {
			stop := context.AfterFunc(ctx, func() { _ = server.Close() })
			defer stop()
			if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				return eris.Wrapf(err, "serve a worker's stand-in at %s", l.Addr())
			}
			return nil
		})
	}
	group.Go(func() error {
		for ctx.Err() == nil {
			w.With(func(*model.World) {})
			sleep(workersTick)
		}
		return nil
	})
	return group.Wait()
}

// accept notes a connection to a worker as one of its present life, and resets it if the worker
// is down.
func (w *Workers) accept(x *model.Endpoint, c net.Conn) (l life) {
	w.With(func(*model.World) {
		l.worker = x
		l.began, _ = x.Life()
		w.connections[c] = l
	})
	return l
}

func (w *Workers) forget(c net.Conn, s http.ConnState) {
	if s != http.StateClosed {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.connections, c)
}

// resetFormer resets the connections of lives that have ended.
func (w *Workers) resetFormer() {
	for c, l := range w.connections {
		if l.goesOn() {
			continue
		}
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // the peer may have closed it
		}
		_ = c.Close()
		delete(w.connections, c)
	}
}

// inLife is With, for a request over a connection of a worker. It ends the request without an
// answer if the connection's life has ended.
func (w *Workers) inLife(r *http.Request, do func(*model.World)) {
	l := r.Context().Value(lifeKey{}).(life)
	goesOn := false
	w.With(func(m *model.World) {
		if goesOn = l.goesOn(); goesOn {
			do(m)
		}
	})
	if !goesOn {
		panic(http.ErrAbortHandler)
	}
}

// With lets the workers' world catch up with real time, and calls do with it while no
// one else uses it.
func (w *Workers) With(do func(*model.World)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if behind := time.Since(w.began) - w.world.Elapsed(); behind > 0 {
		w.world.Run(behind)
	}
	do(w.world)
	w.resetFormer()
}

// Expect adds a job to the workers' world, which then knows the resources and run
// times of its tasks. A start order for a task of any other job is a breach.
func (w *Workers) Expect(o *model.Outcome) {
	w.With(func(m *model.World) { m.Jobs[o.Job.ID] = o })
}

// Entries returns the discovery entries of the workers.
func (w *Workers) Entries() []storage.Row {
	var rows []storage.Row
	w.With(func(m *model.World) {
		for _, x := range m.Endpoints {
			if !x.Listed {
				continue
			}
			row := storage.Row{Key: platform.EndpointPrefix + x.Info.ID.Name, Value: platform.EncodeEndpoint(x.Info)}
			if old, ok := w.entries[row.Key]; ok && bytes.Equal(old.Value, row.Value) {
				row.Version = old.Version
			} else {
				w.version++
				row.Version = w.version
				w.entries[row.Key] = row
			}
			rows = append(rows, row)
		}
	})
	return rows
}

// Addresses returns the addresses of the workers.
func (w *Workers) Addresses() []netip.AddrPort {
	var list []netip.AddrPort
	for _, l := range w.listeners {
		list = append(list, l.Addr().(*net.TCPAddr).AddrPort())
	}
	return list
}

func (w *Workers) handler(x *model.Endpoint) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.PathStart, func(out http.ResponseWriter, r *http.Request) {
		w.order(out, r, x, func(body []byte) (placement.OrderOutcome, error) {
			m, err := platform.DecodeStart(body)
			if err != nil {
				return placement.Malformed, err
			}
			m.Endpoint = x.Info.ID
			return x.Start(m), nil
		})
	})
	mux.HandleFunc(platform.PathStop, func(out http.ResponseWriter, r *http.Request) {
		w.order(out, r, x, func(body []byte) (placement.OrderOutcome, error) {
			m, err := platform.DecodeStop(body)
			if err != nil {
				return placement.Malformed, err
			}
			m.Endpoint = x.Info.ID
			return x.Stop(m), nil
		})
	})
	mux.HandleFunc(platform.PathReport, func(out http.ResponseWriter, r *http.Request) { w.report(out, r, x) })
	return mux
}

// order reads the body of an order, carries the order out in the workers' world and
// answers with the outcome. An order that is carried out late gets no answer, and its
// connection stays open.
func (w *Workers) order(out http.ResponseWriter, r *http.Request, x *model.Endpoint, do func([]byte) (placement.OrderOutcome, error)) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBody))
	if err != nil {
		return
	}
	var status int
	var answer []byte
	late, unanswered := false, false
	w.inLife(r, func(m *model.World) {
		outcome := placement.Misdirected
		if platform.TargetEndpoint(r.Header) == x.Info.ID.Name {
			if late = x.OrderIsLate(); late {
				m.After(x.LateBy, func() { _, _ = do(body) }) // nobody waits for the outcome
				return
			}
			outcome, err = do(body)
		}
		unanswered = outcome == placement.Unanswered || x.AnswerIsLost()
		status, answer = platform.EncodeOutcome(outcome, x.Clock())
	})
	switch {
	case late:
		<-r.Context().Done()
	case err != nil:
		write(out, http.StatusBadRequest, nil)
	case unanswered:
		panic(http.ErrAbortHandler)
	default:
		write(out, status, answer)
	}
}

// report answers a report request as soon as a run has ended or the wait is over.
func (w *Workers) report(out http.ResponseWriter, r *http.Request, x *model.Endpoint) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBody))
	if err != nil {
		return
	}
	q, err := platform.DecodeReportRequest(body)
	if err != nil {
		write(out, http.StatusBadRequest, nil)
		return
	}
	ended := make(chan struct{})
	outcome := placement.Misdirected
	w.inLife(r, func(*model.World) {
		if platform.TargetEndpoint(r.Header) == x.Info.ID.Name {
			outcome = x.AcknowledgeAndRenew(q.Token, q.Acknowledged, q.Until)
		}
		if outcome == placement.Accepted {
			x.WhenEnded(q.Wait, func() { close(ended) })
		}
	})
	if outcome == placement.Unanswered {
		panic(http.ErrAbortHandler)
	}
	if outcome == placement.Accepted {
		select {
		case <-ended:
		case <-r.Context().Done():
			return
		}
	}
	status, answer := http.StatusOK, []byte(nil)
	w.inLife(r, func(*model.World) {
		if outcome != placement.Accepted {
			status, answer = platform.EncodeOutcome(outcome, x.Clock())
			return
		}
		report := x.Report()
		answer = platform.EncodeReport(x.Info.ID.Born, &report)
	})
	write(out, status, answer)
}

// write answers with a status and, unless it is empty, a body.
func write(out http.ResponseWriter, status int, body []byte) {
	if len(body) > 0 {
		out.Header().Set("Content-Type", "application/json")
	}
	out.WriteHeader(status)
	_, _ = out.Write(body)
}
