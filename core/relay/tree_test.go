package relay

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreypulley/core/effect"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// Guards against a VM that misses a change for good, or goes back, after loss,
// duplication, reordering, partitions and restarts.
func TestTreesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(3, 5, rapid.IntRange(2, 3).Draw(t, "disks"), rapid.Uint64().Draw(t, "seed"))
		f.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		f.dup = rapid.Float64Range(0, 0.3).Draw(t, "dup")
		f.jitter = time.Duration(rapid.IntRange(1, 300).Draw(t, "jitter")) * time.Millisecond
		vm := rapid.SampledFrom(f.ids)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				f.isolate(f.vms[vm.Draw(t, "zone of")].Zone, rapid.Bool().Draw(t, "cut"))
			case 1:
				f.part(vm.Draw(t, "a"), vm.Draw(t, "b"), true)
			case 2:
				f.start(vm.Draw(t, "restarted"))
			default:
				for range rapid.IntRange(1, 2*retained).Draw(t, "changes") {
					f.commit()
				}
			}
			if lower := f.run(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond); lower != "" {
				t.Fatalf("revision of %s went down", lower)
			}
		}
		clear(f.cut)
		f.loss = 0
		f.commit()
		if lower := f.run(10 * time.Second); lower != "" {
			t.Fatalf("revision of %s went down", lower)
		}
		if list := f.behind(f.reach()); len(list) != 0 {
			t.Fatalf("10 s after healing: %v", list)
		}
	})
}

// Guards against VMs that wait for each other, or give up, while a way to the
// newest configuration exists.
func TestTreesFindAWay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(3, 5, rapid.IntRange(2, 3).Draw(t, "disks"), rapid.Uint64().Draw(t, "seed"))
		f.run(3 * time.Second)
		share := rapid.Float64Range(0, 0.8).Draw(t, "share of links cut")
		for i, a := range f.ids {
			for _, b := range f.ids[:i] {
				f.part(a, b, f.rng.Float64() < share)
			}
		}
		f.commit()
		f.run(2 * time.Minute)
		f.commit()
		f.run(time.Minute)
		if list := f.behind(f.reach()); len(list) != 0 {
			t.Fatalf("3 minutes after the cut: %v", list)
		}
	})
}

// Guards against a healed zone that waits for a search round before it catches
// up, and against pushes that wait for a digest.
func TestTreeDelay(t *testing.T) {
	for _, zone := range []model.Zone{"c", "d"} { // with and without a disk
		f := newFleet(4, 5, 3, 1)
		f.run(5 * time.Second)
		f.commit()
		f.run(200 * time.Millisecond)
		if list := f.behind(f.reach()); len(list) != 0 {
			t.Errorf("200 ms after a change: %v", list)
		}
		f.isolate(zone, true)
		for range 60 {
			f.commit()
			f.run(500 * time.Millisecond)
		}
		f.isolate(zone, false)
		f.run(3 * time.Second)
		if list := f.behind(f.reach()); len(list) != 0 {
			t.Errorf("3 s after healing: %v", list)
		}
	}
}

// Guards against a VM that stays with a dead parent, or with another one after
// its own came back.
func TestTreeReplacesParent(t *testing.T) {
	f := newFleet(3, 12, 2, 1)
	f.run(5 * time.Second)
	n := f.nodes["c11"]
	if got, want := n.tree.Parent(), model.VMID("c01"); got != want {
		t.Fatalf("parent %s, want %s", got, want)
	}
	for _, id := range f.ids {
		f.part("c01", id, id != "c01")
	}
	f.run(5 * time.Second)
	if got, want := n.tree.Parent(), model.VMID("c00"); got != want {
		t.Errorf("parent %s after the first one fell silent, want %s", got, want)
	}
	clear(f.cut)
	f.run(2 * time.Second)
	if got, want := n.tree.Parent(), model.VMID("c01"); got != want {
		t.Errorf("parent %s after the first one came back, want %s", got, want)
	}
}

