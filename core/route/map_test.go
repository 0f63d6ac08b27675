package route

import (
	"slices"
	"testing"
	"time"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newMap has one shard with a replica in each zone.
func newMap(zones ...model.Zone) *Map {
	t := &model.Topology{Upstreams: make(map[model.UpstreamID]model.Upstream)}
	share := model.Quota{Conns: make(map[model.UpstreamID]int)}
	for _, zone := range zones {
		id := model.UpstreamID("u" + zone)
		t.Upstreams[id] = model.Upstream{ID: id, Zone: zone, Index: "pairing", Slots: 2}
		share.Conns[id] = 4
	}
	var m Map
	m.SetTopology(t, share, zones[0])
	for _, zone := range zones {
		m.Report(began, up(model.UpstreamID("u"+zone)))
	}
	return &m
}

func up(id model.UpstreamID, versions ...model.SnapshotVersion) event.ProbeResult {
	r := event.ProbeResult{Upstream: id, Reachable: true}
	for _, v := range append([]model.SnapshotVersion{1}, versions...) {
		r.Snapshots = append(r.Snapshots, model.HeldSnapshot{Index: "pairing", Version: v, ShardCount: 1, HeldShards: []int{0}})
	}
	return r
}

func (m *Map) pick(t *testing.T, at time.Time) model.UpstreamID {
	t.Helper()
	c, ok := m.Pick(at, "pairing", 1, 0, nil)
	if !ok {
		t.Fatal("no replica can be picked")
	}
	return c.Upstream.ID
}

// Guards against a lost probe that takes out an upstream which still answers.
func TestLostProbeOfAnAnsweringUpstreamIsIgnored(t *testing.T) {
	m := newMap("a")
	m.Due(began)
	m.Begin("ua")
	m.Answered(began.Add(time.Millisecond), "ua", time.Millisecond, nil, false)
	m.Report(began.Add(time.Second), event.ProbeResult{Upstream: "ua"})
	if !m.Free(began.Add(time.Second), "ua") {
		t.Error("the upstream gets no attempts, although it answered after the probe was sent")
	}
}

// Guards against probes of dead upstreams at the rate of healthy ones, and
// against a healthy one that is probed too seldom to see a drain within 2 s.
func TestProbesBackOffWhileDown(t *testing.T) {
	m := newMap("a")
	count := func(from time.Time, answer bool) int {
		n := 0
		for ms := range 10_000 {
			at := from.Add(time.Duration(ms) * time.Millisecond)
			for _, id := range m.Due(at) {
				n++
				if answer {
					m.Report(at, up(id))
				} else {
					m.Report(at, event.ProbeResult{Upstream: id})
				}
			}
		}
		return n
	}
	if got := count(began, true); got < 10 || got > 40 {
		t.Errorf("got %d probes of a healthy upstream in 10 s, want 10 to 40", got)
	}
	if got := count(began.Add(10*time.Second), false); got < 3 || got > 15 {
		t.Errorf("got %d probes of a dead upstream in 10 s, want 3 to 15", got)
	}
}

// Guards against a zone distance that is assumed: it follows the probes.
func TestZoneDistanceIsLearnt(t *testing.T) {
	m := newMap("a", "b")
	for n := range 50 {
		at := began.Add(time.Duration(n) * time.Second)
		m.Due(at)
		m.Report(at.Add(time.Millisecond), up("ua"))
		m.Report(at.Add(4*time.Millisecond), up("ub"))
	}
	if got := m.distance("b"); got < 2500*time.Microsecond || got > 3500*time.Microsecond {
		t.Errorf("got a distance of %v, want about 3 ms", got)
	}
	if got := m.pick(t, began.Add(time.Minute)); got != "ua" {
		t.Errorf("got replica %s, want the one in the own zone", got)
	}
}

// Guards against trust in an upstream that reports no load while it is slow.
func TestReportsThatDisagreeLoseTrust(t *testing.T) {
	m := newMap("a")
	u := m.upstreams["ua"]
	at := began
	for n := range 50 {
		at = at.Add(10 * time.Millisecond)
		latency := 5 * time.Millisecond
		if n > 0 {
			latency = 80 * time.Millisecond
		}
		m.Begin("ua")
		m.Answered(at, "ua", latency, &model.Load{Slots: 2}, false)
	}
	if got := u.trust(at); got > 0.1 {
		t.Errorf("got trust %.2f in reports without load, want at most 0.1", got)
	}
}

// Guards against a restarted upstream that gets its full share at once.
func TestRestartedUpstreamStartsSlowly(t *testing.T) {
	m := newMap("a", "b")
	m.Failed(began, "ua", 1, 0, 0, event.AttemptFailed{Reason: model.FailedRefused})
	m.Report(began.Add(time.Millisecond), event.ProbeResult{Upstream: "ua"})
	back := began.Add(time.Second)
	m.Report(back, up("ua"))
	if got := m.pick(t, back); got != "ub" {
		t.Errorf("got replica %s right after the restart, want the other one", got)
	}
	if got := m.upstreams["ua"].limit; got != 1 {
		t.Errorf("got a limit of %v attempts after the restart, want 1", got)
	}
}

// Guards against a pinned version that few replicas hold yet.
func TestPinTakesTheNewestOfTheBestCovered(t *testing.T) {
	m := newMap("a", "b")
	m.Report(began, up("ua", 2))
	if v, _, _ := m.Pin(began, "pairing", 0); v != 2 {
		t.Errorf("got version %d, want 2, which covers as much", v)
	}
	m.Report(began, event.ProbeResult{Upstream: "ua", Reachable: true, Snapshots: []model.HeldSnapshot{
		{Index: "pairing", Version: 1, ShardCount: 1, HeldShards: []int{0}}, {Index: "pairing", Version: 3, ShardCount: 2, HeldShards: []int{0}},
	}})
	if v, _, _ := m.Pin(began, "pairing", 0); v != 1 {
		t.Errorf("got version %d, want 1, since half of version 3 is missing", v)
	}
}

// Guards against probes of a removed upstream, and none of an added one.
func TestProbesFollowTheConfiguration(t *testing.T) {
	m := newMap("a", "b")
	m.SetTopology(&model.Topology{Upstreams: map[model.UpstreamID]model.Upstream{
		"ua": {ID: "ua", Zone: "a", Index: "pairing", Slots: 2}, "uc": {ID: "uc", Zone: "a", Index: "pairing", Slots: 2},
	}}, model.Quota{Conns: map[model.UpstreamID]int{"ua": 4, "uc": 4}}, "a")
	got := m.Due(began.Add(time.Hour))
	if want := []model.UpstreamID{"ua", "uc"}; !slices.Equal(got, want) {
		t.Errorf("got probes of %v, want %v", got, want)
	}
}

// Guards against a view that is not taken over because its number of the
// connections is that of another topology, or is not stated.
func TestOnlyTheSameDivisionIsSkipped(t *testing.T) {
	m := newMap("a")
	topology := &model.Topology{Upstreams: map[model.UpstreamID]model.Upstream{"ua": {ID: "ua", Zone: "a", Index: "pairing", Slots: 2}}}
	for i, step := range []struct {
		topology model.Topology
		division uint64
		conns    int
	}{{*topology, 1, 3}, {*topology, 1, 2}, {*topology, 0, 1}, {*topology, 0, 5}} {
		m.SetTopology(&step.topology, model.Quota{Conns: map[model.UpstreamID]int{"ua": step.conns}, ConnsVersion: step.division}, "a")
		if _, got := m.Conns("ua"); got != step.conns {
			t.Errorf("step %d: got %d connections, want %d", i, got, step.conns)
		}
	}
}

// Guards against a lagging report that brings back an upstream which refused as
// drained, and against one that is left out for good after it came back.
func TestRefusalAsDrainedOutweighsOlderReports(t *testing.T) {
	m := newMap("a")
	m.Failed(began, "ua", 1, 0, 0, event.AttemptFailed{Reason: model.FailedDrained})
	for n := range 20 {
		at := began.Add(time.Duration(n) * probeHealthy)
		m.Report(at, up("ua"))
		if m.Free(at, "ua") {
			t.Fatalf("a report %v after the refusal brought the upstream back", at.Sub(began))
		}
	}
	at := began.Add(20 * probeHealthy)
	confirmed := up("ua")
	confirmed.Draining = true
	m.Report(at, confirmed)
	m.Report(at.Add(probeHealthy), up("ua"))
	if !m.Free(at.Add(probeHealthy), "ua") {
		t.Error("the upstream gets no attempts although its report went from drained to active")
	}
}

// Guards against a lagging report that brings back a shard which the upstream
// refused as not held.
func TestRefusedShardOutweighsOlderReports(t *testing.T) {
	m := newMap("a")
	m.Report(began, up("ua", 2))
	m.Failed(began, "ua", 2, 0, 0, event.AttemptFailed{Reason: model.FailedVersion})
	m.Report(began.Add(probeHealthy), up("ua", 2))
	if v, _, _ := m.Pin(began, "pairing", 0); v != 1 {
		t.Errorf("got version %d after a refusal of version 2, want 1", v)
	}
	m.Report(began.Add(2*probeHealthy), up("ua"))
	m.Report(began.Add(3*probeHealthy), up("ua", 2))
	if v, _, _ := m.Pin(began, "pairing", 0); v != 2 {
		t.Errorf("got version %d after the shard was taken over anew, want 2", v)
	}
}

// Guards against a zone that is cut off and takes deadlines missed for its
// silent upstreams for overload of the others.
func TestSilentUpstream(t *testing.T) {
	m := newMap("a", "b")
	sent := began.Add(time.Second)
	if !m.Silent("ua", sent) {
		t.Error("got not silent for an upstream that said nothing since, want silent")
	}
	m.Begin("ua")
	m.Answered(sent.Add(time.Millisecond), "ua", time.Millisecond, nil, false)
	if m.Silent("ua", sent) {
		t.Error("got silent for an upstream that answered since, want not silent")
	}
	m.Report(sent.Add(time.Millisecond), up("ub"))
	if m.Silent("ub", sent) {
		t.Error("got silent for an upstream that reported since, want not silent")
	}
}
