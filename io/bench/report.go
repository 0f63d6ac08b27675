package bench

import "github.com/HdrHistogram/hdrhistogram-go"

// Report is the result of a load. Its fields are the names of the JSON output.
type Report struct {
	Queries       int     `json:"queries"`
	Whole         int     `json:"whole"`
	Partial       int     `json:"partial"`
	Refused       int     `json:"refused"`
	Failed        int     `json:"failed"`
	Mixed         int     `json:"mixed"`
	Crossed       int     `json:"crossed"`
	Untrue        int     `json:"untrue"`
	Doubled       int     `json:"doubled"`
	FalseRefusals int     `json:"falserefusals"`
	P50           float64 `json:"p50"`
	P99           float64 `json:"p99"`
	Coverage      float64 `json:"coverage"`
	Extra         float64 `json:"extra"`

	Reasons map[string]int `json:"reasons"`

	covered   float64
	needed    int
	latencies *hdrhistogram.Histogram
}

const (
	lowestMicros  = 1
	highestMicros = 60_000_000
	digits        = 3
	microsPerMS   = 1000
)

func newReport() *Report {
	return &Report{Reasons: make(map[string]int), latencies: hdrhistogram.New(lowestMicros, highestMicros, digits)}
}

// finish computes the figures from what was counted.
func (r *Report) finish() {
	r.P50 = float64(r.latencies.ValueAtQuantile(50)) / microsPerMS
	r.P99 = float64(r.latencies.ValueAtQuantile(99)) / microsPerMS
	if n := r.Whole + r.Partial; n > 0 {
		r.Coverage = r.covered / float64(n)
	}
}
