package proxy

import (
	"bufio"
	"net"
	"sync"
	"time"
)

// conn is a connection to an upstream. One goroutine reads it as long as it
// lives, so that the end of an idle connection and bytes that nobody asked for
// are noticed at once.
type conn struct {
	net.Conn
	client *Client
	pool   *pool
	reader *bufio.Reader

	mu      sync.Mutex
	current *call // whose answer is awaited; nil while idle
	closed  bool
	since   time.Time // idle since
	until   time.Time // not used after
}

func newConn(raw net.Conn, client *Client, p *pool) *conn {
	return &conn{Conn: raw, client: client, pool: p, reader: bufio.NewReaderSize(raw, readBuffer)}
}

// readBuffer holds a usual answer, so that it is read with one system call.
const readBuffer = 2048

// begin gives the connection to a call. It reports false when the connection
// has ended.
func (c *conn) begin(a *call, end time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.current = a
	return c.SetDeadline(end) == nil
}

// waiting returns the call whose answer is awaited.
func (c *conn) waiting() *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// rest ends the present call. It reports false when the connection ended
// meanwhile.
func (c *conn) rest(keep time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = nil
	c.since = time.Now()
	c.until = c.since.Add(keep)
	return !c.closed && c.SetDeadline(c.until) == nil
}

// end closes the connection and returns the call that was under way.
func (c *conn) end() *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.current
	c.current, c.closed = nil, true
	c.Close()
	return a
}

// run reads answers until the connection ends.
func (c *conn) run() {
	defer c.client.wg.Done()
	for {
		if _, err := c.reader.Peek(1); err != nil {
			c.fail(err)
			return
		}
		a := c.waiting()
		if a == nil {
			c.end() // bytes that belong to no request
			return
		}
		returned, keep, err := a.read(c)
		if err != nil {
			c.fail(err)
			return
		}
		if keep <= 0 || !c.rest(keep) {
			c.end()
			a.finish(returned)
			return
		}
		c.pool.put(c)
		a.finish(returned)
	}
}

// fail ends the connection and the call that was under way.
func (c *conn) fail(err error) {
	if a := c.end(); a != nil {
		a.fail(a.reason(err))
	}
}
