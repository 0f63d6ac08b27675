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
			return s.control.Hint(at, body, out)
		}
		return s.routed.Hint(at, body, out)
	case event.EntryVMs:
		return s.routed.Daemons(at, body, out)
	case event.ZoneIsolation:
		return s.routed.Isolated(at, body, out)
	case event.UpstreamList:
		return s.routed.Roster(at, body, out)
	case event.View:
		if s.role == event.RoleProxy {
			return s.routed.View(at, body, out)
		}
		return s.traffic.View(at, body, out)
	case event.ProposeResponse:
		return s.traffic.Proposed(at, body, out)
	case event.DemandReport:
		return s.control.Summary(at, body, out)
	case event.ProposeRequest:
		return s.control.Propose(at, body, out)
	case event.CrashReport:
		switch s.role {
		case event.RoleControl:
			return s.control.Struck(at, body, out)
		case event.RoleProxy:
			return s.routed.Struck(at, body, out)
		default:
			return s.traffic.Struck(at, body, out)
		}
	default:
		return out
	}
}
