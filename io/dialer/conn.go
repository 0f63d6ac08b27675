package dialer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// countingConn counts the bytes written. After a failure the count shows whether
// the upstream may have read any of a request.
type countingConn struct {
	net.Conn
	written   atomic.Int64
	limiter   *connLimiter
	closeOnce sync.Once
}

// Close implements net.Conn. It aborts reads and writes at once. The connection
// itself is closed in the background, after the upstream has closed its end.
func (c *countingConn) Close() error {
	c.closeOnce.Do(func() {
		l := &lingeringClose{conn: c.Conn, limiter: c.limiter}
		// A read in progress would otherwise receive the upstream's close in
		// place of lingeringClose.
		_ = c.SetDeadline(time.Now())
		go l.run()
	})
	return nil
}

// Write implements net.Conn. It counts before it writes: an attempt cancelled
// during the write would otherwise be treated as not sent.
func (c *countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}
