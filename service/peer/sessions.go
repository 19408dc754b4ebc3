// Package peer maintains the sessions between instances. A session is a
// yamux stream of protobuf frames over TCP, with mutual TLS if it is configured.
package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"expvar"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"crocusseam/pkg/instance"
	"crocusseam/service/peer/wire"
)

// ProtocolVersion is the version of the protocol between instances. An instance
// refuses a session with a peer of another version.
const ProtocolVersion = 1

const (
	maxFrameBytes     = 8 << 20
	targetFrameBytes  = 1 << 20 // a message that would make a frame longer starts the next frame
	maxQueuedMessages = 200_000 // messages for one peer; a longer queue closes the session
	maxFrameMessages  = 2000
	helloTimeout      = 2 * time.Second
	dialTimeout       = time.Second
	keepAliveInterval = 10 * time.Second // the heartbeats of the control states detect an unresponsive peer sooner
	writeTimeout      = time.Second
	minRedialDelay    = 50 * time.Millisecond
	maxRedialDelay    = time.Second
	streamWindowBytes = 4 << 20
	writeBufferBytes  = 4 << 10 // a longer write goes to the stream without a copy
)

// Codec converts the messages of a control state to their wire form and back.
type Codec[M any] struct {
	Encode func(M) *wire.Message
	Decode func(*wire.Message) (M, error)
}

// Config configures Sessions for messages of type M.
type Config[M any] struct {
	Self   instance.ID
	Domain string
	// Listen is the address that accepts peers; port 0 picks a free port.
	Listen netip.AddrPort
	// TLS is nil for sessions without TLS.
	TLS *tls.Config
	// Up and Down are called when the session with a peer begins and ends, Received
	// for each message of a peer. They must not block, nor call Sessions.
	Up       func(instance.ID)
	Down     func(instance.ID)
	Received func(instance.ID, M)
	Codec    Codec[M]
	Logger   *zap.Logger
}

// Stats counts the traffic with peers, in both directions.
type Stats struct {
	SentBytes     atomic.Int64
	ReceivedBytes atomic.Int64
	SentMessages  atomic.Int64
	SentFrames    atomic.Int64
	BadMessages   atomic.Int64
	// SentByKind counts the bytes of the messages sent, by kind, without framing.
	SentByKind expvar.Map
}

// Sessions maintains a session with every peer that SetPeers names.
type Sessions[M any] struct {
	Stats Stats

	config      Config[M]
	listener    net.Listener
	mu          sync.Mutex
	dialCancels map[instance.ID]context.CancelFunc
	sessions    map[instance.ID]*session[M]
	dialQueue   chan instance.Peer
}

// session is a yamux session with its one stream of frames. queue holds the
// messages to send; signal wakes the goroutine that writes them.
type session[M any] struct {
	peer   instance.ID
	stream net.Conn
	closer io.Closer
	since  time.Time
	mu     sync.Mutex
	queue  []M
	ended  error // why this instance has ended the session, nil if it has not
	signal chan struct{}
}

// end closes the session for a cause.
func (s *session[M]) end(cause error) {
	s.mu.Lock()
	if s.ended == nil {
		s.ended = cause
	}
	s.mu.Unlock()
	_ = s.closer.Close()
}

// endCause returns why the session has ended, given the first error of its goroutines.
func (s *session[M]) endCause(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended != nil {
		return s.ended
	}
	return err
}

func (s *session[M]) queued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue)
}

var (
	errReplaced  = errors.New("another session with the peer has begun")
	errDropped   = errors.New("the control state has dropped it")
	errQueueFull = errors.New("too many messages wait for the peer")
)

// Listen opens the listener for peers. Run serves it.
func Listen[M any](config Config[M]) (*Sessions[M], error) {
	listener, err := net.Listen("tcp", config.Listen.String())
	if err != nil {
		return nil, eris.Wrapf(err, "listen for peers at %s", config.Listen)
	}
	return &Sessions[M]{
		config: config, listener: listener, dialCancels: make(map[instance.ID]context.CancelFunc),
		sessions: make(map[instance.ID]*session[M]), dialQueue: make(chan instance.Peer, 1024),
	}, nil
}

