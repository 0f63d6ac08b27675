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
	maxRetries = 4                      // of one shard
	maxShards  = 1 << 16                // of a snapshot; a greater count is taken for a malformed answer
	runGrace   = 2 * time.Second        // a non-idempotent attempt may outlive its caller, so that its outcome is recorded
	parkRetry  = 50 * time.Millisecond  // a shard without a usable replica looks again, in case no event wakes it
	learnFor   = 500 * time.Millisecond // a query waits for reports after its version disappeared; a probe period
	holdRetry  = 30 * time.Millisecond  // between probes that may confirm a strike; an answer sent before the crash proves nothing

	canaryFactor = 2 // times the hedge delay, after which a canary without a failure is taken for a slow one
	hedgeShare   = 8 // only the last eighth of the shards is hedged
)

// begin starts an admitted query.
func (t *Table) begin(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	q.started = at
	q.admitted = true
	out = t.wakeAt(q, q.deadline(), out)
	if !q.idempotent() {
		return t.claim(q, out)
	}
	return t.scatter(at, q, out)
}

// scatter pins a snapshot and starts the canary or an attempt on each shard.
func (t *Table) scatter(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	version, shards, ok := t.routes.Pin(at, q.request.Index, 0)
	if !ok || shards > maxShards {
		if !q.idempotent() {
			return t.release(at, q, model.RefusedSnapshot, "no version of the index is known", out)
		}
		if q.phase != phasePinning && (t.routes.Serves(q.request.Index) || t.routes.Awaits(q.request.Index)) {
			// Refusals showed that the known versions are gone, or this VM has just
			// become ready. Reports tell the next one.
			q.phase, q.until = phasePinning, at.Add(learnFor)
		}
		if q.phase == phasePinning && at.Before(q.until) {
			t.lost.push(t, waiter{request: q.request.ID})
			out = t.ask(at, q.request.Index, out)
			return t.wakeAt(q, earlier(at.Add(parkRetry), q.until), out)
		}
		return t.refuse(at, q, model.RefusedSnapshot, "no version of the index is known", out)
	}
	return t.launch(at, q, version, shards, out)
}

// launch starts the attempts of a snapshot.
func (t *Table) launch(at time.Time, q *query, version model.SnapshotVersion, shards int, out []effect.Effect) []effect.Effect {
	q.pin(version, shards)
	verdict := t.guard.Judge(at, q.request.Fingerprint)
	switch {
	case !q.idempotent():
		q.phase = phaseScatter
		t.budget(q.request.Customer).Earn(1)
		out = t.try(at, q, q.canary, out)
	case verdict == crash.Free:
		out = t.spread(at, q, out)
	default:
		q.phase = phaseCanary
		if delay, ok := t.hedger.Delay(q.request.Index); ok && verdict == crash.Canary {
			q.spreadAt = at.Add(canaryFactor * delay)
		}
		out = t.try(at, q, q.canary, out)
	}
	return t.advance(at, q, out)
}

// spread starts an attempt on every shard that had none.
func (t *Table) spread(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	q.phase = phaseScatter
	q.spreadAt = time.Time{}
	t.budget(q.request.Customer).Earn(len(q.shards))
	for _, id := range q.shards[q.canary].open {
		a := t.attempts[id]
		a.alone = false
		t.attempts[id] = a
	}
	for i := range q.shards {
		if s := &q.shards[i]; s.number == 0 && !s.done && !s.dead {
			out = t.try(at, q, i, out)
		}
	}
	return out
}

// try starts an attempt on a shard if a replica is within its limits and the
// fingerprint may run. It does not end the query; advance does.
func (t *Table) try(at time.Time, q *query, i int, out []effect.Effect) []effect.Effect {
	s := &q.shards[i]
	s.due = time.Time{}
	s.waiting, s.lost = false, false
	fp := q.request.Fingerprint
	turn := false
	switch t.guard.Judge(at, fp) {
	case crash.Quarantined:
		q.doomed = true
		return out
	case crash.Alone:
		turn = true
	case crash.Canary:
		turn = q.phase == phaseCanary || !q.idempotent()
	default:
	}
	if turn && t.guard.Hold(at, fp) {
		q.schedule(i, at.Add(holdRetry))
		return t.prove(at, fp, out)
	}
	choice, ok := t.picker.Pick(at, q.request.Index, q.version, i, s.tried)
	if !ok && len(s.tried) > 0 {
		// After every replica was tried, each may be tried again.
		choice, ok = t.picker.Pick(at, q.request.Index, q.version, i, nil)
	}
	if !ok {
		t.park(at, q, i)
		return out
	}
	if turn && !t.guard.Enter(fp) {
		t.queueTurn(q, i)
		return out
	}
	kind := kindFirst
	switch {
	case s.number > 0:
		kind = kindRetry
	case q.phase == phaseCanary:
		kind = kindCanary
	}
	return t.send(at, q, i, choice.Upstream, kind, turn, out)
}

