package query

import (
	"slices"
	"time"

	"comfreypulley/core/crash"
	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/retry"
)

const (
	maxRetries          = 4                      // per shard
	maxShards           = 1 << 16                // per snapshot; an answer that states more is malformed
	nonIdempotentGrace  = 2 * time.Second        // added to the timeout of a non-idempotent attempt, so that a late outcome is still recorded
	capacityRetryDelay  = 50 * time.Millisecond  // until a shard without a usable replica is tried again when no event does so earlier
	reportWait          = 500 * time.Millisecond // wait for reports when no known upstream holds a version; equals probePeriod
	strikeProbeInterval = 30 * time.Millisecond  // between probes to confirm a strike; a report sent before the crash is no proof

	canaryFactor        = 2 // a canary that takes longer than this many hedge delays counts as slow
	maxCanaries         = 2 // shards with a canary; as many crashes as start a quarantine
	hedgeMissingDivisor = 8 // hedges start only while no more than 1/8 of the shards, or a single one, are missing
)

// begin starts a query that was just admitted.
func (t *Table) begin(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	q.started = at
	q.admitted = true
	out = t.setTimer(q, q.deadline(), out)
	if !q.idempotent() {
		return t.claim(q, out)
	}
	return t.scatter(at, q, out)
}

// scatter pins the query to a snapshot and starts its first attempts. While no
// version of the index is known, an idempotent query waits up to reportWait.
func (t *Table) scatter(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	version, shards, ok := t.balancer.SelectVersion(at, q.request.Index, 0)
	if !ok || shards > maxShards {
		if !q.idempotent() {
			return t.releaseClaim(at, q, model.RefusedSnapshot, "no version of the index is known", out)
		}
		if q.phase != phaseAwaitingVersion && (t.balancer.HasLiveHolder(q.request.Index) || t.balancer.AwaitsFirstReport(q.request.Index)) {
			// Upstreams refused every known version, or this VM has just become
			// ready and has no reports yet. Probes show which version there is.
			q.phase, q.phaseEnd = phaseAwaitingVersion, at.Add(reportWait)
		}
		if q.phase == phaseAwaitingVersion && at.Before(q.phaseEnd) {
			t.holderWaiters.push(t, waitingShard{request: q.request.ID})
			out = t.probeIndex(at, q.request.Index, out)
			return t.setTimer(q, model.Earlier(at.Add(capacityRetryDelay), q.phaseEnd), out)
		}
		return t.refuse(at, q, model.RefusedSnapshot, "no version of the index is known", out)
	}
	return t.launch(at, q, version, shards, out)
}

// launch pins the query to a snapshot and starts the canary or an attempt on
// each shard, as the guard's verdict says.
func (t *Table) launch(at time.Time, q *query, version model.SnapshotVersion, shards int, out []effect.Effect) []effect.Effect {
	q.pinSnapshot(version, shards)
	verdict := t.guard.Verdict(at, q.request.Fingerprint)
	switch {
	case !q.idempotent():
		q.phase = phaseScatter
		t.budget(q.request.Customer).Earn(1)
		out = t.tryShard(at, q, q.canaryShard, out)
	case verdict == crash.Unrestricted:
		out = t.startRemaining(at, q, out)
	default:
		q.phase, q.canaries = phaseCanary, 1
		if verdict == crash.CanaryFirst {
			t.setCanaryDeadline(at, q)
		}
		out = t.tryShard(at, q, q.canaryShard, out)
	}
	return t.advance(at, q, out)
}

// setCanaryDeadline sets when the last canary counts as slow.
func (t *Table) setCanaryDeadline(at time.Time, q *query) {
	if delay, ok := t.hedger.Delay(q.request.Index); ok {
		q.canaryDeadline = at.Add(canaryFactor * delay)
	}
}

// handleSlowCanary starts a canary on another shard. When all canaries are slow, it
// starts the remaining shards: a slow canary may be about to crash its upstream, but
// two of them are more likely to wait in a queue.
func (t *Table) handleSlowCanary(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	next := (q.canaryShard + q.canaries) % len(q.shards)
	if q.canaries >= maxCanaries || q.shards[next].attemptCount > 0 {
		return t.startRemaining(at, q, out)
	}
	q.canaries++
	t.setCanaryDeadline(at, q)
	return t.tryShard(at, q, next, out)
}

