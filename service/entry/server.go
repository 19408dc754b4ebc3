// Package entry runs an entry instance: it connects the control state of package
// dispatch with callers, peers, endpoints and the platform.
package entry

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"crocusseam/pkg/burn"
	"crocusseam/pkg/dispatch"
	"crocusseam/pkg/document"
	"crocusseam/pkg/mailbox"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/submission"
	"crocusseam/pkg/table"
	"crocusseam/pkg/timer"
	"crocusseam/service/endpoint"
	"crocusseam/service/peer"
)

// Platform has the services of the platform that an instance uses.
type Platform interface {
	storage.Table
	storage.ObjectStore
	storage.InstanceLister
}

// Config configures a Server.
type Config struct {
	Instance    string
	Incarnation uint64
	Domain      string
	Capacity    int
	// Callers and Peers are the addresses to listen at; port 0 picks a free port.
	Callers netip.AddrPort
	Peers   netip.AddrPort
	// Platform is the client of the platform's services.
	Platform Platform
	Limits   submission.Limits
	Timing   dispatch.Timing
	// MaxBodyBytes bounds a caller's request.
	MaxBodyBytes int64
	// MaxReadBytes bounds the memory of all bodies that are being read or decoded, at least
	// three times MaxBodyBytes, and MaxConnections the callers' connections. 0 selects the
	// defaults.
	MaxReadBytes   int64
	MaxConnections int
	// MaxOpenBytes bounds the memory of the submissions that are accepted and not forgotten yet.
	MaxOpenBytes int64
	// CallersTLS and PeersTLS are nil for listeners without TLS.
	CallersTLS *tls.Config
	PeersTLS   *tls.Config
	Logger     *zap.Logger
	Seed       uint64
}

// Server is one entry instance.
type Server struct {
	config         Config
	control        *dispatch.Control
	mailbox        *mailbox.Queue[dispatch.Input]
	peerSessions   *peer.Sessions[dispatch.Message]
	runner         *endpoint.Runner
	timers         *timer.Service
	group          *errgroup.Group
	cancel         context.CancelFunc
	listener       net.Listener
	http           *http.Server
	burn           *burn.Recorder
	controlStopped chan struct{} // closed when the control state has finished a planned stop
	stopOnce       sync.Once
	stopping       atomic.Bool // a planned stop has begun
	closing        atomic.Bool // the listener for callers is closed on purpose
	connections    callerConnections
	bodies         bodyBudget
	shed           atomic.Int64  // requests and connections shed so far
	shedLoggedAt   atomic.Int64  // in nanoseconds since 1970
	exited         chan struct{} // closed when Run returns

	pendingRequests *mailbox.PendingRequests[dispatch.Handle, submission.Reply]
	status          atomic.Pointer[dispatch.Status]
}

const (
	platformCallTimeout = 3 * time.Second
	maxOutputBytes      = 1 << 20
	// Low enough that an endpoint's holder and its former holder together stay
	// within the connections that the endpoint accepts.
	maxEndpointConnections = 32
	endpointDialTimeout    = time.Second
	defaultMaxBodyBytes    = 8 << 20
	defaultMaxReadBytes    = 64 << 20
	defaultMaxConnections  = 4000
	openBytesFactor        = 4 // default of MaxOpenBytes, as a multiple of MaxReadBytes
	headerTimeout          = 5 * time.Second
	maxHeaderBytes         = 16 << 10
	stopGrace              = 3 * time.Second // for callers to close their connections, and again for the last answers
	drainPollInterval      = 20 * time.Millisecond
	statusPeriod           = 100 * time.Millisecond
)

