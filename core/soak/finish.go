package soak

import (
	"time"
)

// What the documented guarantees tolerate. More late cases than the first two
// constants state are a finding; of run ends and answers, only if they also exceed
// one in lateOneIn of the checked cases.
const (
	maxLate           = 3    // runs that started or ended too long after their caller had disconnected
	maxTimeouts       = 7    // requests answered after the timeout of their route
	lateOneIn         = 4    // one checked case in this many may be late
	minServedFraction = 0.95 // fraction served after the recovery; the service level target for days with faults
)

// JudgeEnd makes the checks that need the whole run.
func (s *State) JudgeEnd() {
	if s.lateArrivals > maxLate {
		s.addFinding("GONE", "%d requests reached an upstream after their caller had left", s.lateArrivals)
	}
	if n := s.report.Judged["GONE"]; s.lateRunEnds > maxLate && lateOneIn*s.lateRunEnds > n {
		s.addFinding("GONE", "%d of %d runs went on after their caller had left", s.lateRunEnds, n)
	}
	if n := s.report.Judged["TIMEOUT"]; s.lateAnswers > maxTimeouts && lateOneIn*s.lateAnswers > n {
		s.addFinding("CONFIG", "%d of %d requests beyond their timeout had no answer in time", s.lateAnswers, n)
	}
	s.judgeRetryBudget()
	s.judgeLimit()
	if s.report.Stalls > 0 && s.now.Sub(s.lastStall) < recoverWithin+finalReadTime {
		// After the last stall, the time allowed for the recovery had not passed.
		s.note("the recovery is not judged: the soak did not run %v before its end", s.now.Sub(s.lastStall))
		return
	}
	s.judgeRecovery()
	newest := s.newestAcked(s.now.Add(-ApplyWithin))
	if s.lastReadChange < newest || s.now.Sub(s.lastReadAt) > finalReadTime {
		s.addFinding("LOST", "the newest acknowledged change is %d, the last one read is %d, %v ago",
			newest, s.lastReadChange, s.now.Sub(s.lastReadAt))
	}
}

// judgeRetryBudget compares the retries and hedges of each service with its budget
// in every window.
func (s *State) judgeRetryBudget() {
	for service, extra := range s.extraAttempts {
		var sent []time.Time
		for _, req := range s.requests {
			if s.mayRunOn(req, service) {
				sent = append(sent, req.At)
			}
		}
		within := func(times []time.Time, from time.Time) int {
			n := 0
			for _, at := range times {
				if !at.Before(from) && at.Before(from.Add(s.cfg.RetryBudgetWindow)) {
					n++
				}
			}
			return n
		}
		for _, from := range extra {
			requests := max(within(sent, from), within(sent, from.Add(-s.cfg.RetryBudgetWindow)), within(sent, from.Add(-s.cfg.RetryBudgetWindow/2)))
			if n, bound := within(extra, from), s.cfg.RetryBudgetRatio*float64(requests)+float64(s.cfg.RetryBudgetExtra); float64(n) > bound {
				s.addFinding("BUDGET", "service %s got %d further attempts in %v, more than %.1f", service, n, s.cfg.RetryBudgetWindow, bound)
				break
			}
		}
	}
}

// judgeRecovery compares the fraction of requests served after the recovery with
// the target.
func (s *State) judgeRecovery() {
	from := s.cfg.StartedAt.Add(settleTime + s.cfg.FaultPeriod + recoverWithin)
	sent, served := 0, 0
	for _, req := range s.requests {
		timedOut := !req.leftAt.IsZero() && req.leftAt.Sub(req.At) >= req.Wait
		if req.At.Before(from) || !req.answered && !timedOut || req.Class == Added || req.Team == LimitedTeam ||
			!s.disturbances.stable(component{componentVM, req.VM}, req.At, req.At.Add(req.Wait), true) {
			continue
		}
		sent++
		if req.status >= 200 && req.status < 300 {
			served++
		}
	}
	s.report.Judged["RECOVER"] = sent
	if sent == 0 && s.report.Stalls > 0 {
		return // the stalls left no request to check
	}
	if sent == 0 {
		s.addFinding("RECOVER", "nothing was sent and answered %v after the last fault", recoverWithin)
		return
	}
	s.report.Recovered = float64(served) / float64(sent)
	if s.report.Recovered < minServedFraction {
		s.addFinding("RECOVER", "%d of %d requests are served %v after the last fault", served, sent, recoverWithin)
	}
}
