package dialer

import (
	"net"
	"sync/atomic"
)

// countedConn counts the bytes written, so that a failed attempt can tell
// whether the upstream may have read any of it.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}
