package proxy

import (
	"math"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// What VMs of a zone tell each other of upstreams. One VM sees an upstream
// about once a second, all together see it many times.
const (
	slowFactor = 3                       // times the expected latency, after which an answer is told
	slowLeast  = 30 * time.Millisecond   // beyond the expected latency, below which nothing is told
	hintPause  = 500 * time.Millisecond  // between two hints of this VM about one upstream
	apartLeast = 200 * time.Millisecond  // between two hints about slow answers; a pause is shorter
	apartMost  = 2 * time.Second         // and less than the time between two pauses
	hintFade   = 1500 * time.Millisecond // doubles each time that the upstream is bad again
	hintAgain  = 10 * time.Second        // within which it is
	mostAgain  = 3
	hintCost   = 25 * time.Millisecond
)

// reports is what other VMs said of an upstream.
type reports struct {
	told  time.Time // last hint of this VM
	first time.Time // hint that a second one would confirm
	bad   time.Time // when the upstream was last reported as slow or silent
	again int       // how often it was once the report before had faded
}

// cost is the expected loss of time by the reports.
func (r *reports) cost(at time.Time) time.Duration {
	if r.bad.IsZero() {
		return 0
	}
	return time.Duration(float64(hintCost) * math.Exp(-float64(at.Sub(r.bad))/float64(r.fade())))
}

// fade is the time in which a report loses most of its weight.
func (r *reports) fade() time.Duration { return hintFade << r.again }

// relapsed reports whether a slow answer now is one of an upstream that was bad
// some time ago and is used again.
func (r *reports) relapsed(at time.Time) bool {
	since := at.Sub(r.bad)
	return !r.bad.IsZero() && since >= r.fade()/2 && since < r.fade()+hintAgain
}

// confirm notes that the upstream is bad.
func (r *reports) confirm(at time.Time) {
	switch {
	case r.relapsed(at):
		r.again = min(r.again+1, mostAgain)
	case r.bad.IsZero() || at.Sub(r.bad) >= r.fade():
		r.again = 0
	}
	r.bad = at
}

// hear takes a hint. A single slow answer proves nothing, unless the upstream was
// bad before: it may end a pause.
func (r *reports) hear(at time.Time, sure bool) {
	apart := at.Sub(r.first)
	switch {
	case sure || r.relapsed(at):
		r.confirm(at)
	case apart > apartMost:
		r.first = at
	case apart >= apartLeast:
		r.confirm(at)
		r.first = at
	}
}

// Hint takes what another VM of the zone told.
func (t *Table) Hint(at time.Time, e event.UpstreamWarning, out []effect.Effect) []effect.Effect {
	if d, ok := t.spread.daemonOf(e.Upstream); ok {
		t.exclude(at, d, avoidFailed)
		return out
	}
	if h, ok := t.hosts[e.Upstream]; ok {
		h.reports.hear(at, e.Unreachable)
		if e.ExtraLatency > 0 {
			h.rhythm.note(at, e.ExtraLatency)
		}
	}
	return out
}

// slow notes an answer that was held up, and tells it.
func (t *Table) slow(at time.Time, h *host, held time.Duration, out []effect.Effect) []effect.Effect {
	h.rhythm.note(at, held)
	return t.tell(at, h, event.UpstreamWarning{ExtraLatency: held}, out)
}

// tell tells the other VMs of the zone what was found of an upstream.
func (t *Table) tell(at time.Time, h *host, hint event.UpstreamWarning, out []effect.Effect) []effect.Effect {
	if at.Sub(h.reports.told) < hintPause {
		return out
	}
	h.reports.told = at
	h.reports.hear(at, hint.Unreachable)
	hint.Upstream = h.upstream.ID
	return append(out, effect.ToControl{Body: hint})
}

// blame notes a failure of an upstream and tells it: one that is out of service
// at once, one that fails some requests when another VM finds the same.
func (t *Table) blame(at time.Time, h *host, reason model.FailureReason, out []effect.Effect) []effect.Effect {
	h.failed(at, reason)
	return t.tell(at, h, event.UpstreamWarning{Unreachable: reason == model.FailedRefused || reason == model.FailedTimeout}, out)
}
