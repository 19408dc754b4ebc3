package main

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// proxy is a loopback TCP proxy in front of one listener. Its faults apply to open and
// to new connections.
type proxy struct {
	listener net.Listener
	group    *errgroup.Group

	target netip.AddrPort

	mu           sync.Mutex
	state        proxyState
	bySource     map[string]proxyState // further faults, by the instance that has dialed
	toTarget     shapedLink
	fromTarget   shapedLink
	conns        map[net.Conn]*dialed
	stateChanged chan struct{} // closed when the state changes
}

// proxyState holds the faults that a proxy applies; the zero value forwards everything.
type proxyState struct {
	Delay             time.Duration
	BlockedToTarget   bool          // bytes to the target wait
	BlockedFromTarget bool          // bytes from the target wait
	Unreachable       bool          // connections are reset
	CloseDelay        time.Duration // of a close, after the bytes before it
}

// and returns the faults of both states together.
func (s proxyState) and(o proxyState) proxyState {
	return proxyState{
		max(s.Delay, o.Delay), s.BlockedToTarget || o.BlockedToTarget, s.BlockedFromTarget || o.BlockedFromTarget, s.Unreachable || o.Unreachable,
		max(s.CloseDelay, o.CloseDelay),
	}
}

// dialed is a connection through a proxy.
type dialed struct {
	source string // the instance that has dialed, once its hello has come
}

const bufferBytes = 32 << 10 // of one direction of a connection

// shapedLink delays bytes as a link of some rate does that all connections share.
type shapedLink struct {
	mu     sync.Mutex
	rate   float64 // bytes a second; 0 is unlimited
	freeAt time.Time
}

func (l *shapedLink) pass(bytes int) {
	l.mu.Lock()
	if l.rate <= 0 {
		l.mu.Unlock()
		return
	}
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
	until := l.freeAt
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// shape limits the rate of each direction.
func (l *proxy) shape(bytesPerSecond float64) {
	for _, link := range []*shapedLink{&l.toTarget, &l.fromTarget} {
		link.mu.Lock()
		link.rate = bytesPerSecond
		link.mu.Unlock()
	}
}

// resetSome resets the open connections that a function chooses.
func (l *proxy) resetSome(chosen func() bool) {
	l.mu.Lock()
	var reset []net.Conn
	for c := range l.conns {
		if chosen() {
			reset = append(reset, c)
		}
	}
	l.mu.Unlock()
	for _, c := range reset {
		resetConn(c)
	}
}

func newProxy(ctx context.Context, group *errgroup.Group, target netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &proxy{listener: listener, group: group, target: target, bySource: make(map[string]proxyState), conns: make(map[net.Conn]*dialed), stateChanged: make(chan struct{})}
	group.Go(func() error {
		<-ctx.Done()
		l.setState(proxyState{Unreachable: true})
		return listener.Close()
	})
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				if ctx.Err() != nil {
					return nil
				}
				return err
			}
			group.Go(func() error {
				l.serve(conn)
				return nil
			})
		}
	})
	return l, nil
}

func (l *proxy) address() netip.AddrPort { return l.listener.Addr().(*net.TCPAddr).AddrPort() }

// setState changes the faults of the proxy. An unreachable proxy resets its open
// connections.
func (l *proxy) setState(s proxyState) { l.change(func() { l.state = s }) }

// setSourceState changes the faults of the connections that an instance has dialed.
func (l *proxy) setSourceState(source string, s proxyState) {
	l.change(func() { l.bySource[source] = s })
}

func (l *proxy) change(do func()) {
	l.mu.Lock()
	do()
	close(l.stateChanged)
	l.stateChanged = make(chan struct{})
	var reset []net.Conn
	for c, d := range l.conns {
		if l.state.and(l.bySource[d.source]).Unreachable {
			reset = append(reset, c)
		}
	}
	l.mu.Unlock()
	for _, c := range reset {
		resetConn(c)
	}
}

// abort closes a connection with a reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // it may be closed already
	}
	_ = c.Close()
}

func (l *proxy) current(d *dialed) (proxyState, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.and(l.bySource[d.source]), l.stateChanged
}

// identify finds the instance that has dialed a connection, in the hello that it sends first.
func (l *proxy) identify(d *dialed, sent []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The name stands behind its length.
	if i := bytes.Index(sent, []byte("gate-")); d.source == "" && i > 0 && i+int(sent[i-1]) <= len(sent) {
		d.source = string(sent[i : i+int(sent[i-1])])
	}
}

