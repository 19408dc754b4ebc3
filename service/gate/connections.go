package gate

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"

	"crocusseam/pkg/placement"
)

// waitingCallers holds the connections of the callers that wait for an answer.
type waitingCallers struct {
	mu          sync.Mutex
	connections map[placement.Handle]net.Conn
}

func newWaitingCallers() *waitingCallers {
	return &waitingCallers{connections: make(map[placement.Handle]net.Conn)}
}

// add adds a caller and delivers its request. A check of callers sees both or neither.
func (w *waitingCallers) add(h placement.Handle, connection net.Conn, deliver func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.connections[h] = connection
	deliver()
}

// remove removes a caller that has been answered, or whose request was abandoned.
func (w *waitingCallers) remove(h placement.Handle) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.connections, h)
}

// forgetLeft calls forget for each caller that has closed its connection.
func (w *waitingCallers) forgetLeft(forget func(placement.Handle)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for h, c := range w.connections {
		if hasLeft(c) {
			delete(w.connections, h)
			forget(h)
		}
	}
}

// hasLeft reports whether the other end of a connection has closed it, also if the process has
// not read that yet.
func hasLeft(connection net.Conn) bool {
	n, err := peek(connection)
	return n <= 0 && !errors.Is(err, syscall.EAGAIN)
}

// hasUnread reports whether bytes have arrived on a connection that the process has not read yet.
func hasUnread(connection net.Conn) bool {
	n, _ := peek(connection)
	return n > 0
}

// peek looks for a byte that has arrived on a connection. It reads nothing: the HTTP server does.
// Without a byte the error is EAGAIN while the connection is open, as for one that cannot be
// looked at.
func peek(connection net.Conn) (int, error) {
	c, ok := connection.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var peekErr error
	err = raw.Control(func(descriptor uintptr) {
		var next [1]byte
		for {
			n, _, peekErr = syscall.Recvfrom(int(descriptor), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if !errors.Is(peekErr, syscall.EINTR) {
				return
			}
		}
	})
	return n, errors.Join(err, peekErr)
}

// idleConnections holds the callers' connections on which no request is being handled.
type idleConnections struct {
	mu sync.Mutex
	// connections says whether a request was seen to arrive. It counts until the server handles
	// it, as it is in no buffer of the kernel while the server reads it.
	connections map[net.Conn]bool
}

func newIdleConnections() *idleConnections {
	return &idleConnections{connections: make(map[net.Conn]bool)}
}

// note follows the state of a connection of an HTTP server.
func (i *idleConnections) note(connection net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateNew || state == http.StateIdle {
		i.connections[connection] = false
		return
	}
	delete(i.connections, connection)
}

// anyUnread reports whether a request has arrived on one of them that is not being handled yet.
func (i *idleConnections) anyUnread() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	unread := false
	for c, arrived := range i.connections {
		arrived = arrived || hasUnread(c)
		i.connections[c] = arrived
		unread = unread || arrived
	}
	return unread
}

// connectionKey is the key of a caller's connection in the context of its requests.
type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// connectionOf returns the connection of a request, or nil if it is not known.
func connectionOf(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connectionKey{}).(net.Conn)
	return c
}

// checkCallers abandons the requests of callers that have left, and confirms that the others
// waited before it looked.
func (s *Server) checkCallers() {
	at := s.timers.SinceBoot()
	s.waiting.forgetLeft(func(h placement.Handle) {
		s.replies.Forget(h)
		s.deliver(placement.Abandon{Handle: h})
	})
	s.deliver(placement.CallersChecked{At: at})
}
