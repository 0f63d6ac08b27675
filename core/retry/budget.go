package retry

// Bounds of a budget, in attempts.
const (
	startBudget = 5  // lets the first failures after a start be retried
	maxBudget   = 50 // bounds the burst after a quiet time
)

// Budget limits retries and hedges to a share of the first attempts. The zero
// value allows none until SetRatio.
type Budget struct {
	ratio   float64
	tokens  float64
	started bool
}

// SetRatio sets the share of first attempts, 0 to 1.
func (b *Budget) SetRatio(ratio float64) {
	b.ratio = ratio
	if !b.started && ratio > 0 {
		b.tokens = startBudget
		b.started = true
	}
}

// Earn adds the share of n first attempts.
func (b *Budget) Earn(n int) {
	b.tokens = min(b.tokens+b.ratio*float64(n), maxBudget)
}

// Spend takes one attempt from the budget and reports whether it was there.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Left returns the attempts left, rounded down.
func (b *Budget) Left() int {
	return int(b.tokens)
}
