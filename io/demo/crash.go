package demo

import (
	"time"

	"comfreypulley/io/bench"
	"comfreypulley/io/stub"
)

const (
	crashResends = 20
	crashWait    = 250 * time.Millisecond
	crashRestart = time.Second
	crashCold    = 200 * time.Millisecond
)

// crash has one caller that sends a crashing query and sends it again through
// the other VMs, beside ordinary lookups.
type crash struct{}

func (crash) stages(l *like, period time.Duration, _ uint64) []stage {
	killer := l.lookups(crashWait)
	killer.Name, killer.CrashesUpstream, killer.MaxResends, killer.OnceAt = "killer", true, crashResends, period/4
	return []stage{{
		callers: []bench.Caller{l.lookups(time.Second), killer}, rate: lookupRate, tune: func(w *world) error {
			return w.each(l.lookup, func(s *stub.Settings) { s.RestartDelay, s.ColdPeriod = crashRestart, crashCold })
		},
	}}
}

func (crash) judge(_ *like, _, full []outcome) []Target {
	quiet := bench.Measure(of(full[0].results, "quiet"))
	sent := 0
	for _, r := range of(full[0].results, "killer") {
		sent += len(r.Sends)
	}
	return append(truthful(full),
		atMost("upstreams crashed", float64(full[0].crashes), 2),
		atLeast("crashing query sent", float64(sent), crashResends),
		atLeast("others whole", ratio(float64(quiet.Complete), float64(quiet.Queries)), 0.99),
	)
}
