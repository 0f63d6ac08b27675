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
	queue         []scheduledAction
	lossRate      float64                  // probability that a message is lost, and that it is duplicated
	isolated      map[model.VMID]bool      // VMs cut off from those that are not in the set
	leaderByTerm  map[uint64]entry.Replica // by term
	committed     []entry.Entry            // committed entries; index i is at i-1
	diskCount     model.DiskID             // number of disks so far
	lostEarly     map[model.VMID]bool      // first voters that lost a disk before the first commit
	shrunk        bool                     // fewer VMs than all were wanted at some time
	notes         []effect.Note
}

// node is a VM with its disk.
type node struct {
	vm          model.VMID // number of restarts and stops; timers and syncs of an earlier one are ignored
	up          bool
	incarnation int // events of an earlier boot are dropped
	log         *Log
	disk        event.DiskLoaded
	unsynced    []effect.Effect // unsynced writes
	syncing     bool            // a sync is in progress
	timers      map[event.TimerKind]time.Time
	applied     uint64
	reads       map[uint64]uint64 // by read, the lowest index that must be applied when it is confirmed
}

type scheduledAction struct {
	at       time.Time
	sequence uint64
	run      func()
}

func newCluster(t rapid.TB, seed uint64, size, voters int) *cluster {
	w := &cluster{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), now: startTime,
		isolated: make(map[model.VMID]bool), lostEarly: make(map[model.VMID]bool), leaderByTerm: make(map[uint64]entry.Replica),
	}
	for i := range size {
		w.nodes = append(w.nodes, &node{vm: model.VMID(fmt.Sprintf("vm%d", i))})
	}
	for _, n := range w.nodes[:voters] {
		w.initialVoters = append(w.initialVoters, n.vm)
	}
	for _, n := range w.nodes {
		w.replaceDisk(n)
		w.start(n)
	}
	return w
}

// replaceDisk gives a stopped VM an empty disk.
func (w *cluster) replaceDisk(n *node) {
	w.diskCount++
	n.disk = event.DiskLoaded{Disk: w.diskCount, Created: true}
}

func (w *cluster) start(n *node) {
	n.incarnation++
	n.up, n.syncing, n.unsynced, n.applied = true, false, nil, 0
	n.log, n.timers, n.reads = &Log{}, make(map[event.TimerKind]time.Time), make(map[uint64]uint64)
	loaded := n.disk
	loaded.Entries = slices.Clone(loaded.Entries)
	w.execute(n, n.log.Loaded(w.now, n.vm, w.random.Uint64(), w.initialVoters, loaded, nil))
}

// stop crashes a VM. A random prefix of its unsynced writes still reaches the
// disk.
func (w *cluster) stop(n *node) {
	for _, e := range n.unsynced[:w.random.IntN(len(n.unsynced)+1)] {
		n.persist(e)
	}
	n.up = false
	n.incarnation++
}

// persist makes the write of an effect durable.
func (n *node) persist(e effect.Effect) {
	d := &n.disk
	switch e := e.(type) {
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

func (w *cluster) schedule(d time.Duration, do func()) {
	w.sequence++
	h := scheduledAction{at: w.now.Add(d), sequence: w.sequence, run: do}
	i, _ := slices.BinarySearchFunc(w.queue, h, func(a, b scheduledAction) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.sequence, b.sequence))
	})
	w.queue = slices.Insert(w.queue, i, h)
}

// run advances virtual time and executes what is due.
func (w *cluster) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		h := w.queue[0]
		w.queue = w.queue[1:]
		w.now = h.at
		h.run()
	}
	w.now = end
}

func (w *cluster) randomDelay(most time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(most))) + time.Microsecond
}

// execute executes the effects of a replica and checks the invariants.
func (w *cluster) execute(n *node, out []effect.Effect) {
	boot := n.incarnation
	for _, e := range out {
		switch e := e.(type) {
		case effect.SendMessage:
			for range 1 + w.drawLoss() {
				w.schedule(w.randomDelay(10*time.Millisecond), func() { w.deliver(n.vm, e) })
			}
		case effect.SetTimer:
			n.timers[e.ID.Kind] = e.At
			w.schedule(e.At.Sub(w.now), func() {
				if n.incarnation == boot && n.timers[e.ID.Kind].Equal(e.At) {
					delete(n.timers, e.ID.Kind)
					w.execute(n, n.log.Timer(w.now, e.ID.Kind, nil))
				}
			})
		case effect.StopTimer:
			delete(n.timers, e.ID.Kind)
		case effect.Note:
			w.notes = append(w.notes, e)
		default:
			n.unsynced = append(n.unsynced, e)
		}
	}
	w.syncDisk(n)
	w.checkReplica(n)
}

func (w *cluster) drawLoss() int {
	if w.random.Float64() < w.lossRate {
		return 1
	}
	return 0
}

func (w *cluster) deliver(from model.VMID, e effect.SendMessage) {
	if w.drawLoss() == 1 || w.isolated[from] != w.isolated[e.To] {
		return
	}
	for _, n := range w.nodes {
		if n.vm == e.To && n.up {
			w.execute(n, n.log.Peer(w.now, from, e.Message, nil))
		}
	}
}

