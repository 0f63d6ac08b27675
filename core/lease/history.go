package lease

import (
	"hash/fnv"
	"maps"
	"time"

	"comfreypulley/core/model"
)

const maxGenerations = 64 // older ones are merged into the oldest kept one, with the larger floors

// history contains the floors of recent configurations, which bound the floors
// of VMs that may not have the newest configuration.
type history struct {
	generations  []generation                  // ascending by revision
	lastRevision model.Revision                // highest revision observed
	joined       map[model.VMID]model.Revision // revision at which each registered VM was first seen
	departures   map[model.VMID]departure      // VMs that may not know yet that they were removed
}

// departure describes a removed VM.
type departure struct {
	removedAt time.Time
	revision  model.Revision // highest revision that the VM is known to have had
}

// generation is a sequence of configurations with the same floors.
type generation struct {
	startRevision model.Revision
	vmsHash       uint64         // hash of the ids of the registered VMs
	limits        map[string]int // of concurrency, by customer
	largestFloors map[string]int // largest floor of one VM, by customer
}

// newGeneration returns the generation that starts with a configuration.
func newGeneration(t *model.Topology) generation {
	fleet := newFleetVMs("", t)
	g := generation{startRevision: t.Revision, limits: make(map[string]int), largestFloors: make(map[string]int)}
	sum := fnv.New64a()
	for _, id := range fleet.ids {
		_, _ = sum.Write([]byte(id))
		_, _ = sum.Write([]byte{0})
	}
	g.vmsHash = sum.Sum64()
	for customer, contract := range t.Contracts {
		g.limits[customer] = contract.Concurrency
		if len(fleet.ids) > 0 {
			g.largestFloors[customer] = (fleet.floorTotal(contract.Concurrency) + len(fleet.ids) - 1) / len(fleet.ids)
		}
	}
	return g
}

// sameFloors reports whether two generations have the same floors.
func (g *generation) sameFloors(other *generation) bool {
	return g.vmsHash == other.vmsHash && maps.Equal(g.limits, other.limits)
}

// observe adds a configuration. It returns false if the configuration is not
// newer than the last one.
func (h *history) observe(at time.Time, t *model.Topology, confirmed map[model.VMID]model.Revision) bool {
	if len(h.generations) > 0 && t.Revision <= h.lastRevision {
		return false
	}
	h.lastRevision = t.Revision
	g := newGeneration(t)
	if n := len(h.generations); n > 0 && h.generations[n-1].sameFloors(&g) {
		return true
	}
	h.generations = append(h.generations, g)
	if len(h.generations) > maxGenerations {
		old, kept := h.generations[0], &h.generations[1]
		kept.startRevision = old.startRevision
		for customer, floor := range old.largestFloors {
			kept.largestFloors[customer] = max(kept.largestFloors[customer], floor)
		}
		h.generations = h.generations[1:]
	}
	if h.joined == nil {
		h.joined = make(map[model.VMID]model.Revision)
		h.departures = make(map[model.VMID]departure)
	}
	for id := range t.VMs {
		if _, ok := h.joined[id]; !ok {
			h.joined[id] = t.Revision
		}
	}
	maps.DeleteFunc(h.joined, func(id model.VMID, joined model.Revision) bool {
		_, ok := t.VMs[id]
		if !ok {
			h.departures[id] = departure{removedAt: at, revision: max(joined, confirmed[id])}
		}
		return !ok
	})
	return true
}

// generationAt returns the index of the generation that contains a revision, or
// 0 if the revision is older than all.
func (h *history) generationAt(r model.Revision) int {
	i := len(h.generations) - 1
	for i > 0 && h.generations[i].startRevision > r {
		i--
	}
	return i
}

// countVMs counts the VMs of each generation by the highest revision that each
// is known to have. A removed VM counts for raiseDelay, until it must know of
// its removal.
func (h *history) countVMs(at time.Time, t *model.Topology, confirmed map[model.VMID]model.Revision) []int {
	counts := make([]int, len(h.generations))
	for id := range t.VMs {
		counts[h.generationAt(max(confirmed[id], h.joined[id]))]++
	}
	for id, d := range h.departures {
		if at.Sub(d.removedAt) >= raiseDelay {
			delete(h.departures, id)
			continue
		}
		counts[h.generationAt(d.revision)]++
	}
	return counts
}

// floorBound returns an upper bound of the part of a customer's limit that the
// floors of all VMs use. A VM that may have an older generation counts with the
// largest floor since that generation.
func (h *history) floorBound(customer string, hasDiskVM bool, vmCounts []int) int {
	last := len(h.generations) - 1
	bound := h.generations[last].largestFloors[customer]
	f := fleetVMs{hasDiskVM: hasDiskVM}
	floorTotal := f.floorTotal(h.generations[last].limits[customer])
	sum := min(floorTotal, vmCounts[last]*bound)
	if last == 0 || vmCounts[last] == total(vmCounts) {
		return floorTotal
	}
	for i := last - 1; i >= 0; i-- {
		bound = max(bound, h.generations[i].largestFloors[customer])
		sum += vmCounts[i] * bound
	}
	return sum
}

func total(counts []int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
