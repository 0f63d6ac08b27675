package relay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

var epoch = time.Unix(1_700_000_000, 0)

// fleet simulates many trees in virtual time. The first VM of some zones is a
// disk VM that replicates the log. The fleet itself applies the log to the
// replicas that are not cut off from the first VM, which counts as the leader.
type fleet struct {
	now           time.Time
	ids           []model.VMID
	vms           map[model.VMID]model.VM
	nodes         map[model.VMID]*simVM
	lostLinks     map[[2]model.VMID]bool // from one VM to another; every message is lost
	rng           *rand.Rand
	lossRate      float64       // probability that a message is lost
	duplicateRate float64       // probability that a message is duplicated
	maxDelay      time.Duration // of a message, beyond 1 ms
	queue         itemQueue
	itemCount     int                                    // orders items that are due at the same time
	ops           []entry.OpRecord                       // the log
	onSend        func(from model.VMID, m frame.Message) // called for each message unless nil
}

type simVM struct {
	tree            *Tree
	store           *fakeStore
	highestRevision model.Revision // since the start of the process
	incarnation     int            // number of starts; timers of earlier ones are ignored
}

// scheduledItem is a message or, if message is nil, a timer.
type scheduledItem struct {
	at          time.Time
	sequence    int
	from, to    model.VMID
	message     frame.Message
	incarnation int
}

type itemQueue []scheduledItem

