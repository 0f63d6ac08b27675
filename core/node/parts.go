package node

import (
	"maps"
	"slices"

	"comfreypulley/core/event"
	"comfreypulley/core/lease"
	"comfreypulley/core/member"
	"comfreypulley/core/model"
	"comfreypulley/core/plane"
	"comfreypulley/core/quorum"
	"comfreypulley/core/relay"
)

// compose gives the control state its parts. A fleet without disk VMs has no
// log, and so neither a tree nor leases that depend on a leader.
func (s *State) compose(start event.Start) {
	holder := &lease.Holder{Self: start.VM, Began: start.ProcessStart}
	vms := knownVMs(start)
	if !slices.ContainsFunc(vms, func(vm model.VM) bool { return vm.HasDisk }) {
		holder.Steady()
		s.control.Lease(holder, nil)
		return
	}
	if start.VM.HasDisk {
		s.control.Replicate(&replica{})
	}
	s.control.Distribute(&relay.Tree{Store: s.control.Follower(), Peers: vms})
	if start.SelfRegistration {
		// Limits are not divided through leases there, and the VMs that take
		// requests are not registered.
		return
	}
	s.control.Observe(&member.Watch{Self: start.VM, Seed: start.Seed})
	s.control.Lease(holder, &lease.Granter{})
}

// knownVMs lists the VMs of the settings in the order of their ids.
func knownVMs(start event.Start) []model.VM {
	byID := map[model.VMID]model.VM{start.VM.ID: start.VM}
	for _, vm := range start.Peers {
		byID[vm.ID] = vm
	}
	if start.InitialConfig != nil {
		maps.Copy(byID, start.InitialConfig.VMs)
	}
	vms := make([]model.VM, 0, len(byID))
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		vms = append(vms, byID[id])
	}
	return vms
}

// replica is the log as the control state sees it.
type replica struct{ quorum.Log }

// Standing returns what the replica knows of the log.
func (r *replica) Standing() plane.Standing {
	s := r.Status()
	standing := plane.Standing{Leader: s.Leader, Leading: s.Leading, Term: s.Term, Commit: s.Commit, Known: s.Known, Heard: s.Heard}
	for _, silent := range s.Silent {
		standing.Silent = append(standing.Silent, plane.Silence(silent))
	}
	return standing
}
