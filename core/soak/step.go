package soak

import (
	"slices"
	"time"
)

// step is a fault: what begins it, what ends it and whom it troubles.
type step struct {
	at, length time.Duration
	name       string
	begin, end []Effect
	subjects   []subject
	how        Spawn         // the next start of a process that it ends
	after      time.Duration // from the end of a process to its next start
	troubles   []*trouble    // while it is in force
}

// begin puts a fault in force.
func (s *State) begin(st step) {
	s.report.Faults[st.name]++
	s.note("%s: %+v", st.name, st.begin)
	for _, who := range st.subjects {
		st.troubles = append(st.troubles, s.troubles.begin(who, s.now, false))
	}
	for _, e := range st.begin {
		s.apply(e, &st)
	}
	s.undo = append(s.undo, st)
}

// finish ends a fault.
func (s *State) finish(st step) {
	if len(st.end) > 0 {
		s.note("end of %s: %+v", st.name, st.end)
	}
	for _, e := range st.end {
		s.apply(e, &st)
	}
	for _, tr := range st.troubles {
		tr.to = s.now
	}
}

// apply emits the effect of a fault as far as the state of its process allows.
func (s *State) apply(e Effect, st *step) {
	switch e := e.(type) {
	case Signal:
		s.signal(e, st)
	case Roster:
		s.drains = append(s.drains, e.Drained...)
		if e.Mute {
			s.muted++
		} else if len(e.Drained) == 0 {
			s.muted--
		}
		s.emit(Roster{Drained: slices.Clone(s.drains), Mute: s.muted > 0})
	default:
		s.emit(e)
	}
}

func (s *State) signal(e Signal, st *step) {
	v := &s.vms[e.VM]
	switch e.Sign {
	case Pause:
		v.paused++
		v.hasPause = true
	case Resume:
		v.paused--
		if v.paused > 0 {
			return
		}
	case Kill, Stop:
		if !v.up {
			return
		}
		if !v.ordered || e.Sign == Kill {
			s.absent(e.VM, e.Sign == Stop)
			v.respawn, v.after = st.how, st.after
		}
		v.ordered = true
		switch {
		case e.Sign == Kill:
			v.stopped, v.killed = time.Time{}, true
		case v.stopped.IsZero() && !v.killed:
			v.stopped, v.hasPause = s.now, v.paused > 0
		}
	case Reload:
	}
	if e.Sign == Stop || e.Sign == Reload {
		v.signalled = s.now
	}
	if v.up {
		s.emit(e)
	}
}
