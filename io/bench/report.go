package bench

import (
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of a load. Its fields are the names of the JSON output.
// Latencies are in milliseconds, counted from the planned send times.
type Report struct {
	Queries       int     `json:"queries"`
	Whole         int     `json:"whole"`
	Partial       int     `json:"partial"`
	Refused       int     `json:"refused"`
	Failed        int     `json:"failed"` // no answer came
	InTime        int     `json:"intime"` // answered within the caller's wait
	Mixed         int     `json:"mixed"`
	Crossed       int     `json:"crossed"`
	Untrue        int     `json:"untrue"`
	Doubled       int     `json:"doubled"`
	Lost          int     `json:"lost"`
	Confirmed     int     `json:"confirmed"`
	FalseRefusals int     `json:"falserefusals"`
	P50           float64 `json:"p50"`
	P99           float64 `json:"p99"`
	RefusalP99    float64 `json:"refusalp99"`
	Coverage      float64 `json:"coverage"`
	Extra         float64 `json:"extra"`

	Latencies []Latency `json:"latencies"` // of answers, ascending by share

	Reasons map[string]int `json:"reasons"`
	Faults  []string       `json:"faults,omitempty"` // the first faults found, in words
}

const (
	lowestMicros  = 1
	highestMicros = 60_000_000
	digits        = 3
	microsPerMS   = 1000
	maxFaults     = 10
)

// Latency is one point of a distribution.
type Latency struct {
	Share float64 `json:"share"` // of the answers, 0 to 1
	MS    float64 `json:"ms"`    // that they do not exceed
}

// shares lists the percentages at which a distribution is reported.
func shares() []float64 {
	return []float64{5, 10, 25, 50, 75, 90, 95, 97.5, 99, 99.5, 99.9}
}

// Measure counts results as their callers saw them. The faults are left for
// Evidence.
func Measure(results []Result) *Report {
	r := &Report{Reasons: make(map[string]int)}
	answers, refusals := newHistogram(), newHistogram()
	covered := 0.0
	for i := range results {
		result := &results[i]
		last := result.Last()
		r.Queries++
		switch {
		case last.Status == 0:
			r.Failed++
			continue
		case last.Status != http.StatusOK:
			r.Refused++
			r.Reasons[last.Answer.Reason]++
			record(refusals, result.Took)
			continue
		case result.Whole():
			r.Whole++
		default:
			r.Partial++
		}
		if result.InTime() {
			r.InTime++
		}
		covered += float64(last.Answer.Coverage.Answered) / float64(max(1, last.Answer.Coverage.Total))
		record(answers, result.Took)
	}
	r.P50, r.P99, r.RefusalP99 = quantile(answers, 50), quantile(answers, 99), quantile(refusals, 99)
	for _, share := range shares() {
		r.Latencies = append(r.Latencies, Latency{Share: share / 100, MS: quantile(answers, share)})
	}
	if n := r.Whole + r.Partial; n > 0 {
		r.Coverage = covered / float64(n)
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

func record(h *hdrhistogram.Histogram, took time.Duration) {
	// Values above the highest are recorded as the highest.
	_ = h.RecordValue(min(took.Microseconds(), highestMicros))
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / microsPerMS
}

// fault counts a fault and keeps the first ones in words.
func (r *Report) fault(counter *int, text string) {
	*counter++
	if len(r.Faults) < maxFaults {
		r.Faults = append(r.Faults, text)
	}
}
