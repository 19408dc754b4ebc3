package gate

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"crocusseam/pkg/timer"
)

// slowConn is a connection of a process that is short of processor time: it reads what has arrived
// readDelay later.
type slowConn struct {
	*net.TCPConn
	readDelay time.Duration
}

func (c slowConn) Read(b []byte) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	if err := raw.Read(func(uintptr) bool { return hasUnread(c.TCPConn) || hasLeft(c.TCPConn) }); err != nil {
		return 0, err
	}
	time.Sleep(c.readDelay)
	return c.TCPConn.Read(b)
}

type slowListener struct {
	net.Listener
	readDelay time.Duration
}

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowConn{c.(*net.TCPConn), l.readDelay}, nil
}

// Guards against requests without an answer at a planned stop: an idle connection was closed at
// the end of the stop although a request had arrived on it, which the process had not read yet.
func TestRequestAtTheEndOfAPlannedStopIsAnswered(t *testing.T) {
	for _, readDelay := range []time.Duration{0, lastRequestsTime, 2 * lastRequestsTime} {
		t.Run(readDelay.String(), func(t *testing.T) { requestAtTheEndOfAPlannedStop(t, readDelay) })
	}
}

func requestAtTheEndOfAPlannedStop(t *testing.T, readDelay time.Duration) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &Server{timers: timer.New(), logger: zap.NewNop(), stopped: make(chan struct{}), idle: newIdleConnections()}
	s.http = &http.Server{ConnState: s.idle.note, ReadHeaderTimeout: headerTimeout, Handler: http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) {
		out.WriteHeader(http.StatusServiceUnavailable)
	})}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return s.timers.Run(ctx) })
	group.Go(func() error { return serve(s.http, slowListener{listener, readDelay}) })
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	answers := bufio.NewReader(conn)
	request := func() {
		_, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
		assert.NilError(t, err)
		response, err := http.ReadResponse(answers, nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.NilError(t, response.Body.Close())
	}
	request()
	close(s.stopped)
	group.Go(func() error {
		s.awaitStop(ctx)
		return nil
	})
	time.Sleep(lastRequestsTime / 5)
	request()
	_, err = answers.ReadByte()
	assert.ErrorContains(t, err, "EOF")
	cancel()
	assert.NilError(t, group.Wait())
}
