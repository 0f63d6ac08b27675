package route

import (
	"slices"
	"time"

	"comfreypulley/core/model"
)

// maxShards is the highest shard count accepted in a report, so that a malformed
// one cannot exhaust the memory.
const maxShards = 1 << 16

// snapshotReplicas lists the replicas of a snapshot's shards.
type snapshotReplicas struct {
	shardCount    int
	replicas      [][]*upstream // by shard, ascending by id
	reporters     int           // upstreams that report the snapshot
	coveredShards int           // shards with a live replica, as counted at epoch
	epoch         uint64        // Balancer.epoch when coveredShards was counted
}

// HasLiveHolder reports whether any live upstream of an index held some version
// at its last report.
func (b *Balancer) HasLiveHolder(index string) bool {
	return slices.ContainsFunc(b.sorted, func(u *upstream) bool { return u.Index == index && u.live() && len(u.heldSnapshots) > 0 })
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
