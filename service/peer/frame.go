package peer

import (
	"encoding/binary"
	"net"
)

// frameConn writes the header of a yamux frame together with its body: the
// library writes them one after the other, which costs a system call and a packet
// more for each frame. It is written by one goroutine of the session.
type frameConn struct {
	net.Conn
	pending []byte // a header whose body has not come yet, with room for the body
}

// Layout of a yamux header.
const (
	frameHeaderBytes = 12
	frameTypeByte    = 1
	frameLengthByte  = 8
	frameTypeData    = 0
)

func newFrameConn(conn net.Conn) *frameConn { return &frameConn{Conn: conn} }

// Write holds a header back until its body is written. The whole of it counts as
// written then.
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
