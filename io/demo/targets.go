package demo

import (
	"fmt"
	"time"

	"comfreypulley/io/bench"
)

// adaptationTime is the time that the system may take to adapt to a lost upstream.
const adaptationTime = 2 * time.Second

func atMost(name string, value, bound float64) Target {
	return Target{Name: name, Bound: fmt.Sprintf("at most %g", bound), Value: value, Met: value <= bound}
}

func atLeast(name string, value, bound float64) Target {
	return Target{Name: name, Bound: fmt.Sprintf("at least %g", bound), Value: value, Met: value >= bound}
}

// correctnessTargets returns the targets that hold under every profile: no fault
// of any kind.
func correctnessTargets(outcomes []outcome) []Target {
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

// ratio returns a/b, or 0 when a is 0.
func ratio(a, b float64) float64 {
	if a == 0 {
		return 0
	}
	return a / b
}

// completeInTimeFraction returns the fraction of the results with a complete
// answer within the caller's wait.
func completeInTimeFraction(results []bench.Result) float64 {
	n := 0
	for i := range results {
		if results[i].Complete() && results[i].InTime() {
			n++
		}
	}
	return ratio(float64(n), float64(len(results)))
}

// plannedBetween returns the results planned in [from, to).
func plannedBetween(results []bench.Result, from, to time.Duration) []bench.Result {
	return bench.Select(results, func(r *bench.Result) bool { return r.PlannedAt >= from && r.PlannedAt < to })
}

// ofCaller returns the results of the caller with the given name.
func ofCaller(results []bench.Result, name string) []bench.Result {
	return bench.Select(results, func(r *bench.Result) bool { return r.Caller.Name == name })
}

// goodput returns the number of answers in time per second.
func (o *outcome) goodput() float64 {
	return float64(o.report.InTime) / o.period.Seconds()
}
