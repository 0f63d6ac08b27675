package proxy

import (
	"time"

	"comfreypulley/core/model"
	"comfreypulley/core/retry"
)

// Parameters of the latency statistics and the hedge delays.
const (
	typicalGain            = 0.05 // weight of a new sample in the typical latency
	typicalCap             = 4    // caps a sample at this many typical latencies
	initialTypicalDivisor  = 8    // the target latency over this is the typical latency before the first answer
	scarceHedgeQuantile    = 0.95 // latency quantile that is the hedge delay when the retry budget is used up
	fullHedgeQuantile      = 0.87 // the same when the retry budget is full, since unused extra attempts cannot be saved
	firstFrameWaitDivisor  = 4    // the target latency over this is the wait for the first frame of a portion before the quantile is known
	maxHedgeDelayDivisor   = 2.5  // the target latency over this is the longest useful hedge delay; also used at first, while this VM itself is slow
	unshardedHedgeQuantile = 0.95 // hedge quantile for a request to a single upstream
)

// latencyStats are the latencies on a route and the delays computed from them.
type latencyStats struct {
	typical          time.Duration
	histogram        retry.Histogram
	samples          int           // since the delays were computed
	scarceHedgeDelay time.Duration // when the retry budget is used up; 0 while not known
	fullHedgeDelay   time.Duration // when the retry budget is full
	longestWait      time.Duration // that callers have stated
	firstFrameWait   time.Duration // within which most answers arrive; the wait before the first frame of a portion
}

// samplesPerUpdate is the number of samples between two computations of the
// delays.
const samplesPerUpdate = 32

func (s *latencyStats) add(route *model.Route, latency time.Duration) {
	s.histogram.Add(latency)
	if s.samples++; s.samples >= samplesPerUpdate || s.scarceHedgeDelay == 0 {
		s.samples = 0
		s.updateDelays(route)
	}
	if s.typical == 0 {
		s.typical = latency
		return
	}
	latency = min(latency, typicalCap*s.typical)
	s.typical += time.Duration(typicalGain * float64(latency-s.typical))
}

func (s *latencyStats) updateDelays(route *model.Route) {
	scarce, full := scarceHedgeQuantile, fullHedgeQuantile
	if len(route.Shards) == 0 {
		scarce, full = unshardedHedgeQuantile, unshardedHedgeQuantile
	}
	d, ok := s.histogram.Quantile(scarce)
	if !ok {
		return
	}
	s.scarceHedgeDelay = d
	s.fullHedgeDelay, _ = s.histogram.Quantile(full)
	s.firstFrameWait, _ = s.histogram.Quantile(firstFrameQuantile)
}

// expected returns the typical latency of the route, or an assumed one before
// the first answer.
func (s *latencyStats) expected(route *model.Route) time.Duration {
	if s.typical > 0 {
		return s.typical
	}
	return targetLatency(route) / initialTypicalDivisor
}

// hedgeDelay returns how long an attempt may take before it is hedged. left is
// the unused fraction of the retry budget.
func (s *latencyStats) hedgeDelay(route *model.Route, left float64) time.Duration {
	longest := time.Duration(float64(targetLatency(route)) / maxHedgeDelayDivisor)
	if s.scarceHedgeDelay == 0 {
		return longest
	}
	return min(longest, s.scarceHedgeDelay-time.Duration(left*float64(s.scarceHedgeDelay-s.fullHedgeDelay)))
}

// firstFrameDelay returns how long the first frame of a portion waits for
// answers.
func (s *latencyStats) firstFrameDelay(route *model.Route) time.Duration {
	if s.firstFrameWait > 0 {
		return s.firstFrameWait
	}
	return targetLatency(route) / firstFrameWaitDivisor
}

// targetLatency returns the target latency of a route, or a part of its timeout
// when it has none.
func targetLatency(route *model.Route) time.Duration {
	const timeoutDivisor = 4
	if route.TargetLatency > 0 {
		return route.TargetLatency
	}
	return route.Timeout / timeoutDivisor
}
