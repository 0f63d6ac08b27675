package retry

import (
	"math"
	"time"
)

// Layout of a histogram. The upper bounds of the buckets grow exponentially,
// from 50 µs to about 90 s.
const (
	buckets     = 152
	firstBucket = 50 * time.Microsecond // upper bound of the first bucket
	growth      = 1.1                   // ratio of the upper bounds of adjacent buckets
	halveAfter  = 2000                  // samples after which all counts are halved, so that quantiles follow changes of load
)

// Histogram is a distribution of latencies in which older samples weigh less.
// The zero value is empty.
type Histogram struct {
	counts [buckets]float64
	total  float64 // sum of counts
	fresh  int     // samples since the counts were last halved
	memo   memo
}

// memo caches the last quantile, because every event of a query asks for it.
type memo struct {
	q     float64
	value time.Duration
	fresh int // Histogram.fresh when it was computed
}

const memoFor = 32 // samples after which a quantile is computed again

// Add adds a sample.
func (h *Histogram) Add(latency time.Duration) {
	h.counts[bucket(latency)]++
	h.total++
	h.fresh++
	if h.fresh < halveAfter {
		return
	}
	h.fresh = 0
	h.total /= 2
	for i := range h.counts {
		h.counts[i] /= 2
	}
}

// Quantile returns the q-quantile of the latencies, rounded up to the bound of
// a bucket. It returns false when there are fewer than 20 samples.
func (h *Histogram) Quantile(q float64) (time.Duration, bool) {
	const least = 20
	if h.total < least {
		return 0, false
	}
	if age := h.fresh - h.memo.fresh; h.memo.q == q && age >= 0 && age < memoFor {
		return h.memo.value, true
	}
	h.memo = memo{q: q, value: h.quantile(q), fresh: h.fresh}
	return h.memo.value, true
}

func (h *Histogram) quantile(q float64) time.Duration {
	left := q * h.total
	for i, n := range h.counts {
		left -= n
		if left <= 0 {
			return upper(i)
		}
	}
	return upper(buckets - 1)
}

func bucket(latency time.Duration) int {
	if latency <= firstBucket {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(latency)/float64(firstBucket)) / math.Log(growth)))
	return min(i, buckets-1)
}

func upper(i int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Pow(growth, float64(i)))
}
