package plane_test

import (
	"slices"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
	"comfreypulley/core/plane"
)

const checkPeriod = 200 * time.Millisecond // between two checks of the control state

// isolationFixture is a disk VM in zone a that has a list of upstreams and is
// followed by an entry VM. Other zones have disk VMs and an entry VM.
type isolationFixture struct{ *registrationFixture }

const followerID, otherZoneEntryVM = model.VMID("10.0.1.1"), model.VMID("10.0.2.1")

func newIsolationFixture() isolationFixture {
	b := isolationFixture{newRegistrationFixture(1)}
	commitInitialConfig(b.registrationFixture)
	b.control.HandleUpstreamListRead(b.now, event.UpstreamListRead{Upstreams: []model.Upstream{{ID: "u"}}}, nil)
	b.control.HandlePeerMessage(b.now, event.PeerMessage{From: "10.0.0.2", Message: frame.EntryVMs{VMs: []model.EntryVM{
		{ID: otherZoneEntryVM, Zone: "b", PortionAddr: diskVM("10.0.2.1", "").PeerAddr},
	}}}, nil)
	b.advance(2400*time.Millisecond, true)
	return b
}

// advance lets time pass, with or without messages from another zone, and returns
// the effects.
func (b isolationFixture) advance(d time.Duration, heard bool) (out []effect.Effect) {
	for range d / checkPeriod {
		b.control.HandlePeerMessage(b.now, event.PeerMessage{
			From: followerID, Message: frame.Digest{Zone: "a", PortionAddr: diskVM("10.0.1.1", "").PeerAddr},
		}, nil)
		if heard {
			out = append(out, b.control.HandlePeerMessage(b.now, event.PeerMessage{From: "10.0.0.3", Message: frame.Pong{}}, nil)...)
		}
		out = append(out, b.fireTimer(checkPeriod, event.TimerUpstreamList)...)
	}
	return out
}

// isolationsSent returns the isolation states of the zone that are sent to the
// follower.
func isolationsSent(out []effect.Effect) (isolated []bool) {
	for _, msg := range effectsOf[effect.SendMessage](out) {
		if m, ok := msg.Message.(frame.UpstreamList); ok && msg.To == followerID {
			isolated = append(isolated, m.Isolated)
		}
	}
	return isolated
}

// Guards against a zone that is cut off without detecting it, or that still
// counts as cut off when messages from another zone arrive again.
func TestZoneThatIsCutOff(t *testing.T) {
	b := newIsolationFixture()
	if isolated := isolationsSent(b.advance(2*time.Second, true)); slices.Contains(isolated, true) {
		t.Error("the zone counts as cut off though another one is heard")
	}
	out := b.advance(time.Second, false)
	pinged := make(map[model.VMID]bool)
	for _, msg := range effectsOf[effect.SendMessage](out) {
		if _, ok := msg.Message.(frame.Ping); ok {
			pinged[msg.To] = true
		}
	}
	for _, id := range []model.VMID{"10.0.0.2", "10.0.0.3", "10.0.0.4", otherZoneEntryVM} {
		if !pinged[id] {
			t.Errorf("%s was not pinged in a second without a message from another zone", id)
		}
	}
	if isolated := isolationsSent(out); !slices.Contains(isolated, true) {
		t.Errorf("the follower is told %v in a second without a message from another zone, want cut off", isolated)
	}
	out = b.control.HandlePeerMessage(b.now, event.PeerMessage{From: otherZoneEntryVM, Message: frame.Pong{}}, nil)
	if isolated := isolationsSent(out); !slices.Equal(isolated, []bool{false}) {
		t.Errorf("the follower is told %v when another zone is heard again, want not cut off", isolated)
	}
}

// Guards against a zone that counts as cut off before its VM's pings can be
// answered: all entry VMs of a zone left the load balancer's rotation for two
// milliseconds.
func TestIsolationWaitsForPongs(t *testing.T) {
	b := newIsolationFixture()
	b.control.HandlePeerMessage(b.now.Add(90*time.Millisecond), event.PeerMessage{From: "10.0.0.3", Message: frame.Pong{}}, nil)
	for range 2 { // checks 110 and 310 ms after that message
		if isolated := isolationsSent(b.advance(checkPeriod, false)); slices.Contains(isolated, true) {
			t.Errorf("the zone counts as cut off at the check that sends the first pings")
		}
	}
	if isolated := isolationsSent(b.advance(checkPeriod, false)); !slices.Contains(isolated, true) {
		t.Error("the zone does not count as cut off when the pings are not answered")
	}
}

// Guards against a zone that counts as cut off because its VM was stalled.
func TestStalledVMReportsNoIsolation(t *testing.T) {
	b := newIsolationFixture()
	b.now = b.now.Add(5 * time.Second)
	if isolated := isolationsSent(b.advance(checkPeriod, false)); slices.Contains(isolated, true) {
		t.Error("the zone counts as cut off after the VM was stalled for 5s")
	}
}

// Guards against VMs whose zone counts as cut off while the other zones start.
func TestNoIsolationDuringStart(t *testing.T) {
	f := newRegistrationFixture(1)
	commitInitialConfig(f)
	f.control.HandleUpstreamListRead(f.now, event.UpstreamListRead{Upstreams: []model.Upstream{{ID: "u"}}}, nil)
	if isolated := isolationsSent(isolationFixture{f}.advance(2*time.Second, false)); slices.Contains(isolated, true) {
		t.Error("the zone counts as cut off within 2s of the start")
	}
	if isolated := isolationsSent(isolationFixture{f}.advance(time.Second, false)); !slices.Contains(isolated, true) {
		t.Error("the zone does not count as cut off though no other one was ever heard")
	}
}

