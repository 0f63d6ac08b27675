package bench

import (
	"net/http"
	"net/netip"
	"time"

	"comfreypulley/core/model"
)

// Result is the outcome of one request, including its resends.
type Result struct {
	Caller    *Caller
	Query     []byte
	Key       model.Key     // zero for an idempotent query
	PlannedAt time.Duration // when the request should be sent, from the start of the load
	Latency   time.Duration // from the planned send time to the last answer
	Sends     []Send
}

// Send is one send of a request, the first one or a resend.
type Send struct {
	Target  netip.AddrPort
	EntryVM string // id of the entry VM that answered
	Status  int    // HTTP status; 0 without an answer
	Answer  Answer
}

// Answer is the body of an answer or refusal. The fields are explained at
// model.Answer and model.Refusal.
type Answer struct {
	RequestID uint64   `json:"request"`
	Snapshot  uint64   `json:"snapshot"`
	Items     []Item   `json:"items"`
	Coverage  Coverage `json:"coverage"`
	Class     string   `json:"class"`
	Price     int64    `json:"price"`
	Ran       string   `json:"ran"`
	Reason    string   `json:"reason"`
	Detail    string   `json:"detail"`
}

// Item is one item of an answer.
type Item struct {
	ID   string  `json:"id"`
	Rank float64 `json:"rank"`
	Data string  `json:"data"`
}

// Coverage is the coverage that an answer states.
type Coverage struct {
	Answered int   `json:"answered"`
	Total    int   `json:"total"`
	Missing  []int `json:"missing"`
}

// Last returns the last send, whose answer is the final one for the caller.
func (r *Result) Last() *Send {
	return &r.Sends[len(r.Sends)-1]
}

// Complete reports whether the answer covers all shards.
func (r *Result) Complete() bool {
	last := r.Last()
	return last.Status == http.StatusOK && last.Answer.Coverage.Answered == last.Answer.Coverage.Total
}

// InTime reports whether an answer came within the caller's wait.
func (r *Result) InTime() bool {
	return r.Last().Status == http.StatusOK && r.Latency <= r.Caller.Wait
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
