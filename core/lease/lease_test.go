package lease

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreypulley/core/effect"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// Guards against more in use than a contract allows, under loss, duplication,
// late messages, partitions, restarts, joining and leaving VMs and new leaders.
// Connections have no leases, and their floors hold while no VM is cut off.
func TestSumNeverExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := map[string]int{"tiny": 1, "small": 3, "middle": 40, "large": 500}
		f := newSimFleet(6, limits, rapid.Uint64().Draw(t, "seed"))
		f.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
		f.dup = rapid.Float64Range(0, 0.4).Draw(t, "dup")
		f.delay = time.Duration(rapid.IntRange(1, 8000).Draw(t, "delay")) * time.Millisecond
		cuts := rapid.Bool().Draw(t, "cuts")
		check := func() {
			used, conns := f.sums()
			for customer, limit := range limits {
				if used[customer] > limit {
					t.Fatalf("%v: %s uses %d of %d", f.now.Sub(epoch), customer, used[customer], limit)
				}
				if n := conns[model.UpstreamID(customer)]; !cuts && n > limit {
					t.Fatalf("%v: %d connections to %s of %d", f.now.Sub(epoch), n, customer, limit)
				}
			}
		}
		next := 6
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			registered := slices.Sorted(maps.Keys(f.newest.VMs))
			vm := rapid.SampledFrom(registered).Draw(t, "vm")
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0:
				f.lead(vmID(rapid.IntRange(0, 2).Draw(t, "leader")))
			case 1:
				if cuts {
					f.vms[vm].cut = !f.vms[vm].cut
					f.publish(vm)
				}
			case 2:
				if next < 10 {
					f.commit(append(registered, vmID(next)))
					next++
				}
			case 3:
				if vm > vmID(2) && !f.vms[vm].cut {
					f.commit(slices.DeleteFunc(registered, func(id model.VMID) bool { return id == vm }))
				}
			case 4:
				f.restart(vm)
			default:
				for _, id := range registered {
					for _, customer := range slices.Sorted(maps.Keys(limits)) {
						f.vms[id].demand[customer] = f.rng.IntN(limits[customer] + 2)
					}
				}
			}
			f.run(time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms"))*time.Millisecond, check)
		}
	})
}

// Guards against leases that nobody gets, and against a division that gives one
// VM more than another with the same demand.
func TestLeasesAreFair(t *testing.T) {
	f := newSimFleet(5, map[string]int{"c": 100}, 1)
	f.run(15*time.Second, func() {})
	f.vms[vmID(1)].demand["c"] = 100
	f.run(5*time.Second, func() {})
	if got, want := f.vms[vmID(1)].holder.Share(f.now, f.newest, 1).Concurrency["c"], 60; got != want {
		t.Errorf("alone: share %d, want %d", got, want)
	}
	for i := range 5 {
		f.vms[vmID(i)].demand["c"] = 100
	}
	f.run(10*time.Second, func() {})
	for i := range 5 {
		if got, want := f.vms[vmID(i)].holder.Share(f.now, f.newest, 1).Concurrency["c"], 20; got != want {
			t.Errorf("%s: share %d, want %d", vmID(i), got, want)
		}
	}
}

// Guards against a customer that can run nothing because its limit is smaller
// than the number of VMs, and against a VM that never has a turn.
func TestSmallLimitHasTurns(t *testing.T) {
	f := newSimFleet(7, map[string]int{"c": 2}, 1)
	for i := range 7 {
		f.vms[vmID(i)].demand["c"] = 3
	}
	turns := map[model.VMID]bool{}
	f.run(2*time.Minute, func() {
		for id, vm := range f.vms {
			if vm.topology != nil && vm.holder.Share(f.now, vm.topology, 1).Concurrency["c"] > 0 {
				turns[id] = true
			}
		}
	})
	if got, want := len(turns), 7; got != want {
		t.Errorf("%d VMs had a turn, want %d", got, want)
	}
}

