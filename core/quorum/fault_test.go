package quorum

import (
	"slices"
	"testing"
	"time"

	"comfreypulley/core/entry"
	"comfreypulley/core/event"
)

// TestLeaderLost guards against elections that take so long that the log
// commits nothing for more than 2 s.
func TestLeaderLost(t *testing.T) {
	for seed := range uint64(50) {
		w := newCluster(t, seed, 5, 5)
		w.stop(w.waitForLeader())
		lost := w.now
		w.waitForLeader()
		if got, want := w.now.Sub(lost), 2*time.Second; got > want {
			t.Errorf("seed %d: a new leader committed after %v, want at most %v", seed, got, want)
		}
	}
}

// TestIsolatedLeader guards against a leader without a majority that keeps
// accepting proposals or confirms a read.
func TestIsolatedLeader(t *testing.T) {
	w := newCluster(t, 1, 5, 5)
	lead := w.waitForLeader()
	w.isolated[lead.vm] = true
	lead.reads[1] = uint64(len(w.committed)) + 1 // higher than any index, so a confirmation fails the test
	_, out := lead.log.Confirm(w.now, 1, nil)
	w.execute(lead, out)
	w.run(maxElectionTimeout + 2*heartbeatPeriod)
	if got, _ := w.propose(lead, 1); got != entry.StatusNoMajority {
		t.Errorf("status of a proposal to an isolated leader is %v, want %v", got, entry.StatusNoMajority)
	}
}

// TestResign guards against a shutdown after which the log waits for an
// election timeout.
func TestResign(t *testing.T) {
	w := newCluster(t, 1, 3, 3)
	lead := w.waitForLeader()
	w.execute(lead, lead.log.Resign(w.now, nil))
	w.run(minElectionTimeout / 2)
	if got := w.leader(); got == nil || got == lead {
		t.Errorf("no other leader %v after the hand-over", minElectionTimeout/2)
	}
}

// TestFoundTwice guards against a second, empty log: one VM lost its disk and
// another one has none of the entries, and together they are a majority of the
// first voters.
func TestFoundTwice(t *testing.T) {
	w := newCluster(t, 1, 3, 3)
	lead := w.waitForLeader()
	missed, lost := w.nodes[0], w.nodes[1]
	if missed == lead {
		missed = w.nodes[2]
	} else if lost == lead {
		lost = w.nodes[2]
	}
	w.stop(missed)
	disk := missed.disk.Disk
	missed.disk.Entries, missed.disk.Term = nil, 0 // as if it had been down since the first entry
	missed.disk.Vote, missed.disk.Disk = entry.Replica{}, disk
	w.stop(lead)
	w.stop(lost)
	w.replaceDisk(lost)
	w.start(lost)
	w.start(missed)
	w.run(5 * time.Second)
	if got := w.leader(); got != nil {
		t.Errorf("%s leads although the only replica with the entries is down", got.vm)
	}
}

// TestReplaceThenKill guards against a disk replacement that can't complete
// when another VM is killed at the same time.
func TestReplaceThenKill(t *testing.T) {
	for seed := range uint64(20) {
		w := newCluster(t, seed, 5, 5)
		w.waitForLeader()
		w.setWanted(w.nodes...)
		w.stop(w.nodes[0])
		w.replaceDisk(w.nodes[0])
		w.start(w.nodes[0])
		w.stop(w.nodes[1])
		w.waitForLeader()
		w.setWanted(w.nodes...)
		w.run(5 * time.Second)
		lead := w.waitForLeader()
		if got, want := lead.log.members.Voters, (entry.Replica{VM: "vm0", Disk: w.nodes[0].disk.Disk}); !slices.Contains(got, want) {
			t.Errorf("seed %d: voters %v do not include %v", seed, got, want)
		}
	}
}

// TestShrinkWithLostDisks guards against the loss of the majority when the
// wanted replicas shrink: with two of five disks lost, the leader removed a
// live voter that was no longer wanted (rapid seed 435715).
func TestShrinkWithLostDisks(t *testing.T) {
	for seed := range uint64(20) {
		w := newCluster(t, seed, 5, 5)
		w.waitForLeader()
		for _, n := range w.nodes[:2] {
			w.stop(n)
			w.replaceDisk(n)
			w.start(n)
		}
		w.waitForLeader()
		w.run(time.Second)
		w.setWanted(w.nodes[:3]...)
		w.run(10 * time.Second)
		w.waitForLeader()
		w.setWanted(w.nodes[:3]...) // the leader may have been elected since the first call
		w.run(10 * time.Second)
		if got, want := len(w.waitForLeader().log.members.Voters), 3; got != want {
			t.Errorf("seed %d: %d voters, want %d", seed, got, want)
		}
	}
}

// TestDiskFailed guards against a replica that leads or votes without a disk.
func TestDiskFailed(t *testing.T) {
	w := newCluster(t, 1, 3, 3)
	lead := w.waitForLeader()
	w.execute(lead, lead.log.DiskFailed(w.now, event.DiskFailed{Problem: "no space"}, nil))
	if got := w.notes[len(w.notes)-1]; !got.Alert || got.Cause != "the disk failed: no space" {
		t.Errorf("got %+v, want an alert with the cause", got)
	}
	w.stop(w.nodes[(slices.Index(w.nodes, lead)+1)%3])
	w.run(5 * time.Second)
	if got := w.leader(); got != nil {
		t.Errorf("%s leads with one working disk of three", got.vm)
	}
}

// TestGroupCommit guards against a separate sync for each proposal.
func TestGroupCommit(t *testing.T) {
	w := newCluster(t, 1, 3, 3)
	lead := w.waitForLeader()
	w.run(time.Second)
	before, writes := uint64(len(w.committed)), lead.log.lastWrite
	for i := range 1000 {
		w.propose(lead, byte(i))
	}
	w.run(time.Second)
	if got, want := uint64(len(w.committed))-before, uint64(1000); got != want {
		t.Errorf("%d entries committed, want %d", got, want)
	}
	if got, want := lead.log.lastWrite-writes, uint64(2); got > want {
		t.Errorf("%d writes for 1000 proposals made during one sync, want at most %d", got, want)
	}
}
