package bench

import (
	"net/http"
	"net/netip"
	"time"

	"comfreypulley/core/model"
)

// Result is one request as its caller saw it, with all its sends.
type Result struct {
	Caller  *Caller
	Query   []byte
	Key     model.Key     // zero for a query
	Planned time.Duration // send time, from the begin of the load
	Took    time.Duration // from the planned send time to the last answer
	Tries   []Try
}

// Try is one send of a request.
type Try struct {
	Target netip.AddrPort
	Origin string // of the entry VM, from its answer
	Status int    // 0 when no answer came
	Answer Answer
}

// Answer is the body of an answer or refusal.
type Answer struct {
	Request  uint64   `json:"request"`
	Snapshot uint64   `json:"snapshot"`
	Items    []Item   `json:"items"`
	Coverage Coverage `json:"coverage"`
	Class    string   `json:"class"`
	Price    int64    `json:"price"`
	Ran      string   `json:"ran"`
	Reason   string   `json:"reason"`
	Detail   string   `json:"detail"`
}

// Item is one result in an answer.
type Item struct {
	ID   string  `json:"id"`
	Rank float64 `json:"rank"`
	Data string  `json:"data"`
}

// Coverage is what an answer states of its coverage.
type Coverage struct {
	Answered int   `json:"answered"`
	Total    int   `json:"total"`
	Missing  []int `json:"missing"`
}

// Last returns the last send, the one whose answer the caller goes by.
func (r *Result) Last() *Try {
	return &r.Tries[len(r.Tries)-1]
}

// Whole reports whether the answer covers all shards.
func (r *Result) Whole() bool {
	last := r.Last()
	return last.Status == http.StatusOK && last.Answer.Coverage.Answered == last.Answer.Coverage.Total
}

// InTime reports whether an answer came within the caller's wait.
func (r *Result) InTime() bool {
	return r.Last().Status == http.StatusOK && r.Took <= r.Caller.Wait
}

// Select returns the results that meet a condition.
func Select(results []Result, met func(*Result) bool) []Result {
	var list []Result
	for i := range results {
		if met(&results[i]) {
			list = append(list, results[i])
		}
	}
	return list
}
