package proxy_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/proxy"
)

// testRouter is a router in zone a, with an upstream of each service in zones
// a, b and c.
type testRouter struct {
	router proxy.Router
	now    time.Time
	lastID model.RequestID
}

func newTestRouter(route model.Route, services ...string) *testRouter {
	return startTestRouter(event.Start{VM: model.VM{Zone: "a"}, RetryBudgetRatio: 0.2, RetryBudgetExtra: 10, CPUCores: 1}, route, services...)
}

func startTestRouter(start event.Start, route model.Route, services ...string) *testRouter {
	tr := &testRouter{now: startTime}
	tr.router.Start(tr.now, start, nil)
	d := &model.Document{Version: 1, Routes: []model.Route{route}}
	var list []model.Upstream
	for _, s := range services {
		d.Services = append(d.Services, model.Service{Name: s, MaxConns: 60})
		for n := range 3 {
			list = append(list, model.Upstream{
				ID: model.UpstreamID(fmt.Sprintf("%s/%c", s, 'a'+n)), Index: s, Slots: 3, Zone: model.Zone(rune('a' + n)),
				Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1+len(list))),
			})
		}
	}
	tr.router.HandleView(tr.now, event.View{Topology: &model.Topology{Document: d}}, nil)
	tr.router.HandleUpstreamList(tr.now, event.UpstreamList{Upstreams: list, Checksum: 1, ReadAt: tr.now, EntryVMCount: 1}, nil)
	return tr
}

func (tr *testRouter) request() []effect.Forward {
	tr.lastID++
	return forwardsOf(tr.router.HandleProxyRequest(tr.now, event.ProxyRequest{
		ID: tr.lastID, Host: "h", Path: "/x", Fingerprint: model.Fingerprint(tr.lastID),
	}, nil))
}

func (tr *testRouter) respond(f effect.Forward, after time.Duration) []effect.Effect {
	tr.now = tr.now.Add(after)
	return tr.router.HandleResponseReceived(tr.now, event.ResponseReceived{
		Attempt: f.Attempt, Receipt: "r", Response: model.Response{Status: 200, Body: make([]byte, 16)},
	}, nil)
}

func forwardsOf(out []effect.Effect) (list []effect.Forward) {
	for _, e := range out {
		if f, ok := e.(effect.Forward); ok {
			list = append(list, f)
		}
	}
	return list
}

func unshardedRoute(once bool) model.Route {
	return model.Route{
		Name: "r", Host: "h", PathPrefix: "/", AtMostOnce: once, MaxAttempts: 2, Timeout: time.Second, TargetLatency: 100 * time.Millisecond,
		Targets: []model.Target{{Service: "s", Weight: 1}},
	}
}

// Guards against needless traffic between zones, and against staying with the
// upstream of the own zone while it does not answer.
func TestOwnZoneUnlessItStalls(t *testing.T) {
	tr := newTestRouter(unshardedRoute(false), "s")
	first := tr.request()
	if got, want := first[0].Upstream, model.UpstreamID("s/a"); got != want {
		t.Errorf("got %s, want %s of the own zone", got, want)
	}
	tr.now = tr.now.Add(60 * time.Millisecond)
	if got := tr.request()[0].Upstream; got == "s/a" {
		t.Errorf("got %s, which has not answered for 60ms", got)
	}
}

// Guards against an upstream that does not answer and yet stays the first choice
// of every request, because its attempts were hedged and never failed.
func TestSilentUpstreamIsAvoided(t *testing.T) {
	tr := newTestRouter(unshardedRoute(false), "s")
	silent := tr.request()[0]
	tr.now = tr.now.Add(50 * time.Millisecond)
	hedge := forwardsOf(tr.router.HandleTimer(tr.now, event.TimerID{Kind: event.TimerProxyRequest, N: 1}, nil))
	if len(hedge) != 1 {
		t.Fatalf("got %d hedges of an overdue attempt, want 1", len(hedge))
	}
	tr.respond(hedge[0], 10*time.Millisecond)
	tr.now = tr.now.Add(400 * time.Millisecond)
	out := tr.router.HandleTimer(tr.now, event.TimerID{Kind: event.TimerSweep}, nil)
	warned := false
	for _, e := range out {
		switch e := e.(type) {
		case effect.Cancel:
			tr.router.HandleAttemptFailed(tr.now, event.AttemptFailed{Attempt: e.Attempt, Reason: model.FailedCancelled, Ran: model.RanUnknown}, nil)
		case effect.ToControl:
			warning, ok := e.Body.(event.UpstreamWarning)
			warned = warned || ok && warning.Upstream == silent.Upstream && warning.Unreachable
		}
	}
	if !warned {
		t.Error("the other VMs are not warned of the silent upstream")
	}
	if got := tr.request()[0].Upstream; got == silent.Upstream {
		t.Errorf("got %s again, which was silent for 400ms", got)
	}
}

