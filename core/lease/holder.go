package lease

import (
	"maps"
	"time"

	"comfreypulley/core/model"
)

// firstRevision is the revision of the configuration of a new fleet.
const firstRevision = 1

// Holder tracks one VM's floors and leases. Self and ProcessStart are set
// before use.
type Holder struct {
	Self         model.VM
	ProcessStart time.Time

	settledAtStart bool                              // see AssumeSettled
	revision       model.Revision                    // of topology
	topology       *model.Topology                   // last configuration observed
	floors         map[string]floorHistory           // by customer
	connFloors     map[model.UpstreamID]floorHistory // by upstream

	lastSeq           uint64                       // of the last request
	unanswered        map[uint64]unansweredRequest // by sequence number
	requestedAt       time.Time                    // when the last request was sent
	requestedDemand   map[string]int               // demand in the last request
	leader            model.VMID                   // VM that the last request was sent to
	confirmedRevision model.Revision               // highest revision that the leader has confirmed
	generation        generation                   // of topology; the leader is notified when it changes

	connsByLoop   []map[model.UpstreamID]int // nil when the connections must be divided again
	connsVersion  uint64                     // changes whenever connsByLoop changes
	connsChangeAt time.Time                  // when a waiting connection floor comes into use, zero when none waits

	answeredSeq uint64         // highest one that was answered
	lease       map[string]int // leased shares by customer
	leaseEnd    time.Time
}

// AssumeSettled declares that the whole fleet has used the first configuration
// for 6 s already, so that its floors apply at once. It is for fleets whose
// configuration comes from the settings.
func (h *Holder) AssumeSettled() { h.settledAtStart = true }

// observe records the floors of a new configuration. The floor of a customer or
// upstream that is new to this VM is raised from 0.
func (h *Holder) observe(at time.Time, t *model.Topology) {
	if t == nil || h.topology == t {
		return
	}
	// Before the first revision of a fleet no floors were in use.
	immediate := h.topology == nil && (h.settledAtStart || t.LimitsRevision == firstRevision)
	maxVMs := 0
	if h.topology != nil {
		maxVMs = maxVMsBetween(h.topology, t)
	}
	h.topology, h.revision, h.connsByLoop = t, t.Revision, nil
	if g := newGeneration(t); h.generation.largestFloors == nil || !g.sameFloors(&h.generation) {
		h.generation = g
	}
	fleet := newFleetVMs(h.Self.ID, t)
	if h.floors == nil {
		h.floors = make(map[string]floorHistory)
		h.connFloors = make(map[model.UpstreamID]floorHistory)
	}
	for customer, contract := range t.Contracts {
		floorTotal := fleet.floorTotal(contract.Concurrency)
		h.floors[customer] = recordFloor(h.floors[customer], at, fleet.floor(customer, floorTotal), floorTotal, maxVMs, immediate)
	}
	for id, u := range t.Upstreams {
		h.connFloors[id] = recordFloor(h.connFloors[id], at, fleet.connFloor(&u), u.MaxConns, maxVMs, immediate)
	}
	maps.DeleteFunc(h.floors, func(customer string, _ floorHistory) bool {
		_, ok := t.Contracts[customer]
		return !ok
	})
	// connFloors contains every upstream of the configuration, so if it has more,
	// some were removed.
	if len(h.connFloors) > len(t.Upstreams) {
		maps.DeleteFunc(h.connFloors, func(id model.UpstreamID, _ floorHistory) bool {
			_, ok := t.Upstreams[id]
			return !ok
		})
	}
}

// recordFloor records the floor of a new configuration. If this VM skipped a
// configuration that may have had up to maxVMs VMs, the floor may have been as
// low as with that number, so that value comes first.
func recordFloor(history floorHistory, at time.Time, value, total, maxVMs int, immediate bool) floorHistory {
	if len(history) == 0 && !immediate {
		history = history.record(at, 0)
	}
	history = history.trim(at)
	if maxVMs > 0 {
		history = history.record(at, min(value, total/maxVMs))
	}
	return history.record(at, value)
}

// maxVMsBetween returns the largest number of VMs that a configuration between
// two others may have had, or 0 if there is none between them. Each change adds
// or removes one VM, so a VM that joined and left in between took two changes.
func maxVMsBetween(from, to *model.Topology) int {
	changes := int(to.Revision - from.Revision)
	if to.Revision <= from.Revision || changes == 1 {
		return 0
	}
	union, differing := len(to.VMs), 0
	for id := range from.VMs {
		if _, ok := to.VMs[id]; !ok {
			union++
			differing++
		}
	}
	for id := range to.VMs {
		if _, ok := from.VMs[id]; !ok {
			differing++
		}
	}
	return union + max(0, changes-differing)/2
}
