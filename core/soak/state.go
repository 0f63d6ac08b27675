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
	s.nextChange = at.Add(settling / 4)
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
		if s.random.IntN(5) == 0 {
			s.change() // a second operator at the same time
		}
		s.nextChange = s.now.Add(changeEvery + time.Duration(s.random.Int64N(int64(changeEvery))))
	}
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

// absent begins the trouble of a process that ends.
func (s *State) absent(n int, planned bool) {
	v := &s.vms[n]
	v.down = append(v.down, s.troubles.begin(subject{partVM, n}, s.now, planned))
	if n < s.cfg.Controls {
		v.down = append(v.down, s.troubles.begin(subject{part: partCore}, s.now, planned))
	}
}

// Done judges what can be judged only at the end.
func (s *State) Done() {
	if s.lateArrivals > 3 {
		s.find("GONE", "%d requests reached an upstream after their caller had left", s.lateArrivals)
	}
	if n := s.report.Judged["GONE"]; s.lateWork > 3 && 4*s.lateWork > n {
		s.find("GONE", "%d of %d runs went on after their caller had left", s.lateWork, n)
	}
	if n := s.report.Judged["TIMEOUT"]; s.lateAnswers >= 8 && 4*s.lateAnswers > n {
		s.find("CONFIG", "%d of %d requests beyond their timeout had no answer in time", s.lateAnswers, n)
	}
	s.judgeExtra()
	if s.report.Stalls > 0 && s.now.Sub(s.stall) < recoverWithin+lastReads {
		// The machines were not back for as long as the recovery may take.
		s.note("the recovery is not judged: the soak did not run %v before its end", s.now.Sub(s.stall))
		return
	}
	s.judgeRecovery()
	newest := s.newestAcked(s.now.Add(-applyWithin))
	if s.lastRead < newest || s.now.Sub(s.lastReadAt) > lastReads {
		s.find("LOST", "the newest acknowledged change is %d, the last one read is %d, %v ago", newest, s.lastRead, s.now.Sub(s.lastReadAt))
	}
}

// Report returns the outcome so far.
func (s *State) Report() Report { return s.report }

// judgeExtra compares the further attempts on each service with its budget in
// every window.
func (s *State) judgeExtra() {
	for service, extra := range s.extra {
		var sent []time.Time
		for _, q := range s.requests {
			if s.may(q, service) {
				sent = append(sent, q.At)
			}
		}
		within := func(times []time.Time, from time.Time) int {
			n := 0
			for _, at := range times {
				if !at.Before(from) && at.Before(from.Add(budgetWindow)) {
					n++
				}
			}
			return n
		}
		for _, from := range extra {
			requests := max(within(sent, from), within(sent, from.Add(-budgetWindow)), within(sent, from.Add(-budgetWindow/2)))
			if n, bound := within(extra, from), s.cfg.Ratio*float64(requests)+float64(s.cfg.Extra); float64(n) > bound {
				s.find("BUDGET", "service %s got %d further attempts in %v, more than %.1f", service, n, budgetWindow, bound)
				break
			}
		}
	}
}

// judgeRecovery compares what is served after the recovery with the target.
func (s *State) judgeRecovery() {
	const target = 0.95 // of days with trouble
	from := s.cfg.Began.Add(settling + s.cfg.Period + recoverWithin)
	sent, served := 0, 0
	for _, q := range s.requests {
		waited := !q.left.IsZero() && q.left.Sub(q.At) >= q.Wait
		if q.At.Before(from) || !q.answered && !waited || q.Class == Added || !s.troubles.calm(subject{partVM, q.Entry}, q.At, q.At.Add(q.Wait), true) {
			continue
		}
		sent++
		if q.status >= 200 && q.status < 300 {
			served++
		}
	}
	s.report.Judged["RECOVER"] = sent
	if sent == 0 && s.report.Stalls > 0 {
		return // they left nothing to judge
	}
	if sent == 0 {
		s.find("RECOVER", "nothing was sent and answered %v after the last fault", recoverWithin)
		return
	}
	s.report.Recovered = float64(served) / float64(sent)
	if s.report.Recovered < target {
		s.find("RECOVER", "%d of %d requests are served %v after the last fault", served, sent, recoverWithin)
	}
}
