package proxy_test

import (
	"fmt"
	"testing"
	"time"
)

// stableWindow is the time after the begin of a fault from which the users judge
// the fleet.
const stableWindow = 4 * time.Second

// checkServedAlike fails when callers of VMs without upstreams are served less than
// two thirds as often as those of the others, or more than one in 50 and 10 of all
// fail, which is the users' rule.
func checkServedAlike(t *testing.T, f *fleet, since, until time.Time) {
	t.Helper()
	lostServed, lost := f.served(since, until, func(vm *fleetVM) bool { return vm.links != linksWork })
	otherServed, others := f.served(since, until, func(vm *fleetVM) bool { return vm.links == linksWork })
	failed, all := lost-lostServed+others-otherServed, lost+others
	if lost == 0 || others == 0 {
		t.Fatalf("got %d requests at VMs without upstreams and %d at others, want some at both", lost, others)
	}
	if failed*50 > all {
		t.Errorf("%d of %d requests at VMs without upstreams and %d of %d at others were served, want at most 1 in 50 of all to fail",
			lostServed, lost, otherServed, others)
	}
}

// Guards against callers of VMs that lost every upstream being refused although
// other VMs could serve them, in fleets of any size and for any kind of request.
func TestCallersOfVMsWithoutUpstreamsAreServed(t *testing.T) {
	for _, tc := range []struct {
		name                           string
		zones, vms, shards, toDelegate int
		path                           string
		links                          linkState
		lost                           func(zone, n int) bool
	}{
		{"minority hangs, shards", 3, 4, 10, 24, "/all/", linksHang, func(_, n int) bool { return n == 0 }},
		{"most hang, shards", 3, 5, 10, 24, "/all/", linksHang, func(_, n int) bool { return n < 3 }},
		{"most hang, single service", 3, 5, 1, 24, "/one/", linksHang, func(_, n int) bool { return n < 3 }},
		{"most hang, at most once", 3, 5, 1, 24, "/once/", linksHang, func(_, n int) bool { return n < 3 }},
		{"most are reset, shards", 3, 5, 10, 24, "/all/", linksReset, func(_, n int) bool { return n < 3 }},
		{"zone hangs, shards", 3, 4, 10, 24, "/all/", linksHang, func(zone, _ int) bool { return zone == 0 }},
		{"zone refuses, shards", 3, 4, 10, 24, "/all/", linksRefuse, func(zone, _ int) bool { return zone == 0 }},
		{"zone is reset, single service", 3, 4, 1, 24, "/one/", linksReset, func(zone, _ int) bool { return zone == 0 }},
		{"most hang, portions", 4, 12, 36, 24, "/all/", linksHang, func(_, n int) bool { return n < 7 }},
		{"zone is reset, portions", 4, 6, 36, 24, "/all/", linksReset, func(zone, _ int) bool { return zone == 0 }},
		{"one VM a zone", 3, 1, 10, 24, "/all/", linksHang, func(zone, _ int) bool { return zone == 0 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(tc.zones, tc.vms, tc.shards, tc.toDelegate)
			f.load(tc.path, 200*time.Millisecond, 12*time.Second)
			f.run(2 * time.Second)
			for i, vm := range f.vms {
				if tc.lost(i/tc.vms, i%tc.vms) {
					vm.setLinks(tc.links)
				}
			}
			since := f.now.Add(stableWindow)
			f.run(10*time.Second - fleetTimeout)
			checkServedAlike(t, f, since, f.now.Add(-2*fleetTimeout))
		})
	}
}

// Guards against a request that may run once reaching upstreams twice because
// another VM took it over.
func TestRequestThatMayRunOnceIsHandedOverOnce(t *testing.T) {
	for _, links := range []linkState{linksHang, linksReset, linksRefuse} {
		t.Run(fmt.Sprint(links), func(t *testing.T) {
			f := newFleet(3, 4, 1, 24)
			f.load("/once/", 20*time.Millisecond, 6*time.Second)
			f.run(2 * time.Second)
			for i, vm := range f.vms {
				if i%4 < 2 {
					vm.setLinks(links)
				}
			}
			f.run(6 * time.Second)
			arrivals := make(map[string]int)
			for _, u := range f.upstreams {
				for id, n := range u.arrived {
					if arrivals[id] += n; arrivals[id] > 1 {
						t.Fatalf("request %s reached upstreams %d times, want at most once", id, arrivals[id])
					}
				}
			}
		})
	}
}
