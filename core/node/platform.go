package node

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
)

// platform handles the platform's list of VMs.
func (s *State) platform(at time.Time, body event.Platform, out []effect.Effect) []effect.Effect {
	return s.control.Platform(at, body, out)
}
