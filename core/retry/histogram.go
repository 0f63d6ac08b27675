package retry

import (
	"math"
	"time"
)

// Layout of a histogram: buckets grow by a tenth each, from 50 µs to about 90 s.
const (
	buckets     = 152
	firstBucket = 50 * time.Microsecond
	growth      = 1.1
	halveAfter  = 2000 // samples, so that the quantiles follow a change of load
)

// Histogram keeps a decaying distribution of latencies. The zero value is empty.
type Histogram struct {
	counts [buckets]float64
	total  float64
	fresh  int
	memo   memo
}

// memo is the last quantile asked for. It is computed again after memoFor
// samples, since every event of a query asks for it.
type memo struct {
	q     float64
	value time.Duration
	fresh int // fresh when it was computed
}

const memoFor = 32

// Add counts a latency.
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

// Quantile returns the latency that the share q of the samples does not exceed,
// and false when there are fewer than 20 samples.
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
