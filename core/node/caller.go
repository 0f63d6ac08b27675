package node

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
)

// handleCaller handles callers' requests and disconnects.
func (s *State) handleCaller(at time.Time, body event.Body, out []effect.Effect) []effect.Effect {
	switch body := body.(type) {
	case event.QueryRequest:
		return s.query.HandleQueryRequest(at, body, out)
	case event.ProxyRequest:
		return s.proxy.HandleProxyRequest(at, body, out)
	case event.CallerDisconnected:
		if s.role == event.RoleProxy {
			return s.proxy.HandleCallerDisconnected(at, body, out)
		}
		return s.query.HandleCallerDisconnected(at, body, out)
	default:
		return out
	}
}
