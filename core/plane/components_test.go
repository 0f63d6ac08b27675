package plane_test

import (
	"slices"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
	"comfreypulley/core/plane"
)

// fakeTree replaces the configuration with that of each FullConfig, and is ready
// when the test says so.
type fakeTree struct {
	store      plane.TreeStore
	ready      bool
	suspected  []model.VMID
	changes    int
	timerCalls int
	peers      []model.VM

	changeBound time.Duration
	parent      model.VMID
	overdue     bool
}

func (f *fakeTree) Start(_ time.Time, _ model.VM, _ time.Time, out []effect.Effect) []effect.Effect {
	return out
}

func (f *fakeTree) Log(_ time.Time, _ bool, _ model.VMID, _ time.Time, out []effect.Effect) []effect.Effect {
	return out
}

func (f *fakeTree) HandlePeerMessage(_ time.Time, _ model.VMID, m frame.Message, out []effect.Effect) []effect.Effect {
	if full, ok := m.(frame.FullConfig); ok {
		f.store.Restore(full.Config)
	}
	return out
}

func (f *fakeTree) HandleTimer(_ time.Time, out []effect.Effect) []effect.Effect {
	f.timerCalls++
	return out
}

func (f *fakeTree) HandlePeerDown(_ time.Time, _ model.VMID, out []effect.Effect) []effect.Effect {
	return out
}

func (f *fakeTree) PushChanges(_ time.Time, out []effect.Effect) []effect.Effect {
	f.changes++
	return out
}

func (f *fakeTree) Ready(time.Time) bool                   { return f.ready }
func (f *fakeTree) Leader() model.VMID                     { return "vm1" }
func (f *fakeTree) MajorityAge(time.Time) time.Duration    { return 3 * time.Second }
func (f *fakeTree) Descendants(time.Time) []frame.VMStatus { return []frame.VMStatus{{VM: "vm9"}} }
func (f *fakeTree) SetPeers(vms []model.VM)                { f.peers = vms }
func (f *fakeTree) Overdue(time.Time) bool                 { return f.overdue }
func (f *fakeTree) Parent() model.VMID                     { return f.parent }
func (f *fakeTree) SetChangeBound(d time.Duration)         { f.changeBound = d }

func (f *fakeTree) SetSuspected(vm model.VMID, on bool) {
	f.suspected = slices.DeleteFunc(f.suspected, func(id model.VMID) bool { return id == vm })
	if on {
		f.suspected = append(f.suspected, vm)
	}
}

// fakeDetector suspects vm1 from its timer on until a heartbeat of vm1 arrives.
type fakeDetector struct {
	suspects []model.VMID
	vms      map[model.VMID]model.VM
}

func (f *fakeDetector) SetVMs(vms map[model.VMID]model.VM) { f.vms = vms }

func (f *fakeDetector) HandleHeartbeat(_ time.Time, vm model.VMID, out []effect.Effect) []effect.Effect {
	f.suspects = slices.DeleteFunc(slices.Clone(f.suspects), func(id model.VMID) bool { return id == vm })
	return out
}

func (f *fakeDetector) HandlePeerMessage(_ time.Time, _ model.VMID, _ frame.Message, out []effect.Effect) []effect.Effect {
	return out
}

func (f *fakeDetector) HandlePlatformVMs(_ time.Time, _ event.PlatformVMs, out []effect.Effect) []effect.Effect {
	return out
}

func (f *fakeDetector) HandleTimer(_ time.Time, out []effect.Effect) []effect.Effect {
	f.suspects = []model.VMID{"vm1"}
	return out
}

func (f *fakeDetector) Suspects(time.Time) []model.VMID { return f.suspects }

// fakeHolder requests the whole demand and uses what was granted.
type fakeHolder struct{ granted int }

func (f *fakeHolder) RequestLease(_ time.Time, leader model.VM, demand map[string]int, out []effect.Effect) []effect.Effect {
	return append(out, effect.SendMessage{To: leader.ID, Addr: leader.PeerAddr, Message: frame.LeaseRequest{Demand: demand}})
}

func (f *fakeHolder) HandleLeaseResponse(_ time.Time, g frame.LeaseResponse) bool {
	f.granted = g.ExtraConcurrency["acme"]
	return true
}

func (f *fakeHolder) Quotas(_ time.Time, _ *model.Topology, loops int) []model.Quota {
	quotas := make([]model.Quota, loops)
	for i := range quotas {
		quotas[i].Concurrency = map[string]int{"acme": 10*i + f.granted}
	}
	return quotas
}

func (f *fakeHolder) NextChange(time.Time) time.Time { return time.Time{} }

// fakeGranter grants what is requested.
type fakeGranter struct{ terms int }

func (f *fakeGranter) Observe(time.Time, *model.Topology) {}
func (f *fakeGranter) StartLeading(time.Time)             { f.terms++ }

func (f *fakeGranter) HandleLeaseRequest(_ time.Time, from model.VMID, a frame.LeaseRequest, _ *model.Topology, out []effect.Effect) []effect.Effect {
	return append(out, effect.SendMessage{To: from, Message: frame.LeaseResponse{ExtraConcurrency: a.Demand}})
}

