package soak

import (
	"fmt"
	"net/netip"
	"slices"
	"sync/atomic"

	"comfreypulley/core/soak"
	"comfreypulley/io/fault"
	"comfreypulley/io/stub"
)

// upstream is a stand-in for an upstream, with the proxy in front of it.
type upstream struct {
	soak           *Soak
	number         int
	stub           *stub.Stub
	server         *stub.Server
	proxy          *fault.Proxy
	identity       atomic.Pointer[identity] // under which it answers
	listedIdentity atomic.Pointer[identity] // that the list of upstreams shows
}

// identity is the id and service of an upstream.
type identity struct{ id, service string }

// addUpstream starts an upstream and its proxy.
func (s *Soak) addUpstream(n int, service string) (err error) {
	u := &upstream{soak: s, number: n}
	initial := &identity{id: fmt.Sprintf("u%d", n), service: service}
	u.identity.Store(initial)
	s.setService(*initial)
	u.listedIdentity.Store(initial)
	u.stub, err = stub.New(stub.Config{
		ID: fmt.Sprintf("u%d", n), Seed: s.Seed + uint64(n),
		Settings: stub.Settings{
			Slots: upstreamSlots, MaxQueued: upstreamQueue, MaxConns: upstreamConns, MedianServiceTime: serviceTime, ServiceTimeSigma: serviceTimeSpread,
			RareFraction: slowFraction, RareFactor: slowFactor, RestartDelay: restartTime,
		},
		Forwarding: &stub.ForwardingConfig{HeaderNames: s.Platform.HeaderNames(), Watcher: u},
	})
	if err != nil {
		return err
	}
	// Each upstream has its own IP address. On a shared one, the port of an
	// upstream that has crashed could go to another soak test, whose requests
	// would then arrive here.
	addr := netip.AddrPortFrom(s.ip(byte(n%zones), byte(firstUpstreamByte+n)), 0)
	if u.server, err = stub.Listen(u.stub, stub.Endpoint{Addr: addr}); err != nil {
		return err
	}
	go u.run()
	u.proxy, err = s.startProxy(anyPort, u.server.Addr(0), true)
	s.upstreams = append(s.upstreams, u)
	return err
}

// run serves the upstream until it is closed, and posts its error.
func (u *upstream) run() {
	if err := u.server.Run(); err != nil {
		u.soak.post(soak.HarnessFailed{Cause: err.Error()})
	}
}

// Arrived implements stub.Watcher.
func (u *upstream) Arrived(a stub.Arrival) {
	u.soak.post(soak.RequestArrived{Run: soak.Run{
		Receipt: a.Receipt, Upstream: u.number, Service: u.soak.serviceOf(a.Intended), RequestID: a.CallerRequestID, Digest: a.RequestHash,
		Wait: a.Wait, Accepted: a.Accepted, Records: a.Records,
		Sender: u.soak.vmAt(a.Source), Pause: a.Pause,
		Team: soak.Team(a.Team), KeyPassed: a.KeyPassed,
	}})
}

// Ended implements stub.Watcher.
func (u *upstream) Ended(receipt, tag string, finished bool) {
	u.soak.post(soak.RunEnded{Receipt: receipt, RequestID: tag, Finished: finished})
}

// vmAt returns the number of the VM at an address, -1 if there is none.
func (s *Soak) vmAt(addr netip.Addr) int {
	return slices.IndexFunc(s.vms, func(v *vm) bool { return v.site.VM.PeerAddr.Addr() == addr })
}

// serviceOf returns the service of an upstream.
func (s *Soak) serviceOf(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.services[id]
}

func (s *Soak) setService(ident identity) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.services[ident.id] = ident.service
}
