package demo

import (
	"time"

	"comfreypulley/io/bench"
)

const (
	quietRate = 50.0   // requests per second
	floodRate = 1000.0 // requests per second; well above what the noisy contract's concurrency allows
)

// flood runs a quiet customer alone, and then together with a noisy one that sends
// a flood of queries of the same index.
type flood struct{}

func (flood) stages(e *example, _ time.Duration, _ uint64) []stage {
	quiet := e.queryCaller(time.Second)
	noisy := bench.Caller{
		Name: "noisy", Customer: e.noisyCustomer, Secret: secretOf(e.noisyCustomer), Index: e.queryIndex, Wait: time.Second,
		DistinctQueries: distinctQueries,
		Weight:          floodRate / quietRate,
	}
	return []stage{
		{callers: []bench.Caller{quiet}, rate: quietRate},
		{callers: []bench.Caller{quiet, noisy}, rate: quietRate + floodRate},
	}
}

func (flood) targets(_ *example, _, full []outcome) []Target {
	quiet := bench.Measure(ofCaller(full[1].results, "quiet"))
	return append(correctnessTargets(full),
		atMost("p99 of quiet beside the flood over alone", ratio(quiet.P99, full[0].report.P99), 1.3),
		atLeast("quiet answered", ratio(float64(quiet.Complete), float64(quiet.Queries)), 0.999),
	)
}
