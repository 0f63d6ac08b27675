package plane

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// watch is the liveness of the other VMs, as core/member has it.
type watch interface {
	Heard(at time.Time, vm model.VMID, out []effect.Effect) []effect.Effect
	Peer(at time.Time, from model.VMID, m frame.Message, out []effect.Effect) []effect.Effect
	Timer(at time.Time, out []effect.Effect) []effect.Effect
	Suspects(at time.Time) []model.VMID
}

// Observe sets the liveness watch. It is called before Start.
func (c *Control) Observe(w watch) {
	c.watch = w
}

// heardFrom takes any message as a sign of life.
func (c *Control) heardFrom(at time.Time, vm model.VMID, out []effect.Effect) []effect.Effect {
	if c.watch == nil {
		return out
	}
	return c.watch.Heard(at, vm, out)
}

func (c *Control) peerMember(at time.Time, from model.VMID, m frame.Message, out []effect.Effect) []effect.Effect {
	if c.watch == nil {
		return out
	}
	return c.watch.Peer(at, from, m, out)
}

func (c *Control) timerMember(at time.Time, out []effect.Effect) []effect.Effect {
	if c.watch == nil {
		return out
	}
	return c.watch.Timer(at, out)
}

// suspects returns the VMs that operators should know to be suspected.
func (c *Control) suspects(at time.Time) []frame.Heard {
	if c.watch == nil {
		return nil
	}
	var heard []frame.Heard
	for _, id := range c.watch.Suspects(at) {
		heard = append(heard, frame.Heard{VM: id, Suspect: true})
	}
	return heard
}
