package lease

import (
	"time"

	"comfreypulley/core/model"
)

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
