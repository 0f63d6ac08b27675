package proxy

import (
	"cmp"
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/quota"
)

// tokenWait is a request that waits for a token of its team's limit.
type tokenWait struct {
	event   event.ProxyRequest
	arrived time.Time
	request *request // set when the request has been offered to other VMs before
}

// avoidUnmetered is how long a VM that reaches no issuer of tokens is offered no request
// for want of one.
const avoidUnmetered = 500 * time.Millisecond

// authorize returns the team of a request, nil without one, and why the request is
// refused, or "". Portions have been authorized by the VM that received the request.
func (r *Router) authorize(e event.ProxyRequest, route *model.Route, routes *routeTable) (team *keyHolder, reason model.RefusalReason) {
	if !routes.keyed || e.Portion != nil {
		return nil, ""
	}
	team = routes.teams[e.Key]
	switch {
	case team != nil || route.Public:
		return team, ""
	case r.documentOverdue || r.outdated():
		return nil, model.RefusedStale // a newer document may have the key
	default:
		return nil, model.RefusedCredential
	}
}

// needsToken reports whether a request has to wait for a token.
func needsToken(e event.ProxyRequest, team *keyHolder) bool {
	return team != nil && team.Limit.Limited() && e.Portion == nil && (e.Handover == nil || !e.Handover.Metered)
}

// isLate reports whether a caller that waits for a time has probably been refused before,
// for so long that an answer cannot reach it within the target latency. Callers state how
// long they still wait, and most of them wait equally long at first.
func (r *Router) isLate(route *model.Route, wait time.Duration) bool {
	s := r.latencyStats(route)
	s.longestWait = max(s.longestWait, min(wait, route.Timeout))
	return wait > 0 && s.longestWait-wait >= targetLatency(route)
}

// requestToken asks for a token. The request goes on in HandleTokenAnswer.
func (r *Router) requestToken(w tokenWait, route *model.Route, team *keyHolder, out []effect.Effect) []effect.Effect {
	if r.tokenWaits == nil {
		r.tokenWaits = make(map[model.RequestID]tokenWait)
	}
	r.tokenWaits[w.event.ID] = w
	return append(out, effect.ToControl{Body: event.TokenRequest{Loop: r.settings.Loop, Request: w.event.ID, Customer: team.limitName, Late: r.isLate(route, w.event.Wait)}})
}

// HandleTokenAnswer goes on with a request that has waited for a token. Its key may have
// been withdrawn meanwhile.
func (r *Router) HandleTokenAnswer(at time.Time, e event.TokenAnswer, out []effect.Effect) []effect.Effect {
	w, ok := r.tokenWaits[e.Request]
	if !ok {
		return out
	}
	delete(r.tokenWaits, e.Request)
	out = r.countTeam(w.event, e, out)
	if w.request == nil && (e.Granted || e.Unmetered) {
		admission := admitted
		if !e.Granted {
			admission = unmetered
		}
		return r.reportDrained(r.arrive(at, w.arrived, w.event, admission, out))
	}
	route, team := r.routeAndTeam(w.event)
	switch {
	case team == nil:
		return r.refuseWaiting(w, route, model.RefusedCredential, 0, out)
	case e.Granted || e.Unmetered && r.toleratesUnmetered(team):
		w.request.metered = true
		r.requests[e.Request] = w.request
		return r.keepRequest(at, w.request, out)
	case e.Unmetered:
		return r.refuseWaiting(w, route, model.RefusedUnmetered, staleRetryAfter, out)
	default:
		return r.refuseWaiting(w, route, model.RefusedQuota, e.Wait, out)
	}
}

// countTeam counts the answer to a request for a token.
func (r *Router) countTeam(e event.ProxyRequest, answer event.TokenAnswer, out []effect.Effect) []effect.Effect {
	_, team := r.routeAndTeam(e)
	if team == nil {
		return out
	}
	outcome := "refused"
	switch {
	case answer.Granted:
		outcome = "admitted"
	case answer.Unmetered:
		outcome = "unmetered"
	}
	return append(out, effect.Count{Counter: effect.CountTeams, Reason: team.Name + " " + outcome, N: 1})
}

// routeAndTeam returns the route and the team of a request by the current document.
func (r *Router) routeAndTeam(e event.ProxyRequest) (*model.Route, *keyHolder) {
	return r.routes.find(e.Host, e.Path), r.routes.teams[e.Key]
}

// refuseWaiting refuses a request that has waited for a token.
func (r *Router) refuseWaiting(w tokenWait, route *model.Route, reason model.RefusalReason, wait time.Duration, out []effect.Effect) []effect.Effect {
	if w.request != nil {
		w.request.ended = true
	}
	return r.reportDrained(r.refuse(w.event, route, reason, wait, out))
}

// toleratesUnmetered draws whether a request is admitted although no issuer of tokens can
// be reached. While the requests of a team stay within its limit, those admitted so stay
// within the tolerance.
func (r *Router) toleratesUnmetered(team *keyHolder) bool {
	return r.random.Float64() < quota.DrawChance(team.Limit, r.settings.Tolerance)
}

// endTokenWaits refuses the requests that wait for a token.
func (r *Router) endTokenWaits(out []effect.Effect) []effect.Effect {
	waits := make([]tokenWait, 0, len(r.tokenWaits))
	for _, w := range r.tokenWaits {
		waits = append(waits, w)
	}
	slices.SortFunc(waits, func(a, b tokenWait) int { return cmp.Compare(a.event.ID, b.event.ID) })
	clear(r.tokenWaits)
	for _, w := range waits {
		out = r.refuseWaiting(w, nil, model.RefusedDraining, defaultRetryAfter, out)
	}
	return out
}
