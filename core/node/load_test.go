package node_test

import (
	"testing"
	"time"

	"comfreypulley/core/model"
)

// newPairingSim simulates the present size of the index "pairing", without faults.
func newPairingSim(loads ...*customerLoad) *loadSim {
	return &loadSim{
		seed: 7, vms: 17, shards: 10, slots: 3, conns: 3, capacity: 1, serviceTime: 3 * time.Millisecond, slowAnswerRate: 0,
		duration: 3 * time.Second, warmUp: time.Second, loads: loads,
	}
}

// Guards against congestion collapse: with an offered load of twice the capacity,
// fewer requests are answered, and refusals come late.
func TestGoodputHoldsAtTwiceTheCapacity(t *testing.T) {
	peak := 0.0
	for _, rate := range []float64{1500, 2000, 2400, 2800, 5600} {
		load := &customerLoad{customer: "acme", rate: rate, wait: 100 * time.Millisecond}
		s := newPairingSim(load)
		s.run()
		goodput := float64(load.answered) / (s.duration - s.warmUp).Seconds()
		t.Logf("offered %v/s: goodput %.0f/s, p50 %v, p99 %v, refusals %v p99 %v, %.3f attempts per shard, %d false refusals",
			rate, goodput, quantile(load.latencies, 0.5), quantile(load.latencies, 0.99), load.refused, quantile(load.refusalLatencies, 0.99),
			s.attemptsPerShard(), s.falseRefusals)
		if rate <= 1500 && len(load.refused) > 0 {
			t.Errorf("got refusals %v at half of the capacity, want none", load.refused)
		}
		if rate < 5600 {
			peak = max(peak, goodput)
			continue
		}
		if goodput < 0.85*peak {
			t.Errorf("got goodput %.0f/s at twice the capacity, want at least 0.85 of %.0f/s", goodput, peak)
		}
		if got := quantile(load.refusalLatencies, 0.99); got > 5*time.Millisecond {
			t.Errorf("got refusals after %v at p99, want at most 5 ms", got)
		}
		if s.falseRefusals != 0 {
			t.Errorf("got %d false refusals, want 0", s.falseRefusals)
		}
	}
}

// Guards against a slow replica that receives as much load as before, and
// against hedges beyond the retry budget.
func TestSlowReplicaIsAvoidedWithinTheBudget(t *testing.T) {
	var p99 [2]time.Duration
	for i, baseline := range []bool{true, false} {
		load := &customerLoad{customer: "acme", rate: 300, wait: time.Second}
		s := newPairingSim(load)
		s.baseline, s.slowAnswerRate, s.slowFactor, s.duration = baseline, 0.01, map[model.UpstreamID]float64{"u0-0": 20}, 5*time.Second
		s.run()
		p99[i] = quantile(load.latencies, 0.99)
		t.Logf("baseline %v: p50 %v, p99 %v, %.3f attempts per shard, %d of %d to the slow replica, refused %v",
			baseline, quantile(load.latencies, 0.5), p99[i], s.attemptsPerShard(), s.attemptsByUpstream["u0-0"], s.attemptCount, load.refused)
		if !baseline && s.attemptsPerShard() > 1.05 {
			t.Errorf("got %.3f attempts per shard, want at most 1.05", s.attemptsPerShard())
		}
	}
	if got, want := p99[1].Seconds(), 0.35*p99[0].Seconds(); got > want {
		t.Errorf("got p99 %v, want at most 0.35 of %v", p99[1], p99[0])
	}
}

// Guards against a customer whose overload slows down another customer's requests.
func TestFloodLeavesTheQuietCustomerAlone(t *testing.T) {
	var p99 [2]time.Duration
	for i, flood := range []float64{0, 5000} {
		quiet := &customerLoad{customer: "quiet", rate: 100, wait: 200 * time.Millisecond}
		loads := []*customerLoad{quiet}
		if flood > 0 {
			loads = append(loads, &customerLoad{customer: "loud", rate: flood, wait: 200 * time.Millisecond})
		}
		s := newPairingSim(loads...)
		s.capacity = 0.5
		s.run()
		p99[i] = quantile(quiet.latencies, 0.99)
		if got := float64(quiet.answered) / float64(quiet.requests); got < 0.95 {
			t.Errorf("flood %v/s: got %.3f of the quiet customer's requests answered, want at least 0.95", flood, got)
		}
		t.Logf("flood %v/s: quiet p50 %v, p99 %v, refused %v; %.3f attempts per shard",
			flood, quantile(quiet.latencies, 0.5), p99[i], quiet.refused, s.attemptsPerShard())
	}
	if got, want := p99[1].Seconds(), 1.3*p99[0].Seconds(); got > want {
		t.Errorf("got p99 %v beside a flood, want at most 1.3 of %v", p99[1], p99[0])
	}
}

