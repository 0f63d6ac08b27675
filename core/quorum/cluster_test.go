package quorum

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// TestMain fixes rapid's seed, so that every run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// startTime is the time of the first event in every test.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// cluster simulates several replicas in virtual time, with a lossy network and
// disks that lose unsynced writes. It checks the invariants after every event.
type cluster struct {
	t             rapid.TB
	random        *rand.Rand
	now           time.Time
	sequence      uint64 // number of the last scheduled action
	nodes         []*node
	initialVoters []model.VMID // voters of the empty log
	firstStart    bool         // only the first process of a VM has initial voters in its settings
	queue         []scheduledAction
	syncTime      time.Duration       // shortest time that a sync takes
	lossRate      float64             // probability that a message is lost, and that it is duplicated
	isolated      map[model.VMID]bool // VMs cut off from those that are not in the set
	muted         map[model.VMID]bool // VMs whose messages are lost, but which receive those of others
	leaderByTerm  map[uint64]entry.Replica
	committed     []entry.Entry       // the entry with index i is at i-1
	commitTimes   []time.Time         // when the entries of committed were first known to be committed
	diskCount     model.DiskID        // disks used so far
	lostEarly     map[model.VMID]bool // initial voters that lost a disk before the first commit
	shrunk        bool                // at some time only some of the VMs were wanted
	notes         []effect.Note
}

// node is a VM with its disk.
type node struct {
	vm          model.VMID
	up          bool
	incarnation int // number of starts and stops; timers and syncs of earlier ones are ignored
	log         *Log
	disk        event.DiskLoaded
	firstDisk   model.DiskID
	founding    bool            // the process has been started with the initial voters in its settings
	unsynced    []effect.Effect // writes
	syncing     bool
	full        bool // the disk takes no writes for now
	timers      map[event.TimerKind]time.Time
	applied     uint64
	reads       map[uint64]uint64 // by id, the lowest index that must be applied when the read is confirmed
}

type scheduledAction struct {
	at       time.Time
	sequence uint64
	run      func()
}

func newCluster(t rapid.TB, seed uint64, size, voters int) *cluster {
	c := newStoppedCluster(t, seed, size, voters)
	for _, n := range c.nodes {
		c.start(n)
	}
	return c
}

// newStoppedCluster returns a cluster whose VMs have empty disks and are not started.
func newStoppedCluster(t rapid.TB, seed uint64, size, voters int) *cluster {
	c := &cluster{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), now: startTime,
		isolated: make(map[model.VMID]bool), muted: make(map[model.VMID]bool), lostEarly: make(map[model.VMID]bool), leaderByTerm: make(map[uint64]entry.Replica),
	}
	for i := range size {
		c.nodes = append(c.nodes, &node{vm: model.VMID(fmt.Sprintf("vm%d", i))})
	}
	for _, n := range c.nodes[:voters] {
		c.initialVoters = append(c.initialVoters, n.vm)
	}
	for _, n := range c.nodes {
		c.replaceDisk(n)
		n.firstDisk, n.log = n.disk.Disk, &Log{}
	}
	return c
}

// replaceDisk gives a stopped VM an empty disk.
func (c *cluster) replaceDisk(n *node) {
	c.diskCount++
	n.disk = event.DiskLoaded{Disk: c.diskCount, Created: true}
}

func (c *cluster) start(n *node) {
	n.incarnation++
	n.up, n.syncing, n.unsynced, n.applied = true, false, nil, 0
	n.log, n.timers, n.reads = &Log{}, make(map[event.TimerKind]time.Time), make(map[uint64]uint64)
	loaded := n.disk
	loaded.Entries = slices.Clone(loaded.Entries)
	voters := c.initialVoters
	if c.firstStart {
		voters = c.founders(n)
	}
	c.execute(n, n.log.HandleDiskLoaded(c.now, n.vm, c.random.Uint64(), voters, c.firstStart, loaded, nil))
}

