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

// isQuarantined sends another request with the fingerprint and reports whether it
// is refused for crashing upstreams.
func isQuarantined(router *proxy.Router, at time.Time, fp model.Fingerprint) bool {
	out := router.HandleProxyRequest(at, event.ProxyRequest{ID: 99, Host: "a.example", Path: "/all/x", Wait: 800 * time.Millisecond, Fingerprint: fp}, nil)
	return slices.ContainsFunc(out, func(e effect.Effect) bool {
		r, ok := e.(effect.Refuse)
		return ok && r.Refusal.Reason == model.RefusedQuarantine
	})
}

// countCrashReports counts the crash reports to the other VMs.
func countCrashReports(out []effect.Effect) int {
	n := 0
	for _, e := range out {
		c, ok := e.(effect.ToControl)
		if !ok {
			continue
		}
		if _, ok := c.Body.(event.CrashReport); ok {
			n++
		}
	}
	return n
}

// Guards against the quarantine of a request over many shards of which three
// happened to crash, and against the missing quarantine of one that crashes all
// of them.
func TestCrashesAmongManyShards(t *testing.T) {
	for _, crashes := range []int{3, shardCount} {
		router := newShardedRouter(t)
		_, direct := splitForwards(sendShardedRequest(router, startTime, 1, nil))
		at, reports := startTime.Add(time.Millisecond), 0
		for n := 0; n < len(direct); n++ {
			f := direct[n]
			if n >= crashes && n < shardCount {
				reports += countCrashReports(router.HandleResponseReceived(at, successfulResponse(f, fmt.Sprintf("r%d", n)), nil))
				continue
			}
			out := router.HandleAttemptFailed(at, event.AttemptFailed{Attempt: f.Attempt, Reason: model.FailedReset, Ran: model.RanUnknown}, nil)
			reports += countCrashReports(out)
			if _, more := splitForwards(out); crashes == shardCount {
				direct = append(direct, more...)
			}
		}
		// The links of the VM have not come into doubt meanwhile.
		sweep := at.Add(300 * time.Millisecond)
		reports += countCrashReports(router.HandleTimer(sweep, event.TimerID{Kind: event.TimerSweep}, nil))
		all := crashes == shardCount
		if got := isQuarantined(router, at.Add(time.Second), 1); got != all || reports > 0 != all {
			t.Errorf("%d of %d shards reset the connection: got quarantine %v and %d crash reports, want %v", crashes, shardCount, got, reports, all)
		}
	}
}

// crashingRequest sends a request that crashes each upstream that begins to run it, and
// returns how many did and the refusal, nil without one. The upstreams are back under new
// ids after it.
func (tr *testRouter) crashingRequest(t *testing.T, services ...string) (crashes int, refusal *model.Refusal) {
	t.Helper()
	const fingerprint = 7
	tr.lastID++
	out := tr.router.HandleProxyRequest(tr.now, event.ProxyRequest{ID: tr.lastID, Host: "h", Path: "/x", Fingerprint: fingerprint}, nil)
	for forwards := forwardsOf(out); len(forwards) > 0; forwards = forwards[1:] {
		crashes++
		tr.now = tr.now.Add(10 * time.Millisecond)
		more := tr.router.HandleAttemptFailed(tr.now, event.AttemptFailed{Attempt: forwards[0].Attempt, Reason: model.FailedReset, Ran: model.RanUnknown}, nil)
		forwards = append(forwards, forwardsOf(more)...)
	}
	tr.now = tr.now.Add(300 * time.Millisecond)
	tr.router.HandleTimer(tr.now, event.TimerID{Kind: event.TimerSweep}, nil)
	tr.replaceUpstreams(services...)
	for _, e := range out {
		if r, ok := e.(effect.Refuse); ok {
			return crashes, &r.Refusal
		}
	}
	return crashes, nil
}

// replaceUpstreams puts upstreams with new ids in the place of those of services.
func (tr *testRouter) replaceUpstreams(services ...string) {
	var list []model.Upstream
	for _, s := range services {
		for n := range 3 {
			list = append(list, model.Upstream{
				ID: model.UpstreamID(fmt.Sprintf("%s/%d/%c", s, tr.lastID, 'a'+n)), Index: s, Slots: 3, Zone: model.Zone(rune('a' + n)),
				Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1+len(list))),
			})
		}
	}
	tr.router.HandleUpstreamList(tr.now, event.UpstreamList{Upstreams: list, Checksum: uint64(1 + tr.lastID), ReadAt: tr.now, EntryVMCount: 1}, nil)
}

