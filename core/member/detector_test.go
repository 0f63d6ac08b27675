package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

var startTime = time.Unix(1_700_000_000, 0)

// testFleet runs a detector on every VM. The first VM is the parent of all
// others.
type testFleet struct {
	now         time.Time
	ids         []model.VMID
	detectors   map[model.VMID]*Detector
	dead        map[model.VMID]bool
	cutLinks    map[[2]model.VMID]bool
	otherParent map[model.VMID]bool // sends its digests to another VM
	notes       []effect.Note
}

func newTestFleet(n int) *testFleet {
	f := &testFleet{
		now: startTime, detectors: map[model.VMID]*Detector{}, dead: map[model.VMID]bool{}, cutLinks: map[[2]model.VMID]bool{},
		otherParent: map[model.VMID]bool{},
	}
	vms := map[model.VMID]model.VM{}
	for i := range n {
		id := model.VMID(fmt.Sprint("vm", i))
		f.ids = append(f.ids, id)
		vms[id] = model.VM{ID: id}
	}
	for i, id := range f.ids {
		f.detectors[id] = &Detector{Self: vms[id], Seed: uint64(i)}
		f.detectors[id].SetVMs(vms)
	}
	return f
}

func (f *testFleet) carryOut(from model.VMID, out []effect.Effect) {
	for _, e := range out {
		switch e := e.(type) {
		case effect.Note:
			f.notes = append(f.notes, e)
		case effect.SendMessage:
			if !f.dead[e.To] && !f.dead[from] && !f.cutLinks[[2]model.VMID{from, e.To}] {
				f.carryOut(e.To, f.detectors[e.To].HandlePeerMessage(f.now, from, e.Message, nil))
			}
		}
	}
}

func (f *testFleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(digestPeriod / 2) {
		for i, id := range f.ids {
			if f.dead[id] {
				continue
			}
			if i > 0 && !f.otherParent[id] && !f.cutLinks[[2]model.VMID{id, f.ids[0]}] {
				f.carryOut(f.ids[0], f.detectors[f.ids[0]].HandleHeartbeat(f.now, id, nil))
			}
			f.carryOut(id, f.detectors[id].HandleTimer(f.now, nil))
		}
	}
}

func (f *testFleet) suspects() []model.VMID { return f.detectors[f.ids[0]].Suspects(f.now) }

func (f *testFleet) setLink(a, b model.VMID, cut bool) {
	f.cutLinks[[2]model.VMID{a, b}] = cut
	f.cutLinks[[2]model.VMID{b, a}] = cut
}

// Guards against a failed VM that is not suspected, and one that stays suspected
// after it is back.
func TestFailedVMIsSuspectedUntilItReturns(t *testing.T) {
	f := newTestFleet(5)
	f.advance(5 * time.Second)
	f.dead["vm3"] = true
	f.advance(7 * time.Second)
	if got, want := f.suspects(), []model.VMID{"vm3"}; !slices.Equal(got, want) {
		t.Fatalf("suspects %v, want %v", got, want)
	}
	if len(f.notes) != 1 || f.notes[0].Cause == "" {
		t.Errorf("notes %v, want one with a cause", f.notes)
	}
	f.dead["vm3"] = false
	f.advance(time.Second)
	if got := f.suspects(); len(got) != 0 {
		t.Errorf("suspects %v after the return, want none", got)
	}
}

// Guards against suspicion of a VM whose link to its parent is cut, or that has
// chosen another parent.
func TestWitnessesPreventSuspicion(t *testing.T) {
	f := newTestFleet(5)
	f.advance(5 * time.Second)
	f.setLink("vm0", "vm3", true)
	f.otherParent["vm2"] = true
	f.advance(time.Minute)
	if got := f.suspects(); len(got) != 0 {
		t.Errorf("suspects %v, want none: the witnesses reach all", got)
	}
}

// Guards against suspicion of a VM that a live witness can reach, whatever links
// are cut.
func TestReachableVMIsNeverSuspected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(5)
		f.advance(2 * time.Second)
		for _, id := range f.ids[1:] {
			f.setLink("vm0", id, rapid.Bool().Draw(t, "cut "+string(id)))
		}
		f.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second)
		// With so many VMs linked to vm0, it reaches every witness, and each of
		// them the target.
		reachable := 0
		for _, id := range f.ids[1:] {
			if !f.cutLinks[[2]model.VMID{"vm0", id}] {
				reachable++
			}
		}
		if got := f.suspects(); reachable >= witnessesPerRound+1 && len(got) != 0 {
			t.Fatalf("suspects %v with %d reachable witnesses, want none", got, reachable)
		}
	})
}

// Guards against a VM that fails and returns repeatedly and is trusted each time,
// and one that is never trusted again.
func TestFlappingVMStaysSuspected(t *testing.T) {
	f := newTestFleet(5)
	f.advance(2 * time.Second)
	for range 5 {
		f.dead["vm3"] = true
		f.advance(8 * time.Second)
		f.dead["vm3"] = false
		f.advance(2 * time.Second)
	}
	if got, want := f.suspects(), []model.VMID{"vm3"}; !slices.Equal(got, want) {
		t.Errorf("suspects %v after five failures, want %v; notes %v", got, want, f.notes)
	}
	f.advance(90 * time.Second)
	if got := f.suspects(); len(got) != 0 {
		t.Errorf("suspects %v after 90 s without a failure, want none", got)
	}
}

// Guards against a suspicion from the platform's list alone, which lags.
func TestPlatformListOnlyStartsProbe(t *testing.T) {
	f := newTestFleet(3)
	f.advance(2 * time.Second)
	detector := f.detectors["vm0"]
	out := detector.HandlePlatformVMs(f.now.Add(2*digestPeriod), event.PlatformVMs{Leaving: []model.VMID{"vm1"}}, nil)
	if got := detector.Suspects(f.now); len(got) != 0 {
		t.Errorf("suspects %v from the list alone, want none", got)
	}
	probes := 0
	for _, e := range out {
		if msg, ok := e.(effect.SendMessage); ok && msg.Message.Kind() == frame.KindIndirectPing {
			probes++
		}
	}
	if probes == 0 {
		t.Error("a VM that is not listed as live is not probed")
	}
}
