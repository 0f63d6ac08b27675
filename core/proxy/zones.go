package proxy

import (
	"maps"
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/model"
)

// setZonesOut takes the upstreams of zones out of use and puts the others back. Requests
// in flight are not interrupted; nothing new is sent to a zone that is out of use.
func (r *Router) setZonesOut(at time.Time, zones []model.Zone, out []effect.Effect) []effect.Effect {
	if slices.Equal(zones, r.zonesOut) {
		return out
	}
	for _, zone := range slices.Concat(zones, r.zonesOut) {
		before, after := slices.Contains(r.zonesOut, zone), slices.Contains(zones, zone)
		if before == after {
			continue
		}
		n := effect.Note{At: at, Subject: "zone " + string(zone), Action: "put back into use", Cause: "the configuration"}
		if after {
			n.Action = "taken out of use"
		}
		out = append(out, n)
	}
	r.zonesOut, r.peers.portions = zones, nil
	for _, id := range slices.Sorted(maps.Keys(r.upstreams)) {
		u := r.upstreams[id]
		before := u.zoneOut
		if u.zoneOut = slices.Contains(zones, u.spec.Zone); before && !u.zoneOut {
			r.beginPace(at, u)
			out = r.suspectCold(at, u, out)
		}
	}
	return out
}
