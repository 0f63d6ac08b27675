package retry

import (
	"math/rand/v2"
	"time"

	"comfreypulley/core/model"
)

// Bounds of the backoff between retries on a shard.
const (
	firstBackoff = 2 * time.Millisecond
	maxBackoff   = 100 * time.Millisecond
)

// Backoff returns the delay before retry number n, counted from 1: exponential,
// with random jitter, and at least retryAfter. Pass the upstream's Retry-After
// only when no other replica is left, and 0 otherwise.
func Backoff(r *rand.Rand, n int, retryAfter time.Duration) time.Duration {
	limit := min(firstBackoff<<min(n-1, 16), maxBackoff)
	jittered := limit/2 + time.Duration(r.Int64N(int64(limit/2)+1))
	return max(jittered, retryAfter)
}

// IsFree reports whether the upstream did no work for an attempt that failed for
// this reason. Its retry is then taken from the budget by SpendFree.
func IsFree(reason model.FailureReason) bool {
	switch reason {
	case model.FailedRefused, model.FailedDrained, model.FailedVersion, model.FailedCold:
		return true
	default:
		return false
	}
}
