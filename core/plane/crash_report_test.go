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

// newThreeZoneVM returns the control state of a VM in a fleet of three zones with
// four VMs each.
func newThreeZoneVM(id model.VMID) *plane.Control {
	t := &model.Topology{VMs: make(map[model.VMID]model.VM)}
	for n := range 12 {
		vm := model.VM{ID: model.VMID(fmt.Sprint("vm", n)), Zone: model.Zone([]string{"a", "b", "c"}[n/4])}
		t.VMs[vm.ID] = vm
	}
	var c plane.Control
	c.Start(startTime, event.Start{Role: event.RoleControl, VM: t.VMs[id], Loops: 2, InitialConfig: t}, nil)
	return &c
}

// recipients lists the VMs to which a report is sent, either those that must
// relay it or those that must not.
func recipients(out []effect.Effect, relay bool) []model.VMID {
	var ids []model.VMID
	for _, e := range out {
		if msg, ok := e.(effect.SendMessage); ok && msg.Message.(frame.CrashReport).Relay == relay {
			ids = append(ids, msg.To)
		}
	}
	return ids
}

// trafficBroadcasts counts the reports for all traffic loops.
func trafficBroadcasts(out []effect.Effect) (n int) {
	for _, e := range out {
		if to, ok := e.(effect.ToTraffic); ok && to.Loop == effect.AllLoops {
			n++
		}
	}
	return n
}

// crashOf returns a crash of an upstream with a number.
func crashOf(id model.UpstreamID, number int) []model.Crash {
	return []model.Crash{{Upstream: id, Number: number}}
}

// Guards against reports that some VM never receives, and against a cost that
// grows with the fleet.
func TestCrashReportReachesOwnZoneAndOneVMOfEachOther(t *testing.T) {
	out := newThreeZoneVM("vm5").HandleCrashReport(startTime, event.CrashReport{Fingerprint: 7, Crashes: model.NamedCrashes([]model.UpstreamID{"u1"})}, nil)
	if got, want := recipients(out, false), []model.VMID{"vm4", "vm6", "vm7"}; !slices.Equal(got, want) {
		t.Errorf("sent to %v of its own zone, want %v", got, want)
	}
	otherZones := recipients(out, true)
	if len(otherZones) != 2 || otherZones[0] > "vm3" && otherZones[0] < "vm8" {
		t.Fatalf("sent to %v of the other zones, want one VM of each", otherZones)
	}
	if trafficBroadcasts(out) != 1 {
		t.Errorf("sent to its own traffic loops %d times, want once", trafficBroadcasts(out))
	}
	out = newThreeZoneVM("vm1").HandlePeerMessage(startTime, event.PeerMessage{
		From: "vm5", Message: frame.CrashReport{Fingerprint: 7, Upstreams: []model.UpstreamID{"u1"}, Relay: true},
	}, nil)
	if got, want := recipients(out, false), []model.VMID{"vm0", "vm2", "vm3"}; !slices.Equal(got, want) ||
		len(recipients(out, true)) != 0 || trafficBroadcasts(out) != 1 {
		t.Errorf("passed on to %v and %v, want %v only", got, recipients(out, true), want)
	}
}

// Guards against copies of a report that circulate in the fleet, and against a
// later crash or a quarantine that is mistaken for a copy.
func TestOnlyNewCrashReportsArePassedOn(t *testing.T) {
	c := newThreeZoneVM("vm5")
	one, both, again := crashOf("u1", 1), append(crashOf("u1", 1), crashOf("u2", 1)...), crashOf("u1", 2)
	for i, step := range []struct {
		after time.Duration
		s     event.CrashReport
		want  int
	}{
		{0, event.CrashReport{Fingerprint: 7, Crashes: one}, 1},
		{time.Millisecond, event.CrashReport{Fingerprint: 7, Crashes: one}, 0},
		{time.Millisecond, event.CrashReport{Fingerprint: 9, Crashes: again}, 1},
		{time.Millisecond, event.CrashReport{Fingerprint: 9, Crashes: one}, 0},
		{time.Millisecond, event.CrashReport{Fingerprint: 9, Crashes: again}, 0},
		{time.Millisecond, event.CrashReport{Fingerprint: 9, Crashes: crashOf("u1", 3)}, 1},
		{2 * time.Millisecond, event.CrashReport{Fingerprint: 8, Crashes: one}, 1},
		{3 * time.Millisecond, event.CrashReport{Fingerprint: 7, Crashes: both, Quarantine: time.Minute}, 1},
		{4 * time.Millisecond, event.CrashReport{Fingerprint: 7, Crashes: both, Quarantine: time.Minute}, 0},
		{5 * time.Millisecond, event.CrashReport{Fingerprint: 8, Crashes: one, Quarantine: time.Minute}, 1},
		{5 * time.Second, event.CrashReport{Fingerprint: 8, Crashes: one}, 1},
		{2 * time.Minute, event.CrashReport{Fingerprint: 7, Crashes: both, Quarantine: time.Minute}, 1},
	} {
		m := frame.CrashReport{Fingerprint: step.s.Fingerprint, Upstreams: model.CrashNames(step.s.Crashes), Quarantine: step.s.Quarantine}
		out := c.HandlePeerMessage(startTime.Add(step.after), event.PeerMessage{From: "vm4", Message: m}, nil)
		if trafficBroadcasts(out) != step.want || len(recipients(out, false)) != 0 {
			t.Errorf("step %d: sent to the loops %d times and to VMs %v, want %d times and no VM",
				i, trafficBroadcasts(out), recipients(out, false), step.want)
		}
	}
}

