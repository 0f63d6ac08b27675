package model

import "time"

// RequestID identifies a request within one process.
type RequestID uint64

// AttemptID identifies an attempt to have an upstream answer a request, within one
// process.
type AttemptID uint64

// Fingerprint is a hash of a request's content. Equal requests have equal
// fingerprints.
type Fingerprint uint64

// Item is one result of a query.
type Item struct {
	ID   string
	Rank float64 // higher ranks come first
	Data []byte
}

// Coverage states how many shards of a snapshot an answer covers.
type Coverage struct {
	Answered int   // number of shards with an answer
	Total    int   // number of shards
	Missing  []int // numbers of the shards without an answer, ascending
}

// Fraction returns the fraction of the shards that is covered, 0 to 1.
func (c Coverage) Fraction() float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Answered) / float64(c.Total)
}

// Answer is the answer to a caller's query.
type Answer struct {
	Request  RequestID
	Snapshot SnapshotVersion
	Items    []Item
	Coverage Coverage
	Class    string
	Price    int64 // as in Class
	Ran      Ran
}

// Refusal is the refusal of a caller's request.
type Refusal struct {
	Request    RequestID
	Reason     RefusalReason
	Detail     string
	Ran        Ran
	RetryAfter time.Duration // how long to wait before a resend may succeed; 0 when it will not
}