// Guards against a wait for silence after the connection to the parent broke,
// and against a return to a parent that is still down.
func TestTreeDown(t *testing.T) {
	f := newFleet(3, 12, 2, 1)
	f.run(5 * time.Second)
	tree := f.nodes["c11"].tree
	out := tree.Down(f.now, "c01", nil)
	if got, want := tree.Parent(), model.VMID("c00"); got != want {
		t.Errorf("parent %s, want %s", got, want)
	}
	if !slices.ContainsFunc(out, func(e effect.Effect) bool { tell, ok := e.(effect.SendMessage); return ok && tell.To == "c00" }) {
		t.Errorf("effects %v, want a digest to c00", out)
	}
	tree.Down(f.now, "c00", nil)
	if got := tree.Parent(); got == "c00" || got == "c01" {
		t.Errorf("parent %s, which is down", got)
	}
}

// Guards against a zone that loses what only its VMs below know when the VM at
// their head restarts without contact to a replica.
func TestTreeAsksBelow(t *testing.T) {
	f := newFleet(3, 5, 2, 1)
	f.run(5 * time.Second)
	out := f.nodes["c00"].tree.Peer(f.now, "c04", frame.Digest{Revision: 7}, nil)
	asked := slices.ContainsFunc(out, func(e effect.Effect) bool {
		tell, _ := e.(effect.SendMessage)
		_, digest := tell.Message.(frame.Digest)
		return tell.To == "c04" && digest
	})
	if !asked {
		t.Errorf("effects %v ask c04 for nothing, want a digest", out)
	}
}

// Guards against a cycle of VMs that lasts longer than one digest.
func TestTreeLeavesCycle(t *testing.T) {
	f := newFleet(3, 5, 2, 1)
	f.run(5 * time.Second)
	tree := f.nodes["c03"].tree
	tree.Peer(f.now, "c00", frame.ConfigDelta{From: 1, To: 1, Ancestors: []model.VMID{"c02", "c03", "a00"}}, nil)
	if got := tree.Parent(); got == "c00" {
		t.Errorf("parent is still %s, which this VM feeds", got)
	}
}

// Guards against a VM that serves before it asked, or serves an old
// configuration although its zone has the newest.
func TestTreeReady(t *testing.T) {
	f := newFleet(3, 5, 3, 1)
	f.run(3 * time.Second)
	for range 500 {
		f.commit()
	}
	f.run(time.Second)
	f.start("b03")
	if f.nodes["b03"].tree.Ready(f.now) {
		t.Error("ready before any answer")
	}
	n := f.nodes["b03"]
	n.tree.Peer(f.now, "b00", frame.ConfigDelta{From: 501, To: 501}, nil)
	if n.tree.Ready(f.now) {
		t.Error("ready behind a revision that an answer named")
	}
	f.run(time.Second)
	if got, want := n.store.Revision(), model.Revision(501); got != want || !n.tree.Ready(f.now) {
		t.Errorf("after 1 s: revision %d, ready %v, want revision %d", got, n.tree.Ready(f.now), want)
	}
}

// Guards against a configuration that stays different from the fleet's because
// its revision is the same.
func TestTreeRepairsChecksum(t *testing.T) {
	f := newFleet(3, 5, 3, 1)
	f.run(3 * time.Second)
	f.nodes["b03"].store.ops[0].ID = "other"
	f.run(3 * time.Second)
	if got, want := f.nodes["b03"].store.Checksum(), f.nodes["a00"].store.Checksum(); got != want {
		t.Errorf("checksum %x, want %x", got, want)
	}
}

// Guards against a report of the VMs below that grows with the fleet, and one
// that never arrives.
func TestTreeHeard(t *testing.T) {
	f := newFleet(2, 20, 2, 1)
	f.run(20 * time.Second)
	n := f.nodes["a00"]
	if got, want := len(n.tree.Heard(f.now)), 19; got < want {
		t.Errorf("the first replica heard of %d VMs, want at least %d", got, want)
	}
	n.tree.Suspect("a15", true)
	for _, h := range n.tree.Heard(f.now) {
		if got, want := h.Suspected, h.VM == "a15"; got != want {
			t.Errorf("suspect %s: got %v, want %v", h.VM, got, want)
		}
	}
}