func (q itemQueue) Len() int { return len(q) }
func (q itemQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].sequence < q[j].sequence
}
func (q itemQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *itemQueue) Push(x any)   { *q = append(*q, x.(scheduledItem)) }
func (q *itemQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newFleet(zones, size, disks int, seed uint64) *fleet {
	f := &fleet{
		now: epoch, vms: map[model.VMID]model.VM{}, nodes: map[model.VMID]*simVM{}, lostLinks: map[[2]model.VMID]bool{},
		rng: rand.New(rand.NewPCG(seed, 1)), maxDelay: 5 * time.Millisecond,
	}
	for z := range zones {
		for i := range size {
			id := model.VMID(fmt.Sprintf("%c%02d", 'a'+z, i))
			f.ids = append(f.ids, id)
			f.vms[id] = model.VM{ID: id, Zone: model.Zone(id[:1]), HasDisk: i == 0 && z < disks}
		}
	}
	f.commit()
	for _, id := range f.ids {
		f.start(id)
	}
	return f
}

func (f *fleet) start(id model.VMID) {
	n := &simVM{store: &fakeStore{vms: f.vms}, incarnation: 1}
	if old := f.nodes[id]; old != nil {
		n.incarnation = old.incarnation + 1
		if f.vms[id].HasDisk {
			n.store.ops = old.store.ops
		}
	}
	n.tree = &Tree{Store: n.store}
	for _, vm := range f.vms {
		n.tree.Peers = append(n.tree.Peers, vm)
	}
	f.nodes[id] = n
	out := n.tree.Start(f.now, f.vms[id], f.now, nil)
	if f.vms[id].HasDisk {
		out = n.tree.Log(f.now, true, f.ids[0], f.now, out)
	}
	f.execute(id, out)
}

func (f *fleet) execute(id model.VMID, out []effect.Effect) {
	n := f.nodes[id]
	n.highestRevision = max(n.highestRevision, n.store.Revision())
	for _, e := range out {
		switch e := e.(type) {
		case effect.SetTimer:
			f.push(scheduledItem{at: e.At, to: id, incarnation: n.incarnation})
		case effect.SendMessage:
			if f.onSend != nil {
				f.onSend(id, e.Message)
			}
			for range 1 + f.draw(f.duplicateRate) {
				if !f.lostLinks[[2]model.VMID{id, e.To}] && f.draw(f.lossRate) == 0 {
					at := f.now.Add(time.Millisecond + time.Duration(f.rng.Int64N(int64(f.maxDelay))))
					f.push(scheduledItem{at: at, from: id, to: e.To, message: e.Message})
				}
			}
		}
	}
}

// draw returns 1 with probability p, otherwise 0.
func (f *fleet) draw(p float64) int {
	if f.rng.Float64() < p {
		return 1
	}
	return 0
}

func (f *fleet) push(i scheduledItem) {
	f.itemCount++
	i.sequence = f.itemCount
	heap.Push(&f.queue, i)
}

// commit appends a change to the log.
func (f *fleet) commit() {
	f.ops = append(f.ops, entry.OpRecord{ID: model.OpID(fmt.Sprint("op", len(f.ops)))})
}

// replicate updates the replicas that are not cut off from the leader.
func (f *fleet) replicate() {
	for _, id := range f.ids {
		n := f.nodes[id]
		if !f.vms[id].HasDisk || f.lostLinks[[2]model.VMID{f.ids[0], id}] {
			continue
		}
		out := n.tree.Log(f.now, true, f.ids[0], f.now, nil)
		if len(n.store.ops) < len(f.ops) {
			n.store.ops = slices.Clone(f.ops)
			out = n.tree.PushChanges(f.now, out)
		}
		f.execute(id, out)
	}
}

// run advances virtual time. It returns the first VM whose revision went down,
// or "".
func (f *fleet) run(d time.Duration) (lowered model.VMID) {
	end := f.now.Add(d)
	for next := f.now; ; {
		if len(f.queue) == 0 || f.queue[0].at.After(earlierTime(next, end)) {
			if next.After(end) {
				f.now = end
				return ""
			}
			f.now = next
			f.replicate()
			next = next.Add(100 * time.Millisecond)
			continue
		}
		i := heap.Pop(&f.queue).(scheduledItem)
		f.now = i.at
		n := f.nodes[i.to]
		switch {
		case i.message != nil:
			f.execute(i.to, n.tree.HandlePeerMessage(f.now, i.from, i.message, nil))
		case i.incarnation == n.incarnation:
			f.execute(i.to, n.tree.HandleTimer(f.now, nil))
		}
		if n.store.revisionLowered || n.store.Revision() < n.highestRevision {
			return i.to
		}
	}
}

func earlierTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// setLink cuts or restores the link between two VMs.
func (f *fleet) setLink(a, b model.VMID, cut bool) {
	f.lostLinks[[2]model.VMID{a, b}] = cut
	f.lostLinks[[2]model.VMID{b, a}] = cut
}

// setZoneLinks cuts or restores the links between a zone and the others.
func (f *fleet) setZoneLinks(zone model.Zone, cut bool) {
	for _, a := range f.ids {
		for _, b := range f.ids {
			if f.vms[a].Zone == zone && f.vms[b].Zone != zone {
				f.setLink(a, b, cut)
			}
		}
	}
}

// reachable returns the VMs that can receive the configuration from the first
// VM over links that the tree may use: within a zone, and from a disk VM to
// another zone.
func (f *fleet) reachable() map[model.VMID]bool {
	reached := map[model.VMID]bool{}
	queue := []model.VMID{f.ids[0]}
	for len(queue) > 0 {
		a := queue[0]
		queue = queue[1:]
		if reached[a] {
			continue
		}
		reached[a] = true
		for _, b := range f.ids {
			usable := f.vms[a].Zone == f.vms[b].Zone || f.vms[a].HasDisk
			// A replica receives the configuration only from the log.
			if f.vms[b].HasDisk {
				usable = a == f.ids[0]
			}
			if usable && !f.lostLinks[[2]model.VMID{a, b}] {
				queue = append(queue, b)
			}
		}
	}
	return reached
}

// outdated describes the VMs of a set that do not have the latest change.
func (f *fleet) outdated(set map[model.VMID]bool) []string {
	var list []string
	for _, id := range f.ids {
		if n := f.nodes[id]; set[id] && len(n.store.ops) != len(f.ops) {
			list = append(list, fmt.Sprintf("%s at %d of %d, parent %s", id, len(n.store.ops), len(f.ops), n.tree.Parent()))
		}
	}
	return list
}
