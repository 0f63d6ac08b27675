package quorum

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreypulley/core/entry"
	"comfreypulley/core/model"
)

// TestFaults guards against lost or changed entries, two leaders in a term,
// stale reads and a log that does not recover, under random sequences of
// faults.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(3, 5).Draw(t, "size")
		voters := rapid.IntRange(3, size).Draw(t, "voters")
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), size, voters)
		w.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		steps := rapid.IntRange(5, 60).Draw(t, "steps")
		for range steps {
			n := w.nodes[rapid.IntRange(0, size-1).Draw(t, "node")]
			w.fault(n, rapid.IntRange(0, 15).Draw(t, "fault"))
			w.run(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			w.match()
		}
		w.recover()
	})
}

// fault applies one kind of fault or operation to a VM.
func (w *world) fault(n *node, kind int) {
	switch kind {
	case 0:
		w.stop(n)
	case 1, 2:
		if !n.up {
			w.start(n)
		}
	case 3:
		w.cut[n.vm] = !w.cut[n.vm]
	case 4:
		clear(w.cut)
	case 5:
		if w.replaceable(n) {
			w.stop(n)
			w.replace(n)
			w.start(n)
		}
	case 6:
		if n.up && n.applied > 0 {
			w.carry(n, n.log.Compact(w.now, entry.Image{Index: n.applied}, nil))
		}
	case 7:
		if n.up {
			w.carry(n, n.log.Resign(w.now, nil))
		}
	case 8, 9:
		w.want(w.nodes...)
	case 10:
		w.shrink()
	case 11:
		if n.up {
			read := uint64(len(n.reads))
			n.reads[read] = uint64(len(w.history))
			_, out := n.log.Confirm(w.now, read, nil)
			w.carry(n, out)
		}
	case 12, 13:
		w.blackout()
	default:
		if n := w.leader(); n != nil {
			for i := range 20 {
				w.propose(n, byte(i))
			}
		}
	}
}

// shrink reduces the wanted replicas to three. Fewer replicas tolerate fewer
// lost disks, so this is skipped where an operator would refuse it.
func (w *world) shrink() {
	narrow := w.narrow
	w.narrow = true
	if w.replaceable(nil) {
		w.want(w.nodes[:3]...)
	} else {
		w.narrow = narrow
	}
}

// blackout restarts every VM while writes are in flight.
func (w *world) blackout() {
	if lead := w.leader(); lead != nil {
		w.propose(lead, 1)
	}
	w.run(w.delay(15 * time.Millisecond))
	for _, n := range w.nodes {
		if n.up {
			w.stop(n)
			w.start(n)
		}
	}
}

func (w *world) want(nodes ...*node) {
	var vms []model.VMID
	for _, n := range nodes {
		vms = append(vms, n.vm)
	}
	for _, n := range w.nodes {
		if n.up {
			w.carry(n, n.log.Want(w.now, vms, nil))
		}
	}
}

// recover ends all faults and checks that every replica applies every committed
// entry and that the members become the wanted ones.
func (w *world) recover() {
	w.loss = 0
	clear(w.cut)
	for _, n := range w.nodes {
		if !n.up {
			w.start(n)
		}
	}
	w.want(w.nodes...)
	w.run(10 * time.Second)
	lead := w.elect()
	_, index := w.propose(lead, 1)
	w.run(2 * time.Second)
	w.match()
	if got := uint64(len(w.history)); got < index {
		w.t.Fatalf("committed up to %d after recovery, want %d", got, index)
	}
	for _, n := range w.nodes {
		if got, want := n.applied, uint64(len(w.history)); got != want {
			w.t.Fatalf("%s applied up to %d after recovery, want %d", n.vm, got, want)
		}
	}
	if got, want := len(lead.log.members.Voters), len(w.nodes); got != want {
		w.t.Fatalf("%d voters after recovery, want %d: %v", got, want, lead.log.members)
	}
}