// startRemaining starts an attempt on every shard that has had none.
func (t *Table) startRemaining(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	q.phase = phaseScatter
	q.canaryDeadline = time.Time{}
	t.budget(q.request.Customer).Earn(len(q.shards))
	for i := range q.shards {
		if s := &q.shards[i]; s.attemptCount == 0 && !s.done && !s.abandoned {
			out = t.tryShard(at, q, i, out)
		}
	}
	return out
}

// tryShard starts an attempt on shard i if a replica has capacity and the guard
// allows it. Otherwise it makes the shard wait or gives it up. It never ends the
// query; advance does that.
func (t *Table) tryShard(at time.Time, q *query, i int, out []effect.Effect) []effect.Effect {
	s := &q.shards[i]
	s.nextAttempt = time.Time{}
	s.waiting, s.noHolder = false, false
	fp := q.request.Fingerprint
	exclusive := false
	switch t.guard.Verdict(at, fp) {
	case crash.Quarantined:
		q.quarantined = true
		return out
	case crash.OneAtATime:
		exclusive = true
	case crash.CanaryFirst:
		exclusive = q.phase == phaseCanary && i == q.canaryShard || !q.idempotent()
	default:
	}
	if exclusive && t.guard.MustWait(at, fp) {
		q.scheduleAttempt(i, at.Add(strikeProbeInterval))
		return t.probeUnconfirmed(at, fp, out)
	}
	choice, ok := t.picker.Pick(at, q.request.Index, q.version, i, s.tried)
	if !ok && len(s.tried) > 0 {
		// Every usable replica was tried: any of them may be tried again.
		choice, ok = t.picker.Pick(at, q.request.Index, q.version, i, nil)
	}
	if !ok {
		t.awaitCapacity(at, q, i)
		return out
	}
	if exclusive && !t.guard.Acquire(fp) {
		t.awaitExclusive(q, i)
		return out
	}
	if q.phase == phaseCanary && !exclusive {
		t.guard.Join(fp)
		exclusive = true
	}
	kind := kindFirst
	switch {
	case s.attemptCount > 0:
		kind = kindRetry
	case q.phase == phaseCanary:
		kind = kindCanary
	}
	return t.startAttempt(at, q, i, choice.Upstream, kind, exclusive, out)
}

// startAttempt starts an attempt on shard i at an upstream.
func (t *Table) startAttempt(
	at time.Time, q *query, i int, u model.Upstream, kind attemptKind, exclusive bool, out []effect.Effect,
) []effect.Effect {
	t.lastAttempt++
	t.attemptsStarted[kind]++
	s := &q.shards[i]
	s.attemptCount++
	s.openAttempts = append(s.openAttempts, t.lastAttempt)
	s.tried = append(s.tried, u.ID)
	q.inFlight++
	if kind != kindHedge && q.idempotent() {
		q.hedgeCandidates = append(q.hedgeCandidates, hedgeCandidate{shard: i, sent: at})
	}
	t.attempts[t.lastAttempt] = attempt{
		request: q.request.ID, shard: i, upstream: u.ID, index: q.request.Index, version: q.version, started: at,
		fingerprint: q.request.Fingerprint, exclusive: exclusive, alone: exclusive || !q.idempotent(),
	}
	t.balancer.RecordStart(u.ID)
	timeout := q.deadline().Sub(at)
	if !q.idempotent() {
		timeout += nonIdempotentGrace
	}
	return append(out, effect.Send{
		Attempt: t.lastAttempt, Request: q.request.ID, AttemptNumber: s.attemptCount, Upstream: u.ID, Addr: u.Addr,
		Index: q.request.Index, Version: q.version, Shard: i, Body: q.request.Body, Timeout: timeout, Key: q.request.Key,
	})
}

