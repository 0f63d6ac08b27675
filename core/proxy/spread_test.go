package proxy_test

import (
	"bytes"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/proxy"
)

const wideShards = 20

// wide is a table of vm0 in zone a, whose route has many shards. Each has an
// upstream in zones a and b but for the last two, which have one in b alone.
func wide(t *testing.T, daemons ...model.EntryVM) *proxy.Table {
	t.Helper()
	const coverage = 0.6 // less than zone a has
	return wideFor(coverage, daemons...)
}

// wideFor is such a table for a least coverage.
func wideFor(coverage float64, daemons ...model.EntryVM) *proxy.Table {
	return wideOn(1, coverage, daemons...)
}

// wideOn is such a table on a VM with a part of a core.
func wideOn(speed, coverage float64, daemons ...model.EntryVM) *proxy.Table {
	route := model.Route{
		Name: "all", Host: "a.example", PathPrefix: "/all/", MaxAttempts: 2, Timeout: time.Second, TargetLatency: 100 * time.Millisecond,
		TopK: 4, MinCoverage: coverage,
	}
	d := &model.Document{Version: 1}
	var upstreams []model.Upstream
	for n := range wideShards {
		name := fmt.Sprintf("s%d", n)
		route.Shards = append(route.Shards, name)
		d.Services = append(d.Services, model.Service{Name: name, MaxConns: 60})
		for _, zone := range []model.Zone{"a", "b"} {
			if zone == "b" || n < wideShards-2 {
				id := model.UpstreamID(name + "/" + string(zone))
				upstreams = append(upstreams, model.Upstream{ID: id, Index: name, Slots: 3, Zone: zone, Addr: netip.MustParseAddrPort("10.0.0.1:80")})
			}
		}
	}
	part := route
	part.Name, part.PathPrefix, part.MinCoverage = "part", "/part/", 0.5
	d.Routes = []model.Route{route, part}
	table := &proxy.Table{}
	table.Start(began, event.Start{VM: model.VM{ID: "vm0", Zone: "a"}, MinShardsToDelegate: wideShards, RetryBudgetRatio: 0.2, RetryBudgetExtra: 1000, CPUCores: speed}, nil)
	table.View(began, event.View{Topology: &model.Topology{Document: d}}, nil)
	table.Roster(began, event.UpstreamList{Upstreams: upstreams, Checksum: 1, ReadAt: began, EntryVMCount: 1}, nil)
	table.Daemons(began, event.EntryVMs{VMs: daemons}, nil)
	return table
}

func daemonIn(zone model.Zone, n int) model.EntryVM {
	return model.EntryVM{ID: model.VMID(fmt.Sprintf("vm-%s-%d", zone, n)), Zone: zone, PortionAddr: netip.MustParseAddrPort("10.1.0.1:1")}
}

func ask(table *proxy.Table, at time.Time, id model.RequestID, p *model.Portion) []effect.Effect {
	return table.Call(at, event.ProxyRequest{
		ID: id, Host: "a.example", Path: "/all/x", Wait: 800 * time.Millisecond, Fingerprint: model.Fingerprint(id), Portion: p,
	}, nil)
}

// forwards splits what is sent into portions and single attempts.
func forwards(out []effect.Effect) (portions, direct []effect.Forward) {
	for _, e := range out {
		if f, ok := e.(effect.Forward); ok && f.Portion != nil {
			portions = append(portions, f)
		} else if ok {
			direct = append(direct, f)
		}
	}
	return portions, direct
}

// wake fires the timer of a call at its time, which is returned.
func wake(table *proxy.Table, at time.Time, out []effect.Effect) (time.Time, []effect.Effect) {
	for _, e := range slices.Backward(out) {
		if timer, ok := e.(effect.SetTimer); ok && timer.ID.Kind == event.TimerProxyRequest {
			at = timer.At
			return at, table.Timer(at, timer.ID, nil)
		}
	}
	return at, nil
}

func answer(f effect.Forward) event.PortionResult {
	g := event.PortionResult{Attempt: f.Attempt, Records: []byte("0123456789abcdef")}
	for _, leg := range f.Portion.Shards {
		g.Results = append(g.Results, model.ShardResult{Shard: leg, Upstream: "u", Receipt: fmt.Sprintf("r%d", leg)})
	}
	return g
}