// syncDisk completes the pending writes after a random delay.
func (w *cluster) syncDisk(n *node) {
	if n.syncing || len(n.unsynced) == 0 {
		return
	}
	n.syncing = true
	boot, batch := n.incarnation, len(n.unsynced)
	w.schedule(w.randomDelay(8*time.Millisecond), func() {
		if n.incarnation != boot {
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
		w.execute(n, n.log.Synced(w.now, event.DiskSynced{Seq: last}, nil))
	})
}

// checkReplica applies what a replica committed and compares it with what the other
// replicas committed. It also checks confirmed reads and that a term has one
// leader.
func (w *cluster) checkReplica(n *node) {
	image, entries := n.log.Committed()
	if image != nil {
		if image.Index > uint64(len(w.committed)) || image.Term != w.committed[image.Index-1].Term {
			w.t.Fatalf("%s restored an image up to %d.%d that was never committed", n.vm, image.Index, image.Term)
		}
		n.applied = image.Index
	}
	for _, e := range entries {
		if e.Index != n.applied+1 {
			w.t.Fatalf("%s applied entry %d after %d", n.vm, e.Index, n.applied)
		}
		n.applied = e.Index
		if e.Index > uint64(len(w.committed)) {
			w.committed = append(w.committed, e)
		} else if known := w.committed[e.Index-1]; !reflect.DeepEqual(e, known) {
			w.t.Fatalf("%s committed %+v where %+v was committed", n.vm, e, known)
		}
	}
	for _, read := range n.log.Confirmed() {
		if n.applied < n.reads[read] {
			w.t.Fatalf("%s confirmed a read at %d that must see %d", n.vm, n.applied, n.reads[read])
		}
	}
	if s := n.log.Status(); s.Leading {
		self := entry.Replica{VM: n.vm, Disk: n.disk.Disk}
		if other, ok := w.leaderByTerm[s.Term]; ok && other != self {
			w.t.Fatalf("term %d has the leaders %v and %v", s.Term, other, self)
		} else if !ok {
			w.leaderByTerm[s.Term] = self
			w.checkLeaderCompleteness(n)
		}
	}
}

// checkLeaderCompleteness checks that a new leader has every committed entry.
func (w *cluster) checkLeaderCompleteness(n *node) {
	for _, e := range w.committed {
		if e.Index >= n.log.image.Index && n.log.termOf(e.Index) != e.Term {
			w.t.Fatalf("%s leads term %d without the committed entry %d.%d", n.vm, n.log.term, e.Index, e.Term)
		}
	}
}

// checkLogMatching checks that two logs which share an entry are equal up to it.
func (w *cluster) checkLogMatching() {
	for _, a := range w.nodes {
		for _, b := range w.nodes {
			equal := false
			for i := min(a.log.lastIndex(), b.log.lastIndex()); i > max(a.log.image.Index, b.log.image.Index); i-- {
				same := a.log.termOf(i) == b.log.termOf(i)
				if equal && !same {
					w.t.Fatalf("%s and %s differ at %d below an equal entry", a.vm, b.vm, i)
				}
				equal = equal || same
			}
		}
	}
}

// canLoseDisk reports whether every set of members that may be in effect keeps
// a majority when one more disk is lost.
func (w *cluster) canLoseDisk(lost *node) bool {
	if len(w.committed) == 0 && lost != nil && slices.Contains(w.initialVoters, lost.vm) {
		// Votes for the first leader, which name the disks, may be in flight.
		w.lostEarly[lost.vm] = true
		if len(w.lostEarly) > (len(w.initialVoters)-1)/2 {
			return false
		}
	}
	gone := func(r entry.Replica) bool {
		for _, n := range w.nodes {
			if n.vm == r.VM {
				return n == lost || r.Disk != 0 && n.disk.Disk != r.Disk
			}
		}
		return true
	}
	for _, n := range w.nodes {
		members, dead := n.log.members.Voters, 0
		for _, r := range members {
			if gone(r) {
				dead++
			}
		}
		if n.log.disksUnknown() && len(w.committed) > 0 {
			continue // not in effect: the first leader was elected without this replica
		}
		if w.shrunk {
			dead++ // a live voter may be removed at the same time
		}
		if dead > (len(members)-1)/2 {
			return false
		}
		// A learner may become a voter before the loss of its disk is noticed.
		if slices.ContainsFunc(n.log.members.Learners, gone) && dead+1 > len(members)/2 {
			return false
		}
	}
	return true
}

func (w *cluster) leader() *node {
	var found *node
	for _, n := range w.nodes {
		if n.up && n.log.role == leader && (found == nil || n.log.term > found.log.term) {
			found = n
		}
	}
	return found
}

func (w *cluster) propose(n *node, key byte) (entry.Status, uint64) {
	index, status, out := n.log.Propose(w.now, entry.Claim{Customer: "acme", Key: model.Key{key}}, nil)
	w.execute(n, out)
	return status, index
}

// waitForLeader runs until a leader has committed an entry of its own term.
func (w *cluster) waitForLeader() *node {
	for range 200 {
		w.run(50 * time.Millisecond)
		if n := w.leader(); n != nil && n.log.commitIndex >= n.log.termStart {
			return n
		}
	}
	for _, n := range w.nodes {
		w.t.Logf("%s disk %x: %+v last %d", n.vm, n.disk.Disk, n.log.Status(), n.log.lastIndex())
	}
	w.t.Fatalf("no leader within 10 s")
	return nil
}
