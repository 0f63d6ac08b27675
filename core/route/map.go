package route

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// maxShards bounds the shards of a reported snapshot, so that a malformed
// report cannot exhaust the memory.
const maxShards = 1 << 16

// Map holds the upstreams of one traffic state. The zero value knows none.
type Map struct {
	zone      model.Zone
	upstreams map[model.UpstreamID]*upstream
	sorted    []*upstream // ascending by id
	holders   map[snapshot]*holders
	versions  map[string][]model.SnapshotVersion // ascending, by index
	trips     map[model.Zone]time.Duration
	epoch     uint64 // grows when an upstream becomes live or stops being so
	topology  *model.Topology
	division  uint64 // of the connections in force
}

// holders lists who holds the shards of a snapshot.
type holders struct {
	shards   int
	replicas [][]*upstream // by shard, ascending by id
	owners   int           // upstreams that report the snapshot
	covered  int           // shards with a live replica, as of epoch
	epoch    uint64
}

// Choice is a replica for an attempt.
type Choice struct {
	Upstream model.Upstream
	Path     model.Path
}

// SetTopology takes over the configured upstreams and the shares of their
// connection caps. It returns the upstreams that changed.
func (m *Map) SetTopology(t *model.Topology, share model.Quota, zone model.Zone) []model.UpstreamID {
	if m.upstreams == nil {
		m.upstreams = make(map[model.UpstreamID]*upstream)
		m.holders = make(map[snapshot]*holders)
		m.versions = make(map[string][]model.SnapshotVersion)
		m.trips = make(map[model.Zone]time.Duration)
	}
	if t == m.topology && zone == m.zone && share.ConnsVersion == m.division && m.division > 0 {
		return nil
	}
	m.zone, m.topology, m.division = zone, t, share.ConnsVersion
	m.epoch++
	var changed []model.UpstreamID
	other := false // upstreams than before
	for id, u := range m.upstreams {
		if _, ok := t.Upstreams[id]; !ok {
			m.unlink(u)
			delete(m.upstreams, id)
			changed = append(changed, id)
			other = true
		}
	}
	for id, configured := range t.Upstreams {
		u, ok := m.upstreams[id]
		if !ok {
			u = &upstream{latency: firstLatency, limit: float64(configured.Slots)}
			m.upstreams[id] = u
			other = true
		}
		conns := share.Conns[id]
		if !ok || u.conns != conns || u.Addr != configured.Addr || u.State != configured.State {
			changed = append(changed, id)
		}
		if u.Index != configured.Index {
			m.unlink(u)
		}
		u.Upstream = configured
		u.conns = conns
	}
	if other {
		m.sorted = slices.SortedFunc(maps.Values(m.upstreams), byID)
	}
	slices.Sort(changed)
	return changed
}

// Due lists the upstreams whose next probe is due, and schedules the one after.
func (m *Map) Due(at time.Time) []model.UpstreamID {
	var due []model.UpstreamID
	for _, u := range m.sorted {
		if u.conns > 0 && !at.Before(u.probeAt) {
			u.probeAt = at.Add(u.probeEvery())
			u.probed = at
			due = append(due, u.ID)
		}
	}
	return due
}

// Ask lists the upstreams of an index to probe out of turn, because a refusal
// showed that their reports are out of date.
func (m *Map) Ask(at time.Time, index string) []model.UpstreamID {
	var due []model.UpstreamID
	for _, u := range m.sorted {
		if u.Index == index && u.live() && at.Sub(u.askedAt) >= leastAsk {
			u.askedAt = at
			due = append(due, u.ID)
		}
	}
	return due
}

// Serves reports whether an index has live upstreams that held a version at
// their last report.
func (m *Map) Serves(index string) bool {
	return slices.ContainsFunc(m.sorted, func(u *upstream) bool { return u.Index == index && u.live() && len(u.holds) > 0 })
}

// Awaits reports whether an index has upstreams of which no report has come or
// been missed yet.
func (m *Map) Awaits(index string) bool {
	return slices.ContainsFunc(m.sorted, func(u *upstream) bool {
		return u.Index == index && !u.reachable && u.misses == 0 && !u.wasDown
	})
}

