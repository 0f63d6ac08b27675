package query

import (
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/retry"
)

// maxRetries is how often the attempts on one shard are repeated.
const maxRetries = 4

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

// HandleUpstreamStatement applies the pause that an upstream has asked another loop of
// this process for.
func (t *Table) HandleUpstreamStatement(at time.Time, e event.UpstreamStatement, out []effect.Effect) []effect.Effect {
	t.balancer.RecordPause(at, e.Upstream, e.Pause)
	return out
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
	if f.RetryAfter > 0 && t.start.Loops > 1 {
		out = append(out, effect.ToControl{Body: event.UpstreamStatement{Upstream: sent.upstream, Pause: f.RetryAfter}})
	}
	if f.Reason == model.FailedShed {
		t.limiter.RecordShed(sent.index)
	}
	mayBeStrike := false
	if f.Reason == model.FailedReset && f.Ran != model.RanNo {
		if mayBeStrike = t.guard.RecordReset(at, sent.fingerprint, sent.crash, sent.alone); mayBeStrike {
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
