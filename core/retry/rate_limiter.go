package retry

import "time"

// Sizes of a rate limiter's burst.
const (
	burstPeriod   = 500 * time.Millisecond // burst of a high rate
	accrualPeriod = 4 * time.Second        // time for which a low rate saves up while nothing is sent
)

// RateLimiter limits requests to a rate. It allows at least one request at once
// unless that takes longer than accrualPeriod to save up; then it holds fractions
// of a request, which allow one by chance. Many VMs with small parts of one limit
// thus keep to their sum, although none of them may send a whole request in a
// short time. The zero value allows none.
type RateLimiter struct {
	rate   float64 // requests per second
	tokens float64
	at     time.Time // of the tokens
}

// SetRate changes the rate, in requests per second.
func (l *RateLimiter) SetRate(at time.Time, rate float64) {
	l.refill(at)
	l.rate = rate
	l.tokens = min(l.tokens, l.burst())
}

// Allows reports whether a request may be sent now. draw is a random number of
// at least 0 and below 1. A draw that fails uses up the fraction, and rest is what is left of it
// for the limiter of another upstream that may serve the request instead. The caller
// accounts for a request that it sends with [RateLimiter.Spend].
func (l *RateLimiter) Allows(at time.Time, draw float64) (allowed bool, rest float64) {
	chance := l.Chance(at)
	if draw < chance {
		return true, draw
	}
	if l.burst() < 1 {
		l.tokens = 0
	}
	return false, draw - chance
}

// Chance returns the probability, 0 to 1, that a request may be sent now.
func (l *RateLimiter) Chance(at time.Time) float64 {
	l.refill(at)
	switch {
	case l.tokens >= 1:
		return 1
	case l.burst() >= 1:
		return 0
	default:
		return l.tokens
	}
}

// Spend accounts for a request that is sent.
func (l *RateLimiter) Spend(at time.Time) {
	l.refill(at)
	l.tokens = max(0, l.tokens-1)
}

// Wait returns the time until the limiter allows a request, at most limit.
func (l *RateLimiter) Wait(at time.Time, limit time.Duration) time.Duration {
	l.refill(at)
	if l.rate <= 0 {
		return limit
	}
	seconds := (min(1, l.burst()) - l.tokens) / l.rate
	return time.Duration(max(0, min(seconds, limit.Seconds())) * float64(time.Second))
}

// burst returns how many requests may be sent at once after a pause.
func (l *RateLimiter) burst() float64 {
	return min(max(1, l.rate*burstPeriod.Seconds()), l.rate*accrualPeriod.Seconds())
}

func (l *RateLimiter) refill(at time.Time) {
	if elapsed := at.Sub(l.at); !l.at.IsZero() && elapsed > 0 {
		l.tokens = min(l.burst(), l.tokens+l.rate*elapsed.Seconds())
	}
	if at.After(l.at) {
		l.at = at
	}
}
