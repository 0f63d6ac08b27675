package demo

import (
	"fmt"
	"time"

	"comfreypulley/io/bench"
)

// afterFault is how long the system may take to adapt to a lost upstream.
const afterFault = 2 * time.Second

func atMost(name string, value, bound float64) Target {
	return Target{Name: name, Bound: fmt.Sprintf("at most %g", bound), Value: value, Met: value <= bound}
}

func atLeast(name string, value, bound float64) Target {
	return Target{Name: name, Bound: fmt.Sprintf("at least %g", bound), Value: value, Met: value >= bound}
}

// truthful are the targets that hold under every profile.
func truthful(outcomes []outcome) []Target {
	var sum bench.Report
	for _, o := range outcomes {
		sum.Queries += o.report.Queries
		sum.MixedSnapshots += o.report.MixedSnapshots
		sum.ForeignItems += o.report.ForeignItems
		sum.IncorrectAnswers += o.report.IncorrectAnswers
		sum.DuplicateRuns += o.report.DuplicateRuns
		sum.LostRuns += o.report.LostRuns
		sum.FalseRefusals += o.report.FalseRefusals
	}
	return []Target{
		atMost("mixed", float64(sum.MixedSnapshots), 0),
		atMost("crossed", float64(sum.ForeignItems), 0),
		atMost("untrue", float64(sum.IncorrectAnswers), 0),
		atMost("doubled", float64(sum.DuplicateRuns), 0),
		atMost("lost", float64(sum.LostRuns), 0),
		atMost("falserefusals", float64(sum.FalseRefusals), 0),
	}
}

// ratio divides, and gives 0 for nothing over nothing.
func ratio(a, b float64) float64 {
	if a == 0 {
		return 0
	}
	return a / b
}

// wholeShare is the share of results that are whole and in time.
func wholeShare(results []bench.Result) float64 {
	n := 0
	for i := range results {
		if results[i].Complete() && results[i].InTime() {
			n++
		}
	}
	return ratio(float64(n), float64(len(results)))
}

// between selects the results planned in [from, to).
func between(results []bench.Result, from, to time.Duration) []bench.Result {
	return bench.Select(results, func(r *bench.Result) bool { return r.PlannedAt >= from && r.PlannedAt < to })
}

// of selects the results of a caller.
func of(results []bench.Result, name string) []bench.Result {
	return bench.Select(results, func(r *bench.Result) bool { return r.Caller.Name == name })
}

// goodput is answers in time a second.
func (o *outcome) goodput() float64 {
	return float64(o.report.InTime) / o.period.Seconds()
}
