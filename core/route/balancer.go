package route

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"comfreypulley/core/model"
)

// Balancer spreads the attempts of one traffic state over the upstreams. The
// zero value has no upstreams.
type Balancer struct {
	zone         model.Zone // of this VM
	upstreams    map[model.UpstreamID]*upstream
	sorted       []*upstream // ascending by id
	snapshots    map[snapshot]*snapshotReplicas
	versions     map[string][]model.SnapshotVersion // ascending, by index
	roundTrips   map[model.Zone]time.Duration       // average round trip of a probe
	epoch        uint64                             // grows when an upstream may have become live or stopped being so, or held snapshots change
	topology     *model.Topology
	connsVersion uint64 // Quota.ConnsVersion in force
}

// Choice is the replica picked for an attempt.
type Choice struct {
	Upstream model.Upstream
	Path     model.Path
}

// SetTopology applies the configured upstreams and this traffic state's
// quota of their connections. zone is that of this VM. It returns the upstreams
// that changed.
func (b *Balancer) SetTopology(t *model.Topology, quota model.Quota, zone model.Zone) []model.UpstreamID {
	if b.upstreams == nil {
		b.upstreams = make(map[model.UpstreamID]*upstream)
		b.snapshots = make(map[snapshot]*snapshotReplicas)
		b.versions = make(map[string][]model.SnapshotVersion)
		b.roundTrips = make(map[model.Zone]time.Duration)
	}
	if t == b.topology && zone == b.zone && quota.ConnsVersion == b.connsVersion && b.connsVersion > 0 {
		return nil
	}
	b.zone, b.topology, b.connsVersion = zone, t, quota.ConnsVersion
	b.epoch++
	var changed []model.UpstreamID
	upstreamsChanged := false // some were added or removed
	for id, u := range b.upstreams {
		if _, ok := t.Upstreams[id]; !ok {
			b.removeHoldings(u)
			delete(b.upstreams, id)
			changed = append(changed, id)
			upstreamsChanged = true
		}
	}
	for id, configured := range t.Upstreams {
		u, ok := b.upstreams[id]
		if !ok {
			u = &upstream{avgLatency: initialLatency, attemptLimit: float64(configured.Slots)}
			b.upstreams[id] = u
			upstreamsChanged = true
		}
		conns := quota.Conns[id]
		if !ok || u.connLimit != conns || u.Addr != configured.Addr || u.State != configured.State {
			changed = append(changed, id)
		}
		if u.Index != configured.Index {
			b.removeHoldings(u)
		}
		u.Upstream = configured
		u.connLimit = conns
	}
	if upstreamsChanged {
		b.sorted = slices.SortedFunc(maps.Values(b.upstreams), byID)
	}
	slices.Sort(changed)
	return changed
}

// Upstream returns an upstream and how many connections this traffic state
// may open to it.
func (b *Balancer) Upstream(id model.UpstreamID) (model.Upstream, int) {
	u, ok := b.upstreams[id]
	if !ok {
		return model.Upstream{ID: id}, 0
	}
	return u.Upstream, u.connLimit
}

func byID(a, b *upstream) int {
	return cmp.Compare(a.ID, b.ID)
}

// UsableReplicas returns the usable replicas of a shard that are not excluded,
// including those without capacity for another attempt.
func (b *Balancer) UsableReplicas(
	at time.Time, index string, version model.SnapshotVersion, shard int, exclude []model.UpstreamID,
) []model.UpstreamID {
	var list []model.UpstreamID
	for _, u := range b.replicas(index, version, shard) {
		if u.usable(at) && !slices.Contains(exclude, u.ID) {
			list = append(list, u.ID)
		}
	}
	return list
}

// ActiveReplicas returns the replicas of a shard that are not draining,
// including those that are not usable now. It also returns when the earliest
// backoff or pause of one of them ends, or zero when there is none.
func (b *Balancer) ActiveReplicas(
	at time.Time, index string, version model.SnapshotVersion, shard int,
) (ids []model.UpstreamID, next time.Time) {
	for _, u := range b.replicas(index, version, shard) {
		if u.State != model.StateActive || u.draining {
			continue
		}
		ids = append(ids, u.ID)
		wait := u.unusableFor(at)
		if usableAt := at.Add(wait); u.live() && wait > 0 && (next.IsZero() || usableAt.Before(next)) {
			next = usableAt
		}
	}
	return ids, next
}

// PausedFor returns the time until one of the upstreams is outside of a pause that it
// has asked for; 0 when one is.
func (b *Balancer) PausedFor(at time.Time, ids []model.UpstreamID) time.Duration {
	var shortest time.Duration
	for _, id := range ids {
		u, ok := b.upstreams[id]
		if !ok || u.pause.Left(at) == 0 {
			return 0
		}
		if left := u.pause.Left(at); shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

// UnreachableFor returns for how long none of the upstreams has been reachable; 0 when
// one is, or has never been.
func (b *Balancer) UnreachableFor(at time.Time, ids []model.UpstreamID) time.Duration {
	var shortest time.Duration
	for i, id := range ids {
		u, ok := b.upstreams[id]
		if !ok || u.unreachableSince.IsZero() {
			return 0
		}
		if down := at.Sub(u.unreachableSince); i == 0 || down < shortest {
			shortest = down
		}
	}
	return shortest
}

// HasCapacity reports whether an upstream is usable and has capacity for another
// attempt.
func (b *Balancer) HasCapacity(at time.Time, id model.UpstreamID) bool {
	u, ok := b.upstreams[id]
	return ok && u.usable(at) && u.hasCapacity(at)
}

func (b *Balancer) replicas(index string, version model.SnapshotVersion, shard int) []*upstream {
	h, ok := b.snapshots[snapshot{index, version}]
	if !ok || shard >= len(h.replicas) {
		return nil
	}
	return h.replicas[shard]
}

// Pick returns the replica with the lowest estimated duration of an attempt
// among those that are usable, have capacity and are not excluded.
func (b *Balancer) Pick(at time.Time, index string, version model.SnapshotVersion, shard int, exclude []model.UpstreamID) (Choice, bool) {
	var best *upstream
	var bestCost time.Duration
	replicas := b.replicas(index, version, shard)
	lowest := lowestLatency(replicas)
	for _, u := range replicas {
		if u.obstacle(at) != "" || slices.Contains(exclude, u.ID) {
			continue
		}
		if cost := u.cost(at, lowest, b.distance(u.Zone)); best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{Upstream: best.Upstream}, true
}

// Candidates returns the replicas of a shard, those first that Pick chooses from.
func (b *Balancer) Candidates(at time.Time, index string, version model.SnapshotVersion, shard int) []model.Candidate {
	var list []model.Candidate
	replicas := b.replicas(index, version, shard)
	lowest := lowestLatency(replicas)
	for _, u := range replicas {
		list = append(list, model.Candidate{
			Upstream: u.ID, Zone: u.Zone, Cost: u.cost(at, lowest, b.distance(u.Zone)), Chance: 1, Obstacle: u.obstacle(at),
		})
	}
	slices.SortStableFunc(list, model.Candidate.Compare)
	return list
}

// lowestLatency returns the lowest average latency of the replicas.
func lowestLatency(replicas []*upstream) time.Duration {
	var least time.Duration
	for _, u := range replicas {
		if least == 0 || u.avgLatency < least {
			least = u.avgLatency
		}
	}
	return least
}
