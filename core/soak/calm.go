package soak

import (
	"time"
)

// subject is what a fault troubles.
type subject struct {
	part  part
	index int // of the VM or upstream
}

type part int

const (
	partVM part = iota
	partCore
	partHost
)

// trouble is a span of time in which a subject is disturbed.
type trouble struct {
	from, to time.Time // to is zero while it lasts
	planned  bool
}

// troubles are the disturbances of all subjects.
type troubles map[subject][]*trouble

func (t troubles) begin(s subject, at time.Time, planned bool) *trouble {
	tr := &trouble{from: at, planned: planned}
	t[s] = append(t[s], tr)
	return tr
}

// calm reports whether a subject was undisturbed from the stable window before
// a time up to another.
func (t troubles) calm(s subject, from, to time.Time, evenPlanned bool) bool {
	from = from.Add(-stableWindow)
	for _, tr := range t[s] {
		if tr.planned && !evenPlanned {
			continue
		}
		if !tr.from.After(to) && (tr.to.IsZero() || !tr.to.Before(from)) {
			return false
		}
	}
	return true
}

// inTouch reports whether a VM and the VMs that replicate the log were
// undisturbed up to now, from the stable window before a time on.
func (s *State) inTouch(vm int, since time.Time) bool {
	return s.troubles.calm(subject{partVM, vm}, since, s.now, true) && s.troubles.calm(subject{part: partCore}, since, s.now, true)
}

// direct reports whether the way of a run was undisturbed: its upstream and, when
// other VMs may have taken part, all that take callers.
func (s *State) direct(q *request, r *run, since time.Time) bool {
	if q.Class != Sweep {
		return s.sound(q.Entry, []*run{r}, since)
	}
	for n := s.cfg.Controls; n < len(s.vms); n++ {
		if !s.sound(n, []*run{r}, since) {
			return false
		}
	}
	return true
}

// sound reports the same of a VM beside planned stops, and of upstreams.
func (s *State) sound(vm int, runs []*run, since time.Time) bool {
	if !s.troubles.calm(subject{partVM, vm}, since, s.now, false) {
		return false
	}
	for _, r := range runs {
		if !s.troubles.calm(subject{partHost, r.Host}, since, s.now, true) {
			return false
		}
	}
	return true
}
