package plane

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// leasePeriod is how often a holder may have a reason to ask.
const leasePeriod = time.Second

// holder is this VM's share of the limits, as core/lease has it.
type holder interface {
	Ask(at time.Time, leader model.VM, demand map[string]int, out []effect.Effect) []effect.Effect
	Granted(at time.Time, g frame.LeaseResponse) (changed bool)
	Shares(at time.Time, t *model.Topology, loops int) []model.Quota
	Next(at time.Time) time.Time // when the shares change by themselves, zero when they do not
}

// granter grants leases while this VM leads, as core/lease has it.
type granter interface {
	Observe(at time.Time, t *model.Topology)
	Lead(at time.Time)
	Ask(at time.Time, from model.VMID, a frame.LeaseRequest, t *model.Topology, out []effect.Effect) []effect.Effect
}

// Lease sets the holder and, on a VM with a disk, the granter. It is called
// before Start. Without a holder the limits are divided into equal shares.
func (c *Control) Lease(h holder, g granter) {
	c.holder, c.granter = h, g
}

// Summary takes what a traffic state has in hand.
func (c *Control) Summary(at time.Time, s event.DemandReport, out []effect.Effect) []effect.Effect {
	from := len(out)
	if c.holder == nil {
		return out
	}
	if c.demand == nil {
		c.demand = make(map[int]map[string]int)
	}
	c.demand[s.Loop] = s.Demand
	return c.seal(from, c.moved(at, c.ask(at, out)))
}

// views publishes a configuration with this VM's shares, one for each loop.
func (c *Control) views(at time.Time, t *model.Topology, out []effect.Effect) []effect.Effect {
	if c.granter != nil {
		c.granter.Observe(at, t)
	}
	if c.holder == nil {
		return append(out, effect.ToTraffic{Loop: effect.AllLoops, Body: event.View{Topology: t, Quota: floors(t, c.start.Loops)}})
	}
	for i, share := range c.holder.Shares(at, t, c.start.Loops) {
		out = append(out, effect.ToTraffic{Loop: i, Body: event.View{Topology: t, Quota: share}})
	}
	return c.timeLease(at, out)
}

// timeLease sets the timer for the next ask or change of the shares.
func (c *Control) timeLease(at time.Time, out []effect.Effect) []effect.Effect {
	due := at.Add(leasePeriod)
	if next := c.holder.Next(at); !next.IsZero() && next.Before(due) {
		due = next
	}
	return append(out, effect.SetTimer{ID: event.TimerID{Kind: event.TimerLease}, At: due})
}

// timerLease asks again, and publishes shares that changed by themselves.
func (c *Control) timerLease(at time.Time, out []effect.Effect) []effect.Effect {
	if c.holder == nil || c.published == 0 {
		return out
	}
	out = c.ask(at, out)
	if !c.changes.IsZero() && !at.Before(c.changes) {
		out = c.views(at, c.store.Topology(), out)
	} else {
		out = c.timeLease(at, out)
	}
	c.changes = c.holder.Next(at)
	return out
}

// ask sends the demand to the leader. A leader asks itself without a message.
func (c *Control) ask(at time.Time, out []effect.Effect) []effect.Effect {
	demand := make(map[string]int)
	for _, loop := range c.demand {
		for customer, n := range loop {
			demand[customer] += n
		}
	}
	id := c.leader()
	leader, ok := c.store.VM(id)
	if !ok || c.published == 0 {
		return out
	}
	if id != c.start.VM.ID {
		return c.holder.Ask(at, leader, demand, out)
	}
	for _, e := range c.holder.Ask(at, leader, demand, nil) {
		if tell, ok := e.(effect.SendMessage); ok {
			out = c.peerLease(at, id, tell.Message, out)
		}
	}
	return out
}

// leads is called when this VM begins to lead.
func (c *Control) leads(at time.Time) {
	if c.granter != nil {
		c.granter.Lead(at)
	}
}

// peerLease takes an ask on the leader and a grant on the holder.
func (c *Control) peerLease(at time.Time, from model.VMID, m frame.Message, out []effect.Effect) []effect.Effect {
	switch m := m.(type) {
	case frame.LeaseRequest:
		if c.granter == nil || !c.leading() {
			return out
		}
		answers := c.granter.Ask(at, from, m, c.store.Topology(), nil)
		if from != c.start.VM.ID {
			return append(out, answers...)
		}
		for _, e := range answers {
			if tell, ok := e.(effect.SendMessage); ok {
				out = c.peerLease(at, from, tell.Message, out)
			}
		}
	case frame.LeaseResponse:
		if c.holder != nil && c.holder.Granted(at, m) && c.published > 0 {
			out = c.views(at, c.store.Topology(), out)
			c.changes = c.holder.Next(at)
		}
	}
	return out
}

// floors divides every fleet-wide limit over the registered VMs and their
// traffic loops, rounding down but never below 1.
func floors(t *model.Topology, loops int) model.Quota {
	n := max(1, len(t.VMs)) * max(1, loops)
	share := model.Quota{
		Concurrency: make(map[string]int, len(t.Contracts)),
		Conns:       make(map[model.UpstreamID]int, len(t.Upstreams)),
	}
	for customer, contract := range t.Contracts {
		share.Concurrency[customer] = max(1, contract.Concurrency/n)
	}
	for id, u := range t.Upstreams {
		share.Conns[id] = max(1, u.MaxConns/n)
	}
	return share
}
