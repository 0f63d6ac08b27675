package retry

// Bounds of a budget, in attempts.
const (
	initialTokens     = 5   // for failures soon after a start
	maxTokens         = 50  // capacity, which bounds the burst after a quiet period
	maxSavedQueries   = 2   // raises the capacity to this many times the tokens earned by the largest query
	freeRatio         = 0.5 // free retries per first attempt
	initialFreeTokens = 50
	hedgeReserve      = 5 // tokens that hedges leave for retries, since hedges add to an overload
)

// Budget is a token bucket that limits the retries and hedges of one customer
// to a fraction of its first attempts. Free retries, for which the failed
// attempt cost the upstream no work, have tokens of their own. The zero value
// allows none until SetRatio.
type Budget struct {
	ratio        float64 // tokens earned per first attempt
	tokens       float64
	freeTokens   float64 // tokens for free retries
	largestQuery int     // first attempts of the largest query so far
	initialized  bool    // has received its initial tokens
}

// SetRatio sets the tokens earned per first attempt, 0 to 1.
func (b *Budget) SetRatio(ratio float64) {
	b.ratio = ratio
	if !b.initialized && ratio > 0 {
		b.tokens = initialTokens
		b.freeTokens = initialFreeTokens
		b.initialized = true
	}
}

// Earn adds the tokens of n first attempts of one query.
func (b *Budget) Earn(n int) {
	b.largestQuery = max(b.largestQuery, n)
	b.tokens = min(b.tokens+b.ratio*float64(n), max(maxTokens, b.ratio*float64(maxSavedQueries*b.largestQuery)))
	b.freeTokens = min(b.freeTokens+freeRatio*float64(n), max(maxTokens, float64(maxSavedQueries*b.largestQuery)))
}

// Spend removes the tokens of n extra attempts and reports whether there were
// enough. Otherwise it removes none.
func (b *Budget) Spend(n int) bool {
	if b.tokens < float64(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// SpendFree removes the token of one free retry and reports whether there was
// one. Free retries are limited separately, so that a lost zone neither uses up
// the tokens of hedges nor causes a retry storm.
func (b *Budget) SpendFree() bool {
	if b.freeTokens < 1 {
		return false
	}
	b.freeTokens--
	return true
}

// SpendHedge removes the token of one hedge and reports whether there was one
// beyond those kept for retries.
func (b *Budget) SpendHedge() bool {
	return b.LeftForHedges() > 0 && b.Spend(1)
}

// LeftForHedges returns how many hedges are allowed now.
func (b *Budget) LeftForHedges() int {
	return max(0, int(b.tokens)-hedgeReserve)
}
