package proxy_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/proxy"
)

const moreShards = shardCount + 10

// newRouterOfOneName returns a router with two routes over many shards that have one name:
// /all/ over shardCount and /more/ over moreShards.
func newRouterOfOneName(t *testing.T) *proxy.Router {
	t.Helper()
	d := &model.Document{Version: 2}
	var upstreams []model.Upstream
	route := func(prefix string, shards int) model.Route {
		r := model.Route{
			Name: "all", Host: "A.example", PathPrefix: prefix, MaxAttempts: 2, Timeout: time.Second, TargetLatency: 100 * time.Millisecond, TopK: 4,
		}
		for n := range shards {
			service := fmt.Sprintf("%s%d", prefix, n)
			r.Shards = append(r.Shards, service)
			d.Services = append(d.Services, model.Service{Name: service, MaxConns: 60})
			upstreams = append(upstreams, model.Upstream{ID: model.UpstreamID(service), Index: service, Slots: 3, Zone: "a", Addr: netip.MustParseAddrPort("10.0.0.1:80")})
		}
		return r
	}
	d.Routes = []model.Route{route("/all/", shardCount), route("/more/", moreShards)}
	if err := d.Validate(); err != nil {
		t.Fatalf("got %v, want a valid document", err)
	}
	router := newShardedRouter(t, entryVMIn("a", 1), entryVMIn("a", 2), entryVMIn("a", 3))
	router.HandleView(startTime, event.View{Topology: &model.Topology{Document: d}}, nil)
	router.HandleUpstreamList(startTime, event.UpstreamList{Upstreams: upstreams, Checksum: 2, ReadAt: startTime, EntryVMCount: 1}, nil)
	return router
}

// requestShards sends a request and returns the shards that its portions name, ascending.
func requestShards(router *proxy.Router, id model.RequestID, path string) []int {
	out := router.HandleProxyRequest(startTime, event.ProxyRequest{ID: id, Host: "a.example", Path: path, Wait: 800 * time.Millisecond, Fingerprint: model.Fingerprint(id)}, nil)
	portions, _ := splitForwards(out)
	var shards []int
	for _, f := range portions {
		shards = append(shards, f.Portion.Shards...)
	}
	slices.Sort(shards)
	return shards
}

// Guards against portions of one route being used for another route of the same name: they
// name shards that the other one lacks, which ended the process, or leave out some that it has.
func TestRoutesOfOneNameHaveTheirOwnPortions(t *testing.T) {
	counts := map[string]int{"/all/x": shardCount, "/more/x": moreShards}
	for _, order := range [][]string{{"/all/x", "/more/x"}, {"/more/x", "/all/x"}} {
		router := newRouterOfOneName(t)
		for n, path := range order {
			got := requestShards(router, model.RequestID(n+1), path)
			var want []int
			for shard := range counts[path] {
				want = append(want, shard)
			}
			if !slices.Equal(got, want) {
				t.Errorf("order %v: got shards %v of %s, want all %d", order, got, path, len(want))
			}
		}
	}
}

// Guards against the same mistake in the plan that operators ask for.
func TestPlanOfRoutesOfOneName(t *testing.T) {
	router := newRouterOfOneName(t)
	if got, want := len(requestShards(router, 1, "/more/x")), moreShards; got != want {
		t.Fatalf("got portions of %d shards, want %d", got, want)
	}
	out := router.HandlePlanRequest(startTime, event.PlanRequest{Seq: 7, Host: "a.example", Path: "/all/x"}, nil)
	if got, want := len(planOf(t, out).Services), shardCount; got != want {
		t.Errorf("got a plan of %d shards, want %d", got, want)
	}
}

// Guards against latencies of one route deciding over the requests of another route of the
// same name: one that usually takes longer than a request may wait is refused at once.
func TestRoutesOfOneNameHaveTheirOwnLatencies(t *testing.T) {
	slow, fast := unshardedRoute(false), unshardedRoute(false)
	slow.PathPrefix, slow.Timeout = "/slow/", 10*time.Second
	fast.PathPrefix, fast.Timeout = "/fast/", 100*time.Millisecond
	tr := newTestRouter(slow, "s")
	tr.setRoutes(slow, fast)
	for range 20 {
		tr.respond(tr.requestPath(t, "/slow/x"), time.Second)
	}
	tr.requestPath(t, "/fast/x")
}

// Guards against the turn of one route's targets being that of another route of the same
// name, which then sends all of its requests to one target.
func TestRoutesOfOneNameHaveTheirOwnTurns(t *testing.T) {
	first, second := unshardedRoute(false), unshardedRoute(false)
	first.PathPrefix, second.PathPrefix = "/first/", "/second/"
	first.Targets = []model.Target{{Service: "s", Weight: 1}, {Service: "t", Weight: 1}}
	second.Targets = first.Targets
	tr := newTestRouter(first, "s", "t")
	tr.setRoutes(first, second)
	counts := make(map[model.UpstreamID]int)
	const rounds = 100
	for range rounds {
		tr.respond(tr.requestPath(t, "/first/x"), time.Millisecond)
		f := tr.requestPath(t, "/second/x")
		counts[f.Upstream[:1]]++
		tr.respond(f, time.Millisecond)
	}
	if got, want := counts["s"], rounds/2; got < want-1 || got > want+1 {
		t.Errorf("got %d of %d requests at s, want half of them", got, rounds)
	}
}

// Guards against credits that were earned by earlier weights: after a change from large
// weights to small ones, one target got all requests for as long as it took to use them up.
func TestTurnsFollowChangedWeights(t *testing.T) {
	for _, weight := range []float64{1000, 0.001} {
		route := unshardedRoute(false)
		route.Targets = []model.Target{{Service: "s", Weight: weight}, {Service: "t", Weight: weight}}
		tr := newTestRouter(route, "s", "t")
		for range 3 {
			tr.respond(tr.requestPath(t, "/x"), time.Millisecond)
		}
		route.Targets = []model.Target{{Service: "s", Weight: 1}, {Service: "t", Weight: 1}}
		tr.setRoutes(route)
		counts := make(map[model.UpstreamID]int)
		const requests = 100
		for range requests {
			f := tr.requestPath(t, "/x")
			counts[f.Upstream[:1]]++
			tr.respond(f, time.Millisecond)
		}
		if got, want := counts["s"], requests/2; got < want-1 || got > want+1 {
			t.Errorf("after weights of %g: got %d of %d requests at s, want half of them", weight, got, requests)
		}
	}
}
