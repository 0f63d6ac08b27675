package retry

// Bounds of a budget, in attempts.
const (
	startBudget = 5   // initial tokens, for failures soon after a start
	maxBudget   = 50  // capacity, which bounds the burst after a quiet period
	maxScatters = 2   // raises the capacity to this many times the tokens earned by the largest query
	freeRatio   = 0.5 // free retries per first attempt
	startFree   = 50  // initial free retries
	hedgeFloor  = 5   // tokens that hedges leave for retries, since hedges add to an overload
)

// Budget is a token bucket that limits the retries and hedges of one customer to
// a share of its first attempts. Free retries, for which the failed attempt cost
// the upstream no work, have tokens of their own. The zero value allows none
// until SetRatio.
type Budget struct {
	ratio   float64
	tokens  float64
	free    float64 // tokens for free retries
	largest int     // first attempts of the largest query so far
	started bool    // has received its initial tokens
}

// SetRatio sets the share of the first attempts, 0 to 1.
func (b *Budget) SetRatio(ratio float64) {
	b.ratio = ratio
	if !b.started && ratio > 0 {
		b.tokens = startBudget
		b.free = startFree
		b.started = true
	}
}

// Earn adds the tokens of n first attempts of one query.
func (b *Budget) Earn(n int) {
	b.largest = max(b.largest, n)
	b.tokens = min(b.tokens+b.ratio*float64(n), max(maxBudget, b.ratio*float64(maxScatters*b.largest)))
	b.free = min(b.free+freeRatio*float64(n), max(maxBudget, float64(maxScatters*b.largest)))
}

// Spend takes the tokens of n extra attempts and reports whether there were
// enough. Otherwise it takes none.
func (b *Budget) Spend(n int) bool {
	if b.tokens < float64(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// SpendFree takes the token of one free retry and reports whether there was one.
// Free retries are limited separately, so that a lost zone neither uses up the
// tokens of hedges nor causes a retry storm.
func (b *Budget) SpendFree() bool {
	if b.free < 1 {
		return false
	}
	b.free--
	return true
}

// SpendHedge takes the token of one hedge and reports whether there was one
// beyond those kept for retries.
func (b *Budget) SpendHedge() bool {
	return b.LeftForHedges() > 0 && b.Spend(1)
}

// LeftForHedges returns how many hedges are allowed now.
func (b *Budget) LeftForHedges() int {
	return max(0, int(b.tokens)-hedgeFloor)
}
