package proxy

import (
	"time"

	"comfreypulley/core/retry"
)

// Parts of the bounds on extra attempts that are used, so that the sum over the
// fleet stays below them.
const (
	ratioUsed    = 0.95
	extraUsed    = 0.9
	defaultExtra = 2.5 // attempts of one VM while the size of the fleet is not known
	mostExtra    = 8
	firstExtra   = 0.6 // part of its extra attempts with which a process starts
)

// extra returns this VM's part of the bounds on extra attempts.
func (t *Table) extra() (ratio, most float64) {
	most = defaultExtra
	if t.fleet > 0 {
		most = max(1, min(mostExtra, extraUsed*float64(t.start.RetryBudgetExtra)/float64(t.fleet)))
	}
	return ratioUsed * t.start.RetryBudgetRatio, most
}

// allowance returns the extra attempts of a service. A process that has just
// started begins with a part of them, because the one before it may have spent
// the whole in the same span of time.
func (t *Table) allowance(at time.Time, service string) *retry.Allowance {
	a, ok := t.extras[service]
	if !ok {
		a = &retry.Allowance{}
		a.Limit(t.extra())
		if at.Sub(t.start.ProcessStart) < t.start.RetryBudgetWindow {
			a.Begin(firstExtra)
		}
		t.extras[service] = a
	}
	return a
}
