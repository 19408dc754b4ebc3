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
type link struct {
	listener net.Listener
	group    *errgroup.Group

	mu     sync.Mutex
	target netip.AddrPort
	state  linkState
	conns  map[net.Conn]bool
	change chan struct{} // closed when the state changes
}

// linkState is what a link does to bytes.
type linkState struct {
	Delay       time.Duration
	SilentTo    bool // towards the target
	SilentFrom  bool // from the target
	Unreachable bool // connections are reset
}

const chunk = 32 << 10

func newLink(ctx context.Context, group *errgroup.Group, target netip.AddrPort) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, group: group, target: target, conns: make(map[net.Conn]bool), change: make(chan struct{})}
	group.Go(func() error {
		<-ctx.Done()
		l.set(linkState{Unreachable: true})
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

func (l *link) address() netip.AddrPort { return l.listener.Addr().(*net.TCPAddr).AddrPort() }

// set changes what the link does. Making it unreachable resets what is open.
func (l *link) set(s linkState) {
	l.mu.Lock()
	l.state = s
	close(l.change)
	l.change = make(chan struct{})
	var reset []net.Conn
	if s.Unreachable {
		for c := range l.conns {
			reset = append(reset, c)
		}
	}
	l.mu.Unlock()
	for _, c := range reset {
		abort(c)
	}
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // it may be closed already
	}
	_ = c.Close()
}

func (l *link) now() (linkState, netip.AddrPort, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.target, l.change
}

func (l *link) keep(c net.Conn, kept bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if kept {
		l.conns[c] = true
		return
	}
	delete(l.conns, c)
}

func (l *link) serve(near net.Conn) {
	defer abort(near)
	s, target, _ := l.now()
	if s.Unreachable {
		return
	}
	far, err := net.DialTimeout("tcp", target.String(), time.Second)
	if err != nil {
		return
	}
	defer abort(far)
	for _, c := range []net.Conn{near, far} {
		l.keep(c, true)
		defer l.keep(c, false)
	}
	var both errgroup.Group
	both.Go(func() error { return l.pump(far, near, func(s linkState) bool { return s.SilentTo }) })
	both.Go(func() error { return l.pump(near, far, func(s linkState) bool { return s.SilentFrom }) })
	_ = both.Wait() // the ends of connections are what is tested
}

// pump moves bytes one way. While the way is silent they wait.
func (l *link) pump(to, from net.Conn, silent func(linkState) bool) error {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, chunk)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			s, _, change := l.now()
			for silent(s) && !s.Unreachable {
				<-change
				s, _, change = l.now()
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