// Conns returns the share of an upstream's connection cap, and its address.
func (m *Map) Conns(id model.UpstreamID) (model.Upstream, int) {
	u, ok := m.upstreams[id]
	if !ok {
		return model.Upstream{ID: id}, 0
	}
	return u.Upstream, u.conns
}

// Report takes over the result of a probe. It reports whether the upstream
// stopped taking attempts or holds other shards than before.
func (m *Map) Report(at time.Time, r event.ProbeResult) bool {
	u, ok := m.upstreams[r.Upstream]
	if !ok {
		return false
	}
	before := u.live()
	defer func() {
		if u.live() != before {
			m.epoch++
		}
	}()
	if !r.Reachable {
		// A lost report of an upstream that still answers proves nothing.
		if u.answeredAt.Before(u.probed) || u.probed.IsZero() {
			u.reachable = false
			u.misses++
		}
		return before && !u.live()
	}
	u.drained(at, r.Draining)
	u.misses = 0
	if !u.probed.IsZero() {
		m.observeTrip(u.Zone, at.Sub(u.probed))
		u.probed = time.Time{}
	}
	if r.Cold || !u.reachable && u.wasDown {
		u.restart(at)
	}
	u.cold = r.Cold
	u.reachable = true
	u.wasDown = r.Cold
	u.report(at, r.Load)
	holdings := u.allowed(at, r.Snapshots)
	if u.sameHoldings(holdings) {
		return before && !u.live()
	}
	m.unlink(u)
	m.link(u, holdings)
	return true
}

// sameHoldings reports whether a report repeats what is known.
func (u *upstream) sameHoldings(reported []model.HeldSnapshot) bool {
	if u.stale {
		return false
	}
	n := 0
	for _, h := range reported {
		if !u.accepts(h) {
			continue
		}
		if n >= len(u.holds) {
			return false
		}
		known := u.holds[n]
		if known.Version != h.Version || known.ShardCount != h.ShardCount || !slices.Equal(known.HeldShards, h.HeldShards) {
			return false
		}
		n++
	}
	return n == len(u.holds)
}

func (u *upstream) accepts(h model.HeldSnapshot) bool {
	return h.Index == u.Index && h.ShardCount >= 1 && h.ShardCount <= maxShards
}

// link enters what an upstream holds into the lists of holders.
func (m *Map) link(u *upstream, reported []model.HeldSnapshot) {
	for _, r := range reported {
		if !u.accepts(r) {
			continue
		}
		u.holds = append(u.holds, model.HeldSnapshot{Index: r.Index, Version: r.Version, ShardCount: r.ShardCount, HeldShards: slices.Clone(r.HeldShards)})
		key := snapshot{r.Index, r.Version}
		h, ok := m.holders[key]
		if !ok {
			h = &holders{}
			m.holders[key] = h
			versions := m.versions[key.index]
			i, _ := slices.BinarySearch(versions, key.version)
			m.versions[key.index] = slices.Insert(versions, i, key.version)
		}
		h.owners++
		if grow := r.ShardCount - h.shards; grow > 0 {
			// The largest stated total counts, so that coverage is never overstated.
			h.shards = r.ShardCount
			h.replicas = append(h.replicas, make([][]*upstream, grow)...)
		}
		for _, shard := range r.HeldShards {
			if shard < 0 || shard >= h.shards {
				continue
			}
			if i, found := slices.BinarySearchFunc(h.replicas[shard], u, byID); !found {
				h.replicas[shard] = slices.Insert(h.replicas[shard], i, u)
			}
		}
	}
	m.epoch++
}

