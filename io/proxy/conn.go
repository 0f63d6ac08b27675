package proxy

import (
	"bufio"
	"net"
	"sync"
	"time"

	"comfreypulley/core/model"
)

// conn is a connection to an upstream. One goroutine reads from it until it is
// closed, so that a close by the upstream and unsolicited bytes are also noticed
// while it is idle.
type conn struct {
	net.Conn
	client *Client
	pool   *pool
	head   *headLimiter
	reader *bufio.Reader // reads from head

	mu        sync.Mutex
	current   *attempt // waits for a response; nil while idle
	closed    bool
	writing   bool // a goroutine still sends a request
	idleSince time.Time
	idleUntil time.Time // the idle timeout; the connection is not used after it

	lastRequest model.RequestID // of the last response; owned by the pool while idle
}

func newConn(raw net.Conn, client *Client, p *pool) *conn {
	head := &headLimiter{Conn: raw}
	return &conn{Conn: raw, client: client, pool: p, head: head, reader: bufio.NewReaderSize(head, readBufferSize)}
}

// readBufferSize is enough to read a typical response with one system call.
const readBufferSize = 2048

// assign gives the connection to an attempt. It reports false when the connection
// is closed.
func (c *conn) assign(a *attempt, deadline time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.current = a
	return c.SetDeadline(deadline) == nil
}

// currentAttempt returns the attempt that waits for a response, nil while idle.
func (c *conn) currentAttempt() *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// setIdle makes the connection available to other attempts until the timeout. It
// reports false when the connection has been closed meanwhile, or when the upstream
// answered before it had read the whole request: it would take the next request for the
// rest of this one.
func (c *conn) setIdle(timeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing {
		return false
	}
	c.current = nil
	c.idleSince = time.Now()
	c.idleUntil = c.idleSince.Add(timeout)
	return !c.closed && c.SetDeadline(c.idleUntil) == nil
}

// terminate closes the connection and returns the attempt that was using it, nil
// without one. An attempt that is given up is aborted.
func (c *conn) terminate() *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.current
	c.current, c.closed = nil, true
	if a != nil {
		c.abort()
	}
	c.Close()
	return a
}

// abort resets the connection. A request that has not arrived by then, such as one
// that is held up by a partition, is lost and does not run later.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	c.Close()
}

// writeLater sends the bytes that encode returns in a goroutine. Until that ends, the
// connection does not become idle.
func (c *conn) writeLater(encode func() []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = true
	w := &asyncWrite{conn: c, encode: encode}
	go w.run()
}

// asyncWrite sends a request, or the rest of one, in a goroutine of its own, because the
// loop that starts attempts must not block.
type asyncWrite struct {
	conn   *conn
	encode func() []byte
}

func (w *asyncWrite) run() {
	if _, err := w.conn.Write(w.encode()); err != nil {
		w.conn.Close() // conn.readLoop ends the attempt
		return
	}
	w.conn.mu.Lock()
	defer w.conn.mu.Unlock()
	w.conn.writing = false
}

// readLoop reads responses until the connection is closed.
func (c *conn) readLoop() {
	defer c.client.wg.Done()
	for {
		if _, err := c.reader.Peek(1); err != nil {
			c.fail(err)
			return
		}
		a := c.currentAttempt()
		if a == nil {
			c.terminate() // the upstream sent bytes without a request
			return
		}
		result, idleTimeout, err := a.readResponse(c)
		if err != nil {
			c.fail(err)
			return
		}
		if idleTimeout <= 0 || !c.setIdle(idleTimeout) {
			c.terminate()
			a.finish(result)
			return
		}
		c.lastRequest = a.forward.Request
		c.pool.put(c)
		a.finish(result)
	}
}

// fail closes the connection and ends the attempt that was using it.
func (c *conn) fail(err error) {
	if a := c.terminate(); a != nil {
		a.fail(a.failureReason(err))
	}
}
