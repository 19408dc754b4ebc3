package peer

import (
	"io"
	"net"
	"testing"

	"github.com/hashicorp/yamux"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// writeCounter counts the writes to a connection.
type writeCounter struct {
	net.Conn
	writes int
}

func (c *writeCounter) Write(b []byte) (int, error) {
	c.writes++
	return c.Conn.Write(b)
}

// TestHeaderAndBodyAreOneWrite checks that a message costs one write to the
// connection, and that all its bytes reach the other side.
func TestHeaderAndBodyAreOneWrite(t *testing.T) {
	near, far := net.Pipe()
	counter := &writeCounter{Conn: near}
	client, err := yamux.Client(newFrameConn(counter), yamuxConfig())
	assert.NilError(t, err)
	server, err := yamux.Server(newFrameConn(far), yamuxConfig())
	assert.NilError(t, err)
	const messages = 50
	body := make([]byte, 1000)
	var group errgroup.Group
	group.Go(func() error {
		stream, err := server.Accept()
		if err != nil {
			return err
		}
		_, err = io.ReadFull(stream, make([]byte, messages*len(body)))
		return err
	})
	stream, err := client.Open()
	assert.NilError(t, err)
	for range messages {
		_, err = stream.Write(body)
		assert.NilError(t, err)
	}
	assert.NilError(t, group.Wait())
	assert.Assert(t, counter.writes <= messages+5, "%d writes for %d messages", counter.writes, messages)
	assert.NilError(t, client.Close())
	assert.NilError(t, server.Close())
}
