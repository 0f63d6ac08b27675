package demo

import (
	"time"

	"comfreypulley/io/bench"
	"comfreypulley/io/stub"
)

const (
	crashResends = 20
	crashWait    = 250 * time.Millisecond // of the caller whose queries crash upstreams
	crashRestart = time.Second            // restart delay of the stubs
	crashCold    = 200 * time.Millisecond // cold period of the stubs
)

// crash has one caller that sends a query that crashes upstreams and resends it to
// the other VMs, next to a caller of ordinary queries.
type crash struct{}

func (crash) stages(e *example, period time.Duration, _ uint64) []stage {
	crashing := e.queryCaller(crashWait)
	crashing.Name, crashing.CrashesUpstream, crashing.MaxResends, crashing.OnceAt = "killer", true, crashResends, period/4
	return []stage{{
		callers: []bench.Caller{e.queryCaller(time.Second), crashing}, rate: queryRate, setUp: func(sys *system) error {
			return sys.changeStubs(e.queryIndex, func(s *stub.Settings) { s.RestartDelay, s.ColdPeriod = crashRestart, crashCold })
		},
	}}
}

func (crash) targets(_ *example, _, full []outcome) []Target {
	quiet := bench.Measure(ofCaller(full[0].results, "quiet"))
	sent := 0
	for _, r := range ofCaller(full[0].results, "killer") {
		sent += len(r.Sends)
	}
	return append(correctnessTargets(full),
		atMost("upstreams crashed", float64(full[0].crashes), 2),
		atLeast("crashing query sent", float64(sent), crashResends),
		atLeast("others whole", ratio(float64(quiet.Complete), float64(quiet.Queries)), 0.99),
	)
}
