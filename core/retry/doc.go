// Package retry decides when an attempt is repeated or hedged: the rules by
// failure reason, the backoff, the extra-load budget and the hedge delay.
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
// Budgets count attempts; delays are time.Duration.
package retry
