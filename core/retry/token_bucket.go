package retry

// TokenBucket limits the extra attempts (retries and hedges) of one service. In
// any period they are at most a fraction of the first attempts in it, plus the
// capacity of the bucket. Unlike a [Budget], whose capacity grows with the size
// of queries, it keeps a fleet within a fleet-wide bound when the VMs divide the
// capacity among them. The zero value allows none.
type TokenBucket struct {
	ratio       float64 // tokens earned per first attempt
	capacity    float64
	tokens      float64
	initialized bool
}

// SetLimits sets the tokens earned per first attempt, 0 to 1, and the capacity.
// The first call fills the bucket.
func (b *TokenBucket) SetLimits(ratio, capacity float64) {
	if !b.initialized {
		b.tokens, b.initialized = capacity, true
	}
	b.ratio, b.capacity = ratio, capacity
	b.tokens = min(b.tokens, capacity)
}

// CapTokens reduces the tokens to a fraction of the capacity, 0 to 1, if there
// are more.
func (b *TokenBucket) CapTokens(fraction float64) { b.tokens = min(b.tokens, fraction*b.capacity) }

// Earn adds the tokens of one first attempt.
func (b *TokenBucket) Earn() {
	b.tokens = min(b.tokens+b.ratio, b.capacity)
}

// Return removes the tokens of a first attempt that is made elsewhere.
func (b *TokenBucket) Return() { b.tokens = max(0, b.tokens-b.ratio) }

// Tokens returns how many extra attempts are allowed now.
func (b *TokenBucket) Tokens() float64 { return b.tokens }

// FillLevel returns how full the bucket is, 0 to 1.
func (b *TokenBucket) FillLevel() float64 {
	if b.capacity <= 0 {
		return 0
	}
	return b.tokens / b.capacity
}

// Spend removes the token of one extra attempt and reports whether there was
// one.
func (b *TokenBucket) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
