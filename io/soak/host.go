package soak

import (
	"fmt"
	"net/netip"
	"sync/atomic"

	"comfreypulley/core/soak"
	"comfreypulley/io/fault"
	"comfreypulley/io/stub"
)

// host is an upstream and the proxy before it.
type host struct {
	soak   *Soak
	number int
	stub   *stub.Stub
	host   *stub.Server
	proxy  *fault.Proxy
	now    atomic.Pointer[identity] // as which it answers
	listed atomic.Pointer[identity] // as which the list has it
}

// identity is as which an upstream answers.
type identity struct{ id, service string }

func (s *Soak) addHost(n int, service string) (err error) {
	h := &host{soak: s, number: n}
	known := &identity{id: fmt.Sprintf("u%d", n), service: service}
	h.now.Store(known)
	s.setService(*known)
	h.listed.Store(known)
	h.stub, err = stub.New(stub.Config{
		ID: fmt.Sprintf("u%d", n), Seed: s.Seed + uint64(n),
		Settings: stub.Settings{
			Slots: hostSlots, MaxQueued: hostQueue, MaxConns: hostConns, MedianServiceTime: hostService, ServiceTimeSigma: hostSpread,
			RareFraction: hostRare, RareFactor: hostRareBy, RestartDelay: hostRestart,
		},
		Forwarding: &stub.ForwardingConfig{HeaderNames: s.Rig.HeaderNames(), Watcher: h},
	})
	if err != nil {
		return err
	}
	// With an address of its own: the port of an upstream that has crashed would
	// otherwise go to another soak, whose requests then came here.
	addr := netip.AddrPortFrom(s.ip(byte(n%zones), byte(firstHost+n)), 0)
	if h.host, err = stub.Listen(h.stub, stub.Endpoint{Addr: addr}); err != nil {
		return err
	}
	go h.run()
	h.proxy, err = s.open(anyPort, h.host.Addr(0))
	s.hosts = append(s.hosts, h)
	return err
}

func (h *host) run() {
	if err := h.host.Run(); err != nil {
		h.soak.post(soak.Failed{Cause: err.Error()})
	}
}

// Arrived implements stub.Watcher.
func (h *host) Arrived(a stub.Arrival) {
	h.soak.post(soak.Arrived{Run: soak.Run{
		ID: a.Receipt, Host: h.number, Service: h.soak.service(a.Upstream), Tag: a.CallerRequestID, Digest: a.RequestHash, Wait: a.Wait, Accepted: a.Accepted, Records: a.Records,
	}})
}

// Ended implements stub.Watcher.
func (h *host) Ended(receipt, tag string, finished bool) {
	h.soak.post(soak.Ended{ID: receipt, Tag: tag, Finished: finished})
}

// service returns that of an upstream's id.
func (s *Soak) service(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.services[id]
}

func (s *Soak) setService(k identity) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.services[k.id] = k.service
}
