package plane

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// leaseRequestPeriod is the interval between two requests for leases.
const leaseRequestPeriod = time.Second

// leaseHolder computes this VM's quotas, its parts of the fleet-wide limits, and
// requests leases on more from the leader. core/lease implements it.
type leaseHolder interface {
	// RequestLease requests leases from the leader.
	RequestLease(at time.Time, leader model.VM, demand map[string]int, out []effect.Effect) []effect.Effect
	// HandleLeaseResponse handles the leader's response and reports whether the
	// quotas changed.
	HandleLeaseResponse(at time.Time, response frame.LeaseResponse) (changed bool)
	// Quotas returns one quota for each traffic loop.
	Quotas(at time.Time, t *model.Topology, loops int) []model.Quota
	// NextChange returns when the quotas next change without a response, zero
	// when they do not.
	NextChange(at time.Time) time.Time
}

// leaseGranter grants leases while this VM leads. core/lease implements it.
type leaseGranter interface {
	// Observe is called with each new configuration, whether this VM leads or
	// not.
	Observe(at time.Time, t *model.Topology)
	// StartLeading notifies the granter that this VM has become the leader.
	StartLeading(at time.Time)
	// HandleLeaseRequest answers a VM's request.
	HandleLeaseRequest(at time.Time, from model.VMID, request frame.LeaseRequest, t *model.Topology, out []effect.Effect) []effect.Effect
}

// SetLeases sets the holder and, on a disk VM, the granter. It is called before
// Start. Without a holder the limits are divided into equal quotas.
func (c *Control) SetLeases(h leaseHolder, g leaseGranter) {
	c.holder, c.granter = h, g
}

// HandleDemandReport handles the demand of one traffic state.
func (c *Control) HandleDemandReport(at time.Time, report event.DemandReport, out []effect.Effect) []effect.Effect {
	first := len(out)
	if c.holder == nil {
		return out
	}
	if c.demand == nil {
		c.demand = make(map[int]map[string]int)
	}
	c.demand[report.Loop] = report.Demand
	return c.complete(first, c.update(at, c.requestLeases(at, out)))
}

// publishViews sends the configuration to each traffic loop with its quotas.
func (c *Control) publishViews(at time.Time, t *model.Topology, out []effect.Effect) []effect.Effect {
	if c.granter != nil {
		c.granter.Observe(at, t)
	}
	if c.holder == nil {
		return append(out, effect.ToTraffic{Loop: effect.AllLoops, Body: event.View{Topology: t, Quota: equalQuotas(t, c.settings.Loops)}})
	}
	for i, quota := range c.holder.Quotas(at, t, c.settings.Loops) {
		out = append(out, effect.ToTraffic{Loop: i, Body: event.View{Topology: t, Quota: quota}})
	}
	return c.setLeaseTimer(at, out)
}

// setLeaseTimer sets the timer for the next lease request or change of the
// quotas, whichever is earlier.
func (c *Control) setLeaseTimer(at time.Time, out []effect.Effect) []effect.Effect {
	due := at.Add(leaseRequestPeriod)
	if next := c.holder.NextChange(at); !next.IsZero() && next.Before(due) {
		due = next
	}
	return append(out, effect.SetTimer{ID: event.TimerID{Kind: event.TimerLease}, At: due})
}

// timerLease requests leases again, and publishes quotas that changed since.
func (c *Control) timerLease(at time.Time, out []effect.Effect) []effect.Effect {
	if c.holder == nil || c.publishedRevision == 0 {
		return out
	}
	out = c.requestLeases(at, out)
	if !c.nextQuotaChange.IsZero() && !at.Before(c.nextQuotaChange) {
		out = c.publishViews(at, c.store.Topology(), out)
	} else {
		out = c.setLeaseTimer(at, out)
	}
	c.nextQuotaChange = c.holder.NextChange(at)
	return out
}

// requestLeases sends the demand of all traffic loops to the leader. When this VM
// leads, it handles the request and the response directly, without messages.
func (c *Control) requestLeases(at time.Time, out []effect.Effect) []effect.Effect {
	demand := make(map[string]int)
	for _, loop := range c.demand {
		for customer, n := range loop {
			demand[customer] += n
		}
	}
	id := c.leader()
	leader, ok := c.store.VM(id)
	if !ok || c.publishedRevision == 0 {
		return out
	}
	if id != c.settings.VM.ID {
		return c.holder.RequestLease(at, leader, demand, out)
	}
	for _, e := range c.holder.RequestLease(at, leader, demand, nil) {
		if msg, ok := e.(effect.SendMessage); ok {
			out = c.peerLease(at, id, msg.Message, out)
		}
	}
	return out
}

// becomeLeader prepares the granter when this VM begins to lead.
func (c *Control) becomeLeader(at time.Time) {
	if c.granter != nil {
		c.granter.StartLeading(at)
	}
}

// peerLease handles a request for leases on the leader, and a response on the VM
// that requested them.
func (c *Control) peerLease(at time.Time, from model.VMID, m frame.Message, out []effect.Effect) []effect.Effect {
	switch m := m.(type) {
	case frame.LeaseRequest:
		if c.granter == nil || !c.leading() {
			return out
		}
		answers := c.granter.HandleLeaseRequest(at, from, m, c.store.Topology(), nil)
		if from != c.settings.VM.ID {
			return append(out, answers...)
		}
		for _, e := range answers {
			if msg, ok := e.(effect.SendMessage); ok {
				out = c.peerLease(at, from, msg.Message, out)
			}
		}
	case frame.LeaseResponse:
		if c.holder != nil && c.holder.HandleLeaseResponse(at, m) && c.publishedRevision > 0 {
			out = c.publishViews(at, c.store.Topology(), out)
			c.nextQuotaChange = c.holder.NextChange(at)
		}
	}
	return out
}

// equalQuotas divides every fleet-wide limit equally among the registered VMs
// and their traffic loops, rounding down but never below 1.
func equalQuotas(t *model.Topology, loops int) model.Quota {
	n := max(1, len(t.VMs)) * max(1, loops)
	quota := model.Quota{
		Concurrency: make(map[string]int, len(t.Contracts)),
		Conns:       make(map[model.UpstreamID]int, len(t.Upstreams)),
	}
	for customer, contract := range t.Contracts {
		quota.Concurrency[customer] = max(1, contract.Concurrency/n)
	}
	for id, u := range t.Upstreams {
		quota.Conns[id] = max(1, u.MaxConns/n)
	}
	return quota
}
