package proxy_test

import (
	"slices"
	"testing"
	"time"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// leaving has upstreams say in their answers that they are about to stop, and records
// the requests that callers send to a VM after it has passed such an answer on, and
// that reach the upstream through this VM.
type leaving struct {
	f    *fleet
	told map[pausingPair]time.Time // when a VM had the first such answer
	late int
}

func (l *leaving) respond(a *fleetAttempt) *event.ResponseReceived {
	pair := pausingPair{a.vm.id, a.forward.Upstream}
	told, ok := l.told[pair]
	switch {
	case !ok:
		l.told[pair] = l.f.now
	case a.request.sentAt.After(told.Add(underWay)):
		l.late++
	}
	return &event.ResponseReceived{
		Receipt: "r-" + l.f.upstreams[a.forward.Upstream].spec.Index, Response: model.Response{Status: 200, Body: make([]byte, 16)}, Leaving: true,
	}
}

// Guards against new requests to an upstream that has said that it is about to stop,
// whatever lists say afterwards, in every kind of attempt.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	for _, tc := range []struct {
		name               string
		zones, vms, shards int
		path               string
		lost               bool // VMs of a zone reach no upstream and hand their requests over
	}{
		{"shards", 3, 2, 10, "/all/", false},
		{"portions", 3, 2, 36, "/all/", false},
		{"single service", 3, 2, 1, "/one/", false},
		{"at most once", 3, 2, 1, "/once/", false},
		{"handed over", 3, 2, 10, "/all/", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(tc.zones, tc.vms, tc.shards, 24)
			f.load(tc.path, 20*time.Millisecond, 7*time.Second)
			f.run(time.Second)
			if tc.lost {
				f.vms[0].setLinks(linksReset)
				f.run(time.Second)
			}
			l := &leaving{f: f, told: make(map[pausingPair]time.Time)}
			for _, u := range f.upstreams {
				if u.spec.Zone == "b" {
					u.respond = l.respond
				}
			}
			f.run(time.Second)
			f.sendList(2, func(u model.Upstream) model.Upstream { return u }) // still listed as active
			since := f.now
			f.vms[0].setLinks(linksWork)
			f.run(3 * time.Second)
			if l.late > 0 || len(l.told) == 0 {
				t.Errorf("%d requests reached upstreams that had said that they are about to stop, want none", l.late)
			}
			if served, all := f.served(since, f.now.Add(-fleetTimeout), func(*fleetVM) bool { return true }); served < all {
				t.Errorf("%d of %d requests were served by the other replicas, want all", served, all)
			}
		})
	}
}

// Guards against an upstream that stays out of use after it has started again under
// the same id.
func TestRestartedUpstreamIsUsedAgain(t *testing.T) {
	for _, evidence := range []string{"warm-up", "active after draining"} {
		t.Run(evidence, func(t *testing.T) {
			f := newFleet(1, 1, 1, 24)
			f.load("/one/", 20*time.Millisecond, 4*time.Second)
			u := f.upstreams["single/a"]
			u.respond = func(*fleetAttempt) *event.ResponseReceived {
				return &event.ResponseReceived{Response: model.Response{Status: 503}, NotRun: true, RetryAfter: time.Hour, Leaving: true}
			}
			f.run(time.Second)
			u.respond = nil
			if evidence == "warm-up" {
				f.sendList(2, func(u model.Upstream) model.Upstream { u.WarmUpLeft = time.Second; return u })
			} else {
				f.sendList(2, func(u model.Upstream) model.Upstream { u.State = model.StateDraining; return u })
				f.sendList(3, func(u model.Upstream) model.Upstream { return u })
			}
			since := f.now
			f.run(2 * time.Second)
			if served, all := f.served(since, f.now.Add(-fleetTimeout), func(*fleetVM) bool { return true }); served < all || all == 0 {
				t.Errorf("%d of %d requests were served after the restart, want all", served, all)
			}
		})
	}
}

// sendList sends every router a list of the upstreams, changed by a function.
func (f *fleet) sendList(checksum uint64, change func(model.Upstream) model.Upstream) {
	var list []model.Upstream
	for _, u := range f.upstreams {
		list = append(list, change(u.spec))
	}
	slices.SortFunc(list, func(a, b model.Upstream) int { return int(a.Addr.Port()) - int(b.Addr.Port()) })
	for _, vm := range f.vms {
		vm.apply(vm.router.HandleUpstreamList(f.now, event.UpstreamList{
			Upstreams: list, Checksum: checksum, ReadAt: f.now, EntryVMCount: len(f.vms),
		}, nil))
	}
}