// Guards against shards that nobody gathers, that are gathered twice, or whose
// parts cross zones one by one.
func TestPortionsCoverAllShards(t *testing.T) {
	table := wide(t, daemonIn("a", 1), daemonIn("a", 2), daemonIn("a", 3), daemonIn("b", 1))
	portions, direct := forwards(ask(table, began, 1, nil))
	var legs []int
	var out []effect.Effect
	for _, f := range portions {
		legs = append(legs, f.Portion.Shards...)
		far := slices.Contains(f.Portion.Shards, wideShards-1)
		if got, want := f.Upstream == "vm vm-b-1", far; got != want || far && len(f.Portion.Shards) != 2 {
			t.Errorf("got portion %v at %s, want the two shards without an upstream in the zone, and only them, at vm-b-1", f.Portion.Shards, f.Upstream)
		}
		out = table.Gathered(began.Add(20*time.Millisecond), answer(f), out)
	}
	slices.Sort(legs)
	if len(direct) != 0 || len(legs) != wideShards || len(slices.Compact(legs)) != wideShards {
		t.Errorf("got %d direct attempts and shards %v, want each shard in one portion", len(direct), legs)
	}
	i := slices.IndexFunc(out, func(e effect.Effect) bool { _, ok := e.(effect.SendMergedResponse); return ok })
	if i < 0 || len(out[i].(effect.SendMergedResponse).Response.Receipts) != wideShards {
		t.Errorf("got %v, want a merged answer of all shards", out)
	}
}

// Guards against upstreams whose connections are used up by VMs that each need
// them once in a while: after a power loss those of the earlier processes count,
// too, and new ones are reset.
func TestDirectAttemptsKeepConnectionsShortly(t *testing.T) {
	if _, few := forwards(ask(wide(t), began, 1, nil)); len(few) == 0 || few[0].IdleTimeout != 0 {
		t.Errorf("got %d attempts with a bound on idle connections in a small fleet, want none", len(few))
	}
	table := wide(t)
	const fleet = 60 // as many as an upstream accepts connections
	table.Roster(began, event.UpstreamList{Checksum: 1, ReadAt: began, EntryVMCount: fleet}, nil)
	_, direct := forwards(ask(table, began, 1, nil))
	for _, f := range direct {
		if f.IdleTimeout <= 0 || f.IdleTimeout > 4*time.Second {
			t.Fatalf("got a connection to %s that may stay idle for %s, want 4s at most", f.Upstream, f.IdleTimeout)
		}
	}
	table = wide(t)
	table.Roster(began, event.UpstreamList{Checksum: 1, ReadAt: began, EntryVMCount: fleet}, nil)
	_, gathered := forwards(ask(table, began, 2, &model.Portion{DocumentVersion: 1, Shards: []int{0, 1}}))
	for _, f := range gathered {
		if f.IdleTimeout != 0 {
			t.Errorf("got a connection to %s that may stay idle for %s only, want no bound for the shards that this VM gathers", f.Upstream, f.IdleTimeout)
		}
	}
	if len(direct) != wideShards || len(gathered) != 2 {
		t.Errorf("got %d direct attempts and %d for a portion, want %d and 2", len(direct), len(gathered), wideShards)
	}
}

// Guards against a call that waits for a VM which is silent, and against portions
// that go on to it.
func TestSilentHelper(t *testing.T) {
	silent := daemonIn("a", 1)
	table := wide(t, silent, daemonIn("b", 1))
	out := ask(table, began, 1, nil)
	portions, _ := forwards(out)
	at, lost := began, 0
	for _, f := range portions {
		if f.Upstream == "vm "+model.UpstreamID(silent.ID) {
			lost += len(f.Portion.Shards)
			continue
		}
		at = began.Add(10 * time.Millisecond)
		out = append(out, table.Gathered(at, answer(f), nil)...)
	}
	var direct []effect.Forward
	for range 20 {
		at, out = wake(table, at, out)
		_, more := forwards(out)
		direct = append(direct, more...)
	}
	if len(direct) != lost || lost == 0 || at.Sub(began) > time.Second {
		t.Errorf("got %d direct attempts, want one for each of the %d shards of the silent VM", len(direct), lost)
	}
	again, _ := forwards(ask(table, began.Add(60*time.Millisecond), 2, nil))
	for _, f := range again {
		if f.Upstream == "vm "+model.UpstreamID(silent.ID) {
			t.Error("the silent VM gets another portion at once")
		}
	}
}