// advance does whatever is due for a query in its phase: it starts scheduled
// attempts and hedges, repeats proposals, or ends the query. It sets the timer
// for what is due next.
func (t *Table) advance(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	if t.queries[q.request.ID] != q {
		return out
	}
	if q.phase == phaseRefusalDelayed {
		return t.advanceDelayedRefusal(at, q, out)
	}
	if q.detached {
		return t.continueDetached(at, q, out)
	}
	if !at.Before(q.deadline()) {
		return t.endIncomplete(at, q, out)
	}
	if q.phase == phaseSettling || q.phase == phaseReleasing {
		return t.reproposeClaimEnd(at, q, out)
	}
	if q.phase == phaseAwaitingVersion {
		return t.scatter(at, q, out)
	}
	if q.phase != phaseScatter && q.phase != phaseCanary {
		return t.setTimer(q, q.deadline(), out)
	}
	if q.phase == phaseCanary && !q.canaryDeadline.IsZero() && !at.Before(q.canaryDeadline) {
		out = t.handleSlowCanary(at, q, out)
	}
	out = t.startScheduled(at, q, out)
	out = t.startHedges(at, q, out)
	return t.endOrWait(at, q, out)
}

// endOrWait ends or restarts a query whose attempts cannot lead to a sufficient
// answer, and sets the timer otherwise.
func (t *Table) endOrWait(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	switch {
	case q.quarantined:
		return t.refuseQuarantined(at, q, out)
	case q.holderMissing && q.idempotent():
		q.holderMissing = false
		if version, shards, ok := t.newerSnapshot(at, q); ok {
			return t.restart(at, q, version, shards, out)
		}
		if q.shardsWithoutHolder() > 0 {
			out = t.probeIndex(at, q.request.Index, out)
		}
	case q.abandoned > 0 && !q.idempotent():
		return t.releaseClaim(at, q, model.RefusedExhausted, "no attempt could run", out)
	}
	if q.phase == phaseCanary && q.shards[q.canaryShard].abandoned {
		// Without a suspicion against the fingerprint, the canary failed because
		// its shard has no replica, which says nothing about the request.
		if t.guard.Verdict(at, q.request.Fingerprint) != crash.OneAtATime {
			out = t.startRemaining(at, q, out)
			return t.advance(at, q, out)
		}
		return t.endIncomplete(at, q, out)
	}
	if q.idempotent() && (q.missingShards() == 0 || q.reachableFraction() < q.class.MinCoverage) {
		return t.endIncomplete(at, q, out)
	}
	return t.setTimer(q, t.nextTimer(q), out)
}

// startScheduled starts the scheduled attempts that are due.
func (t *Table) startScheduled(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	for len(q.scheduled) > 0 && !q.scheduled[0].at.After(at) && !q.quarantined {
		due := q.scheduled.pop()
		s := &q.shards[due.shard]
		if s.done || s.abandoned || len(s.openAttempts) > 0 || !s.nextAttempt.Equal(due.at) {
			continue
		}
		out = t.tryShard(at, q, due.shard, out)
	}
	return out
}

// nextTimer is when advance has to be called again.
func (t *Table) nextTimer(q *query) time.Time {
	due := q.deadline()
	if len(q.scheduled) > 0 {
		due = model.Earlier(due, q.scheduled[0].at)
	}
	if !q.canaryDeadline.IsZero() {
		due = model.Earlier(due, q.canaryDeadline)
	}
	if delay, ok := t.hedger.Delay(q.request.Index); ok && q.phase == phaseScatter && q.nextHedge < len(q.hedgeCandidates) {
		hedge := q.hedgeCandidates[q.nextHedge].sent.Add(delay)
		if q.noHedgeBefore.After(hedge) {
			hedge = q.noHedgeBefore
		}
		due = model.Earlier(due, hedge)
	}
	return due
}

// startHedges hedges slow attempts on other replicas within the budget. While
// many shards are missing it starts none, so that the budget is left for
// queries that miss only a few.
func (t *Table) startHedges(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	if q.phase != phaseScatter || q.nextHedge == len(q.hedgeCandidates) || at.Before(q.noHedgeBefore) {
		return out
	}
	delay, ok := t.hedger.Delay(q.request.Index)
	if !ok {
		return out
	}
	for q.nextHedge < len(q.hedgeCandidates) {
		candidate := q.hedgeCandidates[q.nextHedge]
		s := &q.shards[candidate.shard]
		if s.done || s.abandoned || s.hedged || len(s.openAttempts) == 0 {
			q.nextHedge++
			continue
		}
		if candidate.sent.Add(delay).After(at) {
			return out
		}
		if q.missingShards() > max(1, len(q.shards)/hedgeMissingDivisor) || t.budget(q.request.Customer).LeftForHedges() == 0 {
			q.noHedgeBefore = at.Add(max(delay/4, time.Millisecond))
			return out
		}
		q.nextHedge++
		if t.guard.Verdict(at, q.request.Fingerprint) != crash.Unrestricted {
			continue
		}
		choice, ok := t.picker.Pick(at, q.request.Index, q.version, candidate.shard, s.tried)
		if !ok || !t.budget(q.request.Customer).SpendHedge() {
			continue
		}
		s.hedged = true
		out = t.startAttempt(at, q, candidate.shard, choice.Upstream, kindHedge, false, out)
	}
	return out
}

