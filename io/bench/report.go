package bench

import (
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report summarizes the results of a load. Latencies are in milliseconds, counted
// from the planned send times.
type Report struct {
	Queries          int     `json:"queries"` // requests of any kind, without resends
	Complete         int     `json:"whole"`   // answers that cover all shards
	Partial          int     `json:"partial"` // answers that cover only some shards
	Refused          int     `json:"refused"`
	Unanswered       int     `json:"failed"`        // requests without an answer
	InTime           int     `json:"intime"`        // requests answered within the caller's wait
	MixedSnapshots   int     `json:"mixed"`         // answers with items of another snapshot than the stated one
	ForeignItems     int     `json:"crossed"`       // answers with items that belong to another query or run
	IncorrectAnswers int     `json:"untrue"`        // answers whose coverage is wrong or whose items are incomplete
	DuplicateRuns    int     `json:"doubled"`       // repeated runs of a non-idempotent request
	LostRuns         int     `json:"lost"`          // confirmed non-idempotent requests that no run log contains as finished
	Confirmed        int     `json:"confirmed"`     // non-idempotent requests that were answered
	FalseRefusals    int     `json:"falserefusals"` // refusals that claim the request did not run although it did
	P50              float64 `json:"p50"`
	P99              float64 `json:"p99"`
	RefusalP99       float64 `json:"refusalp99"` // of the latency of refusals
	Coverage         float64 `json:"coverage"`   // mean fraction of the shards that answers cover
	AttemptRatio     float64 `json:"extra"`      // attempts on upstreams divided by the attempts needed

	Latencies []LatencyPoint `json:"latencies"` // distribution of the latency of answers

	RefusalReasons map[string]int `json:"reasons"`          // number of refusals by reason
	Faults         []string       `json:"faults,omitempty"` // descriptions of the first maxFaults faults
}

// Range and precision of the latency histograms.
const (
	lowestMicros      = 1
	highestMicros     = 60_000_000
	significantDigits = 3
)

const (
	microsPerMS = 1000
	maxFaults   = 10
)

// LatencyPoint is one point of a latency distribution.
type LatencyPoint struct {
	Fraction     float64 `json:"share"` // of the answers, 0 to 1, whose latency is at most Milliseconds
	Milliseconds float64 `json:"ms"`
}

// percentages lists the percentiles of a reported distribution.
func percentages() []float64 {
	return []float64{5, 10, 25, 50, 75, 90, 95, 97.5, 99, 99.5, 99.9}
}

// Measure summarizes results as their callers saw them. Checker.Check fills in the
// faults.
func Measure(results []Result) *Report {
	r := &Report{RefusalReasons: make(map[string]int)}
	answers, refusals := newHistogram(), newHistogram()
	covered := 0.0
	for i := range results {
		result := &results[i]
		last := result.Last()
		r.Queries++
		switch {
		case last.Status == 0:
			r.Unanswered++
			continue
		case last.Status != http.StatusOK:
			r.Refused++
			r.RefusalReasons[last.Answer.Reason]++
			recordLatency(refusals, result.Latency)
			continue
		case result.Complete():
			r.Complete++
		default:
			r.Partial++
		}
		if result.InTime() {
			r.InTime++
		}
		covered += float64(last.Answer.Coverage.Answered) / float64(max(1, last.Answer.Coverage.Total))
		recordLatency(answers, result.Latency)
	}
	r.P50, r.P99, r.RefusalP99 = percentileMS(answers, 50), percentileMS(answers, 99), percentileMS(refusals, 99)
	for _, share := range percentages() {
		r.Latencies = append(r.Latencies, LatencyPoint{Fraction: share / 100, Milliseconds: percentileMS(answers, share)})
	}
	if n := r.Complete + r.Partial; n > 0 {
		r.Coverage = covered / float64(n)
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

func recordLatency(h *hdrhistogram.Histogram, took time.Duration) {
	_ = h.RecordValue(min(took.Microseconds(), highestMicros)) // fails only above highestMicros
}

func percentileMS(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / microsPerMS
}

// addFault counts a fault and adds its description unless there are maxFaults.
func (r *Report) addFault(counter *int, text string) {
	*counter++
	if len(r.Faults) < maxFaults {
		r.Faults = append(r.Faults, text)
	}
}
