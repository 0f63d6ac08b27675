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

// How a request over many shards is spread over the entry VMs. A VM's link and
// processor take the parts of a few shards while those of all would take longer
// than the upstreams work, and merged records are fewer bytes between zones.
const (
	portionLegs   = 9               // shards of a portion at most
	leastGroups   = 3               // groups of VMs in a zone, one of which a portion belongs to
	avoidFailed   = 2 * time.Second // a VM that failed or is silent gets no portion for this long
	avoidRefusing = 500 * time.Millisecond
	avoidLate     = 500 * time.Millisecond // the same after an overdue portion, which proves little
	avoidZone     = 3 * time.Second        // a zone of which two VMs fail shortly after each other may be cut off
	zoneTogether  = time.Second            // between the failures of such VMs
)

// daemon is an entry VM that gathers portions.
type daemon struct {
	model.EntryVM
	avoid time.Time // no portion before
	told  time.Time // when this VM last told others to avoid it
}

// portion is a group of shards that are gathered in one zone.
type portion struct {
	legs    []int
	helpers []*daemon // those that have connections to the upstreams; all of the zone when nobody is meant
	zone    []*daemon // all of the zone
}

// spreading is what Table knows of the other entry VMs.
type spreading struct {
	daemons     map[model.VMID]*daemon
	zones       map[model.Zone][]*daemon // ascending by id
	portions    map[string][]portion     // by route; nil when they are to be computed again
	delegations map[model.AttemptID]*delegation
	failing     map[model.Zone]*failing
	next        time.Time // when a zone is used again, so that portions are to be computed again; zero when none is avoided
}

// failing is what is known of a zone whose VMs fail.
type failing struct {
	daemon *daemon // the last one that failed
	at     time.Time
	avoid  time.Time // no portion before
}

// Daemons takes the entry VMs there are.
func (t *Table) Daemons(_ time.Time, e event.EntryVMs, out []effect.Effect) []effect.Effect {
	s := &t.spread
	before := s.daemons
	s.daemons, s.zones, s.portions = make(map[model.VMID]*daemon), make(map[model.Zone][]*daemon), nil
	for _, info := range e.VMs {
		d, known := before[info.ID]
		if !known {
			d = &daemon{}
		}
		d.EntryVM = info
		s.daemons[info.ID] = d
		s.zones[info.Zone] = append(s.zones[info.Zone], d)
	}
	for _, id := range slices.Sorted(maps.Keys(before)) {
		if _, ok := s.daemons[id]; !ok {
			out = append(out, effect.CloseIdleConns{Upstream: peerOf(id)})
		}
	}
	return out
}

// peerOf names a VM where upstreams are named.
func peerOf(id model.VMID) model.UpstreamID { return peerPrefix + model.UpstreamID(id) }

const peerPrefix = "vm "

// daemonOf returns the VM that peerOf named.
func (s *spreading) daemonOf(id model.UpstreamID) (d *daemon, ok bool) {
	vm, ok := strings.CutPrefix(string(id), peerPrefix)
	if !ok {
		return nil, false
	}
	d, ok = s.daemons[model.VMID(vm)]
	return d, ok
}

// helper draws one of the VMs that are not avoided, another one of the zone when
// all of them are, nil when there is none.
func (t *Table) helper(at time.Time, p portion) *daemon {
	for _, list := range [][]*daemon{p.helpers, p.zone} {
		var usable []*daemon
		for _, d := range list {
			if !at.Before(d.avoid) {
				usable = append(usable, d)
			}
		}
		if len(usable) > 0 {
			return usable[t.random.IntN(len(usable))]
		}
	}
	return nil
}

// avoid gives a VM no portions for a while, and tells the zone.
func (t *Table) avoid(at time.Time, d *daemon, out []effect.Effect) []effect.Effect {
	t.exclude(at, d, avoidFailed)
	if at.Sub(d.told) < hintPause {
		return out
	}
	d.told = at
	return append(out, effect.ToControl{Body: event.UpstreamWarning{Upstream: peerOf(d.ID), Unreachable: true}})
}