// Guards against a grant of an earlier process or ask that counts, and one that
// runs longer than its period from the ask.
func TestHolderIgnoresLateGrants(t *testing.T) {
	f := newSimFleet(3, map[string]int{"c": 100}, 1)
	f.run(15*time.Second, func() {})
	h := f.vms[vmID(2)].holder
	if h.Granted(f.now, grantOf(h.n+1)) || h.Granted(f.now, grantOf(h.n)) {
		t.Error("a grant without an open ask counts")
	}
	again := &Holder{Self: h.Self, Began: f.now}
	again.Share(f.now, f.newest, 1)
	again.Ask(f.now, model.VM{ID: f.leader}, map[string]int{"c": 90}, nil)
	if again.n <= h.n {
		t.Errorf("a restarted process asks with number %d, want above %d", again.n, h.n)
	}
	h.Ask(f.now.Add(time.Second), model.VM{ID: f.leader}, map[string]int{"c": 90}, nil)
	if !h.Granted(f.now.Add(2*time.Second), grantOf(h.n)) {
		t.Error("the answer to an ask does not count")
	}
	before := h.Share(f.now.Add(3900*time.Millisecond), f.newest, 1).Concurrency["c"]
	after := h.Share(f.now.Add(4*time.Second), f.newest, 1).Concurrency["c"]
	if got, want := before-after, 5; got != want {
		t.Errorf("the share fell by %d at 3 s after the ask, want %d", got, want)
	}
}

func grantOf(n uint64) frame.LeaseResponse {
	return frame.LeaseResponse{Seq: n, ExtraConcurrency: map[string]int{"c": 5}, Duration: length}
}

// Guards against a replaced leader that goes on granting.
func TestGranterResigns(t *testing.T) {
	f := newSimFleet(3, map[string]int{"c": 100}, 1)
	f.run(15*time.Second, func() {})
	g, ask := f.vms[f.leader].granter, frame.LeaseRequest{Seq: 1, ProcessStart: f.now, Demand: map[string]int{"c": 9}}
	if out := g.Ask(f.now, vmID(1), ask, f.newest, nil); len(out) != 1 {
		t.Errorf("the leader answers with %v, want a grant", out)
	}
	g.Resign()
	if out := g.Ask(f.now, vmID(1), ask, f.newest, nil); len(out) != 0 {
		t.Errorf("after it resigned the answer is %v, want none", out)
	}
}

// Guards against a share that grows or shrinks when it is divided over loops.
func TestSharesOverLoops(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := map[string]int{"a": rapid.IntRange(0, 50).Draw(t, "a"), "b": rapid.IntRange(0, 50).Draw(t, "b")}
		loops := rapid.IntRange(1, 6).Draw(t, "loops")
		f := newSimFleet(1, limits, 1)
		f.run(15*time.Second, func() {})
		h := f.vms[vmID(0)].holder
		whole := h.Share(f.now, f.newest, 1)
		sum := map[string]int{}
		for _, share := range h.Shares(f.now, f.newest, loops) {
			for customer, n := range share.Concurrency {
				sum[customer] += n
			}
		}
		if !maps.Equal(sum, whole.Concurrency) {
			t.Fatalf("loops have %v, the process %v", sum, whole.Concurrency)
		}
	})
}

// Guards against a VM without connections for 6 s after each restart: the
// leader's statement that the floors are settled puts them into use at once.
func TestRestartedVMUsesSettledFloors(t *testing.T) {
	at := epoch
	topology := &model.Topology{
		Revision: 9, LimitsRevision: 5,
		VMs: map[model.VMID]model.VM{"vm0": {ID: "vm0", HasDisk: true}, "vm1": {ID: "vm1", HasDisk: true}},
		Upstreams: map[model.UpstreamID]model.Upstream{
			"u": {ID: "u", MaxConns: 8},
		},
	}
	var g Granter
	g.Observe(at, topology)
	g.Lead(at)
	at = at.Add(7 * time.Second)
	h := Holder{Self: topology.VMs["vm1"], Began: at}
	if got, want := h.Share(at, topology, 1).Conns["u"], 0; got != want {
		t.Errorf("before the answer: got %d connections, want %d", got, want)
	}
	asks := h.Ask(at, topology.VMs["vm0"], nil, nil)
	if got, want := len(asks), 1; got != want {
		t.Fatalf("got %d asks at once after the start, want %d", got, want)
	}
	ask := asks[0].(effect.SendMessage).Message.(frame.LeaseRequest)
	grant := g.Ask(at, "vm1", ask, topology, nil)[0].(effect.SendMessage).Message.(frame.LeaseResponse)
	if got, want := h.Granted(at, grant), true; got != want {
		t.Errorf("got changed %v, want %v", got, want)
	}
	if got, want := h.Share(at, topology, 1).Conns["u"], 4; got != want {
		t.Errorf("after the answer: got %d connections, want %d", got, want)
	}
}

