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

// bench is a table in front of services with replicas in zones a, b and c.
type bench struct {
	table proxy.Table
	now   time.Time
	next  model.RequestID
}

func newBench(route model.Route, services ...string) *bench {
	return startBench(event.Start{VM: model.VM{Zone: "a"}, RetryBudgetRatio: 0.2, RetryBudgetExtra: 10, CPUCores: 1}, route, services...)
}

func startBench(start event.Start, route model.Route, services ...string) *bench {
	b := &bench{now: began}
	b.table.Start(b.now, start, nil)
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
	b.table.View(b.now, event.View{Topology: &model.Topology{Document: d}}, nil)
	b.table.Roster(b.now, event.UpstreamList{Upstreams: list, Checksum: 1, ReadAt: b.now, EntryVMCount: 1}, nil)
	return b
}

func (b *bench) call() []effect.Forward {
	b.next++
	return sent(b.table.Call(b.now, event.ProxyRequest{ID: b.next, Host: "h", Path: "/x", Fingerprint: model.Fingerprint(b.next)}, nil))
}

func (b *bench) answer(f effect.Forward, after time.Duration) []effect.Effect {
	b.now = b.now.Add(after)
	return b.table.Returned(b.now, event.ResponseReceived{
		Attempt: f.Attempt, Receipt: "r", Response: model.Response{Status: 200, Body: make([]byte, 16)},
	}, nil)
}

func sent(out []effect.Effect) (list []effect.Forward) {
	for _, e := range out {
		if f, ok := e.(effect.Forward); ok {
			list = append(list, f)
		}
	}
	return list
}

func single(once bool) model.Route {
	return model.Route{
		Name: "r", Host: "h", PathPrefix: "/", AtMostOnce: once, MaxAttempts: 2, Timeout: time.Second, TargetLatency: 100 * time.Millisecond,
		Targets: []model.Target{{Service: "s", Weight: 1}},
	}
}

// Guards against bytes between zones for nothing, and against an own zone that
// is used although its upstream does not answer.
func TestOwnZoneUnlessItStalls(t *testing.T) {
	b := newBench(single(false), "s")
	first := b.call()
	if got, want := first[0].Upstream, model.UpstreamID("s/a"); got != want {
		t.Errorf("got %s, want %s of the own zone", got, want)
	}
	b.now = b.now.Add(60 * time.Millisecond)
	if got := b.call()[0].Upstream; got == "s/a" {
		t.Errorf("got %s, which has not answered for 60ms", got)
	}
}

// Guards against an abandoned attempt that is not held against its upstream:
// every request would then meet the silent one first.
func TestSilentUpstreamIsAvoided(t *testing.T) {
	b := newBench(single(false), "s")
	silent := b.call()[0]
	b.now = b.now.Add(50 * time.Millisecond)
	hedge := sent(b.table.Timer(b.now, event.TimerID{Kind: event.TimerProxyRequest, N: 1}, nil))
	if len(hedge) != 1 {
		t.Fatalf("got %d hedges of an overdue attempt, want 1", len(hedge))
	}
	b.answer(hedge[0], 10*time.Millisecond)
	b.now = b.now.Add(400 * time.Millisecond)
	out := b.table.Timer(b.now, event.TimerID{Kind: event.TimerSweep}, nil)
	told := false
	for _, e := range out {
		switch e := e.(type) {
		case effect.Cancel:
			b.table.Failed(b.now, event.AttemptFailed{Attempt: e.Attempt, Reason: model.FailedCancelled, Ran: model.RanUnknown}, nil)
		case effect.ToControl:
			hint, ok := e.Body.(event.UpstreamWarning)
			told = told || ok && hint.Upstream == silent.Upstream && hint.Unreachable
		}
	}
	if !told {
		t.Error("the other VMs are not told of the silent upstream")
	}
	if got := b.call()[0].Upstream; got == silent.Upstream {
		t.Errorf("got %s again, which was silent for 400ms", got)
	}
}

