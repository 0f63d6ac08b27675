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

// fleet runs many trees in virtual time. The first VM of the first zones
// replicates the log, which the fleet itself applies to the replicas that are not cut off
// from the first zone's.
type fleet struct {
	now    time.Time
	ids    []model.VMID
	vms    map[model.VMID]model.VM
	nodes  map[model.VMID]*simVM
	cut    map[[2]model.VMID]bool
	rng    *rand.Rand
	loss   float64
	dup    float64
	jitter time.Duration
	queue  pending
	n      int
	ops    []entry.OpRecord
	sent   func(from model.VMID, m frame.Message)
}

type simVM struct {
	tree    *Tree
	store   *fakeStore
	highest model.Revision // since the start of its process
	life    int
}

// item is a message or, with a nil message, a timer.
type item struct {
	at       time.Time
	n        int
	from, to model.VMID
	message  frame.Message
	life     int
}

type pending []item

func (p pending) Len() int { return len(p) }
func (p pending) Less(i, j int) bool {
	return p[i].at.Before(p[j].at) || p[i].at.Equal(p[j].at) && p[i].n < p[j].n
}
func (p pending) Swap(i, j int) { p[i], p[j] = p[j], p[i] }
func (p *pending) Push(x any)   { *p = append(*p, x.(item)) }
func (p *pending) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}

func newFleet(zones, size, disks int, seed uint64) *fleet {
	f := &fleet{
		now: epoch, vms: map[model.VMID]model.VM{}, nodes: map[model.VMID]*simVM{}, cut: map[[2]model.VMID]bool{},
		rng: rand.New(rand.NewPCG(seed, 1)), jitter: 5 * time.Millisecond,
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
	n := &simVM{store: &fakeStore{vms: f.vms}, life: 1}
	if old := f.nodes[id]; old != nil {
		n.life = old.life + 1
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
	f.carry(id, out)
}

func (f *fleet) carry(id model.VMID, out []effect.Effect) {
	n := f.nodes[id]
	n.highest = max(n.highest, n.store.Revision())
	for _, e := range out {
		switch e := e.(type) {
		case effect.SetTimer:
			f.push(item{at: e.At, to: id, life: n.life})
		case effect.SendMessage:
			if f.sent != nil {
				f.sent(id, e.Message)
			}
			for range 1 + f.chance(f.dup) {
				if !f.cut[[2]model.VMID{id, e.To}] && f.chance(f.loss) == 0 {
					at := f.now.Add(time.Millisecond + time.Duration(f.rng.Int64N(int64(f.jitter))))
					f.push(item{at: at, from: id, to: e.To, message: e.Message})
				}
			}
		}
	}
}

func (f *fleet) chance(p float64) int {
	if f.rng.Float64() < p {
		return 1
	}
	return 0
}

func (f *fleet) push(i item) {
	f.n++
	i.n = f.n
	heap.Push(&f.queue, i)
}

// commit adds a change to the log.
func (f *fleet) commit() {
	f.ops = append(f.ops, entry.OpRecord{ID: model.OpID(fmt.Sprint("op", len(f.ops)))})
}

// replicate brings the replicas in reach of the first one up to date.
func (f *fleet) replicate() {
	for _, id := range f.ids {
		n := f.nodes[id]
		if !f.vms[id].HasDisk || f.cut[[2]model.VMID{f.ids[0], id}] {
			continue
		}
		out := n.tree.Log(f.now, true, f.ids[0], f.now, nil)
		if len(n.store.ops) < len(f.ops) {
			n.store.ops = slices.Clone(f.ops)
			out = n.tree.Changed(f.now, out)
		}
		f.carry(id, out)
	}
}

// run lets a time pass. It returns the first VM whose revision went down.
func (f *fleet) run(d time.Duration) (lower model.VMID) {
	end := f.now.Add(d)
	for next := f.now; ; {
		if len(f.queue) == 0 || f.queue[0].at.After(earlier(next, end)) {
			if next.After(end) {
				f.now = end
				return ""
			}
			f.now = next
			f.replicate()
			next = next.Add(100 * time.Millisecond)
			continue
		}
		i := heap.Pop(&f.queue).(item)
		f.now = i.at
		n := f.nodes[i.to]
		switch {
		case i.message != nil:
			f.carry(i.to, n.tree.Peer(f.now, i.from, i.message, nil))
		case i.life == n.life:
			f.carry(i.to, n.tree.Timer(f.now, nil))
		}
		if n.store.lower || n.store.Revision() < n.highest {
			return i.to
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// part cuts or joins two VMs.
func (f *fleet) part(a, b model.VMID, cut bool) {
	f.cut[[2]model.VMID{a, b}] = cut
	f.cut[[2]model.VMID{b, a}] = cut
}

// isolate cuts or joins a zone.
func (f *fleet) isolate(zone model.Zone, cut bool) {
	for _, a := range f.ids {
		for _, b := range f.ids {
			if f.vms[a].Zone == zone && f.vms[b].Zone != zone {
				f.part(a, b, cut)
			}
		}
	}
}

// reach lists the VMs with a way to the first replica over links the tree may
// use: within a zone, and to or from a disk VM of another zone.
func (f *fleet) reach() map[model.VMID]bool {
	seen := map[model.VMID]bool{}
	todo := []model.VMID{f.ids[0]}
	for len(todo) > 0 {
		a := todo[0]
		todo = todo[1:]
		if seen[a] {
			continue
		}
		seen[a] = true
		for _, b := range f.ids {
			usable := f.vms[a].Zone == f.vms[b].Zone || f.vms[a].HasDisk
			// A replica is fed by the log alone.
			if f.vms[b].HasDisk {
				usable = a == f.ids[0]
			}
			if usable && !f.cut[[2]model.VMID{a, b}] {
				todo = append(todo, b)
			}
		}
	}
	return seen
}

// behind lists the VMs of a set that do not have the newest revision.
func (f *fleet) behind(set map[model.VMID]bool) []string {
	var list []string
	for _, id := range f.ids {
		if n := f.nodes[id]; set[id] && len(n.store.ops) != len(f.ops) {
			list = append(list, fmt.Sprintf("%s at %d of %d, parent %s", id, len(n.store.ops), len(f.ops), n.tree.Parent()))
		}
	}
	return list
}
