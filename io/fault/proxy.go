package fault

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const dialTimeout = 2 * time.Second

// Proxy forwards TCP connections to a target under Rules. Make it with Listen.
type Proxy struct {
	listener *net.TCPListener
	target   netip.AddrPort
	wg       sync.WaitGroup

	mu      sync.Mutex
	random  *rand.Rand
	rules   Rules
	changed chan struct{} // closed when the rules change
	links   map[*link]struct{}
	closed  bool
}

// Listen opens a proxy on an address; port 0 takes a free one.
func Listen(addr, target netip.AddrPort, seed uint64) (p *Proxy, err error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("fault proxy: %w", err)
	}
	return &Proxy{
		listener: l, target: target, random: rand.New(rand.NewPCG(seed, 1)),
		changed: make(chan struct{}), links: make(map[*link]struct{}),
	}, nil
}

// Addr returns the address that clients use.
func (p *Proxy) Addr() netip.AddrPort {
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Rules returns the rules in force.
func (p *Proxy) Rules() Rules {
	rules, _ := p.current()
	return rules
}

// Set replaces the rules. They hold for the bytes on their way, too. Unusable
// rules are reported and not taken over.
func (p *Proxy) Set(r Rules) (err error) {
	if err := r.check(); err != nil {
		return fmt.Errorf("fault rules: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rules = r
	close(p.changed)
	p.changed = make(chan struct{})
	return nil
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.reset()
	}
}

// Run forwards until Close.
func (p *Proxy) Run() error {
	defer p.wg.Wait()
	for {
		client, err := p.listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("fault proxy: %w", err)
		}
		p.accept(client)
	}
}

// Close ends Run and resets the open connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) accept(client *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	source := client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	l := &link{proxy: p, client: client, source: source, broken: make(chan struct{})}
	if p.closed || p.rules.Refuse {
		l.reset()
		return
	}
	if p.rules.Skew > 0 {
		l.skew = time.Duration(p.random.Int64N(int64(p.rules.Skew)))
	}
	p.links[l] = struct{}{}
	p.wg.Add(1)
	go l.run()
}

func (p *Proxy) ended(l *link) {
	l.reset()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
	p.wg.Done()
}

// current returns the rules and the channel that is closed when they change.
func (p *Proxy) current() (Rules, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rules, p.changed
}

// jitter draws a delay below limit.
func (p *Proxy) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.random.Int64N(int64(limit)))
}
