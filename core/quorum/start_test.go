package quorum

import (
	"slices"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Guards against a fleet that restarts as a whole and waits a full election
// timeout before it elects a leader.
func TestFirstCampaignAfterStart(t *testing.T) {
	const maxWait = 300 * time.Millisecond
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for seed := range uint64(50) {
		var l Log
		out := l.HandleDiskLoaded(at, "vm0", seed, []model.VMID{"vm0", "vm1", "vm2"}, false, event.DiskLoaded{Disk: 1}, nil)
		// The other VMs start a little later, so the first campaigns reach nobody.
		for now := at; now.Sub(at) < time.Second; {
			due := now
			for _, e := range out {
				if timer, ok := e.(effect.SetTimer); ok {
					due = timer.At
				}
			}
			if wait := due.Sub(now); wait <= 0 || wait > maxWait {
				t.Fatalf("seed %d: got a campaign %v after %v, want one after at most %v", seed, wait, now.Sub(at), maxWait)
			}
			now = due
			out = l.HandleTimer(now, event.TimerElection, nil)
		}
	}
}

// Guards against a fleet that never starts since one of its initial voters is lost at the
// first start, and against a log that a majority starts although a VM that lost its disk
// cannot be told from a new one.
func TestFirstStartWithoutOneVM(t *testing.T) {
	for seed := range uint64(20) {
		c := newStoppedCluster(t, seed, 3, 3)
		c.firstStart = seed%2 == 0
		for _, n := range c.nodes[:2] {
			c.start(n)
		}
		c.run(foundingDelay + 2*time.Second)
		if got, want := c.leader() != nil, c.firstStart; got != want {
			t.Fatalf("seed %d: got a leader: %v, want %v with first start %v", seed, got, want, c.firstStart)
		}
		if !c.firstStart {
			continue
		}
		c.start(c.nodes[2])
		c.run(2 * time.Second)
		want := entry.Replica{VM: "vm2", Disk: c.nodes[2].firstDisk}
		if got := c.waitForLeader().log.members.Voters; !slices.Contains(got, want) || len(got) != 3 {
			t.Errorf("seed %d: got voters %v, want three with %v, which came late", seed, got, want)
		}
	}
}

// Guards against a log that waits for a VM which is only slow, or which begins without a VM
// that is there: the others must be given a moment at the first start.
func TestFirstStartWithALateVM(t *testing.T) {
	for seed := range uint64(20) {
		c := newStoppedCluster(t, seed, 3, 3)
		c.firstStart = true
		for _, n := range c.nodes[:2] {
			c.start(n)
		}
		c.run(foundingDelay / 2)
		if got := c.leader(); got != nil {
			t.Fatalf("seed %d: %s leads before the last VM was given a moment", seed, got.vm)
		}
		c.start(c.nodes[2])
		for _, r := range c.waitForLeader().log.members.Voters {
			if r.Disk == 0 {
				t.Errorf("seed %d: got voter %s without its disk, want all recorded", seed, r.VM)
			}
		}
	}
}

// Guards against a second, empty log at a later start: a VM that lost its disk must not
// help one that missed the first entries, although both are a majority of the initial
// voters.
func TestNoSecondLogAfterTheFirstStart(t *testing.T) {
	c := newStoppedCluster(t, 1, 3, 3)
	c.firstStart = true
	for _, n := range c.nodes[:2] {
		c.start(n)
	}
	lead := c.waitForLeader()
	lostDisk := c.nodes[0]
	if lostDisk == lead {
		lostDisk = c.nodes[1]
	}
	c.stop(lead)
	c.stop(lostDisk)
	c.replaceDisk(lostDisk)
	c.start(lostDisk)
	c.start(c.nodes[2])
	c.run(foundingDelay + 5*time.Second)
	if got := c.leader(); got != nil {
		t.Errorf("%s leads although the only replica with the entries is down", got.vm)
	}
}

// Guards against a start in which slow disks end each election before its votes are written,
// until the timeouts grow after startupPeriod.
func TestFirstLeaderWithSlowDisks(t *testing.T) {
	for seed := range uint64(50) {
		c := newStoppedCluster(t, seed, 3, 3)
		c.syncTime = 150 * time.Millisecond
		for _, n := range c.nodes {
			c.start(n)
		}
		c.waitForLeader()
		if got := c.now.Sub(startTime); got >= startupPeriod {
			t.Errorf("seed %d: the first leader committed after %v, want less than %v", seed, got, startupPeriod)
		}
	}
}

// Guards against a fleet that never starts since all its VMs are killed before the log has
// an entry, once or twice, also without one of them: the right to found the log must last as
// long as the disk.
func TestKillsAtTheFirstStart(t *testing.T) {
	for seed := range uint64(100) {
		c := newStoppedCluster(t, seed, 3, 3)
		c.firstStart = true
		nodes := c.nodes[:3-seed%2]
		for range 1 + seed%3 {
			for _, n := range nodes {
				c.start(n)
			}
			c.run(20*time.Millisecond + c.randomDelay(200*time.Millisecond))
			for _, n := range nodes {
				c.stop(n)
			}
		}
		for _, n := range nodes {
			c.start(n)
		}
		c.run(foundingDelay)
		c.waitForLeader()
	}
}

// Guards against two logs of the first start, neither of which is committed, that keep each
// other from a leader: each names as voters without a disk those that the other one records,
// and one disk of five is lost.
func TestTwoUncommittedLogsOfTheFirstStart(t *testing.T) {
	for seed := range uint64(20) {
		c := newStoppedCluster(t, seed, 5, 5)
		c.firstStart = true
		members := func(index, term uint64, known ...int) entry.Entry {
			var m entry.Members
			for i, n := range c.nodes {
				r := entry.Replica{VM: n.vm}
				if slices.Contains(known, i) {
					r.Disk = n.firstDisk
				}
				m.Voters = append(m.Voters, r)
			}
			return entry.Entry{Index: index, Term: term, At: startTime, Command: m}
		}
		first := []entry.Entry{members(1, 1, 0, 3, 4), members(2, 1, 0, 1, 3, 4)}
		second := []entry.Entry{members(1, 2, 0, 2, 4)}
		for i, n := range c.nodes {
			n.founding, n.disk.Term, n.disk.Founders = true, 2, c.initialVMs()
			n.disk.Entries = [][]entry.Entry{first, first, second, first, second}[i]
		}
		c.replaceDisk(c.nodes[0])
		for _, n := range c.nodes {
			c.start(n)
		}
		c.waitForLeader()
	}
}
