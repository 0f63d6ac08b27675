package dialer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// countedConn counts the bytes handed to the connection, so that a failed
// attempt can tell whether the upstream may have read any of it.
type countedConn struct {
	net.Conn
	written atomic.Int64
	places  *places
	once    sync.Once
}

// Close implements net.Conn. It ends reads and writes at once; the connection
// itself is closed when the upstream has closed its end.
func (c *countedConn) Close() error {
	c.once.Do(func() {
		l := &linger{conn: c.Conn, places: c.places}
		// A read in progress would otherwise take the end of the connection.
		_ = c.SetDeadline(time.Now())
		go l.run()
	})
	return nil
}

// Write implements net.Conn. It counts before it writes: an attempt cancelled
// during the write would otherwise pass for one that was not sent.
func (c *countedConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}
