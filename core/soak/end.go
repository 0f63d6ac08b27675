package soak

import (
	"time"
)

// What the users' rules let pass. Above these numbers, a part of the cases
// breaks a promise.
const (
	fewLate     = 3    // requests or runs that come late after their caller has left
	fewOverdue  = 7    // answers beyond the timeout of their route
	latePart    = 4    // one in so many cases may be late
	leastServed = 0.95 // share after the recovery; the project's target for days with trouble
)

// Done judges what can be judged only at the end.
func (s *State) Done() {
	if s.lateArrivals > fewLate {
		s.find("GONE", "%d requests reached an upstream after their caller had left", s.lateArrivals)
	}
	if n := s.report.Judged["GONE"]; s.lateWork > fewLate && latePart*s.lateWork > n {
		s.find("GONE", "%d of %d runs went on after their caller had left", s.lateWork, n)
	}
	if n := s.report.Judged["TIMEOUT"]; s.lateAnswers > fewOverdue && latePart*s.lateAnswers > n {
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
				if !at.Before(from) && at.Before(from.Add(s.cfg.Window)) {
					n++
				}
			}
			return n
		}
		for _, from := range extra {
			requests := max(within(sent, from), within(sent, from.Add(-s.cfg.Window)), within(sent, from.Add(-s.cfg.Window/2)))
			if n, bound := within(extra, from), s.cfg.Ratio*float64(requests)+float64(s.cfg.Extra); float64(n) > bound {
				s.find("BUDGET", "service %s got %d further attempts in %v, more than %.1f", service, n, s.cfg.Window, bound)
				break
			}
		}
	}
}

// judgeRecovery compares what is served after the recovery with the target.
func (s *State) judgeRecovery() {
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
	if s.report.Recovered < leastServed {
		s.find("RECOVER", "%d of %d requests are served %v after the last fault", served, sent, recoverWithin)
	}
}