// send starts an attempt on an upstream.
func (t *Table) send(at time.Time, q *query, i int, u model.Upstream, kind kind, turn bool, out []effect.Effect) []effect.Effect {
	t.next++
	t.sent[kind]++
	s := &q.shards[i]
	s.number++
	s.open = append(s.open, t.next)
	s.tried = append(s.tried, u.ID)
	q.inflight++
	if kind != kindHedge && q.idempotent() {
		q.hedges = append(q.hedges, pending{shard: i, sent: at})
	}
	t.attempts[t.next] = attempt{
		request: q.request.ID, shard: i, upstream: u.ID, index: q.request.Index, version: q.version, started: at,
		fp: q.request.Fingerprint, turn: turn, alone: turn || !q.idempotent(),
	}
	t.routes.Begin(u.ID)
	timeout := q.deadline().Sub(at)
	if !q.idempotent() {
		timeout += runGrace
	}
	return append(out, effect.Send{
		Attempt: t.next, Request: q.request.ID, AttemptNumber: s.number, Upstream: u.ID, Addr: u.Addr,
		Index: q.request.Index, Version: q.version, Shard: i, Body: q.request.Body, Timeout: timeout, Key: q.request.Key,
	})
}

// advance repeats and hedges what is due, ends the query when nothing more can
// come or its time is over, and sets the timer for what is due next.
func (t *Table) advance(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	if t.queries[q.request.ID] != q {
		return out
	}
	if q.phase == phaseHolding {
		return t.hold(at, q, out)
	}
	if q.closed {
		return t.background(at, q, out)
	}
	if !at.Before(q.deadline()) {
		return t.expire(at, q, out)
	}
	if q.phase == phaseSettling || q.phase == phaseReleasing {
		return t.repropose(at, q, out)
	}
	if q.phase == phasePinning {
		return t.scatter(at, q, out)
	}
	if q.phase != phaseScatter && q.phase != phaseCanary {
		return t.wakeAt(q, q.deadline(), out)
	}
	if q.phase == phaseCanary && !q.spreadAt.IsZero() && !at.Before(q.spreadAt) {
		out = t.spread(at, q, out)
	}
	out = t.tryDue(at, q, out)
	out = t.hedgeDue(at, q, out)
	return t.conclude(at, q, out)
}

// conclude ends or restarts a query that cannot go on as it is, and sets the
// timer otherwise.
func (t *Table) conclude(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	switch {
	case q.doomed:
		return t.doom(at, q, out)
	case q.vanished && q.idempotent():
		q.vanished = false
		if version, shards, ok := t.newer(at, q); ok {
			return t.restart(at, q, version, shards, out)
		}
		if q.lost() > 0 {
			out = t.ask(at, q.request.Index, out)
		}
	case q.dead > 0 && !q.idempotent():
		return t.release(at, q, model.RefusedExhausted, "no attempt could run", out)
	}
	if q.phase == phaseCanary && q.shards[q.canary].dead {
		// Only an unknown fingerprint gets here without a strike: its canary's
		// shard has no replica, which says nothing about the request.
		if t.guard.Judge(at, q.request.Fingerprint) != crash.Alone {
			out = t.spread(at, q, out)
			return t.advance(at, q, out)
		}
		return t.expire(at, q, out)
	}
	if q.idempotent() && (q.missing() == 0 || q.reachable() < q.class.MinCoverage) {
		return t.expire(at, q, out)
	}
	return t.wakeAt(q, t.nextDue(q), out)
}

// tryDue starts the attempts whose time has come.
func (t *Table) tryDue(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	for len(q.agenda) > 0 && !q.agenda[0].at.After(at) && !q.doomed {
		e := q.agenda.pop()
		s := &q.shards[e.shard]
		if s.done || s.dead || len(s.open) > 0 || !s.due.Equal(e.at) {
			continue
		}
		out = t.try(at, q, e.shard, out)
	}
	return out
}

