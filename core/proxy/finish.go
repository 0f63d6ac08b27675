package proxy

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// When a refused caller may come back if no upstream said so.
const (
	shortWait = 50 * time.Millisecond
	staleWait = 500 * time.Millisecond // a VM without a document gets one in about a second after its start

	elsewhereWait = time.Millisecond // a VM of another zone may take the next connection
)

// Returned takes a complete response.
func (t *Table) Returned(at time.Time, e event.ResponseReceived, out []effect.Effect) []effect.Effect {
	a, ok := t.attempts[e.Attempt]
	if !ok {
		return out
	}
	h := a.host
	if e.Load != nil {
		h.load, h.loadAt = *e.Load, at
	}
	if e.ClosesConn {
		h.leaving = at
	}
	out = t.reached(at, h.upstream.Zone, a.sent, out)
	status := e.Response.Status
	switch {
	case e.WrongUpstream:
		h.other = true
		return t.broken(at, a, model.FailedVersion, model.RanNo, 0, out)
	case e.NotRun:
		out = t.blame(at, h, model.FailedShed, out)
		return t.broken(at, a, model.FailedShed, model.RanNo, e.RetryAfter, out)
	case e.Receipt == "":
		out = t.blame(at, h, model.FailedInvalid, out)
		return t.broken(at, a, model.FailedInvalid, model.RanUnknown, 0, out)
	case status < 200 || status >= 300:
		out = t.blame(at, h, model.FailedInvalid, out)
		a.leg.failure = &part{reply: e.Response, receipt: e.Receipt}
		return t.broken(at, a, model.FailedInvalid, model.RanYes, 0, out)
	}
	took := at.Sub(a.sent)
	expected := a.call.pace.expected(a.call.route)
	if took > slowFactor*expected && took > expected+slowLeast {
		out = t.slow(at, h, took-expected, out)
	}
	a.call.pace.add(a.call.route, took)
	h.answered(at, float64(took)/float64(max(expected, time.Millisecond)))
	t.suspects.clear(a.call.event.Fingerprint)
	t.end(at, a, "answered")
	a.leg.ran = model.RanYes
	a.call.flow = at
	if a.leg.part == nil {
		a.leg.part = &part{reply: e.Response, receipt: e.Receipt}
	}
	return t.step(at, a.call, out)
}

// Failed takes an attempt without a complete response.
func (t *Table) Failed(at time.Time, e event.AttemptFailed, out []effect.Effect) []effect.Effect {
	if g, ok := t.spread.delegations[e.Attempt]; ok {
		return t.undelegated(at, g, e, out)
	}
	a, ok := t.attempts[e.Attempt]
	if !ok {
		return out
	}
	if e.Reason != model.FailedCancelled {
		out = t.blame(at, a.host, e.Reason, out)
	}
	if e.Reason == model.FailedReset && e.Ran != model.RanNo {
		a.call.struck = append(a.call.struck, a.host.upstream.ID)
		if !a.call.scatter() {
			out = t.strike(at, a.call, out)
		}
	}
	return t.broken(at, a, e.Reason, e.Ran, e.RetryAfter, out)
}

// strike holds against a request that its upstreams broke off.
func (t *Table) strike(at time.Time, c *call, out []effect.Effect) []effect.Effect {
	if len(c.struck) == 0 || c.included() > 0 {
		return out
	}
	if struck, news := t.suspects.add(at, c.event.Fingerprint, c.struck...); news {
		out = append(out, effect.ToControl{Body: struck})
	}
	return out
}

// broken ends an attempt that gave no answer and goes on with its call.
func (t *Table) broken(at time.Time, a *attempt, reason model.FailureReason, ran model.Ran, after time.Duration, out []effect.Effect) []effect.Effect {
	t.end(at, a, string(reason))
	out = append(out, effect.Count{Counter: effect.CountFailed, Reason: string(reason), N: 1})
	l := a.leg
	l.after = max(l.after, after)
	if ran == model.RanYes || ran == model.RanUnknown && l.ran == model.RanNo {
		l.ran = ran
	}
	return t.step(at, a.call, out)
}

// end takes an attempt out of the books.
func (t *Table) end(at time.Time, a *attempt, outcome string) {
	delete(t.attempts, a.id)
	delete(a.host.live, a.id)
	a.leg.pending--
	a.took, a.outcome = at.Sub(a.sent), outcome
}

