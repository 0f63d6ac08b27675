package quota

import "comfreypulley/core/model"

// Parts of the tolerance of a limit. A request that is refused within the tolerance is lost
// for nothing, so that all of it is used.
const (
	ratePart  = 0.5  // spread over the window
	burstPart = 0.2  // added to what may be sent at once
	drawPart  = 0.15 // for VMs that reach no issuer
	startPart = 0.15 // for issuers that start
)

// cutParts is the number of parts of a cut fleet that Extend leaves room for: each of them
// keeps at least one token.
const cutParts = 2

// Limit is what issuers put in force for a customer.
type Limit struct {
	model.RateLimit
	Start float64 // tokens that all issuers together begin with; those before them may have spent the others
}

// Extend returns the limit that issuers put in force for a limit with a tolerance: within
// the window of the tolerance it allows what the limit and the tolerance do together,
// including what accrues while tokens are under way. Without a tolerance it is the limit.
func Extend(l model.RateLimit, t model.QuotaTolerance) Limit {
	beyond, allowed := t.Beyond(l)
	if t.Window <= 0 || beyond <= 0 || !l.Limited() {
		return Limit{RateLimit: l}
	}
	extended := model.RateLimit{
		Rate:  (allowed + ratePart*beyond - cutParts) / (t.Window + AccrualPeriod).Seconds(),
		Burst: burstPart * beyond,
	}
	if extended.Rate < l.Rate {
		return Limit{RateLimit: l} // the window is so short that the burst counts for more
	}
	return Limit{RateLimit: extended, Start: startPart * beyond}
}

// DrawChance returns the chance with which a VM that reaches no issuer admits a request of
// a customer, 0 to 1. While the customer's requests stay within its limit, those admitted
// so stay within their part of the tolerance.
func DrawChance(l model.RateLimit, t model.QuotaTolerance) float64 {
	beyond, allowed := t.Beyond(l)
	if allowed <= 0 {
		return 0
	}
	return min(1, drawPart*beyond/allowed)
}
