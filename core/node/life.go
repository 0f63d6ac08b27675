package node

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
)

func (s *State) begin(at time.Time, start event.Start, out []effect.Effect) []effect.Effect {
	s.role = start.Role
	// Holders of claims are compared with ==, also with ones that were encoded
	// on their way, which have neither another zone nor a monotonic reading.
	start.ProcessStart = start.ProcessStart.Round(0).UTC()
	if s.role == event.RoleControl {
		s.compose(start)
		return s.control.Start(at, start, out)
	}
	if s.role == event.RoleProxy {
		return s.routed.Start(at, start, out)
	}
	return s.traffic.Start(at, start, out)
}

func (s *State) drain(at time.Time, out []effect.Effect) []effect.Effect {
	if s.role == event.RoleControl {
		return s.control.Drain(at, out)
	}
	if s.role == event.RoleProxy {
		return s.routed.Drain(at, out)
	}
	return s.traffic.Drain(at, out)
}

func (s *State) timer(at time.Time, id event.TimerID, out []effect.Effect) []effect.Effect {
	if s.role == event.RoleControl {
		return s.control.Timer(at, id, out)
	}
	if s.role == event.RoleProxy {
		return s.routed.Timer(at, id, out)
	}
	return s.traffic.Timer(at, id, out)
}
