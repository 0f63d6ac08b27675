package node

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
)

// handleInternal handles the events that the control state and the traffic states
// of a process send each other.
func (s *State) handleInternal(at time.Time, body event.Body, out []effect.Effect) []effect.Effect {
	switch body := body.(type) {
	case event.UpstreamWarning:
		if s.role == event.RoleControl {
			return s.control.Hint(at, body, out)
		}
		return s.proxy.Hint(at, body, out)
	case event.EntryVMs:
		return s.proxy.Daemons(at, body, out)
	case event.ZoneIsolation:
		return s.proxy.Isolated(at, body, out)
	case event.UpstreamList:
		return s.proxy.Roster(at, body, out)
	case event.View:
		if s.role == event.RoleProxy {
			return s.proxy.View(at, body, out)
		}
		return s.query.View(at, body, out)
	case event.ProposeResponse:
		return s.query.Proposed(at, body, out)
	case event.DemandReport:
		return s.control.Summary(at, body, out)
	case event.ProposeRequest:
		return s.control.Propose(at, body, out)
	case event.CrashReport:
		switch s.role {
		case event.RoleControl:
			return s.control.Struck(at, body, out)
		case event.RoleProxy:
			return s.proxy.Struck(at, body, out)
		default:
			return s.query.Struck(at, body, out)
		}
	default:
		return out
	}
}
