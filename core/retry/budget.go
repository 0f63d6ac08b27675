package retry

// Bounds of a budget, in attempts.
const (
	startBudget = 5   // lets the first failures after a start be retried
	maxBudget   = 50  // bounds the burst after a quiet time
	maxScatters = 2   // a query with many shards may save this many scatters
	freeRatio   = 0.5 // retries that cost the upstream nothing, per first attempt
	startFree   = 50
	hedgeFloor  = 5 // left for retries by hedges, which would add to an overload
)

// Budget limits retries and hedges to a share of the first attempts. The zero
// value allows none until SetRatio.
type Budget struct {
	ratio   float64
	tokens  float64
	free    float64
	largest int // first attempts of the largest query so far
	started bool
}

// SetRatio sets the share of first attempts, 0 to 1.
func (b *Budget) SetRatio(ratio float64) {
	b.ratio = ratio
	if !b.started && ratio > 0 {
		b.tokens = startBudget
		b.free = startFree
		b.started = true
	}
}

// Earn adds the share of n first attempts.
func (b *Budget) Earn(n int) {
	b.largest = max(b.largest, n)
	b.tokens = min(b.tokens+b.ratio*float64(n), max(maxBudget, b.ratio*float64(maxScatters*b.largest)))
	b.free = min(b.free+freeRatio*float64(n), max(maxBudget, float64(maxScatters*b.largest)))
}

// Spend takes n attempts from the budget and reports whether they were there.
func (b *Budget) Spend(n int) bool {
	if b.tokens < float64(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// SpendFree takes a retry after a failure that did not load the upstream. Such
// retries are limited apart, so that a lost zone does not use up what hedges
// need, nor start a storm.
func (b *Budget) SpendFree() bool {
	if b.free < 1 {
		return false
	}
	b.free--
	return true
}

// SpendHedge takes one hedge from the budget unless only what is kept for
// retries is left.
func (b *Budget) SpendHedge() bool {
	return b.LeftForHedges() > 0 && b.Spend(1)
}

// LeftForHedges returns the hedges that the budget allows.
func (b *Budget) LeftForHedges() int {
	return max(0, int(b.tokens)-hedgeFloor)
}
