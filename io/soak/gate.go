package soak

import (
	"net/netip"

	"comfreypulley/core/soak"
	"comfreypulley/io/fault"
)

// open starts a proxy.
func (s *Soak) open(addr, target netip.AddrPort) (*fault.Proxy, error) {
	p, err := fault.Listen(addr, target, s.Seed)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.proxies = append(s.proxies, p)
	s.mu.Unlock()
	go (&gate{proxy: p, soak: s}).run()
	return p, nil
}

// gate runs a proxy.
type gate struct {
	proxy *fault.Proxy
	soak  *Soak
}

func (g *gate) run() {
	if err := g.proxy.Run(); err != nil {
		g.soak.post(soak.HarnessFailed{Cause: err.Error()})
	}
}
