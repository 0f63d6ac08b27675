package relay

import (
	"cmp"
	"hash/fnv"
	"slices"

	"comfreypulley/core/model"
)

// order is the place of one VM in the tree, computed from the registered VMs.
type order struct {
	vms      map[model.VMID]model.VM
	zone     []model.VMID // VMs of the own zone, disk VMs first, then by id
	outside  []model.VMID // disk VMs of other zones, in an order of its own for each VM
	position int          // of the own VM in zone
}

// newOrder places self among the VMs. Self counts as registered.
func newOrder(self model.VM, vms map[model.VMID]model.VM) order {
	o := order{vms: make(map[model.VMID]model.VM, len(vms)+1)}
	for id, vm := range vms {
		o.vms[id] = vm
	}
	if _, ok := o.vms[self.ID]; !ok {
		o.vms[self.ID] = self
	}
	for id, vm := range o.vms {
		switch {
		case vm.Zone == self.Zone:
			o.zone = append(o.zone, id)
		case vm.HasDisk:
			o.outside = append(o.outside, id)
		}
	}
	slices.SortFunc(o.zone, func(a, b model.VMID) int {
		if o.vms[a].HasDisk != o.vms[b].HasDisk {
			if o.vms[a].HasDisk {
				return -1
			}
			return 1
		}
		return cmp.Compare(a, b)
	})
	// Each VM has its own order, so that the disk VMs share the load.
	slices.SortFunc(o.outside, func(a, b model.VMID) int {
		return cmp.Or(cmp.Compare(weight(self.ID, a), weight(self.ID, b)), cmp.Compare(a, b))
	})
	o.position = slices.Index(o.zone, self.ID)
	return o
}

func weight(a, b model.VMID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(b))
	return h.Sum64()
}

// home returns the parent that the VM has while nothing fails, "" when there
// is none. The leader is preferred by position 0 because it is the first to
// know of a commit.
func (o *order) home(replica bool, leader model.VMID) model.VMID {
	switch {
	case o.position > 0:
		return o.zone[(o.position-1)/fanout]
	case replica || len(o.outside) == 0:
		return ""
	case slices.Contains(o.outside, leader):
		return leader
	default:
		return o.outside[0]
	}
}

// depth is the number of steps to position 0.
func (o *order) depth() int {
	n := 0
	for i := o.position; i > 0; i = (i - 1) / fanout {
		n++
	}
	return n
}

// candidates lists the parents of one round of the search: the own line of
// ancestors, then some other VMs of the zone, then some disk VMs outside. Later
// rounds name others, so that every VM has its turn while a round stays short.
func (o *order) candidates(round int) []model.VMID {
	var list []model.VMID
	for i := o.position; i > 0; {
		i = (i - 1) / fanout
		list = append(list, o.zone[i])
	}
	list = turn(list, o.zone, o.zone[o.position], round)
	return turn(list, o.outside, "", round)
}

func turn(list, from []model.VMID, self model.VMID, round int) []model.VMID {
	for i := range min(perRound, len(from)) {
		id := from[(round*perRound+i)%len(from)]
		if id != self && !slices.Contains(list, id) {
			list = append(list, id)
		}
	}
	return list
}
