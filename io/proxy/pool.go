package proxy

import (
	"net/netip"
	"slices"
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
// Connections idle for longer than maxIdle stay in the pool, and so do those of an
// earlier attempt of the same request: a late second copy of its response would
// carry the same request id and pass for the response to the later attempt.
func (p *pool) take(a *attempt, now, deadline time.Time, maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idle) - 1; n >= 0; n-- {
		c := p.idle[n]
		if now.Sub(c.idleSince) > maxIdle && now.Before(c.idleUntil) {
			return nil
		}
		if c.lastRequest == a.forward.Request && now.Before(c.idleUntil) {
			continue
		}
		p.idle = slices.Delete(p.idle, n, n+1)
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
