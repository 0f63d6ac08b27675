package proxy

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Bounds of connections to upstreams.
const (
	dialTimeout  = 400 * time.Millisecond // a handshake takes about 10 ms
	idleTimeout  = 20 * time.Second       // unless the upstream states a shorter one
	freshWithin  = 250 * time.Millisecond // idle time after which a connection is not used for a request that must not run twice
	lateAnswer   = 30 * time.Millisecond  // an attempt may end this much after its timeout
	maxAnswer    = 8 << 20                // bytes of one answer
	mostIdle     = 8                      // connections kept for one upstream
	inlineBody   = 4096                   // bytes of a body that are sent without a goroutine of their own
	idleMargin   = time.Second            // a connection is closed this long before the upstream would
	shortestIdle = 500 * time.Millisecond
)

// Client sends requests to upstreams. The exported fields are set before use.
type Client struct {
	Dialect  *Dialect
	Post     func(event.Body)
	Exchange func(model.RequestID) *Exchange
	Source   netip.Addr // address that connections are dialled from; the system chooses when it is zero

	mu     sync.Mutex
	pools  map[model.UpstreamID]*pool
	calls  map[model.AttemptID]*call
	closed bool
	wg     sync.WaitGroup // connections
}

// Forward starts an attempt.
func (c *Client) Forward(f effect.Forward) {
	x := c.Exchange(f.Request)
	c.mu.Lock()
	if x == nil || c.closed {
		c.mu.Unlock()
		// The caller left before anything was sent.
		c.Post(event.AttemptFailed{Attempt: f.Attempt, Reason: model.FailedCancelled, Ran: model.RanNo})
		return
	}
	if c.calls == nil {
		c.calls = make(map[model.AttemptID]*call)
		c.pools = make(map[model.UpstreamID]*pool)
	}
	p, ok := c.pools[f.Upstream]
	if !ok || p.addr != f.Addr {
		if ok {
			p.close()
		}
		p = &pool{addr: f.Addr}
		c.pools[f.Upstream] = p
	}
	now := time.Now()
	a := &call{client: c, pool: p, exchange: x, forward: f, end: now.Add(f.Timeout)}
	c.calls[f.Attempt] = a
	c.mu.Unlock()
	a.start(now)
}

// Cancel ends an attempt early.
func (c *Client) Cancel(e effect.Cancel) {
	c.mu.Lock()
	a, ok := c.calls[e.Attempt]
	c.mu.Unlock()
	if ok {
		a.cancel()
	}
}

// Forget closes the idle connections to an upstream that is gone.
func (c *Client) Forget(e effect.CloseIdleConns) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pools[e.Upstream]; ok {
		p.close()
		delete(c.pools, e.Upstream)
	}
}

// Close cancels what is in flight and waits for it.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	for _, a := range c.calls {
		a.cancel()
	}
	for _, p := range c.pools {
		p.close()
	}
	c.mu.Unlock()
	c.wg.Wait()
}

func (c *Client) ended(id model.AttemptID) {
	c.mu.Lock()
	delete(c.calls, id)
	c.mu.Unlock()
}

func (c *Client) dial(addr netip.AddrPort, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if c.Source.IsValid() && !c.Source.IsUnspecified() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(c.Source, 0))
	}
	return d.Dial("tcp", addr.String())
}