// Address returns the address at which the instance listens for peers.
func (l *Sessions[M]) Address() netip.AddrPort {
	return l.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Run serves sessions until the context ends.
func (l *Sessions[M]) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.accept(ctx, group) })
	group.Go(func() error { return l.runDials(ctx, group) })
	group.Go(func() error {
		<-ctx.Done()
		l.close()
		return nil
	})
	return group.Wait()
}

func (l *Sessions[M]) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.sessions {
		_ = s.closer.Close()
	}
}

func (l *Sessions[M]) accept(ctx context.Context, group *errgroup.Group) error {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return eris.Wrap(err, "accept a peer")
		}
		group.Go(func() error {
			if err := l.runSession(ctx, l.wrapTLS(conn, false), false); err != nil {
				l.config.Logger.Debug("session ended", zap.String("Peer", conn.RemoteAddr().String()), zap.Error(err))
			}
			return nil
		})
	}
}

func (l *Sessions[M]) wrapTLS(conn net.Conn, dialed bool) net.Conn {
	switch {
	case l.config.TLS == nil:
		return conn
	case dialed:
		return tls.Client(conn, l.config.TLS)
	}
	return tls.Server(conn, l.config.TLS)
}

// SetPeers sets the peers to keep sessions with. Of two instances the one that
// started later dials, because it learns the other's address first.
func (l *Sessions[M]) SetPeers(peers []instance.Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	named := make(map[instance.ID]bool, len(peers))
	for _, p := range peers {
		named[p.ID] = true
		if _, known := l.dialCancels[p.ID]; known || !l.shouldDial(p.ID) {
			continue
		}
		l.dialCancels[p.ID] = func() {}
		select {
		case l.dialQueue <- p:
		default:
			delete(l.dialCancels, p.ID)
		}
	}
	for id, cancel := range l.dialCancels {
		if !named[id] {
			cancel()
			delete(l.dialCancels, id)
		}
	}
}

func (l *Sessions[M]) shouldDial(other instance.ID) bool {
	self := l.config.Self
	if self.Incarnation != other.Incarnation {
		return self.Incarnation > other.Incarnation
	}
	return self.Instance < other.Instance
}

// Drop closes the session with a peer, if there is one, so that the dialing side
// opens a new one.
func (l *Sessions[M]) Drop(id instance.ID) {
	l.mu.Lock()
	s := l.sessions[id]
	l.mu.Unlock()
	if s != nil {
		s.end(errDropped)
	}
}

func (l *Sessions[M]) runDials(ctx context.Context, group *errgroup.Group) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-l.dialQueue:
			dialCtx, cancel := context.WithCancel(ctx)
			l.mu.Lock()
			l.dialCancels[p.ID] = cancel
			l.mu.Unlock()
			group.Go(func() error {
				l.keepConnected(dialCtx, p)
				cancel()
				return nil
			})
		}
	}
}

// keepConnected redials a peer until the context ends, with jittered exponential
// backoff. A session that lasted longer than maxRedialDelay resets the backoff.
func (l *Sessions[M]) keepConnected(ctx context.Context, p instance.Peer) {
	backoff := minRedialDelay
	for ctx.Err() == nil {
		began := time.Now()
		err := l.dial(ctx, p)
		l.config.Logger.Debug("session ended", zap.String("Peer", p.ID.String()), zap.Error(err))
		if time.Since(began) > maxRedialDelay {
			backoff = minRedialDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(rand.N(backoff)):
		}
		backoff = min(2*backoff, maxRedialDelay)
	}
}

func (l *Sessions[M]) dial(ctx context.Context, p instance.Peer) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.Address.String())
	if err != nil {
		return eris.Wrapf(err, "dial peer %s", p.ID)
	}
	return l.runSession(ctx, l.wrapTLS(conn, true), true)
}

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.MaxStreamWindowSize = streamWindowBytes
	c.LogOutput = io.Discard
	return c
}

