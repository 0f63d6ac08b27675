package plane

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// Hint passes what the traffic found of an upstream to the VMs with disks of
// the own zone, each of which tells the daemons that follow it.
func (c *Control) Hint(_ time.Time, e event.UpstreamWarning, out []effect.Effect) []effect.Effect {
	from := len(out)
	for _, id := range c.disks() {
		if vm, _ := c.store.VM(id); vm.Zone == c.start.VM.Zone {
			out = append(out, effect.SendMessage{To: id, Message: frame.UpstreamWarning(e)})
		}
	}
	return c.seal(from, out)
}

// peerHint passes a hint on to the daemons that follow this VM, or takes it.
func (c *Control) peerHint(at time.Time, from model.VMID, m frame.UpstreamWarning, out []effect.Effect) []effect.Effect {
	if !c.start.VM.HasDisk {
		return append(out, effect.ToTraffic{Loop: effect.AllLoops, Body: event.UpstreamWarning(m)})
	}
	for _, id := range c.following(at) {
		// VMs of other zones follow this one while theirs are down.
		if id != from && c.zoneOf(id) == c.start.VM.Zone {
			out = append(out, effect.SendMessage{To: id, Message: m})
		}
	}
	return out
}
