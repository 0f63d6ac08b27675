package node

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
)

// bridge handles events between the control state and the traffic states of a
// process.
func (s *State) bridge(at time.Time, body event.Body, out []effect.Effect) []effect.Effect {
	switch body := body.(type) {
	case event.UpstreamWarning:
		if s.role == event.RoleControl {
			return s.control.HandleUpstreamWarning(at, body, out)
		}
		return s.routed.UpstreamWarning(at, body, out)
	case event.EntryVMs:
		return s.routed.EntryVMs(at, body, out)
	case event.ZoneIsolation:
		return s.routed.ZoneIsolation(at, body, out)
	case event.UpstreamList:
		return s.routed.UpstreamList(at, body, out)
	case event.View:
		if s.role == event.RoleProxy {
			return s.routed.View(at, body, out)
		}
		return s.traffic.HandleView(at, body, out)
	case event.ProposeResponse:
		return s.traffic.HandleProposeResponse(at, body, out)
	case event.DemandReport:
		return s.control.HandleDemandReport(at, body, out)
	case event.ProposeRequest:
		return s.control.HandleProposeRequest(at, body, out)
	case event.CrashReport:
		switch s.role {
		case event.RoleControl:
			return s.control.HandleCrashReport(at, body, out)
		case event.RoleProxy:
			return s.routed.CrashReport(at, body, out)
		default:
			return s.traffic.HandleCrashReport(at, body, out)
		}
	default:
		return out
	}
}
