package retry

import (
	"math"
	"time"
)

// Layout of a histogram. The upper bounds of the buckets grow exponentially,
// from 50 µs to about 90 s.
const (
	bucketCount = 152
	firstBound  = 50 * time.Microsecond // upper bound of the first bucket
	boundGrowth = 1.1                   // ratio of the upper bounds of adjacent buckets
	halveAfter  = 2000                  // samples after which all counts are halved, so that quantiles follow changes of load
)

// Histogram is a distribution of latencies in which older samples weigh less.
// The zero value is empty.
type Histogram struct {
	counts  [bucketCount]float64
	total   float64 // sum of counts
	samples int     // samples since the counts were last halved
	cached  cachedQuantile
}

// cachedQuantile is the last result of Histogram.Quantile. It is kept because
// every event of a query needs it.
type cachedQuantile struct {
	q       float64
	value   time.Duration
	samples int // Histogram.samples when it was computed
}

const cacheSamples = 32 // samples after which a quantile is computed again

// Add adds a sample.
func (h *Histogram) Add(latency time.Duration) {
	h.counts[bucketIndex(latency)]++
	h.total++
	h.samples++
	if h.samples < halveAfter {
		return
	}
	h.samples = 0
	h.total /= 2
	for i := range h.counts {
		h.counts[i] /= 2
	}
}

// Quantile returns the q-quantile of the latencies, rounded up to the bound of
// a bucket. It returns false when there are fewer than 20 samples.
func (h *Histogram) Quantile(q float64) (time.Duration, bool) {
	const minSamples = 20
	if h.total < minSamples {
		return 0, false
	}
	if age := h.samples - h.cached.samples; h.cached.q == q && age >= 0 && age < cacheSamples {
		return h.cached.value, true
	}
	h.cached = cachedQuantile{q: q, value: h.quantile(q), samples: h.samples}
	return h.cached.value, true
}

func (h *Histogram) quantile(q float64) time.Duration {
	left := q * h.total
	for i, n := range h.counts {
		left -= n
		if left <= 0 {
			return upperBound(i)
		}
	}
	return upperBound(bucketCount - 1)
}

func bucketIndex(latency time.Duration) int {
	if latency <= firstBound {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(latency)/float64(firstBound)) / math.Log(boundGrowth)))
	return min(i, bucketCount-1)
}

func upperBound(i int) time.Duration {
	return time.Duration(float64(firstBound) * math.Pow(boundGrowth, float64(i)))
}
