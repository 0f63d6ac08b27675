package proxy

import (
	"net/netip"
	"sync"
	"time"
)

// pool holds the idle connections to one upstream.
type pool struct {
	addr   netip.AddrPort
	mu     sync.Mutex
	idle   []*conn // least recently used first
	closed bool
}

// take removes an idle connection from the pool and assigns it to an attempt,
// with a deadline for the response. It returns nil when there is none.
// Connections idle for longer than maxIdle stay in the pool.
func (p *pool) take(a *attempt, now, deadline time.Time, maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1]
		if now.Sub(c.idleSince) > maxIdle && now.Before(c.idleUntil) {
			return nil
		}
		p.idle = p.idle[:n-1]
		if now.Before(c.idleUntil) && c.assign(a, deadline) {
			return c
		}
		c.terminate()
	}
	return nil
}

// put returns an idle connection to the pool. It closes the connection when the
// pool is full or closed.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdleConns {
		c.terminate()
		return
	}
	p.idle = append(p.idle, c)
}

// close closes the idle connections and those that put returns later.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.terminate()
	}
	p.idle = nil
}
