package peer

import (
	"bufio"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// stuckConn is a connection whose pending Read returns only when it is released, not when
// the connection is closed.
type stuckConn struct {
	net.Conn
	released chan struct{}
}

func (c *stuckConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		<-c.released
	}
	return n, err
}

func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// The reader of a session waits idly while the session is being closed. It once took a whole
// processor until the close was complete, which stopped an instance of one processor.
func TestReaderIsIdleWhileItsSessionCloses(t *testing.T) {
	const closing = 400 * time.Millisecond
	near, far := net.Pipe()
	stuck := &stuckConn{Conn: near, released: make(chan struct{})}
	var group errgroup.Group
	group.Go(func() error {
		_, stream, err := openStream(far, false)
		if err != nil {
			return err
		}
		_, _ = stream.Read(make([]byte, 1)) // until the session ends
		return nil
	})
	mux, stream, err := openStream(stuck, true)
	assert.NilError(t, err)
	group.Go(func() error {
		_, _ = bufio.NewReader(stream).ReadByte() // until the session ends
		return nil
	})
	time.Sleep(50 * time.Millisecond)
	before := processorTime(t)
	group.Go(mux.Close)
	time.Sleep(closing)
	used := processorTime(t) - before
	close(stuck.released)
	assert.NilError(t, group.Wait())
	assert.Check(t, used < closing/4, "%s of processor time in %s", used, closing)
}