func (l *proxy) track(c net.Conn, d *dialed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d != nil {
		l.conns[c] = d
		return
	}
	delete(l.conns, c)
}

func (l *proxy) serve(near net.Conn) {
	defer resetConn(near)
	d := new(dialed)
	if !l.reaches(near, d) {
		return
	}
	far, err := net.DialTimeout("tcp", l.target.String(), time.Second)
	if err != nil {
		return
	}
	defer resetConn(far)
	for _, c := range []net.Conn{near, far} {
		l.track(c, d)
		defer l.track(c, nil)
	}
	var both errgroup.Group
	both.Go(func() error {
		return l.forwardBytes(far, near, d, &l.toTarget, func(s proxyState) bool { return s.BlockedToTarget })
	})
	both.Go(func() error {
		return l.forwardBytes(near, far, d, &l.fromTarget, func(s proxyState) bool { return s.BlockedFromTarget })
	})
	_ = both.Wait() // the tests break connections on purpose
}

// reaches waits until a connection can be made to the target, and reports whether it is: no
// handshake passes a silent path either, so who is at the target when the path opens gets the
// connection, if its other end has not closed it by then.
func (l *proxy) reaches(near net.Conn, d *dialed) bool {
	s, _ := l.current(d)
	waits := s.BlockedToTarget
	s = l.awaitPath(d, func(s proxyState) bool { return s.BlockedToTarget })
	return !s.Unreachable && (!waits || isEstablished(near))
}

// isEstablished reports whether neither end has closed a connection.
func isEstablished(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	established := false
	err = raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		established = err == nil && info.State == unix.BPF_TCP_ESTABLISHED
	})
	return err == nil && established
}

// awaitPath waits until a direction is not blocked, or the proxy is unreachable.
func (l *proxy) awaitPath(d *dialed, silent func(proxyState) bool) proxyState {
	s, change := l.current(d)
	for silent(s) && !s.Unreachable {
		<-change
		s, change = l.current(d)
	}
	return s
}

// forwardBytes copies bytes in one direction. While that direction is blocked, the bytes and
// the close after them wait.
func (l *proxy) forwardBytes(to, from net.Conn, d *dialed, link *shapedLink, silent func(proxyState) bool) error {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if link == &l.toTarget {
				l.identify(d, buffer[:n])
			}
			s := l.awaitPath(d, silent)
			if s.Unreachable {
				return net.ErrClosed
			}
			time.Sleep(s.Delay)
			link.pass(n)
			if _, err := to.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if err != nil {
			time.Sleep(l.awaitPath(d, silent).CloseDelay)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// A path that is silent hides that the other side has closed a connection, until it runs again.
func TestSilentPathHidesCloses(t *testing.T) {
	for _, c := range []struct {
		name   string
		state  proxyState
		hidden bool
	}{
		{"open", proxyState{}, false},
		{"silent from the target", proxyState{BlockedFromTarget: true}, true},
		{"silent to the target", proxyState{BlockedToTarget: true}, false},
		{"silent", proxyState{BlockedToTarget: true, BlockedFromTarget: true}, true},
		{"unreachable", proxyState{Unreachable: true}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			target, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { assert.Check(t, target.Close()) }()
			ctx, cancel := context.WithCancel(context.Background())
			var group errgroup.Group
			l, err := newProxy(ctx, &group, target.Addr().(*net.TCPAddr).AddrPort())
			assert.NilError(t, err)
			defer func() {
				cancel()
				assert.Check(t, group.Wait())
			}()
			near, err := net.Dial("tcp", l.address().String())
			assert.NilError(t, err)
			defer func() { assert.Check(t, near.Close()) }()
			far, err := target.Accept()
			assert.NilError(t, err)
			ends := func(within time.Duration) bool {
				assert.NilError(t, near.SetReadDeadline(time.Now().Add(within)))
				_, err := near.Read(make([]byte, 1))
				return !errors.Is(err, os.ErrDeadlineExceeded)
			}
			assert.Assert(t, !ends(20*time.Millisecond))
			l.setState(c.state)
			resetConn(far)
			if c.hidden {
				assert.Assert(t, !ends(100*time.Millisecond))
				l.setState(proxyState{})
			}
			assert.Assert(t, ends(5*time.Second))
		})
	}
}
