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
		w := newCluster(t, rapid.Uint64().Draw(t, "seed"), size, voters)
		w.lossRate = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		steps := rapid.IntRange(5, 60).Draw(t, "steps")
		for range steps {
			n := w.nodes[rapid.IntRange(0, size-1).Draw(t, "node")]
			w.injectFault(n, rapid.IntRange(0, 15).Draw(t, "fault"))
			w.run(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			w.checkLogMatching()
		}
		w.recover()
	})
}

// injectFault applies one kind of fault or operation to a VM.
func (w *cluster) injectFault(n *node, kind int) {
	switch kind {
	case 0:
		w.stop(n)
	case 1, 2:
		if !n.up {
			w.start(n)
		}
	case 3:
		w.isolated[n.vm] = !w.isolated[n.vm]
	case 4:
		clear(w.isolated)
	case 5:
		if w.canLoseDisk(n) {
			w.stop(n)
			w.replaceDisk(n)
			w.start(n)
		}
	case 6:
		if n.up && n.applied > 0 {
			w.execute(n, n.log.Compact(w.now, entry.Image{Index: n.applied}, nil))
		}
	case 7:
		if n.up {
			w.execute(n, n.log.Resign(w.now, nil))
		}
	case 8, 9:
		w.setWanted(w.nodes...)
	case 10:
		w.shrink()
	case 11:
		if n.up {
			read := uint64(len(n.reads))
			n.reads[read] = uint64(len(w.committed))
			_, out := n.log.Confirm(w.now, read, nil)
			w.execute(n, out)
		}
	case 12, 13:
		w.restartAll()
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
func (w *cluster) shrink() {
	narrow := w.shrunk
	w.shrunk = true
	if w.canLoseDisk(nil) {
		w.setWanted(w.nodes[:3]...)
	} else {
		w.shrunk = narrow
	}
}

// restartAll restarts every VM while writes are in flight.
func (w *cluster) restartAll() {
	if lead := w.leader(); lead != nil {
		w.propose(lead, 1)
	}
	w.run(w.randomDelay(15 * time.Millisecond))
	for _, n := range w.nodes {
		if n.up {
			w.stop(n)
			w.start(n)
		}
	}
}

func (w *cluster) setWanted(nodes ...*node) {
	var vms []model.VMID
	for _, n := range nodes {
		vms = append(vms, n.vm)
	}
	for _, n := range w.nodes {
		if n.up {
			w.execute(n, n.log.Want(w.now, vms, nil))
		}
	}
}

// recover ends all faults and checks that every replica applies every committed
// entry and that the members become the wanted ones.
func (w *cluster) recover() {
	w.lossRate = 0
	clear(w.isolated)
	for _, n := range w.nodes {
		if !n.up {
			w.start(n)
		}
	}
	w.setWanted(w.nodes...)
	w.run(10 * time.Second)
	lead := w.waitForLeader()
	_, index := w.propose(lead, 1)
	w.run(2 * time.Second)
	w.checkLogMatching()
	if got := uint64(len(w.committed)); got < index {
		w.t.Fatalf("committed up to %d after recovery, want %d", got, index)
	}
	for _, n := range w.nodes {
		if got, want := n.applied, uint64(len(w.committed)); got != want {
			w.t.Fatalf("%s applied up to %d after recovery, want %d", n.vm, got, want)
		}
	}
	if got, want := len(lead.log.members.Voters), len(w.nodes); got != want {
		w.t.Fatalf("%d voters after recovery, want %d: %v", got, want, lead.log.members)
	}
}
