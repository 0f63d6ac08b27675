package soak

import (
	"fmt"
	"net/netip"
	"time"

	"comfreypulley/core/soak"
	"comfreypulley/io/fault"
	"comfreypulley/io/stub"
)

// applyEffects carries out effects of the reducer.
func (s *Soak) applyEffects(effects []soak.Effect) error {
	for _, e := range effects {
		if err := s.applyEffect(e); err != nil {
			return err
		}
	}
	return nil
}

func (s *Soak) applyEffect(e soak.Effect) error {
	switch e := e.(type) {
	case soak.StartVM:
		return s.vms[e.VM].startProcess(e)
	case soak.Signal:
		return s.vms[e.VM].signal(e)
	case soak.SetLinkFaults:
		for _, p := range s.proxiesOf(e.Link, e.Index) {
			if err := p.SetRules(s.proxyRules(e.Faults)); err != nil {
				return err
			}
		}
	case soak.ResetLink:
		for _, p := range s.proxiesOf(e.Link, e.Index) {
			p.ResetConns()
		}
	case soak.ChangeUpstream:
		return s.upstreams[e.Upstream].change(e)
	case soak.PauseUpstream:
		return s.upstreams[e.Upstream].stub.Change(func(next *stub.Settings) { next.Pause = e.Length })
	case soak.SwapUpstreams:
		s.swapUpstreams(e)
	case soak.SetUpstreamList:
		s.listState.Store(&e)
	case soak.SubmitDocument:
		return s.submit(e)
	case soak.OrderZone:
		s.orderZone(e)
	case soak.Note:
		_, err := fmt.Fprintf(s.faultLog, "%s %s\n", time.Now().Format("15:04:05.000"), e.Text)
		return err
	}
	return nil
}

// proxiesOf returns the proxies of a link.
func (s *Soak) proxiesOf(link soak.LinkKind, index int) []*fault.Proxy {
	switch link {
	case soak.PeerLink:
		v := s.vms[index]
		if v.portionProxy == nil {
			return []*fault.Proxy{v.peerProxy}
		}
		return []*fault.Proxy{v.peerProxy, v.portionProxy}
	case soak.CallerLink:
		return []*fault.Proxy{s.vms[index].callerProxy}
	default:
		return []*fault.Proxy{s.upstreams[index].proxy}
	}
}

// proxyRules translates the faults of a link into the rules of its proxies.
func (s *Soak) proxyRules(faults soak.LinkFaults) fault.Rules {
	stream := func(f soak.StreamFaults) fault.StreamRules {
		return fault.StreamRules{Delay: faults.Delay, Stall: f.Stall, Drop: f.Drop, Pieces: f.Pieces, PieceGap: pieceGap}
	}
	r := fault.Rules{Cut: faults.Cut, Refuse: faults.Refuse, Up: stream(faults.Up), Down: stream(faults.Down)}
	for _, zone := range faults.Zones {
		addr := s.vms[zone].site.VM.PeerAddr.Addr() // VM n is in zone n, for the first VMs
		r.Sources = append(r.Sources, fault.SourceRules{Prefix: netip.PrefixFrom(addr, zonePrefixBits).Masked(), Cut: true})
	}
	return r
}

const (
	zonePrefixBits = 24               // of the addresses of a zone
	pieceGap       = time.Millisecond // between the writes into which a chunk is split
)

// swapUpstreams makes two upstreams exchange their services and use new ids, as
// if each had restarted at the other's address, or shows this in the list.
func (s *Soak) swapUpstreams(e soak.SwapUpstreams) {
	a, b := s.upstreams[e.A], s.upstreams[e.B]
	if e.Listed {
		a.listedIdentity.Store(a.identity.Load())
		b.listedIdentity.Store(b.identity.Load())
		return
	}
	own, other := *a.identity.Load(), *b.identity.Load()
	a.takeIdentity(other)
	b.takeIdentity(own)
}

// takeIdentity makes an upstream answer with the service of an identity, under a
// new id.
func (u *upstream) takeIdentity(ident identity) {
	ident.id += "x"
	u.soak.setService(ident)
	u.identity.Store(&ident)
	u.stub.SetUpstreamID(ident.id)
}

// change crashes an upstream or sets its speed.
func (u *upstream) change(e soak.ChangeUpstream) error {
	if e.Crash {
		u.stub.Crash()
		return nil
	}
	return u.stub.Change(func(next *stub.Settings) { next.SlowFactor = e.SlowFactor })
}
