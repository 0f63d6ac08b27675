package proxy_test

import (
	"math"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// respondWithLimit answers an attempt at once with a limit, nil for none.
func (tr *testRouter) respondWithLimit(f effect.Forward, limit *model.Limit) {
	tr.router.HandleResponseReceived(tr.now, event.ResponseReceived{
		Attempt: f.Attempt, Receipt: "r", Response: model.Response{Status: 200, Body: make([]byte, 16)}, Limit: limit,
	}, nil)
}

// limitService makes every upstream of the only service state a limit, and leaves
// this VM no room.
func (tr *testRouter) limitService(t *testing.T, limit *model.Limit) {
	t.Helper()
	var held []effect.Forward
	limited := map[model.UpstreamID]bool{}
	for range 200 {
		for _, f := range tr.request() {
			held = append(held, f)
			limited[f.Upstream] = true
		}
	}
	if len(limited) != 3 {
		t.Fatalf("got attempts on %d upstreams, want all 3", len(limited))
	}
	for _, f := range held {
		tr.respondWithLimit(f, limit)
	}
}

func refusalsOf(out []effect.Effect) (list []model.Refusal) {
	for _, e := range out {
		if r, ok := e.(effect.Refuse); ok {
			list = append(list, r.Refusal)
		}
	}
	return list
}

func (tr *testRouter) requestEffects() []effect.Effect {
	tr.lastID++
	return tr.router.HandleProxyRequest(tr.now, event.ProxyRequest{
		ID: tr.lastID, Host: "h", Path: "/x", Fingerprint: model.Fingerprint(tr.lastID),
	}, nil)
}

// Guards against a request that waits until its deadline, or is sent all the
// same, when the limits of all upstreams leave no room, and against a refusal that
// does not say that it was not run or when there is room again.
func TestRequestOverTheLimitIsRefusedAtOnce(t *testing.T) {
	tr := newTestRouter(unshardedRoute(false), "s")
	tr.limitService(t, &model.Limit{Rate: 1})
	out := tr.requestEffects()
	if got := forwardsOf(out); len(got) != 0 {
		t.Errorf("got %d attempts, want none", len(got))
	}
	refusals := refusalsOf(out)
	if len(refusals) != 1 {
		t.Fatalf("got %d refusals at once, want 1", len(refusals))
	}
	if got := refusals[0]; got.Reason != model.RefusedLimit || got.Ran != model.RanNo || got.RetryAfter < 500*time.Millisecond {
		t.Errorf("got %+v, want a refusal as %q, not run, with the time until there is room", got, model.RefusedLimit)
	}
	tr.now = tr.now.Add(2 * time.Second)
	if got := forwardsOf(tr.requestEffects()); len(got) != 1 {
		t.Errorf("got %d attempts after two seconds, want 1", len(got))
	}
}

// Guards against a limited upstream that is sent what another upstream has room
// for, and against one that gets hedges.
func TestOtherUpstreamsTakeWhatDoesNotFit(t *testing.T) {
	tr := newTestRouter(unshardedRoute(false), "s")
	first := tr.request()[0]
	tr.respondWithLimit(first, &model.Limit{Rate: 1})
	for range 10 {
		forwards := tr.request()
		if len(forwards) != 1 || forwards[0].Upstream == first.Upstream {
			t.Fatalf("got %+v, want an attempt on an upstream without a limit", forwards)
		}
		tr.respond(forwards[0], time.Millisecond)
	}
}

// Guards against a limit that outlasts what the upstream says, and against an old
// answer that ends one.
func TestLimitHoldsWhileItIsStated(t *testing.T) {
	tr := newTestRouter(unshardedRoute(false), "s")
	before := tr.request()[0]
	tr.now = tr.now.Add(time.Millisecond)
	tr.limitService(t, &model.Limit{Rate: 1})
	tr.now = tr.now.Add(time.Millisecond)
	tr.respondWithLimit(before, nil)
	if got := forwardsOf(tr.requestEffects()); len(got) != 0 {
		t.Errorf("got %d attempts after an answer to a request from before the limit, want none", len(got))
	}
	tr.now = tr.now.Add(2 * time.Second)
	after := tr.request()
	if len(after) != 1 {
		t.Fatalf("got %d attempts after two seconds, want 1", len(after))
	}
	tr.now = tr.now.Add(time.Millisecond)
	tr.respondWithLimit(after[0], nil)
	for range 10 {
		got := tr.request()
		if len(got) != 1 {
			t.Fatalf("got %d attempts after an answer without a limit, want 1", len(got))
		}
		tr.respondWithLimit(got[0], nil)
	}
}

// Guards against a request over many shards that uses up room of some shards
// although it cannot reach its coverage.
func TestHopelessRequestUsesNoRoom(t *testing.T) {
	route := unshardedRoute(false)
	route.Targets, route.Shards, route.TopK, route.MinCoverage = nil, []string{"s", "t"}, 1, 1
	tr := newTestRouter(route, "s", "t")
	for range 60 {
		for _, f := range tr.request() {
			var limit *model.Limit
			if f.Upstream[0] == 's' {
				limit = &model.Limit{Rate: 1}
			}
			tr.respondWithLimit(f, limit)
		}
	}
	for range 5 {
		out := tr.requestEffects()
		if got := forwardsOf(out); len(got) != 0 {
			t.Fatalf("got %d attempts, want none: a shard has no room", len(got))
		}
		if got := refusalsOf(out); len(got) != 1 || got[0].Ran != model.RanNo {
			t.Fatalf("got refusals %+v, want one as not run", got)
		}
	}
}

// Guards against a VM that uses more than its part of a limit, or nothing of it,
// with a share by demand, without one, and after one that is too old.
func TestPartOfALimit(t *testing.T) {
	const rate, entryVMs = 100, 4
	for _, c := range []struct {
		name  string
		share *float64
		want  float64 // part of the limit
	}{
		{"no share yet", nil, 0.85 / entryVMs},
		{"half of the demand", new(float64(0.5)), 0.7*0.5 + 0.15/entryVMs},
		{"no demand", new(float64(0)), 0.15 / entryVMs},
	} {
		tr := newTestRouter(unshardedRoute(false), "s")
		tr.router.HandleUpstreamList(tr.now, event.UpstreamList{
			Upstreams: []model.Upstream{{ID: "u", Index: "s", Slots: 3, Zone: "a"}}, Checksum: 2, EntryVMCount: entryVMs,
		}, nil)
		limit := &model.Limit{Rate: rate}
		tr.respondWithLimit(tr.request()[0], limit)
		const seconds = 20
		sent := 0
		for n := range 200 * seconds {
			tr.now = tr.now.Add(time.Second / 200)
			if c.share != nil && n%200 == 0 {
				tr.router.HandleLimitShares(tr.now, event.LimitShares{Shares: []model.LimitShare{{Upstream: "u", Limit: limit, Fraction: *c.share}}}, nil)
			}
			for _, f := range forwardsOf(tr.requestEffects()) {
				sent++
				tr.respondWithLimit(f, limit)
			}
		}
		if got := float64(sent) / (rate * seconds); got < 0.95*c.want || got > 1.1*c.want {
			t.Errorf("%s: got %.3f of the limit, want %.3f", c.name, got, c.want)
		}
		if c.share == nil {
			continue
		}
		tr.now = tr.now.Add(4 * time.Second)
		tr.router.HandleTimer(tr.now, event.TimerID{Kind: event.TimerSweep}, nil)
		tr.now = tr.now.Add(time.Second)
		sent = 0
		for range 200 {
			for _, f := range forwardsOf(tr.requestEffects()) {
				sent++
				tr.respondWithLimit(f, limit)
			}
		}
		if got, want := sent, 10; got < want {
			t.Errorf("%s: got %d attempts at once after the share had timed out, want the burst of an equal part, %d", c.name, got, want)
		}
	}
}

// wanted returns the sum of the demand that the router reports for upstreams with
// limits.
func (tr *testRouter) wanted() float64 {
	sum := 0.0
	for _, e := range tr.router.HandleTimer(tr.now, event.TimerID{Kind: event.TimerSweep}, nil) {
		if e, ok := e.(effect.ToControl); ok {
			if report, ok := e.Body.(event.LimitReport); ok {
				for _, r := range report.Reports {
					sum += r.Wanted
				}
			}
		}
	}
	return sum
}

// Guards against a VM that is granted more of a limit than others because its
// requests take long or need several upstreams: each attempt counts once in the
// demand, however often an upstream is looked for, and a hedge does not count.
func TestEachAttemptCountsOnceInTheDemand(t *testing.T) {
	sharded := unshardedRoute(false)
	sharded.Targets, sharded.Shards, sharded.TopK, sharded.MinCoverage = nil, []string{"s", "t"}, 1, 0.5
	for _, c := range []struct {
		name     string
		route    model.Route
		services []string
		limit    model.Limit
	}{
		{"hedges that are not sent", unshardedRoute(false), []string{"s"}, model.Limit{Rate: 1000}},
		{"a shard without room", sharded, []string{"s", "t"}, model.Limit{Rate: 0}},
	} {
		tr := newTestRouter(c.route, c.services...)
		var held []effect.Forward
		for range 200 {
			held = append(held, tr.request()...)
		}
		for _, f := range held {
			if f.Upstream[0] == c.services[len(c.services)-1][0] {
				tr.respondWithLimit(f, &c.limit)
			} else {
				tr.respondWithLimit(f, nil)
			}
		}
		tr.now = tr.now.Add(time.Minute)
		before := tr.wanted()
		if got := len(tr.request()); got != 1 {
			t.Fatalf("%s: got %d attempts, want 1", c.name, got)
		}
		for range 100 {
			tr.now = tr.now.Add(time.Millisecond)
			tr.router.HandleTimer(tr.now, event.TimerID{Kind: event.TimerProxyRequest, N: uint64(tr.lastID)}, nil)
		}
		tr.now = tr.now.Add(time.Second)
		// One request in the time constant of 2 s, 1.1 s ago.
		if got, want := tr.wanted()-before, 0.5*math.Exp(-0.55); math.Abs(got-want) > 0.01 {
			t.Errorf("%s: the demand rose by %.3f requests per second, want %.3f", c.name, got, want)
		}
	}
}
