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

// link is a loopback proxy in front of one listener. Its faults apply to open
// connections and to new ones.
type proxy struct {
	listener net.Listener
	group    *errgroup.Group

	mu           sync.Mutex
	target       netip.AddrPort
	state        proxyState
	conns        map[net.Conn]bool
	stateChanged chan struct{} // closed when the state changes
}

// linkState is what a link does to bytes.
type proxyState struct {
	Delay             time.Duration
	BlockedToTarget   bool // towards the target
	BlockedFromTarget bool // from the target
	Unreachable       bool // connections are reset
}

const bufferBytes = 32 << 10

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

// set changes what the link does. Making it unreachable resets what is open.
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
	both.Go(func() error { return l.forwardBytes(far, near, func(s proxyState) bool { return s.BlockedToTarget }) })
	both.Go(func() error { return l.forwardBytes(near, far, func(s proxyState) bool { return s.BlockedFromTarget }) })
	_ = both.Wait() // the ends of connections are what is tested
}

// pump moves bytes one way. While the way is silent they wait.
func (l *proxy) forwardBytes(to, from net.Conn, silent func(proxyState) bool) error {
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
