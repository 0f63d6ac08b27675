package demo

import (
	"time"

	"comfreypulley/io/bench"
	"comfreypulley/io/stub"
)

const (
	queryRate       = 100.0 // requests per second
	distinctQueries = 50
)

// queryCaller returns a caller that sends queries for the quiet customer.
func (e *example) queryCaller(wait time.Duration) bench.Caller {
	return bench.Caller{
		Name: "quiet", Customer: e.quietCustomer, Secret: secretOf(e.quietCustomer), Index: e.queryIndex, Wait: wait,
		DistinctQueries: distinctQueries,
	}
}

// steady has no faults.
type steady struct{}

func (steady) stages(e *example, _ time.Duration, _ uint64) []stage {
	return []stage{{callers: []bench.Caller{e.queryCaller(time.Second)}, rate: queryRate}}
}

func (steady) targets(_ *example, _, full []outcome) []Target {
	return append(correctnessTargets(full),
		atLeast("whole in time", completeInTimeFraction(full[0].results), 0.999),
		atMost("extra", full[0].report.AttemptRatio, 1.05),
	)
}

// straggler has one upstream that is 20 times slower than the others, and makes 1%
// of the answers of all upstreams 10 times slower.
type straggler struct{}

func (straggler) stages(e *example, _ time.Duration, _ uint64) []stage {
	return []stage{{callers: []bench.Caller{e.queryCaller(time.Second)}, rate: queryRate, setUp: func(sys *system) error {
		if err := sys.changeStubs(e.queryIndex, func(s *stub.Settings) { s.RareFraction, s.RareFactor = 0.01, 10 }); err != nil {
			return err
		}
		slow := e.upstreams(e.queryIndex)[0].ID
		return sys.stubs[slow].Change(func(s *stub.Settings) { s.SlowFactor = 20 })
	}}}
}

func (straggler) targets(_ *example, baseline, full []outcome) []Target {
	return append(correctnessTargets(full),
		atMost("p99 of full over plain", ratio(full[0].report.P99, baseline[0].report.P99), 0.35),
		atMost("extra", full[0].report.AttemptRatio, 1.05),
	)
}
