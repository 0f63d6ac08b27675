package proxy

import (
	"strconv"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Times and limits of one request.
const (
	answerGap            = 4 * time.Millisecond   // without an answer to any subrequest, after which the missing ones count as overdue
	maxExpectedRatio     = 2                      // the expected latency of an attempt is at most this many typical ones
	minAttemptTime       = 4 * time.Millisecond   // no attempt is made with less time left
	pickRetryInterval    = 3 * time.Millisecond   // until another search for an upstream
	retryBudgetInterval  = 8 * time.Millisecond   // until the retry budget is checked again
	giveUpAfter          = 12 * time.Millisecond  // without retry budget, when the request cannot succeed without the subrequest
	maxReservedShortfall = 2                      // largest shortfall of a request that may use the reserved extra attempts
	reservedExtra        = 0.4                    // extra attempts reserved for them; with many entry VMs, each VM has two or three
	cancelAfter          = 300 * time.Millisecond // age at which an attempt is cancelled once its request has ended
	rareConnIdle         = 3 * time.Second        // idle time of a connection that this VM seldom uses
	usualConnIdle        = 20 * time.Second       // idle time of the others, unless the upstream closes them earlier
)

func versionText(version uint64) string { return "version " + strconv.FormatUint(version, 10) }

// step makes the attempts that are due, and ends the request when it is answered
// or no further answer can arrive.
func (r *Router) step(at time.Time, req *request, out []effect.Effect) []effect.Effect {
	if req.ended {
		return out
	}
	if req.event.Portion != nil {
		return r.stepPortion(at, req, out)
	}
	if req.handover != nil {
		return r.stepHandover(at, req, out)
	}
	open := 0
	for _, sub := range req.subrequests {
		if sub.answer != nil {
			continue
		}
		out = r.stepSubrequest(at, req, sub, out)
		if sub.pending > 0 || !sub.abandoned {
			open++
		}
	}
	if open == 0 && r.reach.inDoubt() && req.ran() == model.RanNo {
		if allowed, ok := r.mayHandOverLate(at, req); ok {
			r.returnRetries(at, req)
			return r.handOver(at, req, allowed, out)
		}
	}
	switch {
	case open == 0 || req.sharded() && req.coverageUnreachable(at):
		return r.finish(at, req, out)
	case req.sharded() && !at.Before(req.partialAfter) && req.coverageMet():
		return r.finish(at, req, out)
	case !at.Before(req.deadline):
		return r.finish(at, req, out)
	}
	return r.scheduleStep(at, req, out)
}

// stepSubrequest makes the next attempt of a subrequest when it is due.
func (r *Router) stepSubrequest(at time.Time, req *request, sub *subrequest, out []effect.Effect) []effect.Effect {
	if sub.abandoned || at.Before(sub.nextAttempt) {
		return out
	}
	if r.reach.silent {
		sub.abandoned = true
		return out
	}
	if len(sub.attempts) > 0 && !r.mayRepeat(at, req, sub) {
		return out
	}
	if req.deadline.Sub(at) < minAttemptTime {
		sub.abandoned = true
		return out
	}
	u := r.next(at, req, sub)
	if u == nil {
		sub.nextAttempt = at.Add(pickRetryInterval)
		switch {
		case sub.pauseWait > 0 && !r.hasUntried(at, sub):
			// The wait for the end of the pause goes on only if it is short.
			sub.nextAttempt = at.Add(sub.pauseWait)
			sub.abandoned = !sub.nextAttempt.Before(req.partialAfter)
		case sub.limitWait > 0 && sub.pending > 0:
			sub.nextAttempt = at.Add(retryBudgetInterval)
		case sub.limitWait > 0 || !r.hasUntried(at, sub) && len(sub.attempts) > 0:
			sub.abandoned = true
		}
		return out
	}
	if sub.delivered() > 0 && !r.spendExtra(at, req, sub) {
		if sub.pending == 0 && sub.blockedSince.IsZero() {
			sub.blockedSince = at
		}
		sub.nextAttempt = at.Add(retryBudgetInterval)
		return out
	}
	sub.blockedSince, sub.limitWait = time.Time{}, 0
	return r.send(at, req, sub, u, out)
}

// spendExtra spends an extra attempt from the retry budget of the subrequest's
// service. The last ones are reserved for requests that fail without them and
// need only a few.
func (r *Router) spendExtra(at time.Time, req *request, sub *subrequest) bool {
	a := r.retryBudget(at, sub.service)
	needed := 1.0
	if shortfall := req.shortfall(); sub.pending > 0 || shortfall <= 0 || shortfall > maxReservedShortfall {
		needed += reservedExtra
	}
	return a.Tokens() >= needed && a.Spend()
}

// mayRepeat reports whether another attempt of the subrequest is allowed now: a
// retry after a failure, or a hedge of an overdue attempt.
func (r *Router) mayRepeat(at time.Time, req *request, sub *subrequest) bool {
	if sub.delivered() >= max(1, req.route.MaxAttempts) {
		sub.abandoned = true
		return false
	}
	if req.route.AtMostOnce {
		if sub.pending == 0 && sub.ran != model.RanNo {
			sub.abandoned = true
		}
		return sub.pending == 0 && sub.ran == model.RanNo
	}
	if sub.pending == 0 {
		return true
	}
	return !at.Before(r.hedgeAt(at, req, sub))
}

// hedgeAt returns when the last attempt of a subrequest is hedged: after its
// hedge delay, and when no other subrequest was answered for a while. As long as
// answers keep arriving, the missing ones are delayed by this VM's own network
// link or processor, on which a hedge would put more load.
func (r *Router) hedgeAt(at time.Time, req *request, sub *subrequest) time.Time {
	last := sub.attempts[len(sub.attempts)-1]
	if d := last.delegation; d != nil && !d.responded && last.outcome == "" {
		return r.directAttemptAt(d)
	}
	due := last.sent.Add(req.latency.hedgeDelay(req.route, r.retryBudget(at, sub.service).FillLevel()))
	if quiet := req.lastAnswer.Add(answerGap); req.sharded() && quiet.After(due) {
		return quiet
	}
	return due
}

// send makes an attempt.
func (r *Router) send(at time.Time, req *request, sub *subrequest, u *upstream, out []effect.Effect) []effect.Effect {
	r.lastAttemptID++
	a := &attempt{
		id: r.lastAttemptID, request: req, subrequest: sub, upstream: u, sent: at, hedge: sub.pending > 0, crash: r.crashes.Next(req.event.Fingerprint, u.spec.ID),
		expected: time.Duration(float64(req.latency.expected(req.route)) * min(maxExpectedRatio, u.latencyRatio.read(at, 1))),
	}
	kind := "first"
	if len(sub.attempts) > 0 {
		out = r.avoidLatePeer(at, sub.attempts[len(sub.attempts)-1], out)
	}
	switch {
	case a.hedge:
		kind = "hedge"
	case len(sub.attempts) > 0:
		kind = "retry"
	}
	sub.attempts = append(sub.attempts, a)
	sub.pending++
	u.limit.limiter.Spend(at)
	u.window.Sent(at)
	u.inFlight[a.id] = a
	r.attemptsByID[a.id] = a
	out = append(out, effect.Count{Counter: effect.CountAttempts, Reason: kind, N: 1})
	return append(out, effect.Forward{
		Attempt: a.id, Request: req.event.ID, Upstream: u.spec.ID, Addr: u.spec.Addr,
		Timeout: req.deadline.Sub(at), AvoidStaleConn: req.route.AtMostOnce, BodyOnly: req.sharded(), IdleTimeout: r.maxIdle(at, req, u),
		AwaitReset: r.shortOfConns(at, u.spec.Index), HideKey: req.keyed, Team: req.team,
	})
}

// maxIdle returns how long the connection of an attempt may stay idle, 0 for no
// bound. When an upstream accepts fewer connections than there are VMs, idle
// ones are left to the VMs that query its shard for portions, since those use
// them often.
func (r *Router) maxIdle(at time.Time, req *request, u *upstream) time.Duration {
	ownsShard := req.event.Portion != nil && u.spec.Zone == r.settings.VM.Zone
	switch {
	case ownsShard || r.connShare(u) >= 1:
		return 0
	case r.shortOfConns(at, u.spec.Index):
		return shortConnIdle
	default:
		return rareConnIdle
	}
}

// scheduleStep sets the request's timer to the next time at which an attempt or
// the end may be due.
func (r *Router) scheduleStep(at time.Time, req *request, out []effect.Effect) []effect.Effect {
	due := req.deadline
	if req.sharded() && at.Before(req.partialAfter) && req.partialAfter.Before(due) {
		due = req.partialAfter
	}
	for _, sub := range req.subrequests {
		if sub.answer != nil || sub.abandoned {
			continue
		}
		next := sub.nextAttempt
		if sub.pending > 0 {
			if req.route.AtMostOnce {
				continue
			}
			if hedge := r.hedgeAt(at, req, sub); hedge.After(next) {
				next = hedge
			}
		}
		if next.Before(due) {
			due = next
		}
	}
	return r.setTimer(at, req, due, out)
}

// setTimer sets the timer of a request.
func (r *Router) setTimer(at time.Time, req *request, due time.Time, out []effect.Effect) []effect.Effect {
	if due.Before(at) {
		due = at
	}
	if due.Equal(req.timerDue) {
		return out
	}
	req.timerDue = due
	return append(out, effect.SetTimer{ID: event.TimerID{Kind: event.TimerProxyRequest, N: uint64(req.event.ID)}, At: due})
}
