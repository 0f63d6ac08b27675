package plane

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// share returns this VM's part of every fleet-wide limit for one traffic loop.
// Leases of core/lease add to it here.
func (c *Control) share(_ time.Time, t *model.Topology) model.Share {
	return floors(t, c.start.Loops)
}

// leads is called when this VM begins to lead; a granter of leases starts here.
func (c *Control) leads(_ time.Time, out []effect.Effect) []effect.Effect {
	return out
}

// peerLease takes frame.Ask on the leader and frame.Grant on the holder.
func (c *Control) peerLease(_ time.Time, _ model.VMID, _ frame.Message, out []effect.Effect) []effect.Effect {
	return out
}

// floors divides every fleet-wide limit over the registered VMs and their
// traffic loops, rounding down but never below 1.
func floors(t *model.Topology, loops int) model.Share {
	n := max(1, len(t.VMs)) * max(1, loops)
	share := model.Share{
		Concurrency: make(map[string]int, len(t.Contracts)),
		Conns:       make(map[model.UpstreamID]int, len(t.Upstreams)),
	}
	for customer, contract := range t.Contracts {
		share.Concurrency[customer] = max(1, contract.Concurrency/n)
	}
	for id, u := range t.Upstreams {
		share.Conns[id] = max(1, u.Conns/n)
	}
	return share
}
