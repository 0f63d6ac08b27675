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

// TestMain fixes the seed, so that every run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// start is the time of the first event in every test.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// world drives several replicas in virtual time over a lossy network and disks
// that lose what they did not sync. It checks the invariants as it goes.
type world struct {
	t       rapid.TB
	random  *rand.Rand
	now     time.Time
	order   uint64
	nodes   []*node
	first   []model.VMID
	queue   []happening
	loss    float64 // share of messages lost, and of messages repeated
	cut     map[model.VMID]bool
	leaders map[uint64]entry.Replica
	history []entry.Entry // committed, by index-1
	disks   model.DiskID
	early   map[model.VMID]bool // first voters that lost a disk before the first commit
	narrow  bool                // fewer VMs were wanted at some time
	notes   []effect.Note
}

// node is a VM with its disk.
type node struct {
	vm      model.VMID
	up      bool
	boot    int // events of an earlier boot are dropped
	log     *Log
	disk    event.DiskLoaded
	pending []effect.Effect // writes not synced yet
	busy    bool            // a sync is in flight
	timers  map[event.TimerKind]time.Time
	applied uint64
	reads   map[uint64]uint64 // least index a confirmed read must see
}

type happening struct {
	at    time.Time
	order uint64
	do    func()
}

func newWorld(t rapid.TB, seed uint64, size, voters int) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), now: start,
		cut: make(map[model.VMID]bool), early: make(map[model.VMID]bool), leaders: make(map[uint64]entry.Replica),
	}
	for i := range size {
		w.nodes = append(w.nodes, &node{vm: model.VMID(fmt.Sprintf("vm%d", i))})
	}
	for _, n := range w.nodes[:voters] {
		w.first = append(w.first, n.vm)
	}
	for _, n := range w.nodes {
		w.replace(n)
		w.start(n)
	}
	return w
}

// replace gives a stopped VM an empty disk.
func (w *world) replace(n *node) {
	w.disks++
	n.disk = event.DiskLoaded{Disk: w.disks, Created: true}
}

func (w *world) start(n *node) {
	n.boot++
	n.up, n.busy, n.pending, n.applied = true, false, nil, 0
	n.log, n.timers, n.reads = &Log{}, make(map[event.TimerKind]time.Time), make(map[uint64]uint64)
	loaded := n.disk
	loaded.Entries = slices.Clone(loaded.Entries)
	w.carry(n, n.log.Loaded(w.now, n.vm, w.random.Uint64(), w.first, loaded, nil))
}

// stop crashes a VM. A random prefix of the writes that were not synced may
// have reached the disk all the same.
func (w *world) stop(n *node) {
	for _, e := range n.pending[:w.random.IntN(len(n.pending)+1)] {
		n.write(e)
	}
	n.up = false
	n.boot++
}

// write makes an effect durable.
func (n *node) write(e effect.Effect) {
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

func (w *world) after(d time.Duration, do func()) {
	w.order++
	h := happening{at: w.now.Add(d), order: w.order, do: do}
	i, _ := slices.BinarySearchFunc(w.queue, h, func(a, b happening) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.order, b.order))
	})
	w.queue = slices.Insert(w.queue, i, h)
}

// run lets virtual time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		h := w.queue[0]
		w.queue = w.queue[1:]
		w.now = h.at
		h.do()
	}
	w.now = end
}

func (w *world) delay(most time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(most))) + time.Microsecond
}

// carry carries out effects and checks what the replica did.
func (w *world) carry(n *node, out []effect.Effect) {
	boot := n.boot
	for _, e := range out {
		switch e := e.(type) {
		case effect.SendMessage:
			for range 1 + w.chance() {
				w.after(w.delay(10*time.Millisecond), func() { w.deliver(n.vm, e) })
			}
		case effect.SetTimer:
			n.timers[e.ID.Kind] = e.At
			w.after(e.At.Sub(w.now), func() {
				if n.boot == boot && n.timers[e.ID.Kind].Equal(e.At) {
					delete(n.timers, e.ID.Kind)
					w.carry(n, n.log.Timer(w.now, e.ID.Kind, nil))
				}
			})
		case effect.StopTimer:
			delete(n.timers, e.ID.Kind)
		case effect.Note:
			w.notes = append(w.notes, e)
		default:
			n.pending = append(n.pending, e)
		}
	}
	w.sync(n)
	w.check(n)
}

func (w *world) chance() int {
	if w.random.Float64() < w.loss {
		return 1
	}
	return 0
}

func (w *world) deliver(from model.VMID, e effect.SendMessage) {
	if w.chance() == 1 || w.cut[from] != w.cut[e.To] {
		return
	}
	for _, n := range w.nodes {
		if n.vm == e.To && n.up {
			w.carry(n, n.log.Peer(w.now, from, e.Message, nil))
		}
	}
}

