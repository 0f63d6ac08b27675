package plane_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
	"comfreypulley/core/plane"
)

// Guards against entry VMs that do not learn of each other, of those in other
// zones, or go on using one that has left.
func TestDaemonsLearnOfEachOther(t *testing.T) {
	f := newEnrolled(1)
	found(f)
	addr := netip.MustParseAddrPort("10.0.1.1:7741")
	near := model.EntryVM{ID: "10.0.1.1", Zone: "a", PortionAddr: addr}
	far := model.EntryVM{ID: "10.0.2.1", Zone: "b", PortionAddr: addr}
	follow := func() {
		f.c.Peer(f.now, event.PeerMessage{From: near.ID, Message: frame.Digest{Zone: near.Zone, PortionAddr: addr}}, nil)
	}
	told := func(d time.Duration) map[model.VMID][]model.EntryVM {
		told := make(map[model.VMID][]model.EntryVM)
		for _, tell := range all[effect.SendMessage](f.tick(d, event.TimerUpstreamList)) {
			if m, ok := tell.Message.(frame.EntryVMs); ok {
				told[tell.To] = m.VMs
			}
		}
		return told
	}
	follow()
	f.c.Peer(f.now, event.PeerMessage{From: "10.0.0.2", Message: frame.EntryVMs{VMs: []model.EntryVM{far}}}, nil)
	got := told(time.Second)
	if want := []model.EntryVM{near, far}; !slices.Equal(got[near.ID], want) {
		t.Errorf("the entry VM is told %v, want %v", got[near.ID], want)
	}
	if want := []model.EntryVM{near}; !slices.Equal(got["10.0.0.2"], want) {
		t.Errorf("another VM with a disk is told %v, want the followers %v alone", got["10.0.0.2"], want)
	}
	follow()
	if got := told(time.Second); len(got) > 0 {
		t.Errorf("got %v again without a change", got)
	}
	follow()
	if got := told(3 * time.Second); got[near.ID] != nil || len(got["10.0.0.2"]) != 1 {
		t.Errorf("got %v after 3s without a change, want the followers for the VMs with disks alone", got)
	}
	again := all[effect.SendMessage](f.c.Peer(f.now, event.PeerMessage{From: near.ID, Message: frame.Digest{Zone: near.Zone, PortionAddr: addr, EntryVMsChecksum: 1}}, nil))
	if !slices.ContainsFunc(again, func(e effect.SendMessage) bool {
		m, ok := e.Message.(frame.EntryVMs)
		return ok && e.To == near.ID && len(m.VMs) == 2
	}) {
		t.Errorf("got %v for an entry VM with another list, want the whole list", again)
	}
	f.now = f.now.Add(5 * time.Second)
	if got, want := told(time.Second)["10.0.0.2"], []model.EntryVM(nil); !slices.Equal(got, want) {
		t.Errorf("after its silence the follower is told as %v, want none", got)
	}
}

// Guards against an entry VM whose traffic is not told of the others.
func TestDaemonsReachTraffic(t *testing.T) {
	var c plane.Control
	c.Start(began, event.Start{Role: event.RoleControl, VM: model.VM{ID: "10.0.1.1", Zone: "a"}, ProcessStart: began, Loops: 1, SelfRegistration: true}, nil)
	m := frame.EntryVMs{VMs: []model.EntryVM{{ID: "10.0.1.2", Zone: "a"}}}
	out := all[effect.ToTraffic](c.Peer(began, event.PeerMessage{From: "10.0.0.1", Message: m}, nil))
	if len(out) != 1 {
		t.Fatalf("got %d messages to the traffic, want 1", len(out))
	}
	if got, ok := out[0].Body.(event.EntryVMs); !ok || !slices.Equal(got.VMs, m.VMs) {
		t.Errorf("got %+v, want %+v", out[0].Body, m.VMs)
	}
	if again := all[effect.ToTraffic](c.Peer(began, event.PeerMessage{From: "10.0.0.1", Message: m}, nil)); len(again) != 0 {
		t.Errorf("got %+v for the same list", again)
	}
}

// fleetTold ticks until a second has passed and returns the size of the fleet that
// the follower 10.0.1.1 is told then.
func fleetTold(f *enrolled) int {
	const id = model.VMID("10.0.1.1")
	for range 5 {
		f.tick(lookPeriod, event.TimerUpstreamList)
	}
	f.c.Listed(f.now, event.UpstreamListRead{Upstreams: []model.Upstream{{ID: "u"}}}, nil)
	for _, tell := range all[effect.SendMessage](f.c.Peer(f.now, event.PeerMessage{From: id, Message: frame.Digest{PortionAddr: netip.MustParseAddrPort("10.0.1.1:7741")}}, nil)) {
		if m, ok := tell.Message.(frame.UpstreamList); ok && tell.To == id {
			return m.EntryVMCount
		}
	}
	return -1
}

