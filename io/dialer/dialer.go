package dialer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Bounds of connections and answers.
const (
	dialTimeout = 2 * time.Second
	idleTimeout = 90 * time.Second
	maxAnswer   = 8 << 20 // bytes of one shard's answer
	maxHeader   = 64 << 10
)

// Dialer carries out attempts and probes. Post and Origin are set before use.
type Dialer struct {
	Post   func(event.Body)
	Origin string     // prefix that makes request ids unique across VMs and restarts
	Source netip.Addr // address that connections are dialled from; the system chooses when it is zero or unspecified

	mu        sync.Mutex
	upstreams map[model.UpstreamID]*client
	places    map[model.UpstreamID]*places // kept when an upstream is removed, since it may return
	calls     map[model.AttemptID]context.CancelFunc
	closed    bool
	wg        sync.WaitGroup
}

// client holds the connections to one upstream.
type client struct {
	transport *http.Transport
	conns     int
	addr      netip.AddrPort
	retired   atomic.Bool // a pool with another limit took its place
}

// release closes the connections that an exchange leaves idle on a retired pool,
// so that they do not keep their places.
func (c *client) release() {
	if c.retired.Load() {
		c.transport.CloseIdleConnections()
	}
}

// Limit sets the connections to an upstream. A changed limit uses a new pool;
// the attempts in flight end on the old one.
func (d *Dialer) Limit(l effect.LimitConns) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.upstreams == nil {
		d.upstreams = make(map[model.UpstreamID]*client)
	}
	known, ok := d.upstreams[l.Upstream]
	if ok && known.conns == l.Conns && known.addr == l.Addr {
		return
	}
	if ok {
		known.retired.Store(true)
		known.release()
		delete(d.upstreams, l.Upstream)
	}
	if d.places == nil {
		d.places = make(map[model.UpstreamID]*places)
	}
	p, ok := d.places[l.Upstream]
	if !ok {
		p = &places{}
		d.places[l.Upstream] = p
	}
	p.setLimit(l.Conns)
	if l.Conns > 0 {
		d.upstreams[l.Upstream] = &client{transport: d.newTransport(l.Conns, p), conns: l.Conns, addr: l.Addr}
	}
}

func (d *Dialer) newTransport(conns int, p *places) *http.Transport {
	dial := net.Dialer{Timeout: dialTimeout}
	if d.Source.IsValid() && !d.Source.IsUnspecified() {
		dial.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(d.Source, 0))
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			if err := p.take(ctx); err != nil {
				return nil, err
			}
			conn, err := dial.DialContext(ctx, network, addr)
			if err != nil {
				p.release()
				return nil, err
			}
			return &countedConn{Conn: conn, places: p}, nil
		},
		MaxConnsPerHost:        conns,
		MaxIdleConnsPerHost:    conns,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeader,
	}
}

// Send starts an attempt.
func (d *Dialer) Send(s effect.Send) {
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout)
	d.mu.Lock()
	known, ok := d.upstreams[s.Upstream]
	if !ok || d.closed {
		d.mu.Unlock()
		cancel()
		d.Post(event.AttemptFailed{Attempt: s.Attempt, Reason: model.FailedRefused, Ran: model.RanNo})
		return
	}
	if d.calls == nil {
		d.calls = make(map[model.AttemptID]context.CancelFunc)
	}
	d.calls[s.Attempt] = cancel
	d.wg.Add(1)
	d.mu.Unlock()
	c := &call{dialer: d, client: known, send: s}
	go c.run(ctx)
}

// Cancel ends an attempt early.
func (d *Dialer) Cancel(c effect.Cancel) {
	d.mu.Lock()
	cancel, ok := d.calls[c.Attempt]
	d.mu.Unlock()
	if ok {
		cancel()
	}
}

// Probe asks an upstream for its report.
func (d *Dialer) Probe(p effect.Probe) {
	d.mu.Lock()
	known, ok := d.upstreams[p.Upstream]
	if !ok || d.closed {
		d.mu.Unlock()
		return
	}
	d.wg.Add(1)
	d.mu.Unlock()
	r := &report{dialer: d, client: known, probe: p}
	go r.run()
}

// Close cancels what is in flight and waits for it.
func (d *Dialer) Close() {
	d.mu.Lock()
	d.closed = true
	for _, cancel := range d.calls {
		cancel()
	}
	for _, c := range d.upstreams {
		c.transport.CloseIdleConnections()
	}
	d.mu.Unlock()
	d.wg.Wait()
}

func (d *Dialer) ended(id model.AttemptID) {
	d.mu.Lock()
	cancel := d.calls[id]
	delete(d.calls, id)
	d.mu.Unlock()
	cancel()
	d.wg.Done()
}
