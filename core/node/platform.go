package node

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
)

// handlePlatform handles the platform's lists of VMs and upstreams.
func (s *State) handlePlatform(at time.Time, body event.Body, out []effect.Effect) []effect.Effect {
	switch body := body.(type) {
	case event.PlatformVMs:
		return s.control.HandlePlatformVMs(at, body, out)
	case event.UpstreamListRead:
		return s.control.HandleUpstreamListRead(at, body, out)
	default:
		return out
	}
}
