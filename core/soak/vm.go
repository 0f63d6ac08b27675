package soak

import (
	"time"
)

// vm is a process.
type vm struct {
	up        bool
	ordered   bool      // its end was asked for
	killed    bool      // it is about to end
	stopped   time.Time // when it was asked to stop; zero before
	paused    int       // faults that hold it
	signalled time.Time // when it was last told to stop or reload
	respawn   Spawn
	after     time.Duration // from its end to its next start
	due       time.Time     // of its next start, zero while it is up
	down      []*trouble
	began     time.Time
	seen      int // newest change that a run of its requests followed
	seenAt    time.Time
	hasPause  bool // it was held since it was asked to stop
}

// tend starts a process again or ends one that outlives its grace period.
func (s *State) tend(n int) {
	v := &s.vms[n]
	switch {
	case !v.due.IsZero() && !s.now.Before(v.due):
		s.spawn(n, v.respawn)
	case v.up && !v.stopped.IsZero() && s.now.Sub(v.stopped) > s.cfg.Grace:
		if !v.hasPause {
			s.find("STOP", "vm %d still runs %v after it was asked to stop", n, s.now.Sub(v.stopped))
		}
		v.stopped, v.killed = time.Time{}, true
		s.emit(Signal{VM: n, Sign: Kill})
	}
}

// spawn starts a process and ends the trouble of its absence.
func (s *State) spawn(n int, how Spawn) {
	v := &s.vms[n]
	for _, tr := range v.down {
		tr.to = s.now
	}
	how.VM = n
	*v = vm{up: true, began: s.now, seen: -1, paused: v.paused}
	// A proxy accepts connections before the process behind it does.
	s.troubles.begin(subject{partVM, n}, s.now, false).to = s.now.Add(starting)
	s.emit(how)
	s.note("vm %d starts", n)
}

// exited judges the end of a process.
func (s *State) exited(e Exited) {
	v := &s.vms[e.VM]
	s.note("vm %d ended: %q", e.VM, e.Cause)
	// A process that has just begun does not take signals yet.
	early := e.Cause != "" && !v.signalled.IsZero() && v.signalled.Sub(v.began) <= starting
	switch {
	case early:
	case !v.ordered:
		s.find("ENDED", "vm %d ended by itself: %s", e.VM, e.Cause)
	case !v.stopped.IsZero() && e.Cause != "":
		s.find("STOP", "vm %d was asked to stop and ended with %s", e.VM, e.Cause)
	}
	v.up = false
	if !v.ordered {
		s.absent(e.VM, false)
	}
	v.due = s.now.Add(v.after)
}

// absent begins the trouble of a process that ends.
func (s *State) absent(n int, planned bool) {
	v := &s.vms[n]
	v.down = append(v.down, s.troubles.begin(subject{partVM, n}, s.now, planned))
	if n < s.cfg.Controls {
		v.down = append(v.down, s.troubles.begin(subject{part: partCore}, s.now, planned))
	}
}
