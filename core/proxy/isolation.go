package proxy

import (
	"math"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// isolation is whether this VM's zone is cut off from the others. Callers whose
// requests need shards of other zones are then better served there, and come
// there when all VMs of this zone leave the balancer's rotation.
type isolation struct {
	since time.Time // when the control state told; zero while other zones are reached
	away  bool      // out of the rotation for it
}

// Isolated takes what the control state knows of the zone.
func (t *Table) Isolated(at time.Time, e event.ZoneIsolation, out []effect.Effect) []effect.Effect {
	t.isolation.since = time.Time{}
	if e.Isolated {
		t.isolation.since = at
	}
	return t.rotate(at, out)
}

// reached notes an answer from a zone. One from outside to an attempt that was
// sent since shows that the zone is not cut off.
func (t *Table) reached(at time.Time, zone model.Zone, sent time.Time, out []effect.Effect) []effect.Effect {
	if t.isolation.since.IsZero() || zone == t.start.VM.Zone || sent.Before(t.isolation.since) {
		return out
	}
	t.isolation.since = time.Time{}
	return t.rotate(at, out)
}

// rotate leaves the balancer's rotation, or returns to it.
func (t *Table) rotate(at time.Time, out []effect.Effect) []effect.Effect {
	away := t.lacksShards()
	if t.isolation.away == away || t.document == nil || !t.listed || t.draining {
		return out
	}
	t.isolation.away = away
	n := effect.Note{At: at, Subject: "rotation", Action: "returned", Cause: "what callers ask for is within reach", Alert: away}
	if away {
		n.Action, n.Cause = "left", "the zone is cut off and lacks shards"
	}
	return append(out, n, effect.Ready{Ready: !away})
}

// lacksShards reports whether some route cannot be served while the zone is cut
// off.
func (t *Table) lacksShards() bool {
	if t.isolation.since.IsZero() || t.document == nil {
		return false
	}
	for i := range t.document.Routes {
		if t.outOfReach(&t.document.Routes[i]) {
			return true
		}
	}
	return false
}

// outOfReach reports whether the least coverage of a route is beyond what the
// zone has while it is cut off, though not beyond what the fleet has.
func (t *Table) outOfReach(r *model.Route) bool {
	if t.isolation.since.IsZero() || len(r.Shards) == 0 {
		return false
	}
	near, all := 0, 0
	for _, shard := range r.Shards {
		if len(t.services[shard]) > 0 {
			all++
		}
		if t.hasHost(shard, t.start.VM.Zone) {
			near++
		}
	}
	least := leastLegs(r, len(r.Shards))
	return near < least && all >= least
}

// coverageSlack keeps a product such as 0.7*10 from being rounded up.
const coverageSlack = 1e-9

// leastLegs is the number of shards that an answer of a route must have.
func leastLegs(r *model.Route, shards int) int {
	return max(1, int(math.Ceil(r.MinCoverage*float64(shards)-coverageSlack)))
}
