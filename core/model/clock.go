package model

import "time"

// Clock stamps messages with this process's steady clock. Another VM sends the
// stamp back with its answer, which shows how old the answer is at most, however
// long it was under way. The zero value accepts no stamp.
type Clock struct {
	start time.Time
}

// NewClock returns a clock for a process whose events start at a time.
func NewClock(start time.Time) Clock { return Clock{start: start} }

// Stamp returns the stamp of a message that is sent at a time of this process.
func (c Clock) Stamp(at time.Time) time.Time {
	return c.start.Round(0).Add(at.Sub(c.start))
}

// SentAt returns when this process sent the message with a stamp. It rejects the
// zero stamp, stamps of an earlier process and stamps from the future.
func (c Clock) SentAt(stamp, now time.Time) (at time.Time, ok bool) {
	elapsed := stamp.Sub(c.start.Round(0))
	if stamp.IsZero() || c.start.IsZero() || elapsed < 0 || elapsed > now.Sub(c.start) {
		return time.Time{}, false
	}
	return c.start.Add(elapsed), true
}
