package crash

import (
	"slices"
	"time"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Periods and limits of the guard.
const (
	strikeFor     = 10 * time.Second       // how long a strike or a suspicion counts
	quarantineFor = 60 * time.Second       // length of a quarantine
	quarantineAt  = 2                      // crashed upstreams that start a quarantine
	confirmWithin = 300 * time.Millisecond // an unconfirmed strike expires this long after the reset
	knownFor      = 10 * time.Minute       // length of a generation of answered fingerprints
	maxKnown      = 1 << 16                // fingerprints per generation, about 1 MB
	maxSuspects   = 1 << 12
)

// Verdict is how a request may run.
type Verdict uint8

// Verdicts.
const (
	Free        Verdict = iota // on all shards at once
	Canary                     // on a single shard first
	Alone                      // one attempt at a time until one is answered
	Quarantined                // not at all
)

// Guard tracks the fingerprints of the requests of one traffic goroutine. The
// zero value is ready for use.
//
// Answered fingerprints are kept in two generations. When the current one is
// full or knownFor old, it replaces the previous one, which bounds the memory.
type Guard struct {
	known     map[model.Fingerprint]struct{} // answered in the current generation
	before    map[model.Fingerprint]struct{} // answered in the previous generation
	turned    time.Time                      // start of the current generation
	turns     map[model.Fingerprint]struct{} // with an exclusive attempt in flight
	suspects  map[model.Fingerprint]*suspect
	unproven  map[model.UpstreamID][]model.Fingerprint // fingerprints with an unconfirmed strike, by upstream
	forgotten []model.Fingerprint                      // result of Sweep, reused to save allocations
}

// suspect is the state of a fingerprint with an attempt that ended in a reset.
type suspect struct {
	since   time.Time // last reset, or last strike shared by others
	strikes []strike
	until   time.Time // end of the quarantine; zero when there was none
}

// strike is an attempt that was the only one of its request and ended in a
// reset.
type strike struct {
	upstream  model.UpstreamID
	at        time.Time
	confirmed bool // a probe found the upstream down afterwards
}

// Judge returns how a request may run.
func (g *Guard) Judge(at time.Time, fp model.Fingerprint) Verdict {
	if s, ok := g.suspects[fp]; ok {
		if at.Before(s.until) {
			return Quarantined
		}
		if s.live(at) {
			return Alone
		}
		delete(g.suspects, fp)
	}
	if _, ok := g.known[fp]; ok {
		return Free
	}
	if _, ok := g.before[fp]; ok {
		return Free
	}
	return Canary
}

// Hold reports whether the strikes of a fingerprint, confirmed or not, suffice
// for a quarantine. Another attempt then has to wait until they are confirmed or
// expire, since it could crash a further upstream.
func (g *Guard) Hold(at time.Time, fp model.Fingerprint) bool {
	s, ok := g.suspects[fp]
	if !ok {
		return false
	}
	s.expire(at)
	return len(s.strikes) >= quarantineAt
}

// Unproven returns the upstreams of a fingerprint's unconfirmed strikes.
func (g *Guard) Unproven(at time.Time, fp model.Fingerprint) []model.UpstreamID {
	s, ok := g.suspects[fp]
	if !ok {
		return nil
	}
	s.expire(at)
	var ids []model.UpstreamID
	for _, k := range s.strikes {
		if !k.confirmed {
			ids = append(ids, k.upstream)
		}
	}
	return ids
}

// Enter acquires exclusive use of a fingerprint for one attempt. It returns
// false while another attempt has it.
func (g *Guard) Enter(fp model.Fingerprint) bool {
	if _, ok := g.turns[fp]; ok {
		return false
	}
	if g.turns == nil {
		g.turns = make(map[model.Fingerprint]struct{})
	}
	g.turns[fp] = struct{}{}
	return true
}

// Exit ends the exclusive use of a fingerprint.
func (g *Guard) Exit(fp model.Fingerprint) {
	delete(g.turns, fp)
}

// Answered records that an upstream ran the request and answered. That clears
// the strikes, but does not end a quarantine.
func (g *Guard) Answered(at time.Time, fp model.Fingerprint) {
	if s, ok := g.suspects[fp]; ok {
		if at.Before(s.until) {
			return
		}
		delete(g.suspects, fp)
	}
	if _, ok := g.known[fp]; ok {
		return
	}
	if g.known == nil || len(g.known) >= maxKnown || at.Sub(g.turned) > knownFor {
		g.before = g.known
		g.known = make(map[model.Fingerprint]struct{})
		g.turned = at
	}
	g.known[fp] = struct{}{}
}

// Reset records an attempt that ended in a connection reset. alone says that no
// other attempt of its request was in flight. Reset returns whether there is a
// new strike, for which the upstream has to be probed.
func (g *Guard) Reset(at time.Time, fp model.Fingerprint, upstream model.UpstreamID, alone bool) bool {
	s := g.suspect(at, fp)
	if s == nil || !alone {
		return false
	}
	s.expire(at)
	if slices.ContainsFunc(s.strikes, func(k strike) bool { return k.upstream == upstream }) {
		return false
	}
	s.strikes = append(s.strikes, strike{upstream: upstream, at: at})
	if g.unproven == nil {
		g.unproven = make(map[model.UpstreamID][]model.Fingerprint)
	}
	g.unproven[upstream] = append(g.unproven[upstream], fp)
	return true
}

// Reported records the result of a probe. It returns the strikes of each
// fingerprint with a newly confirmed one, to be shared with the other traffic
// states and VMs.
func (g *Guard) Reported(at time.Time, upstream model.UpstreamID, down bool) []event.CrashReport {
	prints, ok := g.unproven[upstream]
	if !ok || !down {
		// A healthy report may have been sent before the crash, so it does not
		// clear the strike, which expires unless a later probe confirms it.
		return nil
	}
	delete(g.unproven, upstream)
	var shared []event.CrashReport
	for _, fp := range prints {
		s, ok := g.suspects[fp]
		if !ok {
			continue
		}
		s.expire(at)
		for i := range s.strikes {
			if s.strikes[i].upstream == upstream && !s.strikes[i].confirmed {
				s.strikes[i].confirmed = true
				s.judge(at)
				shared = append(shared, s.struck(at, fp))
			}
		}
	}
	return shared
}

// Struck records strikes that another traffic state or VM has shared.
func (g *Guard) Struck(at time.Time, shared event.CrashReport) {
	s := g.suspect(at, shared.Fingerprint)
	if s == nil {
		return
	}
	for _, id := range shared.Upstreams {
		i := slices.IndexFunc(s.strikes, func(k strike) bool { return k.upstream == id })
		if i < 0 {
			s.strikes = append(s.strikes, strike{upstream: id, at: at, confirmed: true})
			continue
		}
		s.strikes[i].confirmed = true
	}
	s.judge(at)
	if until := at.Add(min(shared.Quarantine, quarantineFor)); shared.Quarantine > 0 && until.After(s.until) {
		s.until = until
	}
}

// Sweep removes expired strikes and suspects. It returns the fingerprints for
// which Hold no longer applies; the slice is valid until the next call.
func (g *Guard) Sweep(at time.Time) []model.Fingerprint {
	g.forgotten = g.forgotten[:0]
	for fp, s := range g.suspects {
		held := len(s.strikes) >= quarantineAt
		s.expire(at)
		if !at.Before(s.until) && !s.live(at) {
			delete(g.suspects, fp)
		}
		if held && len(s.strikes) < quarantineAt {
			g.forgotten = append(g.forgotten, fp)
		}
	}
	for upstream, prints := range g.unproven {
		kept := slices.DeleteFunc(prints, func(fp model.Fingerprint) bool {
			s, ok := g.suspects[fp]
			return !ok || !slices.ContainsFunc(s.strikes, func(k strike) bool { return k.upstream == upstream && !k.confirmed })
		})
		if len(kept) == 0 {
			delete(g.unproven, upstream)
			continue
		}
		g.unproven[upstream] = kept
	}
	return g.forgotten
}

// suspect returns the entry of a fingerprint and renews its suspicion. It returns
// nil when maxSuspects others are under suspicion.
func (g *Guard) suspect(at time.Time, fp model.Fingerprint) *suspect {
	if s, ok := g.suspects[fp]; ok {
		s.since = at
		return s
	}
	if g.suspects == nil {
		g.suspects = make(map[model.Fingerprint]*suspect)
	}
	if len(g.suspects) >= maxSuspects {
		g.Sweep(at)
		if len(g.suspects) >= maxSuspects {
			return nil
		}
	}
	s := &suspect{since: at}
	g.suspects[fp] = s
	return s
}

// live reports whether the suspicion still counts, apart from a quarantine.
func (s *suspect) live(at time.Time) bool {
	return at.Sub(s.since) < strikeFor
}

// expire removes strikes that are too old or were not confirmed in time.
func (s *suspect) expire(at time.Time) {
	s.strikes = slices.DeleteFunc(s.strikes, func(k strike) bool {
		age := at.Sub(k.at)
		return age >= strikeFor || !k.confirmed && age >= confirmWithin
	})
}

// judge starts a quarantine if there are enough confirmed strikes.
func (s *suspect) judge(at time.Time) {
	confirmed := 0
	for _, k := range s.strikes {
		if k.confirmed {
			confirmed++
		}
	}
	if confirmed >= quarantineAt && !at.Before(s.until) {
		s.until = at.Add(quarantineFor)
	}
}

// struck returns the confirmed strikes and the remaining quarantine, to be
// shared.
func (s *suspect) struck(at time.Time, fp model.Fingerprint) event.CrashReport {
	shared := event.CrashReport{Fingerprint: fp, Quarantine: max(0, s.until.Sub(at))}
	if s.until.IsZero() {
		shared.Quarantine = 0
	}
	for _, k := range s.strikes {
		if k.confirmed {
			shared.Upstreams = append(shared.Upstreams, k.upstream)
		}
	}
	return shared
}
