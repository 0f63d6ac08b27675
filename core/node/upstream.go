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
	case event.Returned:
		return s.routed.Returned(at, body, out)
	case event.Gathered:
		return s.routed.Gathered(at, body, out)
	case event.Failed:
		if s.role == event.RoleRouted {
			return s.routed.Failed(at, body, out)
		}
		return s.traffic.Failed(at, body, out)
	case event.Reported:
		return s.traffic.Reported(at, body, out)
	default:
		return out
	}
}
