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

// setUpControl connects the components of the control state. A fleet without disk
// VMs has no log, and so neither a distribution tree nor leases from a leader.
func (s *State) setUpControl(start event.Start) {
	holder := &lease.Holder{Self: start.VM, ProcessStart: start.ProcessStart}
	vms := knownVMs(start)
	if !slices.ContainsFunc(vms, func(vm model.VM) bool { return vm.HasDisk }) {
		holder.AssumeSettled()
		s.control.SetLeases(holder, nil)
		return
	}
	if start.VM.HasDisk {
		s.control.SetLog(&replica{})
	}
	s.control.SetTree(&relay.Tree{Store: s.control.TreeStore(), Peers: vms, ChangeBound: start.ChangeBound})
	if start.SelfRegistration {
		// Such a fleet does not lease parts of its limits, and its configuration
		// does not list the entry VMs.
		return
	}
	s.control.SetFailureDetector(&member.Detector{Self: start.VM, Seed: start.Seed})
	s.control.SetLeases(holder, &lease.Granter{})
}

// knownVMs lists the VMs in the settings, ascending by id.
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

// replica adapts this VM's replica of the log to plane.Replicator.
type replica struct{ quorum.Log }

// LogStatus returns the replica's view of the log.
func (r *replica) LogStatus() plane.LogStatus {
	s := r.Status()
	status := plane.LogStatus{Leader: s.Leader, Leading: s.Leading, Term: s.Term, CommitIndex: s.CommitIndex, LeaderCommitIndex: s.LeaderCommitIndex, LastMajority: s.LastMajority}
	for _, silent := range s.SilentVoters {
		status.SilentVoters = append(status.SilentVoters, plane.SilentVoter(silent))
	}
	return status
}