// nextDue is when the query has to be looked at again.
func (t *Table) nextDue(q *query) time.Time {
	due := q.deadline()
	if len(q.agenda) > 0 {
		due = earlier(due, q.agenda[0].at)
	}
	if !q.spreadAt.IsZero() {
		due = earlier(due, q.spreadAt)
	}
	if delay, ok := t.hedger.Delay(q.request.Index); ok && q.phase == phaseScatter && q.hedged < len(q.hedges) {
		hedge := q.hedges[q.hedged].sent.Add(delay)
		if q.hedgeAt.After(hedge) {
			hedge = q.hedgeAt
		}
		due = earlier(due, hedge)
	}
	return due
}

// hedgeDue repeats slow attempts on other replicas within the budget. While
// many shards are missing it waits, so that the budget goes to queries that
// miss few.
func (t *Table) hedgeDue(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	if q.phase != phaseScatter || q.hedged == len(q.hedges) || at.Before(q.hedgeAt) {
		return out
	}
	delay, ok := t.hedger.Delay(q.request.Index)
	if !ok {
		return out
	}
	for q.hedged < len(q.hedges) {
		p := q.hedges[q.hedged]
		s := &q.shards[p.shard]
		if s.done || s.dead || s.hedged || len(s.open) == 0 {
			q.hedged++
			continue
		}
		if p.sent.Add(delay).After(at) {
			return out
		}
		if q.missing() > max(1, len(q.shards)/hedgeShare) || t.budget(q.request.Customer).LeftForHedges() == 0 {
			q.hedgeAt = at.Add(max(delay/4, time.Millisecond))
			return out
		}
		q.hedged++
		if t.guard.Judge(at, q.request.Fingerprint) != crash.Free {
			continue
		}
		choice, ok := t.picker.Pick(at, q.request.Index, q.version, p.shard, s.tried)
		if !ok || !t.budget(q.request.Customer).SpendHedge() {
			continue
		}
		s.hedged = true
		out = t.send(at, q, p.shard, choice.Upstream, kindHedge, false, out)
	}
	return out
}

// newer returns the version at which a query whose snapshot vanished can start
// again, if the deadline and the budget allow it.
func (t *Table) newer(at time.Time, q *query) (version model.SnapshotVersion, shards int, ok bool) {
	if q.restarted {
		return 0, 0, false
	}
	version, shards, ok = t.routes.Pin(at, q.request.Index, q.version)
	if !ok || shards > maxShards {
		return 0, 0, false
	}
	covered, left := t.routes.Covered(at, q.request.Index, version), len(q.shards)-q.dead-q.lost()
	if covered <= float64(left)/float64(len(q.shards)) {
		return 0, 0, false
	}
	if covered < 1 && at.Before(q.lostUntil) {
		return 0, 0, false // more of the version may become known
	}
	if delay, known := t.hedger.Delay(q.request.Index); known && at.Add(delay).After(q.deadline()) {
		return 0, 0, false
	}
	// What was answered or is in flight has loaded upstreams for nothing.
	return version, shards, t.budget(q.request.Customer).Spend(q.answered + q.inflight)
}

// restart drops everything and starts the query again at a newer version.
func (t *Table) restart(at time.Time, q *query, version model.SnapshotVersion, shards int, out []effect.Effect) []effect.Effect {
	q.restarted = true
	out = t.cancelOpen(q, out)
	return t.launch(at, q, version, shards, out)
}

// cancelOpen cancels what is in flight.
func (t *Table) cancelOpen(q *query, out []effect.Effect) []effect.Effect {
	if q.inflight == 0 {
		return out
	}
	q.mayHaveRun(model.RanUnknown)
	for i := range q.shards {
		for _, id := range q.shards[i].open {
			out = append(out, effect.Cancel{Attempt: id})
		}
		q.shards[i].open = nil
	}
	q.inflight = 0
	return out
}

// Answered takes an upstream's answer.
func (t *Table) Answered(at time.Time, a event.AnswerReceived, out []effect.Effect) []effect.Effect {
	known, ok := t.attempts[a.Attempt]
	if !ok {
		return out
	}
	if a.Version != known.version || a.Shard != known.shard || a.ShardCount < 1 || a.ShardCount > maxShards {
		return t.Failed(at, event.AttemptFailed{
			Attempt: a.Attempt, Reason: model.FailedInvalid, Ran: model.RanYes, Load: a.Load, NewConn: a.NewConn,
		}, out)
	}
	delete(t.attempts, a.Attempt)
	took := at.Sub(known.started)
	t.routes.Answered(at, known.upstream, took, a.Load, a.NewConn)
	t.histogram(known.index).Add(took)
	t.guard.Answered(at, known.fp)
	if known.turn {
		t.guard.Exit(known.fp)
	}
	if q, s, ok := t.owner(known, a.Attempt); ok {
		out = t.accept(at, q, s, a, out)
	}
	out = t.wakeWaiters(at, known.upstream, out)
	out = t.wakeTurns(at, known.fp, out)
	return t.finish(at, out)
}

