package scale

import (
	"math"
	"math/rand/v2"
	"time"
)

// Times is the distribution of service times of a stand-in: log-normal, with a
// share of answers that take longer.
type Times struct {
	Service time.Duration // median
	Spread  float64       // sigma
	Rare    float64       // share of answers that take RareBy times as long
	RareBy  float64
}

// Draw samples a service time.
func (t Times) Draw(r *rand.Rand) time.Duration {
	took := float64(t.Service) * math.Exp(t.Spread*r.NormFloat64())
	if r.Float64() < t.Rare {
		took *= t.RareBy
	}
	return time.Duration(took)
}

// Above returns the share of service times above d.
func (t Times) Above(d time.Duration) float64 {
	return (1-t.Rare)*t.tail(float64(d)) + t.Rare*t.tail(float64(d)/t.RareBy)
}

func (t Times) tail(d float64) float64 {
	if d <= 0 {
		return 1
	}
	return math.Erfc(math.Log(d/float64(t.Service))/(t.Spread*math.Sqrt2)) / 2
}

// Quantile returns the time that a query over n shards stays within with
// probability q. With a hedge above 0 each shard that takes longer than the
// hedge is asked a second time then, without a limit on the extra load.
func (t Times) Quantile(q float64, n int, hedge time.Duration) time.Duration {
	allowed := Tail(q, n)
	low, high := time.Duration(0), time.Minute
	for high-low > time.Microsecond {
		middle := (low + high) / 2
		above := t.Above(middle)
		if hedge > 0 {
			above *= t.Above(middle - hedge)
		}
		if above > allowed {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// Tail returns the share of a shard's answers that may be late when the share q
// of the queries over n shards must be in time.
func Tail(q float64, n int) float64 {
	return -math.Expm1(math.Log(q) / float64(n))
}
