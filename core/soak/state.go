package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// State is the state of a soak test. Create it with New.
type State struct {
	cfg    Config
	now    time.Time
	random *rand.Rand
	out    []Effect

	plan             []plannedFault // faults still to begin, ascending by offset
	activeFaults     []plannedFault // to be ended when their duration has passed
	vms              []vm
	drainedUpstreams []int     // listed as draining
	silences         int       // active faults that make the list of upstreams refuse calls
	lastStall        time.Time // end of the last stall of the soak test
	disturbances     disturbances

	lastVersion        uint64 // of the newest new configuration
	changeCount        int    // number of new configurations submitted
	submissions        []submission
	submissionOfChange []int       // index into submissions, by change
	changeSentAt       []time.Time // by change
	changeAckedAt      []time.Time // by change; zero before the acknowledgement
	nextChangeAt       time.Time
	lastReadChange     int // change of the last document returned to an operator; -1 before
	lastReadAt         time.Time

	requests      map[string]*request    // by request id
	runs          map[string]*run        // by receipt
	extraAttempts map[string][]time.Time // times of retries and hedges, by service
	pauses        map[pauseKey][]pauseWindow
	zoneOrders    map[int]*zoneOrder // by zone
	drainListedAt map[int]time.Time  // when the list first showed an upstream as draining
	lateArrivals  int                // runs that started too long after their caller had disconnected
	lateRunEnds   int                // runs that ended too long after their caller had disconnected
	lateAnswers   int                // requests answered too long after the timeout of their route

	report        Report
	findingCounts map[string]int // number of findings by rule
}

// New returns a soak test that has not started the processes yet.
func New(cfg Config) *State {
	s := &State{
		cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 1)), vms: make([]vm, cfg.LogVMs+cfg.EntryVMs),
		disturbances: make(disturbances), requests: make(map[string]*request), runs: make(map[string]*run),
		extraAttempts: make(map[string][]time.Time), drainListedAt: make(map[int]time.Time), findingCounts: make(map[string]int),
		lastReadChange: -1, report: Report{Seed: cfg.Seed, Faults: make(map[string]int), Judged: make(map[string]int)},
	}
	s.drawPlan()
	return s
}

// Start returns the effects that start the fleet.
func (s *State) Start(at time.Time) []Effect {
	s.now = at
	for n := range s.vms {
		s.startVM(n, StartVM{VM: n, FirstStart: true})
	}
	s.nextChangeAt = at.Add(firstChangeAfter)
	return s.takeEffects()
}

// Step applies an event and returns the resulting effects.
func (s *State) Step(at time.Time, body Body) []Effect {
	s.now = at
	switch e := body.(type) {
	case Tick:
		s.handleTick()
	case HarnessStalled:
		s.handleStall(e)
	case ProcessExited:
		s.judgeExit(e)
	case RequestSent:
		s.requests[e.ID] = &request{Request: e.Request, vmDown: !s.vms[e.VM].running}
		s.report.Requests++
	case CallerDisconnected:
		if req := s.requests[e.RequestID]; req != nil {
			req.leftAt = at
			s.judgeTimeout(req)
		}
	case AnswerReceived:
		s.judgeAnswer(e)
	case RequestArrived:
		s.judgeArrival(e.Run)
	case RunEnded:
		s.judgeRunEnd(e)
	case SubmissionResult:
		s.judgeSubmission(e)
	case ZoneResult:
		s.handleZoneResult(e)
	case DocumentRead:
		s.judgeRead(e)
	case DrainListed:
		for _, upstream := range e.Drained {
			if _, ok := s.drainListedAt[upstream]; !ok {
				s.drainListedAt[upstream] = at
			}
		}
	case HarnessFailed:
		s.addFinding("SOAK", "%s", e.Cause)
	}
	return s.takeEffects()
}

// Over reports whether the run has reached its end.
func (s *State) Over() bool { return s.now.Sub(s.cfg.StartedAt) >= s.Length() }

// Length returns the length of the whole run.
func (s *State) Length() time.Duration {
	return settleTime + s.cfg.FaultPeriod + recoverWithin + finalReadTime
}

func (s *State) takeEffects() []Effect {
	out := s.out
	s.out = nil
	return out
}

func (s *State) emit(e Effect) { s.out = append(s.out, e) }

func (s *State) note(format string, args ...any) { s.emit(Note{Text: fmt.Sprintf(format, args...)}) }

// handleTick begins and ends faults, restarts processes and submits documents.
func (s *State) handleTick() {
	elapsed := s.now.Sub(s.cfg.StartedAt)
	for len(s.plan) > 0 && s.plan[0].offset <= elapsed {
		next := s.plan[0]
		s.plan = s.plan[1:]
		s.beginFault(next)
	}
	s.activeFaults = slices.DeleteFunc(s.activeFaults, func(f plannedFault) bool {
		if f.offset+f.duration > elapsed {
			return false
		}
		s.endFault(f)
		return true
	})
	for n := range s.vms {
		s.supervise(n)
	}
	if !s.now.Before(s.nextChangeAt) && elapsed < s.Length()-finalReadTime {
		s.submitDocument()
		if s.random.IntN(concurrentOdds) == 0 {
			s.submitDocument() // a second operator at the same time
		}
		s.nextChangeAt = s.now.Add(minChangeInterval + time.Duration(s.random.Int64N(int64(minChangeInterval))))
	}
}

// handleStall marks everything as disturbed while the soak test did not run.
func (s *State) handleStall(e HarnessStalled) {
	s.report.Stalls++
	s.lastStall = s.now
	s.note("the soak did not run for %v", s.now.Sub(e.From))
	for n := range s.vms {
		s.disturbances.add(component{componentVM, n}, e.From, false).end = s.now
		s.vms[n].wasPaused = true
	}
	for n := range s.cfg.Upstreams {
		s.disturbances.add(component{componentUpstream, n}, e.From, false).end = s.now
	}
	s.disturbances.add(component{kind: componentLog}, e.From, false).end = s.now
}

// Report returns the result so far.
func (s *State) Report() Report { return s.report }
