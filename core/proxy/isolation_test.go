package proxy_test

import (
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/proxy"
)

// highCoverage is more than the shards of zone a can provide.
const highCoverage = 0.95

// readiness returns the last state reported to the load balancer's readiness
// check, and whether any was reported.
func readiness(out []effect.Effect) (ready, reported bool) {
	for _, e := range out {
		if r, ok := e.(effect.Ready); ok {
			ready, reported = r.Ready, true
		}
	}
	return ready, reported
}

// refusalOf returns the refusal among the effects, zero when there is none.
func refusalOf(out []effect.Effect) model.Refusal {
	for _, e := range out {
		if r, ok := e.(effect.Refuse); ok {
			return r.Refusal
		}
	}
	return model.Refusal{}
}

// Guards against callers who stay with a zone that is cut off and lacks shards
// for their requests, though VMs of other zones could answer.
func TestIsolatedZoneLeavesTheRotation(t *testing.T) {
	router := newShardedRouterWithCoverage(highCoverage)
	out := router.HandleZoneIsolation(startTime, event.ZoneIsolation{Isolated: true}, nil)
	if ready, reported := readiness(out); ready || !reported {
		t.Errorf("got ready %t, reported %t, want not ready reported", ready, reported)
	}
	out = sendShardedRequest(router, startTime, 1, nil)
	if r := refusalOf(out); r.Reason != model.RefusedIsolated || r.Ran != model.RanNo || r.RetryAfter <= 0 || r.RetryAfter > 10*time.Millisecond {
		t.Errorf("got %+v, want a refusal as isolated that lets the caller try elsewhere at once", r)
	}
	if portions, direct := splitForwards(out); len(portions)+len(direct) > 0 {
		t.Errorf("got %d portions and %d attempts of a request that cannot be answered", len(portions), len(direct))
	}
	if _, direct := splitForwards(sendShardedRequest(router, startTime, 4, &model.Portion{DocumentVersion: 1, Shards: []int{0}})); len(direct) != 1 {
		t.Errorf("got %d attempts for the portion of another VM, which answers only for its own shards, want 1", len(direct))
	}
	lowCoverage := sendLowCoverageRequest(router, startTime, 2)
	if _, direct := splitForwards(lowCoverage); len(direct) != shardCount || refusalOf(lowCoverage).Reason != "" {
		t.Errorf("got %d attempts and %+v, want a request that can be answered to be tried", len(direct), refusalOf(lowCoverage))
	}
	out = router.HandleZoneIsolation(startTime, event.ZoneIsolation{Isolated: false}, nil)
	if ready, _ := readiness(out); !ready {
		t.Error("got not ready after the end of the isolation")
	}
	if _, direct := splitForwards(sendShardedRequest(router, startTime, 3, nil)); len(direct) != shardCount {
		t.Errorf("got %d attempts after the end of the isolation, want %d", len(direct), shardCount)
	}
}

// sendLowCoverageRequest sends a request that the shards of zone a suffice for.
func sendLowCoverageRequest(router *proxy.Router, at time.Time, id model.RequestID) []effect.Effect {
	return router.HandleProxyRequest(at, event.ProxyRequest{
		ID: id, Host: "a.example", Path: "/part/x", Wait: 800 * time.Millisecond, Fingerprint: model.Fingerprint(id),
	}, nil)
}

// Guards against a zone that leaves the rotation though it can serve every route.
func TestIsolatedZoneWithEnoughShardsStays(t *testing.T) {
	router := newShardedRouter(t)
	if ready, reported := readiness(router.HandleZoneIsolation(startTime, event.ZoneIsolation{Isolated: true}, nil)); reported {
		t.Errorf("got ready %t reported, want nothing", ready)
	}
	if r := refusalOf(sendShardedRequest(router, startTime, 1, nil)); r.Reason != "" {
		t.Errorf("got %+v, want the request to be tried", r)
	}
}

// Guards against a zone that stays out of the rotation when only its VMs with
// disks are cut off: an answer from another zone shows that requests reach it.
func TestAnswerFromOutsideEndsIsolation(t *testing.T) {
	router := newShardedRouterWithCoverage(highCoverage, entryVMIn("b", 1))
	before, _ := splitForwards(sendLowCoverageRequest(router, startTime, 1))
	router.HandleZoneIsolation(startTime.Add(10*time.Millisecond), event.ZoneIsolation{Isolated: true}, nil)
	after, _ := splitForwards(sendLowCoverageRequest(router, startTime.Add(20*time.Millisecond), 2))
	if len(before) != 1 || len(after) != 1 {
		t.Fatalf("got %d and %d portions, want one of each request in the other zone", len(before), len(after))
	}
	if _, reported := readiness(router.HandlePortionResult(startTime.Add(30*time.Millisecond), portionAnswer(before[0]), nil)); reported {
		t.Error("an answer to an attempt from before the isolation ended it")
	}
	if ready, _ := readiness(router.HandlePortionResult(startTime.Add(40*time.Millisecond), portionAnswer(after[0]), nil)); !ready {
		t.Error("got not ready after an answer from another zone")
	}
}