// accept takes the items of a shard into the query.
func (t *Table) accept(at time.Time, q *query, s *shard, a event.AnswerReceived, out []effect.Effect) []effect.Effect {
	q.mayHaveRun(model.RanYes)
	q.inflight -= len(s.open)
	for _, id := range s.open {
		if id != a.Attempt {
			out = append(out, effect.Cancel{Attempt: id})
		}
	}
	s.done, s.items, s.open = true, a.Items, nil
	q.answered++
	if !q.idempotent() {
		return t.settle(at, q, a, out)
	}
	if known := len(q.shards); a.ShardCount > known {
		// The snapshot has more shards than was known when it was pinned. An
		// upstream that states fewer does not lower the count.
		q.shards = append(q.shards, make([]shard, a.ShardCount-known)...)
		if q.phase == phaseScatter {
			t.budget(q.request.Customer).Earn(a.ShardCount - known)
			for i := known; i < a.ShardCount; i++ {
				out = t.try(at, q, i, out)
			}
		}
	}
	if q.answered == len(q.shards) {
		return t.reply(at, q, out)
	}
	if q.phase == phaseCanary {
		out = t.spread(at, q, out)
	}
	return t.advance(at, q, out)
}

// Failed takes the end of an attempt without an answer.
func (t *Table) Failed(at time.Time, f event.AttemptFailed, out []effect.Effect) []effect.Effect {
	known, ok := t.attempts[f.Attempt]
	if !ok {
		return out
	}
	delete(t.attempts, f.Attempt)
	t.routes.Failed(at, known.upstream, known.version, known.shard, at.Sub(known.started), f)
	out = append(out, effect.Count{Counter: effect.CountFailed, Reason: string(f.Reason), N: 1})
	if f.Reason == model.FailedVersion {
		out = t.ask(at, known.index, out)
	}
	if f.Reason == model.FailedShed {
		t.limiter.Shed(known.index)
	}
	struck := false
	if f.Reason == model.FailedReset && f.Ran != model.RanNo {
		if struck = t.guard.Reset(at, known.fp, known.upstream, known.alone); struck {
			out = t.probe(known.upstream, out)
		}
	}
	if known.turn {
		t.guard.Exit(known.fp)
	}
	if q, s, ok := t.owner(known, f.Attempt); ok {
		if struck {
			q.struckAt = at
		}
		q.mayHaveRun(f.Ran)
		q.inflight--
		s.open = slices.DeleteFunc(s.open, func(id model.AttemptID) bool { return id == f.Attempt })
		out = t.repeat(at, q, known.shard, f, out)
	}
	out = t.wakeWaiters(at, known.upstream, out)
	if known.turn {
		out = t.wakeTurns(at, known.fp, out)
	}
	return t.finish(at, out)
}

// repeat schedules the retry of a failed shard, if one is allowed.
func (t *Table) repeat(at time.Time, q *query, i int, f event.AttemptFailed, out []effect.Effect) []effect.Effect {
	s := &q.shards[i]
	if len(s.open) > 0 {
		return out
	}
	if !q.idempotent() && (q.closed || f.Ran != model.RanNo) {
		if f.Ran == model.RanNo {
			return t.release(at, q, model.RefusedExhausted, "no attempt could run", out)
		}
		return t.unknownOutcome(at, q, out)
	}
	budget, free := t.budget(q.request.Customer), retry.Free(f.Reason)
	allowed := s.retries < maxRetries && (free && budget.SpendFree() || !free && budget.Spend(1))
	if !allowed {
		q.kill(i)
		return t.advance(at, q, out)
	}
	s.retries++
	out = append(out, effect.Count{Counter: effect.CountRetried, Reason: string(f.Reason), N: 1})
	due := at
	if !free || s.retries > 1 {
		due = at.Add(retry.Backoff(t.random, s.retries, 0))
	}
	q.schedule(i, due)
	return t.advance(at, q, out)
}

// owner returns the query and shard that still wait for an attempt.
func (t *Table) owner(a attempt, id model.AttemptID) (*query, *shard, bool) {
	q, ok := t.queries[a.request]
	if !ok || q.version != a.version || a.shard >= len(q.shards) {
		return nil, nil, false
	}
	s := &q.shards[a.shard]
	if !slices.Contains(s.open, id) {
		return nil, nil, false
	}
	return q, s, true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
