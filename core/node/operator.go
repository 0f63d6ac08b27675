package node

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
)

// handleOperator handles operators' changes and questions.
func (s *State) handleOperator(at time.Time, body event.Body, out []effect.Effect) []effect.Effect {
	switch body := body.(type) {
	case event.OperatorCommand:
		return s.control.HandleOperatorCommand(at, body, out)
	case event.StatusRequest:
		return s.control.HandleStatusRequest(at, body, out)
	case event.PlanRequest:
		if s.role == event.RoleQuery {
			return s.query.HandlePlanRequest(at, body, out)
		}
		return s.proxy.HandlePlanRequest(at, body, out)
	default:
		return out
	}
}
