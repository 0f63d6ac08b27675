package plane

import (
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// watch is the liveness of the VMs below, as core/member has it.
type watch interface {
	Register(vms map[model.VMID]model.VM)
	Heard(at time.Time, vm model.VMID, out []effect.Effect) []effect.Effect
	Peer(at time.Time, from model.VMID, m frame.Message, out []effect.Effect) []effect.Effect
	Hint(at time.Time, p event.PlatformVMs, out []effect.Effect) []effect.Effect
	Timer(at time.Time, out []effect.Effect) []effect.Effect
	Suspects(at time.Time) []model.VMID
}

// Observe sets the liveness watch. It is called before Start.
func (c *Control) Observe(w watch) {
	c.watch = w
}

// register tells the watch which VMs there are.
func (c *Control) register(vms map[model.VMID]model.VM) {
	if c.watch != nil {
		c.watch.Register(vms)
	}
}

// heardFrom takes a child's digest as its heartbeat.
func (c *Control) heardFrom(at time.Time, vm model.VMID, out []effect.Effect) []effect.Effect {
	if c.watch == nil {
		return out
	}
	return c.watch.Heard(at, vm, out)
}

func (c *Control) hint(at time.Time, p event.PlatformVMs, out []effect.Effect) []effect.Effect {
	if c.watch == nil {
		return out
	}
	return c.watch.Hint(at, p, out)
}

func (c *Control) peerMember(at time.Time, from model.VMID, m frame.Message, out []effect.Effect) []effect.Effect {
	if c.watch != nil {
		return c.watch.Peer(at, from, m, out)
	}
	if ping, ok := m.(frame.Ping); ok {
		out = append(out, effect.SendMessage{To: from, Message: frame.Pong(ping)})
	}
	return out
}

func (c *Control) timerMember(at time.Time, out []effect.Effect) []effect.Effect {
	if c.watch == nil {
		return out
	}
	return c.watch.Timer(at, out)
}

// report passes changes of suspicion on to the tree, which reports them upward.
func (c *Control) report(at time.Time) {
	if c.watch == nil || c.tree == nil {
		return
	}
	suspects := c.watch.Suspects(at)
	for _, id := range c.suspects {
		if !slices.Contains(suspects, id) {
			c.tree.Suspect(id, false)
		}
	}
	for _, id := range suspects {
		if !slices.Contains(c.suspects, id) {
			c.tree.Suspect(id, true)
		}
	}
	c.suspects = suspects
}
