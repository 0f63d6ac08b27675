package soak

import (
	"slices"
	"time"
)

// plannedFault is a fault that is injected at a given time.
type plannedFault struct {
	offset, duration time.Duration  // from the start of the run, and from the begin of the fault to its end
	name             string         // kind of the fault in reports
	begin, end       []Effect       // that begin the fault and end it
	components       []component    // disturbed by the fault
	respawn          StartVM        // how a process that the fault ends is started again
	restartDelay     time.Duration  // from the end of a process to its next start
	disturbances     []*disturbance // of components, added when the fault begins
}

// beginFault begins a fault and marks its components as disturbed.
func (s *State) beginFault(f plannedFault) {
	s.report.Faults[f.name]++
	s.note("%s: %+v", f.name, f.begin)
	for _, c := range f.components {
		f.disturbances = append(f.disturbances, s.disturbances.add(c, s.now, false))
	}
	for _, e := range f.begin {
		s.applyEffect(e, &f)
	}
	s.activeFaults = append(s.activeFaults, f)
}

// endFault ends a fault and the disturbance of its components.
func (s *State) endFault(f plannedFault) {
	if len(f.end) > 0 {
		s.note("end of %s: %+v", f.name, f.end)
	}
	for _, e := range f.end {
		s.applyEffect(e, &f)
	}
	for _, d := range f.disturbances {
		d.end = s.now
	}
}

// applyEffect emits an effect of a fault, combined with other active faults of the
// same process or list.
func (s *State) applyEffect(e Effect, f *plannedFault) {
	switch e := e.(type) {
	case Signal:
		s.applySignal(e, f)
	case SetUpstreamList:
		s.drainedUpstreams = append(s.drainedUpstreams, e.Drained...)
		if e.Silent {
			s.silences++
		} else if len(e.Drained) == 0 {
			s.silences--
		}
		s.emit(SetUpstreamList{Drained: slices.Clone(s.drainedUpstreams), Silent: s.silences > 0})
	case OrderZone:
		s.applyZoneOrder(e)
	default:
		s.emit(e)
	}
}

// applySignal records what a signal does to a VM, and emits it if its process runs.
func (s *State) applySignal(e Signal, f *plannedFault) {
	v := &s.vms[e.VM]
	switch e.Kind {
	case Pause:
		v.activePauses++
		v.wasPaused = true
	case Resume:
		v.activePauses--
		if v.activePauses > 0 {
			return
		}
	case Kill, Stop:
		if !v.running {
			return
		}
		if !v.endRequested || e.Kind == Kill {
			s.beginDowntime(e.VM, e.Kind == Stop)
			v.respawn, v.restartDelay = f.respawn, f.restartDelay
		}
		v.endRequested = true
		switch {
		case e.Kind == Kill:
			v.stopSentAt, v.killed = time.Time{}, true
		case v.stopSentAt.IsZero() && !v.killed:
			v.stopSentAt, v.wasPaused = s.now, v.activePauses > 0
		}
	case Reload:
	}
	if e.Kind == Stop || e.Kind == Reload {
		v.signalledAt = s.now
	}
	if v.running {
		s.emit(e)
	}
}
