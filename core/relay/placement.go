package relay

import (
	"cmp"
	"hash/fnv"
	"slices"

	"comfreypulley/core/model"
)

// placement is the position of one VM in the tree, computed from the registered
// VMs. The VMs of a zone form a tree with the given fanout in the order of
// zoneVMs; the parent of the VM at index i is at (i-1)/fanout.
type placement struct {
	vms            map[model.VMID]model.VM
	zoneVMs        []model.VMID // VMs of this VM's zone, disk VMs first, then by id
	outsideDiskVMs []model.VMID // disk VMs of other zones, in an order that differs from VM to VM
	position       int          // index of this VM in zoneVMs
}

// newPlacement computes the position of self, which counts as registered.
func newPlacement(self model.VM, vms map[model.VMID]model.VM) placement {
	p := placement{vms: make(map[model.VMID]model.VM, len(vms)+1)}
	for id, vm := range vms {
		p.vms[id] = vm
	}
	if _, ok := p.vms[self.ID]; !ok {
		p.vms[self.ID] = self
	}
	for id, vm := range p.vms {
		switch {
		case vm.Zone == self.Zone:
			p.zoneVMs = append(p.zoneVMs, id)
		case vm.HasDisk:
			p.outsideDiskVMs = append(p.outsideDiskVMs, id)
		}
	}
	slices.SortFunc(p.zoneVMs, func(a, b model.VMID) int {
		if p.vms[a].HasDisk != p.vms[b].HasDisk {
			if p.vms[a].HasDisk {
				return -1
			}
			return 1
		}
		return cmp.Compare(a, b)
	})
	// The order differs from VM to VM, so that the disk VMs share the load.
	slices.SortFunc(p.outsideDiskVMs, func(a, b model.VMID) int {
		return cmp.Or(cmp.Compare(pairHash(self.ID, a), pairHash(self.ID, b)), cmp.Compare(a, b))
	})
	p.position = slices.Index(p.zoneVMs, self.ID)
	return p
}

// pairHash returns a hash that orders the VMs b differently for each a.
func pairHash(a, b model.VMID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(b))
	return h.Sum64()
}

// preferredParent returns the parent of the VM while nothing fails, or "" if
// there is none. The root of a zone prefers the leader, which is the first to
// know of a commit.
func (p *placement) preferredParent(replica bool, leader model.VMID) model.VMID {
	switch {
	case p.position > 0:
		return p.zoneVMs[(p.position-1)/fanout]
	case replica || len(p.outsideDiskVMs) == 0:
		return ""
	case slices.Contains(p.outsideDiskVMs, leader):
		return leader
	default:
		return p.outsideDiskVMs[0]
	}
}

// searchingAncestors returns how many VMs between this one and the root of the
// zone search for another parent themselves. Disk VMs do not, because they
// replicate the log.
func (p *placement) searchingAncestors() int {
	n := 0
	for i := p.position; i > 0; {
		i = (i - 1) / fanout
		if !p.vms[p.zoneVMs[i]].HasDisk {
			n++
		}
	}
	return n
}

// candidates returns the parents to try in one round of the search: all
// ancestors, then some other VMs of the zone, then some disk VMs of other
// zones. Each round offers different ones, so that rounds stay short and every
// VM is tried eventually.
func (p *placement) candidates(round int) []model.VMID {
	var list []model.VMID
	for i := p.position; i > 0; {
		i = (i - 1) / fanout
		list = append(list, p.zoneVMs[i])
	}
	list = appendPage(list, p.zoneVMs, p.zoneVMs[p.position], round)
	return appendPage(list, p.outsideDiskVMs, "", round)
}

// appendPage appends the VMs of one round, without self and those already in
// the list.
func appendPage(list, from []model.VMID, self model.VMID, round int) []model.VMID {
	for i := range min(candidatesPerRound, len(from)) {
		id := from[(round*candidatesPerRound+i)%len(from)]
		if id != self && !slices.Contains(list, id) {
			list = append(list, id)
		}
	}
	return list
}
