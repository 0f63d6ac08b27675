package proxy

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/pace"
)

// paced reports whether the pace of an upstream is found from its answers: where the
// document says that upstreams of the service are cold after a start.
func (r *Router) paced(u *upstream) bool { return r.services[u.spec.Index].WarmUp > 0 }

// beginPace starts to find the pace of an upstream that has started, has failed, was in a
// pause, or is in a zone that is put back into use.
func (r *Router) beginPace(at time.Time, u *upstream) {
	if r.paced(u) && !u.window.Active() {
		u.window.Begin(at, u.spec.Slots, max(1, r.entryVMCount))
	}
}

// paceAllows reports whether the pace of an upstream leaves room for an attempt. A
// subrequest keeps its draw, so that searching again does not raise its chance.
func (r *Router) paceAllows(at time.Time, sub *subrequest, u *upstream) bool {
	if !u.window.Active() {
		return true
	}
	if sub.paceDraw == 0 {
		sub.paceDraw = r.random.Float64()
	}
	return u.window.Allows(at, len(u.inFlight), sub.paceDraw)
}

// recordPaceOfAnswer adapts the pace to a successful answer.
func (r *Router) recordPaceOfAnswer(at time.Time, u *upstream, e event.ResponseReceived, took, usual time.Duration) {
	u.window.HandleAnswer(at, pace.Answer{Took: took, Usual: usual, Load: e.Load})
}

// recordPaceOfFailure adapts the pace to an attempt that the upstream did not serve.
func (r *Router) recordPaceOfFailure(at time.Time, u *upstream, reason model.FailureReason, out []effect.Effect) []effect.Effect {
	if reason == model.FailedRefused {
		r.beginPace(at, u)
		u.window.HandleRefused(at)
		return r.suspectCold(at, u, out)
	}
	u.window.HandleTrouble(at)
	return out
}
