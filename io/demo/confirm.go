package demo

import (
	"cmp"
	"slices"
	"time"

	"comfreypulley/io/bench"
	"comfreypulley/io/fault"
	"comfreypulley/io/stub"
)

const (
	confirmRate    = 30.0
	confirmResends = 8
	confirmEvery   = 500 * time.Millisecond // between faults
)

// confirm sends non-idempotent requests while answers are lost, VMs are cut off
// from their callers and upstreams crash. Callers send a request again, with
// the same key, through other VMs.
type confirm struct{}

func (confirm) stages(l *like, period time.Duration, _ uint64) []stage {
	caller := bench.Caller{
		Name: "confirm", Customer: l.quiet, Secret: secret(l.quiet), Index: l.record, Wait: time.Second, Run: true, Resends: confirmResends,
	}
	var script []step
	for n := 0; time.Duration(n+1)*confirmEvery < period; n++ {
		script = append(script, step{at: time.Duration(n+1) * confirmEvery, do: func(w *world) error { return w.disturb(l, n) }})
	}
	return []stage{{
		callers: []bench.Caller{caller}, rate: confirmRate, proxied: true, script: script, tune: func(w *world) error {
			return w.each(l.record, func(s *stub.Settings) { s.Restart = crashRestart })
		},
	}}
}

// disturb makes the nth fault: the answers of a VM are lost, a VM is cut off,
// open connections are reset, or an upstream crashes, in turn. The VM before is
// healed.
func (w *world) disturb(l *like, n int) error {
	hit := w.proxies[n%len(w.proxies)]
	before := w.proxies[(n+len(w.proxies)-1)%len(w.proxies)]
	if err := before.SetRules(fault.Rules{}); err != nil {
		return err
	}
	switch n % 4 {
	case 0:
		return hit.SetRules(fault.Rules{Down: fault.StreamRules{Drop: true}})
	case 1:
		return hit.SetRules(fault.Rules{Cut: true})
	case 2:
		hit.ResetConns()
		return nil
	default:
		list := l.upstreams(l.record)
		w.stubs[list[n%len(list)].ID].Crash()
		return nil
	}
}

func (confirm) judge(_ *like, _, full []outcome) []Target {
	return append(truthful(full),
		atLeast("confirmed", ratio(float64(full[0].report.Confirmed), float64(full[0].report.Queries)), 0.9),
	)
}

// sortSteps orders a script by time.
func sortSteps(script []step) {
	slices.SortStableFunc(script, func(a, b step) int { return cmp.Compare(a.at, b.at) })
}
