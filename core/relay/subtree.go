package relay

import (
	"slices"
	"time"

	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// subtree holds the state of the VMs in this VM's subtree, and which of it is
// still to be reported to the parent. The zero value is empty.
type subtree struct {
	vms      map[model.VMID]*vmState
	queue    []model.VMID // changes to report, oldest first
	rotation []model.VMID // all VMs, reported again in turn because a report may be lost
}

// vmState is the state of one VM in the subtree.
type vmState struct {
	revision      model.Revision
	lastHeartbeat time.Time
	suspected     bool
	queued        bool
}

// record updates a VM's state and queues it for the parent if it changed. A
// state older than the recorded one is ignored.
func (s *subtree) record(at time.Time, status frame.VMStatus) {
	if s.vms == nil {
		s.vms = make(map[model.VMID]*vmState)
	}
	heartbeat := at.Add(-status.HeartbeatAge)
	state, ok := s.vms[status.VM]
	if !ok {
		state = &vmState{}
		s.vms[status.VM] = state
		s.rotation = append(s.rotation, status.VM)
	}
	if heartbeat.Before(state.lastHeartbeat) {
		return
	}
	changed := !ok || state.revision != status.Revision || state.suspected != status.Suspected
	urgent := state.suspected != status.Suspected
	state.revision, state.lastHeartbeat, state.suspected = status.Revision, heartbeat, status.Suspected
	if changed {
		s.enqueue(status.VM, state, urgent)
	}
}

// setSuspected marks a VM as suspected to be down, or as no longer suspected.
func (s *subtree) setSuspected(id model.VMID, suspected bool) {
	if state, ok := s.vms[id]; ok && state.suspected != suspected {
		state.suspected = suspected
		s.enqueue(id, state, true)
	}
}

func (s *subtree) isSuspected(id model.VMID) bool {
	state, ok := s.vms[id]
	return ok && state.suspected
}

func (s *subtree) enqueue(id model.VMID, state *vmState, urgent bool) {
	if urgent {
		if state.queued {
			s.queue = slices.DeleteFunc(s.queue, func(queued model.VMID) bool { return queued == id })
		}
		s.queue = slices.Insert(s.queue, 0, id)
	} else if !state.queued {
		s.queue = append(s.queue, id)
	}
	state.queued = true
}

// enqueueAll queues every VM, for a new parent.
func (s *subtree) enqueueAll() {
	for _, id := range s.rotation {
		if state := s.vms[id]; !state.queued {
			s.enqueue(id, state, false)
		}
	}
}

// nextReport removes up to maxReported VMs from the queue and returns their
// state. When the queue is empty, it returns the next VM of the rotation
// instead.
func (s *subtree) nextReport(at time.Time) []frame.VMStatus {
	n := min(maxReported, len(s.queue))
	var list []frame.VMStatus
	for _, id := range s.queue[:n] {
		if state, ok := s.vms[id]; ok {
			state.queued = false
			list = append(list, state.status(id, at))
		}
	}
	s.queue = slices.Delete(s.queue, 0, n)
	if n == 0 && len(s.rotation) > 0 {
		id := s.rotation[0]
		s.rotation = append(s.rotation[1:], id)
		list = append(list, s.vms[id].status(id, at))
	}
	return list
}

func (v *vmState) status(id model.VMID, at time.Time) frame.VMStatus {
	return frame.VMStatus{VM: id, Revision: v.revision, HeartbeatAge: at.Sub(v.lastHeartbeat), Suspected: v.suspected}
}

// removeUnregistered removes the VMs that are no longer registered.
func (s *subtree) removeUnregistered(registered map[model.VMID]model.VM) {
	for id := range s.vms {
		if _, ok := registered[id]; !ok {
			delete(s.vms, id)
		}
	}
	removed := func(id model.VMID) bool { return s.vms[id] == nil }
	s.rotation = slices.DeleteFunc(s.rotation, removed)
	s.queue = slices.DeleteFunc(s.queue, removed)
}

// statuses returns the state of every VM, ascending by id.
func (s *subtree) statuses(at time.Time) []frame.VMStatus {
	ids := slices.Clone(s.rotation)
	slices.Sort(ids)
	var all []frame.VMStatus
	for _, id := range ids {
		all = append(all, s.vms[id].status(id, at))
	}
	return all
}
