package bench

import "time"

// Caller is one kind of request in a load.
type Caller struct {
	Name     string // tells callers of a mix apart in results
	Customer string
	Secret   string
	Index    string
	Wait     time.Duration // how long it can wait
	Limit    int           // items at most; 0 means all
	Share    float64       // of the load, relative to the other callers; 0 means 1
	Once     time.Duration // sends one request only, at this time; 0 means that the caller takes its share
	Bodies   int           // distinct queries; 0 means that every query differs
	Run      bool          // non-idempotent, with a new key for each request
	Crash    bool          // marked to crash whichever upstream runs it
	Resends  int           // further sends after a lost answer or, when marked, after any failure
}

func (c *Caller) share() float64 {
	switch {
	case c.Once > 0:
		return 0
	case c.Share == 0:
		return 1
	default:
		return c.Share
	}
}
