package query

import (
	"time"

	"comfreypulley/core/admit"
	"comfreypulley/core/crash"
	"comfreypulley/core/effect"
	"comfreypulley/core/model"
)

// strikeShareDelay is how long the refusal of a request that may have crashed an
// upstream is delayed. The other VMs then receive the strike before the caller
// can resend the request through one of them.
const strikeShareDelay = 100 * time.Millisecond

// replyMerged answers an idempotent query with the items received so far and
// ends it.
func (t *Table) replyMerged(at time.Time, q *query, out []effect.Effect) []effect.Effect {
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

// deliver sends an answer to the caller, charges for it and ends the query. If
// the caller was refused before or has left, nothing is sent or charged.
func (t *Table) deliver(at time.Time, q *query, answer model.Answer, out []effect.Effect) []effect.Effect {
	if !q.detached {
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

// endIncomplete ends a query at its deadline, or earlier when no further answer
// can arrive. The caller receives a partial answer if that reaches the class's
// minimum coverage, and a refusal otherwise.
func (t *Table) endIncomplete(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	switch q.phase {
	case phaseQueued:
		t.gate.Remove(q.ticket)
		return t.refuse(at, q, model.RefusedDeadline, "the request waited in the queue until its deadline", out)
	case phaseAwaitingVersion:
		return t.refuse(at, q, model.RefusedSnapshot, "no version of the index became known in time", out)
	case phaseClaiming:
		return t.refuseAndDetach(at, q, model.RefusedMajority, "the ledger did not answer in time", out)
	case phaseSettling:
		q.recordRan(model.RanYes)
		return t.refuseAndDetach(at, q, model.RefusedPending, "the outcome could not be recorded in time", out)
	case phaseReleasing:
		return t.refuseAndDetach(at, q, model.RefusedMajority, "the claim could not be released in time", out)
	default:
	}
	if !q.idempotent() {
		return t.endNonIdempotent(at, q, out)
	}
	if !at.Before(q.deadline()) && !t.waitsForSilentUpstream(q) {
		t.limiter.RecordMissedDeadline(q.request.Index)
	}
	if q.answered > 0 && q.answeredFraction() >= q.class.MinCoverage {
		return t.replyMerged(at, q, out)
	}
	if q.ranForCaller() == model.RanNo {
		return t.refuse(at, q, model.RefusedExhausted, "no attempt could run", out)
	}
	return t.refuse(at, q, model.RefusedCoverage, "the least coverage of the class was not reached", out)
}

// waitsForSilentUpstream reports whether an attempt in flight is on an upstream
// that has neither answered nor reported anything since the attempt was sent.
// Such an upstream is unreachable or dead rather than overloaded, and a lower
// rate of queries would not help.
func (t *Table) waitsForSilentUpstream(q *query) bool {
	for i := range q.shards {
		for _, id := range q.shards[i].openAttempts {
			if a := t.attempts[id]; t.balancer.SilentSince(a.upstream, a.started) {
				return true
			}
		}
	}
	return false
}

// refuseQuarantined refuses a query whose fingerprint was quarantined while it
// ran.
func (t *Table) refuseQuarantined(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	const detail = "the request crashed upstreams that ran it"
	if !q.idempotent() && q.ran == model.RanNo && q.inFlight == 0 {
		return t.releaseClaim(at, q, model.RefusedQuarantine, detail, out)
	}
	if !q.idempotent() {
		return t.refuseUnknownOutcome(at, q, out)
	}
	return t.refuse(at, q, model.RefusedQuarantine, detail, out)
}

// refuse refuses a query and ends it. If the query may have crashed an
// upstream, the refusal is delayed until the other VMs know of the strike.
func (t *Table) refuse(at time.Time, q *query, reason model.RefusalReason, detail string, out []effect.Effect) []effect.Effect {
	if until := q.lastStrike.Add(strikeShareDelay); !q.detached && !q.lastStrike.IsZero() && at.Before(until) {
		if v := t.guard.Verdict(at, q.request.Fingerprint); v == crash.OneAtATime || v == crash.Quarantined {
			q.phase, q.pendingRefusal, q.pendingDetail, q.phaseEnd = phaseRefusalDelayed, reason, detail, until
			out = t.cancelAttempts(q, out)
			return t.setTimer(q, model.Earlier(until, at.Add(strikeProbeInterval)), out)
		}
	}
	if !q.detached {
		out = t.emitRefusal(q.request.ID, reason, detail, q.ranForCaller(), q.class.Wait, out)
	}
	return t.end(at, q, out)
}

// advanceDelayedRefusal sends a delayed refusal once every strike of the query
// is confirmed or has expired, and the confirmed ones have had time to reach
// the other VMs. Earlier, a resend through another VM could crash another
// upstream.
func (t *Table) advanceDelayedRefusal(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	fp := q.request.Fingerprint
	if len(t.guard.Unconfirmed(at, fp)) > 0 {
		q.phaseEnd = at.Add(strikeShareDelay)
		out = t.probeUnconfirmed(at, fp, out)
		return t.setTimer(q, at.Add(strikeProbeInterval), out)
	}
	if !at.Before(q.phaseEnd) {
		return t.refuse(at, q, q.pendingRefusal, q.pendingDetail, out)
	}
	return t.setTimer(q, q.phaseEnd, out)
}

// probeUnconfirmed probes the upstreams of the fingerprint's unconfirmed
// strikes.
func (t *Table) probeUnconfirmed(at time.Time, fp model.Fingerprint, out []effect.Effect) []effect.Effect {
	for _, id := range t.guard.Unconfirmed(at, fp) {
		out = t.probe(id, out)
	}
	return out
}

// refuseAndDetach refuses a non-idempotent query, but keeps it in the table
// until its claim is settled or released.
func (t *Table) refuseAndDetach(at time.Time, q *query, reason model.RefusalReason, detail string, out []effect.Effect) []effect.Effect {
	if !q.detached {
		out = t.emitRefusal(q.request.ID, reason, detail, q.ranForCaller(), q.class.Wait, out)
	}
	return t.close(at, q, out)
}

// close detaches a non-idempotent query from its caller, who was refused or
// left, and keeps it in the table for its claim. The query no longer counts
// against the contract's concurrency.
func (t *Table) close(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	if !q.detached {
		q.detached = true
		q.phaseEnd = q.deadline().Add(claimEndTimeout)
	}
	out = t.leaveGate(at, q, out)
	return t.continueDetached(at, q, out)
}

// emitRefusal appends the refusal of a request and its counter. It changes no
// query.
func (t *Table) emitRefusal(
	id model.RequestID, reason model.RefusalReason, detail string, ran model.Ran, retryAfter time.Duration, out []effect.Effect,
) []effect.Effect {
	return append(out,
		effect.Refuse{Refusal: model.Refusal{Request: id, Reason: reason, Detail: detail, Ran: ran, RetryAfter: retryAfter}},
		effect.Count{Counter: effect.CountRefused, Reason: string(reason), N: 1},
	)
}

// endDisconnected ends a query whose caller has left.
func (t *Table) endDisconnected(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	if q.phase == phaseQueued {
		t.gate.Remove(q.ticket)
	}
	return t.end(at, q, out)
}

// end cancels the query's attempts, removes it from the table and starts the
// queued requests that fit now.
func (t *Table) end(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	out = t.cancelAttempts(q, out)
	delete(t.queries, q.request.ID)
	if !q.timerAt.IsZero() {
		out = append(out, effect.StopTimer{ID: queryTimer(q)})
	}
	return t.leaveGate(at, q, out)
}

// leaveGate gives up the query's admission, which lets queued requests start.
func (t *Table) leaveGate(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	if !q.admitted {
		return out
	}
	q.admitted = false
	took := time.Duration(0)
	if q.served && at.Before(q.deadline()) {
		took = at.Sub(q.started)
	}
	started, late := t.gate.Finish(at, q.ticket, took)
	return t.startQueued(at, started, late, out)
}

// startQueued starts the queued requests that the gate admits and refuses those
// that can no longer meet their deadline.
func (t *Table) startQueued(at time.Time, started, late []admit.Query, out []effect.Effect) []effect.Effect {
	for _, ticket := range late {
		if q, ok := t.queries[ticket.ID]; ok {
			out = t.refuse(at, q, model.RefusedDeadline, "the deadline cannot be met any more", out)
		}
	}
	for _, ticket := range started {
		if q, ok := t.queries[ticket.ID]; ok {
			out = t.begin(at, q, out)
		}
	}
	return out
}