// Guards against shards that are asked twice because two VMs with a part of a core
// take longer over a portion than those with a whole one: 40% of the second
// attempts were for portions that came within 8 ms.
func TestPortionOfSmallVMsIsWaitedFor(t *testing.T) {
	table := wideOn(0.134, 0.6, daemonIn("a", 1), daemonIn("b", 1))
	ask(table, began, 1, nil)
	const late = 40 * time.Millisecond
	out := table.Timer(began.Add(late), event.TimerID{Kind: event.TimerProxyRequest, N: 1}, nil)
	if _, direct := forwards(out); len(direct) > 0 {
		t.Errorf("got %d direct attempts after %s, want the portions waited for", len(direct), late)
	}
}

// Guards against a zone that is cut off and makes every call wait for one of its
// VMs after the other.
func TestZoneOfFailingHelpersIsAvoided(t *testing.T) {
	table := wide(t, daemonIn("a", 1), daemonIn("b", 1), daemonIn("b", 2), daemonIn("b", 3), daemonIn("b", 4))
	far := func(at time.Time, id model.RequestID) (f effect.Forward, ok bool) {
		portions, _ := forwards(ask(table, at, id, nil))
		i := slices.IndexFunc(portions, func(f effect.Forward) bool { return slices.Contains(f.Portion.Shards, wideShards-1) })
		if i < 0 {
			return f, false
		}
		return portions[i], true
	}
	at := began
	for id := range model.RequestID(2) {
		f, ok := far(at, id+1)
		if !ok {
			t.Fatal("the shards without an upstream in the zone are not given to another zone")
		}
		table.Failed(at, event.AttemptFailed{Attempt: f.Attempt, Reason: model.FailedTimeout, Ran: model.RanUnknown}, nil)
		at = at.Add(100 * time.Millisecond)
	}
	if f, ok := far(at, 3); ok {
		t.Errorf("got a portion at %s after two VMs of its zone failed", f.Upstream)
	}
	if _, ok := far(at.Add(4*time.Second), 4); !ok {
		t.Error("the zone is still avoided after 4s")
	}
}

// gathers returns the answers to another VM.
func gathers(out []effect.Effect) []effect.SendPortionResult {
	var list []effect.SendPortionResult
	for _, e := range out {
		if g, ok := e.(effect.SendPortionResult); ok {
			list = append(list, g)
		}
	}
	return list
}

func returned(f effect.Forward, receipt string) event.ResponseReceived {
	return event.ResponseReceived{Attempt: f.Attempt, Receipt: receipt, Response: model.Response{Status: 200, Body: []byte("0123456789abcdef")}}
}

// Guards against a helper that holds the shards it has until those of a paused
// upstream come, that loses a late answer, or that makes the second attempt.
func TestHelperSendsLateShardsAfterTheOthers(t *testing.T) {
	table := wide(t)
	out := ask(table, began, 1, &model.Portion{DocumentVersion: 1, Shards: []int{3, 5, 7}})
	_, direct := forwards(out)
	if len(direct) != 3 {
		t.Fatalf("got %d attempts, want 3", len(direct))
	}
	at := began.Add(5 * time.Millisecond)
	out = append(out, table.Returned(at, returned(direct[0], "r3"), nil)...)
	out = append(out, table.Returned(at, returned(direct[1], "r5"), nil)...)
	at, out = wake(table, at, out)
	want := []effect.SendPortionResult{{
		Request: 1, More: true, Records: []byte("0123456789abcdef0123456789abcdef"),
		Results: []model.ShardResult{
			{Shard: 3, Upstream: direct[0].Upstream, Receipt: "r3"},
			{Shard: 5, Upstream: direct[1].Upstream, Receipt: "r5"},
			{Shard: 7, Upstream: direct[2].Upstream, Pending: true},
		},
	}}
	if got := gathers(out); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v once the last shard is overdue", got, want)
	}
	if _, more := forwards(out); len(more) > 0 {
		t.Errorf("the helper makes %d further attempts", len(more))
	}
	out = table.Returned(at.Add(10*time.Millisecond), returned(direct[2], "r7"), nil)
	want = []effect.SendPortionResult{{
		Request: 1, Records: []byte("0123456789abcdef"), Results: []model.ShardResult{{Shard: 7, Upstream: direct[2].Upstream, Receipt: "r7"}},
	}}
	if got := gathers(out); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Guards against a second attempt on the upstream that holds up the first one,
