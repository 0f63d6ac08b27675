package proxy

import (
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Parameters of the division of a request over many shards among the entry VMs.
// One VM would need longer to receive and process the responses of all shards
// than the upstreams need to produce them. Merged records also reduce the
// traffic between zones.
const (
	maxPortionShards  = 9
	minOwnerGroups    = 3               // groups into which the VMs of a zone are divided at least; each portion belongs to one
	avoidFailed       = 2 * time.Second // how long a VM that failed or does not answer receives no portions
	avoidRefusing     = 500 * time.Millisecond
	avoidLate         = 500 * time.Millisecond // after an overdue portion, which is weaker evidence than a failure
	avoidZone         = 3 * time.Second        // how long a zone receives no portions after two of its VMs failed, since it may be cut off
	zoneFailureWindow = time.Second            // longest time between these two failures
)

// peer is an entry VM that executes portions.
type peer struct {
	model.EntryVM
	avoidUntil time.Time // receives no portion before
	warnedAt   time.Time // when this VM last warned the zone of it

	unmeteredUntil time.Time // it reaches no issuer of tokens, and is offered no request before
}

// portion is a group of shards that one VM of a zone queries.
type portion struct {
	shards []int   // numbers of the shards in the route
	owners []*peer // VMs that have connections to the upstreams; all of the zone when none is assigned
	zone   []*peer // all VMs of the zone
}

// peers is the state of the entry VMs that execute portions, including this
// one.
type peers struct {
	byID         map[model.VMID]*peer
	byZone       map[model.Zone][]*peer       // ascending by id
	portions     map[model.RouteKey][]portion // of the document in force; nil when they have to be recomputed
	delegations  map[model.AttemptID]*delegation
	zoneFailures map[model.Zone]*zoneFailure
	recomputeAt  time.Time // when an avoided zone is used again and portions have to be recomputed; zero when none is avoided
}

// zoneFailure is the state of a zone in which a VM failed.
type zoneFailure struct {
	peer       *peer // the last one that failed; nil once one of the zone has answered
	at         time.Time
	avoidUntil time.Time // the zone receives no portion before
	answeredAt time.Time // when a VM of the zone last answered
	probeUntil time.Time // until then no request is handed over to a zone that may be cut off
}

// mayBeCutOff reports whether the zone is avoided and none of its VMs has answered since
// the last failure.
func (f *zoneFailure) mayBeCutOff(at time.Time) bool {
	return at.Before(f.avoidUntil) && !f.answeredAt.After(f.at)
}

// peerAnswered records that a VM of a zone answered.
func (r *Router) peerAnswered(at time.Time, zone model.Zone) {
	if f, ok := r.peers.zoneFailures[zone]; ok {
		f.peer, f.answeredAt, f.probeUntil = nil, at, time.Time{}
	}
}

// HandleEntryVMs applies a new list of entry VMs.
func (r *Router) HandleEntryVMs(at time.Time, e event.EntryVMs, out []effect.Effect) []effect.Effect {
	s := &r.peers
	before := s.byID
	s.byID, s.byZone, s.portions = make(map[model.VMID]*peer), make(map[model.Zone][]*peer), nil
	for _, vm := range e.VMs {
		p, known := before[vm.ID]
		if !known {
			p = &peer{}
		}
		p.EntryVM = vm
		s.byID[vm.ID] = p
		s.byZone[vm.Zone] = append(s.byZone[vm.Zone], p)
	}
	for _, id := range slices.Sorted(maps.Keys(before)) {
		if _, ok := s.byID[id]; !ok {
			out = append(out, effect.CloseIdleConns{Upstream: peerUpstreamID(id)})
		}
	}
	if r.document == nil || !r.hasUpstreamList {
		return out
	}
	return r.admitHeld(at, out)
}

// peerUpstreamID returns the upstream id that represents an entry VM.
func peerUpstreamID(id model.VMID) model.UpstreamID { return peerPrefix + model.UpstreamID(id) }

const peerPrefix = "vm "

// find returns the VM that an id of peerUpstreamID represents.
func (s *peers) find(id model.UpstreamID) (p *peer, ok bool) {
	vm, ok := strings.CutPrefix(string(id), peerPrefix)
	if !ok {
		return nil, false
	}
	p, ok = s.byID[model.VMID(vm)]
	return p, ok
}

// pickPeer chooses a random VM for a portion among its owners that are not
// avoided, or else among all such VMs of the zone. It returns nil when there is
// none.
func (r *Router) pickPeer(at time.Time, portion portion) *peer {
	usable := usablePeers(at, portion)
	if len(usable) == 0 {
		return nil
	}
	return usable[r.random.IntN(len(usable))]
}

// usablePeers returns the VMs of which one gets a portion now.
func usablePeers(at time.Time, portion portion) []*peer {
	for _, candidates := range [][]*peer{portion.owners, portion.zone} {
		var usable []*peer
		for _, p := range candidates {
			if !at.Before(p.avoidUntil) {
				usable = append(usable, p)
			}
		}
		if len(usable) > 0 {
			return usable
		}
	}
	return nil
}

// recordPeerFailure avoids a VM that failed and warns the other VMs of the own
// zone.
func (r *Router) recordPeerFailure(at time.Time, p *peer, out []effect.Effect) []effect.Effect {
	r.avoidPeer(at, p, avoidFailed)
	if at.Sub(p.warnedAt) < warningInterval {
		return out
	}
	p.warnedAt = at
	return append(out, effect.ToControl{Body: event.UpstreamWarning{Upstream: peerUpstreamID(p.ID), Unreachable: true}})
}

// avoidPeer sends a VM no portions for a period. Its whole zone is avoided when
// another VM of it failed shortly before and none has answered since.
func (r *Router) avoidPeer(at time.Time, p *peer, period time.Duration) {
	s := &r.peers
	p.avoidUntil = at.Add(period)
	f, ok := s.zoneFailures[p.Zone]
	if !ok {
		f = &zoneFailure{}
		s.zoneFailures[p.Zone] = f
	}
	if f.peer != nil && f.peer != p && at.Sub(f.at) <= zoneFailureWindow && p.Zone != r.settings.VM.Zone {
		f.avoidUntil = at.Add(avoidZone)
		s.portions = nil
		if s.recomputeAt.IsZero() || f.avoidUntil.Before(s.recomputeAt) {
			s.recomputeAt = f.avoidUntil
		}
	}
	f.peer, f.at = p, at
}

// portionsOf returns the portions of a route, computed when they are not known.
func (r *Router) portionsOf(at time.Time, route *model.Route) []portion {
	s := &r.peers
	if !s.recomputeAt.IsZero() && !at.Before(s.recomputeAt) {
		s.portions, s.recomputeAt = nil, time.Time{}
	}
	key := route.Key()
	if portions, ok := s.portions[key]; ok {
		return portions
	}
	if s.portions == nil {
		s.portions = make(map[model.RouteKey][]portion)
	}
	portions := r.partition(at, route)
	s.portions[key] = portions
	return portions
}

// partition assigns each shard of a route to a zone that has an upstream of it,
// preferably the own one, and divides the shards of a zone into portions. Each
// portion belongs to some VMs of the zone, so that only few VMs need connections
// to an upstream and each of them uses it often.
func (r *Router) partition(at time.Time, route *model.Route) []portion {
	s := &r.peers
	var portions []portion
	unassigned := make(map[int]bool, len(route.Shards))
	for n := range route.Shards {
		unassigned[n] = true
	}
	for _, zone := range r.zonesInOrder() {
		if f, ok := s.zoneFailures[zone]; ok && at.Before(f.avoidUntil) {
			if s.recomputeAt.IsZero() || f.avoidUntil.Before(s.recomputeAt) {
				s.recomputeAt = f.avoidUntil
			}
			continue
		}
		zonePeers := s.byZone[zone]
		var shards []int
		for n, shard := range route.Shards {
			if unassigned[n] && r.hasUpstream(shard, zone) {
				shards = append(shards, n)
				delete(unassigned, n)
			}
		}
		if len(shards) == 0 {
			continue
		}
		count := (len(shards) + maxPortionShards - 1) / maxPortionShards
		size := (len(shards) + count - 1) / count
		groups := uint64(max(count, minOwnerGroups))
		n := r.zoneIndex()
		for chunk := range slices.Chunk(shards, size) {
			portions = append(portions, portion{shards: chunk, owners: ownersOf(zonePeers, n%groups, groups), zone: zonePeers})
			n++
		}
	}
	return portions
}

// zoneIndex is the position of the own zone among all. Portions are numbered from
// it, so that the portions of different zones belong to different VMs.
func (r *Router) zoneIndex() uint64 {
	n := uint64(0)
	for zone := range r.peers.byZone {
		if zone < r.settings.VM.Zone {
			n++
		}
	}
	return n
}

// ownersOf returns the VMs of one of several groups, or all when the group is
// empty. The group of a VM depends on its id alone, so that it stays the same
// when other VMs start or stop.
func ownersOf(candidates []*peer, group, groups uint64) []*peer {
	var owners []*peer
	for _, p := range candidates {
		h := fnv.New64a()
		_, _ = h.Write([]byte(p.ID)) // never fails
		if h.Sum64()%groups == group {
			owners = append(owners, p)
		}
	}
	if len(owners) == 0 {
		return candidates
	}
	return owners
}

// zonesInOrder returns the own zone and then the others in a circular order that
// starts after the own one, so that the shards which a zone lacks are taken from
// different zones.
func (r *Router) zonesInOrder() []model.Zone {
	own := r.settings.VM.Zone
	zones := make([]model.Zone, 0, len(r.peers.byZone))
	for zone := range r.peers.byZone {
		if zone != own {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	start, _ := slices.BinarySearch(zones, own)
	return slices.Concat([]model.Zone{own}, zones[start:], zones[:start])
}

// hasUpstream reports whether the zone has an active upstream of the service.
func (r *Router) hasUpstream(service string, zone model.Zone) bool {
	return slices.ContainsFunc(r.byService[service], func(u *upstream) bool {
		return u.spec.Zone == zone && u.acceptsNew()
	})
}