// Guards against a slow upstream that each VM has to detect by itself, and
// against a single pause that makes VMs avoid an upstream.
func TestWarningsOfOtherVMs(t *testing.T) {
	for name, c := range map[string]struct {
		warnings    []time.Duration // times after the start
		unreachable bool
		want        bool // the upstream of the own zone is avoided
	}{
		"one slow answer":      {warnings: []time.Duration{0}},
		"answers of one pause": {warnings: []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond}},
		"pauses":               {warnings: []time.Duration{0, 3 * time.Second}},
		"slow":                 {warnings: []time.Duration{0, 300 * time.Millisecond}, want: true},
		"silent":               {warnings: []time.Duration{0}, unreachable: true, want: true},
	} {
		tr := newTestRouter(unshardedRoute(false), "s")
		for _, after := range c.warnings {
			tr.now = startTime.Add(after)
			tr.router.HandleUpstreamWarning(tr.now, event.UpstreamWarning{Upstream: "s/a", Unreachable: c.unreachable}, nil)
		}
		if got := tr.request()[0].Upstream != "s/a"; got != c.want {
			t.Errorf("%s: got avoided %v, want %v", name, got, c.want)
		}
	}
}

// Guards against hedges of subrequests whose responses wait for this VM's own
// network link: while responses keep arriving, the missing ones are not overdue.
func TestNoHedgeWhileResponsesArrive(t *testing.T) {
	route := model.Route{
		Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: 2, Timeout: time.Second, TargetLatency: 100 * time.Millisecond, TopK: 5, MinCoverage: 0.5,
		Shards: []string{"s1", "s2", "s3", "s4"},
	}
	tr := newTestRouter(route, route.Shards...)
	attempts := tr.request()
	tr.now = tr.now.Add(39 * time.Millisecond)
	if got := forwardsOf(tr.respond(attempts[0], 0)); len(got) != 0 {
		t.Errorf("got %d hedges before the delay", len(got))
	}
	if got := forwardsOf(tr.respond(attempts[1], 2*time.Millisecond)); len(got) != 0 {
		t.Errorf("got %d hedges while responses arrive, want none", len(got))
	}
	tr.now = tr.now.Add(5 * time.Millisecond)
	if got := forwardsOf(tr.router.HandleTimer(tr.now, event.TimerID{Kind: event.TimerProxyRequest, N: 1}, nil)); len(got) != 2 {
		t.Errorf("got %d hedges after no response arrived for a while, want 2", len(got))
	}
}

// Guards against a second attempt of a request that may run at most once, and
// against a refusal that states "not run" when that is not known.
func TestAtMostOnceIsNotRepeatedAfterAReset(t *testing.T) {
	tr := newTestRouter(unshardedRoute(true), "s")
	f := tr.request()[0]
	out := tr.router.HandleAttemptFailed(tr.now, event.AttemptFailed{Attempt: f.Attempt, Reason: model.FailedReset, Ran: model.RanUnknown}, nil)
	if got := forwardsOf(out); len(got) != 0 {
		t.Errorf("got %d attempts after a reset, want none", len(got))
	}
	for _, e := range out {
		if r, ok := e.(effect.Refuse); ok && (r.Refusal.Ran != model.RanUnknown || r.Refusal.Reason != model.RefusedFailed) {
			t.Errorf("got %+v, want failed, ran unknown", r.Refusal)
		}
	}
	f = tr.request()[0]
	out = tr.router.HandleAttemptFailed(tr.now, event.AttemptFailed{Attempt: f.Attempt, Reason: model.FailedRefused, Ran: model.RanNo}, nil)
	if got := forwardsOf(out); len(got) != 1 || got[0].Upstream == f.Upstream {
		t.Errorf("got %+v after a refused connection, want an attempt on another upstream", got)
	}
}

// Guards against a request that crashes one upstream after the other, and against
// a quarantine of other requests.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	tr := newTestRouter(unshardedRoute(false), "s")
	report := event.CrashReport{Fingerprint: 1, Crashes: model.NamedCrashes([]model.UpstreamID{"s/a", "s/b", "s/c"})}
	tr.router.HandleCrashReport(tr.now, report, nil)
	out := tr.router.HandleProxyRequest(tr.now, event.ProxyRequest{ID: 1, Host: "h", Path: "/x", Fingerprint: 1}, nil)
	if len(forwardsOf(out)) != 0 {
		t.Error("a request that crashed three upstreams is sent again")
	}
	if f := forwardsOf(tr.router.HandleProxyRequest(tr.now, event.ProxyRequest{ID: 2, Host: "h", Path: "/x", Fingerprint: 2}, nil)); len(f) != 1 {
		t.Error("another request is not sent")
	}
}

