package proxy

import (
	"bufio"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// pool holds the idle connections to one upstream.
type pool struct {
	addr   netip.AddrPort
	mu     sync.Mutex
	idle   []*conn // the last used one at the end
	closed bool
}

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	reader *bufio.Reader
	until  time.Time // not used after
	since  time.Time // idle since
	used   bool      // brought an answer before
}

// take returns an idle connection that still looks sound, nil when there is
// none. Connections that were idle for longer than a limit are left alone.
func (p *pool) take(now time.Time, longest time.Duration) *conn {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[n-1]
		if now.Sub(c.since) > longest && now.Before(c.until) {
			p.mu.Unlock()
			return nil
		}
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if now.Before(c.until) && c.quiet() {
			return c
		}
		c.Close()
	}
}

// put keeps a connection for the next request.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= mostIdle {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// quiet reports whether nothing has arrived on an idle connection: neither its
// end nor bytes that belong to no request.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	// An expired deadline of the last request would fail the look itself.
	if err = c.SetDeadline(time.Time{}); err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN || err == unix.EINTR
		return true
	})
	return err == nil && quiet
}
