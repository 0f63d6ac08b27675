package route

import (
	"slices"
	"testing"
	"time"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newBalancer knows one shard with a replica in each zone, named "u" and the
// zone. The first zone is that of the VM.
func newBalancer(zones ...model.Zone) *Balancer {
	t := &model.Topology{Upstreams: make(map[model.UpstreamID]model.Upstream)}
	quota := model.Quota{Conns: make(map[model.UpstreamID]int)}
	for _, zone := range zones {
		id := model.UpstreamID("u" + zone)
		t.Upstreams[id] = model.Upstream{ID: id, Zone: zone, Index: "pairing", Slots: 2}
		quota.Conns[id] = 4
	}
	var b Balancer
	b.SetTopology(t, quota, zones[0])
	for _, zone := range zones {
		b.RecordProbe(startTime, healthyReport(model.UpstreamID("u"+zone)))
	}
	return &b
}

// healthyReport reports that an upstream holds the shard at version 1 and at the
// given versions.
func healthyReport(id model.UpstreamID, versions ...model.SnapshotVersion) event.ProbeResult {
	r := event.ProbeResult{Upstream: id, Reachable: true}
	for _, v := range append([]model.SnapshotVersion{1}, versions...) {
		r.Snapshots = append(r.Snapshots, model.HeldSnapshot{Index: "pairing", Version: v, ShardCount: 1, HeldShards: []int{0}})
	}
	return r
}

func (b *Balancer) mustPick(t *testing.T, at time.Time) model.UpstreamID {
	t.Helper()
	c, ok := b.Pick(at, "pairing", 1, 0, nil)
	if !ok {
		t.Fatal("no replica can be picked")
	}
	return c.Upstream.ID
}

// Guards against removing an upstream from service when a probe is lost although
// the upstream answers attempts.
func TestLostProbeOfAnAnsweringUpstreamIsIgnored(t *testing.T) {
	b := newBalancer("a")
	b.DueProbes(startTime)
	b.RecordStart("ua")
	b.RecordAnswer(startTime.Add(time.Millisecond), "ua", time.Millisecond, nil, false)
	b.RecordProbe(startTime.Add(time.Second), event.ProbeResult{Upstream: "ua"})
	if !b.HasCapacity(startTime.Add(time.Second), "ua") {
		t.Error("the upstream gets no attempts, although it answered after the probe was sent")
	}
}

// Guards against probing dead upstreams as often as healthy ones, and against
// probing healthy ones too rarely to notice a drain within 2 s.
func TestProbesBackOffWhileDown(t *testing.T) {
	b := newBalancer("a")
	count := func(from time.Time, answer bool) int {
		n := 0
		for ms := range 10_000 {
			at := from.Add(time.Duration(ms) * time.Millisecond)
			for _, id := range b.DueProbes(at) {
				n++
				if answer {
					b.RecordProbe(at, healthyReport(id))
				} else {
					b.RecordProbe(at, event.ProbeResult{Upstream: id})
				}
			}
		}
		return n
	}
	if got := count(startTime, true); got < 10 || got > 40 {
		t.Errorf("got %d probes of a healthy upstream in 10 s, want 10 to 40", got)
	}
	if got := count(startTime.Add(10*time.Second), false); got < 3 || got > 15 {
		t.Errorf("got %d probes of a dead upstream in 10 s, want 3 to 15", got)
	}
}

// Guards against ignoring the measured round trips of probes when a replica is
// picked.
func TestZoneDistanceIsLearnt(t *testing.T) {
	b := newBalancer("a", "b")
	for n := range 50 {
		at := startTime.Add(time.Duration(n) * time.Second)
		b.DueProbes(at)
		b.RecordProbe(at.Add(time.Millisecond), healthyReport("ua"))
		b.RecordProbe(at.Add(4*time.Millisecond), healthyReport("ub"))
	}
	if got := b.distance("b"); got < 2500*time.Microsecond || got > 3500*time.Microsecond {
		t.Errorf("got a distance of %v, want about 3 ms", got)
	}
	if got := b.mustPick(t, startTime.Add(time.Minute)); got != "ua" {
		t.Errorf("got replica %s, want the one in the own zone", got)
	}
}

// Guards against trusting an upstream that reports no load while it is slow.
func TestReportsThatDisagreeLoseTrust(t *testing.T) {
	b := newBalancer("a")
	u := b.upstreams["ua"]
	at := startTime
	for n := range 50 {
		at = at.Add(10 * time.Millisecond)
		latency := 5 * time.Millisecond
		if n > 0 {
			latency = 80 * time.Millisecond
		}
		b.RecordStart("ua")
		b.RecordAnswer(at, "ua", latency, &model.Load{Slots: 2}, false)
	}
	if got := u.loadTrust(at); got > 0.1 {
		t.Errorf("got trust %.2f in reports without load, want at most 0.1", got)
	}
}

// Guards against sending a restarted upstream its full share of attempts at
// once.
func TestRestartedUpstreamStartsSlowly(t *testing.T) {
	b := newBalancer("a", "b")
	b.RecordFailure(startTime, "ua", 1, 0, 0, event.AttemptFailed{Reason: model.FailedRefused})
	b.RecordProbe(startTime.Add(time.Millisecond), event.ProbeResult{Upstream: "ua"})
	back := startTime.Add(time.Second)
	b.RecordProbe(back, healthyReport("ua"))
	if got := b.mustPick(t, back); got != "ub" {
		t.Errorf("got replica %s right after the restart, want the other one", got)
	}
	if got := b.upstreams["ua"].attemptLimit; got != 1 {
		t.Errorf("got a limit of %v attempts after the restart, want 1", got)
	}
}

// Guards against attempts within the whole pause that an upstream asks for, also a long
// one, and against a pause that goes on after a restart of the upstream.
func TestUpstreamGetsNothingInItsPause(t *testing.T) {
	for _, reason := range []model.FailureReason{model.FailedShed, model.FailedCold} {
		b := newBalancer("a", "b")
		b.RecordFailure(startTime, "ua", 1, 0, 0, event.AttemptFailed{Reason: reason, RetryAfter: 10500 * time.Millisecond})
		b.RecordProbe(startTime.Add(time.Second), healthyReport("ua"))
		for _, after := range []time.Duration{0, 4 * time.Second, 6 * time.Second, 10400 * time.Millisecond} {
			if got := b.mustPick(t, startTime.Add(after)); got != "ub" {
				t.Errorf("%s: got replica %s %v into a pause of 10.5s, want the other one", reason, got, after)
			}
		}
		if got, want := b.PausedFor(startTime.Add(10*time.Second), []model.UpstreamID{"ua"}), 500*time.Millisecond; got != want {
			t.Errorf("%s: got a pause for %v more, want %v", reason, got, want)
		}
		b.RecordFailure(startTime, "ua", 1, 0, 0, event.AttemptFailed{Reason: model.FailedRefused})
		b.RecordProbe(startTime.Add(2*time.Second), event.ProbeResult{Upstream: "ua"})
		b.RecordProbe(startTime.Add(3*time.Second), healthyReport("ua"))
		if got := b.PausedFor(startTime.Add(3*time.Second), []model.UpstreamID{"ua"}); got != 0 {
			t.Errorf("%s: got a pause for %v more after a restart, want none", reason, got)
		}
	}
}

// Guards against pinning the newest version while its replicas cover fewer of
// its shards than those of an older one.
func TestSelectVersionPrefersCoverageThenTheNewest(t *testing.T) {
	b := newBalancer("a", "b")
	b.RecordProbe(startTime, healthyReport("ua", 2))
	if v, _, _ := b.SelectVersion(startTime, "pairing", 0); v != 2 {
		t.Errorf("got version %d, want 2, which covers as much", v)
	}
	b.RecordProbe(startTime, event.ProbeResult{Upstream: "ua", Reachable: true, Snapshots: []model.HeldSnapshot{
		{Index: "pairing", Version: 1, ShardCount: 1, HeldShards: []int{0}}, {Index: "pairing", Version: 3, ShardCount: 2, HeldShards: []int{0}},
	}})
	if v, _, _ := b.SelectVersion(startTime, "pairing", 0); v != 1 {
		t.Errorf("got version %d, want 1, since half of version 3 is missing", v)
	}
}

// Guards against probing a removed upstream and not probing an added one.
func TestProbesFollowTheConfiguration(t *testing.T) {
	b := newBalancer("a", "b")
	b.SetTopology(&model.Topology{Upstreams: map[model.UpstreamID]model.Upstream{
		"ua": {ID: "ua", Zone: "a", Index: "pairing", Slots: 2}, "uc": {ID: "uc", Zone: "a", Index: "pairing", Slots: 2},
	}}, model.Quota{Conns: map[model.UpstreamID]int{"ua": 4, "uc": 4}}, "a")
	got := b.DueProbes(startTime.Add(time.Hour))
	if want := []model.UpstreamID{"ua", "uc"}; !slices.Equal(got, want) {
		t.Errorf("got probes of %v, want %v", got, want)
	}
}

// Guards against ignoring a new quota because its ConnsVersion equals that for
// another topology, or is 0, which states nothing.
func TestOnlyTheSameConnsVersionIsSkipped(t *testing.T) {
	b := newBalancer("a")
	topology := &model.Topology{Upstreams: map[model.UpstreamID]model.Upstream{"ua": {ID: "ua", Zone: "a", Index: "pairing", Slots: 2}}}
	for i, step := range []struct {
		topology     model.Topology
		connsVersion uint64
		conns        int
	}{{*topology, 1, 3}, {*topology, 1, 2}, {*topology, 0, 1}, {*topology, 0, 5}} {
		b.SetTopology(&step.topology, model.Quota{Conns: map[model.UpstreamID]int{"ua": step.conns}, ConnsVersion: step.connsVersion}, "a")
		if _, got := b.Upstream("ua"); got != step.conns {
			t.Errorf("step %d: got %d connections, want %d", i, got, step.conns)
		}
	}
}

// Guards against a lagging report that returns an upstream to service which has
// refused an attempt as draining, and against keeping the upstream out of
// service after a report has confirmed the drain and a later one its end.
func TestRefusalAsDrainedOutweighsOlderReports(t *testing.T) {
	b := newBalancer("a")
	b.RecordFailure(startTime, "ua", 1, 0, 0, event.AttemptFailed{Reason: model.FailedDrained})
	for n := range 20 {
		at := startTime.Add(time.Duration(n) * healthyProbeInterval)
		b.RecordProbe(at, healthyReport("ua"))
		if b.HasCapacity(at, "ua") {
			t.Fatalf("a report %v after the refusal brought the upstream back", at.Sub(startTime))
		}
	}
	at := startTime.Add(20 * healthyProbeInterval)
	confirmed := healthyReport("ua")
	confirmed.Draining = true
	b.RecordProbe(at, confirmed)
	b.RecordProbe(at.Add(healthyProbeInterval), healthyReport("ua"))
	if !b.HasCapacity(at.Add(healthyProbeInterval), "ua") {
		t.Error("the upstream gets no attempts although its report went from drained to active")
	}
}

// Guards against a lagging report that lists a shard again which the upstream
// has refused as not held, and against ignoring the shard for good.
func TestRefusedShardOutweighsOlderReports(t *testing.T) {
	b := newBalancer("a")
	b.RecordProbe(startTime, healthyReport("ua", 2))
	b.RecordFailure(startTime, "ua", 2, 0, 0, event.AttemptFailed{Reason: model.FailedVersion})
	b.RecordProbe(startTime.Add(healthyProbeInterval), healthyReport("ua", 2))
	if v, _, _ := b.SelectVersion(startTime, "pairing", 0); v != 1 {
		t.Errorf("got version %d after a refusal of version 2, want 1", v)
	}
	b.RecordProbe(startTime.Add(2*healthyProbeInterval), healthyReport("ua"))
	b.RecordProbe(startTime.Add(3*healthyProbeInterval), healthyReport("ua", 2))
	if v, _, _ := b.SelectVersion(startTime, "pairing", 0); v != 2 {
		t.Errorf("got version %d after the shard was taken over anew, want 2", v)
	}
}

// Guards against a VM in a cut-off zone that mistakes unreachable upstreams for
// overloaded ones: missed deadlines must not count as overload while an
// upstream is silent.
func TestSilentUpstream(t *testing.T) {
	b := newBalancer("a", "b")
	sent := startTime.Add(time.Second)
	if !b.SilentSince("ua", sent) {
		t.Error("got not silent for an upstream that said nothing since, want silent")
	}
	b.RecordStart("ua")
	b.RecordAnswer(sent.Add(time.Millisecond), "ua", time.Millisecond, nil, false)
	if b.SilentSince("ua", sent) {
		t.Error("got silent for an upstream that answered since, want not silent")
	}
	b.RecordProbe(sent.Add(time.Millisecond), healthyReport("ub"))
	if b.SilentSince("ub", sent) {
		t.Error("got silent for an upstream that reported since, want not silent")
	}
}