// unlink takes an upstream out of the lists of holders.
func (m *Map) unlink(u *upstream) {
	for _, held := range u.holds {
		key := snapshot{held.Index, held.Version}
		h, ok := m.holders[key]
		if !ok {
			continue
		}
		for _, shard := range held.HeldShards {
			if shard >= 0 && shard < h.shards {
				h.remove(shard, u)
			}
		}
		if h.owners--; h.owners == 0 {
			delete(m.holders, key)
			m.versions[key.index] = slices.DeleteFunc(m.versions[key.index], func(v model.SnapshotVersion) bool { return v == key.version })
		}
	}
	u.holds = u.holds[:0]
	u.stale = false
	m.epoch++
}

func (h *holders) remove(shard int, u *upstream) {
	if i, found := slices.BinarySearchFunc(h.replicas[shard], u, byID); found {
		h.replicas[shard] = slices.Delete(h.replicas[shard], i, i+1)
	}
}

func byID(a, b *upstream) int {
	return cmp.Compare(a.ID, b.ID)
}

// Pin returns the newest version above after among those whose live replicas
// cover the most shards, and its shard count.
func (m *Map) Pin(_ time.Time, index string, after model.SnapshotVersion) (version model.SnapshotVersion, shards int, ok bool) {
	best := 0.0
	for _, v := range m.versions[index] {
		if v <= after && after > 0 {
			continue
		}
		h := m.holders[snapshot{index, v}]
		if part := h.share(m.epoch); part > 0 && part >= best {
			best, version, shards, ok = part, v, h.shards, true
		}
	}
	return version, shards, ok
}

// Covered returns the share of a snapshot's shards that have a live replica.
func (m *Map) Covered(_ time.Time, index string, version model.SnapshotVersion) float64 {
	h, ok := m.holders[snapshot{index, version}]
	if !ok {
		return 0
	}
	return h.share(m.epoch)
}

// share counts the covered shards again only after a replica changed.
func (h *holders) share(epoch uint64) float64 {
	if h.epoch != epoch {
		h.epoch = epoch
		h.covered = 0
		for _, replicas := range h.replicas {
			if slices.ContainsFunc(replicas, (*upstream).live) {
				h.covered++
			}
		}
	}
	return float64(h.covered) / float64(max(1, h.shards))
}

// Shards returns the shard count of the newest snapshot of an index, 0 when
// none is known.
func (m *Map) Shards(index string) int {
	versions := m.versions[index]
	if len(versions) == 0 {
		return 0
	}
	return m.holders[snapshot{index, versions[len(versions)-1]}].shards
}

// Replicas returns the usable replicas of a shard that are not excluded,
// whether or not they are within their limits.
func (m *Map) Replicas(at time.Time, index string, version model.SnapshotVersion, shard int, exclude []model.UpstreamID) []model.UpstreamID {
	var list []model.UpstreamID
	for _, u := range m.replicas(index, version, shard) {
		if u.usable(at) && !slices.Contains(exclude, u.ID) {
			list = append(list, u.ID)
		}
	}
	return list
}

// Holders returns the replicas of a shard that may take attempts again, and
// when the first of those left out for a time becomes usable; zero when none
// is.
func (m *Map) Holders(at time.Time, index string, version model.SnapshotVersion, shard int) (ids []model.UpstreamID, next time.Time) {
	for _, u := range m.replicas(index, version, shard) {
		if u.State != model.StateActive || u.leaving {
			continue
		}
		ids = append(ids, u.ID)
		if u.live() && at.Before(u.downUntil) && (next.IsZero() || u.downUntil.Before(next)) {
			next = u.downUntil
		}
	}
	return ids, next
}

// Free reports whether an upstream takes another attempt.
func (m *Map) Free(at time.Time, id model.UpstreamID) bool {
	u, ok := m.upstreams[id]
	return ok && u.usable(at) && u.free()
}

func (m *Map) replicas(index string, version model.SnapshotVersion, shard int) []*upstream {
	h, ok := m.holders[snapshot{index, version}]
	if !ok || shard >= len(h.replicas) {
		return nil
	}
	return h.replicas[shard]
}

