// Package gate runs an instance on the users' platform: it connects the control
// state of package placement to callers, peers, endpoints and the store.
package gate

import (
	"cmp"
	"context"
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

	"crocusseam/pkg/instance"
	"crocusseam/pkg/mailbox"
	"crocusseam/pkg/placement"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/timer"
	"crocusseam/platform"
	"crocusseam/service/ingress"
	"crocusseam/service/peer"
)

// Config constructs a Server.
type Config struct {
	Self   instance.ID
	Domain string
	Share  int // relative size of the instance
	// FarFactor is the factor by which a task runs longer away from its data.
	FarFactor float64
	// OverloadControl switches overload control on.
	OverloadControl bool
	// LinkRate is the rate of the instance's network uplink in bytes per second; 0
	// is unlimited.
	LinkRate float64
	// ColdOver and ColdSlack are the settings for cold endpoints.
	ColdOver  float64
	ColdSlack float64
	// AdaptivePlacement is the setting of that name.
	AdaptivePlacement bool
	// Retention is how long the outcome of a stored job can be asked for.
	Retention time.Duration
	// EvacuationBound is the time within which nothing may start any more in a failure domain that
	// the operator evacuates; see placement.Config.
	EvacuationBound time.Duration
	// MaxStoredBytes and MaxOpenBytes bound the estimated memory of open stored and of open
	// ephemeral jobs; 0 means no limit.
	MaxStoredBytes int64
	MaxOpenBytes   int64
	// MaxRunBytes bounds the memory of the runs that the instance keeps; 0 means no limit. See placement.Config.
	MaxRunBytes int64
	// Callers, Ready, Peers and Metrics are the addresses to listen at.
	Callers netip.AddrPort
	Ready   netip.AddrPort
	Peers   netip.AddrPort
	Metrics netip.AddrPort
	// Advertised is the address at which other instances reach Peers; by default it
	// is the listening address.
	Advertised netip.AddrPort
	// Limits bounds what callers may use; the zero value selects those of a machine of 512 MB.
	Limits ingress.Limits
	Store  *platform.Store
	Timing placement.Timing
	// Timers is the process's timer service; the server runs it.
	Timers *timer.Service
	Logger *zap.Logger
	// LinesLeftOut returns the number of dropped log lines.
	LinesLeftOut func() int64
}

// Server runs one instance.
type Server struct {
	config    Config
	control   *placement.Control
	mailbox   *mailbox.Queue[placement.Input]
	links     *peer.Sessions[placement.Envelope]
	endpoints *platform.Endpoints
	orders    *orderQueues
	timers    *timer.Service
	group     *errgroup.Group
	logger    *zap.Logger
	metrics   *metrics

	callers         net.Listener
	ready           net.Listener
	metricsListener net.Listener
	http            *http.Server

	leaving    atomic.Bool
	stopped    chan struct{}
	stopOnce   sync.Once
	overview   atomic.Pointer[placement.Overview]
	ratings    atomic.Pointer[[]placement.EndpointRating]
	routes     atomic.Pointer[routeTable]
	configured chan struct{} // closed when the first configuration is adopted
	adoptMutex sync.Mutex
	feedCall   atomic.Pointer[context.CancelCauseFunc] // ends the present call of the feed of the operator's rows
	watches    map[string]*watch                       // owned by the control goroutine
	waiting    *waitingCallers
	idle       *idleConnections
	budget     *ingress.Budget
	replies    *mailbox.PendingRequests[placement.Handle, placement.Answer]
}

