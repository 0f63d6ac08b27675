package query

import (
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/retry"
)

const (
	maxRetries = 4                    // of one shard
	runGrace   = 2 * time.Second      // a non-idempotent attempt may outlive its caller, so that its outcome is recorded
	waitRetry  = 5 * time.Millisecond // a shard without any usable replica looks again
)

// begin starts an admitted query.
func (t *Table) begin(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	q.started = at
	out = t.wakeAt(q, q.deadline(), out)
	if !q.idempotent() {
		return t.claim(at, q, out)
	}
	return t.scatter(at, q, out)
}

// scatter pins a snapshot and starts an attempt on each shard.
func (t *Table) scatter(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	version, shards, ok := t.routes.Pin(at, q.request.Index)
	if !ok {
		return t.refuse(at, q, model.RefusedSnapshot, "no version of the index is known", out)
	}
	q.pin(version, shards)
	q.phase = phaseScatter
	first := 0
	last := shards
	if !q.idempotent() {
		first = q.target()
		last = first + 1
	}
	t.budget(q.request.Customer).Earn(last - first)
	for i := first; i < last; i++ {
		out = t.try(at, q, i, out)
	}
	return t.advance(at, q, out)
}

// try starts an attempt on a shard if a replica is within its limits.
func (t *Table) try(at time.Time, q *query, i int, out []effect.Effect) []effect.Effect {
	s := &q.shards[i]
	index := q.request.Index
	choice, ok := t.picker.Pick(at, index, q.version, i, s.tried)
	if !ok {
		// After every replica failed, each may be tried again.
		choice, ok = t.picker.Pick(at, index, q.version, i, t.inFlightOn(s))
	}
	if !ok {
		return t.wait(at, q, i, out)
	}
	kind := "first"
	if s.number > 0 {
		kind = "retry"
	}
	return t.send(at, q, i, choice.Upstream, kind, out)
}

// wait puts a shard into the queues of its replicas.
func (t *Table) wait(at time.Time, q *query, i int, out []effect.Effect) []effect.Effect {
	s := &q.shards[i]
	s.waiting = true
	for _, id := range t.routes.Replicas(at, q.request.Index, q.version, i, nil) {
		t.waiters[id] = append(t.waiters[id], waiter{request: q.request.ID, shard: i})
	}
	s.due = at.Add(waitRetry)
	return t.wakeAt(q, s.due, out)
}

// send starts an attempt on an upstream.
func (t *Table) send(at time.Time, q *query, i int, u model.Upstream, kind string, out []effect.Effect) []effect.Effect {
	t.next++
	s := &q.shards[i]
	s.number++
	s.sent = at
	s.waiting = false
	s.due = time.Time{}
	s.open = append(s.open, t.next)
	s.tried = append(s.tried, u.ID)
	t.attempts[t.next] = &attempt{
		request: q.request.ID, shard: i, upstream: u.ID, index: q.request.Index, version: q.version, started: at, hedge: kind == "hedge",
	}
	t.routes.Begin(u.ID)
	timeout := q.deadline().Sub(at)
	if !q.idempotent() {
		timeout += runGrace
	}
	out = append(out, effect.Count{Counter: effect.CountAttempts, Reason: kind, N: 1})
	return append(out, effect.Send{
		Attempt: t.next, Request: q.request.ID, Number: s.number, Upstream: u.ID, Addr: u.Addr,
		Index: q.request.Index, Version: q.version, Shard: i, Body: q.request.Body, Timeout: timeout, Key: q.request.Key,
	})
}

// advance hedges slow shards, repeats failed ones, and ends the query when its
// deadline has come. It sets the timer for what is due next.
func (t *Table) advance(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	if !at.Before(q.deadline()) {
		return t.expire(at, q, out)
	}
	if q.phase != phaseScatter {
		return t.wakeAt(q, q.deadline(), out)
	}
	due := q.deadline()
	delay, hedging := t.hedger.Delay(q.request.Index)
	hedging = hedging && q.idempotent()
	for i := range q.shards {
		s := &q.shards[i]
		if s.done || s.number == 0 && !s.waiting {
			continue
		}
		if len(s.open) == 0 {
			if !s.due.After(at) {
				out = t.try(at, q, i, out)
			}
			if !s.due.IsZero() && s.due.Before(due) {
				due = s.due
			}
			continue
		}
		if !hedging || s.hedged {
			continue
		}
		if hedgeAt := s.sent.Add(delay); hedgeAt.After(at) {
			due = earlier(due, hedgeAt)
			continue
		}
		out = t.hedge(at, q, i, out)
	}
	return t.wakeAt(q, due, out)
}

