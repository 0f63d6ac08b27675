package query

import (
	"time"

	"comfreypulley/core/admit"
	"comfreypulley/core/crash"
	"comfreypulley/core/effect"
	"comfreypulley/core/model"
)

// shareDelay holds back the refusal of a request that crashed an upstream. The
// strike then reaches the other VMs before the caller can send the request
// again through one of them.
const shareDelay = 100 * time.Millisecond

// reply answers a query, charges it and ends it.
func (t *Table) reply(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	answer := model.Answer{
		Request:  q.request.ID,
		Snapshot: q.version,
		Items:    merge(q.shards, q.request.MaxItems),
		Coverage: q.coverage(),
		Class:    q.class.Name,
		Price:    q.class.Price,
		Ran:      model.RanYes,
	}
	return t.deliver(at, q, answer, out)
}

// deliver sends an answer, charges it and ends the query. A caller that was
// answered before gets and pays nothing.
func (t *Table) deliver(at time.Time, q *query, answer model.Answer, out []effect.Effect) []effect.Effect {
	if !q.closed {
		out = append(out,
			effect.SendAnswer{Answer: answer},
			effect.Charge{Request: q.request.ID, Customer: q.request.Customer, Class: q.class.Name, Price: q.class.Price, At: at},
			effect.Count{Counter: effect.CountServed, Reason: q.class.Name, N: 1},
			effect.Count{Counter: effect.CountCharged, Reason: q.request.Customer, N: q.class.Price},
		)
	}
	q.served = true
	return t.end(at, q, out)
}

// expire ends a query at its deadline, or earlier when nothing more can come,
// with a partial answer if it covers enough.
func (t *Table) expire(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	switch q.phase {
	case phaseQueued:
		t.gate.Abandon(q.ticket)
		return t.refuse(at, q, model.RefusedDeadline, "the request waited in the queue until its deadline", out)
	case phasePinning:
		return t.refuse(at, q, model.RefusedSnapshot, "no version of the index became known in time", out)
	case phaseClaiming:
		return t.refuseOpen(at, q, model.RefusedMajority, "the ledger did not answer in time", out)
	case phaseSettling:
		q.mayHaveRun(model.RanYes)
		return t.refuseOpen(at, q, model.RefusedPending, "the outcome could not be recorded in time", out)
	case phaseReleasing:
		return t.refuseOpen(at, q, model.RefusedMajority, "the claim could not be released in time", out)
	default:
	}
	if !q.idempotent() {
		return t.expireRun(at, q, out)
	}
	if !at.Before(q.deadline()) && !t.silenced(q) {
		t.limiter.Missed(q.request.Index)
	}
	if q.answered > 0 && q.share() >= q.class.MinCoverage {
		return t.reply(at, q, out)
	}
	if q.stated() == model.RanNo {
		return t.refuse(at, q, model.RefusedExhausted, "no attempt could run", out)
	}
	return t.refuse(at, q, model.RefusedCoverage, "the least coverage of the class was not reached", out)
}

// silenced reports whether a missing shard waits for an upstream that said
// nothing since the attempt was sent. Such an upstream is cut off or dead, and
// sending it fewer queries would not help.
func (t *Table) silenced(q *query) bool {
	for i := range q.shards {
		for _, id := range q.shards[i].open {
			if a := t.attempts[id]; t.routes.Silent(a.upstream, a.started) {
				return true
			}
		}
	}
	return false
}

// doom ends a query whose fingerprint was quarantined.
func (t *Table) doom(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	const detail = "the request crashed upstreams that ran it"
	if !q.idempotent() && q.ran == model.RanNo && q.inflight == 0 {
		return t.release(at, q, model.RefusedQuarantine, detail, out)
	}
	if !q.idempotent() {
		return t.unknownOutcome(at, q, out)
	}
	return t.refuse(at, q, model.RefusedQuarantine, detail, out)
}