// founders returns the initial voters that a VM knows: from its settings at its first start,
// and from its disk at later ones.
func (c *cluster) founders(n *node) []model.VMID {
	if n.founding || n.disk.Disk != n.firstDisk {
		var voters []model.VMID
		for _, vm := range n.disk.Founders {
			voters = append(voters, vm.ID)
		}
		return voters
	}
	if n.founding = slices.Contains(c.initialVoters, n.vm); n.founding {
		n.unsynced = append(n.unsynced, effect.SaveFounders{VMs: c.initialVMs()})
	}
	return c.initialVoters
}

// initialVMs returns the initial voters as VMs.
func (c *cluster) initialVMs() (vms []model.VM) {
	for _, id := range c.initialVoters {
		vms = append(vms, model.VM{ID: id})
	}
	return vms
}

// stop crashes a VM. A random prefix of its unsynced writes still reaches the
// disk. The right to found the log counts like a disk, of which not too many may be lost.
func (c *cluster) stop(n *node) {
	unsynced := n.unsynced
	for _, e := range unsynced[:c.random.IntN(len(unsynced)+1)] {
		n.persist(e)
	}
	n.unsynced = nil
	if slices.ContainsFunc(unsynced, isSaveFounders) && n.lostRight() && !c.canLoseDisk(n) {
		n.persist(unsynced[0])
	}
	n.up = false
	n.incarnation++
}

// lostRight reports whether the VM was started as a founder, and its disk does not say so.
func (n *node) lostRight() bool {
	return n.founding && len(n.disk.Founders) == 0 && !slices.ContainsFunc(n.unsynced, isSaveFounders)
}

func isSaveFounders(e effect.Effect) bool {
	_, ok := e.(effect.SaveFounders)
	return ok
}

// persist makes the write of an effect durable.
func (n *node) persist(e effect.Effect) {
	d := &n.disk
	switch e := e.(type) {
	case effect.SaveFounders:
		d.Founders = e.VMs
	case effect.SaveVote:
		d.Term, d.Vote = e.Term, e.Vote
	case effect.AppendEntries:
		keep := int(e.Entries[0].Index - d.Image.Index - 1)
		d.Entries = append(slices.Clone(d.Entries[:keep]), e.Entries...)
	case effect.SaveImage:
		keep := int(e.Image.Index) - int(d.Image.Index)
		if keep <= len(d.Entries) && keep > 0 && d.Entries[keep-1].Term == e.Image.Term {
			d.Entries = slices.Clone(d.Entries[keep:])
		} else {
			d.Entries = nil
		}
		d.Image = e.Image
	}
}

func (c *cluster) schedule(d time.Duration, run func()) {
	c.sequence++
	action := scheduledAction{at: c.now.Add(d), sequence: c.sequence, run: run}
	i, _ := slices.BinarySearchFunc(c.queue, action, func(a, b scheduledAction) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.sequence, b.sequence))
	})
	c.queue = slices.Insert(c.queue, i, action)
}

// run advances virtual time and executes what is due.
func (c *cluster) run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		action := c.queue[0]
		c.queue = c.queue[1:]
		c.now = action.at
		action.run()
	}
	c.now = end
}

func (c *cluster) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(limit))) + time.Microsecond
}

// execute executes the effects of a replica and checks the invariants.
func (c *cluster) execute(n *node, out []effect.Effect) {
	incarnation := n.incarnation
	for _, e := range out {
		switch e := e.(type) {
		case effect.SendMessage:
			for range 1 + c.drawLoss() {
				c.schedule(c.randomDelay(10*time.Millisecond), func() { c.deliver(n.vm, e) })
			}
		case effect.SetTimer:
			n.timers[e.ID.Kind] = e.At
			c.schedule(e.At.Sub(c.now), func() {
				if n.incarnation == incarnation && n.timers[e.ID.Kind].Equal(e.At) {
					delete(n.timers, e.ID.Kind)
					c.execute(n, n.log.HandleTimer(c.now, e.ID.Kind, nil))
				}
			})
		case effect.StopTimer:
			delete(n.timers, e.ID.Kind)
		case effect.Note:
			c.notes = append(c.notes, e)
		default:
			n.unsynced = append(n.unsynced, e)
		}
	}
	c.syncDisk(n)
	c.checkReplica(n)
}