// New creates an instance and opens its listeners. Run serves them.
func New(config Config) (*Server, error) {
	config.MaxBodyBytes = cmp.Or(config.MaxBodyBytes, defaultMaxBodyBytes)
	config.MaxReadBytes = cmp.Or(config.MaxReadBytes, max(defaultMaxReadBytes, 3*config.MaxBodyBytes))
	config.MaxOpenBytes = cmp.Or(config.MaxOpenBytes, openBytesFactor*config.MaxReadBytes)
	config.MaxConnections = cmp.Or(config.MaxConnections, defaultMaxConnections)
	s := &Server{
		config: config, mailbox: mailbox.New[dispatch.Input](), timers: timer.New(), controlStopped: make(chan struct{}),
		exited: make(chan struct{}), pendingRequests: mailbox.NewPendingRequests[dispatch.Handle, submission.Reply](),
	}
	s.bodies.max = config.MaxReadBytes
	s.connections.max, s.connections.idle = config.MaxConnections, table.New[net.Conn, time.Time]()
	listener, err := net.Listen("tcp", config.Callers.String())
	if err != nil {
		return nil, eris.Wrapf(err, "listen for callers at %s", config.Callers)
	}
	listener = boundedListener{listener}
	if config.CallersTLS != nil {
		listener = tls.NewListener(listener, config.CallersTLS)
	}
	s.listener = listener
	s.peerSessions, err = peer.Listen(peer.Config[dispatch.Message]{
		Self: dispatch.PeerID{Instance: config.Instance, Incarnation: config.Incarnation}, Domain: config.Domain,
		Listen: config.Peers, TLS: config.PeersTLS, Codec: peer.Codec[dispatch.Message]{Encode: peer.ToWire, Decode: peer.FromWire},
		Up:       func(id dispatch.PeerID) { s.deliver(dispatch.PeerUp{Peer: id}) },
		Down:     func(id dispatch.PeerID) { s.deliver(dispatch.PeerDown{Peer: id}) },
		Received: func(id dispatch.PeerID, m dispatch.Message) { s.deliver(dispatch.Received{From: id, Message: m}) },
		Logger:   config.Logger.Named("peers"),
	})
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	s.runner = endpoint.NewRunner(endpoint.Config{
		MaxConnections: maxEndpointConnections, MaxOutputBytes: maxOutputBytes, DialTimeout: endpointDialTimeout, Deliver: s.deliver,
	})
	s.burn = burn.NewRecorder(config.Instance, config.Incarnation)
	s.publishMetrics()
	s.control = dispatch.New(dispatch.Config{
		Instance: config.Instance, Incarnation: config.Incarnation, Domain: config.Domain, Capacity: config.Capacity,
		Address: s.peerSessions.Address(), Callers: s.Address(), Seed: config.Seed, Timing: config.Timing, MaxOpenBytes: config.MaxOpenBytes,
	})
	s.http = &http.Server{Handler: s.routes(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: s.noteConnection}
	return s, nil
}

// Address returns the address at which the instance listens for callers.
func (s *Server) Address() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// PeerAddress returns the address at which the instance listens for peers.
func (s *Server) PeerAddress() netip.AddrPort { return s.peerSessions.Address() }

func (s *Server) deliver(in dispatch.Input) { s.mailbox.Put(in) }

// Run serves until Stop has finished, the context ends, or a part fails.
func (s *Server) Run(ctx context.Context) error {
	defer close(s.exited)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	s.group = group
	s.cancel = cancel
	group.Go(func() error { return s.timers.Run(ctx) })
	group.Go(func() error { return s.runControl(ctx) })
	group.Go(func() error { return s.peerSessions.Run(ctx) })
	group.Go(s.serveCallers)
	group.Go(func() error { return s.saveBurnPeriodically(ctx) })
	group.Go(func() error {
		s.awaitStop(ctx)
		cancel()
		return nil
	})
	err := group.Wait()
	s.runner.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (s *Server) serveCallers() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || s.closing.Load() {
		return nil
	}
	return eris.Wrap(err, "serve callers")
}

// drainConnections stops accepting connections and waits until the callers have
// closed theirs, which every answer now asks them to do. Closing idle connections
// here could cut off a request that a caller is just sending.
func (s *Server) drainConnections(ctx context.Context) {
	s.closing.Store(true)
	_ = s.listener.Close()
	poll := s.timers.Every(drainPollInterval)
	defer poll.Stop()
	for s.connections.count() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
		}
	}
}

// awaitStop waits for the end of the control state's planned stop, lets the last
// answers reach their callers, and shuts the callers' server down. If the context
// ends first, it closes the server at once.
func (s *Server) awaitStop(ctx context.Context) {
	select {
	case <-ctx.Done():
		_ = s.http.Close()
	case <-s.controlStopped:
		grace, cancel := context.WithTimeout(ctx, stopGrace)
		defer cancel()
		s.drainConnections(grace)
		last, cancelLast := context.WithTimeout(context.WithoutCancel(ctx), stopGrace)
		defer cancelLast()
		_ = s.http.Shutdown(last)
	}
}

// Stop begins a planned stop and waits until Run has returned or the context ends.
func (s *Server) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	s.deliver(dispatch.Stop{})
	select {
	case <-s.exited:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "stop the instance")
	}
}

// Crash ends the instance at once, as if its process had been killed.
func (s *Server) Crash() {
	if s.cancel != nil {
		s.cancel()
	}
}

