package proxy

import (
	"slices"
	"time"

	"comfreypulley/core/model"
)

const (
	defaultConns  = 2    // connections to an upstream while its limit or the number of entry VMs is not known
	maxConns      = 8    // connections to an upstream that a VM needs at most
	minOwnerConns = 3    // least connections to an upstream when portions are delegated, since then only few VMs connect to it
	connsUsed     = 0.85 // fraction of an upstream's connections that all VMs together may use
	costJitter    = 0.08 // random fraction of a cost, so that VMs do not all choose the same upstream
)

// pick chooses the upstream of the subrequest's service with the lowest cost
// whose stated limit and pace leave room. One that is backing off, or has no room by its
// pace, is chosen only when there is no other: a request that waits is lost sooner than an
// upstream. It returns nil when none can accept an attempt now.
func (r *Router) pick(at time.Time, req *request, sub *subrequest) *upstream {
	var full []*upstream // according to their limits or their pace
	var slowed *upstream // the first one whose pace leaves no room
	sub.pauseWait = 0
	for {
		u := r.cheapest(at, req, sub, full)
		if u == nil {
			return slowed
		}
		if len(full) == 0 {
			sub.countDemand(at, u)
		}
		if !r.paceAllows(at, sub, u) {
			if slowed == nil && u.limit.inForce(at) == nil {
				slowed = u
			}
			full = append(full, u)
			continue
		}
		if r.limitAllows(at, req, sub, u) {
			return u
		}
		full = append(full, u)
		sub.limitWait = shorterWait(sub.limitWait, u.limit.limiter.Wait(at, maxLimitWait))
	}
}

// cheapest returns the upstream with the lowest cost, except those in full.
func (r *Router) cheapest(at time.Time, req *request, sub *subrequest, full []*upstream) *upstream {
	penalty := remotePenalty(req)
	var best, backingOff *upstream
	var lowest time.Duration
	for _, u := range r.byService[sub.service] {
		if sub.triedOn(u) || slices.Contains(full, u) {
			continue
		}
		switch r.obstacle(at, u) {
		case "":
		case model.ObstaclePause:
			sub.pauseWait = shorterWait(sub.pauseWait, u.pause.Left(at))
			continue
		case model.ObstacleBackoff:
			if backingOff == nil || u.backoffUntil.Before(backingOff.backoffUntil) {
				backingOff = u
			}
			continue
		default:
			continue
		}
		cost := u.cost(at, req.latency.expected(req.route), r.settings.VM.Zone, penalty)
		cost += time.Duration(costJitter * r.random.Float64() * float64(cost))
		if best == nil || cost < lowest {
			best, lowest = u, cost
		}
	}
	if best == nil {
		return backingOff
	}
	return best
}

// obstacle returns why an upstream gets no attempt now, apart from its limit and its pace,
// or "".
func (r *Router) obstacle(at time.Time, u *upstream) model.Obstacle {
	switch reason := u.unavailable(); {
	case reason != "":
		return reason
	case u.pause.Left(at) > 0:
		return model.ObstaclePause
	case len(u.inFlight) >= u.pause.Room(at, r.connLimit(at, u)):
		return model.ObstacleBusy
	case !u.gate.Allows(at, len(u.inFlight)):
		return model.ObstacleConns
	case at.Before(u.backoffUntil):
		return model.ObstacleBackoff
	default:
		return ""
	}
}

// remotePenalty is added to the cost of upstreams outside the zone.
func remotePenalty(req *request) time.Duration {
	fraction := remoteZoneFraction
	if req.event.Portion != nil {
		fraction = portionRemoteZoneFraction
	}
	return min(maxRemoteZonePenalty, time.Duration(fraction*float64(targetLatency(req.route))))
}

// hasUntried reports whether the service has an upstream, possibly a busy one but
// none in a pause, that the subrequest was not sent to.
func (r *Router) hasUntried(at time.Time, sub *subrequest) bool {
	for _, u := range r.byService[sub.service] {
		if u.acceptsNew() && !sub.triedOn(u) && u.pause.Left(at) == 0 {
			return true
		}
	}
	return false
}

// connShare is this VM's share of the connections that an upstream accepts, 0
// while the number of entry VMs is not known.
func (r *Router) connShare(u *upstream) float64 {
	accepted := r.services[u.spec.Index].MaxConns
	switch {
	case r.entryVMCount <= 0:
		return 0
	case accepted <= 0:
		return defaultConns
	default:
		return connsUsed * float64(accepted) / float64(r.entryVMCount)
	}
}

// connLimit is the number of connections that this VM may have to an upstream.
func (r *Router) connLimit(at time.Time, u *upstream) int {
	if r.services[u.spec.Index].MaxConns <= 0 || r.entryVMCount <= 0 {
		return defaultConns
	}
	share := int(r.connShare(u))
	if len(r.peers.byID) > 0 && !r.shortOfConns(at, u.spec.Index) {
		share = max(share, minOwnerConns)
	}
	return max(1, min(maxConns, share))
}