// drawLoss returns 1 with the probability lossRate, otherwise 0.
func (c *cluster) drawLoss() int {
	if c.random.Float64() < c.lossRate {
		return 1
	}
	return 0
}

func (c *cluster) deliver(from model.VMID, e effect.SendMessage) {
	if c.drawLoss() == 1 || c.isolated[from] != c.isolated[e.To] || c.muted[from] {
		return
	}
	for _, n := range c.nodes {
		if n.vm == e.To && n.up {
			c.execute(n, n.log.HandlePeerMessage(c.now, from, e.Message, nil))
		}
	}
}

// syncDisk completes the pending writes after a random delay.
func (c *cluster) syncDisk(n *node) {
	if n.syncing || n.full || len(n.unsynced) == 0 {
		return
	}
	n.syncing = true
	incarnation, batch := n.incarnation, len(n.unsynced)
	c.schedule(c.syncTime+c.randomDelay(8*time.Millisecond), func() {
		if n.incarnation != incarnation {
			return
		}
		var last uint64
		for _, e := range n.unsynced[:batch] {
			n.persist(e)
			switch e := e.(type) {
			case effect.SaveVote:
				last = e.Seq
			case effect.AppendEntries:
				last = e.Seq
			case effect.SaveImage:
				last = e.Seq
			}
		}
		n.unsynced, n.syncing = slices.Clone(n.unsynced[batch:]), false
		c.execute(n, n.log.HandleDiskSynced(c.now, event.DiskSynced{Seq: last}, nil))
	})
}

// checkReplica applies what a replica committed and compares it with what the
// other replicas committed. It also checks confirmed reads and that a term has
// one leader.
func (c *cluster) checkReplica(n *node) {
	image, entries := n.log.Committed()
	if image != nil {
		if image.Index > uint64(len(c.committed)) || image.Term != c.committed[image.Index-1].Term {
			c.t.Fatalf("%s restored an image up to %d.%d that was never committed", n.vm, image.Index, image.Term)
		}
		n.applied = image.Index
	}
	for _, e := range entries {
		if e.Index != n.applied+1 {
			c.t.Fatalf("%s applied entry %d after %d", n.vm, e.Index, n.applied)
		}
		n.applied = e.Index
		if e.Index > uint64(len(c.committed)) {
			c.committed = append(c.committed, e)
			c.commitTimes = append(c.commitTimes, c.now)
		} else if known := c.committed[e.Index-1]; !reflect.DeepEqual(e, known) {
			c.t.Fatalf("%s committed %+v where %+v was committed", n.vm, e, known)
		}
	}
	for _, read := range n.log.Confirmed() {
		if n.applied < n.reads[read] {
			c.t.Fatalf("%s confirmed a read at %d that must see %d", n.vm, n.applied, n.reads[read])
		}
	}
	c.checkCurrency(n)
	if s := n.log.Status(); s.Leading {
		self := entry.Replica{VM: n.vm, Disk: n.disk.Disk}
		if other, ok := c.leaderByTerm[s.Term]; ok && other != self {
			c.t.Fatalf("term %d has the leaders %v and %v", s.Term, other, self)
		} else if !ok {
			c.leaderByTerm[s.Term] = self
			c.checkLeaderCompleteness(n)
		}
	}
}

// checkCurrency checks that a replica has every entry that was committed when it
// says that it last had contact with a majority.
func (c *cluster) checkCurrency(n *node) {
	s := n.log.Status()
	due, _ := slices.BinarySearchFunc(c.commitTimes, s.LastMajority, func(a, b time.Time) int { return a.Compare(b) })
	if n.applied < uint64(due) {
		c.t.Fatalf("%s applied up to entry %d, want %d, committed by its contact with a majority %s ago", n.vm, n.applied, due, c.now.Sub(s.LastMajority))
	}
}