// sync writes everything pending after a while.
func (w *world) sync(n *node) {
	if n.busy || len(n.pending) == 0 {
		return
	}
	n.busy = true
	boot, batch := n.boot, len(n.pending)
	w.after(w.delay(8*time.Millisecond), func() {
		if n.boot != boot {
			return
		}
		var last uint64
		for _, e := range n.pending[:batch] {
			n.write(e)
			switch e := e.(type) {
			case effect.SaveVote:
				last = e.Seq
			case effect.AppendEntries:
				last = e.Seq
			case effect.SaveImage:
				last = e.Seq
			}
		}
		n.pending, n.busy = slices.Clone(n.pending[batch:]), false
		w.carry(n, n.log.Synced(w.now, event.DiskSynced{Seq: last}, nil))
	})
}

// check applies what the replica committed and compares it with every other
// replica's history.
func (w *world) check(n *node) {
	image, entries := n.log.Committed()
	if image != nil {
		if image.Index > uint64(len(w.history)) || image.Term != w.history[image.Index-1].Term {
			w.t.Fatalf("%s restored an image up to %d.%d that was never committed", n.vm, image.Index, image.Term)
		}
		n.applied = image.Index
	}
	for _, e := range entries {
		if e.Index != n.applied+1 {
			w.t.Fatalf("%s applied entry %d after %d", n.vm, e.Index, n.applied)
		}
		n.applied = e.Index
		if e.Index > uint64(len(w.history)) {
			w.history = append(w.history, e)
		} else if known := w.history[e.Index-1]; !reflect.DeepEqual(e, known) {
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
		if other, ok := w.leaders[s.Term]; ok && other != self {
			w.t.Fatalf("term %d has the leaders %v and %v", s.Term, other, self)
		} else if !ok {
			w.leaders[s.Term] = self
			w.complete(n)
		}
	}
}

// complete checks that a new leader holds every committed entry.
func (w *world) complete(n *node) {
	for _, e := range w.history {
		if e.Index >= n.log.image.Index && n.log.termOf(e.Index) != e.Term {
			w.t.Fatalf("%s leads term %d without the committed entry %d.%d", n.vm, n.log.term, e.Index, e.Term)
		}
	}
}

// match checks that two logs with an equal entry are equal up to it.
func (w *world) match() {
	for _, a := range w.nodes {
		for _, b := range w.nodes {
			equal := false
			for i := min(a.log.last(), b.log.last()); i > max(a.log.image.Index, b.log.image.Index); i-- {
				same := a.log.termOf(i) == b.log.termOf(i)
				if equal && !same {
					w.t.Fatalf("%s and %s differ at %d below an equal entry", a.vm, b.vm, i)
				}
				equal = equal || same
			}
		}
	}
}

// replaceable reports whether losing one more disk leaves every set of members
// that may be in force its majority.
func (w *world) replaceable(lost *node) bool {
	if len(w.history) == 0 && lost != nil && slices.Contains(w.first, lost.vm) {
		// Votes for the first leader, which name the disks, may be under way.
		w.early[lost.vm] = true
		if len(w.early) > (len(w.first)-1)/2 {
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
		if n.log.unbound() && len(w.history) > 0 {
			continue // not in force: the log was founded without this replica
		}
		if w.narrow {
			dead++ // a live voter may be removed at the same moment
		}
		if dead > (len(members)-1)/2 {
			return false
		}
		// A learner may become a voter before its loss is noticed.
		if slices.ContainsFunc(n.log.members.Learners, gone) && dead+1 > len(members)/2 {
			return false
		}
	}
	return true
}

func (w *world) leader() *node {
	var found *node
	for _, n := range w.nodes {
		if n.up && n.log.role == leader && (found == nil || n.log.term > found.log.term) {
			found = n
		}
	}
	return found
}

func (w *world) propose(n *node, key byte) (entry.Status, uint64) {
	index, status, out := n.log.Propose(w.now, entry.Claim{Customer: "acme", Key: model.Key{key}}, nil)
	w.carry(n, out)
	return status, index
}

// elect runs until a leader has committed an entry of its term.
func (w *world) elect() *node {
	for range 200 {
		w.run(50 * time.Millisecond)
		if n := w.leader(); n != nil && n.log.commit >= n.log.began {
			return n
		}
	}
	for _, n := range w.nodes {
		w.t.Logf("%s disk %x: %+v last %d", n.vm, n.disk.Disk, n.log.Status(), n.log.last())
	}
	w.t.Fatalf("no leader within 10 s")
	return nil
}
