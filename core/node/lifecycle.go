package node

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
)

func (s *State) handleStart(at time.Time, start event.Start, out []effect.Effect) []effect.Effect {
	s.role = start.Role
	// Claim holders, which contain this time, are compared with == after they were
	// encoded and decoded. Decoding yields neither a local time zone nor a
	// monotonic clock reading.
	start.ProcessStart = start.ProcessStart.Round(0).UTC()
	if s.role == event.RoleControl {
		s.setUpControl(start)
		return s.control.Start(at, start, out)
	}
	if s.role == event.RoleProxy {
		return s.proxy.Start(at, start, out)
	}
	return s.query.Start(at, start, out)
}

func (s *State) handleSettings(at time.Time, e event.SettingsChanged, out []effect.Effect) []effect.Effect {
	switch s.role {
	case event.RoleControl:
		return s.control.HandleSettings(at, e, out)
	case event.RoleProxy:
		return s.proxy.HandleSettings(at, e, out)
	default:
		return out // the settings of other roles do not change
	}
}

func (s *State) handleDrain(at time.Time, out []effect.Effect) []effect.Effect {
	if s.role == event.RoleControl {
		return s.control.Drain(at, out)
	}
	if s.role == event.RoleProxy {
		return s.proxy.Drain(at, out)
	}
	return s.query.Drain(at, out)
}

func (s *State) handleTimer(at time.Time, id event.TimerID, out []effect.Effect) []effect.Effect {
	if s.role == event.RoleControl {
		return s.control.HandleTimer(at, id, out)
	}
	if s.role == event.RoleProxy {
		return s.proxy.HandleTimer(at, id, out)
	}
	return s.query.HandleTimer(at, id, out)
}