// Guards against a view that is published before the tree has an answer from
// other VMs, suspicions that do not reach the tree, and a status without what
// the tree knows.
func TestTreeAndFailureDetector(t *testing.T) {
	tree, detector := &fakeTree{}, &fakeDetector{}
	f := &fixture{now: startTime}
	tree.store = f.control.TreeStore()
	f.control.SetTree(tree)
	f.control.SetFailureDetector(detector)
	f.record(f.control.Start(f.now, event.Start{
		Role: event.RoleControl, VM: fleetTopology(true).VMs["vm2"], ProcessStart: startTime, Loops: 1, InitialConfig: fleetTopology(true),
	}, nil))
	config := entry.Config{Revision: 5, VMs: []model.VM{fleetTopology(true).VMs["vm1"], fleetTopology(true).VMs["vm2"]}}
	full := event.PeerMessage{From: "vm1", Message: frame.FullConfig{Config: config}}
	if got := len(viewsIn(f.record(f.control.HandlePeerMessage(f.now, full, nil)))); got != 0 {
		t.Fatalf("published %d views before the tree was ready, want 0", got)
	}
	tree.ready = true
	got := viewsIn(f.record(f.control.HandleTimer(f.now, event.TimerID{Kind: event.TimerTree}, nil)))
	if len(got) != 1 || got[0].Topology.Revision != 5 || tree.changes != 1 || len(detector.vms) != 2 {
		t.Fatalf("got views %+v, %d pushes and %d VMs, want one at revision 5, 1 and 2", got, tree.changes, len(detector.vms))
	}
	if to, _ := forwardsIn(f.proposeClaim(time.Second)); !slices.Equal(to, []model.VMID{"vm1"}) {
		t.Errorf("sent a claim to %v, want the leader that the tree knows", to)
	}
	f.record(f.control.HandleTimer(f.now, event.TimerID{Kind: event.TimerLiveness}, nil))
	if want := []model.VMID{"vm1"}; !slices.Equal(tree.suspected, want) {
		t.Errorf("the tree has suspects %v, want %v", tree.suspected, want)
	}
	f.record(f.control.HandlePeerMessage(f.now, event.PeerMessage{From: "vm1", Message: frame.Digest{}}, nil))
	if len(tree.suspected) != 0 {
		t.Errorf("the tree has suspects %v after a digest, want none", tree.suspected)
	}
	status := effectsOf[effect.AnswerOperator](f.control.HandleStatusRequest(f.now, event.StatusRequest{}, nil))[0].Status
	if status.MajorityAge != 3*time.Second || status.Leader != "vm1" || len(status.VMs) != 1 {
		t.Errorf("got status %+v, want the tree's age, leader and VMs", status)
	}
}

// Guards against demand that does not reach the leader, a leader that cannot
// grant leases to itself, and quotas that are not given to each loop.
func TestLeases(t *testing.T) {
	granter := &fakeGranter{}
	f := &fixture{now: startTime, log: &fakeLog{}}
	f.control.SetLog(f.log)
	f.control.SetLeases(&fakeHolder{}, granter)
	f.record(f.control.Start(f.now, event.Start{
		Role: event.RoleControl, VM: fleetTopology(true).VMs["vm0"], ProcessStart: startTime, Loops: 2, InitialConfig: fleetTopology(true),
	}, nil))
	f.becomeLeader(1)
	f.commitAll()
	if granter.terms != 1 {
		t.Errorf("the granter was told of %d terms, want 1", granter.terms)
	}
	quotas := func(out []effect.Effect) []int {
		var found []int
		for _, v := range viewsIn(out) {
			found = append(found, v.Quota.Concurrency["acme"])
		}
		return found
	}
	f.record(f.control.HandleDemandReport(f.now, event.DemandReport{Loop: 0, Demand: map[string]int{"acme": 2}}, nil))
	out := f.record(f.control.HandleDemandReport(f.now, event.DemandReport{Loop: 1, Demand: map[string]int{"acme": 3}}, nil))
	if got, want := quotas(out), []int{5, 15}; !slices.Equal(got, want) {
		t.Errorf("got quotas %v, want %v", got, want)
	}
	f.log.status = plane.LogStatus{Leader: "vm1", Term: 2}
	out = f.record(f.control.HandleTimer(f.now, event.TimerID{Kind: event.TimerLease}, nil))
	if got := effectsOf[effect.SendMessage](out); len(got) != 1 || got[0].To != "vm1" {
		t.Errorf("got messages %+v, want a lease request to vm1", got)
	}
	out = f.record(f.control.HandlePeerMessage(f.now, event.PeerMessage{
		From: "vm1", Message: frame.LeaseResponse{ExtraConcurrency: map[string]int{"acme": 1}},
	}, nil))
	if got, want := quotas(out), []int{1, 11}; !slices.Equal(got, want) {
		t.Errorf("got quotas %v, want %v", got, want)
	}
}
