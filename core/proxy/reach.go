package proxy

import (
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
	minSilence          = 100 * time.Millisecond // without an answer from any upstream, before none counts as reachable
	connCheckUpstreams  = 4                      // upstreams to which a check opens a connection
	connCheckTimeout    = 250 * time.Millisecond // several round trips to a distant zone
	doubtCheckInterval  = time.Second            // between two checks while upstreams still answer
	lostCheckInterval   = 500 * time.Millisecond // between two checks while no upstream is reachable
	checkedConnIdle     = 3 * time.Second        // idle time of a connection that a check opened
)

// reachability is what this VM knows about its links to all upstreams together. An
// upstream that fails may be down itself; when several fail at once and no other
// answers, a check of further ones shows whether this VM is cut off. In the zero
// value upstreams are reachable.
type reachability struct {
	answeredAt  time.Time                     // when an upstream last answered an attempt
	failedConns map[model.UpstreamID]struct{} // upstreams to which connections failed since one was last opened
	doubtedAt   time.Time                     // since when the links are in doubt, with no answer since; zero when they are not
	lostAt      time.Time                     // since when no upstream is reachable; zero while one is
	regainedAt  time.Time                     // when upstreams became reachable again
	check       connCheck
}

// connCheck is a check that opens connections to several upstreams.
type connCheck struct {
	startedAt time.Time
	pending   map[model.UpstreamID]struct{}
	failed    int
}

// lost reports whether this VM reaches no upstream.
func (s *reachability) lost() bool { return !s.lostAt.IsZero() }

// inDoubt reports whether failures of upstreams may be failures of this VM's own
// links. They are then no reason to warn other VMs.
func (s *reachability) inDoubt() bool { return s.lost() || !s.doubtedAt.IsZero() }

// untilNextCheck returns the time until the next check while no upstream is
// reachable.
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
	s.doubtedAt, s.check.pending = time.Time{}, nil
	if !s.lost() {
		return out
	}
	out = append(out, effect.Note{
		At: at, Subject: "upstreams", Action: "reachable again", Cause: "a connection was opened after " + at.Sub(s.lostAt).Truncate(time.Millisecond).String(),
	})
	s.lostAt, s.regainedAt = time.Time{}, at
	for _, u := range r.upstreams {
		// What failed meanwhile was this VM's link.
		u.backoffUntil, u.connFailures, u.failureRate = time.Time{}, 0, average{}
	}
	return out
}

// linksInDoubt reports whether several upstreams fail and none answers.
func (r *Router) linksInDoubt(at time.Time) bool {
	needed := min(minSuspectUpstreams, len(r.upstreams))
	return needed > 0 && (len(r.reach.failedConns) >= needed || r.silentUpstreams(at) >= needed)
}

// silentUpstreams counts the upstreams that owe an answer for so long that others
// would have answered meanwhile.
func (r *Router) silentUpstreams(at time.Time) int {
	silent := make(map[*upstream]struct{})
	for _, a := range r.attemptsByID {
		overdue := slowFactor*a.expected + minSlowExcess
		if at.Sub(a.sent) > overdue && at.Sub(r.reach.answeredAt) > overdue {
			silent[a.upstream] = struct{}{}
		}
	}
	return len(silent)
}

// checkReach checks the links to the upstreams while they are in doubt, and draws
// the conclusion.
func (r *Router) checkReach(at time.Time, out []effect.Effect) []effect.Effect {
	s := &r.reach
	interval := lostCheckInterval
	if !s.lost() {
		interval = doubtCheckInterval
		if !r.linksInDoubt(at) {
			s.doubtedAt = time.Time{}
			return out
		}
		if s.doubtedAt.IsZero() {
			s.doubtedAt = at
		}
	}
	if out = r.concludeConnCheck(at, out); at.Sub(s.check.startedAt) < interval {
		return out
	}
	return r.startConnCheck(at, out)
}

// startConnCheck opens connections to upstreams of different zones.
func (r *Router) startConnCheck(at time.Time, out []effect.Effect) []effect.Effect {
	s := &r.reach
	if s.answeredAt.After(s.doubtedAt) && !s.lost() {
		s.doubtedAt = at
	}
	s.check = connCheck{startedAt: at, pending: make(map[model.UpstreamID]struct{})}
	for _, u := range r.upstreamsToCheck() {
		s.check.pending[u.spec.ID] = struct{}{}
		out = append(out, effect.OpenConn{Upstream: u.spec.ID, Addr: u.spec.Addr, Timeout: connCheckTimeout, IdleTimeout: checkedConnIdle})
	}
	return out
}

// upstreamsToCheck returns random upstreams, the zones in turn.
func (r *Router) upstreamsToCheck() []*upstream {
	byZone := make(map[model.Zone][]*upstream)
	for _, id := range slices.Sorted(maps.Keys(r.upstreams)) {
		if u := r.upstreams[id]; !u.wrongUpstream && u.spec.State == model.StateActive {
			byZone[u.spec.Zone] = append(byZone[u.spec.Zone], u)
		}
	}
	var list []*upstream
	for len(list) < connCheckUpstreams && len(byZone) > 0 {
		for _, zone := range slices.Sorted(maps.Keys(byZone)) {
			rest := byZone[zone]
			n := r.random.IntN(len(rest))
			list = append(list, rest[n])
			if byZone[zone] = slices.Delete(rest, n, n+1); len(byZone[zone]) == 0 {
				delete(byZone, zone)
			}
			if len(list) == connCheckUpstreams {
				break
			}
		}
	}
	return list
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

// concludeConnCheck counts all upstreams as unreachable when a check failed and none
// answered since the links came into doubt.
func (r *Router) concludeConnCheck(at time.Time, out []effect.Effect) []effect.Effect {
	s := &r.reach
	if s.lost() || s.doubtedAt.IsZero() || s.check.failed == 0 || len(s.check.pending) > 0 || s.check.startedAt.Before(s.doubtedAt) ||
		s.answeredAt.After(s.doubtedAt) || at.Sub(s.doubtedAt) < minSilence {
		return out
	}
	s.lostAt = at
	return append(out, effect.Note{
		At: at, Subject: "upstreams", Action: "unreachable", Alert: true,
		Cause: fmt.Sprintf("%d connections could not be opened, no answer for %v", s.check.failed, at.Sub(s.answeredAt).Truncate(time.Millisecond)),
	})
}
