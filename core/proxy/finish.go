package proxy

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Retry-After of a refusal, unless an upstream stated a longer one.
const (
	defaultRetryAfter = 50 * time.Millisecond
	staleRetryAfter   = 500 * time.Millisecond // a VM without a document receives one about a second after its start

	isolatedRetryAfter = time.Millisecond // a VM of another zone may accept the caller's next connection
)

// HandleResponseReceived handles a complete response to an attempt.
func (r *Router) HandleResponseReceived(at time.Time, e event.ResponseReceived, out []effect.Effect) []effect.Effect {
	a, ok := r.attemptsByID[e.Attempt]
	if !ok {
		return out
	}
	u := a.upstream
	if e.Load != nil {
		u.load, u.loadAt = *e.Load, at
	}
	if e.ClosesConn {
		u.closedAt = at
	}
	if !e.WrongUpstream {
		out = r.observeLimit(at, a, e.Limit, out)
	}
	out = r.recordAnswer(at, u, out)
	if e.NewConn {
		out = r.recordOpenedConn(at, out)
	}
	r.recordConn(at, a, e)
	out = r.zoneReached(at, u.spec.Zone, a.sent, out)
	if e.Leaving && !e.WrongUpstream {
		out = r.upstreamLeaves(at, u.spec.ID, out)
	}
	status := e.Response.Status
	if status == statusPause && e.RetryAfter > 0 && !e.WrongUpstream {
		out = r.pauseUpstream(at, u, e.RetryAfter, out)
		e.RetryAfter = 0 // it concerns this upstream and not its caller
	}
	switch {
	case e.WrongUpstream:
		u.wrongUpstream = true
		return r.failAttempt(at, a, model.FailedVersion, model.RanNo, 0, out)
	case e.NotRun:
		out = r.recordUpstreamFailure(at, u, model.FailedShed, out)
		return r.failAttempt(at, a, model.FailedShed, model.RanNo, e.RetryAfter, out)
	case e.Receipt == "":
		out = r.recordUpstreamFailure(at, u, model.FailedInvalid, out)
		return r.failAttempt(at, a, model.FailedInvalid, model.RanUnknown, 0, out)
	case status < 200 || status >= 300:
		out = r.recordUpstreamFailure(at, u, model.FailedInvalid, out)
		a.subrequest.errorAnswer = &answer{response: e.Response, receipt: e.Receipt}
		return r.failAttempt(at, a, model.FailedInvalid, model.RanYes, 0, out)
	}
	took := at.Sub(a.sent)
	expected := a.request.latency.expected(a.request.route)
	if took > slowFactor*expected && took > expected+minSlowExcess {
		out = r.recordSlowAnswer(at, u, took-expected, out)
	}
	r.recordPaceOfAnswer(at, u, e, took, expected)
	a.request.latency.add(a.request.route, took)
	u.recordSuccess(at, float64(took)/float64(max(expected, time.Millisecond))/u.slowdown(at))
	r.clearCrashes(a.request.event.Fingerprint)
	r.endAttempt(at, a, outcomeAnswered)
	a.subrequest.ran = model.RanYes
	a.request.lastAnswer = at
	if a.subrequest.answer == nil {
		a.subrequest.answer = &answer{response: e.Response, receipt: e.Receipt}
	}
	return r.step(at, a.request, out)
}

// HandleAttemptFailed handles the end of an attempt without a complete
// response.
func (r *Router) HandleAttemptFailed(at time.Time, e event.AttemptFailed, out []effect.Effect) []effect.Effect {
	if d, ok := r.peers.delegations[e.Attempt]; ok {
		return r.delegationFailed(at, d, e, out)
	}
	if h, ok := r.handovers[e.Attempt]; ok {
		return r.handoverFailed(at, h, e, out)
	}
	a, ok := r.attemptsByID[e.Attempt]
	if !ok {
		return out
	}
	if r.recordLostConn(at, a, e) {
		return r.failAttempt(at, a, e.Reason, e.Ran, 0, out)
	}
	if e.Reason == model.FailedRefused {
		out = r.recordFailedConn(at, a.upstream, out)
	}
	if e.Reason != model.FailedCancelled {
		out = r.recordUpstreamFailure(at, a.upstream, e.Reason, out)
	}
	if e.Reason == model.FailedReset && e.Ran != model.RanNo {
		a.request.crashed = append(a.request.crashed, a.crash)
		if !a.request.sharded() {
			r.suspectCrashes(at, a.request)
		}
	}
	return r.failAttempt(at, a, e.Reason, e.Ran, e.RetryAfter, out)
}

