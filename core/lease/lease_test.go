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

// Guards against VMs that together use more than a limit when messages are
// lost, duplicated and late, VMs are cut off, restart, join and leave, and
// leaders change. Connections have no leases, and their floors stay within the
// limit as long as no VM is cut off.
func TestSumNeverExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := map[string]int{"tiny": 1, "small": 3, "middle": 40, "large": 500}
		f := newSimFleet(6, limits, rapid.Uint64().Draw(t, "seed"))
		f.lossRate = rapid.Float64Range(0, 0.4).Draw(t, "loss")
		f.duplicateRate = rapid.Float64Range(0, 0.4).Draw(t, "dup")
		f.maxDelay = time.Duration(rapid.IntRange(1, 8000).Draw(t, "delay")) * time.Millisecond
		isolate := rapid.Bool().Draw(t, "cuts")
		check := func() {
			used, conns := f.totals()
			for customer, limit := range limits {
				if used[customer] > limit {
					t.Fatalf("%v: %s uses %d of %d", f.now.Sub(epoch), customer, used[customer], limit)
				}
				if n := conns[model.UpstreamID(customer)]; !isolate && n > limit {
					t.Fatalf("%v: %d connections to %s of %d", f.now.Sub(epoch), n, customer, limit)
				}
			}
		}
		nextVM := 6
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			registered := slices.Sorted(maps.Keys(f.newest.VMs))
			vm := rapid.SampledFrom(registered).Draw(t, "vm")
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0:
				f.setLeader(vmID(rapid.IntRange(0, 2).Draw(t, "leader")))
			case 1:
				if isolate {
					f.vms[vm].isolated = !f.vms[vm].isolated
					f.publish(vm)
				}
			case 2:
				if nextVM < 10 {
					f.commit(append(registered, vmID(nextVM)))
					nextVM++
				}
			case 3:
				if vm > vmID(2) && !f.vms[vm].isolated {
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

// Guards against leases that no VM receives, and against an unequal division
// among VMs with the same demand.
func TestLeasesAreFair(t *testing.T) {
	f := newSimFleet(5, map[string]int{"c": 100}, 1)
	f.run(15*time.Second, func() {})
	f.vms[vmID(1)].demand["c"] = 100
	f.run(5*time.Second, func() {})
	if got, want := f.vms[vmID(1)].holder.MinQuota(f.now, f.newest, 1).Concurrency["c"], 60; got != want {
		t.Errorf("one VM with demand: quota %d, want %d", got, want)
	}
	for i := range 5 {
		f.vms[vmID(i)].demand["c"] = 100
	}
	f.run(10*time.Second, func() {})
	for i := range 5 {
		if got, want := f.vms[vmID(i)].holder.MinQuota(f.now, f.newest, 1).Concurrency["c"], 20; got != want {
			t.Errorf("%s: quota %d, want %d", vmID(i), got, want)
		}
	}
}

// Guards against a customer that can run no request because its limit is
// smaller than the number of VMs, and against a VM that never receives a share
// of it.
func TestSmallLimitRotates(t *testing.T) {
	f := newSimFleet(7, map[string]int{"c": 2}, 1)
	for i := range 7 {
		f.vms[vmID(i)].demand["c"] = 3
	}
	served := map[model.VMID]bool{}
	f.run(2*time.Minute, func() {
		for id, vm := range f.vms {
			if vm.topology != nil && vm.holder.MinQuota(f.now, vm.topology, 1).Concurrency["c"] > 0 {
				served[id] = true
			}
		}
	})
	if got, want := len(served), 7; got != want {
		t.Errorf("%d VMs got a share, want %d", got, want)
	}
}

// Guards against a holder that accepts a response to an earlier process or
// request, or that uses a lease for longer than its validity from the request
// on.
func TestHolderIgnoresLateGrants(t *testing.T) {
	f := newSimFleet(3, map[string]int{"c": 100}, 1)
	f.run(15*time.Second, func() {})
	h := f.vms[vmID(2)].holder
	if h.HandleLeaseResponse(f.now, responseTo(h.lastSeq+1)) || h.HandleLeaseResponse(f.now, responseTo(h.lastSeq)) {
		t.Error("a response to no request was accepted")
	}
	restarted := &Holder{Self: h.Self, ProcessStart: f.now}
	restarted.MinQuota(f.now, f.newest, 1)
	restarted.RequestLease(f.now, model.VM{ID: f.leader}, map[string]int{"c": 90}, nil)
	if restarted.lastSeq <= h.lastSeq {
		t.Errorf("a restarted process sends sequence number %d, want one above %d", restarted.lastSeq, h.lastSeq)
	}
	h.RequestLease(f.now.Add(time.Second), model.VM{ID: f.leader}, map[string]int{"c": 90}, nil)
	if !h.HandleLeaseResponse(f.now.Add(2*time.Second), responseTo(h.lastSeq)) {
		t.Error("the response to a request was not accepted")
	}
	before := h.MinQuota(f.now.Add(3900*time.Millisecond), f.newest, 1).Concurrency["c"]
	after := h.MinQuota(f.now.Add(4*time.Second), f.newest, 1).Concurrency["c"]
	if got, want := before-after, 5; got != want {
		t.Errorf("the quota fell by %d 3 s after the request, want %d", got, want)
	}
	leased := 0
	for _, quota := range h.Quotas(f.now.Add(3900*time.Millisecond), f.newest, 2) {
		leased += quota.Leased["c"]
		if got, want := quota.LeaseEnd, f.now.Add(4*time.Second); !got.Equal(want) {
			t.Errorf("got a lease until %v, want %v", got, want)
		}
	}
	if want := 5; leased != want {
		t.Errorf("got %d of the quotas as leased, want %d", leased, want)
	}
}

func responseTo(seq uint64) frame.LeaseResponse {
	return frame.LeaseResponse{Seq: seq, ExtraConcurrency: map[string]int{"c": 5}, Duration: leaseDuration}
}

// Guards against a replaced leader that continues to grant.
func TestGranterResigns(t *testing.T) {
	f := newSimFleet(3, map[string]int{"c": 100}, 1)
	f.run(15*time.Second, func() {})
	g, request := f.vms[f.leader].granter, frame.LeaseRequest{Seq: 1, ProcessStart: f.now, Demand: map[string]int{"c": 9}}
	if out := g.HandleLeaseRequest(f.now, vmID(1), request, f.newest, nil); len(out) != 1 {
		t.Errorf("the leader answers with %v, want a response", out)
	}
	g.StopLeading()
	if out := g.HandleLeaseRequest(f.now, vmID(1), request, f.newest, nil); len(out) != 0 {
		t.Errorf("after it resigned the answer is %v, want none", out)
	}
}

// Guards against a division among loops that changes the total.
func TestQuotasAddUpOverLoops(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := map[string]int{"a": rapid.IntRange(0, 50).Draw(t, "a"), "b": rapid.IntRange(0, 50).Draw(t, "b")}
		loops := rapid.IntRange(1, 6).Draw(t, "loops")
		f := newSimFleet(1, limits, 1)
		f.run(15*time.Second, func() {})
		h := f.vms[vmID(0)].holder
		whole := h.MinQuota(f.now, f.newest, 1)
		sum := map[string]int{}
		for _, quota := range h.Quotas(f.now, f.newest, loops) {
			for customer, n := range quota.Concurrency {
				sum[customer] += n
			}
		}
		if !maps.Equal(sum, whole.Concurrency) {
			t.Fatalf("the quotas of the loops add up to %v, want %v", sum, whole.Concurrency)
		}
	})
}

