package route

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// maxShards is the highest shard count accepted in a report, so that a malformed
// one cannot exhaust the memory.
const maxShards = 1 << 16

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

// snapshotReplicas lists the replicas of a snapshot's shards.
type snapshotReplicas struct {
	shardCount    int
	replicas      [][]*upstream // by shard, ascending by id
	reporters     int           // upstreams that report the snapshot
	coveredShards int           // shards with a live replica, as counted at epoch
	epoch         uint64        // Balancer.epoch when coveredShards was counted
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

// HasLiveHolder reports whether any live upstream of an index held some version
// at its last report.
func (b *Balancer) HasLiveHolder(index string) bool {
	return slices.ContainsFunc(b.sorted, func(u *upstream) bool { return u.Index == index && u.live() && len(u.heldSnapshots) > 0 })
}

// AwaitsFirstReport reports whether the result of the first probe is
// outstanding for any upstream of an index.
func (b *Balancer) AwaitsFirstReport(index string) bool {
	return slices.ContainsFunc(b.sorted, func(u *upstream) bool {
		return u.Index == index && !u.reachable && u.missedProbes == 0 && !u.wasDown
	})
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

// sameHeldSnapshots reports whether a report lists the held snapshots that are
// known.
func (u *upstream) sameHeldSnapshots(reported []model.HeldSnapshot) bool {
	if u.heldSnapshotsStale {
		return false
	}
	n := 0
	for _, h := range reported {
		if !u.validHolding(h) {
			continue
		}
		if n >= len(u.heldSnapshots) {
			return false
		}
		known := u.heldSnapshots[n]
		if known.Version != h.Version || known.ShardCount != h.ShardCount || !slices.Equal(known.HeldShards, h.HeldShards) {
			return false
		}
		n++
	}
	return n == len(u.heldSnapshots)
}

func (u *upstream) validHolding(h model.HeldSnapshot) bool {
	return h.Index == u.Index && h.ShardCount >= 1 && h.ShardCount <= maxShards
}

// addHeldSnapshots adds an upstream to the replicas of all shards that it
// reports.
func (b *Balancer) addHeldSnapshots(u *upstream, reported []model.HeldSnapshot) {
	for _, r := range reported {
		if !u.validHolding(r) {
			continue
		}
		u.heldSnapshots = append(u.heldSnapshots, model.HeldSnapshot{
			Index: r.Index, Version: r.Version, ShardCount: r.ShardCount, HeldShards: slices.Clone(r.HeldShards),
		})
		key := snapshot{r.Index, r.Version}
		h, ok := b.snapshots[key]
		if !ok {
			h = &snapshotReplicas{}
			b.snapshots[key] = h
			versions := b.versions[key.index]
			i, _ := slices.BinarySearch(versions, key.version)
			b.versions[key.index] = slices.Insert(versions, i, key.version)
		}
		h.reporters++
		if added := r.ShardCount - h.shardCount; added > 0 {
			// Upstreams may state different totals. The largest one counts, so
			// that coverage is never overstated.
			h.shardCount = r.ShardCount
			h.replicas = append(h.replicas, make([][]*upstream, added)...)
		}
		for _, shard := range r.HeldShards {
			if shard < 0 || shard >= h.shardCount {
				continue
			}
			if i, found := slices.BinarySearchFunc(h.replicas[shard], u, byID); !found {
				h.replicas[shard] = slices.Insert(h.replicas[shard], i, u)
			}
		}
	}
	b.epoch++
}

// removeHoldings removes an upstream from the replicas of all shards.
func (b *Balancer) removeHoldings(u *upstream) {
	for _, held := range u.heldSnapshots {
		key := snapshot{held.Index, held.Version}
		h, ok := b.snapshots[key]
		if !ok {
			continue
		}
		for _, shard := range held.HeldShards {
			if shard >= 0 && shard < h.shardCount {
				h.remove(shard, u)
			}
		}
		if h.reporters--; h.reporters == 0 {
			delete(b.snapshots, key)
			b.versions[key.index] = slices.DeleteFunc(b.versions[key.index], func(v model.SnapshotVersion) bool { return v == key.version })
		}
	}
	u.heldSnapshots = u.heldSnapshots[:0]
	u.heldSnapshotsStale = false
	b.epoch++
}

func (h *snapshotReplicas) remove(shard int, u *upstream) {
	if i, found := slices.BinarySearchFunc(h.replicas[shard], u, byID); found {
		h.replicas[shard] = slices.Delete(h.replicas[shard], i, i+1)
	}
}

func byID(a, b *upstream) int {
	return cmp.Compare(a.ID, b.ID)
}

// SelectVersion selects a version of an index above after, where 0 allows every
// version: the one whose live replicas cover the largest fraction of its
// shards, and the newest of several. It also returns the shard count of the
// version.
func (b *Balancer) SelectVersion(
	_ time.Time, index string, after model.SnapshotVersion,
) (version model.SnapshotVersion, shards int, ok bool) {
	best := 0.0
	for _, v := range b.versions[index] {
		if v <= after && after > 0 {
			continue
		}
		h := b.snapshots[snapshot{index, v}]
		if fraction := h.coveredFraction(b.epoch); fraction > 0 && fraction >= best {
			best, version, shards, ok = fraction, v, h.shardCount, true
		}
	}
	return version, shards, ok
}

// CoveredFraction returns the fraction of a snapshot's shards that have a live
// replica.
func (b *Balancer) CoveredFraction(_ time.Time, index string, version model.SnapshotVersion) float64 {
	h, ok := b.snapshots[snapshot{index, version}]
	if !ok {
		return 0
	}
	return h.coveredFraction(b.epoch)
}

// coveredFraction returns the fraction of the shards that have a live replica.
// They are counted again only when the epoch has changed.
func (h *snapshotReplicas) coveredFraction(epoch uint64) float64 {
	if h.epoch != epoch {
		h.epoch = epoch
		h.coveredShards = 0
		for _, replicas := range h.replicas {
			if slices.ContainsFunc(replicas, (*upstream).live) {
				h.coveredShards++
			}
		}
	}
	return float64(h.coveredShards) / float64(max(1, h.shardCount))
}

// ShardCount returns the shard count of the newest snapshot of an index, 0 when
// none is known.
func (b *Balancer) ShardCount(index string) int {
	versions := b.versions[index]
	if len(versions) == 0 {
		return 0
	}
	return b.snapshots[snapshot{index, versions[len(versions)-1]}].shardCount
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
// backoff of one of them ends, or zero when none is backed off.
func (b *Balancer) ActiveReplicas(
	at time.Time, index string, version model.SnapshotVersion, shard int,
) (ids []model.UpstreamID, next time.Time) {
	for _, u := range b.replicas(index, version, shard) {
		if u.State != model.StateActive || u.draining {
			continue
		}
		ids = append(ids, u.ID)
		if u.live() && at.Before(u.backoffUntil) && (next.IsZero() || u.backoffUntil.Before(next)) {
			next = u.backoffUntil
		}
	}
	return ids, next
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
	return ok && u.usable(at) && u.hasCapacity()
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
		if !u.usable(at) || !u.hasCapacity() || slices.Contains(exclude, u.ID) {
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

// RecordStart records the start of an attempt.
func (b *Balancer) RecordStart(id model.UpstreamID) {
	if u, ok := b.upstreams[id]; ok {
		u.inFlight++
	}
}

// RecordAnswer records the answer to an attempt. load is nil when the
// upstream did not report any; newConn says that the attempt opened a
// connection.
func (b *Balancer) RecordAnswer(at time.Time, id model.UpstreamID, latency time.Duration, load *model.Load, newConn bool) {
	u, ok := b.upstreams[id]
	if !ok {
		return
	}
	u.attemptEnded(newConn)
	u.recordAnswer(at, latency)
	if load != nil {
		u.recordLoad(at, *load)
	}
}

// SilentSince reports whether an upstream has neither answered an attempt nor
// reported its load since the given time.
func (b *Balancer) SilentSince(id model.UpstreamID, since time.Time) bool {
	u, ok := b.upstreams[id]
	return ok && u.lastAnswer.Before(since) && u.loadReportedAt.Before(since)
}

// RecordFailure records an attempt that ended without an answer after the
// duration took.
func (b *Balancer) RecordFailure(
	at time.Time, id model.UpstreamID, version model.SnapshotVersion, shard int, took time.Duration, f event.AttemptFailed,
) {
	u, ok := b.upstreams[id]
	if !ok {
		return
	}
	u.attemptEnded(f.NewConn)
	if f.Load != nil {
		u.recordLoad(at, *f.Load)
	}
	switch f.Reason {
	case model.FailedRefused, model.FailedReset:
		u.openConns = 0
		u.wasDown = true
		u.backoffUntil = at.Add(initialBackoff << min(u.connFailures, maxBackoffDoublings))
		u.connFailures++
		u.nextProbe = at
	case model.FailedShed:
		u.recordShed(at)
		u.backoffUntil = at.Add(min(f.RetryAfter, maxRetryAfter))
	case model.FailedDrained:
		u.draining = true
		u.drainRefusedAt = at
		b.epoch++
	case model.FailedCold:
		u.beginSlowStart(at)
		u.backoffUntil = at.Add(min(max(f.RetryAfter, initialBackoff), maxRetryAfter))
	case model.FailedVersion:
		if h, ok := b.snapshots[snapshot{u.Index, version}]; ok && shard < len(h.replicas) {
			h.remove(shard, u)
			u.heldSnapshotsStale = true
			u.recordRefusedShard(at, version, shard)
			b.epoch++
		}
	case model.FailedCancelled, model.FailedTimeout:
		// An answer would have taken at least this long. Without this sample, a
		// replica whose attempts are all cancelled in favor of a hedge would
		// never look slow.
		if took > u.avgLatency {
			u.observeLatency(at, took)
		}
	case model.FailedInvalid:
		u.observeLatency(at, max(took, 2*u.avgLatency))
	}
}

// attemptEnded records the end of an attempt; newConn says that it opened a new
// connection.
func (u *upstream) attemptEnded(newConn bool) {
	u.inFlight = max(0, u.inFlight-1)
	if newConn {
		u.openConns++
	}
}
