package plane

import (
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// failureDetector decides which VMs below this one in the distribution tree are
// suspected to have failed. core/member implements it.
type failureDetector interface {
	SetVMs(vms map[model.VMID]model.VM)
	HandleHeartbeat(at time.Time, vm model.VMID, out []effect.Effect) []effect.Effect
	HandlePeerMessage(at time.Time, from model.VMID, m frame.Message, out []effect.Effect) []effect.Effect
	HandlePlatformVMs(at time.Time, p event.PlatformVMs, out []effect.Effect) []effect.Effect
	HandleTimer(at time.Time, out []effect.Effect) []effect.Effect
	Suspects(at time.Time) []model.VMID
}

// SetFailureDetector sets the failure detector. It is called before Start.
func (c *Control) SetFailureDetector(d failureDetector) {
	c.detector = d
}

// registerVMs passes the VMs of the configuration to the failure detector.
func (c *Control) registerVMs(vms map[model.VMID]model.VM) {
	if c.detector != nil {
		c.detector.SetVMs(vms)
	}
}

// recordHeartbeat counts a digest as a heartbeat of its sender.
func (c *Control) recordHeartbeat(at time.Time, vm model.VMID, out []effect.Effect) []effect.Effect {
	if c.detector == nil {
		return out
	}
	return c.detector.HandleHeartbeat(at, vm, out)
}

// forwardPlatformVMs passes the platform's list of VMs to the failure detector.
func (c *Control) forwardPlatformVMs(at time.Time, p event.PlatformVMs, out []effect.Effect) []effect.Effect {
	if c.detector == nil {
		return out
	}
	return c.detector.HandlePlatformVMs(at, p, out)
}

// peerLiveness handles pings and probes. Without a failure detector it only
// answers pings.
func (c *Control) peerLiveness(at time.Time, from model.VMID, m frame.Message, out []effect.Effect) []effect.Effect {
	if c.detector != nil {
		return c.detector.HandlePeerMessage(at, from, m, out)
	}
	if ping, ok := m.(frame.Ping); ok {
		out = append(out, effect.SendMessage{To: from, Message: frame.Pong(ping)})
	}
	return out
}

func (c *Control) timerLiveness(at time.Time, out []effect.Effect) []effect.Effect {
	if c.detector == nil {
		return out
	}
	return c.detector.HandleTimer(at, out)
}

// reportSuspects notifies the tree, which reports to the parent, of VMs that
// are newly suspected and VMs that are no longer suspected.
func (c *Control) reportSuspects(at time.Time) {
	if c.detector == nil || c.tree == nil {
		return
	}
	suspects := c.detector.Suspects(at)
	for _, id := range c.suspects {
		if !slices.Contains(suspects, id) {
			c.tree.SetSuspected(id, false)
		}
	}
	for _, id := range suspects {
		if !slices.Contains(c.suspects, id) {
			c.tree.SetSuspected(id, true)
		}
	}
	c.suspects = suspects
}
