package crash

import (
	"slices"
	"time"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Periods and limits of the guard.
const (
	strikeLifetime    = 10 * time.Second // how long a strike or a suspicion counts
	quarantineLength  = 60 * time.Second
	quarantineStrikes = 2                      // crashed upstreams that start a quarantine
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
	unconfirmed     map[model.UpstreamID][]model.Fingerprint // fingerprints with an unconfirmed strike, by upstream
	unblocked       []model.Fingerprint                      // result of Sweep, reused to save allocations
}

// suspect is the state of a fingerprint with an attempt that ended in a reset.
type suspect struct {
	lastSeen         time.Time // last reset, or last strike shared by others
	strikes          []strike
	quarantinedUntil time.Time // zero when there was no quarantine
}

// strike is an attempt that was the only one of its request, or one of its
// canaries, and ended in a reset.
type strike struct {
	upstream  model.UpstreamID
	at        time.Time
	confirmed bool // a probe found the upstream down afterwards
}

// Verdict returns how a request may run.
func (g *Guard) Verdict(at time.Time, fp model.Fingerprint) Verdict {
	if s, ok := g.suspects[fp]; ok {
		if at.Before(s.quarantinedUntil) {
			return Quarantined
		}
		if s.active(at) {
			return OneAtATime
		}
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
	return len(s.strikes) >= quarantineStrikes
}

// Unconfirmed returns the upstreams of a fingerprint's unconfirmed strikes.
func (g *Guard) Unconfirmed(at time.Time, fp model.Fingerprint) []model.UpstreamID {
	s, ok := g.suspects[fp]
	if !ok {
		return nil
	}
	s.expire(at)
	var ids []model.UpstreamID
	for _, st := range s.strikes {
		if !st.confirmed {
			ids = append(ids, st.upstream)
		}
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
	if s, ok := g.suspects[fp]; ok {
		if at.Before(s.quarantinedUntil) {
			return
		}
		delete(g.suspects, fp)
	}
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

// RecordReset records an attempt that ended in a connection reset. alone says
// that no attempts of its request other than canaries were in flight. It returns whether
// there is a new strike, for which the upstream has to be probed.
func (g *Guard) RecordReset(at time.Time, fp model.Fingerprint, upstream model.UpstreamID, alone bool) bool {
	s := g.renewSuspect(at, fp)
	if s == nil || !alone {
		return false
	}
	s.expire(at)
	if slices.ContainsFunc(s.strikes, func(st strike) bool { return st.upstream == upstream }) {
		return false
	}
	s.strikes = append(s.strikes, strike{upstream: upstream, at: at})
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
		for i := range s.strikes {
			if s.strikes[i].upstream == upstream && !s.strikes[i].confirmed {
				s.strikes[i].confirmed = true
				s.updateQuarantine(at)
				reports = append(reports, s.crashReport(at, fp))
			}
		}
	}
	return reports
}

// RecordCrashReport records strikes that another traffic state or VM has
// shared.
func (g *Guard) RecordCrashReport(at time.Time, report event.CrashReport) {
	s := g.renewSuspect(at, report.Fingerprint)
	if s == nil {
		return
	}
	for _, id := range report.Upstreams {
		i := slices.IndexFunc(s.strikes, func(st strike) bool { return st.upstream == id })
		if i < 0 {
			s.strikes = append(s.strikes, strike{upstream: id, at: at, confirmed: true})
			continue
		}
		s.strikes[i].confirmed = true
	}
	s.updateQuarantine(at)
	if until := at.Add(min(report.Quarantine, quarantineLength)); report.Quarantine > 0 && until.After(s.quarantinedUntil) {
		s.quarantinedUntil = until
	}
}

// Expire removes expired strikes and suspects. It returns the fingerprints for
// which MustWait has become false; the slice is valid until the next call.
func (g *Guard) Expire(at time.Time) []model.Fingerprint {
	g.unblocked = g.unblocked[:0]
	for fp, s := range g.suspects {
		blocked := len(s.strikes) >= quarantineStrikes
		s.expire(at)
		if !at.Before(s.quarantinedUntil) && !s.active(at) {
			delete(g.suspects, fp)
		}
		if blocked && len(s.strikes) < quarantineStrikes {
			g.unblocked = append(g.unblocked, fp)
		}
	}
	for upstream, fingerprints := range g.unconfirmed {
		kept := slices.DeleteFunc(fingerprints, func(fp model.Fingerprint) bool {
			s, ok := g.suspects[fp]
			return !ok || !slices.ContainsFunc(s.strikes, func(st strike) bool { return st.upstream == upstream && !st.confirmed })
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

// active reports whether the suspicion still counts, apart from a quarantine.
func (s *suspect) active(at time.Time) bool {
	return at.Sub(s.lastSeen) < strikeLifetime
}

// expire removes strikes that are too old or were not confirmed in time.
func (s *suspect) expire(at time.Time) {
	s.strikes = slices.DeleteFunc(s.strikes, func(st strike) bool {
		age := at.Sub(st.at)
		return age >= strikeLifetime || !st.confirmed && age >= confirmTimeout
	})
}

// updateQuarantine starts a quarantine if there are enough confirmed strikes.
func (s *suspect) updateQuarantine(at time.Time) {
	confirmed := 0
	for _, st := range s.strikes {
		if st.confirmed {
			confirmed++
		}
	}
	if confirmed >= quarantineStrikes && !at.Before(s.quarantinedUntil) {
		s.quarantinedUntil = at.Add(quarantineLength)
	}
}

// crashReport returns the confirmed strikes and the remaining quarantine, to be
// shared.
func (s *suspect) crashReport(at time.Time, fp model.Fingerprint) event.CrashReport {
	report := event.CrashReport{Fingerprint: fp, Quarantine: max(0, s.quarantinedUntil.Sub(at))}
	if s.quarantinedUntil.IsZero() {
		report.Quarantine = 0
	}
	for _, st := range s.strikes {
		if st.confirmed {
			report.Upstreams = append(report.Upstreams, st.upstream)
		}
	}
	return report
}
