package node

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
)

// handleDisk handles the events of the data folder.
func (s *State) handleDisk(at time.Time, body event.Body, out []effect.Effect) []effect.Effect {
	switch body := body.(type) {
	case event.DiskLoaded:
		return s.control.HandleDiskLoaded(at, body, out)
	case event.DiskSynced:
		return s.control.HandleDiskSynced(at, body, out)
	case event.DiskFailed:
		return s.control.HandleDiskFailed(at, body, out)
	default:
		return out
	}
}