// failAttempt ends an attempt without a successful response and continues its
// request.
func (r *Router) failAttempt(
	at time.Time, a *attempt, reason model.FailureReason, ran model.Ran, retryAfter time.Duration, out []effect.Effect,
) []effect.Effect {
	r.endAttempt(at, a, string(reason))
	out = append(out, effect.Count{Counter: effect.CountFailed, Reason: string(reason), N: 1})
	sub := a.subrequest
	sub.retryAfter = max(sub.retryAfter, retryAfter)
	if ran == model.RanYes || ran == model.RanUnknown && sub.ran == model.RanNo {
		sub.ran = ran
	}
	return r.step(at, a.request, out)
}

// endAttempt removes an attempt that is no longer in flight.
func (r *Router) endAttempt(at time.Time, a *attempt, outcome string) {
	delete(r.attemptsByID, a.id)
	delete(a.upstream.inFlight, a.id)
	a.subrequest.pending--
	a.took, a.outcome = at.Sub(a.sent), outcome
}

// HandleCallerDisconnected ends a request whose caller disconnected. Its
// attempts are cancelled, unless the route allows a request to run only once.
func (r *Router) HandleCallerDisconnected(at time.Time, e event.CallerDisconnected, out []effect.Effect) []effect.Effect {
	if held, ok := r.held[e.Request]; ok {
		delete(r.held, e.Request)
		return append(out,
			effect.StopTimer{ID: event.TimerID{Kind: event.TimerProxyRequest, N: uint64(e.Request)}},
			effect.Trace{CallerRequestID: held.event.CallerRequestID, Outcome: "left", Took: at.Sub(held.arrived)})
	}
	if w, ok := r.tokenWaits[e.Request]; ok {
		delete(r.tokenWaits, e.Request)
		return r.reportDrained(append(out, effect.Trace{CallerRequestID: w.event.CallerRequestID, Outcome: "left", Took: at.Sub(w.arrived)}))
	}
	req, ok := r.requests[e.Request]
	if !ok {
		return out
	}
	for _, sub := range req.subrequests {
		for _, a := range sub.attempts {
			// The attempts of a portion share one id, which is cancelled once.
			covered := a.delegation != nil && a.delegation.attempts[0] != a
			if a.outcome == "" && !req.route.AtMostOnce && !covered {
				out = append(out, effect.Cancel{Attempt: a.id})
			}
		}
	}
	return r.close(at, req, "left", "", out)
}

// finish answers the caller with what was received, or refuses the request.
func (r *Router) finish(at time.Time, req *request, out []effect.Effect) []effect.Effect {
	n := req.answered()
	switch {
	case req.sharded() && req.coverageMet():
		merged := merge(req.subrequests, req.route.TopK)
		out = append(out, effect.SendMergedResponse{Request: req.event.ID, Response: merged, Leaving: req.leavingUpstreams()})
		outcome := "served"
		if merged.MissingShards > 0 {
			outcome = "partial"
		}
		return r.close(at, req, outcome, "", out)
	case !req.sharded() && n == 1:
		out = append(out, effect.SendResponse{Request: req.event.ID, Response: req.subrequests[0].answer.response, Leaving: req.leavingUpstreams()})
		return r.close(at, req, "served", "", out)
	case !req.sharded() && req.subrequests[0].errorAnswer != nil:
		out = append(out, effect.SendResponse{Request: req.event.ID, Response: req.subrequests[0].errorAnswer.response})
		return r.close(at, req, "failed", "", out)
	}
	refusal := model.Refusal{Request: req.event.ID, Ran: req.ran(), Detail: req.route.Name}
	switch {
	case refusal.Ran == model.RanNo:
		refusal.Reason = model.RefusedExhausted
		refusal.RetryAfter = max(req.retryAfter(), r.waitForPauses(at, req), defaultRetryAfter)
		if wait, refused := req.refusedByLimit(); refused {
			refusal.Reason, refusal.RetryAfter = model.RefusedLimit, max(refusal.RetryAfter, wait)
		}
		switch {
		case r.reach.lost():
			refusal.Reason, refusal.RetryAfter = model.RefusedUnreachable, r.unreachableRetryAfter(at)
		case req.handover != nil && r.outdated():
			refusal.Reason, refusal.RetryAfter = model.RefusedStale, staleRetryAfter
		}
	case !at.Before(req.deadline):
		refusal.Reason = model.RefusedTimeout
	case req.sharded():
		refusal.Reason = model.RefusedCoverage
	default:
		refusal.Reason = model.RefusedFailed
	}
	if req.event.Handover != nil && r.reach.lost() {
		refusal.Reason = model.RefusedUnreachable // the other VM may offer the request to a further one
	}
	if refusal.Ran == model.RanNo {
		// The refusal states that the request never runs, so no further attempt
		// may be made.
		for _, sub := range req.subrequests {
			sub.abandoned = true
		}
	}
	out = append(out, effect.Refuse{Refusal: refusal}, effect.Count{Counter: effect.CountRefused, Reason: string(refusal.Reason), N: 1})
	return r.close(at, req, "refused", refusal.Reason, out)
}