// Guards against entry VMs that count twice because they ask several VMs with
// disks, so that each gets less than its part of the extra attempts: 102 VMs
// counted as 230 for seconds after a restart, and no late shard was asked again.
func TestFleetCountsEachDaemonOnce(t *testing.T) {
	f := newEnrolled(1)
	found(f)
	addr := netip.MustParseAddrPort("10.0.1.1:7741")
	const id = model.VMID("10.0.1.1")
	daemons := []model.EntryVM{{ID: id, Zone: "a", PortionAddr: addr}, {ID: "10.0.1.2", Zone: "a", PortionAddr: addr}}
	follow := func() {
		for _, d := range daemons {
			f.c.Peer(f.now, event.PeerMessage{From: d.ID, Message: frame.Digest{Zone: d.Zone, PortionAddr: addr}}, nil)
		}
		for _, disk := range []model.VMID{"10.0.0.2", "10.0.0.3"} {
			f.c.Peer(f.now, event.PeerMessage{From: disk, Message: frame.EntryVMs{VMs: daemons}}, nil)
			f.c.Peer(f.now, event.PeerMessage{From: disk, Message: frame.UpstreamList{EntryVMCount: 9}}, nil)
		}
	}
	follow()
	if got := fleetTold(f); got != 0 {
		t.Errorf("got a fleet of %d in the first second, want none known", got)
	}
	for range 3 {
		follow()
		if got := fleetTold(f); f.now.Sub(began) > 2*time.Second && got != len(daemons) {
			t.Errorf("got a fleet of %d, want %d", got, len(daemons))
		}
	}
}

// Guards against a part of the extra attempts that grows at once when daemons are
// not heard for a moment, while they go on spending theirs.
func TestFleetShrinksLate(t *testing.T) {
	f := newEnrolled(1)
	found(f)
	addr := netip.MustParseAddrPort("10.0.1.1:7741")
	f.now = f.now.Add(2 * time.Second)
	for n := range 10 {
		f.c.Peer(f.now, event.PeerMessage{From: model.VMID(fmt.Sprintf("10.0.1.%d", n+1)), Message: frame.Digest{Zone: "a", PortionAddr: addr}}, nil)
	}
	if got := fleetTold(f); got != 10 {
		t.Fatalf("got a fleet of %d, want 10", got)
	}
	for range 10 {
		if got := fleetTold(f); got != 10 {
			t.Errorf("got a fleet of %d after %s, want 10 still", got, f.now.Sub(began))
		}
	}
	for range 10 {
		fleetTold(f)
	}
	if got := fleetTold(f); got != 1 {
		t.Errorf("got a fleet of %d after %s with one daemon, want 1", got, f.now.Sub(began))
	}
}

// Guards against portions for a VM that is about to end: it says so at once, and
// the others are told.
func TestLeavingDaemonIsTakenOut(t *testing.T) {
	f := newEnrolled(1)
	found(f)
	f.now = f.now.Add(2 * time.Second)
	addr := netip.MustParseAddrPort("10.0.1.1:7741")
	for _, id := range []model.VMID{"10.0.1.1", "10.0.1.2"} {
		f.c.Peer(f.now, event.PeerMessage{From: id, Message: frame.Digest{Zone: "a", PortionAddr: addr}}, nil)
	}
	f.tick(lookPeriod, event.TimerUpstreamList)
	f.c.Peer(f.now, event.PeerMessage{From: "10.0.1.1", Message: frame.Digest{}}, nil)
	var told []model.EntryVM
	for range 3 {
		for _, tell := range all[effect.SendMessage](f.tick(lookPeriod, event.TimerUpstreamList)) {
			if m, ok := tell.Message.(frame.EntryVMs); ok && tell.To == "10.0.1.2" {
				told = m.VMs
			}
		}
	}
	if len(told) != 1 || told[0].ID != "10.0.1.2" {
		t.Errorf("the other VM is told %v, want itself alone", told)
	}

	var c plane.Control
	tree := &fakeTree{}
	c.Distribute(tree)
	c.Start(began, event.Start{Role: event.RoleControl, VM: model.VM{ID: "10.0.1.1", Zone: "a"}, ProcessStart: began, SelfRegistration: true, PortionAddr: addr}, nil)
	c.Leave(began, nil)
	if tree.timers != 1 {
		t.Errorf("got %d rounds of digests when the VM leaves, want 1 at once", tree.timers)
	}
}
