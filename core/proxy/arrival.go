package proxy

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// admission is how far it is decided whether a request is within its team's limit.
type admission uint8

const (
	undecided admission = iota
	admitted            // it has a token
	unmetered           // no issuer of tokens can be reached
)

// HandleProxyRequest handles a new request and starts its first attempts.
func (r *Router) HandleProxyRequest(at time.Time, e event.ProxyRequest, out []effect.Effect) []effect.Effect {
	if r.cutOff {
		// Its body may have been on its way since before the drain.
		return r.refuseUnsent(e, nil, model.RefusedDraining, out)
	}
	if r.document == nil || !r.hasUpstreamList || r.awaitsPeers(at, e) {
		return r.hold(at, e, out)
	}
	return r.arrive(at, at, e, undecided, out)
}

// arrive handles a request that arrived at a time, and has waited for a token since if
// its admission is decided.
func (r *Router) arrive(at, arrived time.Time, e event.ProxyRequest, admission admission, out []effect.Effect) []effect.Effect {
	version, routes := r.document.Version, &r.routes
	if e.Portion != nil {
		version = e.Portion.DocumentVersion
		if routes = r.routesOf(at, version); routes == nil {
			return r.refuseUnsent(e, nil, model.RefusedStale, out)
		}
	}
	route := routes.find(e.Host, e.Path)
	if reason := r.refusalOnArrival(at, e, route, version); reason != "" {
		return r.refuseOnArrival(at, e, route, reason, out)
	}
	team, reason := r.authorize(e, route, routes)
	if reason != "" {
		return r.refuseUnsent(e, route, reason, out)
	}
	handsOver := r.handsOver(at, e)
	if admission == undecided && !handsOver && needsToken(e, team) {
		return r.requestToken(tokenWait{event: e, arrived: arrived}, route, team, out)
	}
	req := r.newRequest(arrived, e, route, version)
	req.keyed, req.metered = routes.keyed, admission == admitted || e.Handover != nil && e.Handover.Metered
	switch {
	case team != nil:
		req.team = team.Name
	case e.Portion != nil:
		req.team = e.Portion.Team
	}
	if e.Portion != nil {
		return r.beginPortion(at, req, out)
	}
	if e.Handover != nil && version > e.Handover.DocumentVersion {
		out = append(out, effect.AcceptHandover{Request: e.ID, DocumentVersion: version})
	}
	for _, service := range r.servicesOf(route) {
		req.subrequests = append(req.subrequests, &subrequest{service: service, ran: model.RanNo})
	}
	if admission == unmetered && e.Handover != nil {
		return r.refuse(e, route, model.RefusedUnmetered, staleRetryAfter, out)
	}
	if handsOver || admission == unmetered {
		r.restrictTrial(at, req)
		r.requests[e.ID] = req
		return r.handOver(at, req, max(1, req.route.MaxAttempts), out)
	}
	return r.begin(at, req, out)
}

// begin starts the first attempts of a request that this VM serves, or refuses it when
// limits or pauses of upstreams leave no room.
func (r *Router) begin(at time.Time, req *request, out []effect.Effect) []effect.Effect {
	if req.deadline.Sub(at) < req.latency.expected(req.route) {
		return r.refuse(req.event, req.route, model.RefusedDeadline, defaultRetryAfter, out) // most attempts would run for nothing
	}
	if wait := r.waitForPauses(at, req); !at.Add(wait).Before(req.partialAfter) {
		return r.refuse(req.event, req.route, model.RefusedPaused, wait, out)
	}
	r.earnRetries(at, req)
	if !r.mayDelegate(at, req) && !r.reserve(at, req) {
		wait, _ := req.refusedByLimit()
		return r.refuse(req.event, req.route, model.RefusedLimit, wait, out)
	}
	r.restrictTrial(at, req)
	r.requests[req.event.ID] = req
	out = r.delegate(at, req, out)
	return r.step(at, req, out)
}

// refuseOnArrival refuses a request for the reason that refusalOnArrival returned.
func (r *Router) refuseOnArrival(at time.Time, e event.ProxyRequest, route *model.Route, reason model.RefusalReason, out []effect.Effect) []effect.Effect {
	if reason == model.RefusedQuarantine {
		return r.refuse(e, route, reason, r.crashes.QuarantineLeft(at, e.Fingerprint), out)
	}
	return r.refuseUnsent(e, route, reason, out)
}

// refusalOnArrival returns why a request is refused without any attempt, or "". route
// is nil when none of the document with the given version matches.
func (r *Router) refusalOnArrival(at time.Time, e event.ProxyRequest, route *model.Route, version uint64) model.RefusalReason {
	switch {
	case (e.Portion != nil || e.Handover != nil) && r.reach.lost():
		return model.RefusedUnreachable
	case e.Handover != nil && e.Handover.DocumentVersion > version:
		return model.RefusedStale
	case route == nil && (r.documentOverdue || e.Portion == nil && r.outdated()):
		return model.RefusedStale
	case route == nil:
		return model.RefusedRoute
	case e.Portion == nil && r.needsOtherZones(route):
		return model.RefusedIsolated
	case r.crashes.QuarantineLeft(at, e.Fingerprint) > 0:
		return model.RefusedQuarantine
	default:
		return ""
	}
}

// newRequest returns the state of a request along a route, without its subrequests.
func (r *Router) newRequest(at time.Time, e event.ProxyRequest, route *model.Route, version uint64) *request {
	if e.Handover != nil {
		route = limitAttempts(route, e.Handover.MaxAttempts)
	}
	req := &request{
		event: e, route: route, latency: r.latencyStats(route), documentVersion: version, arrived: at, lastAnswer: at,
		upstreamListAge: at.Sub(r.upstreamListReadAt),
	}
	wait := route.Timeout
	if e.Wait > 0 {
		wait = min(wait, e.Wait)
	}
	margins := callerMargins{roundTrip: e.RoundTrip, newConn: e.NewConn, processing: r.processingTime()}
	req.deadline = at.Add(wait - margins.beforeDeadline(wait))
	req.partialAfter = at.Add(targetLatency(route) - margins.beforeTarget(targetLatency(route)))
	return req
}

// limitAttempts returns a route with at most a number of attempts.
func limitAttempts(route *model.Route, attempts int) *model.Route {
	limited := *route
	limited.MaxAttempts = max(1, min(limited.MaxAttempts, attempts))
	return &limited
}

// servicesOf returns the services that a request of the route goes to: all
// shards, or one target.
func (r *Router) servicesOf(route *model.Route) []string {
	if len(route.Shards) > 0 {
		return route.Shards
	}
	if len(route.Targets) == 1 {
		return []string{route.Targets[0].Service}
	}
	rr := stateOf(r.roundRobins, route)
	return []string{rr.next(route, r.random.Float64)}
}

// latencyStats returns the statistics of the requests along a route.
func (r *Router) latencyStats(route *model.Route) *latencyStats {
	return stateOf(r.latencies, route)
}
