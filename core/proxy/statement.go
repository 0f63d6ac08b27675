package proxy

import (
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/retry"
)

// pauseUpstream applies the pause that an upstream has asked this VM for, and passes
// it to the other loops.
func (r *Router) pauseUpstream(at time.Time, u *upstream, length time.Duration, out []effect.Effect) []effect.Effect {
	if u.pause.Left(at) == 0 {
		out = append(out, effect.Note{At: at, Subject: "upstream " + string(u.spec.ID), Action: "asks for a pause", Cause: length.String()})
	}
	u.pause.Ask(at, length, r.random.Float64())
	r.beginPace(at, u)
	if r.settings.Loops > 1 {
		out = append(out, effect.ToControl{Body: event.UpstreamStatement{Upstream: u.spec.ID, Pause: length}})
	}
	return out
}

// upstreamLeaves stops sending new requests to an upstream that is about to stop, and
// tells the other loops. Only a new start of the upstream ends this.
func (r *Router) upstreamLeaves(at time.Time, id model.UpstreamID, out []effect.Effect) []effect.Effect {
	u, ok := r.upstreams[id]
	if !ok || u.leaving {
		return out
	}
	u.leaving, r.peers.portions = true, nil
	out = append(out, effect.Note{At: at, Subject: "upstream " + string(id), Action: "leaves", Cause: "its answer"})
	if r.settings.Loops > 1 {
		out = append(out, effect.ToControl{Body: event.UpstreamStatement{Upstream: id, Leaving: true}})
	}
	return out
}

// HandleUpstreamStatement applies what an upstream has said of itself to another loop
// of this process.
func (r *Router) HandleUpstreamStatement(at time.Time, e event.UpstreamStatement, out []effect.Effect) []effect.Effect {
	u, ok := r.upstreams[e.Upstream]
	if !ok {
		return out
	}
	if e.Pause > 0 {
		u.pause.Ask(at, e.Pause, r.random.Float64())
	}
	if e.Leaving && !u.leaving {
		u.leaving, r.peers.portions = true, nil
	}
	return out
}

// forgetStatement forgets what an upstream said of itself before a new start.
func (u *upstream) forgetStatement() { u.pause, u.leaving = retry.Pause{}, false }

// hasRestarted reports whether two entries of the list show that an upstream has
// started again between them: it warms up again, or is no longer draining.
func hasRestarted(before, after model.Upstream) bool {
	return after.WarmUpLeft > 0 && before.WarmUpLeft <= 0 || before.State == model.StateDraining && after.State == model.StateActive
}

// leavingUpstreams returns the upstreams that answered a request and are about to stop.
func (q *request) leavingUpstreams() (ids []model.UpstreamID) {
	for _, sub := range q.subrequests {
		for _, a := range sub.attempts {
			if a.outcome == outcomeAnswered && a.upstream.leaving {
				ids = append(ids, a.upstream.spec.ID)
			}
		}
	}
	return ids
}

// waitForPauses returns the time until so many services of a request have an upstream
// outside of a pause that it can be served, 0 when they have.
func (r *Router) waitForPauses(at time.Time, req *request) time.Duration {
	var waits []time.Duration
	for _, sub := range req.subrequests {
		wait := time.Duration(0)
		if sub.answer == nil {
			wait = r.serviceWait(at, sub.service)
		}
		waits = append(waits, wait)
	}
	slices.Sort(waits)
	return waits[min(req.required(), len(waits))-1]
}

// serviceWait returns the time until an upstream of a service is outside of a pause, 0
// when one is or there is none.
func (r *Router) serviceWait(at time.Time, service string) time.Duration {
	var wait time.Duration
	for _, u := range r.byService[service] {
		if !u.acceptsNew() {
			continue
		}
		left := u.pause.Left(at)
		if left == 0 {
			return 0
		}
		wait = shorterWait(wait, left)
	}
	return wait
}

// statusPause is the status of a response whose Retry-After asks for a pause.
const statusPause = 503
