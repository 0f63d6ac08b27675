package node

import (
	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/plane"
	"comfreypulley/core/proxy"
	"comfreypulley/core/query"
)

// State is the control state or a traffic state of a process, as selected by
// event.Start, which must be its first event. The zero value is ready to use.
type State struct {
	role    event.Role
	query   query.Table
	control plane.Control
	proxy   proxy.Router
}

// Reduce applies an event to the state and appends the resulting effects to out.
func (s *State) Reduce(ev event.Event, out []effect.Effect) []effect.Effect {
	switch body := ev.Body.(type) {
	case event.Start:
		return s.handleStart(ev.At, body, out)
	case event.SettingsChanged:
		return s.handleSettings(ev.At, body, out)
	case event.Drain:
		return s.handleDrain(ev.At, out)
	case event.CutOff:
		return s.proxy.CutOff(ev.At, out)
	case event.Leave:
		return s.control.Leave(ev.At, out)
	case event.Timer:
		return s.handleTimer(ev.At, body.ID, out)
	case event.QueryRequest, event.ProxyRequest, event.CallerDisconnected:
		return s.handleCaller(ev.At, body, out)
	case event.AnswerReceived, event.ResponseReceived, event.PortionResult, event.HandoverResult, event.HandoverAccepted, event.AttemptFailed,
		event.ProbeResult, event.ConnChecked:
		return s.handleUpstream(ev.At, body, out)
	case event.View, event.DemandReport, event.ProposeRequest, event.ProposeResponse, event.CrashReport, event.UpstreamList,
		event.UpstreamWarning, event.EntryVMs, event.ZoneIsolation, event.ConfigOverdue, event.UpstreamStatement:
		return s.handleInternal(ev.At, body, out)
	case event.LimitReport, event.LimitShares, event.TokenRequest, event.TokenAnswer:
		return s.handleLimits(ev.At, body, out)
	case event.PeerMessage, event.PeerDown:
		return s.handlePeer(ev.At, body, out)
	case event.DiskLoaded, event.DiskSynced, event.DiskFailed:
		return s.handleDisk(ev.At, body, out)
	case event.OperatorCommand, event.StatusRequest, event.PlanRequest:
		return s.handleOperator(ev.At, body, out)
	case event.PlatformVMs, event.UpstreamListRead:
		return s.handlePlatform(ev.At, body, out)
	default:
		return out
	}
}
