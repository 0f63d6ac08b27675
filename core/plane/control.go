package plane

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Control is the control state of one process. The zero value has no
// configuration in force.
type Control struct {
	start    event.Start
	topology *model.Topology
}

// Start takes over the settings and publishes the configuration in them, if any.
func (c *Control) Start(at time.Time, start event.Start, out []effect.Effect) []effect.Effect {
	c.start = start
	if start.Genesis == nil {
		return out
	}
	c.topology = start.Genesis
	return c.publish(at, out)
}

// publish hands the configuration in force to the traffic states.
func (c *Control) publish(_ time.Time, out []effect.Effect) []effect.Effect {
	share := floors(c.topology, c.start.Loops)
	return append(out, effect.ToTraffic{Loop: effect.AllLoops, Body: event.View{Topology: c.topology, Share: share}})
}

// Propose answers a traffic state's claim, settlement or release.
func (c *Control) Propose(_ time.Time, p event.Propose, out []effect.Effect) []effect.Effect {
	return append(out, effect.ToTraffic{Loop: p.Loop, Body: event.Proposed{
		Request: p.Request, Command: p.Command, Result: entry.Result{Status: entry.StatusNoMajority},
	}})
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
