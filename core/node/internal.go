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
			return s.control.HandleUpstreamWarning(at, body, out)
		}
		return s.proxy.HandleUpstreamWarning(at, body, out)
	case event.UpstreamStatement:
		if s.role == event.RoleControl {
			return append(out, effect.ToTraffic{Loop: effect.AllLoops, Body: body})
		}
		if s.role == event.RoleQuery {
			return s.query.HandleUpstreamStatement(at, body, out)
		}
		return s.proxy.HandleUpstreamStatement(at, body, out)
	case event.EntryVMs:
		return s.proxy.HandleEntryVMs(at, body, out)
	case event.ConfigOverdue:
		return s.proxy.HandleConfigOverdue(body, out)
	case event.ZoneIsolation:
		return s.proxy.HandleZoneIsolation(at, body, out)
	case event.UpstreamList:
		return s.proxy.HandleUpstreamList(at, body, out)
	case event.View:
		if s.role == event.RoleProxy {
			return s.proxy.HandleView(at, body, out)
		}
		return s.query.HandleView(at, body, out)
	case event.ProposeResponse:
		return s.query.HandleProposeResponse(at, body, out)
	case event.DemandReport:
		return s.control.HandleDemandReport(at, body, out)
	case event.ProposeRequest:
		return s.control.HandleProposeRequest(at, body, out)
	case event.CrashReport:
		switch s.role {
		case event.RoleControl:
			return s.control.HandleCrashReport(at, body, out)
		case event.RoleProxy:
			return s.proxy.HandleCrashReport(at, body, out)
		default:
			return s.query.HandleCrashReport(at, body, out)
		}
	default:
		return out
	}
}

// handleLimits handles the events that divide customers' rates and the limits of upstreams
// among the VMs.
func (s *State) handleLimits(at time.Time, body event.Body, out []effect.Effect) []effect.Effect {
	switch body := body.(type) {
	case event.TokenRequest:
		return s.control.HandleTokenRequest(at, body, out)
	case event.TokenAnswer:
		if s.role == event.RoleQuery {
			return s.query.HandleTokenAnswer(at, body, out)
		}
		return s.proxy.HandleTokenAnswer(at, body, out)
	case event.LimitReport:
		return s.control.HandleLimitReport(at, body, out)
	case event.LimitShares:
		return s.proxy.HandleLimitShares(at, body, out)
	default:
		return out
	}
}
