package proxy

import (
	"math"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Parameters of the warnings about bad upstreams that the VMs of a zone exchange.
// A single VM uses an upstream only about once a second, all of them together use
// it many times.
const (
	slowFactor         = 3                       // an answer is slow from this many expected latencies on
	minSlowExcess      = 30 * time.Millisecond   // and only when it takes this much longer than expected
	warningInterval    = 500 * time.Millisecond  // least time between two warnings of this VM about one upstream
	minConfirmInterval = 200 * time.Millisecond  // two slow answers confirm each other when they are further apart than a pause lasts
	maxConfirmInterval = 2 * time.Second         // and closer together than two pauses
	warningDecay       = 1500 * time.Millisecond // time constant with which a warning loses weight; doubles with each relapse
	relapseWindow      = 10 * time.Second        // a slow answer within this time after a warning has decayed is a relapse
	maxRelapses        = 3
	warningPenalty     = 25 * time.Millisecond // expected time lost on an upstream right after a warning
)

// warnings summarizes the warnings of this and other VMs about one upstream.
type warnings struct {
	sentAt        time.Time // last warning of this VM
	unconfirmedAt time.Time // first warning of a slow answer, which a second one would confirm
	confirmedAt   time.Time // when the upstream was last found to be slow or silent
	relapses      int       // how often it was found again after the previous warning had decayed
}

// cost is the expected loss of time according to the warnings.
func (w *warnings) cost(at time.Time) time.Duration {
	if w.confirmedAt.IsZero() {
		return 0
	}
	return time.Duration(float64(warningPenalty) * math.Exp(-float64(at.Sub(w.confirmedAt))/float64(w.decay())))
}

// decay is the time constant with which the last warning loses weight.
func (w *warnings) decay() time.Duration { return warningDecay << w.relapses }

// relapsed reports whether a slow answer at this time is a relapse: the upstream
// was bad some time ago and is in use again.
func (w *warnings) relapsed(at time.Time) bool {
	since := at.Sub(w.confirmedAt)
	return !w.confirmedAt.IsZero() && since >= w.decay()/2 && since < w.decay()+relapseWindow
}

// confirm records that the upstream is bad.
func (w *warnings) confirm(at time.Time) {
	switch {
	case w.relapsed(at):
		w.relapses = min(w.relapses+1, maxRelapses)
	case w.confirmedAt.IsZero() || at.Sub(w.confirmedAt) >= w.decay():
		w.relapses = 0
	}
	w.confirmedAt = at
}

// add records a warning. A single slow answer proves nothing, since it may come
// from a pause, unless the upstream was bad before.
func (w *warnings) add(at time.Time, unreachable bool) {
	since := at.Sub(w.unconfirmedAt)
	switch {
	case unreachable || w.relapsed(at):
		w.confirm(at)
	case since > maxConfirmInterval:
		w.unconfirmedAt = at
	case since >= minConfirmInterval:
		w.confirm(at)
		w.unconfirmedAt = at
	}
}

// HandleUpstreamWarning handles a warning from another VM of the zone about an
// upstream, or about a VM that failed to answer a portion.
func (r *Router) HandleUpstreamWarning(at time.Time, e event.UpstreamWarning, out []effect.Effect) []effect.Effect {
	if p, ok := r.peers.find(e.Upstream); ok {
		r.avoidPeer(at, p, avoidFailed)
		return out
	}
	if u, ok := r.upstreams[e.Upstream]; ok {
		u.warnings.add(at, e.Unreachable)
		if e.ExtraLatency > 0 {
			u.pauses.observe(at, e.ExtraLatency)
		}
	}
	return out
}

// recordSlowAnswer records a slow answer and warns the zone of its upstream.
// excess is the time beyond the expected latency.
func (r *Router) recordSlowAnswer(at time.Time, u *upstream, excess time.Duration, out []effect.Effect) []effect.Effect {
	u.pauses.observe(at, excess)
	return r.warn(at, u, event.UpstreamWarning{ExtraLatency: excess}, out)
}

// warn sends a warning about an upstream to the other VMs of the zone, unless the
// fault may be in the links of this VM.
func (r *Router) warn(at time.Time, u *upstream, warning event.UpstreamWarning, out []effect.Effect) []effect.Effect {
	if r.reach.inDoubt() || at.Sub(u.warnings.sentAt) < warningInterval {
		return out
	}
	u.warnings.sentAt = at
	u.warnings.add(at, warning.Unreachable)
	warning.Upstream = u.spec.ID
	return append(out, effect.ToControl{Body: warning})
}

// recordUpstreamFailure records a failure that the upstream caused and warns the
// zone. The other VMs avoid the upstream at once after a failed connection or a
// timeout, and otherwise only when a second warning confirms the first.
func (r *Router) recordUpstreamFailure(at time.Time, u *upstream, reason model.FailureReason, out []effect.Effect) []effect.Effect {
	u.recordFailure(at, reason)
	out = r.recordPaceOfFailure(at, u, reason, out)
	return r.warn(at, u, event.UpstreamWarning{Unreachable: reason == model.FailedRefused || reason == model.FailedTimeout}, out)
}
