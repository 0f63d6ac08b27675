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
)

// unansweredRequest is a request without an answer.
type unansweredRequest struct {
	sentAt   time.Time
	revision model.Revision
}

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
