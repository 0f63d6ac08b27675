package proxy

import (
	"time"

	"comfreypulley/core/retry"
)

// Parameters of the retry budget, which limits the extra attempts (retries and
// hedges) of a service. Each VM uses slightly less than its share, so that all
// VMs together stay within the fleet-wide budget.
const (
	extraRatioUsed         = 0.95
	extraCountUsed         = 0.9
	defaultExtraCount      = 2.5 // extra attempts of one VM while the number of entry VMs is not known
	maxExtraCount          = 8
	initialRetryBudgetFill = 0.6 // fraction of its share that a new process has
)

// retryBudgetLimits returns this VM's share of the fleet-wide retry budget:
// extra attempts as a ratio to the first attempts, and a number.
func (r *Router) retryBudgetLimits() (ratio, count float64) {
	count = defaultExtraCount
	if r.entryVMCount > 0 {
		count = max(1, min(maxExtraCount, extraCountUsed*float64(r.settings.RetryBudgetExtra)/float64(r.entryVMCount)))
	}
	return extraRatioUsed * r.settings.RetryBudgetRatio, count
}

// updateRetryBudgets applies changed limits to the retry budgets.
func (r *Router) updateRetryBudgets() {
	for _, b := range r.retryBudgets {
		b.SetLimits(r.retryBudgetLimits())
	}
}

// earnRetries counts a request in the retry budgets of its services. A request that
// is handed over counts at the VM that serves it.
func (r *Router) earnRetries(at time.Time, req *request) {
	for _, sub := range req.subrequests {
		r.retryBudget(at, sub.service).Earn()
	}
}

// returnRetries takes a request out of the retry budgets.
func (r *Router) returnRetries(at time.Time, req *request) {
	for _, sub := range req.subrequests {
		r.retryBudget(at, sub.service).Return()
	}
}

// retryBudget returns this VM's retry budget for a service. In a new process it
// is not full, because the process before it may have spent a whole budget in the
// same window.
func (r *Router) retryBudget(at time.Time, service string) *retry.TokenBucket {
	b, ok := r.retryBudgets[service]
	if !ok {
		b = &retry.TokenBucket{}
		b.SetLimits(r.retryBudgetLimits())
		if at.Sub(r.settings.ProcessStart) < r.settings.RetryBudgetWindow {
			b.CapTokens(initialRetryBudgetFill)
		}
		r.retryBudgets[service] = b
	}
	return b
}
