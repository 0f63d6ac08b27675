package node_test

import (
	"testing"
	"time"

	"comfreypulley/core/model"
)

// tabadul is today's shape of caseworker pairing, without faults or load.
func tabadul(streams ...*stream) *sim {
	return &sim{
		seed: 7, vms: 17, shards: 10, slots: 3, conns: 3, capacity: 1, service: 3 * time.Millisecond, rare: 0,
		period: 3 * time.Second, warm: time.Second, streams: streams,
	}
}

// Guards against a collapse under overload: with twice the capacity offered,
// goodput falls and refusals come late.
func TestGoodputHoldsAtTwiceTheCapacity(t *testing.T) {
	peak := 0.0
	for _, rate := range []float64{1500, 2000, 2400, 2800, 5600} {
		st := &stream{customer: "acme", rate: rate, wait: 100 * time.Millisecond}
		s := tabadul(st)
		s.run()
		goodput := float64(st.whole) / (s.period - s.warm).Seconds()
		t.Logf("offered %v/s: goodput %.0f/s, p50 %v, p99 %v, refusals %v p99 %v, extra %.3f, false %d",
			rate, goodput, quantile(st.took, 0.5), quantile(st.took, 0.99), st.refused, quantile(st.refusals, 0.99), s.extra(), s.false)
		if rate <= 1500 && len(st.refused) > 0 {
			t.Errorf("got refusals %v at half of the capacity, want none", st.refused)
		}
		if rate < 5600 {
			peak = max(peak, goodput)
			continue
		}
		if goodput < 0.85*peak {
			t.Errorf("got goodput %.0f/s at twice the capacity, want at least 0.85 of %.0f/s", goodput, peak)
		}
		if got := quantile(st.refusals, 0.99); got > 5*time.Millisecond {
			t.Errorf("got refusals after %v at p99, want at most 5 ms", got)
		}
		if s.false != 0 {
			t.Errorf("got %d false refusals, want 0", s.false)
		}
	}
}

// Guards against a slow replica that keeps its share of the load or is never
// tried again, and against hedges beyond the budget.
func TestSlowReplicaIsAvoidedWithinTheBudget(t *testing.T) {
	var p99 [2]time.Duration
	for i, plain := range []bool{true, false} {
		st := &stream{customer: "acme", rate: 300, wait: time.Second}
		s := tabadul(st)
		s.plain, s.rare, s.slow, s.period = plain, 0.01, map[model.UpstreamID]float64{"u0-0": 20}, 5*time.Second
		s.run()
		p99[i] = quantile(st.took, 0.99)
		t.Logf("plain %v: p50 %v, p99 %v, extra %.3f, to the slow replica %d of %d, refused %v",
			plain, quantile(st.took, 0.5), p99[i], s.extra(), s.sentTo["u0-0"], s.sends, st.refused)
		if !plain && s.extra() > 1.05 {
			t.Errorf("got extra %.3f, want at most 1.05", s.extra())
		}
	}
	if got, want := p99[1].Seconds(), 0.35*p99[0].Seconds(); got > want {
		t.Errorf("got p99 %v, want at most 0.35 of %v", p99[1], p99[0])
	}
}

// Guards against a flooding customer that slows a quiet one down.
func TestFloodLeavesTheQuietCustomerAlone(t *testing.T) {
	var p99 [2]time.Duration
	for i, flood := range []float64{0, 5000} {
		quiet := &stream{customer: "quiet", rate: 100, wait: 200 * time.Millisecond}
		streams := []*stream{quiet}
		if flood > 0 {
			streams = append(streams, &stream{customer: "loud", rate: flood, wait: 200 * time.Millisecond})
		}
		s := tabadul(streams...)
		s.capacity = 0.5
		s.run()
		p99[i] = quantile(quiet.took, 0.99)
		if got := float64(quiet.whole) / float64(quiet.requests); got < 0.95 {
			t.Errorf("flood %v/s: got %.3f of the quiet customer's requests answered, want at least 0.95", flood, got)
		}
		t.Logf("flood %v/s: quiet p50 %v, p99 %v, refused %v; extra %.3f", flood, quantile(quiet.took, 0.5), p99[i], quiet.refused, s.extra())
	}
	if got, want := p99[1].Seconds(), 1.3*p99[0].Seconds(); got > want {
		t.Errorf("got p99 %v beside a flood, want at most 1.3 of %v", p99[1], p99[0])
	}
}