// which another VM made.
func TestSecondAttemptAvoidsTheHelpersUpstream(t *testing.T) {
	for _, held := range []model.UpstreamID{"s0/a", "s0/b"} {
		table := wide(t, daemonIn("a", 1), daemonIn("b", 1))
		out := ask(table, began, 1, nil)
		portions, _ := forwards(out)
		at := began.Add(5 * time.Millisecond)
		for _, f := range portions {
			g := answer(f)
			if slices.Contains(f.Portion.Shards, 0) {
				g.More = true
				g.Results[0] = model.ShardResult{Shard: 0, Upstream: held, Pending: true}
			}
			out = append(out, table.Gathered(at, g, nil)...)
		}
		var direct []effect.Forward
		for range 5 {
			at, out = wake(table, at, out)
			_, more := forwards(out)
			direct = append(direct, more...)
		}
		if len(direct) != 1 || direct[0].Upstream == held {
			t.Errorf("got direct attempts %+v, want one that is not on %s", direct, held)
		}
	}
}

// Guards against a shard that is given back because its upstream is gone, though
// no attempt was made.
func TestHelperTriesAnotherUpstreamAfterARefusal(t *testing.T) {
	table := wide(t)
	_, direct := forwards(ask(table, began, 1, &model.Portion{DocumentVersion: 1, Shards: []int{3}}))
	gone := direct[0]
	_, direct = forwards(table.Failed(began.Add(time.Millisecond), event.AttemptFailed{Attempt: gone.Attempt, Reason: model.FailedRefused, Ran: model.RanNo}, nil))
	if len(direct) != 1 || direct[0].Upstream == gone.Upstream {
		t.Fatalf("got attempts %+v after a refusal by %s, want one on the other upstream", direct, gone.Upstream)
	}
	got := gathers(table.Returned(began.Add(5*time.Millisecond), returned(direct[0], "r3"), nil))
	want := []model.ShardResult{{Shard: 3, Upstream: direct[0].Upstream, Receipt: "r3"}}
	if len(got) != 1 || got[0].More || !slices.Equal(got[0].Results, want) {
		t.Errorf("got %+v, want pieces %+v", got, want)
	}
}

// Guards against an origin that learns of a shed only with the answers of the
// other shards, too late to try another upstream.
func TestHelperTellsFailuresEarly(t *testing.T) {
	table := wide(t)
	out := ask(table, began, 1, &model.Portion{DocumentVersion: 1, Shards: []int{3, 5}})
	_, direct := forwards(out)
	at := began.Add(2 * time.Millisecond)
	out = append(out, table.Returned(at, event.ResponseReceived{Attempt: direct[0].Attempt, NotRun: true, Response: model.Response{Status: 503}}, nil)...)
	at, out = wake(table, at, out)
	want := []effect.SendPortionResult{{Request: 1, More: true, Records: []byte{}, Results: []model.ShardResult{{Shard: 3, Upstream: direct[0].Upstream}}}}
	if got := gathers(out); !reflect.DeepEqual(got, want) || at.Sub(began) > 6*time.Millisecond {
		t.Errorf("got %+v after %v, want %+v within 6ms", got, at.Sub(began), want)
	}
}

