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
	idle   []*conn // the last used one at the end
	closed bool
}

// take gives an idle connection to a call, nil when there is none. Connections
// that were idle for longer than a limit are left alone.
func (p *pool) take(a *call, now, end time.Time, longest time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1]
		if now.Sub(c.since) > longest && now.Before(c.until) {
			return nil
		}
		p.idle = p.idle[:n-1]
		if now.Before(c.until) && c.begin(a, end) {
			return c
		}
		c.end()
	}
	return nil
}

// put keeps a connection for the next request.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= mostIdle {
		c.end()
		return
	}
	p.idle = append(p.idle, c)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.end()
	}
	p.idle = nil
}