// Guards against targets that receive another share of the requests than their
// weight specifies.
func TestTargetsGetTheirWeights(t *testing.T) {
	route := unshardedRoute(false)
	route.Targets = []model.Target{{Service: "s", Weight: 3}, {Service: "t", Weight: 1}}
	tr := newTestRouter(route, "s", "t")
	n := 0
	for range 400 {
		f := tr.request()[0]
		if f.Upstream[0] == 's' {
			n++
		}
		tr.respond(f, time.Millisecond)
	}
	if n < 296 || n > 304 {
		t.Errorf("got %d of 400 requests on the target of weight 3 to 1, want 300", n)
	}
}

// Guards against a restarted process that spends a whole retry budget while the
// extra attempts of the process before it still count in the same window. A
// process that has run for a window has its full budget.
func TestExtraAttemptsAfterAStart(t *testing.T) {
	hedges := func(at time.Time) (n int) {
		tr := startTestRouter(event.Start{
			VM: model.VM{Zone: "a"}, RetryBudgetExtra: 10, RetryBudgetWindow: 10 * time.Second, ProcessStart: startTime, CPUCores: 1,
		}, model.Route{
			Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: 2, Timeout: time.Second, TargetLatency: 100 * time.Millisecond,
			Targets: []model.Target{{Service: "s", Weight: 1}},
		}, "s")
		tr.now = at
		for range 20 {
			tr.lastID++
			out := tr.router.HandleProxyRequest(tr.now, event.ProxyRequest{ID: tr.lastID, Host: "h", Path: "/x", Fingerprint: model.Fingerprint(tr.lastID)}, nil)
			due, again := fireTimer(&tr.router, tr.now, out)
			tr.now = due
			n += len(forwardsOf(again))
			for _, f := range append(forwardsOf(out), forwardsOf(again)...) {
				tr.respond(f, 0)
			}
		}
		return n
	}
	first, later := hedges(startTime.Add(time.Second)), hedges(startTime.Add(11*time.Second))
	if first == 0 || first >= later {
		t.Errorf("got %d hedges in the first second and %d after the window, want fewer at first, but some", first, later)
	}
}

// Guards against an upstream that stays slow and that all VMs of the zone try
// again each time the last warnings have decayed: it was in use for a third of
// the time.
func TestSlowUpstreamIsAvoidedLonger(t *testing.T) {
	const usual = 15 * time.Millisecond
	tr := newTestRouter(model.Route{
		Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: 1, Timeout: time.Second, TargetLatency: 100 * time.Millisecond,
		Targets: []model.Target{{Service: "s", Weight: 1}},
	}, "s")
	for range 20 {
		tr.respond(tr.request()[0], usual)
	}
	warn := func() {
		tr.router.HandleUpstreamWarning(tr.now, event.UpstreamWarning{Upstream: "s/a", ExtraLatency: 150 * time.Millisecond}, nil)
	}
	// avoided advances the clock until the upstream is chosen and returns for how
	// long it was not.
	avoided := func() time.Duration {
		startTime := tr.now
		for tr.now.Sub(startTime) < 20*time.Second {
			tr.now = tr.now.Add(200 * time.Millisecond)
			f := tr.request()[0]
			if f.Upstream == "s/a" {
				tr.router.HandleAttemptFailed(tr.now, event.AttemptFailed{Attempt: f.Attempt, Reason: model.FailedCancelled}, nil)
				break
			}
			tr.respond(f, usual)
		}
		return tr.now.Sub(startTime)
	}
	warn()
	tr.now = tr.now.Add(300 * time.Millisecond)
	warn()
	first := avoided()
	warn() // another VM tried it and found it slow again
	second := avoided()
	if first < 500*time.Millisecond || second < 3*first/2 {
		t.Errorf("got it avoided for %s after two warnings and for %s after a third, want at least 500ms and then longer", first, second)
	}
}