// Guards against a request that crashes upstreams and comes again slowly: its crashes were
// forgotten after 10 s, and after each quarantine, so that it was never recognised. It must
// be refused with the time at which it may come again, make a single attempt then, and
// wait longer after each further crash.
func TestSlowlyCrashingRequestIsQuarantined(t *testing.T) {
	const interval = 11 * time.Second
	tr := newTestRouter(unshardedRoute(true), "s")
	for n := range 3 {
		if crashes, _ := tr.crashingRequest(t, "s"); crashes != 1 {
			t.Fatalf("coming %d: got %d crashes, want 1", n+1, crashes)
		}
		tr.now = tr.now.Add(interval)
	}
	for n, want := range []time.Duration{time.Minute, 4 * time.Minute, 16 * time.Minute} {
		crashes, refusal := tr.crashingRequest(t, "s")
		if crashes > 0 || refusal == nil || refusal.Reason != model.RefusedQuarantine || refusal.Ran != model.RanNo {
			t.Fatalf("quarantine %d: got %d crashes and the refusal %+v, want it refused as not run", n+1, crashes, refusal)
		}
		if got := refusal.RetryAfter + interval; got > want || got < want-time.Second {
			t.Errorf("quarantine %d: got a quarantine of %v, want %v", n+1, got, want)
		}
		tr.now = tr.now.Add(refusal.RetryAfter)
		if crashes, _ = tr.crashingRequest(t, "s"); crashes != 1 {
			t.Fatalf("after quarantine %d: got %d crashes, want one trial", n+1, crashes)
		}
		tr.now = tr.now.Add(interval)
	}
}

// Guards against a trial after a quarantine that makes several attempts, or beside which
// others run, and against one that was answered and changes nothing.
func TestTrialAfterAQuarantine(t *testing.T) {
	tr := newTestRouter(unshardedRoute(false), "s")
	request := func() []effect.Effect {
		tr.lastID++
		return tr.router.HandleProxyRequest(tr.now, event.ProxyRequest{ID: tr.lastID, Host: "h", Path: "/x", Fingerprint: 7}, nil)
	}
	tr.router.HandleCrashReport(tr.now, event.CrashReport{Fingerprint: 7, Crashes: model.NamedCrashes([]model.UpstreamID{"u1", "u2", "u3"}), Quarantine: time.Minute}, nil)
	tr.now = tr.now.Add(time.Minute)
	tr.replaceUpstreams("s")
	trial := forwardsOf(request())
	if len(trial) != 1 {
		t.Fatalf("got %d attempts after the quarantine, want one", len(trial))
	}
	if got := forwardsOf(request()); len(got) != 0 {
		t.Errorf("got %d attempts beside the trial, want none", len(got))
	}
	out := tr.router.HandleAttemptFailed(tr.now, event.AttemptFailed{Attempt: trial[0].Attempt, Reason: model.FailedReset, Ran: model.RanUnknown}, nil)
	if got := forwardsOf(out); len(got) != 0 {
		t.Errorf("got %d attempts after the trial crashed its upstream, want none", len(got))
	}
	tr.now = tr.now.Add(300 * time.Millisecond)
	tr.router.HandleTimer(tr.now, event.TimerID{Kind: event.TimerSweep}, nil)
	tr.now = tr.now.Add(4 * time.Minute)
	tr.replaceUpstreams("s")
	trial = forwardsOf(request())
	if len(trial) != 1 {
		t.Fatalf("got %d attempts after the second quarantine, want one", len(trial))
	}
	tr.respond(trial[0], time.Millisecond)
	answered := false
	for _, e := range tr.router.HandleTimer(tr.now, event.TimerID{Kind: event.TimerSweep}, nil) {
		if c, ok := e.(effect.ToControl); ok {
			report, ok := c.Body.(event.CrashReport)
			answered = answered || ok && len(report.Answered) == 1 && report.Answered[0].Fingerprint == 7 && len(report.Answered[0].Upstreams) == 4
		}
	}
	if !answered {
		t.Error("got no report that the request was answered, so that other VMs go on refusing it")
	}
	if first, second := forwardsOf(request()), forwardsOf(request()); len(first) != 1 || len(second) != 1 {
		t.Errorf("got %d and %d attempts after an answer, want one each", len(first), len(second))
	}
}
