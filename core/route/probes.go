package route

import (
	"slices"
	"time"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/retry"
)

// DueProbes returns the upstreams whose next probe is due, and schedules the
// probe after it.
func (b *Balancer) DueProbes(at time.Time) []model.UpstreamID {
	var due []model.UpstreamID
	for _, u := range b.sorted {
		if u.connLimit > 0 && !at.Before(u.nextProbe) {
			u.nextProbe = at.Add(u.probeInterval())
			u.probeSentAt = at
			due = append(due, u.ID)
		}
	}
	return due
}

// ExtraProbes returns the upstreams of an index to probe at once, because their
// reports are out of date. An upstream is returned at most once per
// extraProbeInterval.
func (b *Balancer) ExtraProbes(at time.Time, index string) []model.UpstreamID {
	var due []model.UpstreamID
	for _, u := range b.sorted {
		if u.Index == index && u.live() && at.Sub(u.lastExtraProbe) >= extraProbeInterval {
			u.lastExtraProbe = at
			due = append(due, u.ID)
		}
	}
	return due
}

// AwaitsFirstReport reports whether the result of the first probe is
// outstanding for any upstream of an index.
func (b *Balancer) AwaitsFirstReport(index string) bool {
	return slices.ContainsFunc(b.sorted, func(u *upstream) bool {
		return u.Index == index && !u.reachable && u.missedProbes == 0 && !u.wasDown
	})
}

// RecordProbe records the result of a probe. It returns whether the upstream
// stopped being live or holds other shards than before.
func (b *Balancer) RecordProbe(at time.Time, r event.ProbeResult) bool {
	u, ok := b.upstreams[r.Upstream]
	if !ok {
		return false
	}
	before := u.live()
	defer func() {
		if u.live() != before {
			b.epoch++
		}
	}()
	if !r.Reachable {
		// An upstream that answered an attempt after the probe was sent is up,
		// and the probe or its report was lost.
		if u.lastAnswer.Before(u.probeSentAt) || u.probeSentAt.IsZero() {
			if u.reachable {
				u.unreachableSince = at
			}
			u.reachable = false
			u.missedProbes++
		}
		return before && !u.live()
	}
	u.recordDraining(at, r.Draining)
	u.missedProbes = 0
	if !u.probeSentAt.IsZero() {
		b.observeRoundTrip(u.Zone, at.Sub(u.probeSentAt))
		u.probeSentAt = time.Time{}
	}
	if r.Cold || !u.reachable && u.wasDown {
		u.beginSlowStart(at)
	}
	if !u.reachable && u.wasDown {
		u.pause = retry.Pause{} // it has started again and knows nothing of the pause
	}
	u.cold = r.Cold
	u.reachable, u.unreachableSince = true, time.Time{}
	u.wasDown = r.Cold
	u.recordLoad(at, r.Load)
	heldSnapshots := u.withoutRefused(at, r.Snapshots)
	if u.sameHeldSnapshots(heldSnapshots) {
		return before && !u.live()
	}
	b.removeHoldings(u)
	b.addHeldSnapshots(u, heldSnapshots)
	return true
}

// distance returns how much longer a round trip to a zone takes than one within
// the own zone, as measured by probes. It is 0 while either is unknown.
func (b *Balancer) distance(zone model.Zone) time.Duration {
	trip, ok := b.roundTrips[zone]
	own, known := b.roundTrips[b.zone]
	if zone == b.zone || !ok || !known {
		return 0
	}
	return max(0, trip-own)
}

// observeRoundTrip adds the round trip of a probe to the average of its zone. A
// long one may include time in a queue, so it weighs less than a short one.
func (b *Balancer) observeRoundTrip(zone model.Zone, trip time.Duration) {
	known, ok := b.roundTrips[zone]
	switch {
	case !ok:
		b.roundTrips[zone] = trip
	case trip < known:
		b.roundTrips[zone] = known + time.Duration(shorterTripWeight*float64(trip-known))
	default:
		b.roundTrips[zone] = known + time.Duration(longerTripWeight*float64(min(trip, 3*known)-known))
	}
}
