package soak

import (
	"math/rand/v2"
	"time"
)

// Times and odds of upstreams that ask for a pause.
const (
	pauseOdds      = 2                       // one in this many cycles has such an upstream
	minPause       = 1500 * time.Millisecond // that an upstream asks for
	pauseUnderWay  = 500 * time.Millisecond  // in which requests sent before may arrive
	maxPauseExtra  = 2                       // requests of a VM that may arrive in the rest of a pause
	pauseRandomSeq = 3                       // of the random source, which leaves the other faults of a seed as they are
)

// pauseKey is a VM and an upstream that asked it for a pause.
type pauseKey struct{ vm, upstream int }

// pauseWindow is the time of a pause in which a VM may send hardly anything.
type pauseWindow struct {
	asked    time.Time
	until    time.Time
	arrivals int
}

// addPauses adds upstreams that turn requests away and ask for a pause.
func (p *planner) addPauses(end time.Duration) {
	random := rand.New(rand.NewPCG(p.cfg.Seed, pauseRandomSeq))
	for from := settleTime; from < end; from += cycleLength {
		if random.IntN(pauseOdds) > 0 {
			continue
		}
		n := random.IntN(len(p.cfg.Upstreams) - moveServices)
		length := minPause + time.Duration(random.Int64N(int64(maxFaultTime)))
		p.add(plannedFault{
			offset: from + time.Duration(random.Int64N(int64(min(cycleLength, end-from)))), duration: maxFaultTime + length, name: "upstream pause",
			begin: []Effect{PauseUpstream{n, length}}, end: []Effect{PauseUpstream{Upstream: n}},
		})
	}
}

// judgePause checks that a VM sends hardly anything to an upstream in the pause that
// this one has asked it for.
func (s *State) judgePause(r *Run) {
	if r.Sender < 0 {
		return
	}
	key := pauseKey{r.Sender, r.Upstream}
	windows := s.pauses[key]
	for i := range windows {
		w := &windows[i]
		if s.now.Sub(w.asked) <= pauseUnderWay || !s.now.Before(w.until) ||
			!s.disturbances.stable(component{componentVM, r.Sender}, w.asked, s.now, true) ||
			!s.disturbances.stable(component{componentUpstream, r.Upstream}, w.asked, s.now, true) {
			continue
		}
		if w.arrivals++; w.arrivals == maxPauseExtra+1 {
			s.addFinding("BUDGET", "upstream %d asked vm %d for a pause of %v and got %d requests in it",
				r.Upstream, r.Sender, w.until.Sub(w.asked), w.arrivals)
		}
	}
	if r.Pause > 0 {
		s.report.Judged["PAUSE"]++
		if s.pauses == nil {
			s.pauses = make(map[pauseKey][]pauseWindow)
		}
		s.pauses[key] = append(windows, pauseWindow{asked: s.now, until: s.now.Add(r.Pause)})
	}
}
