package node

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
)

// caller handles what callers do.
func (s *State) caller(at time.Time, body event.Body, out []effect.Effect) []effect.Effect {
	switch body := body.(type) {
	case event.QueryRequest:
		return s.traffic.Request(at, body, out)
	case event.ProxyRequest:
		return s.routed.Call(at, body, out)
	case event.CallerDisconnected:
		if s.role == event.RoleProxy {
			return s.routed.Gone(at, body, out)
		}
		return s.traffic.Gone(at, body, out)
	default:
		return out
	}
}