// Gone takes a caller's leaving. Upstreams stop working on the request, unless
// it must not be broken off midway.
func (t *Table) Gone(at time.Time, e event.CallerDisconnected, out []effect.Effect) []effect.Effect {
	if w, ok := t.early[e.Request]; ok {
		delete(t.early, e.Request)
		return append(out,
			effect.StopTimer{ID: event.TimerID{Kind: event.TimerProxyRequest, N: uint64(e.Request)}},
			effect.Trace{CallerRequestID: w.event.CallerRequestID, Outcome: "left", Took: at.Sub(w.arrived)})
	}
	c, ok := t.calls[e.Request]
	if !ok {
		return out
	}
	for _, l := range c.legs {
		for _, a := range l.tries {
			shared := a.delegation != nil && a.delegation.tries[0] != a // one cancel ends the whole portion
			if a.outcome == "" && !c.route.AtMostOnce && !shared {
				out = append(out, effect.Cancel{Attempt: a.id})
			}
		}
	}
	return t.close(at, c, "left", "", out)
}

// finish answers the caller with the best there is.
func (t *Table) finish(at time.Time, c *call, out []effect.Effect) []effect.Effect {
	n := c.included()
	switch {
	case c.scatter() && c.enough():
		merged := merge(c.legs, c.route.TopK)
		out = append(out, effect.SendMergedResponse{Request: c.event.ID, Response: merged})
		outcome := "served"
		if merged.MissingShards > 0 {
			outcome = "partial"
		}
		return t.close(at, c, outcome, "", out)
	case !c.scatter() && n == 1:
		out = append(out, effect.SendResponse{Request: c.event.ID, Response: c.legs[0].part.reply})
		return t.close(at, c, "served", "", out)
	case !c.scatter() && c.legs[0].failure != nil:
		out = append(out, effect.SendResponse{Request: c.event.ID, Response: c.legs[0].failure.reply})
		return t.close(at, c, "failed", "", out)
	}
	r := model.Rejection{Request: c.event.ID, Ran: c.ran(), Detail: c.route.Name}
	switch {
	case r.Ran == model.RanNo:
		r.Reason = model.RefusedExhausted
		r.RetryAfter = max(c.after(), shortWait)
	case !at.Before(c.deadline):
		r.Reason = model.RefusedTimeout
	case c.scatter():
		r.Reason = model.RefusedCoverage
	default:
		r.Reason = model.RefusedFailed
	}
	if r.Ran == model.RanNo {
		// The refusal states that the request never runs, so nothing may be left.
		for _, l := range c.legs {
			l.lost = true
		}
	}
	out = append(out, effect.Refuse{Rejection: r}, effect.Count{Counter: effect.CountRefused, Reason: string(r.Reason), N: 1})
	return t.close(at, c, "refused", r.Reason, out)
}

// refuseEarly refuses a request of which nothing was sent.
func (t *Table) refuseEarly(e event.ProxyRequest, route *model.Route, reason model.RefusalReason, out []effect.Effect) []effect.Effect {
	trace := effect.Trace{CallerRequestID: e.CallerRequestID, Outcome: "refused", Reason: reason}
	r := model.Rejection{Request: e.ID, Reason: reason, Ran: model.RanNo, RetryAfter: shortWait}
	switch reason {
	case model.RefusedStale:
		r.RetryAfter = staleWait
	case model.RefusedIsolated:
		r.RetryAfter = elsewhereWait
	default:
	}
	if t.document != nil {
		trace.DocumentVersion = t.document.Version
	}
	if route != nil {
		trace.Route = route.Name
	}
	return append(out,
		effect.Refuse{Rejection: r}, effect.Count{Counter: effect.CountRefused, Reason: string(reason), N: 1}, trace)
}

// close takes a call out of the books. Attempts without an end go on: their
// answers tell of their upstreams, and their connections stay usable.
func (t *Table) close(at time.Time, c *call, outcome string, reason model.RefusalReason, out []effect.Effect) []effect.Effect {
	c.ended = true
	delete(t.calls, c.event.ID)
	// Of a request over many shards some upstreams may just have crashed by
	// themselves; one that crashes them has no answer at all.
	out = t.strike(at, c, out)
	if !c.timer.IsZero() {
		out = append(out, effect.StopTimer{ID: event.TimerID{Kind: event.TimerProxyRequest, N: uint64(c.event.ID)}})
	}
	trace := effect.Trace{
		CallerRequestID: c.event.CallerRequestID, Route: c.route.Name, Outcome: outcome, Reason: reason, Took: at.Sub(c.arrived), DocumentVersion: c.version,
		UpstreamListAge: c.roster, IncludedShards: c.included(), MaxAttempts: c.allowed(),
	}
	for _, l := range c.legs {
		info := model.ServiceTrace{Service: l.service}
		for _, a := range l.tries {
			info.Attempts = append(info.Attempts, model.AttemptTrace{
				Upstream: a.host.upstream.ID, Sent: a.sent.Sub(c.arrived), Took: a.took, Outcome: a.outcome,
			})
		}
		trace.Services = append(trace.Services, info)
	}
	out = append(out, effect.Count{Counter: effect.CountServed, Reason: outcome, N: 1}, trace)
	return t.drained(out)
}
