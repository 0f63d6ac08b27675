package plane

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// HandleUpstreamWarning sends a traffic state's warning about an upstream to
// the disk VMs of this VM's zone. Each of them passes it on to the entry VMs
// that follow it.
func (c *Control) HandleUpstreamWarning(_ time.Time, e event.UpstreamWarning, out []effect.Effect) []effect.Effect {
	first := len(out)
	for _, id := range c.diskVMs() {
		if vm, _ := c.store.VM(id); vm.Zone == c.settings.VM.Zone {
			out = append(out, effect.SendMessage{To: id, Message: frame.UpstreamWarning(e)})
		}
	}
	return c.complete(first, out)
}

// peerUpstreamWarning passes a warning on to the entry VMs that follow this disk
// VM. On an entry VM it passes the warning to the traffic states.
func (c *Control) peerUpstreamWarning(at time.Time, from model.VMID, m frame.UpstreamWarning, out []effect.Effect) []effect.Effect {
	if !c.settings.VM.HasDisk {
		return append(out, effect.ToTraffic{Loop: effect.AllLoops, Body: event.UpstreamWarning(m)})
	}
	for _, id := range c.followers(at) {
		// VMs of another zone follow this one while all disk VMs of theirs are
		// down.
		if id != from && c.zoneOf(id) == c.settings.VM.Zone {
			out = append(out, effect.SendMessage{To: id, Message: m})
		}
	}
	return out
}
