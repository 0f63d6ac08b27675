package plane_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
	"comfreypulley/core/plane"
)

// struckFleet is a VM of a fleet of three zones with four VMs each.
func struckFleet(id model.VMID) *plane.Control {
	t := &model.Topology{VMs: make(map[model.VMID]model.VM)}
	for n := range 12 {
		vm := model.VM{ID: model.VMID(fmt.Sprint("vm", n)), Zone: model.Zone([]string{"a", "b", "c"}[n/4])}
		t.VMs[vm.ID] = vm
	}
	var c plane.Control
	c.Start(began, event.Start{Role: event.RoleControl, VM: t.VMs[id], Loops: 2, InitialConfig: t}, nil)
	return &c
}

// told lists the VMs that were told of a strike to pass on or to keep.
func told(out []effect.Effect, pass bool) []model.VMID {
	var ids []model.VMID
	for _, e := range out {
		if tell, ok := e.(effect.SendMessage); ok && tell.Message.(frame.CrashReport).Relay == pass {
			ids = append(ids, tell.To)
		}
	}
	return ids
}

// shared counts the strikes handed to all traffic loops.
func shared(out []effect.Effect) (n int) {
	for _, e := range out {
		if to, ok := e.(effect.ToTraffic); ok && to.Loop == effect.AllLoops {
			n++
		}
	}
	return n
}

// Guards against strikes that some VM never hears of, and against a cost that
// grows with the fleet.
func TestStrikeReachesTheZoneAndOneVMOfEachOther(t *testing.T) {
	out := struckFleet("vm5").Struck(began, event.CrashReport{Fingerprint: 7, Upstreams: []model.UpstreamID{"u1"}}, nil)
	if got, want := told(out, false), []model.VMID{"vm4", "vm6", "vm7"}; !slices.Equal(got, want) {
		t.Errorf("told %v of the own zone, want %v", got, want)
	}
	beyond := told(out, true)
	if len(beyond) != 2 || beyond[0] > "vm3" && beyond[0] < "vm8" {
		t.Fatalf("told %v of the other zones, want one VM of each", beyond)
	}
	if shared(out) != 1 {
		t.Errorf("told the own traffic loops %d times, want once", shared(out))
	}
	out = struckFleet("vm1").Peer(began, event.PeerMessage{From: "vm5", Message: frame.CrashReport{Fingerprint: 7, Upstreams: []model.UpstreamID{"u1"}, Relay: true}}, nil)
	if got, want := told(out, false), []model.VMID{"vm0", "vm2", "vm3"}; !slices.Equal(got, want) || len(told(out, true)) != 0 || shared(out) != 1 {
		t.Errorf("passed on to %v and %v, want %v only", got, told(out, true), want)
	}
}

// Guards against copies of a strike that go round in the fleet, and against a
// later strike or the quarantine taken for a copy.
func TestOnlyNewStrikesAreHandedOn(t *testing.T) {
	c := struckFleet("vm5")
	one, both := []model.UpstreamID{"u1"}, []model.UpstreamID{"u1", "u2"}
	for i, step := range []struct {
		after time.Duration
		s     event.CrashReport
		want  int
	}{
		{0, event.CrashReport{Fingerprint: 7, Upstreams: one}, 1},
		{time.Millisecond, event.CrashReport{Fingerprint: 7, Upstreams: one}, 0},
		{2 * time.Millisecond, event.CrashReport{Fingerprint: 8, Upstreams: one}, 1},
		{3 * time.Millisecond, event.CrashReport{Fingerprint: 7, Upstreams: both, Quarantine: time.Minute}, 1},
		{4 * time.Millisecond, event.CrashReport{Fingerprint: 7, Upstreams: both, Quarantine: time.Minute}, 0},
		{5 * time.Millisecond, event.CrashReport{Fingerprint: 8, Upstreams: one, Quarantine: time.Minute}, 1},
		{5 * time.Second, event.CrashReport{Fingerprint: 8, Upstreams: one}, 1},
		{2 * time.Minute, event.CrashReport{Fingerprint: 7, Upstreams: both, Quarantine: time.Minute}, 1},
	} {
		m := frame.CrashReport{Fingerprint: step.s.Fingerprint, Upstreams: step.s.Upstreams, Quarantine: step.s.Quarantine}
		out := c.Peer(began.Add(step.after), event.PeerMessage{From: "vm4", Message: m}, nil)
		if shared(out) != step.want || len(told(out, false)) != 0 {
			t.Errorf("step %d: handed on %d times and to %v, want %d and nobody", i, shared(out), told(out, false), step.want)
		}
	}
}

// Guards against memory that grows with every crashing request.
func TestRememberedStrikesAreBounded(t *testing.T) {
	c := struckFleet("vm5")
	for fp := range model.Fingerprint(1 << 14) {
		s := event.CrashReport{Fingerprint: fp, Upstreams: []model.UpstreamID{"u1"}, Quarantine: time.Minute}
		if shared(c.Struck(began, s, nil)) != 1 {
			t.Fatalf("strike %d was not shared", fp)
		}
	}
	if got := c.Strikes(); got > 1<<12 {
		t.Errorf("remembers %d fingerprints, want at most %d", got, 1<<12)
	}
}