// hedge repeats a slow attempt on another replica within the budget.
func (t *Table) hedge(at time.Time, q *query, i int, out []effect.Effect) []effect.Effect {
	s := &q.shards[i]
	choice, ok := t.picker.Pick(at, q.request.Index, q.version, i, s.tried)
	if !ok || !t.budget(q.request.Customer).Spend() {
		return out
	}
	s.hedged = true
	return t.send(at, q, i, choice.Upstream, "hedge", out)
}

// Answered takes an upstream's answer.
func (t *Table) Answered(at time.Time, a event.Answered, out []effect.Effect) []effect.Effect {
	known, ok := t.attempts[a.Attempt]
	if !ok {
		return out
	}
	if a.Version != known.version || a.Shard != known.shard {
		return t.Failed(at, event.Failed{
			Attempt: a.Attempt, Reason: model.FailedInvalid, Ran: model.RanYes, Load: a.Load, Fresh: a.Fresh,
		}, out)
	}
	delete(t.attempts, a.Attempt)
	took := at.Sub(known.started)
	t.routes.Answered(at, known.upstream, took, a.Load, a.Fresh)
	t.histogram(known.index).Add(took)
	if q, s, ok := t.owner(known, a.Attempt); ok {
		out = t.accept(at, q, s, a, out)
	}
	return t.wakeWaiters(at, known.upstream, out)
}

// accept takes the items of a shard into the query.
func (t *Table) accept(at time.Time, q *query, s *shard, a event.Answered, out []effect.Effect) []effect.Effect {
	q.mayHaveRun(model.RanYes)
	if a.Shards > len(q.shards) {
		// The snapshot has more shards than was known when it was pinned.
		for len(q.shards) < a.Shards && q.idempotent() {
			q.shards = append(q.shards, shard{})
			out = t.try(at, q, len(q.shards)-1, out)
		}
		s = &q.shards[a.Shard]
	}
	s.done = true
	s.items = a.Items
	q.answered++
	for _, id := range s.open {
		if id != a.Attempt {
			out = append(out, effect.Cancel{Attempt: id})
		}
	}
	s.open = nil
	if !q.idempotent() {
		return t.settle(at, q, a, out)
	}
	if q.answered == len(q.shards) {
		return t.reply(at, q, out)
	}
	return out
}

// Failed takes the end of an attempt without an answer.
func (t *Table) Failed(at time.Time, f event.Failed, out []effect.Effect) []effect.Effect {
	known, ok := t.attempts[f.Attempt]
	if !ok {
		return out
	}
	delete(t.attempts, f.Attempt)
	t.routes.Failed(at, known.upstream, known.version, known.shard, f)
	out = append(out, effect.Count{Counter: effect.CountFailed, Reason: string(f.Reason), N: 1})
	if q, s, ok := t.owner(known, f.Attempt); ok {
		q.mayHaveRun(f.Ran)
		s.open = slices.DeleteFunc(s.open, func(id model.AttemptID) bool { return id == f.Attempt })
		s.last = f.Reason
		out = t.repeat(at, q, known.shard, f, out)
	}
	return t.wakeWaiters(at, known.upstream, out)
}

// repeat schedules the retry of a failed shard, if one is allowed.
func (t *Table) repeat(at time.Time, q *query, i int, f event.Failed, out []effect.Effect) []effect.Effect {
	s := &q.shards[i]
	if len(s.open) > 0 {
		return out
	}
	if !q.idempotent() && f.Ran != model.RanNo {
		return t.unknownOutcome(at, q, out)
	}
	if s.retries >= maxRetries || !retry.Free(f.Reason) && !t.budget(q.request.Customer).Spend() {
		s.due = q.deadline()
		if !q.idempotent() {
			return t.release(at, q, model.RefusedExhausted, out)
		}
		return t.giveUp(at, q, out)
	}
	s.retries++
	out = append(out, effect.Count{Counter: effect.CountRetried, Reason: string(f.Reason), N: 1})
	s.due = at
	if !retry.Free(f.Reason) || s.retries > 1 {
		s.due = at.Add(retry.Backoff(t.random, s.retries, 0))
	}
	return t.advance(at, q, out)
}

// giveUp ends a query early when no shard can make progress any more.
func (t *Table) giveUp(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	for i := range q.shards {
		s := &q.shards[i]
		if !s.done && (len(s.open) > 0 || s.due.Before(q.deadline())) {
			return out
		}
	}
	return t.expire(at, q, out)
}

// owner returns the query and shard that still wait for an attempt.
func (t *Table) owner(a *attempt, id model.AttemptID) (*query, *shard, bool) {
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

// inFlightOn lists the upstreams that a shard's open attempts are on.
func (t *Table) inFlightOn(s *shard) []model.UpstreamID {
	var ids []model.UpstreamID
	for _, id := range s.open {
		ids = append(ids, t.attempts[id].upstream)
	}
	return ids
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
