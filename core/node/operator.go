package node

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
)

// handleOperator handles operators' changes and status requests.
func (s *State) handleOperator(at time.Time, body event.Body, out []effect.Effect) []effect.Effect {
	switch body := body.(type) {
	case event.OperatorCommand:
		return s.control.HandleOperatorCommand(at, body, out)
	case event.StatusRequest:
		return s.control.HandleStatusRequest(at, body, out)
	default:
		return out
	}
}
