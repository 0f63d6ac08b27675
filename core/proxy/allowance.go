package proxy

import (
	"time"

	"comfreypulley/core/retry"
)

// Parameters of the allowance of extra attempts (retries and hedges). Each VM
// uses slightly less than its share, so that all VMs together stay within the
// configured retry budget.
const (
	extraRatioUsed       = 0.95
	extraCountUsed       = 0.9
	defaultExtraCount    = 2.5 // extra attempts of one VM while the number of entry VMs is not known
	maxExtraCount        = 8
	initialAllowanceFill = 0.6 // share of its allowance with which a new process starts
)

// allowanceLimits returns this VM's share of the retry budget: extra
// attempts as a ratio to the first attempts, and a number.
func (r *Router) allowanceLimits() (ratio, count float64) {
	count = defaultExtraCount
	if r.entryVMCount > 0 {
		count = max(1, min(maxExtraCount, extraCountUsed*float64(r.settings.RetryBudgetExtra)/float64(r.entryVMCount)))
	}
	return extraRatioUsed * r.settings.RetryBudgetRatio, count
}

// allowance returns the allowance of extra attempts of a service. In a new
// process it isn't full, because the process before it may have spent a whole
// allowance in the same window.
func (r *Router) allowance(at time.Time, service string) *retry.TokenBucket {
	a, ok := r.allowances[service]
	if !ok {
		a = &retry.TokenBucket{}
		a.SetLimits(r.allowanceLimits())
		if at.Sub(r.settings.ProcessStart) < r.settings.RetryBudgetWindow {
			a.CapTokens(initialAllowanceFill)
		}
		r.allowances[service] = a
	}
	return a
}
