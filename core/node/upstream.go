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
		return s.traffic.Answered(at, body, out)
	case event.ResponseReceived:
		return s.routed.Returned(at, body, out)
	case event.PortionResult:
		return s.routed.Gathered(at, body, out)
	case event.AttemptFailed:
		if s.role == event.RoleProxy {
			return s.routed.Failed(at, body, out)
		}
		return s.traffic.Failed(at, body, out)
	case event.ProbeResult:
		return s.traffic.Reported(at, body, out)
	default:
		return out
	}
}
