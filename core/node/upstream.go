package node

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
)

// upstream handles what upstreams answer and report.
func (s *State) upstream(at time.Time, body event.Body, out []effect.Effect) []effect.Effect {
	switch body := body.(type) {
	case event.Answered:
		return s.traffic.Answered(at, body, out)
	case event.Failed:
		return s.traffic.Failed(at, body, out)
	case event.Reported:
		return s.traffic.Reported(at, body, out)
	default:
		return out
	}
}