// refuse refuses a query and ends it. The refusal of one that crashed an
// upstream is held back until the strike is shared.
func (t *Table) refuse(at time.Time, q *query, reason model.RefusalReason, detail string, out []effect.Effect) []effect.Effect {
	if until := q.struckAt.Add(shareDelay); !q.closed && !q.struckAt.IsZero() && at.Before(until) {
		if v := t.guard.Judge(at, q.request.Fingerprint); v == crash.Alone || v == crash.Quarantined {
			q.phase, q.refusal, q.detail, q.until = phaseHolding, reason, detail, until
			out = t.cancelOpen(q, out)
			return t.wakeAt(q, earlier(until, at.Add(holdRetry)), out)
		}
	}
	if !q.closed {
		out = t.reject(q.request.ID, reason, detail, q.stated(), q.class.Wait, out)
	}
	return t.end(at, q, out)
}

// hold refuses a query once its strikes are confirmed, or have expired, and are
// shared. Until then a resend through another VM could crash another upstream.
func (t *Table) hold(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	fp := q.request.Fingerprint
	if len(t.guard.Unproven(at, fp)) > 0 {
		q.until = at.Add(shareDelay)
		out = t.prove(at, fp, out)
		return t.wakeAt(q, at.Add(holdRetry), out)
	}
	if !at.Before(q.until) {
		return t.refuse(at, q, q.refusal, q.detail, out)
	}
	return t.wakeAt(q, q.until, out)
}

// prove probes the upstreams whose strikes are not confirmed.
func (t *Table) prove(at time.Time, fp model.Fingerprint, out []effect.Effect) []effect.Effect {
	for _, id := range t.guard.Unproven(at, fp) {
		out = t.probe(id, out)
	}
	return out
}

// refuseOpen refuses a non-idempotent query but keeps it until its claim is
// settled or released.
func (t *Table) refuseOpen(at time.Time, q *query, reason model.RefusalReason, detail string, out []effect.Effect) []effect.Effect {
	if !q.closed {
		out = t.reject(q.request.ID, reason, detail, q.stated(), q.class.Wait, out)
	}
	return t.close(at, q, out)
}

// close keeps a query without its caller. It no longer counts against the
// contract's concurrency.
func (t *Table) close(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	if !q.closed {
		q.closed = true
		q.until = q.deadline().Add(settleFor)
	}
	out = t.leave(at, q, out)
	return t.background(at, q, out)
}

// reject refuses a request that the table does not hold.
func (t *Table) reject(id model.RequestID, reason model.RefusalReason, detail string, ran model.Ran, after time.Duration, out []effect.Effect) []effect.Effect {
	return append(out,
		effect.Refuse{Rejection: model.Rejection{Request: id, Reason: reason, Detail: detail, Ran: ran, RetryAfter: after}},
		effect.Count{Counter: effect.CountRefused, Reason: string(reason), N: 1},
	)
}

// drop ends a query whose caller left.
func (t *Table) drop(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	if q.phase == phaseQueued {
		t.gate.Abandon(q.ticket)
	}
	return t.end(at, q, out)
}

// end cancels what is in flight and starts the next queued requests.
func (t *Table) end(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	out = t.cancelOpen(q, out)
	delete(t.queries, q.request.ID)
	if !q.wake.IsZero() {
		out = append(out, effect.StopTimer{ID: timerOf(q)})
	}
	return t.leave(at, q, out)
}

// leave gives the place in the gate to the next requests.
func (t *Table) leave(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	if !q.admitted {
		return out
	}
	q.admitted = false
	took := time.Duration(0)
	if q.served && at.Before(q.deadline()) {
		took = at.Sub(q.started)
	}
	started, late := t.gate.Leave(at, q.ticket, took)
	return t.enter(at, started, late, out)
}

// enter begins queued requests whose turn has come and refuses those that are
// too late.
func (t *Table) enter(at time.Time, started, late []admit.Ticket, out []effect.Effect) []effect.Effect {
	for _, ticket := range late {
		if q, ok := t.queries[ticket.Request]; ok {
			out = t.refuse(at, q, model.RefusedDeadline, "the deadline cannot be met any more", out)
		}
	}
	for _, ticket := range started {
		if q, ok := t.queries[ticket.Request]; ok {
			out = t.begin(at, q, out)
		}
	}
	return out
}
