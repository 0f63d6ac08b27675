package node

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
)

// upstream handles what upstreams answer and report.
func (s *State) upstream(at time.Time, body event.Body, out []effect.Effect) []effect.Effect {
	switch body := body.(type) {
	case event.AnswerReceived:
		return s.traffic.HandleAnswerReceived(at, body, out)
	case event.ResponseReceived:
		return s.routed.ResponseReceived(at, body, out)
	case event.PortionResult:
		return s.routed.PortionResult(at, body, out)
	case event.AttemptFailed:
		if s.role == event.RoleProxy {
			return s.routed.AttemptFailed(at, body, out)
		}
		return s.traffic.HandleAttemptFailed(at, body, out)
	case event.ProbeResult:
		return s.traffic.HandleProbeResult(at, body, out)
	default:
		return out
	}
}
