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

// fakeTree brings a configuration with each Full, and says when it is ready.
type fakeTree struct {
	store     plane.Follower
	ready     bool
	suspected []model.VMID
	changed   int
	timers    int
}

func (f *fakeTree) Start(_ time.Time, _ model.VM, _ time.Time, out []effect.Effect) []effect.Effect {
	return out
}

func (f *fakeTree) Log(_ time.Time, _ bool, _ model.VMID, _ time.Time, out []effect.Effect) []effect.Effect {
	return out
}

func (f *fakeTree) Peer(_ time.Time, _ model.VMID, m frame.Message, out []effect.Effect) []effect.Effect {
	if full, ok := m.(frame.FullConfig); ok {
		f.store.Restore(full.Config)
	}
	return out
}

func (f *fakeTree) Timer(_ time.Time, out []effect.Effect) []effect.Effect {
	f.timers++
	return out
}

func (f *fakeTree) Down(_ time.Time, _ model.VMID, out []effect.Effect) []effect.Effect { return out }

func (f *fakeTree) Changed(_ time.Time, out []effect.Effect) []effect.Effect {
	f.changed++
	return out
}

func (f *fakeTree) Ready(time.Time) bool             { return f.ready }
func (f *fakeTree) Leader() model.VMID               { return "vm1" }
func (f *fakeTree) Age(time.Time) time.Duration      { return 3 * time.Second }
func (f *fakeTree) Heard(time.Time) []frame.VMStatus { return []frame.VMStatus{{VM: "vm9"}} }
func (f *fakeTree) Suspect(vm model.VMID, on bool) {
	f.suspected = slices.DeleteFunc(f.suspected, func(id model.VMID) bool { return id == vm })
	if on {
		f.suspected = append(f.suspected, vm)
	}
}

// fakeWatch suspects a VM until it hears of it.
type fakeWatch struct {
	suspects []model.VMID
	vms      map[model.VMID]model.VM
}

func (f *fakeWatch) Register(vms map[model.VMID]model.VM) { f.vms = vms }

func (f *fakeWatch) Heard(_ time.Time, vm model.VMID, out []effect.Effect) []effect.Effect {
	f.suspects = slices.DeleteFunc(slices.Clone(f.suspects), func(id model.VMID) bool { return id == vm })
	return out
}

func (f *fakeWatch) Peer(_ time.Time, _ model.VMID, _ frame.Message, out []effect.Effect) []effect.Effect {
	return out
}

func (f *fakeWatch) Hint(_ time.Time, _ event.PlatformVMs, out []effect.Effect) []effect.Effect {
	return out
}

func (f *fakeWatch) Timer(_ time.Time, out []effect.Effect) []effect.Effect {
	f.suspects = []model.VMID{"vm1"}
	return out
}

func (f *fakeWatch) Suspects(time.Time) []model.VMID { return f.suspects }

// fakeHolder asks for the whole demand and uses what was granted.
type fakeHolder struct{ granted int }

func (f *fakeHolder) Ask(_ time.Time, leader model.VM, demand map[string]int, out []effect.Effect) []effect.Effect {
	return append(out, effect.SendMessage{To: leader.ID, Addr: leader.PeerAddr, Message: frame.LeaseRequest{Demand: demand}})
}

func (f *fakeHolder) Granted(_ time.Time, g frame.LeaseResponse) bool {
	f.granted = g.ExtraConcurrency["acme"]
	return true
}

func (f *fakeHolder) Shares(_ time.Time, _ *model.Topology, loops int) []model.Quota {
	shares := make([]model.Quota, loops)
	for i := range shares {
		shares[i].Concurrency = map[string]int{"acme": 10*i + f.granted}
	}
	return shares
}

func (f *fakeHolder) Next(time.Time) time.Time { return time.Time{} }

// fakeGranter grants what is asked.
type fakeGranter struct{ leads int }

func (f *fakeGranter) Observe(time.Time, *model.Topology) {}
func (f *fakeGranter) Lead(time.Time)                     { f.leads++ }

func (f *fakeGranter) Ask(_ time.Time, from model.VMID, a frame.LeaseRequest, _ *model.Topology, out []effect.Effect) []effect.Effect {
	return append(out, effect.SendMessage{To: from, Message: frame.LeaseResponse{ExtraConcurrency: a.Demand}})
}