const (
	headerTimeout    = 3 * time.Second // until a configuration says otherwise
	maxHeaderBytes   = 16 << 10
	maxBodyBytes     = 256 << 10
	shutdownTimeout  = 300 * time.Millisecond // for answers still being sent at the end of a planned stop
	lastRequestsTime = 100 * time.Millisecond // to read what has arrived before that end
	// maxUnreadTime is how much longer requests that have arrived are waited for, unreadCheckPeriod
	// apart.
	maxUnreadTime     = 300 * time.Millisecond
	budgetSweepPeriod = 250 * time.Millisecond
	unreadCheckPeriod = 5 * time.Millisecond
	orderConnections  = 8 // to one endpoint, for concurrent reports and orders
	smallJobsShare    = 5 // see placement.Config
	overviewPeriod    = 100 * time.Millisecond
	orderTimeout      = time.Second // the control state repeats an order sooner, and accepts a late answer
)

// New creates an instance and binds its addresses.
func New(config Config) (*Server, error) {
	s := &Server{
		config: config, mailbox: mailbox.New[placement.Input](), timers: config.Timers, stopped: make(chan struct{}), configured: make(chan struct{}),
		logger: config.Logger, waiting: newWaitingCallers(), idle: newIdleConnections(), replies: mailbox.NewPendingRequests[placement.Handle, placement.Answer](), watches: make(map[string]*watch),
	}
	if config.Limits == (ingress.Limits{}) {
		config.Limits = ingress.LimitsOf(0, 0)
	}
	s.budget = ingress.New(config.Limits, config.Timers.Now, ingress.Log(config.Logger))
	s.metrics = newMetrics(s)
	s.endpoints = platform.NewEndpoints(platform.EndpointsConfig{Connections: orderConnections, OrderTimeout: orderTimeout, ReportTimeout: config.Timing.AnswerTimeout, Traffic: s.metrics.countTraffic})
	config.Store.CountTraffic(s.metrics.countTraffic)
	for _, l := range []struct {
		name    string
		address netip.AddrPort
		to      *net.Listener
	}{{"readiness", config.Ready, &s.ready}, {"metrics", config.Metrics, &s.metricsListener}} {
		listener, err := net.Listen("tcp", l.address.String())
		if err != nil {
			return nil, eris.Wrapf(err, "listen for %s at %s", l.name, l.address)
		}
		*l.to = listener
	}
	callers, err := s.budget.Listen(context.Background(), config.Callers, refusalWithoutRequest())
	if err != nil {
		return nil, err
	}
	s.callers = callers
	s.links, err = peer.Listen(peer.Config[placement.Envelope]{
		Self: config.Self, Domain: config.Domain, Listen: config.Peers, Codec: peer.PlacementCodec(),
		Up:       func(id instance.ID) { s.deliver(placement.PeerUp{Peer: id}) },
		Down:     func(id instance.ID) { s.deliver(placement.PeerDown{Peer: id}) },
		Received: func(id instance.ID, m placement.Envelope) { s.deliver(placement.Received{From: id, Envelope: m}) },
		Logger:   config.Logger.Named("peers"),
	})
	if err != nil {
		return nil, err
	}
	advertised := config.Advertised
	if !advertised.IsValid() {
		advertised = s.links.Address()
	}
	s.control = placement.New(placement.Config{
		OverloadControl: config.OverloadControl, AdaptivePlacement: config.AdaptivePlacement,
		Self: config.Self, Domain: config.Domain, Address: advertised, Share: config.Share, FarFactor: config.FarFactor, Retention: config.Retention, LinkRate: config.LinkRate,
		MaxStoredBytes: config.MaxStoredBytes, MaxOpenBytes: config.MaxOpenBytes, MaxRunBytes: config.MaxRunBytes, SmallJobsShare: smallJobsShare,
		ColdOver: config.ColdOver, ColdSlack: config.ColdSlack,
		EvacuationBound: config.EvacuationBound, Seed: config.Self.Incarnation, Timing: config.Timing,
	})
	s.http = &http.Server{Handler: s.callersHandler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnContext: withConnection, ConnState: s.noteConnection}
	return s, nil
}

// Address returns the address that callers reach.
func (s *Server) Address() netip.AddrPort { return s.callers.Addr().(*net.TCPAddr).AddrPort() }

func (s *Server) deliver(in placement.Input) { s.mailbox.Put(in) }

