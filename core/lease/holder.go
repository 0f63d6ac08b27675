package lease

import (
	"maps"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// Timing and number of the lease requests.
const (
	requestPause  = 100 * time.Millisecond // minimum time between requests
	renewPeriod   = time.Second            // between renewals of a lease, a third of its validity
	confirmPeriod = 3 * time.Second        // between requests that only report the revision
	maxUnanswered = 32                     // unanswered requests; answers to older ones are of no use

	firstRevision = 1 // of the configuration of a new fleet
)

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

// unansweredRequest is a request without an answer.
type unansweredRequest struct {
	sentAt   time.Time
	revision model.Revision
}

// AssumeSettled declares that the whole fleet has used the first configuration
// for 6 s already, so that its floors apply at once. It is for fleets whose
// configuration comes from the settings.
func (h *Holder) AssumeSettled() { h.settledAtStart = true }

// RequestLease requests a lease for the demand that exceeds the floors, and
// reports this VM's revision to the leader. It sends nothing if there is no
// reason to, or before the first call of MinQuota or Quotas.
func (h *Holder) RequestLease(at time.Time, leader model.VM, demand map[string]int, out []effect.Effect) []effect.Effect {
	if leader.ID == "" || h.topology == nil {
		return out
	}
	if leader.ID != h.leader {
		// VMs without demand spread their first requests over this period.
		phase := time.Duration(hash(string(h.Self.ID)) % uint64(confirmPeriod))
		h.leader, h.confirmedRevision, h.requestedDemand, h.requestedAt = leader.ID, 0, nil, at.Add(-requestPause-phase)
	}
	excess := make(map[string]int)
	for customer, n := range demand {
		if floor, _ := h.floors[customer].current(at); n > floor {
			excess[customer] = n - floor
		}
	}
	if !h.shouldRequest(at, excess) {
		return out
	}
	if h.lastSeq == 0 {
		// Sequence numbers start above those of any earlier process, so that
		// responses to its requests are ignored.
		h.lastSeq = uint64(h.ProcessStart.UnixNano())
	}
	h.lastSeq++
	h.requestedAt, h.requestedDemand = at, excess
	h.recordRequest(at)
	return append(out, effect.SendMessage{To: leader.ID, Addr: leader.PeerAddr, Message: frame.LeaseRequest{
		Seq: h.lastSeq, ProcessStart: h.ProcessStart, Revision: h.revision, Demand: excess,
	}})
}

// shouldRequest reports whether a request should be sent now.
func (h *Holder) shouldRequest(at time.Time, excess map[string]int) bool {
	elapsed := at.Sub(h.requestedAt)
	if elapsed < requestPause {
		return false
	}
	for customer, n := range excess {
		if elapsed >= renewPeriod || n > h.leased(at, customer) && n > h.requestedDemand[customer] {
			return true
		}
	}
	// Return a lease that is no longer needed, so that others can use it.
	if len(excess) == 0 && len(h.lease) > 0 && at.Before(h.leaseEnd) && elapsed >= renewPeriod {
		return true
	}
	// A VM that has just started sends a request at once, because the answer may
	// bring its floors into use.
	if h.answeredSeq == 0 && elapsed >= requestPause && h.hasWaitingFloor(at) {
		return true
	}
	return h.confirmedRevision < h.generation.startRevision && elapsed >= confirmPeriod
}

func (h *Holder) recordRequest(at time.Time) {
	if h.unanswered == nil {
		h.unanswered = make(map[uint64]unansweredRequest)
	}
	h.unanswered[h.lastSeq] = unansweredRequest{sentAt: at, revision: h.revision}
	if len(h.unanswered) > maxUnanswered {
		maps.DeleteFunc(h.unanswered, func(seq uint64, _ unansweredRequest) bool { return seq+maxUnanswered <= h.lastSeq })
	}
}

// HandleLeaseResponse handles a lease response and reports whether it changes
// the quotas. The lease is valid from the time of the request, and only the
// response to a later request replaces it.
func (h *Holder) HandleLeaseResponse(at time.Time, g frame.LeaseResponse) (changed bool) {
	request, ok := h.unanswered[g.Seq]
	if !ok || g.Seq <= h.answeredSeq {
		return false
	}
	delete(h.unanswered, g.Seq)
	h.answeredSeq = g.Seq
	h.confirmedRevision = max(h.confirmedRevision, request.revision)
	floorsChanged := h.useSettledFloors(at, g)
	previous := h.lease
	if !at.Before(h.leaseEnd) {
		previous = nil
	}
	h.lease, h.leaseEnd = g.ExtraConcurrency, request.sentAt.Add(min(g.Duration, leaseDuration))
	if !at.Before(h.leaseEnd) {
		h.lease = nil
	}
	return floorsChanged || !maps.Equal(previous, h.lease)
}

// useSettledFloors brings all waiting floors into use if the leader has had the
// same VMs and limits for so long that no VM uses older floors. It spares a
// restarted VM the wait.
func (h *Holder) useSettledFloors(at time.Time, g frame.LeaseResponse) (changed bool) {
	if g.LimitsAge < raiseDelay || h.topology == nil || g.LimitsRevision != h.topology.LimitsRevision {
		return false
	}
	for customer, s := range h.floors {
		h.floors[customer] = s.newest()
		changed = changed || len(s.trim(at)) > 1
	}
	for id, s := range h.connFloors {
		if len(s.trim(at)) > 1 {
			changed, h.connsByLoop = true, nil
		}
		h.connFloors[id] = s.newest()
	}
	return changed
}

// hasWaitingFloor reports whether a raised floor is not in use yet.
func (h *Holder) hasWaitingFloor(at time.Time) bool {
	for _, s := range h.connFloors {
		if _, due := s.current(at); !due.IsZero() {
			return true
		}
	}
	for _, s := range h.floors {
		if _, due := s.current(at); !due.IsZero() {
			return true
		}
	}
	return false
}

// MinQuota returns the quota that every traffic loop has at least: the floors
// in use plus the valid lease, divided by the number of loops and rounded down.
func (h *Holder) MinQuota(at time.Time, t *model.Topology, loops int) model.Quota {
	h.observe(at, t)
	return h.quotaOf(at, func(_ string, n int) int { return n / max(1, loops) })
}

// loopPart returns one loop's part of n, so that the parts of all loops add up
// to n.
func loopPart(loop, loops int, name string, n int) int {
	if loops == 1 {
		return n
	}
	share := n / loops
	if (loop+int(hash(name)%uint64(loops)))%loops < n%loops {
		share++
	}
	return share
}

// Quotas divides what the VM may use among its traffic loops without a
// remainder. The name determines which loops get one more, so that small limits
// do not all go to the same loop.
func (h *Holder) Quotas(at time.Time, t *model.Topology, loops int) []model.Quota {
	h.observe(at, t)
	loops = max(1, loops)
	// A lease does not change the connections, of which there may be tens of
	// thousands, so their division is cached.
	if len(h.connsByLoop) != loops || !h.connsChangeAt.IsZero() && !at.Before(h.connsChangeAt) {
		h.divideConns(at, loops)
	}
	quotas := make([]model.Quota, loops)
	for loop := range quotas {
		quotas[loop] = model.Quota{
			Concurrency: h.concurrencyOf(at, func(name string, n int) int { return loopPart(loop, loops, name, n) }),
			Conns:       h.connsByLoop[loop], ConnsVersion: h.connsVersion,
		}
		if at.Before(h.leaseEnd) {
			quotas[loop].LeaseEnd, quotas[loop].Leased = h.leaseEnd, h.leasedParts(at, loop, loops)
		}
	}
	return quotas
}

// divideConns divides the connections in use among the loops.
func (h *Holder) divideConns(at time.Time, loops int) {
	h.connsVersion++
	h.connsByLoop = make([]map[model.UpstreamID]int, loops)
	for loop := range h.connsByLoop {
		h.connsByLoop[loop] = make(map[model.UpstreamID]int, len(h.connFloors))
	}
	h.connsChangeAt = time.Time{}
	for id, s := range h.connFloors {
		n, due := s.current(at)
		for loop := range h.connsByLoop {
			h.connsByLoop[loop][id] = loopPart(loop, loops, string(id), n)
		}
		if !due.IsZero() && (h.connsChangeAt.IsZero() || due.Before(h.connsChangeAt)) {
			h.connsChangeAt = due
		}
	}
}

// NextChange returns when the quotas next change without an event, or zero if
// they do not.
func (h *Holder) NextChange(at time.Time) time.Time {
	var next time.Time
	consider := func(t time.Time) {
		if t.After(at) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	if len(h.lease) > 0 {
		consider(h.leaseEnd)
	}
	for _, s := range h.floors {
		_, due := s.current(at)
		consider(due)
	}
	for _, s := range h.connFloors {
		_, due := s.current(at)
		consider(due)
	}
	return next
}

// quotaOf returns a quota of what divide leaves of each value.
func (h *Holder) quotaOf(at time.Time, divide func(name string, n int) int) model.Quota {
	quota := model.Quota{Concurrency: h.concurrencyOf(at, divide), Conns: make(map[model.UpstreamID]int, len(h.connFloors))}
	for id, s := range h.connFloors {
		n, _ := s.current(at)
		quota.Conns[id] = divide(string(id), n)
	}
	return quota
}

// concurrencyOf returns what divide leaves of each customer's floor and lease.
func (h *Holder) concurrencyOf(at time.Time, divide func(name string, n int) int) map[string]int {
	concurrency := make(map[string]int, len(h.floors))
	for customer, s := range h.floors {
		floor, _ := s.current(at)
		concurrency[customer] = divide(customer, floor+h.leased(at, customer))
	}
	return concurrency
}

// leasedParts returns what the current lease adds to the quota of one loop.
func (h *Holder) leasedParts(at time.Time, loop, loops int) map[string]int {
	parts := make(map[string]int, len(h.lease))
	for customer := range h.lease {
		floor, _ := h.floors[customer].current(at)
		whole := loopPart(loop, loops, customer, floor+h.leased(at, customer))
		parts[customer] = whole - loopPart(loop, loops, customer, floor)
	}
	return parts
}

// leased returns what the current lease adds to a customer's floor.
func (h *Holder) leased(at time.Time, customer string) int {
	if !at.Before(h.leaseEnd) {
		return 0
	}
	return h.lease[customer]
}

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
