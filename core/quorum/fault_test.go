package quorum

import (
	"slices"
	"testing"
	"time"

	"comfreypulley/core/entry"
	"comfreypulley/core/event"
)

// Guards against elections that take so long that the log commits nothing for
// more than 2 s.
func TestLeaderLost(t *testing.T) {
	for seed := range uint64(50) {
		c := newCluster(t, seed, 5, 5)
		c.stop(c.waitForLeader())
		lostAt := c.now
		c.waitForLeader()
		if got, want := c.now.Sub(lostAt), 2*time.Second; got > want {
			t.Errorf("seed %d: a new leader committed after %v, want at most %v", seed, got, want)
		}
	}
}

// Guards against a leader without a majority that keeps accepting proposals or
// confirms a read.
func TestIsolatedLeader(t *testing.T) {
	c := newCluster(t, 1, 5, 5)
	lead := c.waitForLeader()
	c.isolated[lead.vm] = true
	lead.reads[1] = uint64(len(c.committed)) + 1 // higher than any index, so a confirmation fails the test
	_, out := lead.log.Confirm(c.now, 1, nil)
	c.execute(lead, out)
	c.run(maxElectionTimeout + 2*heartbeatPeriod)
	if got, _ := c.propose(lead, 1); got != entry.StatusNoMajority {
		t.Errorf("status of a proposal to an isolated leader is %v, want %v", got, entry.StatusNoMajority)
	}
}

// Guards against a shutdown after which the log waits for an election timeout.
func TestResign(t *testing.T) {
	c := newCluster(t, 1, 3, 3)
	lead := c.waitForLeader()
	c.execute(lead, lead.log.Resign(c.now, nil))
	c.run(minElectionTimeout / 2)
	if got := c.leader(); got == nil || got == lead {
		t.Errorf("no other leader %v after the hand-over", minElectionTimeout/2)
	}
}

// Guards against a shutdown during changes after which the log waits for an election
// timeout: two voters that are both asked to take over split the votes.
func TestResignDuringChanges(t *testing.T) {
	for seed := range uint64(100) {
		c := newCluster(t, seed, 5, 5)
		lead := c.waitForLeader()
		for key := range byte(10) {
			c.propose(lead, key)
		}
		c.execute(lead, lead.log.Resign(c.now, nil))
		c.run(minElectionTimeout / 2)
		if got := c.leader(); got == nil || got == lead {
			t.Errorf("seed %d: no other leader %v after the handover", seed, minElectionTimeout/2)
		}
	}
}

// Guards against a second, empty log: one VM lost its disk and another one has
// none of the entries, and together they are a majority of the initial voters.
func TestNoSecondLog(t *testing.T) {
	c := newCluster(t, 1, 3, 3)
	lead := c.waitForLeader()
	withoutEntries, lostDisk := c.nodes[0], c.nodes[1]
	if withoutEntries == lead {
		withoutEntries = c.nodes[2]
	} else if lostDisk == lead {
		lostDisk = c.nodes[2]
	}
	c.stop(withoutEntries)
	disk := withoutEntries.disk.Disk
	withoutEntries.disk.Entries, withoutEntries.disk.Term = nil, 0 // as if it had been down since the first entry
	withoutEntries.disk.Vote, withoutEntries.disk.Disk = entry.Replica{}, disk
	c.stop(lead)
	c.stop(lostDisk)
	c.replaceDisk(lostDisk)
	c.start(lostDisk)
	c.start(withoutEntries)
	c.run(5 * time.Second)
	if got := c.leader(); got != nil {
		t.Errorf("%s leads although the only replica with the entries is down", got.vm)
	}
}

// Guards against a disk replacement that can't complete when another VM is
// killed at the same time.
func TestReplaceThenKill(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, seed, 5, 5)
		c.waitForLeader()
		c.setWanted(c.nodes...)
		c.stop(c.nodes[0])
		c.replaceDisk(c.nodes[0])
		c.start(c.nodes[0])
		c.stop(c.nodes[1])
		c.waitForLeader()
		c.setWanted(c.nodes...)
		c.run(5 * time.Second)
		lead := c.waitForLeader()
		if got, want := lead.log.members.Voters, (entry.Replica{VM: "vm0", Disk: c.nodes[0].disk.Disk}); !slices.Contains(got, want) {
			t.Errorf("seed %d: voters %v do not include %v", seed, got, want)
		}
	}
}

