package relay

import (
	"slices"
	"time"

	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// below is what the VM knows of the VMs under it, and what of that its parent
// has yet to hear. The zero value is empty.
type below struct {
	vms   map[model.VMID]*known
	queue []model.VMID // to report, oldest change first
	ring  []model.VMID // to repeat, because a report may be lost
}

// known is the state of one VM below.
type known struct {
	revision model.Revision
	heard    time.Time // last heartbeat
	suspect  bool
	queued   bool
}

// note takes what was heard of a VM and queues it for the parent when it is a
// change. Of two reports the one of the later heartbeat counts.
func (b *below) note(at time.Time, h frame.VMStatus) {
	if b.vms == nil {
		b.vms = make(map[model.VMID]*known)
	}
	heard := at.Add(-h.HeartbeatAge)
	k, ok := b.vms[h.VM]
	if !ok {
		k = &known{}
		b.vms[h.VM] = k
		b.ring = append(b.ring, h.VM)
	}
	if heard.Before(k.heard) {
		return
	}
	changed := !ok || k.revision != h.Revision || k.suspect != h.Suspected
	urgent := k.suspect != h.Suspected
	k.revision, k.heard, k.suspect = h.Revision, heard, h.Suspected
	if changed {
		b.enqueue(h.VM, k, urgent)
	}
}

// suspect records a suspicion or its end.
func (b *below) suspect(id model.VMID, suspect bool) {
	if k, ok := b.vms[id]; ok && k.suspect != suspect {
		k.suspect = suspect
		b.enqueue(id, k, true)
	}
}

func (b *below) suspected(id model.VMID) bool {
	k, ok := b.vms[id]
	return ok && k.suspect
}

func (b *below) enqueue(id model.VMID, k *known, urgent bool) {
	if urgent {
		if k.queued {
			b.queue = slices.DeleteFunc(b.queue, func(q model.VMID) bool { return q == id })
		}
		b.queue = slices.Insert(b.queue, 0, id)
	} else if !k.queued {
		b.queue = append(b.queue, id)
	}
	k.queued = true
}

// again queues everything, for a parent that knows nothing yet.
func (b *below) again() {
	for _, id := range b.ring {
		if k := b.vms[id]; !k.queued {
			b.enqueue(id, k, false)
		}
	}
}

// report takes up to maxBelow entries off the queue, and repeats one that was
// reported before.
func (b *below) report(at time.Time) []frame.VMStatus {
	n := min(maxBelow, len(b.queue))
	var list []frame.VMStatus
	for _, id := range b.queue[:n] {
		if k, ok := b.vms[id]; ok {
			k.queued = false
			list = append(list, k.heardOf(id, at))
		}
	}
	b.queue = slices.Delete(b.queue, 0, n)
	if n == 0 && len(b.ring) > 0 {
		id := b.ring[0]
		b.ring = append(b.ring[1:], id)
		list = append(list, b.vms[id].heardOf(id, at))
	}
	return list
}

func (k *known) heardOf(id model.VMID, at time.Time) frame.VMStatus {
	return frame.VMStatus{VM: id, Revision: k.revision, HeartbeatAge: at.Sub(k.heard), Suspected: k.suspect}
}

// keep forgets the VMs that are no longer registered.
func (b *below) keep(registered map[model.VMID]model.VM) {
	for id := range b.vms {
		if _, ok := registered[id]; !ok {
			delete(b.vms, id)
		}
	}
	gone := func(id model.VMID) bool { return b.vms[id] == nil }
	b.ring = slices.DeleteFunc(b.ring, gone)
	b.queue = slices.DeleteFunc(b.queue, gone)
}

// list returns everything known, ascending by VM.
func (b *below) list(at time.Time) []frame.VMStatus {
	ids := slices.Clone(b.ring)
	slices.Sort(ids)
	var all []frame.VMStatus
	for _, id := range ids {
		all = append(all, b.vms[id].heardOf(id, at))
	}
	return all
}
