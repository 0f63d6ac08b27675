package node

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
)

// handleUpstream handles the results of attempts, probes and connection checks, including the results
// of portions that other VMs answer.
func (s *State) handleUpstream(at time.Time, body event.Body, out []effect.Effect) []effect.Effect {
	switch body := body.(type) {
	case event.AnswerReceived:
		return s.query.HandleAnswerReceived(at, body, out)
	case event.ResponseReceived:
		return s.proxy.HandleResponseReceived(at, body, out)
	case event.PortionResult:
		return s.proxy.HandlePortionResult(at, body, out)
	case event.HandoverAccepted:
		return s.proxy.HandleHandoverAccepted(at, body, out)
	case event.HandoverResult:
		return s.proxy.HandleHandoverResult(at, body, out)
	case event.ConnChecked:
		return s.proxy.HandleConnChecked(at, body, out)
	case event.AttemptFailed:
		if s.role == event.RoleProxy {
			return s.proxy.HandleAttemptFailed(at, body, out)
		}
		return s.query.HandleAttemptFailed(at, body, out)
	case event.ProbeResult:
		return s.query.HandleProbeResult(at, body, out)
	default:
		return out
	}
}
