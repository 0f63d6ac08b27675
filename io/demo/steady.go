package demo

import (
	"time"

	"comfreypulley/io/bench"
	"comfreypulley/io/stub"
)

const (
	lookupRate = 100.0 // requests a second
	bodies     = 50    // distinct queries; lookups recur
)

// lookups are the quick lookups of the customer that counts most.
func (l *like) lookups(wait time.Duration) bench.Caller {
	return bench.Caller{Name: "quiet", Customer: l.quiet, Secret: secret(l.quiet), Index: l.lookup, Wait: wait, DistinctQueries: bodies}
}

// steady has no faults.
type steady struct{}

func (steady) stages(l *like, _ time.Duration, _ uint64) []stage {
	return []stage{{callers: []bench.Caller{l.lookups(time.Second)}, rate: lookupRate}}
}

func (steady) judge(_ *like, _, full []outcome) []Target {
	return append(truthful(full),
		atLeast("whole in time", wholeShare(full[0].results), 0.999),
		atMost("extra", full[0].report.AttemptRatio, 1.05),
	)
}

// straggler has one upstream 20 times slower than the rest, and one in a
// hundred answers of all upstreams 10 times slower.
type straggler struct{}

func (straggler) stages(l *like, _ time.Duration, _ uint64) []stage {
	return []stage{{callers: []bench.Caller{l.lookups(time.Second)}, rate: lookupRate, tune: func(w *world) error {
		if err := w.each(l.lookup, func(s *stub.Settings) { s.RareFraction, s.RareFactor = 0.01, 10 }); err != nil {
			return err
		}
		slow := l.upstreams(l.lookup)[0].ID
		return w.stubs[slow].Change(func(s *stub.Settings) { s.SlowFactor = 20 })
	}}}
}

func (straggler) judge(_ *like, plain, full []outcome) []Target {
	return append(truthful(full),
		atMost("p99 of full over plain", ratio(full[0].report.P99, plain[0].report.P99), 0.35),
		atMost("extra", full[0].report.AttemptRatio, 1.05),
	)
}
