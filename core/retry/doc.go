// Package retry limits retries and hedges: token buckets for extra attempts, the
// backoff between retries, and latency quantiles from which hedge delays follow.
//
// # Usage
//
//	var b retry.Budget
//	b.SetRatio(0.05)
//	b.Earn(10)        // ten first attempts
//	if b.Spend(1) {   // one retry or hedge
//		...
//	}
//
// Budgets count attempts.
package retry
