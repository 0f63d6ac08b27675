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

// Proxy forwards TCP connections to a target and applies Rules to them. Create it
// with Listen.
type Proxy struct {
	KeepSource bool // connect to the target from the address of the client; only on loopback. Set before Run.

	listener *net.TCPListener
	target   netip.AddrPort
	wg       sync.WaitGroup

	mu           sync.Mutex
	random       *rand.Rand
	rules        Rules
	rulesChanged chan struct{} // closed when the rules change
	connections  map[*connection]struct{}
	closed       bool
}

// Listen creates a proxy that listens on an address; port 0 selects a free port.
func Listen(addr, target netip.AddrPort, seed uint64) (p *Proxy, err error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("fault proxy: %w", err)
	}
	return &Proxy{
		listener: l, target: target, random: rand.New(rand.NewPCG(seed, 1)),
		rulesChanged: make(chan struct{}), connections: make(map[*connection]struct{}),
	}, nil
}

// Addr returns the address that clients connect to.
func (p *Proxy) Addr() netip.AddrPort {
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Rules returns the rules in force.
func (p *Proxy) Rules() Rules {
	rules, _ := p.currentRules()
	return rules
}

// SetRules replaces the rules, also for bytes that were received but not delivered yet.
// It returns an error for invalid rules and then keeps the present ones.
func (p *Proxy) SetRules(r Rules) (err error) {
	if err := r.validate(); err != nil {
		return fmt.Errorf("fault rules: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rules = r
	close(p.rulesChanged)
	p.rulesChanged = make(chan struct{})
	return nil
}

// ResetConns resets all open connections.
func (p *Proxy) ResetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		c.reset()
	}
}

// Run accepts and forwards connections until Close.
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
	p.ResetConns()
}

// accept starts a connection, or resets it if the rules or Close require that.
func (p *Proxy) accept(client *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	source := client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	c := &connection{proxy: p, client: client, source: source, done: make(chan struct{})}
	if p.closed || p.rules.Refuse {
		c.reset()
		return
	}
	if p.rules.MaxConnDelay > 0 {
		c.extraDelay = time.Duration(p.random.Int64N(int64(p.rules.MaxConnDelay)))
	}
	p.connections[c] = struct{}{}
	p.wg.Add(1)
	go c.run()
}

// remove closes a connection that has ended and forgets it.
func (p *Proxy) remove(c *connection) {
	c.reset()
	p.mu.Lock()
	delete(p.connections, c)
	p.mu.Unlock()
	p.wg.Done()
}

// currentRules returns the rules and a channel that is closed when they change.
func (p *Proxy) currentRules() (Rules, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rules, p.rulesChanged
}

// randomBelow draws a random duration below limit; 0 if limit is not positive.
func (p *Proxy) randomBelow(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.random.Int64N(int64(limit)))
}
