package node

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
)

// handlePeer handles messages from other VMs and broken connections to them.
func (s *State) handlePeer(at time.Time, body event.Body, out []effect.Effect) []effect.Effect {
	switch body := body.(type) {
	case event.PeerMessage:
		return s.control.HandlePeerMessage(at, body, out)
	case event.PeerDown:
		return s.control.HandlePeerDown(at, body.VM, out)
	default:
		return out
	}
}
