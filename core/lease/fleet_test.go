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

// simFleet simulates the holders and granters of all VMs in virtual time. The
// leader is one of the first three VMs.
type simFleet struct {
	now            time.Time
	rng            *rand.Rand
	lossRate       float64         // probability that a message is lost
	duplicateRate  float64         // probability that a message is tripled
	maxDelay       time.Duration   // upper bound of the random delay of a message
	limits         map[string]int  // limit of each customer, and of the upstream with the same name
	newest         *model.Topology // latest configuration
	vms            map[model.VMID]*simVM
	leader         model.VMID
	replacedLeader model.VMID // keeps granting until replacedUntil
	replacedUntil  time.Time
	queue          itemQueue
	itemCount      int // orders items that are due at the same time
}

type simVM struct {
	holder   *Holder
	granter  *Granter
	topology *model.Topology // in use on the VM, nil before the first one arrives
	isolated bool            // exchanges messages only with other isolated VMs
	demand   map[string]int
}

// scheduledItem is a message or, if message is nil, a configuration.
type scheduledItem struct {
	at       time.Time
	sequence int
	from, to model.VMID
	message  frame.Message
	topology *model.Topology
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

func newSimFleet(size int, limits map[string]int, seed uint64) *simFleet {
	f := &simFleet{
		now: epoch, rng: rand.New(rand.NewPCG(seed, 2)), maxDelay: 20 * time.Millisecond, limits: limits,
		vms: map[model.VMID]*simVM{}, newest: &model.Topology{},
	}
	var ids []model.VMID
	for i := range size {
		ids = append(ids, vmID(i))
	}
	f.commit(ids)
	f.setLeader(vmID(0))
	return f
}

func vmID(i int) model.VMID { return model.VMID(fmt.Sprint("vm", i)) }

// commit creates a configuration with the given VMs and sends it to all VMs,
// including removed ones.
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
		if _, ok := t.VMs[id]; !ok || !f.vms[id].isolated {
			f.publish(id)
		}
	}
}

// publish delivers the latest configuration to a VM within raiseDelay.
func (f *simFleet) publish(id model.VMID) {
	f.push(scheduledItem{at: f.now.Add(time.Duration(f.rng.Int64N(int64(raiseDelay)))), to: id, topology: f.newest})
}

func (f *simFleet) restart(id model.VMID) {
	n := &simVM{holder: &Holder{Self: model.VM{ID: id}, ProcessStart: f.now}, granter: &Granter{}, demand: map[string]int{}}
	if old := f.vms[id]; old != nil {
		n.granter, n.topology, n.isolated = old.granter, old.topology, old.isolated
	}
	f.vms[id] = n
}

func (f *simFleet) setLeader(id model.VMID) {
	if f.leader != "" {
		f.replacedLeader, f.replacedUntil = f.leader, f.now.Add(leaderMargin)
	}
	f.leader = id
	f.vms[id].granter.StartLeading(f.now)
}

func (f *simFleet) ids() []model.VMID { return slices.Sorted(maps.Keys(f.vms)) }

func (f *simFleet) push(i scheduledItem) {
	f.itemCount++
	i.sequence = f.itemCount
	heap.Push(&f.queue, i)
}

func (f *simFleet) execute(from model.VMID, out []effect.Effect) {
	for _, e := range out {
		send, ok := e.(effect.SendMessage)
		if !ok || f.vms[from].isolated != f.vms[send.To].isolated {
			continue
		}
		copies := 1
		if f.rng.Float64() < f.duplicateRate {
			copies = 3
		}
		for range copies {
			if f.rng.Float64() >= f.lossRate {
				f.push(scheduledItem{at: f.now.Add(time.Duration(f.rng.Int64N(int64(f.maxDelay)))), from: from, to: send.To, message: send.Message})
			}
		}
	}
}

func (f *simFleet) deliver(i scheduledItem) {
	vm := f.vms[i.to]
	switch m := i.message.(type) {
	case frame.LeaseRequest:
		if i.to == f.leader || i.to == f.replacedLeader && f.now.Before(f.replacedUntil) {
			f.execute(i.to, vm.granter.HandleLeaseRequest(f.now, i.from, m, f.newest, nil))
		}
	case frame.LeaseResponse:
		vm.holder.HandleLeaseResponse(f.now, m)
	default:
		if vm.topology == nil || vm.topology.Revision < i.topology.Revision {
			vm.topology = i.topology
		}
	}
}

// run advances virtual time and calls check after each event.
func (f *simFleet) run(d time.Duration, check func()) {
	end := f.now.Add(d)
	for tick := f.now; f.now.Before(end); {
		if len(f.queue) > 0 && !f.queue[0].at.After(tick) {
			i := heap.Pop(&f.queue).(scheduledItem)
			f.now = i.at
			f.deliver(i)
			check()
			continue
		}
		f.now = tick
		for _, id := range f.ids() {
			vm := f.vms[id]
			if vm.topology != nil {
				vm.holder.MinQuota(f.now, vm.topology, 1)
				f.execute(id, vm.holder.RequestLease(f.now, model.VM{ID: f.leader}, vm.demand, nil))
			}
		}
		check()
		tick = tick.Add(200 * time.Millisecond)
	}
}

// totals adds up what all VMs may use now.
func (f *simFleet) totals() (limits map[string]int, conns map[model.UpstreamID]int) {
	limits, conns = map[string]int{}, map[model.UpstreamID]int{}
	for _, vm := range f.vms {
		if vm.topology == nil {
			continue
		}
		quota := vm.holder.MinQuota(f.now, vm.topology, 1)
		for customer, n := range quota.Concurrency {
			limits[customer] += n
		}
		for id, n := range quota.Conns {
			conns[id] += n
		}
	}
	return limits, conns
}
