package quota

import (
	"time"

	"comfreypulley/core/model"
)

// bucket is an issuer's part of a customer's limit.
type bucket struct {
	limit    model.RateLimit
	tokens   float64
	at       time.Time // of the tokens
	capacity float64   // most tokens that are kept
	promised time.Time // up to which refused callers were given times to return

	home      model.VMID   // the issuer that is asked for tokens
	wantedBy  model.VMID   // the home, when it has asked for the tokens that accrue here
	parts     int          // issuers whose tokens come to this one, which is the home, and itself
	unreached []model.VMID // those whose tokens do not
}

// refill adds what has accrued at a rate, in tokens per second.
func (b *bucket) refill(at time.Time, rate float64) {
	if elapsed := at.Sub(b.at); !b.at.IsZero() && elapsed > 0 {
		b.tokens += rate * elapsed.Seconds()
	}
	if at.After(b.at) {
		b.at = at
	}
	b.tokens = min(b.tokens, b.capacity)
}

// take removes a token and reports whether there was one.
func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// wait returns when a caller that is refused should return, at a rate in tokens per
// second. Each caller gets a later time, since the tokens up to the times before it go to
// the callers before it.
func (b *bucket) wait(at time.Time, rate float64) time.Duration {
	if rate <= 0 {
		return maxWait
	}
	interval := time.Duration(float64(time.Second) / rate)
	if next := at.Add(time.Duration((1 - b.tokens) * float64(interval))); b.promised.Before(next) {
		b.promised = next
	} else {
		b.promised = b.promised.Add(interval)
	}
	if latest := at.Add(maxWait); b.promised.After(latest) {
		b.promised = latest
	}
	return b.promised.Sub(at)
}
