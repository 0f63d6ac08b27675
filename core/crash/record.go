package crash

import (
	"slices"
	"time"

	"comfreypulley/core/model"
)

// record is what is known about one fingerprint.
type record struct {
	crashes          []model.Crash // the last one of each upstream, those of the upstreams that were seen first in front
	changedAt        time.Time     // when something new was recorded
	quarantines      int           // begun so far
	quarantinedUntil time.Time     // zero when there was no quarantine
	trialUntil       time.Time     // when the current trial has ended in any case; zero without one
}

// before reports whether a record is to be evicted before another one.
func (r *record) before(other *record) bool {
	if n, m := r.count(), other.count(); n != m {
		return n < m
	}
	return r.changedAt.Before(other.changedAt)
}

// find returns the last known crash of an upstream, nil without one.
func (r *record) find(id model.UpstreamID) *model.Crash {
	for i := range r.crashes {
		if r.crashes[i].Upstream == id {
			return &r.crashes[i]
		}
	}
	return nil
}

// count returns the number of crashes that no answer has cleared.
func (r *record) count() (n int) {
	for _, c := range r.crashes {
		n += c.Number - c.Cleared
	}
	return n
}

// live returns the last crashes of the upstreams with any that no answer has cleared.
func (r *record) live() []model.Crash {
	return slices.DeleteFunc(slices.Clone(r.crashes), func(c model.Crash) bool { return c.Number <= c.Cleared })
}

// onProbation reports whether a quarantine has ended and no answer has cleared all crashes.
func (r *record) onProbation(at time.Time) bool {
	return r.quarantines > 0 && r.count() > 0 && !at.Before(r.quarantinedUntil)
}

// add records crashes, and reports whether any of them is new. It drops the upstreams that
// were seen first beyond maxUpstreams. Crashes count as cleared by a report only if nothing
// is known of their upstream: a VM that knows less may not know them.
func (r *record) add(at time.Time, crashes []model.Crash) (isNew bool) {
	for _, c := range crashes {
		known := r.find(c.Upstream)
		if known == nil {
			r.crashes = append(r.crashes, model.Crash{Upstream: c.Upstream, Number: c.Cleared, Cleared: c.Cleared})
			r.crashes = r.crashes[max(0, len(r.crashes)-maxUpstreams):]
			known = &r.crashes[len(r.crashes)-1]
		}
		if c.Number > known.Number {
			known.Number, r.changedAt, isNew = c.Number, at, true
		}
	}
	return isNew
}

// quarantine begins a quarantine, or extends the current one.
func (r *record) quarantine(at, until time.Time) {
	if !at.Before(r.quarantinedUntil) {
		r.quarantines++
	}
	r.quarantinedUntil = until
}

// nextQuarantine returns how long the next quarantine lasts.
func (r *record) nextQuarantine() time.Duration {
	d := firstQuarantine
	for range r.quarantines {
		d = min(quarantineFactor*d, maxQuarantine)
	}
	return d
}
