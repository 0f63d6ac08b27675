package soak

import (
	"fmt"
	"net/netip"
	"time"

	"comfreypulley/core/soak"
	"comfreypulley/io/fault"
	"comfreypulley/io/stub"
)

// carry carries out effects.
func (s *Soak) carry(effects []soak.Effect) error {
	for _, e := range effects {
		if err := s.do(e); err != nil {
			return err
		}
	}
	return nil
}

func (s *Soak) do(e soak.Effect) error {
	switch e := e.(type) {
	case soak.StartVM:
		return s.vms[e.VM].spawn(e)
	case soak.Signal:
		return s.vms[e.VM].signal(e)
	case soak.SetLinkFaults:
		for _, p := range s.at(e.Link, e.Index) {
			if err := p.Set(s.rules(e.Faults)); err != nil {
				return err
			}
		}
	case soak.ResetLink:
		for _, p := range s.at(e.Link, e.Index) {
			p.Reset()
		}
	case soak.ChangeUpstream:
		return s.hosts[e.Upstream].change(e)
	case soak.SwapUpstreams:
		s.swap(e)
	case soak.SetUpstreamList:
		s.roster.Store(&e)
	case soak.SubmitDocument:
		return s.send(e)
	case soak.Note:
		_, err := fmt.Fprintf(s.faults, "%s %s\n", time.Now().Format("15:04:05.000"), e.Text)
		return err
	}
	return nil
}

// at returns the proxies at a place.
func (s *Soak) at(place soak.LinkKind, index int) []*fault.Proxy {
	switch place {
	case soak.PeerLink:
		v := s.vms[index]
		if v.gathers == nil {
			return []*fault.Proxy{v.peers}
		}
		return []*fault.Proxy{v.peers, v.gathers}
	case soak.CallerLink:
		return []*fault.Proxy{s.vms[index].callers}
	default:
		return []*fault.Proxy{s.hosts[index].proxy}
	}
}

// rules translates harm into the rules of a proxy.
func (s *Soak) rules(h soak.LinkFaults) fault.Rules {
	flow := func(f soak.StreamFaults) fault.Flow {
		return fault.Flow{Delay: h.Delay, Stall: f.Stall, Lose: f.Drop, Pieces: f.Pieces, Gap: pieceGap}
	}
	r := fault.Rules{Cut: h.Cut, Refuse: h.Refuse, Up: flow(h.Up), Down: flow(h.Down)}
	for _, zone := range h.Zones {
		addr := s.vms[zone].site.VM.PeerAddr.Addr() // the first VMs are in the zones of their numbers
		r.Sources = append(r.Sources, fault.Source{From: netip.PrefixFrom(addr, zoneBits).Masked(), Cut: true})
	}
	return r
}

const (
	zoneBits = 24 // of the addresses of a zone
	pieceGap = time.Millisecond
)

// swap makes two upstreams answer as each other, under new ids as after a new
// start, or shows it in the list.
func (s *Soak) swap(e soak.SwapUpstreams) {
	a, b := s.hosts[e.A], s.hosts[e.B]
	if e.Listed {
		a.listed.Store(a.now.Load())
		b.listed.Store(b.now.Load())
		return
	}
	was, other := *a.now.Load(), *b.now.Load()
	a.become(other)
	b.become(was)
}

func (h *host) become(k identity) {
	k.id += "x"
	h.soak.setService(k)
	h.now.Store(&k)
	h.stub.Rename(k.id)
}

// change changes an upstream.
func (h *host) change(e soak.ChangeUpstream) error {
	if e.Crash {
		h.stub.Crash()
		return nil
	}
	return h.stub.Change(func(next *stub.Settings) { next.Slow = e.SlowFactor })
}
