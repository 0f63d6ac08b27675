package bench

import "time"

// Caller describes a caller in a load and the requests that it sends.
type Caller struct {
	Name            string // identifies the caller in the results
	Customer        string
	Secret          string
	Index           string
	Wait            time.Duration // how long it is willing to wait, as it states in its requests
	MaxItems        int           // most items in an answer; 0 means no limit
	Weight          float64       // number of requests relative to the other callers; 0 means 1
	OnceAt          time.Duration // when set, the caller sends a single request, at this time from the start of the load
	DistinctQueries int           // number of distinct queries; 0 makes every query different
	NonIdempotent   bool          // sends non-idempotent requests, each with a new idempotency key
	CrashesUpstream bool          // sends queries that crash the upstream
	MaxResends      int           // most resends of a request; see shouldResend for its conditions
}

func (c *Caller) weight() float64 {
	switch {
	case c.OnceAt > 0:
		return 0
	case c.Weight == 0:
		return 1
	default:
		return c.Weight
	}
}