// Guards against a VM that has no connections for 6 s after each restart: when
// the leader states that the floors have settled, they come into use at once.
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
	g.StartLeading(at)
	at = at.Add(7 * time.Second)
	h := Holder{Self: topology.VMs["vm1"], ProcessStart: at}
	if got, want := h.MinQuota(at, topology, 1).Conns["u"], 0; got != want {
		t.Errorf("before the answer: got %d connections, want %d", got, want)
	}
	requests := h.RequestLease(at, topology.VMs["vm0"], nil, nil)
	if got, want := len(requests), 1; got != want {
		t.Fatalf("got %d requests at once after the start, want %d", got, want)
	}
	request := requests[0].(effect.SendMessage).Message.(frame.LeaseRequest)
	response := g.HandleLeaseRequest(at, "vm1", request, topology, nil)[0].(effect.SendMessage).Message.(frame.LeaseResponse)
	if got, want := h.HandleLeaseResponse(at, response), true; got != want {
		t.Errorf("got changed %v, want %v", got, want)
	}
	if got, want := h.MinQuota(at, topology, 1).Conns["u"], 4; got != want {
		t.Errorf("after the answer: got %d connections, want %d", got, want)
	}
}

// Guards against a count over all VMs at each first request after an election,
// which kept the leader of thousands of VMs busy for longer than a lease, and
// against a restarted VM whose earlier revision still counts as confirmed.
func TestFirstRequestKeepsCount(t *testing.T) {
	f := newSimFleet(3, map[string]int{"c": 30}, 1)
	var g Granter
	g.Observe(epoch, f.newest)
	g.StartLeading(epoch)
	at := epoch.Add(time.Minute)
	request := func(i int, start time.Time) {
		g.HandleLeaseRequest(at, vmID(i), frame.LeaseRequest{Seq: 1, ProcessStart: start, Revision: f.newest.Revision, Demand: map[string]int{"c": 1}}, f.newest, nil)
	}
	request(0, epoch)
	g.vmsByGeneration[0] += 100
	request(1, epoch)
	if got, want := g.vmsByGeneration[0], 103; got != want {
		t.Errorf("first request: got a count of %d, want %d without a new count", got, want)
	}
	request(1, epoch.Add(time.Second))
	if got, want := g.vmsByGeneration[0], 3; got != want {
		t.Errorf("restart: got a count of %d, want %d from a new count", got, want)
	}
}

