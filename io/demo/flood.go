package demo

import (
	"time"

	"comfreypulley/io/bench"
)

const (
	quietRate = 50.0
	floodRate = 1000.0 // well above what the noisy contract's concurrency allows
)

// flood has a quiet customer alone, and then beside one that floods the same
// index.
type flood struct{}

func (flood) stages(l *like, _ time.Duration, _ uint64) []stage {
	quiet := l.lookups(time.Second)
	noisy := bench.Caller{
		Name: "noisy", Customer: l.noisy, Secret: secret(l.noisy), Index: l.lookup, Wait: time.Second, DistinctQueries: bodies,
		Weight: floodRate / quietRate,
	}
	return []stage{
		{callers: []bench.Caller{quiet}, rate: quietRate},
		{callers: []bench.Caller{quiet, noisy}, rate: quietRate + floodRate},
	}
}

func (flood) judge(_ *like, _, full []outcome) []Target {
	quiet := bench.Measure(of(full[1].results, "quiet"))
	return append(truthful(full),
		atMost("p99 of quiet beside the flood over alone", ratio(quiet.P99, full[0].report.P99), 1.3),
		atLeast("quiet answered", ratio(float64(quiet.Complete), float64(quiet.Queries)), 0.999),
	)
}
