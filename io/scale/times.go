package scale

import (
	"math"
	"math/rand/v2"
	"time"
)

// ServiceTimes is a distribution of service times: log-normal, with a fraction of
// the times multiplied by a factor.
type ServiceTimes struct {
	Median       time.Duration // median of the log-normal distribution
	Sigma        float64       // sigma of the log-normal distribution
	RareFraction float64       // fraction of the times that are multiplied by RareFactor
	RareFactor   float64
}

// Sample returns a random service time.
func (t ServiceTimes) Sample(r *rand.Rand) time.Duration {
	took := float64(t.Median) * math.Exp(t.Sigma*r.NormFloat64())
	if r.Float64() < t.RareFraction {
		took *= t.RareFactor
	}
	return time.Duration(took)
}

// FractionAbove returns the fraction of service times above d.
func (t ServiceTimes) FractionAbove(d time.Duration) float64 {
	return (1-t.RareFraction)*t.logNormalTail(float64(d)) + t.RareFraction*t.logNormalTail(float64(d)/t.RareFactor)
}

// logNormalTail returns the fraction of the log-normal distribution above d.
func (t ServiceTimes) logNormalTail(d float64) float64 {
	if d <= 0 {
		return 1
	}
	return math.Erfc(math.Log(d/float64(t.Median))/(t.Sigma*math.Sqrt2)) / 2
}

// Quantile returns the latency that the fraction q of the queries over n shards
// does not exceed. With a hedgeDelay above 0, each shard that has not answered
// after it is queried a second time, without a limit on such hedges.
func (t ServiceTimes) Quantile(q float64, n int, hedgeDelay time.Duration) time.Duration {
	allowed := MaxSlowFraction(q, n)
	low, high := time.Duration(0), time.Minute
	for high-low > time.Microsecond {
		middle := (low + high) / 2
		above := t.FractionAbove(middle)
		if hedgeDelay > 0 {
			above *= t.FractionAbove(middle - hedgeDelay)
		}
		if above > allowed {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// MaxSlowFraction returns the fraction of a shard's answers that may be late when
// the fraction q of the queries over n shards must be in time.
func MaxSlowFraction(q float64, n int) float64 {
	return -math.Expm1(math.Log(q) / float64(n))
}
