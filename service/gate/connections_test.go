package gate

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"crocusseam/pkg/mailbox"
	"crocusseam/pkg/model"
	"crocusseam/pkg/placement"
	"crocusseam/pkg/timer"
	"crocusseam/pkg/workload"
)

// callerPair returns both ends of a caller's connection, of which nothing is read.
func callerPair(t *testing.T) (caller *net.TCPConn, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	server, err = listener.Accept()
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	t.Cleanup(func() { _, _ = conn.Close(), server.Close() })
	return conn.(*net.TCPConn), server
}

// closesOfCallers are what a caller may do with its connection.
var closesOfCallers = []struct {
	name string
	do   func(caller *net.TCPConn) error
	left bool
	sent string
}{
	{"waits", func(*net.TCPConn) error { return nil }, false, ""},
	{"waits and has sent more", func(c *net.TCPConn) error {
		_, err := c.Write([]byte("G"))
		return err
	}, false, "G"},
	{"closes", func(c *net.TCPConn) error { return c.Close() }, true, ""},
	{"resets", func(c *net.TCPConn) error {
		if err := c.SetLinger(0); err != nil {
			return err
		}
		return c.Close()
	}, true, ""},
}

// Guards against leases that are extended for callers that have left: a close that the kernel has
// and the process has not read is seen, and what the HTTP server will read stays there.
func TestLookAtAConnectionSeesItsClose(t *testing.T) {
	for _, c := range closesOfCallers {
		t.Run(c.name, func(t *testing.T) {
			caller, server := callerPair(t)
			assert.Assert(t, !hasLeft(server))
			assert.NilError(t, c.do(caller))
			for deadline := time.Now().Add(100 * time.Millisecond); time.Now().Before(deadline) && !hasLeft(server); {
				time.Sleep(time.Millisecond)
			}
			assert.Equal(t, hasLeft(server), c.left)
			if c.left {
				return
			}
			_, err := caller.Write([]byte("ET"))
			assert.NilError(t, err)
			read := make([]byte, len(c.sent)+2)
			assert.NilError(t, server.SetReadDeadline(time.Now().Add(time.Second)))
			_, err = io.ReadFull(server, read)
			assert.NilError(t, err)
			assert.Equal(t, string(read), c.sent+"ET")
			assert.NilError(t, server.Close())
			assert.Assert(t, hasLeft(server), "a connection that this process has closed")
		})
	}
}

// Guards against leases that are extended for callers that have left: a check confirmed callers
// before it had abandoned the requests of those that had left.
func TestCheckOfCallersAbandonsFirst(t *testing.T) {
	s := &Server{
		timers: timer.New(), mailbox: mailbox.New[placement.Input](), waiting: newWaitingCallers(),
		replies: mailbox.NewPendingRequests[placement.Handle, placement.Answer](),
	}
	left := make(map[placement.Handle]bool)
	for _, c := range closesOfCallers {
		caller, server := callerPair(t)
		h, _ := s.replies.Register()
		s.waiting.add(h, server, func() { s.deliver(placement.Submit{Handle: h}) })
		assert.NilError(t, c.do(caller))
		left[h] = c.left
	}
	time.Sleep(20 * time.Millisecond)
	before := s.timers.SinceBoot()
	s.checkCallers()
	inputs := s.mailbox.Take()[len(closesOfCallers):]
	checked, ok := inputs[len(inputs)-1].(placement.CallersChecked)
	assert.Assert(t, ok, "%T", inputs[len(inputs)-1])
	assert.Assert(t, !checked.At.Before(before) && !checked.At.After(s.timers.SinceBoot()))
	for _, in := range inputs[:len(inputs)-1] {
		a, ok := in.(placement.Abandon)
		assert.Assert(t, ok && left[a.Handle], "%v", in)
		delete(left, a.Handle)
		assert.Assert(t, !s.replies.Forget(a.Handle), "the request still waits for its answer")
	}
	for h, missing := range left {
		assert.Check(t, !missing, "the request %d is not abandoned", h)
	}
}

// Guards against checks that look at no connection: each request for a job is known with the
// connection that it came by until it is answered or abandoned.
func TestRequestsAreKnownByTheirConnections(t *testing.T) {
	e := newEnvironment(t, "east")
	e.ready()
	s := e.gates[0]
	caller, err := net.Dial("tcp", s.Address().String())
	assert.NilError(t, err)
	e.workers.Expect(&model.Outcome{Job: &workload.Job{ID: "5c0e7a21d94b36f8", Steps: []workload.Step{{
		Count: 1, Estimate: 30 * time.Second, Need: workload.Resources{MilliCPU: 1000, MemoryMB: 1},
	}}}})
	body := `{"spec":"seat","bestEffort":true,"steps":[{"count":1,"cpu":1000,"memMb":1,"estMs":30000}]}`
	_, err = fmt.Fprintf(caller, "POST /seats/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: seats.example\r\nContent-Length: %d\r\nX-Crocusseam-Deadline-Ms: 60000\r\n\r\n%s", len(body), body)
	assert.NilError(t, err)
	waiting := func() []net.Conn {
		s.waiting.mu.Lock()
		defer s.waiting.mu.Unlock()
		var list []net.Conn
		for _, c := range s.waiting.connections {
			list = append(list, c)
		}
		return list
	}
	e.eventually("the request waits", func() bool { return len(waiting()) == 1 })
	known := waiting()[0]
	assert.Assert(t, known != nil)
	assert.Equal(t, known.RemoteAddr().String(), caller.LocalAddr().String())
	assert.NilError(t, caller.Close())
	e.eventually("the request is abandoned", func() bool { return len(waiting()) == 0 })
	e.eventually("the job has ended", func() bool { return s.Overview().Jobs == 0 })
	assert.Check(t, cmp.Len(e.requestErrors, 0))
}

// Guards against a request without an answer at the end of a planned stop: its connection was closed while
// the server had read the request and did not handle it yet.
func TestRequestThatIsBeingReadCountsAsUnread(t *testing.T) {
	caller, server := callerPair(t)
	idle := newIdleConnections()
	idle.note(server, http.StateIdle)
	assert.Assert(t, !idle.anyUnread())
	_, err := caller.Write([]byte("G"))
	assert.NilError(t, err)
	for end := time.Now().Add(time.Second); !idle.anyUnread() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	_, err = io.ReadFull(server, make([]byte, 1))
	assert.NilError(t, err)
	assert.Assert(t, idle.anyUnread())
	idle.note(server, http.StateActive)
	assert.Assert(t, !idle.anyUnread())
}