// newerSnapshot returns a newer version at which a query can restart that found
// shards without a holder at its pinned version, if the coverage, the deadline
// and the budget allow it.
func (t *Table) newerSnapshot(at time.Time, q *query) (version model.SnapshotVersion, shards int, ok bool) {
	if q.restarted {
		return 0, 0, false
	}
	version, shards, ok = t.balancer.SelectVersion(at, q.request.Index, q.version)
	if !ok || shards > maxShards {
		return 0, 0, false
	}
	covered, reachableShards := t.balancer.CoveredFraction(at, q.request.Index, version), len(q.shards)-q.abandoned-q.shardsWithoutHolder()
	if covered <= float64(reachableShards)/float64(len(q.shards)) {
		return 0, 0, false
	}
	if covered < 1 && at.Before(q.holderDeadline) {
		return 0, 0, false // reports may still add shards of the version
	}
	if delay, known := t.hedger.Delay(q.request.Index); known && at.Add(delay).After(q.deadline()) {
		return 0, 0, false
	}
	// The restart repeats the attempts that were answered or are in flight, so
	// they are charged to the budget.
	return version, shards, t.budget(q.request.Customer).Spend(q.answered + q.inFlight)
}

// restart discards all answers and starts the query again at a newer version.
func (t *Table) restart(at time.Time, q *query, version model.SnapshotVersion, shards int, out []effect.Effect) []effect.Effect {
	q.restarted = true
	out = t.cancelAttempts(q, out)
	return t.launch(at, q, version, shards, out)
}

// cancelAttempts cancels the query's attempts in flight.
func (t *Table) cancelAttempts(q *query, out []effect.Effect) []effect.Effect {
	if q.inFlight == 0 {
		return out
	}
	q.recordRan(model.RanUnknown)
	for i := range q.shards {
		for _, id := range q.shards[i].openAttempts {
			out = append(out, effect.Cancel{Attempt: id})
		}
		q.shards[i].openAttempts = nil
	}
	q.inFlight = 0
	return out
}

// HandleAnswerReceived handles an upstream's answer to an attempt.
func (t *Table) HandleAnswerReceived(at time.Time, a event.AnswerReceived, out []effect.Effect) []effect.Effect {
	sent, ok := t.attempts[a.Attempt]
	if !ok {
		return out
	}
	if a.Version != sent.version || a.Shard != sent.shard || a.ShardCount < 1 || a.ShardCount > maxShards {
		return t.HandleAttemptFailed(at, event.AttemptFailed{
			Attempt: a.Attempt, Reason: model.FailedInvalid, Ran: model.RanYes, Load: a.Load, NewConn: a.NewConn,
		}, out)
	}
	delete(t.attempts, a.Attempt)
	took := at.Sub(sent.started)
	t.balancer.RecordAnswer(at, sent.upstream, took, a.Load, a.NewConn)
	t.histogram(sent.index).Add(took)
	t.guard.RecordAnswer(at, sent.fingerprint)
	if sent.exclusive {
		t.guard.Release(sent.fingerprint)
	}
	if q, s, ok := t.attemptOwner(sent, a.Attempt); ok {
		out = t.acceptAnswer(at, q, s, a, out)
	}
	out = t.retryCapacityWaiters(at, sent.upstream, out)
	out = t.retryExclusiveWaiters(at, sent.fingerprint, out)
	return t.finish(at, out)
}