// Run serves until a planned stop has finished, the context ends, or one of its
// goroutines fails.
func (s *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	s.group, s.orders = group, newOrderQueues(group)
	group.Go(func() error { return s.timers.Run(ctx) })
	group.Go(func() error { return s.runControl(ctx) })
	group.Go(func() error { return s.links.Run(ctx) })
	group.Go(func() error { return s.followConfiguration(ctx) })
	group.Go(func() error { return s.followEndpoints(ctx) })
	group.Go(func() error { return serve(s.http, s.callers) })
	group.Go(func() error { return s.sweepBudget(ctx) })
	group.Go(func() error { return serveUntil(ctx, s.readyHandler(), s.ready) })
	group.Go(func() error { return serveUntil(ctx, s.metrics.handler(), s.metricsListener) })
	group.Go(func() error {
		defer cancel()
		s.awaitStop(ctx)
		return nil
	})
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// sweepBudget ends requests and connections whose time is over.
func (s *Server) sweepBudget(ctx context.Context) error {
	for s.timers.Sleep(ctx, budgetSweepPeriod) {
		s.budget.Sweep()
	}
	return nil
}

// noteConnection follows the state of a caller's connection.
func (s *Server) noteConnection(c net.Conn, state http.ConnState) {
	s.idle.note(c, state)
	s.budget.Note(c, state)
}

func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "serve at %s", listener.Addr())
	}
	return nil
}

// serveUntil serves a small internal listener until the context ends.
func serveUntil(ctx context.Context, handler http.Handler, listener net.Listener) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return serve(server, listener)
}

// awaitStop waits for the end of a planned stop, then shuts the callers' listener
// down so that the last answers reach their callers.
func (s *Server) awaitStop(ctx context.Context) {
	select {
	case <-ctx.Done():
		_ = s.http.Close()
	case <-s.stopped:
		s.readLastRequests(ctx)
		last, cancel := context.WithTimeout(ctx, shutdownTimeout)
		defer cancel()
		if err := s.http.Shutdown(last); err != nil {
			s.logger.Warn("connections cut at the end of a planned stop", zap.Error(err))
		}
	}
}

// readLastRequests waits until what has arrived before the end of a planned stop is read, and
// refused: Shutdown closes idle connections, also those with a request that the process, short of
// processor time, has not read yet.
func (s *Server) readLastRequests(ctx context.Context) {
	s.timers.Sleep(ctx, lastRequestsTime)
	for end := s.timers.Now().Add(maxUnreadTime); s.idle.anyUnread() && s.timers.Now().Before(end); {
		if !s.timers.Sleep(ctx, unreadCheckPeriod) {
			return
		}
	}
}

// Stop begins a planned stop.
func (s *Server) Stop() {
	s.leaving.Store(true)
	s.deliver(placement.Stop{})
}

// runControl is the one goroutine that owns the control state.
func (s *Server) runControl(ctx context.Context) error {
	wake := s.timers.Once()
	defer wake.Stop()
	var overviewDue time.Time
	for {
		inputs := s.mailbox.Take()
		now := s.timers.SinceBoot()
		effects, next := s.control.Step(now, inputs)
		s.budget.SetJobs(s.control.JobMemory())
		for _, e := range effects {
			s.perform(ctx, e)
		}
		if !now.Before(overviewDue) {
			overviewDue = now.Add(overviewPeriod)
			o := s.control.Overview()
			s.overview.Store(&o)
			r := s.control.EndpointRatings()
			s.ratings.Store(&r)
		}
		wake.WakeAt(s.timers.Now().Add(next.Sub(now)))
		select {
		case <-ctx.Done():
			return nil
		case <-s.mailbox.Signal:
		case <-wake.C:
		}
	}
}