// runSession serves one connection until its session ends. dialed says that this
// instance opened the connection.
func (l *Sessions[M]) runSession(ctx context.Context, conn net.Conn, dialed bool) error {
	defer func() { _ = conn.Close() }()
	counted := &countingConn{Conn: newFrameConn(conn), stats: &l.Stats}
	mux, stream, err := openStream(counted, dialed)
	if err != nil {
		return eris.Wrap(err, "open a session")
	}
	defer func() { _ = mux.Close() }()
	reader := bufio.NewReader(stream)
	hello, err := l.exchangeHello(stream, reader)
	if err != nil {
		return eris.Wrap(err, "greet")
	}
	s := &session[M]{
		peer:   instance.ID{Instance: hello.GetInstance(), Incarnation: hello.GetIncarnation()},
		stream: stream, closer: mux, since: time.Now(), signal: make(chan struct{}, 1),
	}
	l.register(s)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.readFrames(s, reader) })
	group.Go(func() error { return l.writeFrames(ctx, s) })
	group.Go(func() error {
		<-ctx.Done()
		return mux.Close()
	})
	err = s.endCause(group.Wait())
	l.unregister(s, err)
	return err
}

func openStream(conn net.Conn, dialed bool) (*yamux.Session, net.Conn, error) {
	if dialed {
		mux, err := yamux.Client(conn, yamuxConfig())
		if err != nil {
			return nil, nil, err
		}
		stream, err := mux.Open()
		return mux, stream, err
	}
	mux, err := yamux.Server(conn, yamuxConfig())
	if err != nil {
		return nil, nil, err
	}
	stream, err := mux.Accept()
	return mux, stream, err
}

// exchangeHello sends this instance's hello and checks the peer's: the version must
// be the same, the instance another.
func (l *Sessions[M]) exchangeHello(stream net.Conn, reader *bufio.Reader) (*wire.Hello, error) {
	_ = stream.SetDeadline(time.Now().Add(helloTimeout))
	own := &wire.Hello{
		Version: ProtocolVersion, Instance: l.config.Self.Instance,
		Incarnation: l.config.Self.Incarnation, Domain: l.config.Domain,
	}
	if _, err := protodelim.MarshalTo(stream, own); err != nil {
		return nil, err
	}
	hello := &wire.Hello{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}).UnmarshalFrom(reader, hello); err != nil {
		return nil, err
	}
	if hello.GetVersion() != ProtocolVersion {
		return nil, fmt.Errorf("peer %s speaks version %d, not %d", hello.GetInstance(), hello.GetVersion(), ProtocolVersion)
	}
	if hello.GetInstance() == "" || hello.GetInstance() == l.config.Self.Instance {
		return nil, fmt.Errorf("peer has the instance name %q, which is empty or this instance's own", hello.GetInstance())
	}
	return hello, stream.SetDeadline(time.Time{})
}

// register makes a session the one with its peer. It tells the control state while it holds
// the lock, as unregister and receive do, so that Up, Down and the messages between them are
// delivered in the order of the sessions.
func (l *Sessions[M]) register(s *session[M]) {
	l.mu.Lock()
	old := l.sessions[s.peer]
	l.sessions[s.peer] = s
	if old != nil {
		l.config.Down(s.peer)
	}
	l.config.Logger.Info("session up", zap.String("Peer", s.peer.String()))
	l.config.Up(s.peer)
	l.mu.Unlock()
	if old != nil {
		old.end(errReplaced)
	}
}

func (l *Sessions[M]) unregister(s *session[M], cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sessions[s.peer] != s {
		return
	}
	delete(l.sessions, s.peer)
	l.config.Logger.Info("session down", zap.String("Peer", s.peer.String()), zap.String("Cause", cause.Error()), zap.Duration("Age", time.Since(s.since)), zap.Int("Queued", s.queued()))
	l.config.Down(s.peer)
}