// Guards against VMs that must each find a slow upstream for themselves, and
// against a single pause that passes for a slow upstream.
func TestHintsOfOtherVMs(t *testing.T) {
	for name, c := range map[string]struct {
		hints []time.Duration // after the start
		sure  bool
		want  bool // the own zone's upstream is avoided
	}{
		"one slow answer":      {hints: []time.Duration{0}},
		"answers of one pause": {hints: []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond}},
		"pauses":               {hints: []time.Duration{0, 3 * time.Second}},
		"slow":                 {hints: []time.Duration{0, 300 * time.Millisecond}, want: true},
		"silent":               {hints: []time.Duration{0}, sure: true, want: true},
	} {
		b := newBench(single(false), "s")
		for _, after := range c.hints {
			b.now = began.Add(after)
			b.table.Hint(b.now, event.UpstreamWarning{Upstream: "s/a", Unreachable: c.sure}, nil)
		}
		if got := b.call()[0].Upstream != "s/a"; got != c.want {
			t.Errorf("%s: got avoided %v, want %v", name, got, c.want)
		}
	}
}

// Guards against hedges for parts that wait for this VM's own link: while parts
// come one after the other, the missing ones are not overdue.
func TestNoHedgeWhilePartsCome(t *testing.T) {
	route := model.Route{
		Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: 2, Timeout: time.Second, TargetLatency: 100 * time.Millisecond, TopK: 5, MinCoverage: 0.5,
		Shards: []string{"s1", "s2", "s3", "s4"},
	}
	b := newBench(route, route.Shards...)
	attempts := b.call()
	b.now = b.now.Add(39 * time.Millisecond)
	if got := sent(b.answer(attempts[0], 0)); len(got) != 0 {
		t.Errorf("got %d hedges before the delay", len(got))
	}
	if got := sent(b.answer(attempts[1], 2*time.Millisecond)); len(got) != 0 {
		t.Errorf("got %d hedges while parts come, want none", len(got))
	}
	b.now = b.now.Add(5 * time.Millisecond)
	if got := sent(b.table.Timer(b.now, event.TimerID{Kind: event.TimerProxyRequest, N: 1}, nil)); len(got) != 2 {
		t.Errorf("got %d hedges after the parts stopped coming, want 2", len(got))
	}
}

// Guards against a repeated request that must run once, and against a promise
// that it did not run when nothing is known.
func TestOnceIsNotRepeatedAfterAReset(t *testing.T) {
	b := newBench(single(true), "s")
	f := b.call()[0]
	out := b.table.Failed(b.now, event.AttemptFailed{Attempt: f.Attempt, Reason: model.FailedReset, Ran: model.RanUnknown}, nil)
	if got := sent(out); len(got) != 0 {
		t.Errorf("got %d attempts after a reset, want none", len(got))
	}
	for _, e := range out {
		if r, ok := e.(effect.Refuse); ok && (r.Rejection.Ran != model.RanUnknown || r.Rejection.Reason != model.RefusedFailed) {
			t.Errorf("got %+v, want failed, ran unknown", r.Rejection)
		}
	}
	f = b.call()[0]
	out = b.table.Failed(b.now, event.AttemptFailed{Attempt: f.Attempt, Reason: model.FailedRefused, Ran: model.RanNo}, nil)
	if got := sent(out); len(got) != 1 || got[0].Upstream == f.Upstream {
		t.Errorf("got %+v after a refused connection, want an attempt on another upstream", got)
	}
}

// Guards against a request that crashes every upstream that runs it, and
// against a quarantine of requests that others answer.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	b := newBench(single(false), "s")
	struck := event.CrashReport{Fingerprint: 1, Upstreams: []model.UpstreamID{"s/a", "s/b", "s/c"}}
	b.table.Struck(b.now, struck, nil)
	out := b.table.Call(b.now, event.ProxyRequest{ID: 1, Host: "h", Path: "/x", Fingerprint: 1}, nil)
	if len(sent(out)) != 0 {
		t.Error("a request that crashed three upstreams is sent again")
	}
	if f := sent(b.table.Call(b.now, event.ProxyRequest{ID: 2, Host: "h", Path: "/x", Fingerprint: 2}, nil)); len(f) != 1 {
		t.Error("another request is not sent")
	}
}

// Guards against shares of a route's targets that miss its weights.
func TestTargetsGetTheirWeights(t *testing.T) {
	route := single(false)
	route.Targets = []model.Target{{Service: "s", Weight: 3}, {Service: "t", Weight: 1}}
	b := newBench(route, "s", "t")
	n := 0
	for range 400 {
		f := b.call()[0]
		if f.Upstream[0] == 's' {
			n++
		}
		b.answer(f, time.Millisecond)
	}
	if n < 296 || n > 304 {
		t.Errorf("got %d of 400 requests on the target of weight 3 to 1, want 300", n)
	}
}

