package retry

// Allowance bounds the extra attempts of one service in every span of time: to
// a share of the first attempts in it and a fixed number more. Unlike a Budget
// it saves nothing up, so that the sum over a fleet keeps to a fleet-wide bound
// when each VM has a part of the fixed number. The zero value allows none.
type Allowance struct {
	ratio  float64
	most   float64
	tokens float64
	set    bool
}

// Limit sets the share of first attempts, 0 to 1, and the fixed number.
func (a *Allowance) Limit(ratio, most float64) {
	if !a.set {
		a.tokens, a.set = most, true
	}
	a.ratio, a.most = ratio, most
	a.tokens = min(a.tokens, most)
}

// Begin leaves a part of the fixed number, 0 to 1.
func (a *Allowance) Begin(part float64) { a.tokens = min(a.tokens, part*a.most) }

// Earn adds the share of a first attempt.
func (a *Allowance) Earn() {
	a.tokens = min(a.tokens+a.ratio, a.most)
}

// Left returns how many extra attempts are allowed now.
func (a *Allowance) Left() float64 { return a.tokens }

// Share returns the part of the fixed number that is left, 0 to 1.
func (a *Allowance) Share() float64 {
	if a.most <= 0 {
		return 0
	}
	return a.tokens / a.most
}

// Spend takes one extra attempt and reports whether it was allowed.
func (a *Allowance) Spend() bool {
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}
