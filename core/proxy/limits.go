package proxy

import (
	"strconv"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/model"
)

// limitState is what is known about the limit that an upstream states. In the zero
// value it states none.
type limitState struct {
	limit  *model.Limit // nil when it states none
	seenAt time.Time    // when the answer came that this is known from; zero before the first limit
}

// observeLimit records the limit in an answer to an attempt, or that it has none.
// An answer to an attempt from before the limit was last seen does not end it.
func (r *Router) observeLimit(at time.Time, a *attempt, limit *model.Limit, out []effect.Effect) []effect.Effect {
	s := &a.upstream.limit
	if limit == nil && (s.limit == nil || a.sent.Before(s.seenAt)) {
		return out
	}
	changed := (s.limit == nil) != (limit == nil)
	s.limit, s.seenAt = limit, at
	if !changed {
		return out
	}
	n := effect.Note{At: at, Subject: "upstream " + string(a.upstream.spec.ID), Action: "states no limit", Cause: "its answer"}
	if limit != nil {
		n.Action, n.Cause = "states a limit", strconv.FormatFloat(limit.Rate, 'g', 4, 64)+" requests per second"
	}
	return append(out, n)
}
