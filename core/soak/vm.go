package soak

import (
	"time"
)

// vm is the state of a VM's process.
type vm struct {
	running        bool
	endRequested   bool           // a Stop or Kill was sent
	killed         bool           // a Kill was sent
	stopSentAt     time.Time      // when Stop was sent; zero before, and after a Kill
	activePauses   int            // number of active faults that pause it
	signalledAt    time.Time      // when the last Stop or Reload was sent
	respawn        StartVM        // the next start
	restartDelay   time.Duration  // from its end to the next start
	restartAt      time.Time      // time of the next start; zero while it runs
	downtimes      []*disturbance // that end with the next start
	startedAt      time.Time
	newestChange   int // newest change that its runs show to be in force; -1 for none
	newestChangeAt time.Time
	wasPaused      bool // it was paused, or the soak test stalled, since Stop was sent
}

// supervise restarts a process that has ended, and kills one that still runs after
// its grace period.
func (s *State) supervise(n int) {
	v := &s.vms[n]
	switch {
	case !v.restartAt.IsZero() && !s.now.Before(v.restartAt):
		s.startVM(n, v.respawn)
	case v.running && !v.stopSentAt.IsZero() && s.now.Sub(v.stopSentAt) > s.cfg.ShutdownGrace:
		if !v.wasPaused {
			s.addFinding("STOP", "vm %d still runs %v after it was asked to stop", n, s.now.Sub(v.stopSentAt))
		}
		v.stopSentAt, v.killed = time.Time{}, true
		s.emit(Signal{VM: n, Kind: Kill})
	}
}

// startVM starts a process, which ends its downtime.
func (s *State) startVM(n int, start StartVM) {
	v := &s.vms[n]
	for _, d := range v.downtimes {
		d.end = s.now
	}
	start.VM = n
	*v = vm{running: true, startedAt: s.now, newestChange: -1, activePauses: v.activePauses}
	// The proxy in front accepts connections before the process does, and they
	// break.
	s.disturbances.add(component{componentVM, n}, s.now, false).end = s.now.Add(startupTime)
	s.emit(start)
	s.note("vm %d starts", n)
}

// judgeExit checks the end of a process and schedules its restart.
func (s *State) judgeExit(e ProcessExited) {
	v := &s.vms[e.VM]
	s.note("vm %d ended: %q", e.VM, e.Cause)
	// A process that has just started may not handle signals yet.
	duringStartup := e.Cause != "" && !v.signalledAt.IsZero() && v.signalledAt.Sub(v.startedAt) <= startupTime
	switch {
	case duringStartup:
	case !v.endRequested:
		s.addFinding("ENDED", "vm %d ended by itself: %s", e.VM, e.Cause)
	case !v.stopSentAt.IsZero() && e.Cause != "":
		s.addFinding("STOP", "vm %d was asked to stop and ended with %s", e.VM, e.Cause)
	}
	v.running = false
	if !v.endRequested {
		s.beginDowntime(e.VM, false)
	}
	v.restartAt = s.now.Add(v.restartDelay)
}

// beginDowntime marks a VM as disturbed from the end of its process.
func (s *State) beginDowntime(n int, planned bool) {
	v := &s.vms[n]
	v.downtimes = append(v.downtimes, s.disturbances.add(component{componentVM, n}, s.now, planned))
	if n < s.cfg.LogVMs {
		v.downtimes = append(v.downtimes, s.disturbances.add(component{kind: componentLog}, s.now, planned))
	}
}