// Guards against memory that grows with every crashing request.
func TestCrashRecordsAreBounded(t *testing.T) {
	c := newThreeZoneVM("vm5")
	for fp := range model.Fingerprint(1 << 14) {
		s := event.CrashReport{Fingerprint: fp, Crashes: crashOf("u1", 1), Quarantine: time.Minute}
		if trafficBroadcasts(c.HandleCrashReport(startTime, s, nil)) != 1 {
			t.Fatalf("report %d was not sent to the traffic loops", fp)
		}
	}
	if got := c.CrashRecords(); got > 1<<12 {
		t.Errorf("remembers %d fingerprints, want at most %d", got, 1<<12)
	}
}

// Guards against an entry VM that starts again and lets a request through that crashes
// upstreams, although the others know it, and against messages about requests that are
// in no quarantine.
func TestStartingVMLearnsTheQuarantines(t *testing.T) {
	f := newIsolationFixture()
	told := func(checksum uint64) (reports []frame.CrashReport) {
		out := f.control.HandlePeerMessage(f.now, event.PeerMessage{
			From: followerID, Message: frame.Digest{Zone: "a", UpstreamListChecksum: checksum},
		}, nil)
		for _, msg := range effectsOf[effect.SendMessage](out) {
			if report, ok := msg.Message.(frame.CrashReport); ok && msg.To == followerID {
				reports = append(reports, report)
			}
		}
		return reports
	}
	report := func(m frame.CrashReport) {
		f.control.HandlePeerMessage(f.now, event.PeerMessage{From: otherZoneEntryVM, Message: m}, nil)
	}
	report(frame.CrashReport{Fingerprint: 7, Upstreams: []model.UpstreamID{"u1", "u2", "u3"}, Quarantine: time.Minute})
	report(frame.CrashReport{Fingerprint: 8, Upstreams: []model.UpstreamID{"u1"}})
	f.now = f.now.Add(10 * time.Second)
	if got := told(0); len(got) != 1 || got[0].Fingerprint != 7 || len(got[0].Upstreams) != 3 || got[0].Quarantine != 50*time.Second || got[0].Relay {
		t.Errorf("got %+v for a VM without a list, want the request in quarantine for 50 s more", got)
	}
	if got := told(1); len(got) != 0 {
		t.Errorf("got %+v for a VM that has a list, want none", got)
	}
	report(frame.CrashReport{Answered: []model.AnsweredCrashes{{Fingerprint: 7, Upstreams: []model.UpstreamID{"u1", "u2", "u3"}}}})
	if got := told(0); len(got) != 0 {
		t.Errorf("got %+v after the request was answered, want none", got)
	}
}

// Guards against an answer that is not passed on, or that circulates in the fleet.
func TestAnsweredRequestsArePassedOnOnce(t *testing.T) {
	c := newThreeZoneVM("vm1")
	m := event.PeerMessage{From: "vm5", Message: frame.CrashReport{Answered: []model.AnsweredCrashes{{Fingerprint: 7}}, Relay: true}}
	out := c.HandlePeerMessage(startTime, m, nil)
	if got := recipients(out, false); len(got) != 3 || trafficBroadcasts(out) != 1 {
		t.Errorf("got it passed on to %v and %d times to the traffic, want three VMs and once", got, trafficBroadcasts(out))
	}
	if out := c.HandlePeerMessage(startTime, m, nil); len(recipients(out, false))+trafficBroadcasts(out) != 0 {
		t.Error("got a copy passed on")
	}
}