// refuseUnsent refuses a request for which no attempt was made.
func (r *Router) refuseUnsent(e event.ProxyRequest, route *model.Route, reason model.RefusalReason, out []effect.Effect) []effect.Effect {
	retryAfter := defaultRetryAfter
	switch reason {
	case model.RefusedStale:
		retryAfter = staleRetryAfter
	case model.RefusedIsolated:
		retryAfter = isolatedRetryAfter
	default:
	}
	return r.refuse(e, route, reason, retryAfter, out)
}

// refuse refuses a request for which no attempt was made and states when another
// try may succeed.
func (r *Router) refuse(e event.ProxyRequest, route *model.Route, reason model.RefusalReason, retryAfter time.Duration, out []effect.Effect) []effect.Effect {
	trace := effect.Trace{CallerRequestID: e.CallerRequestID, Outcome: "refused", Reason: reason}
	refusal := model.Refusal{Request: e.ID, Reason: reason, Ran: model.RanNo, RetryAfter: max(retryAfter, isolatedRetryAfter)}
	if r.document != nil {
		trace.DocumentVersion = r.document.Version
	}
	if route != nil {
		trace.Route = route.Name
	}
	if team := r.routes.teams[e.Key]; team != nil {
		trace.Team = team.Name
	}
	return append(out,
		effect.Refuse{Refusal: refusal}, effect.Count{Counter: effect.CountRefused, Reason: string(reason), N: 1}, trace)
}

// close removes a request that has ended and writes its trace. Attempts
// in flight continue: their responses update the state of their upstreams, and
// their connections stay usable.
func (r *Router) close(at time.Time, req *request, outcome string, reason model.RefusalReason, out []effect.Effect) []effect.Effect {
	req.ended = true
	delete(r.requests, req.event.ID)
	// Among many shards some upstreams may crash independently of the request,
	// so crashes count only here, when it is known that no shard answered.
	r.suspectCrashes(at, req)
	if !req.timerDue.IsZero() {
		out = append(out, effect.StopTimer{ID: event.TimerID{Kind: event.TimerProxyRequest, N: uint64(req.event.ID)}})
	}
	trace := effect.Trace{
		CallerRequestID: req.event.CallerRequestID, Route: req.route.Name, Team: req.team, Outcome: outcome, Reason: reason, Took: at.Sub(req.arrived),
		DocumentVersion: req.documentVersion, Handover: req.event.Handover != nil,
		UpstreamListAge: req.upstreamListAge, IncludedShards: req.answered(), MaxAttempts: req.maxAttempts(),
	}
	for _, sub := range req.subrequests {
		serviceTrace := model.ServiceTrace{Service: sub.service}
		for _, a := range sub.attempts {
			serviceTrace.Attempts = append(serviceTrace.Attempts, model.AttemptTrace{
				Upstream: a.upstream.spec.ID, Sent: a.sent.Sub(req.arrived), Took: a.took, Outcome: a.outcome,
			})
		}
		trace.Services = append(trace.Services, serviceTrace)
	}
	if req.handover != nil {
		trace.Services = append(trace.Services, req.handover.trace(req))
	}
	out = r.cancelHandovers(req, out)
	out = append(out, effect.Count{Counter: effect.CountServed, Reason: outcome, N: 1}, trace)
	return r.reportDrained(out)
}
