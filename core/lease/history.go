package lease

import (
	"hash/fnv"
	"maps"
	"time"

	"comfreypulley/core/model"
)

const maxGenerations = 64 // older ones are merged into the oldest one kept, with the larger floors

// history contains the floors of recent configurations, which bound the floors
// of VMs that may not have the newest configuration.
type history struct {
	generations []generation                  // ascending by revision
	seen        model.Revision                // highest revision observed
	joined      map[model.VMID]model.Revision // revision at which each registered VM was first seen
	left        map[model.VMID]departure      // removed VMs that may not know of their removal yet
}

// departure describes a removed VM.
type departure struct {
	at    time.Time      // time of the removal
	since model.Revision // highest revision that the VM is known to have had
}

// generation is a sequence of configurations with the same floors.
type generation struct {
	from  model.Revision // first revision
	vms   uint64         // hash of the ids of the registered VMs
	limit map[string]int // by customer
	floor map[string]int // largest floor of one VM, by customer
}

// newGeneration returns the generation that starts with a configuration.
func newGeneration(t *model.Topology) generation {
	f := newFleet("", t)
	g := generation{from: t.Revision, limit: make(map[string]int), floor: make(map[string]int)}
	sum := fnv.New64a()
	for _, id := range f.vms {
		_, _ = sum.Write([]byte(id))
		_, _ = sum.Write([]byte{0})
	}
	g.vms = sum.Sum64()
	for customer, contract := range t.Contracts {
		g.limit[customer] = contract.Concurrency
		if len(f.vms) > 0 {
			g.floor[customer] = (f.fixed(contract.Concurrency) + len(f.vms) - 1) / len(f.vms)
		}
	}
	return g
}

// same reports whether two generations have the same floors.
func (g *generation) same(other *generation) bool {
	return g.vms == other.vms && maps.Equal(g.limit, other.limit)
}

// observe adds a configuration. It returns false if the configuration is not
// newer than the last one.
func (h *history) observe(at time.Time, t *model.Topology, confirmed map[model.VMID]model.Revision) bool {
	if len(h.generations) > 0 && t.Revision <= h.seen {
		return false
	}
	h.seen = t.Revision
	g := newGeneration(t)
	if n := len(h.generations); n > 0 && h.generations[n-1].same(&g) {
		return true
	}
	h.generations = append(h.generations, g)
	if len(h.generations) > maxGenerations {
		old, kept := h.generations[0], &h.generations[1]
		kept.from = old.from
		for customer, floor := range old.floor {
			kept.floor[customer] = max(kept.floor[customer], floor)
		}
		h.generations = h.generations[1:]
	}
	if h.joined == nil {
		h.joined = make(map[model.VMID]model.Revision)
		h.left = make(map[model.VMID]departure)
	}
	for id := range t.VMs {
		if _, ok := h.joined[id]; !ok {
			h.joined[id] = t.Revision
		}
	}
	maps.DeleteFunc(h.joined, func(id model.VMID, since model.Revision) bool {
		_, ok := t.VMs[id]
		if !ok {
			h.left[id] = departure{at: at, since: max(since, confirmed[id])}
		}
		return !ok
	})
	return true
}

// index returns the index of the generation that contains a revision, or 0 if
// the revision is older than all.
func (h *history) index(r model.Revision) int {
	i := len(h.generations) - 1
	for i > 0 && h.generations[i].from > r {
		i--
	}
	return i
}

// behind counts the VMs of each generation by the highest revision that each is
// known to have. A removed VM counts for raiseAfter, until it must know of its
// removal.
func (h *history) behind(at time.Time, t *model.Topology, confirmed map[model.VMID]model.Revision) []int {
	counts := make([]int, len(h.generations))
	for id := range t.VMs {
		counts[h.index(max(confirmed[id], h.joined[id]))]++
	}
	for id, d := range h.left {
		if at.Sub(d.at) >= raiseAfter {
			delete(h.left, id)
			continue
		}
		counts[h.index(d.since)]++
	}
	return counts
}

// used returns an upper bound of what the floors of all VMs take of a
// customer's limit. A VM that may have an older generation counts with the
// largest floor since that generation.
func (h *history) used(customer string, leased bool, behind []int) int {
	last := len(h.generations) - 1
	bound := h.generations[last].floor[customer]
	f := fleet{leased: leased}
	fixed := f.fixed(h.generations[last].limit[customer])
	sum := min(fixed, behind[last]*bound)
	if last == 0 || behind[last] == total(behind) {
		return fixed
	}
	for i := last - 1; i >= 0; i-- {
		bound = max(bound, h.generations[i].floor[customer])
		sum += behind[i] * bound
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