// Guards against a late shard that is lost once a direct attempt was made beside
// it, and against one that counts twice.
func TestLateShardOfPortionCounts(t *testing.T) {
	table := wide(t, daemonIn("a", 1), daemonIn("b", 1))
	portions, _ := forwards(ask(table, began, 1, nil))
	at := began.Add(10 * time.Millisecond)
	var last effect.Forward
	for _, f := range portions {
		g := answer(f)
		if slices.Contains(f.Portion.Shards, 0) {
			last = f
			g.Results, g.More = g.Results[1:], true
		}
		table.Gathered(at, g, nil)
	}
	out := table.Gathered(at.Add(time.Millisecond), event.PortionResult{
		Attempt: last.Attempt, Results: []model.ShardResult{{Shard: 0, Upstream: "u", Receipt: "r0"}}, Records: []byte("fedcba9876543210"),
	}, nil)
	i := slices.IndexFunc(out, func(e effect.Effect) bool { _, ok := e.(effect.SendMergedResponse); return ok })
	if i < 0 || out[i].(effect.SendMergedResponse).Response.MissingShards != 0 || !bytes.Contains(out[i].(effect.SendMergedResponse).Response.Records, []byte("fedcba9876543210")) {
		t.Errorf("got %v, want a whole answer with the late shard's record", out)
	}
}

// Guards against shards of another document than the one that the caller's VM
// goes by.
func TestPortionOfAnotherDocumentIsRefused(t *testing.T) {
	out := ask(wide(t), began, 1, &model.Portion{DocumentVersion: 2, Shards: []int{3}})
	if _, direct := forwards(out); len(direct) > 0 {
		t.Errorf("got %d attempts for a document that is not in force", len(direct))
	}
	if !slices.ContainsFunc(out, func(e effect.Effect) bool {
		r, ok := e.(effect.Refuse)
		return ok && r.Rejection.Ran == model.RanNo
	}) {
		t.Errorf("got %v, want a refusal that states that nothing ran", out)
	}
}

// Guards against portions that are refused after each change because the other VM
// does not have the document yet.
func TestPortionOfAnEarlierDocumentIsTaken(t *testing.T) {
	table := wide(t)
	table.View(began, event.View{Topology: &model.Topology{Document: &model.Document{Version: 2}}}, nil)
	out := ask(table, began, 1, &model.Portion{DocumentVersion: 1, Shards: []int{3}})
	if _, direct := forwards(out); len(direct) != 1 {
		t.Errorf("got %d attempts and %+v for a portion of the document before, want 1", len(direct), refusal(out))
	}
	const late = 200 * time.Millisecond // upstreams have seen the new version for so long
	if _, direct := forwards(ask(table, began.Add(late), 2, &model.Portion{DocumentVersion: 1, Shards: []int{3}})); len(direct) != 0 {
		t.Errorf("got %d attempts for a portion of a document replaced %s ago", len(direct), late)
	}
}

// Guards against a helper that stays with an upstream which sheds, since bytes
// from another zone are charged.
func TestFailingUpstreamIsNotPreferredForItsZone(t *testing.T) {
	table := wide(t)
	at := began
	var last model.UpstreamID
	for id := range model.RequestID(2) {
		_, direct := forwards(ask(table, at, id+1, &model.Portion{DocumentVersion: 1, Shards: []int{3}}))
		if len(direct) != 1 {
			t.Fatalf("got %d attempts, want 1", len(direct))
		}
		if last = direct[0].Upstream; last == "s3/b" {
			break
		}
		table.Returned(at.Add(time.Millisecond), event.ResponseReceived{Attempt: direct[0].Attempt, NotRun: true, Response: model.Response{Status: 503}}, nil)
		at = at.Add(100 * time.Millisecond)
	}
	if last != "s3/b" {
		t.Errorf("got attempts on %s after it shed the first one, want one on the other upstream", last)
	}
}

// Guards against a line that does not tell whether a failed request could have
// been tried again, and one of a portion that hides its missing shards.
func TestTraceSaysWhatTheRouteAllows(t *testing.T) {
	table := wide(t)
	_, direct := forwards(ask(table, began, 1, &model.Portion{DocumentVersion: 1, Shards: []int{3}}))
	out := table.Failed(began.Add(time.Millisecond), event.AttemptFailed{Attempt: direct[0].Attempt, Reason: model.FailedReset, Ran: model.RanUnknown}, nil)
	i := slices.IndexFunc(out, func(e effect.Effect) bool { _, ok := e.(effect.Trace); return ok })
	if i < 0 {
		t.Fatalf("got %v, want a trace", out)
	}
	if got := out[i].(effect.Trace); got.MaxAttempts != 1 || got.Outcome != "incomplete" {
		t.Errorf("got %d attempts allowed and outcome %q, want 1 and incomplete", got.MaxAttempts, got.Outcome)
	}
}