// Guards against a count over all VMs with each first ask after an election,
// which kept a leader of thousands of VMs busy for longer than a lease, and
// against a restart whose floors are still taken for confirmed.
func TestFirstAskKeepsTheCount(t *testing.T) {
	f := newSimFleet(3, map[string]int{"c": 30}, 1)
	var g Granter
	g.Observe(epoch, f.newest)
	g.Lead(epoch)
	at := epoch.Add(time.Minute)
	ask := func(i int, start time.Time) {
		g.Ask(at, vmID(i), frame.LeaseRequest{Seq: 1, ProcessStart: start, Revision: f.newest.Revision, Demand: map[string]int{"c": 1}}, f.newest, nil)
	}
	ask(0, epoch)
	g.behind[0] += 100
	ask(1, epoch)
	if got, want := g.behind[0], 103; got != want {
		t.Errorf("first ask: got a count of %d, want %d as counted before", got, want)
	}
	ask(1, epoch.Add(time.Second))
	if got, want := g.behind[0], 3; got != want {
		t.Errorf("restart: got a count of %d, want %d counted again", got, want)
	}
}

// Guards against connections that are divided again with each lease, which took
// a tenth of a second for 34,000 upstreams, and against a division that stays
// when a waiting floor comes into use.
func TestDivisionChangesWithFloorsOnly(t *testing.T) {
	f := newSimFleet(3, map[string]int{"c": 30}, 1)
	h := Holder{Self: model.VM{ID: vmID(0)}, Began: epoch}
	first := h.Shares(epoch, f.newest, 2)
	again := h.Shares(epoch.Add(time.Second), f.newest, 2)
	if first[0].ConnsVersion == 0 || again[0].ConnsVersion != first[0].ConnsVersion {
		t.Errorf("got divisions %d and %d, want the same above 0", first[0].ConnsVersion, again[0].ConnsVersion)
	}
	waiting := *f.newest
	waiting.Revision, waiting.LimitsRevision = waiting.Revision+1, waiting.Revision+1
	waiting.VMs = maps.Clone(waiting.VMs)
	delete(waiting.VMs, vmID(2))
	at := epoch.Add(time.Minute)
	low := h.Shares(at, &waiting, 2)
	high := h.Shares(at.Add(raiseAfter), &waiting, 2)
	want := h.Share(at.Add(raiseAfter), &waiting, 1).Conns["c"]
	if got := high[0].Conns["c"] + high[1].Conns["c"]; got != want || got <= low[0].Conns["c"]+low[1].Conns["c"] {
		t.Errorf("got %d connections after the wait, want %d, more than %v", got, want, low)
	}
	if high[0].ConnsVersion == low[0].ConnsVersion {
		t.Errorf("got division %d for other connections than before", high[0].ConnsVersion)
	}
}

// Guards against shares of upstreams that were removed.
func TestRemovedUpstreamHasNoShare(t *testing.T) {
	f := newSimFleet(3, map[string]int{"c": 30, "d": 30}, 1)
	h := Holder{Self: model.VM{ID: vmID(0)}, Began: epoch}
	h.Share(epoch, f.newest, 1)
	removed := *f.newest
	removed.Revision++
	removed.Upstreams = maps.Clone(removed.Upstreams)
	delete(removed.Upstreams, "c")
	got := h.Share(epoch.Add(time.Second), &removed, 1).Conns
	if _, ok := got["c"]; ok || len(got) != 1 {
		t.Errorf("got shares %v, want one of d alone", got)
	}
}
