package proxy

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/io/body"
)

// Limits of connections to upstreams.
const (
	dialTimeout        = 400 * time.Millisecond // a TCP handshake takes about 10 ms
	defaultIdleTimeout = 20 * time.Second       // unless the upstream or the attempt requests a shorter one
	staleAfter         = 250 * time.Millisecond // idle time after which a connection is not used for a request that must not be repeated
	timeoutGrace       = 30 * time.Millisecond  // by which an attempt may exceed its timeout
	maxIdleConns       = 8                      // per upstream
	maxInlineBody      = 4096                   // bytes of a request body up to which the loop copies and sends it
	idleTimeoutMargin  = time.Second            // by which a connection is closed before the upstream would close it
	minIdleTimeout     = 500 * time.Millisecond
)

// Client sends requests to upstreams and portions of them to other VMs. Set the
// exported fields before use.
type Client struct {
	HeaderNames   *HeaderNames
	Post          func(event.Body)                     // passes an event to the loop
	CallerRequest func(model.RequestID) *CallerRequest // returns nil when the request has ended
	LocalAddr     netip.Addr                           // local address of connections; the system chooses one when it is zero or unspecified

	mu       sync.Mutex
	pools    map[model.UpstreamID]*pool
	attempts map[model.AttemptID]*attempt
	closed   bool
	wg       sync.WaitGroup // open connections
	bodies   body.Budget
}

// Forward starts an attempt and posts its result later.
func (c *Client) Forward(f effect.Forward) {
	request := c.CallerRequest(f.Request)
	c.mu.Lock()
	if request == nil || c.closed {
		c.mu.Unlock()
		// The caller has disconnected, or the client is closed. Nothing was sent.
		c.Post(event.AttemptFailed{Attempt: f.Attempt, Reason: model.FailedCancelled, Ran: model.RanNo})
		return
	}
	if c.attempts == nil {
		c.attempts = make(map[model.AttemptID]*attempt)
	}
	p := c.poolOf(f.Upstream, f.Addr)
	now := time.Now()
	a := &attempt{client: c, pool: p, request: request, forward: f, deadline: now.Add(f.Timeout)}
	c.attempts[f.Attempt] = a
	c.mu.Unlock()
	a.start(now)
}

// poolOf returns the pool of an upstream at an address. It must be called with mu
// held.
func (c *Client) poolOf(id model.UpstreamID, addr netip.AddrPort) *pool {
	p, ok := c.pools[id]
	if ok && p.addr == addr {
		return p
	}
	if ok {
		p.close()
	}
	if c.pools == nil {
		c.pools = make(map[model.UpstreamID]*pool)
	}
	p = &pool{addr: addr}
	c.pools[id] = p
	return p
}

// OpenConn opens a connection to an upstream and posts the result later.
func (c *Client) OpenConn(e effect.OpenConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.wg.Add(1)
	o := &connOpener{client: c, pool: c.poolOf(e.Upstream, e.Addr), effect: e}
	go o.run()
}

// Cancel aborts an attempt.
func (c *Client) Cancel(e effect.Cancel) {
	c.mu.Lock()
	a, ok := c.attempts[e.Attempt]
	c.mu.Unlock()
	if ok {
		a.cancel()
	}
}

// CloseIdleConns closes the idle connections to an upstream.
func (c *Client) CloseIdleConns(e effect.CloseIdleConns) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pools[e.Upstream]; ok {
		p.close()
		delete(c.pools, e.Upstream)
	}
}

// Close cancels all attempts and waits until their connections are closed.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	for _, a := range c.attempts {
		a.cancel()
	}
	for _, p := range c.pools {
		p.close()
	}
	c.mu.Unlock()
	c.wg.Wait()
}

func (c *Client) removeAttempt(id model.AttemptID) {
	c.mu.Lock()
	delete(c.attempts, id)
	c.mu.Unlock()
}

func (c *Client) dial(addr netip.AddrPort, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if c.LocalAddr.IsValid() && !c.LocalAddr.IsUnspecified() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(c.LocalAddr, 0))
	}
	return d.Dial("tcp", addr.String())
}