// acceptAnswer stores the answer of a shard, cancels other attempts on the
// shard, and continues or completes the query.
func (t *Table) acceptAnswer(at time.Time, q *query, s *shard, a event.AnswerReceived, out []effect.Effect) []effect.Effect {
	q.recordRan(model.RanYes)
	q.inFlight -= len(s.openAttempts)
	for _, id := range s.openAttempts {
		if id != a.Attempt {
			out = append(out, effect.Cancel{Attempt: id})
		}
	}
	s.done, s.items, s.openAttempts = true, a.Items, nil
	q.answered++
	if !q.idempotent() {
		return t.recordOutcome(at, q, a, out)
	}
	if known := len(q.shards); a.ShardCount > known {
		// The snapshot has more shards than were known when it was pinned. An
		// upstream that states fewer does not lower the count.
		q.shards = append(q.shards, make([]shard, a.ShardCount-known)...)
		if q.phase == phaseScatter {
			t.budget(q.request.Customer).Earn(a.ShardCount - known)
			for i := known; i < a.ShardCount; i++ {
				out = t.tryShard(at, q, i, out)
			}
		}
	}
	if q.answered == len(q.shards) {
		return t.replyMerged(at, q, out)
	}
	if q.phase == phaseCanary {
		out = t.startRemaining(at, q, out)
	}
	return t.advance(at, q, out)
}

// HandleAttemptFailed handles the end of an attempt without an answer.
func (t *Table) HandleAttemptFailed(at time.Time, f event.AttemptFailed, out []effect.Effect) []effect.Effect {
	sent, ok := t.attempts[f.Attempt]
	if !ok {
		return out
	}
	delete(t.attempts, f.Attempt)
	t.balancer.RecordFailure(at, sent.upstream, sent.version, sent.shard, at.Sub(sent.started), f)
	out = append(out, effect.Count{Counter: effect.CountFailed, Reason: string(f.Reason), N: 1})
	if f.Reason == model.FailedVersion {
		out = t.probeIndex(at, sent.index, out)
	}
	if f.Reason == model.FailedShed {
		t.limiter.RecordShed(sent.index)
	}
	mayBeStrike := false
	if f.Reason == model.FailedReset && f.Ran != model.RanNo {
		if mayBeStrike = t.guard.RecordReset(at, sent.fingerprint, sent.upstream, sent.alone); mayBeStrike {
			out = t.probe(sent.upstream, out)
		}
	}
	if sent.exclusive {
		t.guard.Release(sent.fingerprint)
	}
	if q, s, ok := t.attemptOwner(sent, f.Attempt); ok {
		if mayBeStrike {
			q.lastStrike = at
		}
		q.recordRan(f.Ran)
		q.inFlight--
		s.openAttempts = slices.DeleteFunc(s.openAttempts, func(id model.AttemptID) bool { return id == f.Attempt })
		out = t.scheduleRetry(at, q, sent.shard, f, out)
	}
	out = t.retryCapacityWaiters(at, sent.upstream, out)
	if sent.exclusive {
		out = t.retryExclusiveWaiters(at, sent.fingerprint, out)
	}
	return t.finish(at, out)
}

// scheduleRetry schedules a retry on shard i after an attempt failed. Without
// budget for one it gives the shard up.
func (t *Table) scheduleRetry(at time.Time, q *query, i int, f event.AttemptFailed, out []effect.Effect) []effect.Effect {
	s := &q.shards[i]
	if len(s.openAttempts) > 0 {
		return out
	}
	if !q.idempotent() && (q.detached || f.Ran != model.RanNo) {
		if f.Ran == model.RanNo {
			return t.releaseClaim(at, q, model.RefusedExhausted, "no attempt could run", out)
		}
		return t.refuseUnknownOutcome(at, q, out)
	}
	budget, free := t.budget(q.request.Customer), retry.IsFree(f.Reason)
	allowed := s.retries < maxRetries && (free && budget.SpendFree() || !free && budget.Spend(1))
	if !allowed {
		q.abandon(i)
		return t.advance(at, q, out)
	}
	s.retries++
	out = append(out, effect.Count{Counter: effect.CountRetried, Reason: string(f.Reason), N: 1})
	due := at
	if !free || s.retries > 1 {
		due = at.Add(retry.Backoff(t.random, s.retries, 0))
	}
	q.scheduleAttempt(i, due)
	return t.advance(at, q, out)
}

// attemptOwner returns the query and shard of an attempt if they still wait for
// it.
func (t *Table) attemptOwner(a attempt, id model.AttemptID) (*query, *shard, bool) {
	q, ok := t.queries[a.request]
	if !ok || q.version != a.version || a.shard >= len(q.shards) {
		return nil, nil, false
	}
	s := &q.shards[a.shard]
	if !slices.Contains(s.openAttempts, id) {
		return nil, nil, false
	}
	return q, s, true
}
