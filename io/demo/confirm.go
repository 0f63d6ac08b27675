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
	confirmRate    = 30.0 // requests per second
	confirmResends = 8
	faultInterval  = 500 * time.Millisecond
)

// confirm sends non-idempotent requests while answers are lost, VMs are cut off
// from their callers and upstreams crash. Callers resend a request with the same
// key to other VMs.
type confirm struct{}

func (confirm) stages(e *example, period time.Duration, _ uint64) []stage {
	caller := bench.Caller{
		Name: "confirm", Customer: e.quietCustomer, Secret: secretOf(e.quietCustomer), Index: e.recordIndex, Wait: time.Second,
		NonIdempotent: true, MaxResends: confirmResends,
	}
	var script []scriptStep
	for n := 0; time.Duration(n+1)*faultInterval < period; n++ {
		script = append(script, scriptStep{
			at: time.Duration(n+1) * faultInterval, apply: func(sys *system) error { return sys.injectFault(e, n) },
		})
	}
	return []stage{{
		callers: []bench.Caller{caller}, rate: confirmRate, useFaultProxies: true, script: script, setUp: func(sys *system) error {
			return sys.changeStubs(e.recordIndex, func(s *stub.Settings) { s.RestartDelay = crashRestart })
		},
	}}
}

// injectFault ends the previous fault and makes the nth one. In turn, the answers
// of a VM are lost, a VM is cut off, the open connections of a VM are reset, or an
// upstream crashes.
func (sys *system) injectFault(e *example, n int) error {
	current := sys.proxies[n%len(sys.proxies)]
	previous := sys.proxies[(n+len(sys.proxies)-1)%len(sys.proxies)]
	if err := previous.SetRules(fault.Rules{}); err != nil {
		return err
	}
	switch n % 4 {
	case 0:
		return current.SetRules(fault.Rules{Down: fault.StreamRules{Drop: true}})
	case 1:
		return current.SetRules(fault.Rules{Cut: true})
	case 2:
		current.ResetConns()
		return nil
	default:
		list := e.upstreams(e.recordIndex)
		sys.stubs[list[n%len(list)].ID].Crash()
		return nil
	}
}

func (confirm) targets(_ *example, _, full []outcome) []Target {
	return append(correctnessTargets(full),
		atLeast("confirmed", ratio(float64(full[0].report.Confirmed), float64(full[0].report.Queries)), 0.9),
	)
}

// sortSteps sorts a script by time.
func sortSteps(script []scriptStep) {
	slices.SortStableFunc(script, func(a, b scriptStep) int { return cmp.Compare(a.at, b.at) })
}
