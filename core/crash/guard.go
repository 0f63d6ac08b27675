package crash

import (
	"slices"
	"time"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Periods and limits of the guard.
const (
	suspicionLifetime = 10 * time.Second       // how long a reset without a confirmed crash counts
	quarantineStrikes = 2                      // crashes that start a quarantine
	confirmTimeout    = 300 * time.Millisecond // an unconfirmed strike expires this long after the reset
	generationLength  = 10 * time.Minute       // see Guard
	maxGenerationSize = 1 << 16                // fingerprints per generation, about 1 MB
	maxSuspects       = 1 << 12
)

// Verdict is how a request may run.
type Verdict uint8

// Verdicts.
const (
	Unrestricted Verdict = iota // on all shards at once
	CanaryFirst                 // on a single shard first
	OneAtATime                  // one attempt at a time until one is answered
	Quarantined                 // not at all
)

// Guard tracks the fingerprints of the requests of one traffic state. The
// zero value is ready for use.
//
// Answered fingerprints are kept in two generations. When the current one is
// full or generationLength old, it replaces the previous one, which bounds the
// memory.
type Guard struct {
	answered        map[model.Fingerprint]struct{} // in the current generation
	answeredBefore  map[model.Fingerprint]struct{} // in the previous generation
	generationStart time.Time                      // of the current generation
	exclusive       map[model.Fingerprint]int      // attempts in flight that have exclusive use
	suspects        map[model.Fingerprint]*suspect
	history         History                                  // of confirmed strikes
	unconfirmed     map[model.UpstreamID][]model.Fingerprint // fingerprints with an unconfirmed strike, by upstream
	unblocked       []model.Fingerprint                      // result of Sweep, reused to save allocations
}

// suspect is the state of a fingerprint with an attempt that ended in a reset.
type suspect struct {
	lastSeen    time.Time // last reset
	unconfirmed []strike
}

// strike is an attempt that was the only one of its request, or one of its
// canaries, and ended in a reset. A probe that finds the upstream down afterwards
// confirms it.
type strike struct {
	crash model.Crash
	at    time.Time
}

// Verdict returns how a request may run.
func (g *Guard) Verdict(at time.Time, fp model.Fingerprint) Verdict {
	switch s, suspected := g.suspects[fp]; {
	case g.history.QuarantineLeft(at, fp) > 0:
		return Quarantined
	case g.history.Count(fp) > 0 || suspected && s.active(at):
		return OneAtATime
	case suspected:
		delete(g.suspects, fp)
	}
	if _, ok := g.answered[fp]; ok {
		return Unrestricted
	}
	if _, ok := g.answeredBefore[fp]; ok {
		return Unrestricted
	}
	return CanaryFirst
}

// MustWait reports whether the strikes of a fingerprint, confirmed or not,
// suffice for a quarantine. Another attempt then has to wait until they are
// confirmed or expire, since it could crash a further upstream.
func (g *Guard) MustWait(at time.Time, fp model.Fingerprint) bool {
	s, ok := g.suspects[fp]
	if !ok {
		return false
	}
	s.expire(at)
	return g.blocked(fp, s)
}

// blocked reports whether the unconfirmed strikes of a fingerprint would start a
// quarantine.
func (g *Guard) blocked(fp model.Fingerprint, s *suspect) bool {
	return len(s.unconfirmed) > 0 && len(s.unconfirmed)+g.history.Count(fp) >= quarantineStrikes
}

// Unconfirmed returns the upstreams of a fingerprint's unconfirmed strikes.
func (g *Guard) Unconfirmed(at time.Time, fp model.Fingerprint) []model.UpstreamID {
	s, ok := g.suspects[fp]
	if !ok {
		return nil
	}
	s.expire(at)
	var ids []model.UpstreamID
	for _, st := range s.unconfirmed {
		ids = append(ids, st.crash.Upstream)
	}
	return ids
}

// Acquire acquires exclusive use of a fingerprint for one attempt. It returns
// false while another attempt has it.
func (g *Guard) Acquire(fp model.Fingerprint) bool {
	if g.exclusive[fp] > 0 {
		return false
	}
	g.Join(fp)
	return true
}

// Join lets a further attempt share the exclusive use of a fingerprint.
func (g *Guard) Join(fp model.Fingerprint) {
	if g.exclusive == nil {
		g.exclusive = make(map[model.Fingerprint]int)
	}
	g.exclusive[fp]++
}

// Release ends the exclusive use of a fingerprint by one attempt.
func (g *Guard) Release(fp model.Fingerprint) {
	if g.exclusive[fp]--; g.exclusive[fp] <= 0 {
		delete(g.exclusive, fp)
	}
}

// RecordAnswer records that an upstream ran the request and answered. That
// clears the strikes, but does not end a quarantine.
func (g *Guard) RecordAnswer(at time.Time, fp model.Fingerprint) {
	if g.history.QuarantineLeft(at, fp) > 0 {
		return
	}
	delete(g.suspects, fp)
	g.history.Clear(fp)
	if _, ok := g.answered[fp]; ok {
		return
	}
	if g.answered == nil || len(g.answered) >= maxGenerationSize || at.Sub(g.generationStart) > generationLength {
		g.answeredBefore = g.answered
		g.answered = make(map[model.Fingerprint]struct{})
		g.generationStart = at
	}
	g.answered[fp] = struct{}{}
}

// NextCrash returns the crash that an attempt sent now would be seen as, for RecordReset.
func (g *Guard) NextCrash(fp model.Fingerprint, upstream model.UpstreamID) model.Crash {
	return g.history.Next(fp, upstream)
}

// RecordReset records an attempt that ended in a connection reset, with what NextCrash
// returned when it was sent. alone says that no attempts of its request other than canaries
// were in flight. It returns whether there is a new strike, for which the upstream has to
// be probed.
func (g *Guard) RecordReset(at time.Time, fp model.Fingerprint, crash model.Crash, alone bool) bool {
	s := g.renewSuspect(at, fp)
	if s == nil || !alone {
		return false
	}
	s.expire(at)
	upstream := crash.Upstream
	if g.history.Contains(fp, crash) || slices.ContainsFunc(s.unconfirmed, func(st strike) bool { return st.crash.Upstream == upstream }) {
		return false
	}
	s.unconfirmed = append(s.unconfirmed, strike{crash: crash, at: at})
	if g.unconfirmed == nil {
		g.unconfirmed = make(map[model.UpstreamID][]model.Fingerprint)
	}
	g.unconfirmed[upstream] = append(g.unconfirmed[upstream], fp)
	return true
}

// RecordProbe records the result of a probe. It returns the strikes of each
// fingerprint with a newly confirmed one, to be shared with the other traffic
// states and VMs.
func (g *Guard) RecordProbe(at time.Time, upstream model.UpstreamID, down bool) []event.CrashReport {
	fingerprints, ok := g.unconfirmed[upstream]
	if !ok || !down {
		// A healthy report may have been sent before the crash, so it does not
		// clear the strike, which expires unless a later probe confirms it.
		return nil
	}
	delete(g.unconfirmed, upstream)
	var reports []event.CrashReport
	for _, fp := range fingerprints {
		s, ok := g.suspects[fp]
		if !ok {
			continue
		}
		s.expire(at)
		if crash, ok := s.confirm(upstream); ok && g.confirmed().Add(at, fp, crash) {
			reports = append(reports, g.history.Report(at, fp))
		}
	}
	return reports
}

// confirmed returns the history of confirmed strikes.
func (g *Guard) confirmed() *History {
	g.history.Threshold = quarantineStrikes
	return &g.history
}

// TakeAnswered returns the confirmed strikes that were cleared since the last call, to be
// shared.
func (g *Guard) TakeAnswered() []model.AnsweredCrashes { return g.history.TakeAnswered() }

// RecordCrashReport records strikes that another traffic state or VM has
// shared.
func (g *Guard) RecordCrashReport(at time.Time, report event.CrashReport) {
	if s, ok := g.suspects[report.Fingerprint]; ok {
		s.unconfirmed = slices.DeleteFunc(s.unconfirmed, func(st strike) bool {
			isSame := func(c model.Crash) bool { return c.Upstream == st.crash.Upstream && c.Number >= st.crash.Number }
			return slices.ContainsFunc(report.Crashes, isSame)
		})
	}
	g.confirmed().Merge(at, report)
}

// Expire removes expired strikes and suspects. It returns the fingerprints for
// which MustWait has become false; the slice is valid until the next call.
func (g *Guard) Expire(at time.Time) []model.Fingerprint {
	g.unblocked = g.unblocked[:0]
	g.history.Expire(at)
	for fp, s := range g.suspects {
		blocked := g.blocked(fp, s)
		s.expire(at)
		if !s.active(at) {
			delete(g.suspects, fp)
		}
		if blocked && !g.blocked(fp, s) {
			g.unblocked = append(g.unblocked, fp)
		}
	}
	for upstream, fingerprints := range g.unconfirmed {
		kept := slices.DeleteFunc(fingerprints, func(fp model.Fingerprint) bool {
			s, ok := g.suspects[fp]
			return !ok || !slices.ContainsFunc(s.unconfirmed, func(st strike) bool { return st.crash.Upstream == upstream })
		})
		if len(kept) == 0 {
			delete(g.unconfirmed, upstream)
			continue
		}
		g.unconfirmed[upstream] = kept
	}
	return g.unblocked
}

// renewSuspect returns the entry of a fingerprint and renews its suspicion. It
// returns nil when maxSuspects others are under suspicion.
func (g *Guard) renewSuspect(at time.Time, fp model.Fingerprint) *suspect {
	if s, ok := g.suspects[fp]; ok {
		s.lastSeen = at
		return s
	}
	if g.suspects == nil {
		g.suspects = make(map[model.Fingerprint]*suspect)
	}
	if len(g.suspects) >= maxSuspects {
		g.Expire(at)
		if len(g.suspects) >= maxSuspects {
			return nil
		}
	}
	s := &suspect{lastSeen: at}
	g.suspects[fp] = s
	return s
}

// active reports whether the suspicion still counts.
func (s *suspect) active(at time.Time) bool {
	return at.Sub(s.lastSeen) < suspicionLifetime
}

// expire removes strikes that were not confirmed in time.
func (s *suspect) expire(at time.Time) {
	s.unconfirmed = slices.DeleteFunc(s.unconfirmed, func(st strike) bool { return at.Sub(st.at) >= confirmTimeout })
}

// confirm removes and returns the unconfirmed strike of an upstream, and reports whether
// there was one.
func (s *suspect) confirm(upstream model.UpstreamID) (crash model.Crash, ok bool) {
	i := slices.IndexFunc(s.unconfirmed, func(st strike) bool { return st.crash.Upstream == upstream })
	if i < 0 {
		return model.Crash{}, false
	}
	crash = s.unconfirmed[i].crash
	s.unconfirmed = slices.Delete(s.unconfirmed, i, i+1)
	return crash, true
}
