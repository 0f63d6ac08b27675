package soak

import (
	"fmt"
	"time"
)

// maxFindings bounds the findings of a rule that are kept.
const maxFindings = 20

// Finding is a broken promise.
type Finding struct {
	Rule   string        `json:"rule"`
	After  time.Duration `json:"after"` // since the soak began, in nanoseconds
	Detail string        `json:"detail"`
}

// String implements fmt.Stringer.
func (f Finding) String() string {
	return fmt.Sprintf("%s after %v: %s", f.Rule, f.After.Round(time.Millisecond), f.Detail)
}

// Report is the outcome of a soak.
type Report struct {
	Seed      uint64         `json:"seed"`
	Findings  []Finding      `json:"findings"`
	Faults    map[string]int `json:"faults"` // by kind
	Requests  int            `json:"requests"`
	Served    int            `json:"served"`
	Runs      int            `json:"runs"`
	Changes   int            `json:"changes"` // acknowledged
	Reads     int            `json:"reads"`
	Stalls    int            `json:"stalls"`    // of the soak itself, around which nothing is judged
	Judged    map[string]int `json:"judged"`    // cases of rules that hold for calm VMs only
	Recovered float64        `json:"recovered"` // share served after the last fault and the recovery
}

// find adds a finding.
func (s *State) find(rule, format string, args ...any) {
	s.counts[rule]++
	if s.counts[rule] > maxFindings {
		return
	}
	f := Finding{Rule: rule, After: s.now.Sub(s.cfg.Began), Detail: fmt.Sprintf(format, args...)}
	s.report.Findings = append(s.report.Findings, f)
	s.note("finding: %s", f)
}
