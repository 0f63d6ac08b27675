package proxy

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Parameters of the detection that this VM reaches no upstream at all.
const (
	minSuspectUpstreams = 2                      // upstreams that must fail before the links of this VM are in doubt
	minDoubt            = 100 * time.Millisecond // in which upstreams that still answer do so
	connCheckUpstreams  = 4                      // upstreams to which a check opens a connection
	connCheckTimeout    = 250 * time.Millisecond // several round trips to a distant zone
	doubtCheckInterval  = time.Second            // between two checks while upstreams still answer
	lostCheckInterval   = 500 * time.Millisecond // between two checks while no upstream is reachable
	checkedConnIdle     = 3 * time.Second        // idle time of a connection that a check opened
)

// reachability is what this VM knows about its links to all upstreams together. An
// upstream that fails may be down itself; when several fail at once, connections to
// those that answered last show whether this VM is cut off. Connections that were
// open before may go on working. In the zero value upstreams are reachable.
type reachability struct {
	answeredAt  time.Time                     // when an upstream last answered an attempt
	failedConns map[model.UpstreamID]struct{} // upstreams to which connections failed since one was last opened
	doubtedAt   time.Time                     // since when the links are in doubt; zero when they are not
	lostAt      time.Time                     // since when no connection can be opened; zero while one can
	silent      bool                          // open connections get no answer either
	regainedAt  time.Time                     // when a connection could be opened again
	check       connCheck
}

// connCheck is a check that opens connections to several upstreams.
type connCheck struct {
	startedAt time.Time
	pending   map[model.UpstreamID]struct{}
	failed    int
	repeated  bool // goes to upstreams that answered during an earlier check
}

// lost reports whether this VM can open no connection to an upstream.
func (s *reachability) lost() bool { return !s.lostAt.IsZero() }

// inDoubt reports whether failures of upstreams may be failures of this VM's own
// links. They are then no reason to warn other VMs.
func (s *reachability) inDoubt() bool { return s.lost() || !s.doubtedAt.IsZero() }

// untilNextCheck returns the time until the next check while no connection can be
// opened.
func (s *reachability) untilNextCheck(at time.Time) time.Duration {
	return max(0, s.check.startedAt.Add(lostCheckInterval).Sub(at))
}

// recordFailedConn records that no connection to an upstream could be opened.
func (r *Router) recordFailedConn(at time.Time, u *upstream, out []effect.Effect) []effect.Effect {
	if r.reach.failedConns == nil {
		r.reach.failedConns = make(map[model.UpstreamID]struct{})
	}
	r.reach.failedConns[u.spec.ID] = struct{}{}
	return r.checkReach(at, out)
}

// recordOpenedConn records that a connection to an upstream was opened.
func (r *Router) recordOpenedConn(at time.Time, out []effect.Effect) []effect.Effect {
	s := &r.reach
	clear(s.failedConns)
	s.doubtedAt, s.check = time.Time{}, connCheck{startedAt: s.check.startedAt}
	if !s.lost() {
		return out
	}
	out = append(out, effect.Note{
		At: at, Subject: "upstreams", Action: "reachable again", Cause: "a connection was opened after " + at.Sub(s.lostAt).Truncate(time.Millisecond).String(),
	})
	s.lostAt, s.silent, s.regainedAt = time.Time{}, false, at
	out = r.recordDeferredCrashes(at, out)
	for _, u := range r.upstreams {
		// What failed meanwhile was this VM's link.
		u.backoffUntil, u.connFailures, u.failureRate = time.Time{}, 0, average{}
	}
	return out
}

// recordAnswer records that an upstream answered.
func (r *Router) recordAnswer(at time.Time, u *upstream, out []effect.Effect) []effect.Effect {
	u.answeredAt, r.reach.answeredAt, r.reach.silent = at, at, false
	return r.confirmCrashes(at, at, out)
}

// minSuspects is the number of failing upstreams from which on the links of this VM are
// in doubt.
func (r *Router) minSuspects() int { return max(1, min(minSuspectUpstreams, len(r.upstreams))) }

// noAnswers reports whether several upstreams owe an answer for so long that others
// would have answered meanwhile.
func (r *Router) noAnswers(at time.Time) bool {
	silent := make(map[*upstream]struct{})
	for _, a := range r.attemptsByID {
		overdue := slowFactor*a.expected + minSlowExcess
		if at.Sub(a.sent) > overdue && at.Sub(r.reach.answeredAt) > overdue {
			silent[a.upstream] = struct{}{}
		}
	}
	return len(silent) >= r.minSuspects()
}

