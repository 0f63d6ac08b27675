package bench

import "time"

// Caller describes a caller in a load and the requests that it sends.
type Caller struct {
	Name     string // identifies the caller in the results
	Customer string
	Secret   string
	Index    string
	Wait     time.Duration // how long it is willing to wait, as it states in its requests
	Limit    int           // most items in an answer; 0 means no limit
	Share    float64       // fraction of the requests relative to the other callers; 0 means 1
	Once     time.Duration // when set, the caller sends a single request, at this time from the start of the load
	Bodies   int           // number of distinct queries; 0 makes every query different
	Run      bool          // sends non-idempotent requests, each with a new idempotency key
	Crash    bool          // sends queries that crash the upstream
	Resends  int           // most resends of a request; see shouldResend for its conditions
}

func (c *Caller) weight() float64 {
	switch {
	case c.Once > 0:
		return 0
	case c.Share == 0:
		return 1
	default:
		return c.Share
	}
}
