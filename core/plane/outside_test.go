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

const lookPeriod = 200 * time.Millisecond // of the control state

// bordered is a VM with a disk in zone a that has a list of upstreams and is
// followed by an entry VM; other zones have VMs with disks and an entry VM.
type bordered struct{ *enrolled }

const borderFollower, farEntry = model.VMID("10.0.1.1"), model.VMID("10.0.2.1")

func newBordered() bordered {
	b := bordered{newEnrolled(1)}
	found(b.enrolled)
	b.c.Listed(b.now, event.UpstreamListRead{Upstreams: []model.Upstream{{ID: "u"}}}, nil)
	b.c.Peer(b.now, event.PeerMessage{From: "10.0.0.2", Message: frame.EntryVMs{VMs: []model.EntryVM{
		{ID: farEntry, Zone: "b", PortionAddr: diskVM("10.0.2.1", "").PeerAddr},
	}}}, nil)
	b.pass(2400*time.Millisecond, true)
	return b
}

// pass lets time pass, in which another zone is heard or not, and returns the
// effects.
func (b bordered) pass(d time.Duration, heard bool) (out []effect.Effect) {
	for range d / lookPeriod {
		b.c.Peer(b.now, event.PeerMessage{From: borderFollower, Message: frame.Digest{Zone: "a", PortionAddr: diskVM("10.0.1.1", "").PeerAddr}}, nil)
		if heard {
			out = append(out, b.c.Peer(b.now, event.PeerMessage{From: "10.0.0.3", Message: frame.Pong{}}, nil)...)
		}
		out = append(out, b.tick(lookPeriod, event.TimerUpstreamList)...)
	}
	return out
}

// isolations returns what the follower is told of the zone.
func isolations(out []effect.Effect) (told []bool) {
	for _, tell := range all[effect.SendMessage](out) {
		if m, ok := tell.Message.(frame.UpstreamList); ok && tell.To == borderFollower {
			told = append(told, m.Isolated)
		}
	}
	return told
}

// Guards against a zone that is cut off and does not notice it, or goes on
// believing it.
func TestZoneThatIsCutOff(t *testing.T) {
	b := newBordered()
	if told := isolations(b.pass(2*time.Second, true)); slices.Contains(told, true) {
		t.Error("the zone counts as cut off though another one is heard")
	}
	out := b.pass(time.Second, false)
	pinged := make(map[model.VMID]bool)
	for _, tell := range all[effect.SendMessage](out) {
		if _, ok := tell.Message.(frame.Ping); ok {
			pinged[tell.To] = true
		}
	}
	for _, id := range []model.VMID{"10.0.0.2", "10.0.0.3", "10.0.0.4", farEntry} {
		if !pinged[id] {
			t.Errorf("%s was not pinged in a second without a message from another zone", id)
		}
	}
	if told := isolations(out); !slices.Contains(told, true) {
		t.Errorf("the follower is told %v in a second without a message from another zone, want cut off", told)
	}
	out = b.c.Peer(b.now, event.PeerMessage{From: farEntry, Message: frame.Pong{}}, nil)
	if told := isolations(out); !slices.Equal(told, []bool{false}) {
		t.Errorf("the follower is told %v when another zone is heard again, want not cut off", told)
	}
}

// Guards against a zone that counts as cut off before the pings of its VM can be
// answered: all entry VMs of a zone left the rotation for two milliseconds.
func TestPingsAreWaitedFor(t *testing.T) {
	b := newBordered()
	b.c.Peer(b.now.Add(90*time.Millisecond), event.PeerMessage{From: "10.0.0.3", Message: frame.Pong{}}, nil)
	for range 2 { // looks 110 and 310 ms after that message
		if told := isolations(b.pass(lookPeriod, false)); slices.Contains(told, true) {
			t.Errorf("the zone counts as cut off at the look that sends the first pings")
		}
	}
	if told := isolations(b.pass(lookPeriod, false)); !slices.Contains(told, true) {
		t.Error("the zone does not count as cut off when the pings are not answered")
	}
}

// Guards against a zone that takes itself for cut off because its VM stood still.
func TestStandingStillIsNoIsolation(t *testing.T) {
	b := newBordered()
	b.now = b.now.Add(5 * time.Second)
	if told := isolations(b.pass(lookPeriod, false)); slices.Contains(told, true) {
		t.Error("the zone counts as cut off after the VM stood still for 5s")
	}
}

// Guards against VMs that take themselves for cut off while the others start.
func TestStartIsNoIsolation(t *testing.T) {
	f := newEnrolled(1)
	found(f)
	f.c.Listed(f.now, event.UpstreamListRead{Upstreams: []model.Upstream{{ID: "u"}}}, nil)
	if told := isolations(bordered{f}.pass(2*time.Second, false)); slices.Contains(told, true) {
		t.Error("the zone counts as cut off within 2s of the start")
	}
	if told := isolations(bordered{f}.pass(time.Second, false)); !slices.Contains(told, true) {
		t.Error("the zone does not count as cut off though no other one was ever heard")
	}
}

// Guards against a ping that is not answered, so that a zone seems cut off.
func TestPingIsAnswered(t *testing.T) {
	var c plane.Control
	c.Start(began, event.Start{Role: event.RoleControl, VM: model.VM{ID: "10.0.1.1", Zone: "a"}, ProcessStart: began, Loops: 1, SelfRegistration: true}, nil)
	out := all[effect.SendMessage](c.Peer(began, event.PeerMessage{From: "10.0.0.2", Message: frame.Ping{Seq: 7}}, nil))
	if len(out) != 1 || out[0].To != "10.0.0.2" || out[0].Message != (frame.Pong{Seq: 7}) {
		t.Errorf("got %+v, want an answer to 10.0.0.2", out)
	}
}

// Guards against traffic that does not learn of the isolation of its zone, and
// against taking that of another zone for it.
func TestIsolationReachesTraffic(t *testing.T) {
	var c plane.Control
	c.Start(began, event.Start{
		Role: event.RoleControl, VM: model.VM{ID: "10.0.1.1", Zone: "a"}, ProcessStart: began, Loops: 1, SelfRegistration: true,
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
		out := c.Peer(began, event.PeerMessage{From: step.from, Message: frame.UpstreamList{Checksum: 1, Isolated: step.isolated}}, nil)
		for _, e := range all[effect.ToTraffic](out) {
			if m, ok := e.Body.(event.ZoneIsolation); ok {
				got = append(got, m.Isolated)
			}
		}
		if !slices.Equal(got, step.want) {
			t.Errorf("after %+v the traffic is told %v, want %v", step, got, step.want)
		}
	}
}
