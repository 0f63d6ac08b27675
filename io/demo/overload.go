package demo

import (
	"math"
	"time"

	"comfreypulley/io/bench"
	"comfreypulley/io/stub"
)

const (
	overloadService = 20 * time.Millisecond // long enough that the stand-ins, not this machine, are the limit
	overloadWait    = time.Second
)

// overload offers less than the capacity of the stand-ins, all of it, and then
// twice as much. The peak is the best goodput of the first two.
type overload struct{}

func (overload) stages(l *like, _ time.Duration, _ uint64) []stage {
	tune := func(w *world) error {
		return w.each(l.lookup, func(s *stub.Settings) { s.MedianServiceTime = overloadService })
	}
	callers := []bench.Caller{l.lookups(overloadWait)}
	capacity := l.capacity(overloadService)
	return []stage{
		{tune: tune, callers: callers, rate: 0.75 * capacity},
		{tune: tune, callers: callers, rate: capacity},
		{tune: tune, callers: callers, rate: 2 * capacity},
	}
}

func (overload) judge(_ *like, _, full []outcome) []Target {
	return append(truthful(full),
		atLeast("goodput over its peak", ratio(full[2].goodput(), max(full[0].goodput(), full[1].goodput())), 0.85),
		atMost("p99 of refusals, ms", full[2].report.RefusalP99, 5),
	)
}

// capacity is how many lookups a second the stand-ins can run, each on all
// shards.
func (l *like) capacity(service time.Duration) float64 {
	slots, shards := 0, 0
	for _, u := range l.upstreams(l.lookup) {
		slots += u.Slots
		shards = l.holdings(l.lookup)[u.ID].ShardCount
	}
	mean := service.Seconds() * math.Exp(spread*spread/2)
	return float64(slots) / mean / float64(shards)
}
