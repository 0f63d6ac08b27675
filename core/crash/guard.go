package crash

import (
	"slices"
	"time"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Periods and bounds of the guard.
const (
	strikeFor     = 10 * time.Second
	quarantineFor = 60 * time.Second
	quarantineAt  = 2                      // crashed upstreams
	confirmWithin = 300 * time.Millisecond // from a reset to the probe that finds the upstream down
	knownFor      = 10 * time.Minute       // an answered fingerprint needs no canary
	maxKnown      = 1 << 16                // fingerprints in each of the two generations, about 1 MB
	maxSuspects   = 1 << 12
)

// Verdict says how a request may run.
type Verdict uint8

// Verdicts.
const (
	Free        Verdict = iota // on all shards at once
	Canary                     // on a single shard first
	Alone                      // one attempt at a time until one is answered
	Quarantined                // not at all
)

// Guard holds the fingerprints of one traffic state. The zero value knows none.
type Guard struct {
	known     map[model.Fingerprint]struct{} // answered in this generation
	before    map[model.Fingerprint]struct{} // answered in the one before
	turned    time.Time                      // start of this generation
	turns     map[model.Fingerprint]struct{}
	suspects  map[model.Fingerprint]*suspect
	unproven  map[model.UpstreamID][]model.Fingerprint // resets that wait for a probe
	forgotten []model.Fingerprint
}

// suspect is a fingerprint whose attempts ended by a reset.
type suspect struct {
	since   time.Time
	strikes []strike
	until   time.Time // end of the quarantine; zero when there is none
}

// strike is an attempt made alone that ended by a reset.
type strike struct {
	upstream  model.UpstreamID
	at        time.Time
	confirmed bool // the upstream was down afterwards
}

// Judge says how a request may run.
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

// Hold reports that enough strikes for a quarantine wait for their probes, so
// that another attempt could crash one upstream too many.
func (g *Guard) Hold(at time.Time, fp model.Fingerprint) bool {
	s, ok := g.suspects[fp]
	if !ok {
		return false
	}
	s.expire(at)
	return len(s.strikes) >= quarantineAt
}

// Unproven lists the upstreams of a fingerprint's strikes that no probe has
// confirmed yet.
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

// Enter takes the turn of a fingerprint for one attempt. It reports false while
// another attempt has it.
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

// Exit gives the turn back.
func (g *Guard) Exit(fp model.Fingerprint) {
	delete(g.turns, fp)
}

// Answered notes that an upstream ran the request and lives. It clears the
// strikes, but not a quarantine.
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

// Reset notes an attempt that ended by a reset, and reports whether the
// upstream has to be probed to confirm a strike.
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

// Reported takes the result of a probe and returns the strikes that it
// confirmed, to be shared.
func (g *Guard) Reported(at time.Time, upstream model.UpstreamID, down bool) []event.CrashReport {
	prints, ok := g.unproven[upstream]
	if !ok || !down {
		// A report sent before the crash may still arrive, so a healthy report
		// proves nothing. The strike expires without a confirmation.
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

// Struck takes over what another traffic state or VM found.
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

// Sweep drops what has expired and returns the fingerprints that are held no
// longer.
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

// suspect returns the entry of a fingerprint, or nil when the table is full of
// quarantined ones.
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

// live reports whether the suspicion still counts.
func (s *suspect) live(at time.Time) bool {
	return at.Sub(s.since) < strikeFor
}

// expire drops strikes that are too old or were not confirmed in time.
func (s *suspect) expire(at time.Time) {
	s.strikes = slices.DeleteFunc(s.strikes, func(k strike) bool {
		age := at.Sub(k.at)
		return age >= strikeFor || !k.confirmed && age >= confirmWithin
	})
}

// judge starts the quarantine when enough upstreams crashed.
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

// struck is what other traffic states have to know.
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
