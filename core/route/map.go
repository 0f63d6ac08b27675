package route

import (
	"slices"
	"time"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// zoneDistance is the one-way latency to another availability zone that cost
// estimates assume before it is measured.
const zoneDistance = 500 * time.Microsecond

// Map holds the upstreams of one traffic state. The zero value knows none.
type Map struct {
	zone      model.Zone
	upstreams map[model.UpstreamID]*upstream
	holders   map[snapshot]*holders
	versions  map[string][]model.Version // ascending, by index
}

// holders lists who holds the shards of a snapshot.
type holders struct {
	shards   int
	replicas map[int][]*upstream // by shard, in the order of their ids
}

// Choice is a replica for an attempt.
type Choice struct {
	Upstream model.Upstream
	Path     model.Path
}

// SetTopology takes over the configured upstreams and the shares of their
// connection caps. It returns the upstreams whose share changed.
func (m *Map) SetTopology(t *model.Topology, share model.Share, zone model.Zone) []model.UpstreamID {
	if m.upstreams == nil {
		m.upstreams = make(map[model.UpstreamID]*upstream)
	}
	m.zone = zone
	var changed []model.UpstreamID
	for id := range m.upstreams {
		if _, ok := t.Upstreams[id]; !ok {
			delete(m.upstreams, id)
			changed = append(changed, id)
		}
	}
	for id, configured := range t.Upstreams {
		u, ok := m.upstreams[id]
		if !ok {
			u = &upstream{latency: firstLatency, holds: make(map[snapshot]held)}
			m.upstreams[id] = u
		}
		conns := share.Conns[id]
		if !ok || u.conns != conns || u.Addr != configured.Addr {
			changed = append(changed, id)
		}
		u.Upstream = configured
		u.conns = conns
		if !ok {
			u.limit = float64(configured.Slots)
		}
	}
	m.index()
	slices.Sort(changed)
	return changed
}

// Upstreams lists the configured upstreams in the order of their ids.
func (m *Map) Upstreams() []model.Upstream {
	list := make([]model.Upstream, 0, len(m.upstreams))
	for _, u := range m.upstreams {
		list = append(list, u.Upstream)
	}
	slices.SortFunc(list, func(a, b model.Upstream) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
}

// Conns returns the share of an upstream's connection cap, and its address.
func (m *Map) Conns(id model.UpstreamID) (model.Upstream, int) {
	u, ok := m.upstreams[id]
	if !ok {
		return model.Upstream{ID: id}, 0
	}
	return u.Upstream, u.conns
}

// Report takes over the result of a probe.
func (m *Map) Report(at time.Time, r event.Reported) {
	u, ok := m.upstreams[r.Upstream]
	if !ok {
		return
	}
	if !r.Reachable {
		u.reachable = false
		return
	}
	u.leaving = r.Draining
	u.reachable = !r.Cold
	if r.Cold {
		u.coldSince = at
	}
	u.report(at, r.Load)
	if u.sameHoldings(r.Holdings) {
		return
	}
	clear(u.holds)
	for _, h := range r.Holdings {
		if h.Index != u.Index || h.Shards < 1 {
			continue
		}
		key := snapshot{h.Index, h.Version}
		u.holds[key] = held{shards: h.Shards, list: slices.Clone(h.Holds)}
	}
	m.index()
}

// sameHoldings reports whether a report repeats what is known.
func (u *upstream) sameHoldings(reported []model.Holding) bool {
	n := 0
	for _, h := range reported {
		if h.Index != u.Index || h.Shards < 1 {
			continue
		}
		known, ok := u.holds[snapshot{h.Index, h.Version}]
		if !ok || known.shards != h.Shards || !slices.Equal(known.list, h.Holds) {
			return false
		}
		n++
	}
	return n == len(u.holds)
}

// index rebuilds the lists of holders by snapshot and shard.
func (m *Map) index() {
	m.holders = make(map[snapshot]*holders)
	m.versions = make(map[string][]model.Version)
	for _, configured := range m.Upstreams() {
		u := m.upstreams[configured.ID]
		for key, held := range u.holds {
			h, ok := m.holders[key]
			if !ok {
				h = &holders{replicas: make(map[int][]*upstream)}
				m.holders[key] = h
				m.versions[key.index] = append(m.versions[key.index], key.version)
			}
			// The largest stated total counts, so that coverage is never overstated.
			h.shards = max(h.shards, held.shards)
			for _, shard := range held.list {
				h.replicas[shard] = append(h.replicas[shard], u)
			}
		}
	}
	for _, versions := range m.versions {
		slices.Sort(versions)
	}
}

// Pin returns the newest version among those whose usable replicas cover the
// most shards, and its shard count.
func (m *Map) Pin(at time.Time, index string) (version model.Version, shards int, ok bool) {
	best := -1.0
	for _, v := range m.versions[index] {
		h := m.holders[snapshot{index, v}]
		covered := 0
		for shard := range h.shards {
			if slices.ContainsFunc(h.replicas[shard], func(u *upstream) bool { return u.usable(at) }) {
				covered++
			}
		}
		part := float64(covered) / float64(h.shards)
		if covered > 0 && part >= best {
			best, version, shards, ok = part, v, h.shards, true
		}
	}
	return version, shards, ok
}

// Shards returns the shard count of a snapshot, 0 when nobody holds it.
func (m *Map) Shards(index string, version model.Version) int {
	h, ok := m.holders[snapshot{index, version}]
	if !ok {
		return 0
	}
	return h.shards
}

// Replicas returns the usable replicas of a shard that are not excluded,
// whether or not they are within their limits.
func (m *Map) Replicas(at time.Time, index string, version model.Version, shard int, exclude []model.UpstreamID) []model.UpstreamID {
	var list []model.UpstreamID
	for _, u := range m.replicas(index, version, shard) {
		if u.usable(at) && !slices.Contains(exclude, u.ID) {
			list = append(list, u.ID)
		}
	}
	return list
}

func (m *Map) replicas(index string, version model.Version, shard int) []*upstream {
	h, ok := m.holders[snapshot{index, version}]
	if !ok {
		return nil
	}
	return h.replicas[shard]
}

// Pick returns the replica with the lowest cost among those that are usable,
// within their limits and not excluded.
func (m *Map) Pick(at time.Time, index string, version model.Version, shard int, exclude []model.UpstreamID) (Choice, bool) {
	var best *upstream
	var bestCost time.Duration
	for _, u := range m.replicas(index, version, shard) {
		if !u.usable(at) || !u.free() || slices.Contains(exclude, u.ID) {
			continue
		}
		if cost := u.cost(at, m.zone, zoneDistance); best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{Upstream: best.Upstream}, true
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
	u.observe(latency)
	if load != nil {
		u.report(at, *load)
	}
}

// Failed counts an attempt that failed.
func (m *Map) Failed(at time.Time, id model.UpstreamID, version model.Version, shard int, f event.Failed) {
	u, ok := m.upstreams[id]
	if !ok {
		return
	}
	u.end(f.Fresh)
	if f.Load != nil {
		u.report(at, *f.Load)
	}
	switch f.Reason {
	case model.FailedRefused, model.FailedReset:
		u.warm = 0
		u.downUntil = at.Add(downFor)
	case model.FailedShed:
		u.limit = max(1, u.limit*limitDecrease)
		u.downUntil = at.Add(f.After)
	case model.FailedDrained:
		u.leaving = true
	case model.FailedCold:
		u.coldSince = at
		u.downUntil = at.Add(max(f.After, downFor))
	case model.FailedVersion:
		key := snapshot{u.Index, version}
		if h, ok := u.holds[key]; ok {
			h.list = slices.DeleteFunc(h.list, func(s int) bool { return s == shard })
			u.holds[key] = h
			m.index()
		}
	case model.FailedCancelled, model.FailedInvalid, model.FailedTimeout:
	}
}

// end counts the end of an attempt.
func (u *upstream) end(fresh bool) {
	u.inflight--
	if fresh {
		u.warm++
	}
}