// Guards against a ping without an answer, which makes a zone count as cut off.
func TestPingIsAnswered(t *testing.T) {
	var c plane.Control
	c.Start(startTime, event.Start{
		Role: event.RoleControl, VM: model.VM{ID: "10.0.1.1", Zone: "a"}, ProcessStart: startTime, Loops: 1, SelfRegistration: true,
	}, nil)
	out := effectsOf[effect.SendMessage](c.HandlePeerMessage(startTime, event.PeerMessage{From: "10.0.0.2", Message: frame.Ping{Seq: 7}}, nil))
	if len(out) != 1 || out[0].To != "10.0.0.2" || out[0].Message != (frame.Pong{Seq: 7}) {
		t.Errorf("got %+v, want an answer to 10.0.0.2", out)
	}
}

// Guards against traffic states that are not notified that their zone is cut
// off, or that mistake the isolation of another zone for that of their own.
func TestIsolationReachesTraffic(t *testing.T) {
	var c plane.Control
	c.Start(startTime, event.Start{
		Role: event.RoleControl, VM: model.VM{ID: "10.0.1.1", Zone: "a"}, ProcessStart: startTime, Loops: 1, SelfRegistration: true,
		Peers: []model.VM{diskVM("10.0.0.1", "a"), diskVM("10.0.0.2", "b")},
	}, nil)
	for _, step := range []struct {
		from     model.VMID
		isolated bool
		want     []bool
	}{
		{from: "10.0.0.2", isolated: true},
		{from: "10.0.0.1", isolated: true, want: []bool{true}},
		{from: "10.0.0.1", isolated: true},
		{from: "10.0.0.2", isolated: true, want: []bool{false}},
		{from: "10.0.0.1", isolated: true, want: []bool{true}},
		{from: "10.0.0.1", want: []bool{false}},
	} {
		var got []bool
		out := c.HandlePeerMessage(startTime, event.PeerMessage{From: step.from, Message: frame.UpstreamList{Checksum: 1, Isolated: step.isolated}}, nil)
		for _, e := range effectsOf[effect.ToTraffic](out) {
			if m, ok := e.Body.(event.ZoneIsolation); ok {
				got = append(got, m.Isolated)
			}
		}
		if !slices.Equal(got, step.want) {
			t.Errorf("after %+v the traffic states are told %v, want %v", step, got, step.want)
		}
	}
}

// Guards against an entry VM that believes a control VM which is cut off from the
// others, after it has found another parent: the control VM takes its own state
// for that of the zone, and its list and count lack the entry VMs of other zones.
func TestOnlyTheParentReportsOnTheFleet(t *testing.T) {
	const cutOff, parent = model.VMID("10.0.0.1"), model.VMID("10.0.0.2")
	var c plane.Control
	c.SetTree(&fakeTree{store: c.TreeStore(), parent: parent})
	c.Start(startTime, event.Start{
		Role: event.RoleControl, VM: model.VM{ID: "10.0.1.1", Zone: "a"}, ProcessStart: startTime, Loops: 1, SelfRegistration: true,
		Peers: []model.VM{diskVM(string(cutOff), "a"), diskVM(string(parent), "b")},
	}, nil)
	deliver := func(from model.VMID, m frame.Message) []effect.ToTraffic {
		return effectsOf[effect.ToTraffic](c.HandlePeerMessage(startTime, event.PeerMessage{From: from, Message: m}, nil))
	}
	all := []model.EntryVM{{ID: "10.0.1.2", Zone: "a"}, {ID: otherZoneEntryVM, Zone: "b"}}
	deliver(parent, frame.EntryVMs{VMs: all})
	deliver(parent, frame.UpstreamList{Checksum: 1, ReadSeq: 1, Complete: true, EntryVMCount: 2})
	if got := deliver(cutOff, frame.EntryVMs{VMs: all[:1]}); len(got) != 0 {
		t.Errorf("got %+v after the list of a VM that is not the parent, want no change", got)
	}
	for _, e := range deliver(cutOff, frame.UpstreamList{Checksum: 2, ReadSeq: 2, Complete: true, EntryVMCount: 1, Isolated: true}) {
		switch body := e.Body.(type) {
		case event.ZoneIsolation:
			t.Errorf("got %+v after the report of a VM that is not the parent, want no change", body)
		case event.UpstreamList:
			if got, want := body.EntryVMCount, 2; got != want {
				t.Errorf("got %d entry VMs with the newer list of a VM that is not the parent, want %d", got, want)
			}
		}
	}
}

// Guards against traffic states that are not told that changes may be missing, or
// that they are there again.
func TestOverdueConfigurationReachesTraffic(t *testing.T) {
	var c plane.Control
	tree := &fakeTree{store: c.TreeStore()}
	c.SetTree(tree)
	c.Start(startTime, event.Start{
		Role: event.RoleControl, VM: model.VM{ID: "10.0.1.1", Zone: "a"}, ProcessStart: startTime, Loops: 1, SelfRegistration: true,
		Peers: []model.VM{diskVM("10.0.0.1", "a")},
	}, nil)
	for _, overdue := range []bool{true, false} {
		tree.overdue = overdue
		out := c.HandleTimer(startTime, event.TimerID{Kind: event.TimerTree}, nil)
		got := effectsOf[effect.ToTraffic](out)
		if len(got) != 1 || got[0].Body != (event.ConfigOverdue{Overdue: overdue}) {
			t.Errorf("got %+v, want a report with overdue %t", got, overdue)
		}
	}
}
