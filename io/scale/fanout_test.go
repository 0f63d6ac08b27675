package scale_test

import (
	"math"
	"testing"
	"time"

	"comfreypulley/io/scale"
)

var times = scale.ServiceTimes{Median: 3 * time.Millisecond, Sigma: 0.3, RareFraction: 0.01, RareFactor: 10}

// Guards against a run in which the latency of queries does not follow the service
// times. Without hedges a query takes as long as its slowest shard.
func TestPlainFollowsTheDistribution(t *testing.T) {
	f := scale.Fanout{Shards: 100, Replicas: 3, Queries: 2000, RetryBudget: 0.05, Baseline: true, Seed: 1, ServiceTimes: times}
	r, err := f.Run()
	if err != nil {
		t.Fatal(err)
	}
	want := times.Quantile(0.5, 100, 0)
	if got := r.P50; math.Abs(float64(got-want)) > 0.05*float64(want) {
		t.Errorf("got a median of %v, want %v within 5%%", got, want)
	}
	if r.AttemptRatio != 1 || r.Unanswered != 0 {
		t.Errorf("got extra %v and %d late queries, want 1 and 0", r.AttemptRatio, r.Unanswered)
	}
}

// Guards against hedges that exceed the retry budget, or do not reduce the p99
// latency, at the number of shards that the design assumes.
func TestHedgesShortenTheTailWithinTheBudget(t *testing.T) {
	var p99 [2]time.Duration
	for i, plain := range []bool{true, false} {
		f := scale.Fanout{Shards: 1300, Replicas: 3, Queries: 100, RetryBudget: 0.05, Baseline: plain, Seed: 1, ServiceTimes: times}
		r, err := f.Run()
		if err != nil {
			t.Fatal(err)
		}
		p99[i] = r.P99
		if r.AttemptRatio > 1.05 {
			t.Errorf("plain %v: got extra %v, want at most 1.05", plain, r.AttemptRatio)
		}
	}
	if p99[1] >= p99[0] {
		t.Errorf("got a p99 of %v with hedges and %v without", p99[1], p99[0])
	}
}
