package proxy

import (
	"maps"

	"comfreypulley/core/model"
)

// stateOf returns the state of a route, which is created when there is none.
func stateOf[S any](states map[model.RouteKey]*S, route *model.Route) *S {
	key := route.Key()
	s, ok := states[key]
	if !ok {
		s = new(S)
		states[key] = s
	}
	return s
}

// forgetRoutes deletes the state of routes that are gone. Requests in flight keep what they
// refer to.
func (r *Router) forgetRoutes() {
	deleteGone(r.latencies, &r.routes)
	deleteGone(r.firstFrameLatencies, &r.routes)
	deleteGone(r.roundRobins, &r.routes)
}

// deleteGone deletes the states of routes that a table does not have.
func deleteGone[S any](states map[model.RouteKey]*S, routes *routeTable) {
	maps.DeleteFunc(states, func(key model.RouteKey, _ *S) bool { return !routes.has(key) })
}
