package proxy

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/model"
)

// coldLimit is the limit of an upstream that is cold, where the document states one for its
// service. It is kept like a limit that the upstream states itself. The zero value is none.
type coldLimit struct {
	limit *model.Limit
	until time.Time
}

// inForce returns the limit while the upstream is cold, nil otherwise.
func (c *coldLimit) inForce(at time.Time) *model.Limit {
	if !at.Before(c.until) {
		return nil
	}
	return c.limit
}

// limitCold puts the limit of a cold upstream in force until a time, unless it is already.
func (r *Router) limitCold(at time.Time, u *upstream, until time.Time, out []effect.Effect) []effect.Effect {
	rate := r.services[u.spec.Index].WarmUpRate
	if rate <= 0 || !until.After(at) || !until.After(u.limit.cold.until) {
		return out
	}
	before := u.limit.cold.inForce(at)
	u.limit.cold, u.limit.seenAt = coldLimit{limit: &model.Limit{Rate: rate}, until: until}, at
	r.updateLimiter(at, u)
	if before != nil {
		return out
	}
	out = append(out, effect.Note{At: at, Subject: "upstream " + string(u.spec.ID), Action: "is cold", Cause: "until " + until.Sub(at).Truncate(time.Millisecond).String() + " from now"})
	return r.reportLimits(at, out)
}

// suspectCold takes an upstream for cold whose state is not known: it could not be reached,
// and may have started again, or its zone was out of use. The list says so only later.
func (r *Router) suspectCold(at time.Time, u *upstream, out []effect.Effect) []effect.Effect {
	return r.limitCold(at, u, at.Add(r.services[u.spec.Index].WarmUp), out)
}