// Guards against dividing the connections again with each lease, which took a
// tenth of a second for 34,000 upstreams, and against a division that is not
// updated when a waiting floor comes into use.
func TestConnsVersionChangesWithFloorsOnly(t *testing.T) {
	f := newSimFleet(3, map[string]int{"c": 30}, 1)
	h := Holder{Self: model.VM{ID: vmID(0)}, ProcessStart: epoch}
	first := h.Quotas(epoch, f.newest, 2)
	again := h.Quotas(epoch.Add(time.Second), f.newest, 2)
	if first[0].ConnsVersion == 0 || again[0].ConnsVersion != first[0].ConnsVersion {
		t.Errorf("got connection versions %d and %d, want the same above 0", first[0].ConnsVersion, again[0].ConnsVersion)
	}
	waiting := *f.newest
	waiting.Revision, waiting.LimitsRevision = waiting.Revision+1, waiting.Revision+1
	waiting.VMs = maps.Clone(waiting.VMs)
	delete(waiting.VMs, vmID(2))
	at := epoch.Add(time.Minute)
	low := h.Quotas(at, &waiting, 2)
	high := h.Quotas(at.Add(raiseDelay), &waiting, 2)
	want := h.MinQuota(at.Add(raiseDelay), &waiting, 1).Conns["c"]
	if got := high[0].Conns["c"] + high[1].Conns["c"]; got != want || got <= low[0].Conns["c"]+low[1].Conns["c"] {
		t.Errorf("got %d connections after the wait, want %d, more than %v", got, want, low)
	}
	if high[0].ConnsVersion == low[0].ConnsVersion {
		t.Errorf("got the same connection version %d for other connections than before", high[0].ConnsVersion)
	}
}

// Guards against quotas for removed upstreams.
func TestRemovedUpstreamHasNoShare(t *testing.T) {
	f := newSimFleet(3, map[string]int{"c": 30, "d": 30}, 1)
	h := Holder{Self: model.VM{ID: vmID(0)}, ProcessStart: epoch}
	h.MinQuota(epoch, f.newest, 1)
	removed := *f.newest
	removed.Revision++
	removed.Upstreams = maps.Clone(removed.Upstreams)
	delete(removed.Upstreams, "c")
	got := h.MinQuota(epoch.Add(time.Second), &removed, 1).Conns
	if _, ok := got["c"]; ok || len(got) != 1 {
		t.Errorf("got connections %v, want those of d alone", got)
	}
}