// checkLeaderCompleteness checks that a new leader has every committed entry.
func (c *cluster) checkLeaderCompleteness(n *node) {
	for _, e := range c.committed {
		if e.Index >= n.log.image.Index && n.log.termOf(e.Index) != e.Term {
			c.t.Fatalf("%s leads term %d without the committed entry %d.%d", n.vm, n.log.term, e.Index, e.Term)
		}
	}
}

// checkLogMatching checks that two logs which share an entry are equal up to
// it.
func (c *cluster) checkLogMatching() {
	for _, a := range c.nodes {
		for _, b := range c.nodes {
			equal := false
			for i := min(a.log.lastIndex(), b.log.lastIndex()); i > max(a.log.image.Index, b.log.image.Index); i-- {
				same := a.log.termOf(i) == b.log.termOf(i)
				if equal && !same {
					c.t.Fatalf("%s and %s differ at %d below an equal entry", a.vm, b.vm, i)
				}
				equal = equal || same
			}
		}
	}
}

// canLoseDisk reports whether every set of members that may be in effect keeps
// a majority when one more disk is lost.
func (c *cluster) canLoseDisk(lost *node) bool {
	if len(c.committed) == 0 && lost != nil && slices.Contains(c.initialVoters, lost.vm) {
		// Votes for the first leader, which name the disks, may be in flight.
		c.lostEarly[lost.vm] = true
		if len(c.lostEarly) > (len(c.initialVoters)-1)/2 {
			return false
		}
	}
	isLost := func(r entry.Replica) bool { return c.isLost(r, lost) }
	for _, n := range c.nodes {
		members, lostCount := n.log.members.Voters, 0
		for _, r := range members {
			if isLost(r) {
				lostCount++
			}
		}
		if n.log.disksUnknown() && len(c.committed) > 0 {
			continue // not in effect: the first leader was elected without this replica
		}
		if c.shrunk {
			lostCount++ // a live voter may be removed at the same time
		}
		if lostCount > (len(members)-1)/2 {
			return false
		}
		// A learner may become a voter before the loss of its disk is noticed.
		if slices.ContainsFunc(n.log.members.Learners, isLost) && lostCount+1 > len(members)/2 {
			return false
		}
	}
	return true
}

// isLost reports whether the disk of a replica is lost, also if that of a VM is.
func (c *cluster) isLost(r entry.Replica, lost *node) bool {
	for _, n := range c.nodes {
		if n.vm == r.VM {
			if r.Disk == 0 && c.firstStart {
				return n == lost || n.disk.Disk != n.firstDisk || n.lostRight() // recorded when it answers
			}
			return n == lost || r.Disk != 0 && n.disk.Disk != r.Disk
		}
	}
	return true
}

func (c *cluster) leader() *node {
	var found *node
	for _, n := range c.nodes {
		if n.up && n.log.role == leader && (found == nil || n.log.term > found.log.term) {
			found = n
		}
	}
	return found
}

func (c *cluster) propose(n *node, key byte) (entry.Status, uint64) {
	index, status, out := n.log.Propose(c.now, entry.Claim{Customer: "acme", Key: model.Key{key}}, nil)
	c.execute(n, out)
	return status, index
}

// waitForLeader runs until a leader has committed an entry of its own term.
func (c *cluster) waitForLeader() *node {
	for range 200 {
		c.run(50 * time.Millisecond)
		if n := c.leader(); n != nil && n.log.commitIndex >= n.log.termStart {
			return n
		}
	}
	for _, n := range c.nodes {
		c.t.Logf("%s disk %x: %+v last %d", n.vm, n.disk.Disk, n.log.Status(), n.log.lastIndex())
	}
	c.t.Fatalf("no leader within 10 s")
	return nil
}
