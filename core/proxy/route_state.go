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

// forgetRoutes deletes the state of routes that a document does not have. Requests in
// flight keep what they refer to.
func (r *Router) forgetRoutes(d *model.Document) {
	keys := make(map[model.RouteKey]bool, len(d.Routes))
	for i := range d.Routes {
		keys[d.Routes[i].Key()] = true
	}
	keepKeys(r.latencies, keys)
	keepKeys(r.firstFrameLatencies, keys)
	keepKeys(r.roundRobins, keys)
}

// keepKeys deletes all states but those of the given routes.
func keepKeys[S any](states map[model.RouteKey]*S, keys map[model.RouteKey]bool) {
	maps.DeleteFunc(states, func(key model.RouteKey, _ *S) bool { return !keys[key] })
}
