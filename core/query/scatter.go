package query

import (
	"time"

	"comfreypulley/core/crash"
	"comfreypulley/core/effect"
	"comfreypulley/core/model"
)

const (
	maxShards           = 1 << 16                // per snapshot; an answer that states more is malformed
	nonIdempotentGrace  = 2 * time.Second        // added to the timeout of a non-idempotent attempt, so that a late outcome is still recorded
	capacityRetryDelay  = 50 * time.Millisecond  // until a shard without a usable replica is tried again when no event does so earlier
	reportWait          = 500 * time.Millisecond // wait for reports when no known upstream holds a version; equals probePeriod
	strikeProbeInterval = 30 * time.Millisecond  // between probes to confirm a strike; a report sent before the crash is no proof

	canaryFactor = 2 // a canary that takes longer than this many hedge delays counts as slow
	maxCanaries  = 2 // shards with a canary; as many crashes as start a quarantine
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
		crash: t.guard.NextCrash(q.request.Fingerprint, u.ID),
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
