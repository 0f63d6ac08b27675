package dialer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/io/body"
)

// Limits of connections and answers.
const (
	dialTimeout    = 2 * time.Second
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 64 << 10
)

// Dialer sends attempts and probes to upstreams. Set the exported fields before
// use.
type Dialer struct {
	Post            func(event.Body) // passes an event to the loop
	RequestIDPrefix string           // makes request ids unique across VMs and restarts
	LocalAddr       netip.Addr       // local address of connections; the system chooses one when it is zero or unspecified

	mu       sync.Mutex
	pools    map[model.UpstreamID]*pool
	limiters map[model.UpstreamID]*connLimiter // kept when an upstream is removed, because it may be added again
	cancels  map[model.AttemptID]context.CancelFunc
	closed   bool
	wg       sync.WaitGroup
	bodies   body.Budget
	probes   atomic.Uint64 // sent
}

// pool holds the connections to one upstream.
type pool struct {
	transport *http.Transport
	maxConns  int
	addr      netip.AddrPort
	replaced  atomic.Bool // by a pool with another limit or address
}

// closeIfReplaced closes the idle connections of a replaced pool, which would
// otherwise count towards the upstream's limit. It is called after each request.
func (p *pool) closeIfReplaced() {
	if p.replaced.Load() {
		p.transport.CloseIdleConnections()
	}
}

// LimitConns sets the limit of connections to an upstream. After a change, new
// attempts use a new pool; those in flight finish on the old one.
func (d *Dialer) LimitConns(l effect.LimitConns) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pools == nil {
		d.pools = make(map[model.UpstreamID]*pool)
	}
	old, ok := d.pools[l.Upstream]
	if ok && old.maxConns == l.Conns && old.addr == l.Addr {
		return
	}
	if ok {
		old.replaced.Store(true)
		old.closeIfReplaced()
		delete(d.pools, l.Upstream)
	}
	if d.limiters == nil {
		d.limiters = make(map[model.UpstreamID]*connLimiter)
	}
	limiter, ok := d.limiters[l.Upstream]
	if !ok {
		limiter = &connLimiter{}
		d.limiters[l.Upstream] = limiter
	}
	limiter.setLimit(l.Conns)
	if l.Conns > 0 {
		d.pools[l.Upstream] = &pool{transport: d.newTransport(l.Conns, limiter), maxConns: l.Conns, addr: l.Addr}
	}
}

func (d *Dialer) newTransport(maxConns int, limiter *connLimiter) *http.Transport {
	dial := net.Dialer{Timeout: dialTimeout}
	if d.LocalAddr.IsValid() && !d.LocalAddr.IsUnspecified() {
		dial.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(d.LocalAddr, 0))
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			if err := limiter.acquire(ctx); err != nil {
				return nil, err
			}
			conn, err := dial.DialContext(ctx, network, addr)
			if err != nil {
				limiter.release()
				return nil, err
			}
			return &countingConn{Conn: conn, limiter: limiter}, nil
		},
		MaxConnsPerHost:        maxConns,
		MaxIdleConnsPerHost:    maxConns,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Send starts an attempt and posts its result later.
func (d *Dialer) Send(s effect.Send) {
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout)
	d.mu.Lock()
	pool, ok := d.pools[s.Upstream]
	if !ok || d.closed {
		d.mu.Unlock()
		cancel()
		d.Post(event.AttemptFailed{Attempt: s.Attempt, Reason: model.FailedRefused, Ran: model.RanNo})
		return
	}
	if d.cancels == nil {
		d.cancels = make(map[model.AttemptID]context.CancelFunc)
	}
	d.cancels[s.Attempt] = cancel
	d.wg.Add(1)
	d.mu.Unlock()
	a := &attempt{dialer: d, pool: pool, send: s}
	go a.run(ctx)
}

// Cancel aborts an attempt.
func (d *Dialer) Cancel(c effect.Cancel) {
	d.mu.Lock()
	cancel, ok := d.cancels[c.Attempt]
	d.mu.Unlock()
	if ok {
		cancel()
	}
}

// Probe requests an upstream's state. The result is posted later.
func (d *Dialer) Probe(p effect.Probe) {
	d.mu.Lock()
	pool, ok := d.pools[p.Upstream]
	if !ok || d.closed {
		d.mu.Unlock()
		return
	}
	d.wg.Add(1)
	d.mu.Unlock()
	task := &probe{dialer: d, pool: pool, probe: p}
	go task.run()
}

// nextProbeNumber returns a value of attemptHeader that no attempt has.
func (d *Dialer) nextProbeNumber() string { return "probe-" + strconv.FormatUint(d.probes.Add(1), 10) }

// Close cancels all attempts and waits for them and for the probes.
func (d *Dialer) Close() {
	d.mu.Lock()
	d.closed = true
	for _, cancel := range d.cancels {
		cancel()
	}
	for _, p := range d.pools {
		p.transport.CloseIdleConnections()
	}
	d.mu.Unlock()
	d.wg.Wait()
}

func (d *Dialer) finishAttempt(id model.AttemptID) {
	d.mu.Lock()
	cancel := d.cancels[id]
	delete(d.cancels, id)
	d.mu.Unlock()
	cancel()
	d.wg.Done()
}