// Pick returns the replica with the lowest cost among those that are usable,
// within their limits and not excluded.
func (m *Map) Pick(at time.Time, index string, version model.SnapshotVersion, shard int, exclude []model.UpstreamID) (Choice, bool) {
	var best *upstream
	var bestCost time.Duration
	replicas := m.replicas(index, version, shard)
	floor := typical(replicas)
	for _, u := range replicas {
		if !u.usable(at) || !u.free() || slices.Contains(exclude, u.ID) {
			continue
		}
		if cost := u.cost(at, floor, m.distance(u.Zone)); best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{Upstream: best.Upstream}, true
}

// typical is the lowest average latency among replicas.
func typical(replicas []*upstream) time.Duration {
	var least time.Duration
	for _, u := range replicas {
		if least == 0 || u.latency < least {
			least = u.latency
		}
	}
	return least
}

// distance is how much longer a round trip to the zone takes than within the
// own zone, as learnt from probes.
func (m *Map) distance(zone model.Zone) time.Duration {
	trip, ok := m.trips[zone]
	own, known := m.trips[m.zone]
	if zone == m.zone || !ok || !known {
		return 0
	}
	return max(0, trip-own)
}

// observeTrip takes over the round trip of a probe. A probe that waited behind
// other work tells little, so a longer trip counts less than a shorter one.
func (m *Map) observeTrip(zone model.Zone, trip time.Duration) {
	known, ok := m.trips[zone]
	switch {
	case !ok:
		m.trips[zone] = trip
	case trip < known:
		m.trips[zone] = known + time.Duration(tripShorter*float64(trip-known))
	default:
		m.trips[zone] = known + time.Duration(tripLonger*float64(min(trip, 3*known)-known))
	}
}

// Begin counts an attempt that starts.
func (m *Map) Begin(id model.UpstreamID) {
	if u, ok := m.upstreams[id]; ok {
		u.inflight++
	}
}

// Answered counts an attempt that was answered.
func (m *Map) Answered(at time.Time, id model.UpstreamID, latency time.Duration, load *model.Load, fresh bool) {
	u, ok := m.upstreams[id]
	if !ok {
		return
	}
	u.end(fresh)
	u.answered(at, latency)
	if load != nil {
		u.report(at, *load)
	}
}

// Silent reports whether an upstream neither answered nor reported since a time.
func (m *Map) Silent(id model.UpstreamID, since time.Time) bool {
	u, ok := m.upstreams[id]
	return ok && u.answeredAt.Before(since) && u.loadAt.Before(since)
}

// Failed counts an attempt that failed after some time.
func (m *Map) Failed(at time.Time, id model.UpstreamID, version model.SnapshotVersion, shard int, took time.Duration, f event.AttemptFailed) {
	u, ok := m.upstreams[id]
	if !ok {
		return
	}
	u.end(f.NewConn)
	if f.Load != nil {
		u.report(at, *f.Load)
	}
	switch f.Reason {
	case model.FailedRefused, model.FailedReset:
		u.warm = 0
		u.wasDown = true
		u.downUntil = at.Add(downFor << min(u.failures, maxDownShift))
		u.failures++
		u.probeAt = at
	case model.FailedShed:
		u.shed(at)
		u.downUntil = at.Add(min(f.RetryAfter, maxRetryAfter))
	case model.FailedDrained:
		u.leaving = true
		u.refusedAt = at
		m.epoch++
	case model.FailedCold:
		u.restart(at)
		u.downUntil = at.Add(min(max(f.RetryAfter, downFor), maxRetryAfter))
	case model.FailedVersion:
		if h, ok := m.holders[snapshot{u.Index, version}]; ok && shard < len(h.replicas) {
			h.remove(shard, u)
			u.stale = true
			u.deny(at, version, shard)
			m.epoch++
		}
	case model.FailedCancelled, model.FailedTimeout:
		// The answer would have taken at least as long. Without this a replica
		// whose attempts all lose to hedges would never look slow.
		if took > u.latency {
			u.observe(at, took)
		}
	case model.FailedInvalid:
		u.observe(at, max(took, 2*u.latency))
	}
}

// end counts the end of an attempt.
func (u *upstream) end(fresh bool) {
	u.inflight = max(0, u.inflight-1)
	if fresh {
		u.warm++
	}
}
