package quorum

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreypulley/core/entry"
	"comfreypulley/core/model"
)

// Guards against lost or changed entries, two leaders in a term, stale reads
// and a log that does not recover, under random sequences of faults.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(3, 5).Draw(t, "size")
		voters := rapid.IntRange(3, size).Draw(t, "voters")
		c := newCluster(t, rapid.Uint64().Draw(t, "seed"), size, voters)
		c.injectFaults(t)
	})
}

// Guards against the faults of TestFaults, and against a second log, where VMs are told at
// which start the fleet is new: some start late or lose their disk before the log begins.
func TestFaultsAtTheFirstStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(3, 5).Draw(t, "size")
		voters := rapid.IntRange(3, size).Draw(t, "voters")
		c := newStoppedCluster(t, rapid.Uint64().Draw(t, "seed"), size, voters)
		c.firstStart = true
		for _, n := range c.nodes {
			if rapid.IntRange(0, 3).Draw(t, "late") > 0 {
				c.start(n)
			}
		}
		c.injectFaults(t)
	})
}

// injectFaults applies a random sequence of faults and operations.
func (c *cluster) injectFaults(t *rapid.T) {
	size := len(c.nodes)
	c.lossRate = rapid.Float64Range(0, 0.3).Draw(t, "loss")
	steps := rapid.IntRange(5, 60).Draw(t, "steps")
	for range steps {
		n := c.nodes[rapid.IntRange(0, size-1).Draw(t, "node")]
		c.injectFault(n, rapid.IntRange(0, 15).Draw(t, "fault"))
		c.run(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
		c.checkLogMatching()
	}
	c.recover()
}

// injectFault applies one kind of fault or operation to a VM.
func (c *cluster) injectFault(n *node, kind int) {
	switch kind {
	case 0:
		c.stop(n)
	case 1, 2:
		if !n.up {
			c.start(n)
		}
	case 3:
		c.isolated[n.vm] = !c.isolated[n.vm]
	case 4:
		clear(c.isolated)
	case 5:
		if c.canLoseDisk(n) {
			c.stop(n)
			c.replaceDisk(n)
			c.start(n)
		}
	case 6:
		if n.up && n.applied > 0 {
			c.execute(n, n.log.Compact(c.now, entry.Image{Index: n.applied}, nil))
		}
	case 7:
		if n.up {
			c.execute(n, n.log.Resign(c.now, nil))
		}
	case 8, 9:
		c.setWanted(c.nodes...)
	case 10:
		c.shrink()
	case 11:
		if n.up {
			read := uint64(len(n.reads))
			n.reads[read] = uint64(len(c.committed))
			_, out := n.log.Confirm(c.now, read, nil)
			c.execute(n, out)
		}
	case 12, 13:
		c.restartAll()
	default:
		if n := c.leader(); n != nil {
			for i := range 20 {
				c.propose(n, byte(i))
			}
		}
	}
}

// shrink reduces the wanted replicas to three. Fewer replicas tolerate fewer
// lost disks, so this is skipped where an operator would refuse it.
func (c *cluster) shrink() {
	before := c.shrunk
	c.shrunk = true
	if c.canLoseDisk(nil) {
		c.setWanted(c.nodes[:3]...)
	} else {
		c.shrunk = before
	}
}

// restartAll restarts every VM while writes are in flight.
func (c *cluster) restartAll() {
	if lead := c.leader(); lead != nil {
		c.propose(lead, 1)
	}
	c.run(c.randomDelay(15 * time.Millisecond))
	for _, n := range c.nodes {
		if n.up {
			c.stop(n)
			c.start(n)
		}
	}
}

func (c *cluster) setWanted(nodes ...*node) {
	var vms []model.VMID
	for _, n := range nodes {
		vms = append(vms, n.vm)
	}
	for _, n := range c.nodes {
		if n.up {
			c.execute(n, n.log.SetReplicas(c.now, vms, nil))
		}
	}
}

// recover ends all faults and checks that every replica applies every committed
// entry and that the members become the wanted ones.
func (c *cluster) recover() {
	c.lossRate = 0
	clear(c.isolated)
	for _, n := range c.nodes {
		if !n.up {
			c.start(n)
		}
	}
	c.setWanted(c.nodes...)
	c.run(10 * time.Second)
	lead := c.waitForLeader()
	_, index := c.propose(lead, 1)
	c.run(2 * time.Second)
	c.checkLogMatching()
	if got := uint64(len(c.committed)); got < index {
		c.t.Fatalf("committed up to %d after recovery, want %d", got, index)
	}
	for _, n := range c.nodes {
		if got, want := n.applied, uint64(len(c.committed)); got != want {
			c.t.Fatalf("%s applied up to %d after recovery, want %d", n.vm, got, want)
		}
	}
	if got, want := len(lead.log.members.Voters), len(c.nodes); got != want {
		c.t.Fatalf("%d voters after recovery, want %d: %v", got, want, lead.log.members)
	}
}
