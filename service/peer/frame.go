package peer

import (
	"encoding/binary"
	"net"
)

// frameConn writes the header of a yamux frame and its body in one call. yamux
// writes them one after the other, which costs an extra system call and packet for
// each frame. Only one goroutine of the session may write to it.
type frameConn struct {
	net.Conn
	pending []byte // a header whose body has not been written yet; the buffer is reused
}

// Layout of a yamux frame header: its size, the positions of the type and of the
// length, and the type of a data frame.
const (
	frameHeaderBytes = 12
	frameTypeByte    = 1
	frameLengthByte  = 8
	frameTypeData    = 0
)

func newFrameConn(conn net.Conn) *frameConn { return &frameConn{Conn: conn} }

// Write buffers a header, which it reports as written at once, and sends it with
// the body that the next call brings.
func (c *frameConn) Write(b []byte) (int, error) {
	if len(c.pending) == 0 {
		if !bodyFollows(b) {
			return c.Conn.Write(b)
		}
		c.pending = append(c.pending, b...)
		return len(b), nil
	}
	c.pending = append(c.pending, b...)
	_, err := c.Conn.Write(c.pending)
	c.pending = c.pending[:0]
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

func bodyFollows(b []byte) bool {
	return len(b) == frameHeaderBytes && b[frameTypeByte] == frameTypeData && binary.BigEndian.Uint32(b[frameLengthByte:]) > 0
}
