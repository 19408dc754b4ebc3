package ingress

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"syscall"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Listener accepts connections within a budget.
type Listener struct {
	*net.TCPListener
	budget  *Budget
	refusal []byte
}

// Listen listens for callers. A connection for which there is no room is sent the refusal and closed.
// The sockets' buffers are bounded, as the bytes in them count as the machine's memory.
func (b *Budget) Listen(ctx context.Context, address netip.AddrPort, refusal []byte) (*Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		// Accepted sockets inherit both.
		controlErr := c.Control(func(descriptor uintptr) {
			if err = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBuffer); err == nil {
				err = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBuffer)
			}
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	l, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, eris.Wrapf(err, "listen at %s", address)
	}
	listener := &Listener{l.(*net.TCPListener), b, refusal}
	if err := listener.boundBacklog(b.limits.Connections / backlogShare); err != nil {
		return nil, errors.Join(eris.Wrap(err, "bound the backlog"), l.Close())
	}
	return listener, nil
}

// boundBacklog bounds how many connections wait to be accepted, as their sockets hold unread bytes too.
func (l *Listener) boundBacklog(n int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	// Listening once more changes the backlog of a socket that listens.
	err = raw.Control(func(descriptor uintptr) { listenErr = unix.Listen(int(descriptor), n) })
	return errors.Join(err, listenErr)
}

// Accept returns the next connection that the budget has room for.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		conn := &Conn{TCPConn: c, budget: l.budget}
		conn.slot.connection = conn
		if l.budget.open(&conn.slot) {
			return conn, nil
		}
		_, _ = c.Write(l.refusal) // the caller may have left
		_ = conn.Close()
	}
}

// Conn is a caller's connection.
type Conn struct {
	*net.TCPConn
	budget *Budget
	slot   slot
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		c.budget.headerTimedOut(&c.slot)
	}
	return n, err
}

// HasUnread reports whether bytes have arrived that the process has not read.
func (c *Conn) HasUnread() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	err = raw.Control(func(descriptor uintptr) { unread, _ = unix.IoctlGetInt(int(descriptor), unix.TIOCINQ) })
	return err == nil && unread > 0
}

// Write writes to the connection. Budget.Sweep bounds the time that it takes.
func (c *Conn) Write(p []byte) (int, error) {
	c.slot.writingSince.Store(int64(c.budget.sinceStart()))
	defer c.slot.writingSince.Store(0)
	return c.TCPConn.Write(p)
}

// Close closes the connection and releases its part of the budget.
func (c *Conn) Close() error {
	err := c.TCPConn.Close()
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.remove(&c.slot)
	return err
}

// connOf returns the listener's connection, also below TLS, or nil if it is none.
func connOf(c any) *Conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	conn, _ := c.(*Conn)
	return conn
}

// Note follows the state of a connection of an HTTP server: those without a request are idle.
func (b *Budget) Note(connection net.Conn, state http.ConnState) {
	c := connOf(connection)
	if c == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch state {
	case http.StateActive:
		b.setBusy(&c.slot)
	case http.StateIdle:
		b.setIdle(&c.slot, b.now())
	}
}
