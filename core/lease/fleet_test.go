package lease

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

var epoch = time.Unix(1_700_000_000, 0)

// simFleet runs the holders of all VMs and the granters of the first three in
// virtual time.
type simFleet struct {
	now      time.Time
	rng      *rand.Rand
	loss     float64
	dup      float64
	delay    time.Duration
	limits   map[string]int
	newest   *model.Topology
	vms      map[model.VMID]*simVM
	leader   model.VMID
	old      model.VMID // replaced, but grants until oldUntil
	oldUntil time.Time
	queue    pending
	n        int
}

type simVM struct {
	holder   *Holder
	granter  *Granter
	topology *model.Topology
	cut      bool
	demand   map[string]int
}

type item struct {
	at       time.Time
	n        int
	from, to model.VMID
	message  frame.Message
	topology *model.Topology
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

func newSimFleet(size int, limits map[string]int, seed uint64) *simFleet {
	f := &simFleet{
		now: epoch, rng: rand.New(rand.NewPCG(seed, 2)), delay: 20 * time.Millisecond, limits: limits,
		vms: map[model.VMID]*simVM{}, newest: &model.Topology{},
	}
	var ids []model.VMID
	for i := range size {
		ids = append(ids, vmID(i))
	}
	f.commit(ids)
	f.lead(vmID(0))
	return f
}

func vmID(i int) model.VMID { return model.VMID(fmt.Sprint("vm", i)) }

// commit makes a configuration with these VMs and sends it to all, removed ones
// included.
func (f *simFleet) commit(ids []model.VMID) {
	t := &model.Topology{
		Revision: f.newest.Revision + 1, LimitsRevision: f.newest.Revision + 1, VMs: map[model.VMID]model.VM{}, Contracts: map[string]model.Contract{},
		Upstreams: map[model.UpstreamID]model.Upstream{},
	}
	for _, id := range ids {
		t.VMs[id] = model.VM{ID: id, HasDisk: true}
		if f.vms[id] == nil {
			f.restart(id)
		}
	}
	for customer, limit := range f.limits {
		t.Contracts[customer] = model.Contract{Customer: customer, Concurrency: limit}
		t.Upstreams[model.UpstreamID(customer)] = model.Upstream{ID: model.UpstreamID(customer), MaxConns: limit}
	}
	f.newest = t
	for _, id := range f.ids() {
		f.vms[id].granter.Observe(f.now, t)
		if _, ok := t.VMs[id]; !ok || !f.vms[id].cut {
			f.publish(id)
		}
	}
}

// publish brings the newest configuration to a VM within the time in which it
// is in force everywhere.
func (f *simFleet) publish(id model.VMID) {
	f.push(item{at: f.now.Add(time.Duration(f.rng.Int64N(int64(raiseAfter)))), to: id, topology: f.newest})
}

func (f *simFleet) restart(id model.VMID) {
	n := &simVM{holder: &Holder{Self: model.VM{ID: id}, Began: f.now}, granter: &Granter{}, demand: map[string]int{}}
	if old := f.vms[id]; old != nil {
		n.granter, n.topology, n.cut = old.granter, old.topology, old.cut
	}
	f.vms[id] = n
}

func (f *simFleet) lead(id model.VMID) {
	if f.leader != "" {
		f.old, f.oldUntil = f.leader, f.now.Add(uncertainty)
	}
	f.leader = id
	f.vms[id].granter.Lead(f.now)
}

func (f *simFleet) ids() []model.VMID { return slices.Sorted(maps.Keys(f.vms)) }

func (f *simFleet) push(i item) {
	f.n++
	i.n = f.n
	heap.Push(&f.queue, i)
}

func (f *simFleet) carry(from model.VMID, out []effect.Effect) {
	for _, e := range out {
		tell, ok := e.(effect.SendMessage)
		if !ok || f.vms[from].cut != f.vms[tell.To].cut {
			continue
		}
		copies := 1
		if f.rng.Float64() < f.dup {
			copies = 3
		}
		for range copies {
			if f.rng.Float64() >= f.loss {
				f.push(item{at: f.now.Add(time.Duration(f.rng.Int64N(int64(f.delay)))), from: from, to: tell.To, message: tell.Message})
			}
		}
	}
}

func (f *simFleet) deliver(i item) {
	vm := f.vms[i.to]
	switch m := i.message.(type) {
	case frame.LeaseRequest:
		if i.to == f.leader || i.to == f.old && f.now.Before(f.oldUntil) {
			f.carry(i.to, vm.granter.Ask(f.now, i.from, m, f.newest, nil))
		}
	case frame.LeaseResponse:
		vm.holder.Granted(f.now, m)
	default:
		if vm.topology == nil || vm.topology.Revision < i.topology.Revision {
			vm.topology = i.topology
		}
	}
}

// run lets a time pass and calls check after each event.
func (f *simFleet) run(d time.Duration, check func()) {
	end := f.now.Add(d)
	for tick := f.now; f.now.Before(end); {
		if len(f.queue) > 0 && !f.queue[0].at.After(tick) {
			i := heap.Pop(&f.queue).(item)
			f.now = i.at
			f.deliver(i)
			check()
			continue
		}
		f.now = tick
		for _, id := range f.ids() {
			vm := f.vms[id]
			if vm.topology != nil {
				vm.holder.Share(f.now, vm.topology, 1)
				f.carry(id, vm.holder.Ask(f.now, model.VM{ID: f.leader}, vm.demand, nil))
			}
		}
		check()
		tick = tick.Add(200 * time.Millisecond)
	}
}

// sums adds up what all VMs may use now.
func (f *simFleet) sums() (limits map[string]int, conns map[model.UpstreamID]int) {
	limits, conns = map[string]int{}, map[model.UpstreamID]int{}
	for _, vm := range f.vms {
		if vm.topology == nil {
			continue
		}
		share := vm.holder.Share(f.now, vm.topology, 1)
		for customer, n := range share.Concurrency {
			limits[customer] += n
		}
		for id, n := range share.Conns {
			conns[id] += n
		}
	}
	return limits, conns
}
