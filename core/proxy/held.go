package proxy

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Limits of the requests that are held while the process starts. A caller gives
// up when its second try is refused, too, and after a restart of all VMs it takes
// most of a second until the first of them can serve.
const (
	heldTimeFraction = 0.4 // of the caller's time; the rest is for a try on another VM
	maxHeld          = 512
	peersPeriod      = 2 * time.Second // after a start, in which the other VMs become known
)

// awaitsPeers reports whether a request waits until the VMs that execute portions are known.
// When all VMs start at once and each queries all shards itself, they take all connections
// that the upstreams accept, and keep those that execute portions from connecting.
func (r *Router) awaitsPeers(at time.Time, e event.ProxyRequest) bool {
	if r.settings.MinShardsToDelegate <= 0 || len(r.peers.byID) > 0 || at.Sub(r.settings.ProcessStart) >= peersPeriod || e.Portion != nil || e.Handover != nil {
		return false
	}
	route := r.routes.find(e.Host, e.Path)
	return route != nil && len(route.Shards) >= r.settings.MinShardsToDelegate && r.scarceConns(route.Shards[0])
}

// heldRequest is a request that waits for the first document and upstream list, or for the
// VMs that execute portions.
type heldRequest struct {
	event   event.ProxyRequest
	arrived time.Time
}

// hold keeps a request until this VM can serve it, or refuses it.
func (r *Router) hold(at time.Time, e event.ProxyRequest, out []effect.Effect) []effect.Effect {
	if e.Portion != nil || e.Handover != nil || e.Wait <= 0 || r.draining || len(r.held) >= maxHeld {
		return r.refuseUnsent(e, nil, model.RefusedStale, out)
	}
	if r.held == nil {
		r.held = make(map[model.RequestID]heldRequest)
	}
	r.held[e.ID] = heldRequest{event: e, arrived: at}
	until := at.Add(time.Duration(heldTimeFraction * float64(e.Wait)))
	return append(out, effect.SetTimer{ID: event.TimerID{Kind: event.TimerProxyRequest, N: uint64(e.ID)}, At: until})
}

// refuseHeld refuses a held request.
func (r *Router) refuseHeld(held heldRequest, out []effect.Effect) []effect.Effect {
	delete(r.held, held.event.ID)
	return r.refuseUnsent(held.event, nil, model.RefusedStale, out)
}

// admitHeld serves the held requests in the order of their arrival.
func (r *Router) admitHeld(at time.Time, out []effect.Effect) []effect.Effect {
	for _, held := range r.heldInOrder() {
		delete(r.held, held.event.ID)
		out = append(out, effect.StopTimer{ID: event.TimerID{Kind: event.TimerProxyRequest, N: uint64(held.event.ID)}})
		held.event.Wait -= at.Sub(held.arrived)
		out = r.HandleProxyRequest(at, held.event, out)
	}
	return out
}

// heldInOrder returns the held requests in the order of their arrival.
func (r *Router) heldInOrder() []heldRequest {
	return slices.SortedFunc(maps.Values(r.held), func(a, b heldRequest) int {
		return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.event.ID, b.event.ID))
	})
}