// exclude gives a VM no portions for a while, and none to its zone when another VM
// of it failed just before and none has answered since.
func (t *Table) exclude(at time.Time, d *daemon, period time.Duration) {
	s := &t.spread
	d.avoid = at.Add(period)
	f, ok := s.failing[d.Zone]
	if !ok {
		f = &failing{}
		s.failing[d.Zone] = f
	}
	if f.daemon != nil && f.daemon != d && at.Sub(f.at) <= zoneTogether && d.Zone != t.start.VM.Zone {
		f.avoid = at.Add(avoidZone)
		s.portions = nil
		if s.next.IsZero() || f.avoid.Before(s.next) {
			s.next = f.avoid
		}
	}
	f.daemon, f.at = d, at
}

// portionsOf returns the portions of a route, as long as there are VMs to gather
// them.
func (t *Table) portionsOf(at time.Time, r *model.Route) []portion {
	s := &t.spread
	if !s.next.IsZero() && !at.Before(s.next) {
		s.portions, s.next = nil, time.Time{}
	}
	if p, ok := s.portions[r.Name]; ok {
		return p
	}
	if s.portions == nil {
		s.portions = make(map[string][]portion)
	}
	p := t.partition(at, r)
	s.portions[r.Name] = p
	return p
}

// partition assigns the shards of a route to zones, the own one first, and
// divides those of a zone into portions. Each portion belongs to some VMs of the
// zone, so that few VMs need connections to an upstream and each of them sees it
// often.
func (t *Table) partition(at time.Time, r *model.Route) []portion {
	s := &t.spread
	var portions []portion
	left := make(map[int]bool, len(r.Shards))
	for n := range r.Shards {
		left[n] = true
	}
	for _, zone := range t.zonesInOrder() {
		if f, ok := s.failing[zone]; ok && at.Before(f.avoid) {
			if s.next.IsZero() || f.avoid.Before(s.next) {
				s.next = f.avoid
			}
			continue
		}
		helpers := s.zones[zone]
		var legs []int
		for n, shard := range r.Shards {
			if left[n] && t.hasHost(shard, zone) {
				legs = append(legs, n)
				delete(left, n)
			}
		}
		if len(legs) == 0 {
			continue
		}
		count := (len(legs) + portionLegs - 1) / portionLegs
		size := (len(legs) + count - 1) / count
		groups := uint64(max(count, leastGroups))
		n := t.zoneNumber()
		for chunk := range slices.Chunk(legs, size) {
			portions = append(portions, portion{legs: chunk, helpers: owners(helpers, n%groups, groups), zone: helpers})
			n++
		}
	}
	return portions
}

// zoneNumber is the place of the own zone among all, so that the portions of
// different zones belong to different VMs.
func (t *Table) zoneNumber() uint64 {
	n := uint64(0)
	for zone := range t.spread.zones {
		if zone < t.start.VM.Zone {
			n++
		}
	}
	return n
}

// owners returns the VMs to which one of several portions belongs, all of them
// when it belongs to none. It depends only on the ids, so that VMs which come and
// go change nothing for the others.
func owners(helpers []*daemon, n, count uint64) []*daemon {
	var own []*daemon
	for _, d := range helpers {
		h := fnv.New64a()
		_, _ = h.Write([]byte(d.ID)) // never fails
		if h.Sum64()%count == n {
			own = append(own, d)
		}
	}
	if len(own) == 0 {
		return helpers
	}
	return own
}

// zonesInOrder returns the own zone and then the others, beginning after the own
// one so that the zones share the shards which some zone lacks.
func (t *Table) zonesInOrder() []model.Zone {
	own := t.start.VM.Zone
	zones := make([]model.Zone, 0, len(t.spread.zones))
	for zone := range t.spread.zones {
		if zone != own {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	at, _ := slices.BinarySearch(zones, own)
	return slices.Concat([]model.Zone{own}, zones[at:], zones[:at])
}

func (t *Table) hasHost(service string, zone model.Zone) bool {
	return slices.ContainsFunc(t.services[service], func(h *host) bool {
		return h.upstream.Zone == zone && h.upstream.State == model.StateActive && !h.other
	})
}
