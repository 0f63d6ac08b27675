package scale

import (
	"math"
	"math/rand/v2"
	"time"
)

// Times is a distribution of service times: log-normal, with a fraction of the
// times multiplied by a factor.
type Times struct {
	Service time.Duration // median of the log-normal distribution
	Spread  float64       // sigma of the log-normal distribution
	Rare    float64       // fraction of the times that are multiplied
	RareBy  float64       // factor on these
}

// Draw returns a random service time.
func (t Times) Draw(r *rand.Rand) time.Duration {
	took := float64(t.Service) * math.Exp(t.Spread*r.NormFloat64())
	if r.Float64() < t.Rare {
		took *= t.RareBy
	}
	return time.Duration(took)
}

// Above returns the fraction of service times above d.
func (t Times) Above(d time.Duration) float64 {
	return (1-t.Rare)*t.logNormalTail(float64(d)) + t.Rare*t.logNormalTail(float64(d)/t.RareBy)
}

// logNormalTail returns the fraction of the log-normal distribution above d.
func (t Times) logNormalTail(d float64) float64 {
	if d <= 0 {
		return 1
	}
	return math.Erfc(math.Log(d/float64(t.Service))/(t.Spread*math.Sqrt2)) / 2
}

// Quantile returns the latency that the fraction q of the queries over n shards
// does not exceed. With a hedgeDelay above 0, each shard that has not answered
// after it is queried a second time, without a limit on such hedges.
func (t Times) Quantile(q float64, n int, hedgeDelay time.Duration) time.Duration {
	allowed := Tail(q, n)
	low, high := time.Duration(0), time.Minute
	for high-low > time.Microsecond {
		middle := (low + high) / 2
		above := t.Above(middle)
		if hedgeDelay > 0 {
			above *= t.Above(middle - hedgeDelay)
		}
		if above > allowed {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// Tail returns the fraction of a shard's answers that may be late when the
// fraction q of the queries over n shards must be in time.
func Tail(q float64, n int) float64 {
	return -math.Expm1(math.Log(q) / float64(n))
}
