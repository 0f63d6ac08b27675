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
	routed  proxy.Router
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
	case event.Request, event.Call, event.Gone:
		return s.caller(ev.At, body, out)
	case event.Answered, event.Returned, event.Gathered, event.Failed, event.Reported:
		return s.upstream(ev.At, body, out)
	case event.View, event.Summary, event.Propose, event.Proposed, event.Struck, event.Roster,
		event.Hint, event.Daemons, event.Isolated:
		return s.bridge(ev.At, body, out)
	case event.Peer, event.PeerDown:
		return s.peer(ev.At, body, out)
	case event.Loaded, event.Synced, event.DiskFailed:
		return s.disk(ev.At, body, out)
	case event.Command, event.Inquiry:
		return s.operator(ev.At, body, out)
	case event.Platform, event.Listed:
		return s.platform(ev.At, body, out)
	default:
		return out
	}
}