// checkReach checks the links to the upstreams while they are in doubt, and draws
// the conclusion.
func (r *Router) checkReach(at time.Time, out []effect.Effect) []effect.Effect {
	s := &r.reach
	if s.lost() {
		out = r.checkSilence(at, out)
		if at.Sub(s.check.startedAt) < lostCheckInterval {
			return out
		}
		return r.startConnCheck(at, out)
	}
	if len(s.failedConns) < r.minSuspects() && !r.noAnswers(at) {
		s.doubtedAt = time.Time{}
		return out
	}
	if s.doubtedAt.IsZero() {
		s.doubtedAt = at
	}
	if at.Sub(s.check.startedAt) >= doubtCheckInterval {
		return r.startConnCheck(at, out)
	}
	return r.concludeConnCheck(at, out)
}

// startConnCheck opens connections to several upstreams.
func (r *Router) startConnCheck(at time.Time, out []effect.Effect) []effect.Effect {
	s := &r.reach
	s.check = connCheck{startedAt: at, pending: make(map[model.UpstreamID]struct{})}
	for _, u := range r.upstreamsToCheck() {
		s.check.pending[u.spec.ID] = struct{}{}
		out = append(out, effect.OpenConn{Upstream: u.spec.ID, Addr: u.spec.Addr, Timeout: connCheckTimeout, IdleTimeout: checkedConnIdle})
	}
	return out
}

// upstreamsToCheck returns the upstreams that answered last, the zones in turn. The
// order of the others is random.
func (r *Router) upstreamsToCheck() []*upstream {
	var all []*upstream
	for _, id := range slices.Sorted(maps.Keys(r.upstreams)) {
		if u := r.upstreams[id]; u.acceptsNew() {
			all = append(all, u)
		}
	}
	r.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b *upstream) int { return b.answeredAt.Compare(a.answeredAt) })
	inZone := make(map[model.Zone]int)
	rank := make(map[*upstream]int, len(all))
	for _, u := range all {
		rank[u] = inZone[u.spec.Zone]
		inZone[u.spec.Zone]++
	}
	slices.SortStableFunc(all, func(a, b *upstream) int { return cmp.Compare(rank[a], rank[b]) })
	return all[:min(len(all), connCheckUpstreams)]
}

// HandleConnChecked handles the result of opening a connection for a check.
func (r *Router) HandleConnChecked(at time.Time, e event.ConnChecked, out []effect.Effect) []effect.Effect {
	if e.Opened {
		return r.recordOpenedConn(at, out)
	}
	check := &r.reach.check
	if _, ok := check.pending[e.Upstream]; !ok {
		return out
	}
	delete(check.pending, e.Upstream)
	check.failed++
	return r.concludeConnCheck(at, out)
}

// concludeConnCheck concludes from a check in which no connection could be opened.
// When other upstreams answered meanwhile, it is repeated with those.
func (r *Router) concludeConnCheck(at time.Time, out []effect.Effect) []effect.Effect {
	s := &r.reach
	if s.lost() || s.doubtedAt.IsZero() || at.Sub(s.doubtedAt) < minDoubt ||
		s.check.startedAt.Before(s.doubtedAt) || s.check.failed == 0 || len(s.check.pending) > 0 {
		return out
	}
	if !s.check.repeated && s.answeredAt.After(s.check.startedAt) {
		out = r.startConnCheck(at, out)
		s.check.repeated = true
		return out
	}
	s.lostAt = at
	r.deferCrashes()
	out = append(out, effect.Note{
		At: at, Subject: "upstreams", Action: "unreachable", Alert: true,
		Cause: fmt.Sprintf("%d connections could not be opened, last answer %v ago", s.check.failed, at.Sub(s.answeredAt).Truncate(time.Millisecond)),
	})
	return r.checkSilence(at, out)
}

// checkSilence goes through the requests in flight once it is clear that open
// connections get no answer either.
func (r *Router) checkSilence(at time.Time, out []effect.Effect) []effect.Effect {
	if r.reach.silent || !r.noAnswers(at) {
		return out
	}
	r.reach.silent = true
	return r.handleLostUpstreams(at, out)
}
