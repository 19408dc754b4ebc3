package gate

import (
	"context"
	"errors"
	"net"
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
// not read that yet. It reads nothing: the HTTP server does.
func hasLeft(connection net.Conn) bool {
	c, ok := connection.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	left := false
	err = raw.Control(func(descriptor uintptr) {
		var next [1]byte
		for {
			n, _, err := syscall.Recvfrom(int(descriptor), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if errors.Is(err, syscall.EINTR) {
				continue
			}
			left = n <= 0 && !errors.Is(err, syscall.EAGAIN)
			return
		}
	})
	return left || err != nil
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
