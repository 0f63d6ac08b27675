package soak

import (
	"fmt"
	"time"
)

// maxFindings limits the reported findings of each rule.
const maxFindings = 20

// Finding is a violated guarantee. Its rule is one of:
//
//   - BUDGET: an upstream received too many attempts, or more time than the
//     caller waits
//   - CONFIG: an operator or a request met a configuration that was outdated,
//     reverted, invalid or unknown, or a valid one was rejected; also late answers
//   - DENIED: a request to an existing route was answered with a client error
//   - DRAIN: an upstream received a request long after it was listed as draining
//   - ENDED: a process exited on its own
//   - GONE: work went on after its caller had disconnected
//   - LOST: a request was dropped without an answer, or an acknowledged change lost
//   - MIXED: an answer is not exactly what the upstreams returned for the request
//   - RECOVER: too few requests were served after the last fault
//   - REFUSED: a request ran although its refusal stated that it did not
//   - ROUTE: a request ran on a service outside its route
//   - SOAK: the soak test itself failed
//   - STOP: a process did not shut down gracefully within its grace period
//   - TWICE: a request that may run once ran several times
//   - UNASKED: an upstream received a request that no caller sent, or a changed
//     one
type Finding struct {
	Rule   string        `json:"rule"`
	After  time.Duration `json:"after"` // since the start of the run, in nanoseconds
	Detail string        `json:"detail"`
}

// String implements fmt.Stringer.
func (f Finding) String() string {
	return fmt.Sprintf("%s after %v: %s", f.Rule, f.After.Round(time.Millisecond), f.Detail)
}

// Report is the result of a run.
type Report struct {
	Seed      uint64         `json:"seed"`
	Findings  []Finding      `json:"findings"`
	Faults    map[string]int `json:"faults"` // injected faults by kind
	Requests  int            `json:"requests"`
	Served    int            `json:"served"`    // requests answered with status 2xx
	Runs      int            `json:"runs"`      // attempts that reached an upstream
	Changes   int            `json:"changes"`   // acknowledged configurations
	Reads     int            `json:"reads"`     // documents returned to operators
	Stalls    int            `json:"stalls"`    // times in which the soak test itself did not run; nothing is checked around them
	Judged    map[string]int `json:"judged"`    // number of checked cases, by rule, of rules that hold only without faults nearby
	Recovered float64        `json:"recovered"` // fraction of requests served after the time allowed for the recovery
}

// addFinding reports the violation of a rule.
func (s *State) addFinding(rule, format string, args ...any) {
	s.findingCounts[rule]++
	if s.findingCounts[rule] > maxFindings {
		return
	}
	f := Finding{Rule: rule, After: s.now.Sub(s.cfg.StartedAt), Detail: fmt.Sprintf(format, args...)}
	s.report.Findings = append(s.report.Findings, f)
	s.note("finding: %s", f)
}