// Send queues a message for a peer. It drops the message if there is no session;
// the control states tolerate lost messages.
func (l *Sessions[M]) Send(to instance.ID, m M) {
	l.mu.Lock()
	s := l.sessions[to]
	l.mu.Unlock()
	if s == nil {
		return
	}
	s.mu.Lock()
	s.queue = append(s.queue, m)
	tooLong := len(s.queue) > maxQueuedMessages
	s.mu.Unlock()
	if tooLong {
		s.end(errQueueFull)
		return
	}
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

func (s *session[M]) nextBatch() []M {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.queue), maxFrameMessages)
	batch := s.queue[:n:n]
	s.queue = s.queue[n:]
	return batch
}

func (l *Sessions[M]) writeFrames(ctx context.Context, s *session[M]) error {
	writer := bufio.NewWriterSize(s.stream, writeBufferBytes)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.signal:
		}
		for batch := s.nextBatch(); len(batch) > 0; batch = s.nextBatch() {
			if err := l.writeFrame(writer, batch); err != nil {
				return eris.Wrapf(err, "write to peer %s", s.peer)
			}
		}
		if err := writer.Flush(); err != nil {
			return eris.Wrapf(err, "write to peer %s", s.peer)
		}
	}
}

// writeFrame writes messages in one frame, or in several if they exceed
// targetFrameBytes: the receiver ends the session at a frame that is longer than
// maxFrameBytes.
func (l *Sessions[M]) writeFrame(w io.Writer, messages []M) error {
	frame := &wire.Frame{}
	size := 0
	for _, m := range messages {
		message := l.config.Codec.Encode(m)
		next := proto.Size(message)
		if size > 0 && size+next > targetFrameBytes {
			if err := l.sendFrame(w, frame); err != nil {
				return err
			}
			frame, size = &wire.Frame{}, 0
		}
		frame.Messages = append(frame.Messages, message)
		size += next
		l.Stats.SentByKind.Add(kindOf(message), int64(next))
	}
	return l.sendFrame(w, frame)
}

// kindOf returns the name of the message's kind in the protocol.
func kindOf(m *wire.Message) string {
	reflected := m.ProtoReflect()
	field := reflected.WhichOneof(reflected.Descriptor().Oneofs().Get(0))
	if field == nil {
		return "unknown"
	}
	return string(field.Name())
}

func (l *Sessions[M]) sendFrame(w io.Writer, frame *wire.Frame) error {
	l.Stats.SentMessages.Add(int64(len(frame.GetMessages())))
	l.Stats.SentFrames.Add(1)
	_, err := protodelim.MarshalTo(w, frame)
	return err
}

func (l *Sessions[M]) readFrames(s *session[M], reader *bufio.Reader) error {
	options := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	for {
		frame := &wire.Frame{}
		if err := options.UnmarshalFrom(reader, frame); err != nil {
			if errors.Is(err, io.EOF) {
				return io.EOF
			}
			return eris.Wrapf(err, "read from peer %s", s.peer)
		}
		for _, m := range frame.GetMessages() {
			message, err := l.config.Codec.Decode(m)
			if err != nil {
				l.Stats.BadMessages.Add(1)
				return eris.Wrapf(err, "read from peer %s", s.peer)
			}
			if !l.receive(s, message) {
				return errReplaced
			}
		}
	}
}

// receive passes on a message of a session, unless another session with the peer has begun.
// This keeps an invariant: after Up, no message arrives that the peer sent over an earlier
// session. The peer repeats what was lost with that one, and a late message would undo what
// it has said since.
func (l *Sessions[M]) receive(s *session[M], message M) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sessions[s.peer] != s {
		return false
	}
	l.config.Received(s.peer, message)
	return true
}

// countingConn counts the bytes that a connection reads and writes.
type countingConn struct {
	net.Conn
	stats *Stats
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.stats.ReceivedBytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.stats.SentBytes.Add(int64(n))
	return n, err
}
