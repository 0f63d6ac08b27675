package dialer

import (
	"net"
	"sync/atomic"
)

// countedConn counts the bytes handed to the connection, so that a failed
// attempt can tell whether the upstream may have read any of it.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn. It counts before it writes: an attempt cancelled
// during the write would otherwise pass for one that was not sent.
func (c *countedConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}