// Guards against answers that meet the target latency for a caller with an open
// connection but miss it for one that had to connect first.
func TestCallerThatConnectedIsAnsweredSooner(t *testing.T) {
	answerTime := func(newConn bool) time.Duration {
		tr := newTestRouter(model.Route{
			Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: 1, Timeout: time.Second, TargetLatency: 50 * time.Millisecond,
			Shards: []string{"s1", "s2"}, TopK: 1, MinCoverage: 0.5,
		}, "s1", "s2")
		out := tr.router.HandleProxyRequest(tr.now, event.ProxyRequest{ID: 1, Host: "h", Path: "/x", Fingerprint: 1, NewConn: newConn}, nil)
		at := tr.now
		out = tr.respond(forwardsOf(out)[0], 0)
		for range 10 {
			if slices.ContainsFunc(out, func(e effect.Effect) bool { _, ok := e.(effect.SendMergedResponse); return ok }) {
				return at.Sub(startTime)
			}
			at, out = fireTimer(&tr.router, at, out)
		}
		t.Fatal("got no answer at the cutoff")
		return 0
	}
	if open, fresh := answerTime(false), answerTime(true); open-fresh < 4*time.Millisecond {
		t.Errorf("got an answer after %s on an open connection and %s on a new one, want it at least 4ms sooner to make up for connecting", open, fresh)
	}
}

// Guards against a retry budget that changes in the settings file and takes effect
// only when the process starts again.
func TestChangedRetryBudget(t *testing.T) {
	hedges := func(extra int) (n int) {
		tr := newTestRouter(unshardedRoute(false), "s")
		tr.router.HandleSettings(tr.now, event.SettingsChanged{RetryBudgetExtra: extra, RetryBudgetWindow: 10 * time.Second, CPUCores: 1}, nil)
		for range 20 {
			tr.lastID++
			out := tr.router.HandleProxyRequest(tr.now, event.ProxyRequest{ID: tr.lastID, Host: "h", Path: "/x", Fingerprint: model.Fingerprint(tr.lastID)}, nil)
			due, again := fireTimer(&tr.router, tr.now, out)
			tr.now = due
			n += len(forwardsOf(again))
			for _, f := range append(forwardsOf(out), forwardsOf(again)...) {
				tr.respond(f, 0)
			}
		}
		return n
	}
	if few, many := hedges(2), hedges(8); few >= many {
		t.Errorf("got %d hedges with a small budget and %d with a larger one, want more", few, many)
	}
}

// Guards against a VM that denies a route because it lacks the change that adds
// it, although it knows that changes may be missing.
func TestUnknownRouteWhileChangesMayBeMissing(t *testing.T) {
	route := unshardedRoute(false)
	route.PathPrefix = "/known/"
	tr := newTestRouter(route, "s")
	for _, c := range []struct {
		overdue bool
		want    model.RefusalReason
	}{{true, model.RefusedStale}, {false, model.RefusedRoute}} {
		tr.router.HandleConfigOverdue(event.ConfigOverdue{Overdue: c.overdue}, nil)
		got := refusalOf(tr.requestEffects())
		if got.Reason != c.want || got.Ran != model.RanNo {
			t.Errorf("overdue %t: got %+v, want a refusal as %q, not run", c.overdue, got, c.want)
		}
	}
}

// Guards against a request that is sent to an upstream after the requests in flight were
// cut off, because its body took long: the process exits before the answer comes.
func TestNothingIsSentAfterTheCutOff(t *testing.T) {
	tr := newTestRouter(unshardedRoute(true), "s")
	tr.router.Drain(tr.now, nil)
	tr.router.CutOff(tr.now, nil)
	tr.lastID++
	out := tr.router.HandleProxyRequest(tr.now, event.ProxyRequest{ID: tr.lastID, Host: "h", Path: "/x"}, nil)
	if n := len(forwardsOf(out)); n > 0 {
		t.Errorf("got %d attempts after the cut-off, want none", n)
	}
	for _, e := range out {
		if r, ok := e.(effect.Refuse); ok && r.Refusal.Reason == model.RefusedDraining && r.Refusal.Ran == model.RanNo {
			return
		}
	}
	t.Errorf("got %+v, want a refusal as not run", out)
}

// setRoutes puts the second document in force, with other routes over the services that
// they name.
func (tr *testRouter) setRoutes(routes ...model.Route) {
	d := &model.Document{Version: 2, Routes: routes}
	for _, r := range routes {
		for _, target := range r.Targets {
			d.Services = append(d.Services, model.Service{Name: target.Service, MaxConns: 60})
		}
	}
	tr.router.HandleView(tr.now, event.View{Topology: &model.Topology{Document: d}}, nil)
}

// requestPath sends a request and returns its first attempt.
func (tr *testRouter) requestPath(t *testing.T, path string) effect.Forward {
	t.Helper()
	tr.lastID++
	out := tr.router.HandleProxyRequest(tr.now, event.ProxyRequest{ID: tr.lastID, Host: "h", Path: path, Fingerprint: model.Fingerprint(tr.lastID)}, nil)
	attempts := forwardsOf(out)
	if len(attempts) != 1 {
		t.Fatalf("request %d for %s: got %d attempts, want 1", tr.lastID, path, len(attempts))
	}
	return attempts[0]
}