// perform performs an effect without blocking the control goroutine.
func (s *Server) perform(ctx context.Context, e placement.Effect) {
	switch m := e.(type) {
	case placement.LogEvent:
		s.logger.Log(m.Level, m.Event, m.Fields...)
	case placement.Reply:
		s.replies.Answer(m.Handle, m.Answer)
	case placement.Send:
		s.links.Send(m.Peer, m.Envelope)
	case placement.Connect:
		s.links.SetPeers(m.Peers)
	case placement.DropSession:
		s.links.Drop(m.Peer)
	case placement.Watch:
		s.startWatch(ctx, m)
	case placement.Acknowledge:
		s.acknowledge(m)
	case placement.Unwatch:
		s.endWatch(m.Endpoint.Name)
	case placement.CheckCallers:
		s.checkCallers()
	case placement.Finished:
		s.metrics.recordLatency(m)
	case placement.Stopped:
		s.stopOnce.Do(func() { close(s.stopped) })
	case placement.Start:
		s.order(ctx, orderTarget{m.Endpoint, m.Address}, func(ctx context.Context) { s.orderStart(ctx, &m) })
	case placement.StopRun:
		s.order(ctx, orderTarget{m.Endpoint, m.Address}, func(ctx context.Context) { s.orderStop(ctx, &m) })
	default:
		s.group.Go(func() error {
			s.performBlocking(ctx, e)
			return nil
		})
	}
}

// order has an order carried out. One that has waited for orderTimeout is not sent any more.
func (s *Server) order(ctx context.Context, target orderTarget, call func(context.Context)) {
	s.orders.put(ctx, target, order{call, s.timers.Now().Add(orderTimeout)})
}

func (s *Server) orderStart(ctx context.Context, m *placement.Start) {
	sent := s.timers.SinceBoot()
	done := s.endpoints.Start(ctx, m)
	done.Reading.Sent, done.Reading.Received = sent, s.timers.SinceBoot()
	s.deliver(done)
}

func (s *Server) orderStop(ctx context.Context, m *placement.StopRun) {
	sent := s.timers.SinceBoot()
	done := s.endpoints.Stop(ctx, m)
	done.Reading.Sent, done.Reading.Received = sent, s.timers.SinceBoot()
	s.deliver(done)
}

// performBlocking performs an effect that waits for an endpoint or the store.
func (s *Server) performBlocking(ctx context.Context, e placement.Effect) {
	switch m := e.(type) {
	case placement.Probe:
		s.probe(ctx, m)
	case placement.RequestReport:
		s.requestReport(ctx, m)
	case placement.Commit:
		version, err := s.config.Store.Commit(ctx, m.Writes)
		s.metrics.countStoreCall("commit", err)
		s.deliver(placement.CommitDone{ID: m.ID, Version: version, Err: err})
	case placement.Scan:
		var rows []storage.Row
		var err error
		if m.Last != "" {
			rows, err = s.config.Store.ScanRange(ctx, m.Prefix, m.Last, cmp.Or(m.Limit, scanLimit))
		} else {
			rows, err = s.config.Store.Scan(ctx, m.Prefix, scanLimit)
		}
		s.metrics.countStoreCall("scan", err)
		s.deliver(placement.ScanDone{ID: m.ID, Rows: rows, Err: err})
	case placement.OfferConfiguration:
		s.adoptFromPeer(m)
	case placement.RenewFeed:
		s.renewFeed()
	}
}

// scanLimit bounds the rows of a scan. It exceeds the number of instances, of endpoints of a
// failure domain, and of open jobs of an instance.
const scanLimit = 25_000

// forget drops a request whose caller has disconnected.
func (s *Server) forget(h placement.Handle) {
	if s.replies.Forget(h) {
		s.deliver(placement.Abandon{Handle: h})
	}
}

// Overview returns the control state's last published overview.
func (s *Server) Overview() placement.Overview {
	if o := s.overview.Load(); o != nil {
		return *o
	}
	return placement.Overview{}
}

// endpointRatings returns the last published ratings of the held endpoints.
func (s *Server) endpointRatings() []placement.EndpointRating {
	if r := s.ratings.Load(); r != nil {
		return *r
	}
	return nil
}