// Guards against incomplete answers after the loss of a replica and then of a
// whole zone.
func TestLostReplicaAndZoneAreRoutedAround(t *testing.T) {
	load := &customerLoad{customer: "acme", rate: 300, wait: 100 * time.Millisecond}
	s := newPairingSim(load)
	s.duration, s.warmUp = 6*time.Second, 5*time.Second
	s.actions = map[time.Duration]func(*loadSim){
		time.Second: func(s *loadSim) { s.upstreams["u0-0"].down = true },
		3 * time.Second: func(s *loadSim) {
			for _, u := range s.upstreams {
				u.down = u.down || u.id[len(u.id)-1] == '1'
			}
		},
	}
	s.run()
	t.Logf("%d of %d answered, p99 %v, refused %v, %.3f attempts per shard",
		load.answered, load.requests, quantile(load.latencies, 0.99), load.refused, s.attemptsPerShard())
	if got := float64(load.answered) / float64(load.requests); got < 0.999 {
		t.Errorf("got %.4f of the requests answered 2 s after the loss, want at least 0.999", got)
	}
}

// Guards against a replica that receives no requests after it was slow once.
func TestRecoveredReplicaIsNoticed(t *testing.T) {
	load := &customerLoad{customer: "acme", rate: 600, wait: time.Second}
	s := newPairingSim(load)
	s.slowFactor, s.duration, s.warmUp = map[model.UpstreamID]float64{"u0-0": 20}, 14*time.Second, 13*time.Second
	s.actions = map[time.Duration]func(*loadSim){2 * time.Second: func(s *loadSim) { delete(s.slowFactor, "u0-0") }}
	s.run()
	if got, want := s.attemptsByUpstream["u0-0"], s.attemptsByUpstream["u0-1"]/3; got < want {
		t.Errorf("got %d attempts in the last second, want at least %d", got, want)
	}
}

// Guards against answers that mix versions, state a wrong number of shards or are
// missing while new snapshot versions are rolled out to one upstream after another.
// In the second run an upstream holds the old and the new version for a time. The
// last version has more shards.
func TestQueriesSurviveRolloutsAndARepartition(t *testing.T) {
	for _, overlap := range []time.Duration{0, 1400 * time.Millisecond} {
		load := &customerLoad{customer: "acme", rate: 300, wait: 200 * time.Millisecond}
		s := newPairingSim(load)
		s.duration, s.warmUp, s.splitFrom = 8*time.Second, 100*time.Millisecond, 4
		s.actions = make(map[time.Duration]func(*loadSim))
		due := time.Second
		for version := model.SnapshotVersion(2); version <= 4; version++ {
			for n := range 3 * s.shards {
				id := simUpstreamID(n%s.shards, n/s.shards)
				due += 50 * time.Millisecond
				s.actions[due] = func(s *loadSim) { s.upstreams[id].versions = []model.SnapshotVersion{version - 1, version} }
				s.actions[due+overlap+time.Microsecond] = func(s *loadSim) { s.upstreams[id].versions = []model.SnapshotVersion{version} }
			}
		}
		s.run()
		t.Logf("overlap %v: %d of %d answered, p99 %v, refused %v, %.3f attempts per shard",
			overlap, load.answered, load.requests, quantile(load.latencies, 0.99), load.refused, s.attemptsPerShard())
		if got := float64(load.answered) / float64(load.requests); got < 0.99 {
			t.Errorf("overlap %v: got %.4f of the requests answered, want at least 0.99", overlap, got)
		}
		if s.mixedAnswers+s.wrongTotals != 0 {
			t.Errorf("overlap %v: got %d answers with mixed versions and %d with a wrong number of shards, want 0",
				overlap, s.mixedAnswers, s.wrongTotals)
		}
	}
}
