package main

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// proxy is a loopback TCP proxy in front of one listener. Its faults apply to open and
// to new connections.
type proxy struct {
	listener net.Listener
	group    *errgroup.Group

	mu           sync.Mutex
	target       netip.AddrPort
	state        proxyState
	toTarget     shapedLink
	fromTarget   shapedLink
	conns        map[net.Conn]bool
	stateChanged chan struct{} // closed when the state changes
}

// proxyState holds the faults that a proxy applies; the zero value forwards everything.
type proxyState struct {
	Delay             time.Duration
	BlockedToTarget   bool // bytes to the target wait
	BlockedFromTarget bool // bytes from the target wait
	Unreachable       bool // connections are reset
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
	l := &proxy{listener: listener, group: group, target: target, conns: make(map[net.Conn]bool), stateChanged: make(chan struct{})}
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
func (l *proxy) setState(s proxyState) {
	l.mu.Lock()
	l.state = s
	close(l.stateChanged)
	l.stateChanged = make(chan struct{})
	var reset []net.Conn
	if s.Unreachable {
		for c := range l.conns {
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

func (l *proxy) current() (proxyState, netip.AddrPort, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.target, l.stateChanged
}

func (l *proxy) track(c net.Conn, kept bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if kept {
		l.conns[c] = true
		return
	}
	delete(l.conns, c)
}

func (l *proxy) serve(near net.Conn) {
	defer resetConn(near)
	s, target, _ := l.current()
	if s.Unreachable {
		return
	}
	far, err := net.DialTimeout("tcp", target.String(), time.Second)
	if err != nil {
		return
	}
	defer resetConn(far)
	for _, c := range []net.Conn{near, far} {
		l.track(c, true)
		defer l.track(c, false)
	}
	var both errgroup.Group
	both.Go(func() error {
		return l.forwardBytes(far, near, &l.toTarget, func(s proxyState) bool { return s.BlockedToTarget })
	})
	both.Go(func() error {
		return l.forwardBytes(near, far, &l.fromTarget, func(s proxyState) bool { return s.BlockedFromTarget })
	})
	_ = both.Wait() // the tests break connections on purpose
}

// forwardBytes copies bytes in one direction. While that direction is blocked, the bytes
// wait.
func (l *proxy) forwardBytes(to, from net.Conn, link *shapedLink, silent func(proxyState) bool) error {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			s, _, change := l.current()
			for silent(s) && !s.Unreachable {
				<-change
				s, _, change = l.current()
			}
			time.Sleep(s.Delay)
			link.pass(n)
			if _, err := to.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
