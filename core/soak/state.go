package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// State is a soak. Make it with New.
type State struct {
	cfg    Config
	now    time.Time
	random *rand.Rand
	out    []Effect

	plan     []step // ascending by at
	undo     []step // what ends faults that are in force
	vms      []vm
	drains   []int     // upstreams that leave
	muted    int       // faults that silence the list
	stall    time.Time // end of the last stall of the soak
	troubles troubles

	version    uint64
	changes    int
	orders     []order
	nextOrders []int       // order of each change
	sentAt     []time.Time // of each change
	ackedAt    []time.Time // of each change, zero before
	nextChange time.Time
	lastRead   int
	lastReadAt time.Time

	requests     map[string]*request
	runs         map[string]*run
	extra        map[string][]time.Time // further attempts by service
	listed       map[int]time.Time      // when the list first showed an upstream as leaving
	lateArrivals int
	lateWork     int
	lateAnswers  int

	report Report
	counts map[string]int // findings by rule
}

// New returns a soak that is about to start its processes.
func New(cfg Config) *State {
	s := &State{
		cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 1)), vms: make([]vm, cfg.Controls+cfg.Entries),
		troubles: make(troubles), requests: make(map[string]*request), runs: make(map[string]*run),
		extra: make(map[string][]time.Time), listed: make(map[int]time.Time), counts: make(map[string]int), lastRead: -1,
		report: Report{Seed: cfg.Seed, Faults: make(map[string]int), Judged: make(map[string]int)},
	}
	s.drawPlan()
	return s
}

// Start returns the effects that begin the soak.
func (s *State) Start(at time.Time) []Effect {
	s.now = at
	for n := range s.vms {
		s.spawn(n, Spawn{VM: n, First: true})
	}
	s.nextChange = at.Add(firstChange)
	return s.take()
}

// Step applies an event and returns what is to be done.
func (s *State) Step(at time.Time, body Body) []Effect {
	s.now = at
	switch e := body.(type) {
	case Tick:
		s.tick()
	case Stalled:
		s.stalled(e)
	case Exited:
		s.exited(e)
	case Sent:
		s.requests[e.Tag] = &request{Request: e.Request, unheard: !s.vms[e.Entry].up}
		s.report.Requests++
	case Left:
		if q := s.requests[e.Tag]; q != nil {
			q.left = at
			s.judgeTimeout(q)
		}
	case Answered:
		s.answered(e)
	case Arrived:
		s.arrived(e.Run)
	case Ended:
		s.ended(e)
	case Ordered:
		s.ordered(e)
	case Read:
		s.read(e)
	case Listed:
		for _, host := range e.Drained {
			if _, ok := s.listed[host]; !ok {
				s.listed[host] = at
			}
		}
	case Failed:
		s.find("SOAK", "%s", e.Cause)
	}
	return s.take()
}

// Over reports whether the soak has come to its end.
func (s *State) Over() bool { return s.now.Sub(s.cfg.Began) >= s.End() }

// End returns the length of the whole soak.
func (s *State) End() time.Duration {
	return settling + s.cfg.Period + recoverWithin + lastReads
}

func (s *State) take() []Effect {
	out := s.out
	s.out = nil
	return out
}

func (s *State) emit(e Effect) { s.out = append(s.out, e) }

func (s *State) note(format string, args ...any) { s.emit(Note{Text: fmt.Sprintf(format, args...)}) }

// tick begins and ends faults, starts processes again and sends changes.
func (s *State) tick() {
	elapsed := s.now.Sub(s.cfg.Began)
	for len(s.plan) > 0 && s.plan[0].at <= elapsed {
		next := s.plan[0]
		s.plan = s.plan[1:]
		s.begin(next)
	}
	s.undo = slices.DeleteFunc(s.undo, func(u step) bool {
		if u.at+u.length > elapsed {
			return false
		}
		s.finish(u)
		return true
	})
	for n := range s.vms {
		s.tend(n)
	}
	if !s.now.Before(s.nextChange) && elapsed < s.End()-lastReads {
		s.change()
		if s.random.IntN(raceOdds) == 0 {
			s.change() // a second operator at the same time
		}
		s.nextChange = s.now.Add(changeEvery + time.Duration(s.random.Int64N(int64(changeEvery))))
	}
}

// stalled troubles everything for a time in which the soak did not run.
func (s *State) stalled(e Stalled) {
	s.report.Stalls++
	s.stall = s.now
	s.note("the soak did not run for %v", s.now.Sub(e.From))
	for n := range s.vms {
		s.troubles.begin(subject{partVM, n}, e.From, false).to = s.now
		s.vms[n].hasPause = true
	}
	for n := range s.cfg.Hosts {
		s.troubles.begin(subject{partHost, n}, e.From, false).to = s.now
	}
	s.troubles.begin(subject{part: partCore}, e.From, false).to = s.now
}

// Report returns the outcome so far.
func (s *State) Report() Report { return s.report }
