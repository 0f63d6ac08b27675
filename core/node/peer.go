package node

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
)

// peer handles what comes from other VMs.
func (s *State) peer(at time.Time, body event.Body, out []effect.Effect) []effect.Effect {
	switch body := body.(type) {
	case event.PeerMessage:
		return s.control.Peer(at, body, out)
	case event.PeerDown:
		return s.control.PeerDown(at, body.VM, out)
	default:
		return out
	}
}
