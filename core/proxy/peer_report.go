package proxy

import (
	"math"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Parameters of the reports on bad upstreams that the VMs of a zone exchange. A
// single VM sends a request to an upstream about once a second, so it learns
// slowly by itself.
const (
	slowFactor         = 3                       // an answer is slow from this many expected latencies on
	minSlowExcess      = 30 * time.Millisecond   // and only when it takes this much longer than expected
	reportInterval     = 500 * time.Millisecond  // least time between two reports of this VM on one upstream
	minConfirmInterval = 200 * time.Millisecond  // two slow answers confirm each other when they are further apart than a pause lasts
	maxConfirmInterval = 2 * time.Second         // and closer together than two pauses
	reportDecay        = 1500 * time.Millisecond // time constant with which a report loses weight; doubles with each relapse
	relapseWindow      = 10 * time.Second        // a slow answer within this time after a report has decayed is a relapse
	maxRelapses        = 3
	reportPenalty      = 25 * time.Millisecond // expected time lost on an upstream that was just reported
)

// peerReports are the reports of this and other VMs on one upstream.
type peerReports struct {
	sentAt        time.Time // last report of this VM
	unconfirmedAt time.Time // report on a slow answer that a second one would confirm
	confirmedAt   time.Time // when the upstream was last found to be slow or silent
	relapses      int       // how often it was found again after the previous report had decayed
}

// cost is the expected loss of time according to the reports.
func (p *peerReports) cost(at time.Time) time.Duration {
	if p.confirmedAt.IsZero() {
		return 0
	}
	return time.Duration(float64(reportPenalty) * math.Exp(-float64(at.Sub(p.confirmedAt))/float64(p.decay())))
}

// decay is the time constant with which the last report loses weight.
func (p *peerReports) decay() time.Duration { return reportDecay << p.relapses }

// relapsed reports whether a slow answer at this time is a relapse: the upstream
// was bad some time ago and is in use again.
func (p *peerReports) relapsed(at time.Time) bool {
	since := at.Sub(p.confirmedAt)
	return !p.confirmedAt.IsZero() && since >= p.decay()/2 && since < p.decay()+relapseWindow
}

// confirm records that the upstream is bad.
func (p *peerReports) confirm(at time.Time) {
	switch {
	case p.relapsed(at):
		p.relapses = min(p.relapses+1, maxRelapses)
	case p.confirmedAt.IsZero() || at.Sub(p.confirmedAt) >= p.decay():
		p.relapses = 0
	}
	p.confirmedAt = at
}

// add takes a report. A single slow answer proves nothing, since it may come from
// a pause, unless the upstream was bad before.
func (p *peerReports) add(at time.Time, sure bool) {
	since := at.Sub(p.unconfirmedAt)
	switch {
	case sure || p.relapsed(at):
		p.confirm(at)
	case since > maxConfirmInterval:
		p.unconfirmedAt = at
	case since >= minConfirmInterval:
		p.confirm(at)
		p.unconfirmedAt = at
	}
}

// Hint takes a report of another VM of the zone on an upstream or on a VM that
// does not answer portions.
func (r *Router) Hint(at time.Time, e event.UpstreamWarning, out []effect.Effect) []effect.Effect {
	if p, ok := r.peers.find(e.Upstream); ok {
		r.avoidPeer(at, p, avoidFailed)
		return out
	}
	if u, ok := r.upstreams[e.Upstream]; ok {
		u.reports.add(at, e.Unreachable)
		if e.ExtraLatency > 0 {
			u.pauses.observe(at, e.ExtraLatency)
		}
	}
	return out
}

// reportSlow records a slow answer and reports it to the zone. excess is the time
// beyond the expected latency.
func (r *Router) reportSlow(at time.Time, u *upstream, excess time.Duration, out []effect.Effect) []effect.Effect {
	u.pauses.observe(at, excess)
	return r.report(at, u, event.UpstreamWarning{ExtraLatency: excess}, out)
}

// report sends a report on an upstream to the other VMs of the zone.
func (r *Router) report(at time.Time, u *upstream, hint event.UpstreamWarning, out []effect.Effect) []effect.Effect {
	if at.Sub(u.reports.sentAt) < reportInterval {
		return out
	}
	u.reports.sentAt = at
	u.reports.add(at, hint.Unreachable)
	hint.Upstream = u.spec.ID
	return append(out, effect.ToControl{Body: hint})
}

// reportFailure records a failure that the upstream caused and reports it to the
// zone. The other VMs avoid the upstream at once after a failed connection or a
// timeout, and otherwise only when another VM reports a failure, too.
func (r *Router) reportFailure(at time.Time, u *upstream, reason model.FailureReason, out []effect.Effect) []effect.Effect {
	u.recordFailure(at, reason)
	return r.report(at, u, event.UpstreamWarning{Unreachable: reason == model.FailedRefused || reason == model.FailedTimeout}, out)
}
