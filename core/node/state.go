package node

import (
	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/plane"
	"comfreypulley/core/proxy"
	"comfreypulley/core/query"
)

// State is the state of one goroutine: control or traffic, as event.Start says.
// The zero value waits for event.Start.
type State struct {
	role    event.Role
	traffic query.Table
	control plane.Control
	routed  proxy.Table
}

// Reduce takes an event into the state and appends the effects to out.
func (s *State) Reduce(ev event.Event, out []effect.Effect) []effect.Effect {
	switch body := ev.Body.(type) {
	case event.Start:
		return s.begin(ev.At, body, out)
	case event.Drain:
		return s.drain(ev.At, out)
	case event.Leave:
		return s.control.Leave(ev.At, out)
	case event.Timer:
		return s.timer(ev.At, body.ID, out)
	case event.QueryRequest, event.ProxyRequest, event.CallerDisconnected:
		return s.caller(ev.At, body, out)
	case event.AnswerReceived, event.ResponseReceived, event.PortionResult, event.AttemptFailed, event.ProbeResult:
		return s.upstream(ev.At, body, out)
	case event.View, event.DemandReport, event.ProposeRequest, event.ProposeResponse, event.CrashReport, event.UpstreamList,
		event.UpstreamWarning, event.EntryVMs, event.ZoneIsolation:
		return s.bridge(ev.At, body, out)
	case event.PeerMessage, event.PeerDown:
		return s.peer(ev.At, body, out)
	case event.DiskLoaded, event.DiskSynced, event.DiskFailed:
		return s.disk(ev.At, body, out)
	case event.OperatorCommand, event.StatusRequest:
		return s.operator(ev.At, body, out)
	case event.PlatformVMs, event.UpstreamListRead:
		return s.platform(ev.At, body, out)
	default:
		return out
	}
}
