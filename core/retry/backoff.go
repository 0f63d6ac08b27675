package retry

import (
	"math/rand/v2"
	"time"

	"comfreypulley/core/model"
)

// Backoff bounds of retries on the same shard.
const (
	firstBackoff = 2 * time.Millisecond
	maxBackoff   = 100 * time.Millisecond
)

// Backoff returns the jittered delay before retry number n, from 1. A
// Retry-After from the upstream is a lower bound only when no other replica is
// left, so it is the caller's choice to pass it.
func Backoff(r *rand.Rand, n int, after time.Duration) time.Duration {
	limit := min(firstBackoff<<min(n-1, 16), maxBackoff)
	jittered := limit/2 + time.Duration(r.Int64N(int64(limit/2)+1))
	return max(jittered, after)
}

// Free reports whether a retry after the failure is not charged to the
// extra-load budget, because the upstream did no work for the attempt.
func Free(reason model.FailureReason) bool {
	switch reason {
	case model.FailedRefused, model.FailedDrained, model.FailedVersion, model.FailedCold:
		return true
	default:
		return false
	}
}
