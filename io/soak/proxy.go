package soak

import (
	"net/netip"

	"comfreypulley/core/soak"
	"comfreypulley/io/fault"
)

// startProxy starts a fault-injecting proxy, which may connect from the address of its
// client.
func (s *Soak) startProxy(addr, target netip.AddrPort, keepSource bool) (*fault.Proxy, error) {
	p, err := fault.Listen(addr, target, s.Seed)
	if err != nil {
		return nil, err
	}
	p.KeepSource = keepSource
	s.mu.Lock()
	s.proxies = append(s.proxies, p)
	s.mu.Unlock()
	go (&proxyRunner{proxy: p, soak: s}).run()
	return p, nil
}

// proxyRunner runs a proxy until it is closed, and posts its error.
type proxyRunner struct {
	proxy *fault.Proxy
	soak  *Soak
}

func (r *proxyRunner) run() {
	if err := r.proxy.Run(); err != nil {
		r.soak.post(soak.HarnessFailed{Cause: err.Error()})
	}
}
