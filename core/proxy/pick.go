package proxy

import (
	"time"

	"comfreypulley/core/model"
)

const (
	defaultConns = 2    // connections to an upstream while its limit or the size of the fleet is not known
	mostConns    = 8    // connections to an upstream that a VM needs at the most
	ownerConns   = 3    // the same where portions are spread, since few VMs then connect to an upstream
	connsUsed    = 0.85 // part of the connections that the fleet may use
	costNoise    = 0.08 // random part of a cost, so that VMs do not all choose alike
)

// pick chooses the upstream of a service with the least expected time. It
// returns nil when none can take an attempt now.
func (t *Table) pick(at time.Time, c *call, l *leg) *host {
	typical, share := c.pace.expected(c.route), outsideShare
	if c.event.Portion != nil {
		share = awayShare
	}
	outside := min(outsideMost, time.Duration(share*float64(objective(c.route))))
	var best, resting *host
	var least time.Duration
	for _, h := range t.services[l.service] {
		if h.other || h.upstream.State != model.StateActive || l.tried(h) || len(h.live) >= t.conns(h) {
			continue
		}
		if at.Before(h.down) {
			if resting == nil || h.down.Before(resting.down) {
				resting = h
			}
			continue
		}
		cost := h.cost(at, typical, t.start.VM.Zone, outside)
		cost += time.Duration(costNoise * t.random.Float64() * float64(cost))
		if best == nil || cost < least {
			best, least = h, cost
		}
	}
	if best == nil {
		return resting
	}
	return best
}

// untried reports whether the service has an upstream left for the leg, now or
// later.
func (t *Table) untried(l *leg) bool {
	for _, h := range t.services[l.service] {
		if !h.other && h.upstream.State == model.StateActive && !l.tried(h) {
			return true
		}
	}
	return false
}

// share is this VM's part of the connections that an upstream accepts, 0 while
// the size of the fleet is not known.
func (t *Table) share(h *host) float64 {
	most := t.limits[h.upstream.Index].MaxConns
	switch {
	case t.fleet <= 0:
		return 0
	case most <= 0:
		return defaultConns
	default:
		return connsUsed * float64(most) / float64(t.fleet)
	}
}

// conns is how many connections this VM may hold to an upstream.
func (t *Table) conns(h *host) int {
	if t.limits[h.upstream.Index].MaxConns <= 0 || t.fleet <= 0 {
		return defaultConns
	}
	share := int(t.share(h))
	if len(t.spread.daemons) > 0 {
		share = max(share, ownerConns)
	}
	return max(1, min(mostConns, share))
}
