package soak

import (
	"time"
)

// component is a part of the system that a fault can affect.
type component struct {
	kind  componentKind
	index int // of the VM or upstream; 0 for the log
}

// componentKind tells components apart.
type componentKind int

const (
	componentVM  componentKind = iota
	componentLog               // the replicated log as a whole
	componentUpstream
)

// disturbance is a period in which a fault affects a component.
type disturbance struct {
	start, end time.Time // end is zero while it lasts
	planned    bool      // by a graceful stop
}

// disturbances holds the disturbances of each component.
type disturbances map[component][]*disturbance

func (ds disturbances) add(c component, at time.Time, planned bool) *disturbance {
	d := &disturbance{start: at, planned: planned}
	ds[c] = append(ds[c], d)
	return d
}

// stable reports whether a component was undisturbed from stableWindow before
// from until to. Planned disturbances count only with includePlanned.
func (ds disturbances) stable(c component, from, to time.Time, includePlanned bool) bool {
	from = from.Add(-stableWindow)
	for _, d := range ds[c] {
		if d.planned && !includePlanned {
			continue
		}
		if !d.start.After(to) && (d.end.IsZero() || !d.end.Before(from)) {
			return false
		}
	}
	return true
}

// vmAndLogStable reports whether a VM and the replicated log were undisturbed from
// stableWindow before since until now.
func (s *State) vmAndLogStable(vm int, since time.Time) bool {
	return s.disturbances.stable(component{componentVM, vm}, since, s.now, true) &&
		s.disturbances.stable(component{kind: componentLog}, since, s.now, true)
}

// runPathStable reports whether everything on a run's path was undisturbed,
// except by planned stops of VMs: the upstream and the VM that received the
// request, or all entry VMs when portions of the request may have gone to
// others.
func (s *State) runPathStable(req *request, r *run, since time.Time) bool {
	if req.Class != Sweep {
		return s.vmAndUpstreamsStable(req.VM, []*run{r}, since)
	}
	for n := s.cfg.LogVMs; n < len(s.vms); n++ {
		if !s.vmAndUpstreamsStable(n, []*run{r}, since) {
			return false
		}
	}
	return true
}

// vmAndUpstreamsStable reports whether a VM, except by planned stops, and the
// upstreams of runs were undisturbed from stableWindow before since until now.
func (s *State) vmAndUpstreamsStable(vm int, runs []*run, since time.Time) bool {
	if !s.disturbances.stable(component{componentVM, vm}, since, s.now, false) {
		return false
	}
	for _, r := range runs {
		if !s.disturbances.stable(component{componentUpstream, r.Upstream}, since, s.now, true) {
			return false
		}
	}
	return true
}