// Guards against the loss of the majority when the wanted replicas shrink: with
// two of five disks lost, the leader removed a live voter that was no longer
// wanted (rapid seed 435715).
func TestShrinkWithLostDisks(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, seed, 5, 5)
		c.waitForLeader()
		for _, n := range c.nodes[:2] {
			c.stop(n)
			c.replaceDisk(n)
			c.start(n)
		}
		c.waitForLeader()
		c.run(time.Second)
		c.setWanted(c.nodes[:3]...)
		c.run(10 * time.Second)
		c.waitForLeader()
		c.setWanted(c.nodes[:3]...) // the leader may have been elected since the first call
		c.run(10 * time.Second)
		if got, want := len(c.waitForLeader().log.members.Voters), 3; got != want {
			t.Errorf("seed %d: %d voters, want %d", seed, got, want)
		}
	}
}

// Guards against a replica that leads or votes without a disk.
func TestDiskFailed(t *testing.T) {
	c := newCluster(t, 1, 3, 3)
	lead := c.waitForLeader()
	c.execute(lead, lead.log.HandleDiskFailed(c.now, event.DiskFailed{Problem: "no space"}, nil))
	if got := c.notes[len(c.notes)-1]; !got.Alert || got.Cause != "the disk failed: no space" {
		t.Errorf("got %+v, want an alert with the cause", got)
	}
	c.stop(c.nodes[(slices.Index(c.nodes, lead)+1)%3])
	c.run(5 * time.Second)
	if got := c.leader(); got != nil {
		t.Errorf("%s leads with one working disk of three", got.vm)
	}
}

// Guards against a separate sync for each proposal.
func TestGroupCommit(t *testing.T) {
	c := newCluster(t, 1, 3, 3)
	lead := c.waitForLeader()
	c.run(time.Second)
	before, writes := uint64(len(c.committed)), lead.log.lastWriteSeq
	for i := range 1000 {
		c.propose(lead, byte(i))
	}
	c.run(time.Second)
	if got, want := uint64(len(c.committed))-before, uint64(1000); got != want {
		t.Errorf("%d entries committed, want %d", got, want)
	}
	if got, want := lead.log.lastWriteSeq-writes, uint64(2); got > want {
		t.Errorf("%d writes for 1000 proposals made during one sync, want at most %d", got, want)
	}
}

// Guards against a replica that counts as current because it still receives
// heartbeats, although its answers are lost and so it misses what is committed
// beyond one batch of entries.
func TestReplicaWithoutAnswersIsNotCurrent(t *testing.T) {
	c := newCluster(t, 1, 3, 3)
	l := c.waitForLeader()
	c.run(time.Second)
	muted := c.nodes[slices.IndexFunc(c.nodes, func(n *node) bool { return n != l })]
	c.muted[muted.vm] = true
	committed := map[time.Time]uint64{} // commit index, by time
	for range 50 {
		for range maxBatchEntries / 4 {
			c.propose(l, 1)
		}
		c.run(100 * time.Millisecond)
		committed[c.now] = l.log.Status().CommitIndex
	}
	s := muted.log.Status()
	for at, index := range committed {
		if !at.After(s.LastMajority) && s.CommitIndex < index {
			t.Errorf("contact with a majority %s ago at index %d, want at least %d, committed by then", c.now.Sub(s.LastMajority), s.CommitIndex, index)
		}
	}
}

// Guards against a log that commits nothing any more, or only after long, when the
// disks of its replicas were full one after another, never two at once.
func TestDisksThatAreFullInTurn(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, seed, 3, 3)
		c.waitForLeader()
		propose := func(d time.Duration) {
			for end := c.now.Add(d); c.now.Before(end); c.run(200 * time.Millisecond) {
				if l := c.leader(); l != nil {
					c.propose(l, 1)
				}
			}
		}
		for _, n := range c.nodes {
			n.full = true
			propose(4 * time.Second)
			n.full = false
			c.syncDisk(n)
			propose(500 * time.Millisecond)
		}
		before := len(c.committed)
		propose(2 * time.Second)
		if got, want := len(c.committed)-before, 8; got < want {
			t.Errorf("seed %d: %d entries committed in 2 s after the disks had room again, want %d at least", seed, got, want)
		}
	}
}