// Guards against answers lost after a replica and then a whole zone is lost.
func TestLostReplicaAndZoneAreRoutedAround(t *testing.T) {
	st := &stream{customer: "acme", rate: 300, wait: 100 * time.Millisecond}
	s := tabadul(st)
	s.period, s.warm = 6*time.Second, 5*time.Second
	s.at = map[time.Duration]func(*sim){
		time.Second: func(s *sim) { s.upstreams["u0-0"].down = true },
		3 * time.Second: func(s *sim) {
			for _, u := range s.upstreams {
				u.down = u.down || u.id[len(u.id)-1] == '1'
			}
		},
	}
	s.run()
	t.Logf("%d of %d whole, p99 %v, refused %v, extra %.3f", st.whole, st.requests, quantile(st.took, 0.99), st.refused, s.extra())
	if got := float64(st.whole) / float64(st.requests); got < 0.999 {
		t.Errorf("got %.4f of the answers whole 2 s after the loss, want at least 0.999", got)
	}
}

// Guards against a replica that was slow once and is never tried again.
func TestRecoveredReplicaIsNoticed(t *testing.T) {
	st := &stream{customer: "acme", rate: 600, wait: time.Second}
	s := tabadul(st)
	s.slow, s.period, s.warm = map[model.UpstreamID]float64{"u0-0": 20}, 14*time.Second, 13*time.Second
	s.at = map[time.Duration]func(*sim){2 * time.Second: func(s *sim) { delete(s.slow, "u0-0") }}
	s.run()
	if got, want := s.sentTo["u0-0"], s.sentTo["u0-1"]/3; got < want {
		t.Errorf("got %d attempts in the last second, want at least %d", got, want)
	}
}

// Guards against mixed, untrue or lost answers while versions roll over all
// upstreams, with and without a time in which an upstream holds both, and the
// last of them splits the index into more shards.
func TestQueriesSurviveRollsAndARepartition(t *testing.T) {
	for _, overlap := range []time.Duration{0, 1400 * time.Millisecond} {
		st := &stream{customer: "acme", rate: 300, wait: 200 * time.Millisecond}
		s := tabadul(st)
		s.period, s.warm, s.splitFrom = 8*time.Second, 100*time.Millisecond, 4
		s.at = make(map[time.Duration]func(*sim))
		due := time.Second
		for version := model.SnapshotVersion(2); version <= 4; version++ {
			for n := range 3 * s.shards {
				id := simName(n%s.shards, n/s.shards)
				due += 50 * time.Millisecond
				s.at[due] = func(s *sim) { s.upstreams[id].versions = []model.SnapshotVersion{version - 1, version} }
				s.at[due+overlap+time.Microsecond] = func(s *sim) { s.upstreams[id].versions = []model.SnapshotVersion{version} }
			}
		}
		s.run()
		t.Logf("overlap %v: %d of %d whole, p99 %v, refused %v, extra %.3f",
			overlap, st.whole, st.requests, quantile(st.took, 0.99), st.refused, s.extra())
		if got := float64(st.whole) / float64(st.requests); got < 0.99 {
			t.Errorf("overlap %v: got %.4f of the answers whole, want at least 0.99", overlap, got)
		}
		if s.mixed+s.untrue != 0 {
			t.Errorf("overlap %v: got %d mixed and %d untrue answers, want 0", overlap, s.mixed, s.untrue)
		}
	}
}