// Guards against a view published before the tree has asked around, suspicions
// that do not reach the tree, and a status without what the tree knows.
func TestTreeAndWatch(t *testing.T) {
	tree, watch := &fakeTree{}, &fakeWatch{}
	f := &fixture{now: began}
	tree.store = f.c.Follower()
	f.c.Distribute(tree)
	f.c.Observe(watch)
	f.take(f.c.Start(f.now, event.Start{Role: event.RoleControl, VM: fleet(true).VMs["vm2"], ProcessStart: began, Loops: 1, InitialConfig: fleet(true)}, nil))
	config := entry.Config{Revision: 5, VMs: []model.VM{fleet(true).VMs["vm1"], fleet(true).VMs["vm2"]}}
	full := event.PeerMessage{From: "vm1", Message: frame.FullConfig{Config: config}}
	if got := len(views(f.take(f.c.Peer(f.now, full, nil)))); got != 0 {
		t.Fatalf("published %d views before the tree was ready, want 0", got)
	}
	tree.ready = true
	got := views(f.take(f.c.Timer(f.now, event.TimerID{Kind: event.TimerTree}, nil)))
	if len(got) != 1 || got[0].Topology.Revision != 5 || tree.changed != 1 || len(watch.vms) != 2 {
		t.Fatalf("got views %+v, %d pushes and %d VMs, want one at revision 5, 1 and 2", got, tree.changed, len(watch.vms))
	}
	if to, _ := forwards(f.claim(time.Second)); !slices.Equal(to, []model.VMID{"vm1"}) {
		t.Errorf("sent a claim to %v, want the leader that the tree knows", to)
	}
	f.take(f.c.Timer(f.now, event.TimerID{Kind: event.TimerLiveness}, nil))
	if want := []model.VMID{"vm1"}; !slices.Equal(tree.suspected, want) {
		t.Errorf("the tree has suspects %v, want %v", tree.suspected, want)
	}
	f.take(f.c.Peer(f.now, event.PeerMessage{From: "vm1", Message: frame.Digest{}}, nil))
	if len(tree.suspected) != 0 {
		t.Errorf("the tree has suspects %v after a digest, want none", tree.suspected)
	}
	status := all[effect.AnswerOperator](f.c.Inquiry(f.now, event.StatusRequest{}, nil))[0].Status
	if status.MajorityAge != 3*time.Second || status.Leader != "vm1" || len(status.VMs) != 1 {
		t.Errorf("got status %+v, want the tree's age, leader and VMs", status)
	}
}

// Guards against demand that does not reach the leader, a leader that cannot
// ask itself, and shares that are not given to each loop.
func TestLeases(t *testing.T) {
	granter := &fakeGranter{}
	f := &fixture{now: began, log: &fakeLog{}}
	f.c.Replicate(f.log)
	f.c.Lease(&fakeHolder{}, granter)
	f.take(f.c.Start(f.now, event.Start{Role: event.RoleControl, VM: fleet(true).VMs["vm0"], ProcessStart: began, Loops: 2, InitialConfig: fleet(true)}, nil))
	f.lead(1)
	f.commit()
	if granter.leads != 1 {
		t.Errorf("the granter began %d terms, want 1", granter.leads)
	}
	shares := func(out []effect.Effect) []int {
		var found []int
		for _, v := range views(out) {
			found = append(found, v.Quota.Concurrency["acme"])
		}
		return found
	}
	f.take(f.c.Summary(f.now, event.DemandReport{Loop: 0, Demand: map[string]int{"acme": 2}}, nil))
	out := f.take(f.c.Summary(f.now, event.DemandReport{Loop: 1, Demand: map[string]int{"acme": 3}}, nil))
	if got, want := shares(out), []int{5, 15}; !slices.Equal(got, want) {
		t.Errorf("got shares %v, want %v", got, want)
	}
	f.log.standing = plane.Standing{Leader: "vm1", Term: 2}
	out = f.take(f.c.Timer(f.now, event.TimerID{Kind: event.TimerLease}, nil))
	if got := all[effect.SendMessage](out); len(got) != 1 || got[0].To != "vm1" {
		t.Errorf("got messages %+v, want an ask to vm1", got)
	}
	out = f.take(f.c.Peer(f.now, event.PeerMessage{From: "vm1", Message: frame.LeaseResponse{ExtraConcurrency: map[string]int{"acme": 1}}}, nil))
	if got, want := shares(out), []int{1, 11}; !slices.Equal(got, want) {
		t.Errorf("got shares %v, want %v", got, want)
	}
}
