package model

import "time"

// RequestID identifies a caller's request within one process.
type RequestID uint64

// AttemptID identifies one attempt on one upstream within one process.
type AttemptID uint64

// Fingerprint is a hash of the index and body of a request.
type Fingerprint uint64

// Item is one result.
type Item struct {
	ID   string
	Rank float64 // higher ranks come first
	Data []byte
}

// Coverage states how much of a snapshot an answer covers.
type Coverage struct {
	Answered int
	Total    int
	Missing  []int // shards without an answer, ascending
}

// Fraction returns the covered share of the shards, 0 to 1.
func (c Coverage) Fraction() float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Answered) / float64(c.Total)
}

// Answer is the result of a caller's request.
type Answer struct {
	Request  RequestID
	Snapshot SnapshotVersion
	Items    []Item
	Coverage Coverage
	Class    string
	Price    int64
	Ran      Ran
}

// Rejection is a refusal of a caller's request.
type Rejection struct {
	Request    RequestID
	Reason     RefusalReason
	Detail     string
	Ran        Ran
	RetryAfter time.Duration // when a resend may help; 0 when it will not
}
