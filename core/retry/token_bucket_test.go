package retry_test

import (
	"testing"

	"pgregory.net/rapid"

	"comfreypulley/core/retry"
)

// Guards against a fleet that exceeds its bound on extra attempts in some period
// although each VM keeps to its own part of the bound.
func TestTokenBucketsOfAFleetKeepToItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, capacity = 0.2, 40.0
		vms := rapid.IntRange(1, 30).Draw(t, "vms")
		fleet := make([]retry.TokenBucket, vms)
		for i := range fleet {
			fleet[i].SetLimits(ratio, capacity/float64(vms))
		}
		type count struct{ first, extra float64 }
		var steps []count
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			var c count
			for i := range fleet {
				for range rapid.IntRange(0, 3).Draw(t, "first") {
					fleet[i].Earn()
					c.first++
				}
				for range rapid.IntRange(0, 3).Draw(t, "extra") {
					if fleet[i].Spend() {
						c.extra++
					}
				}
			}
			steps = append(steps, c)
		}
		for i := range steps {
			var sum count
			for _, c := range steps[i:] {
				sum.first, sum.extra = sum.first+c.first, sum.extra+c.extra
				if bound := ratio*sum.first + capacity; sum.extra > bound+1e-6 {
					t.Fatalf("got %.0f extra attempts beside %.0f first ones, want %.1f at most", sum.extra, sum.first, bound)
				}
			}
		}
	})
}