// runControl runs in the only goroutine that uses the control state. Each step
// handles all inputs that are queued.
func (s *Server) runControl(ctx context.Context) error {
	wake := s.timers.Once()
	defer wake.Stop()
	var statusDue time.Time
	for {
		inputs := s.mailbox.Take()
		now := s.timers.Now()
		effects, next := s.control.Step(now, inputs)
		wake.WakeAt(next)
		for _, e := range effects {
			s.perform(ctx, e)
		}
		if !now.Before(statusDue) {
			statusDue = now.Add(statusPeriod)
			status := s.control.Status()
			s.status.Store(&status)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.mailbox.Signal:
		case <-wake.C:
		}
	}
}

// perform executes an effect. It must not block, because it runs in the goroutine
// of the control state.
func (s *Server) perform(ctx context.Context, e dispatch.Effect) {
	switch m := e.(type) {
	case dispatch.Reply:
		s.pendingRequests.Answer(m.Handle, m.Reply)
	case dispatch.Start:
		attempt := s.runner.Prepare(&m.PlaceRequest)
		s.group.Go(func() error {
			stop := context.AfterFunc(ctx, func() { s.runner.Interrupt(m.PlaceRequest.Attempt) })
			defer stop()
			s.runner.Run(attempt, &m.PlaceRequest)
			return nil
		})
	case dispatch.Interrupt:
		s.runner.Interrupt(m.Attempt)
	case dispatch.Send:
		s.peerSessions.Send(m.Peer, m.Message)
	case dispatch.Connect:
		s.peerSessions.SetPeers(m.Peers)
	case dispatch.Observation:
		s.burn.Observe(m.Team, m.Class, m.Elapsed, m.Met, s.timers.Now())
	case dispatch.Stopped:
		s.stopOnce.Do(func() { close(s.controlStopped) })
	default:
		s.group.Go(func() error {
			s.callPlatform(ctx, e)
			return nil
		})
	}
}

func (s *Server) callPlatform(ctx context.Context, e dispatch.Effect) {
	ctx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	p := s.config.Platform
	switch m := e.(type) {
	case dispatch.Commit:
		version, err := p.Commit(ctx, m.Writes)
		s.logPlatformError("commit", err)
		s.deliver(dispatch.CommitDone{ID: m.ID, Version: version, Err: err})
	case dispatch.Get:
		row, err := p.Get(ctx, m.Key)
		s.logPlatformError("get", err)
		s.deliver(dispatch.GetDone{ID: m.ID, Row: row, Err: err})
	case dispatch.PutObject:
		err := p.Put(ctx, m.Name, m.Content)
		s.logPlatformError("put", err)
		s.deliver(dispatch.ObjectDone{ID: m.ID, Err: err})
	case dispatch.GetObject:
		content, err := p.GetObject(ctx, m.Name)
		s.logPlatformError("get object", err)
		s.deliver(dispatch.ObjectDone{ID: m.ID, Content: content, Err: err})
	case dispatch.Scan:
		rows, err := p.Scan(ctx, m.Prefix, dispatch.ScanLimit)
		s.logPlatformError("scan", err)
		s.deliver(dispatch.ScanDone{ID: m.ID, Rows: rows, Err: err})
	case dispatch.List:
		list, err := p.Instances(ctx)
		s.logPlatformError("list", err)
		s.deliver(dispatch.ListDone{Instances: list, Err: err})
	}
}

func (s *Server) logPlatformError(step string, err error) {
	var conflict *storage.ErrConflict
	if err != nil && !errors.As(err, &conflict) && !errors.Is(err, context.Canceled) {
		s.config.Logger.Named("platform").Warn("call failed", zap.String("Step", step), zap.Error(err))
	}
}

// abandon drops a request whose caller has closed the connection.
func (s *Server) abandon(h dispatch.Handle) {
	if s.pendingRequests.Forget(h) {
		s.deliver(dispatch.Abandon{Handle: h})
	}
}

// Status returns the latest status that runControl published.
func (s *Server) Status() dispatch.Status {
	if status := s.status.Load(); status != nil {
		return *status
	}
	return dispatch.Status{}
}

// Traffic returns the counters of the traffic with peers.
func (s *Server) Traffic() *peer.Stats { return &s.peerSessions.Stats }

// activeDocument returns the document that the instance serves, or nil before the
// first one.
func (s *Server) activeDocument() *document.Document {
	if status := s.status.Load(); status != nil {
		return status.Document
	}
	return nil
}
