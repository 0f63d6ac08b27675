package fault

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// connection is a client's connection through a proxy, with that to the target.
type connection struct {
	proxy      *Proxy
	client     *net.TCPConn
	source     netip.Addr
	extraDelay time.Duration // of all bytes of this connection
	done       chan struct{} // closed by reset

	mu       sync.Mutex
	target   *net.TCPConn // nil until connected
	isClosed bool
}

// run connects to the target, after the end of any partition, and forwards both
// directions until both have ended.
func (c *connection) run() {
	defer c.proxy.remove(c)
	if !c.waitForRules(func(r *Rules) bool { return !r.Cut }) || !c.dial() {
		return
	}
	var wg sync.WaitGroup
	upQueue, downQueue := make(chan chunk, queueLength), make(chan chunk, queueLength)
	wg.Go((&reader{conn: c, from: c.client, queue: upQueue}).loop)
	wg.Go((&writer{conn: c, to: c.target, direction: up, queue: upQueue}).loop)
	wg.Go((&reader{conn: c, from: c.target, queue: downQueue}).loop)
	wg.Go((&writer{conn: c, to: c.client, direction: down, queue: downQueue}).loop)
	wg.Wait()
}

// dial connects to the target.
func (c *connection) dial() bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	var d net.Dialer
	if c.proxy.KeepSource {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(c.source, 0))
	}
	conn, err := d.DialContext(ctx, "tcp", c.proxy.target.String())
	if err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.target = conn.(*net.TCPConn)
	if c.isClosed {
		resetConn(c.target)
		return false
	}
	return true
}

// reset resets the connections to the client and to the target.
func (c *connection) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return
	}
	c.isClosed = true
	close(c.done)
	resetConn(c.client)
	if c.target != nil {
		resetConn(c.target)
	}
}

// resetConn closes a TCP connection with a reset.
func resetConn(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// waitForRules waits until the rules meet a condition. It reports false when the
// connection is closed first.
func (c *connection) waitForRules(met func(*Rules) bool) bool {
	for {
		rules, changed := c.proxy.currentRules()
		rules = rules.forSource(c.source)
		if met(&rules) {
			return true
		}
		select {
		case <-changed:
		case <-c.done:
			return false
		}
	}
}

// waitUntil waits until a time. It reports false when the connection is closed
// first.
func (c *connection) waitUntil(at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.done:
		return false
	}
}
