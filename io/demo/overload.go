package demo

import (
	"math"
	"time"

	"comfreypulley/io/bench"
	"comfreypulley/io/stub"
)

const (
	overloadServiceTime = 20 * time.Millisecond // long enough that the stubs limit the throughput and not this machine
	overloadWait        = time.Second
)

// overload sends queries at three quarters of the stubs' capacity, at the capacity
// and at twice the capacity. The peak goodput is the higher one of the first two.
type overload struct{}

func (overload) stages(e *example, _ time.Duration, _ uint64) []stage {
	setUp := func(sys *system) error {
		return sys.changeStubs(e.queryIndex, func(s *stub.Settings) { s.MedianServiceTime = overloadServiceTime })
	}
	callers := []bench.Caller{e.queryCaller(overloadWait)}
	maxRate := e.maxQueryRate(overloadServiceTime)
	return []stage{
		{setUp: setUp, callers: callers, rate: 0.75 * maxRate},
		{setUp: setUp, callers: callers, rate: maxRate},
		{setUp: setUp, callers: callers, rate: 2 * maxRate},
	}
}

func (overload) targets(_ *example, _, full []outcome) []Target {
	return append(correctnessTargets(full),
		atLeast("goodput over its peak", ratio(full[2].goodput(), max(full[0].goodput(), full[1].goodput())), 0.85),
		atMost("p99 of refusals, ms", full[2].report.RefusalP99, 5),
	)
}

// maxQueryRate returns the number of queries per second that the stubs can run
// when each query runs on all shards.
func (e *example) maxQueryRate(serviceTime time.Duration) float64 {
	slots, shards := 0, 0
	for _, u := range e.upstreams(e.queryIndex) {
		slots += u.Slots
		shards = e.snapshots(e.queryIndex)[u.ID].ShardCount
	}
	mean := serviceTime.Seconds() * math.Exp(serviceTimeSigma*serviceTimeSigma/2)
	return float64(slots) / mean / float64(shards)
}