// Guards against processes that restart and spend the whole of their extra
// attempts again within the span of time in which those of the one before still
// count; a process that has run for that long has them all.
func TestExtraAttemptsAfterAStart(t *testing.T) {
	hedges := func(at time.Time) (n int) {
		b := startBench(event.Start{VM: model.VM{Zone: "a"}, RetryBudgetExtra: 10, RetryBudgetWindow: 10 * time.Second, ProcessStart: began, CPUCores: 1}, model.Route{
			Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: 2, Timeout: time.Second, TargetLatency: 100 * time.Millisecond,
			Targets: []model.Target{{Service: "s", Weight: 1}},
		}, "s")
		b.now = at
		for range 20 {
			b.next++
			out := b.table.Call(b.now, event.ProxyRequest{ID: b.next, Host: "h", Path: "/x", Fingerprint: model.Fingerprint(b.next)}, nil)
			due, again := wake(&b.table, b.now, out)
			b.now = due
			n += len(sent(again))
			for _, f := range append(sent(out), sent(again)...) {
				b.answer(f, 0)
			}
		}
		return n
	}
	early, late := hedges(began.Add(time.Second)), hedges(began.Add(11*time.Second))
	if early == 0 || early >= late {
		t.Errorf("got %d hedges in the first second and %d after the window, want fewer at first, but some", early, late)
	}
}

// Guards against an upstream that stays slow and is tried again by all VMs of the
// zone each time that its last reports fade: it was in use for a third of the time.
func TestSlowUpstreamIsAvoidedLonger(t *testing.T) {
	const usual = 15 * time.Millisecond
	b := newBench(model.Route{
		Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: 1, Timeout: time.Second, TargetLatency: 100 * time.Millisecond,
		Targets: []model.Target{{Service: "s", Weight: 1}},
	}, "s")
	for range 20 {
		b.answer(b.call()[0], usual)
	}
	report := func() {
		b.table.Hint(b.now, event.UpstreamWarning{Upstream: "s/a", ExtraLatency: 150 * time.Millisecond}, nil)
	}
	// avoided returns for how long the upstream is not chosen.
	avoided := func() time.Duration {
		began := b.now
		for b.now.Sub(began) < 20*time.Second {
			b.now = b.now.Add(200 * time.Millisecond)
			f := b.call()[0]
			if f.Upstream == "s/a" {
				b.table.Failed(b.now, event.AttemptFailed{Attempt: f.Attempt, Reason: model.FailedCancelled}, nil)
				break
			}
			b.answer(f, usual)
		}
		return b.now.Sub(began)
	}
	report()
	b.now = b.now.Add(300 * time.Millisecond)
	report()
	first := avoided()
	report() // one VM has tried it again
	second := avoided()
	if first < 500*time.Millisecond || second < 3*first/2 {
		t.Errorf("got it avoided for %s after two reports and for %s after a third, want longer", first, second)
	}
}

// Guards against answers that leave in time for a caller on an open connection
// and come late for one that had to connect first.
func TestCallerThatConnectedIsAnsweredSooner(t *testing.T) {
	cutoff := func(fresh bool) time.Duration {
		b := newBench(model.Route{
			Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: 1, Timeout: time.Second, TargetLatency: 50 * time.Millisecond,
			Shards: []string{"s1", "s2"}, TopK: 1, MinCoverage: 0.5,
		}, "s1", "s2")
		out := b.table.Call(b.now, event.ProxyRequest{ID: 1, Host: "h", Path: "/x", Fingerprint: 1, NewConn: fresh}, nil)
		at := b.now
		out = b.answer(sent(out)[0], 0)
		for range 10 {
			if slices.ContainsFunc(out, func(e effect.Effect) bool { _, ok := e.(effect.SendMergedResponse); return ok }) {
				return at.Sub(began)
			}
			at, out = wake(&b.table, at, out)
		}
		t.Fatal("got no answer at the cutoff")
		return 0
	}
	if open, fresh := cutoff(false), cutoff(true); open-fresh < 4*time.Millisecond {
		t.Errorf("got an answer after %s on an open connection and %s on a new one, want it sooner by the ways of connecting", open, fresh)
	}
}
