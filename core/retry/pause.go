package retry

import "time"

// resumePeriod is the time in which the load returns after a pause.
const resumePeriod = time.Second

// maxSpread limits the random time that is added to a pause, so that VMs that were
// asked together do not return together: a fraction of the pause, and a time.
const (
	maxSpreadFraction = 0.1
	maxSpread         = 500 * time.Millisecond
)

// Pause is the time for which an upstream wants no requests, as it has stated itself.
// The zero value is no pause.
type Pause struct{ until time.Time }

// Ask records that an upstream asked for a pause of a length. A longer pause that it
// asked for before goes on. spread is random, from 0 to 1.
func (p *Pause) Ask(at time.Time, length time.Duration, spread float64) {
	extra := min(maxSpread, time.Duration(maxSpreadFraction*float64(length)))
	if until := at.Add(length + time.Duration(spread*float64(extra))); until.After(p.until) {
		p.until = until
	}
}

// Left returns the time until the end of the pause, 0 when there is none.
func (p *Pause) Left(at time.Time) time.Duration { return max(0, p.until.Sub(at)) }

// Room returns how many of a number of concurrent requests an upstream may get: none
// in the pause, and after it one and then gradually more.
func (p *Pause) Room(at time.Time, limit int) int {
	since := at.Sub(p.until)
	switch {
	case p.until.IsZero() || since >= resumePeriod:
		return limit
	case since < 0:
		return 0
	default:
		return min(limit, 1+int(float64(limit)*float64(since)/float64(resumePeriod)))
	}
}
