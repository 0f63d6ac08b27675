package proxy

import (
	"math"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// isolation states whether this VM's zone is cut off from the other zones.
// Callers whose requests need shards of other zones are then better served by
// VMs there. The load balancer sends them there when all VMs of this zone leave
// its rotation.
type isolation struct {
	since         time.Time // when the control state reported it; zero while other zones are reachable
	outOfRotation bool      // this VM left the rotation because of it
}

// HandleZoneIsolation handles the control state's report on whether the zone is
// cut off.
func (r *Router) HandleZoneIsolation(at time.Time, e event.ZoneIsolation, out []effect.Effect) []effect.Effect {
	r.isolation.since = time.Time{}
	if e.Isolated {
		r.isolation.since = at
	}
	return r.updateRotation(at, out)
}

// zoneReached handles an answer from a zone. An answer from another zone to an
// attempt sent after the isolation was reported ends the isolation.
func (r *Router) zoneReached(at time.Time, zone model.Zone, sent time.Time, out []effect.Effect) []effect.Effect {
	if r.isolation.since.IsZero() || zone == r.settings.VM.Zone || sent.Before(r.isolation.since) {
		return out
	}
	r.isolation.since = time.Time{}
	return r.updateRotation(at, out)
}

// updateRotation leaves the load balancer's rotation, or returns to it.
func (r *Router) updateRotation(at time.Time, out []effect.Effect) []effect.Effect {
	leave := r.lacksShards()
	if r.isolation.outOfRotation == leave || r.document == nil || !r.hasUpstreamList || r.draining {
		return out
	}
	r.isolation.outOfRotation = leave
	note := effect.Note{At: at, Subject: "rotation", Action: "returned", Cause: "what callers ask for is within reach", Alert: leave}
	if leave {
		note.Action, note.Cause = "left", "the zone is cut off and lacks shards"
	}
	return append(out, note, effect.Ready{Ready: !leave})
}

// lacksShards reports whether the zone is cut off and cannot serve some route by
// itself.
func (r *Router) lacksShards() bool {
	if r.isolation.since.IsZero() || r.document == nil {
		return false
	}
	for i := range r.document.Routes {
		if r.needsOtherZones(&r.document.Routes[i]) {
			return true
		}
	}
	return false
}

// needsOtherZones reports whether the zone is cut off and has too few shards for
// the coverage that the route requires, though the fleet has enough.
func (r *Router) needsOtherZones(route *model.Route) bool {
	if r.isolation.since.IsZero() || len(route.Shards) == 0 {
		return false
	}
	inZone, inFleet := 0, 0
	for _, shard := range route.Shards {
		if len(r.byService[shard]) > 0 {
			inFleet++
		}
		if r.hasUpstream(shard, r.settings.VM.Zone) {
			inZone++
		}
	}
	required := requiredAnswers(route, len(route.Shards))
	return inZone < required && inFleet >= required
}

// coverageEpsilon keeps a product such as 0.7*10 from being rounded up.
const coverageEpsilon = 1e-9

// requiredAnswers returns the number of shards that an answer must cover.
func requiredAnswers(route *model.Route, shards int) int {
	return max(1, int(math.Ceil(route.MinCoverage*float64(shards)-coverageEpsilon)))
}
