package retry

// TokenBucket is a token bucket that limits the extra attempts (retries and
// hedges) of one service. In any period they are at most a share of the first
// attempts in it, plus the capacity of the bucket. Unlike a [Budget], whose
// capacity grows with the size of queries, it keeps a fleet within a fleet-wide
// bound when the VMs divide the capacity among them. The zero value allows none.
type TokenBucket struct {
	ratio       float64 // tokens earned per first attempt
	capacity    float64
	tokens      float64
	initialized bool
}

// SetLimits sets the tokens earned per first attempt, 0 to 1, and the capacity. The
// first call fills the bucket.
func (a *TokenBucket) SetLimits(ratio, capacity float64) {
	if !a.initialized {
		a.tokens, a.initialized = capacity, true
	}
	a.ratio, a.capacity = ratio, capacity
	a.tokens = min(a.tokens, capacity)
}

// CapTokens reduces the tokens to a fraction of the capacity, 0 to 1, if there are
// more.
func (a *TokenBucket) CapTokens(fraction float64) { a.tokens = min(a.tokens, fraction*a.capacity) }

// Earn adds the tokens of one first attempt.
func (a *TokenBucket) Earn() {
	a.tokens = min(a.tokens+a.ratio, a.capacity)
}

// Tokens returns how many extra attempts are allowed now.
func (a *TokenBucket) Tokens() float64 { return a.tokens }

// FillLevel returns how full the bucket is, 0 to 1.
func (a *TokenBucket) FillLevel() float64 {
	if a.capacity <= 0 {
		return 0
	}
	return a.tokens / a.capacity
}

// Spend takes the token of one extra attempt and reports whether there was one.
func (a *TokenBucket) Spend() bool {
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}
