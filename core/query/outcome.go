package query

import (
	"time"

	"comfreypulley/core/admit"
	"comfreypulley/core/effect"
	"comfreypulley/core/model"
)

// reply answers a query, charges it and ends it.
func (t *Table) reply(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	answer := model.Answer{
		Request:  q.request.ID,
		Snapshot: q.version,
		Items:    merge(q.shards, q.request.Limit),
		Coverage: q.coverage(),
		Class:    q.class.Name,
		Price:    q.class.Price,
		Ran:      model.RanYes,
	}
	return t.deliver(at, q, answer, out)
}

// deliver sends an answer, charges it and ends the query.
func (t *Table) deliver(at time.Time, q *query, answer model.Answer, out []effect.Effect) []effect.Effect {
	out = append(out,
		effect.Reply{Answer: answer},
		effect.Charge{Request: q.request.ID, Customer: q.request.Customer, Class: q.class.Name, Price: q.class.Price, At: at},
		effect.Count{Counter: effect.CountServed, Reason: q.class.Name, N: 1},
		effect.Count{Counter: effect.CountCharged, Reason: q.request.Customer, N: q.class.Price},
	)
	return t.end(at, q, out)
}

// expire ends a query at its deadline, with a partial answer if it covers
// enough.
func (t *Table) expire(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	switch q.phase {
	case phaseQueued:
		t.gate.Abandon(q.ticket)
		return t.refuse(at, q, model.RefusedDeadline, "the request waited in the queue until its deadline", out)
	case phaseClaiming:
		return t.abandonClaim(at, q, out)
	case phaseSettling:
		return t.deliver(at, q, *q.outcome, out)
	case phaseReleasing:
		return t.refuse(at, q, q.refusal, "no attempt could run", out)
	default:
	}
	if !q.idempotent() {
		return t.expireRun(at, q, out)
	}
	if q.answered > 0 && q.coverage().Share() >= q.class.Coverage {
		return t.reply(at, q, out)
	}
	if q.open() {
		q.mayHaveRun(model.RanUnknown)
	}
	if q.ran == model.RanNo {
		return t.refuse(at, q, model.RefusedExhausted, "no attempt could run", out)
	}
	return t.refuse(at, q, model.RefusedCoverage, "the least coverage of the class was not reached", out)
}

// refuse refuses a query and ends it.
func (t *Table) refuse(at time.Time, q *query, reason model.Refusal, detail string, out []effect.Effect) []effect.Effect {
	out = t.reject(q.request.ID, reason, detail, q.ran, q.class.Wait, out)
	return t.end(at, q, out)
}

// reject refuses a request that the table does not hold.
func (t *Table) reject(id model.RequestID, reason model.Refusal, detail string, ran model.Ran, after time.Duration, out []effect.Effect) []effect.Effect {
	return append(out,
		effect.Refuse{Rejection: model.Rejection{Request: id, Reason: reason, Detail: detail, Ran: ran, After: after}},
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
	for i := range q.shards {
		for _, id := range q.shards[i].open {
			out = append(out, effect.Cancel{Attempt: id})
		}
	}
	delete(t.queries, q.request.ID)
	if !q.wake.IsZero() {
		out = append(out, effect.StopTimer{ID: timerOf(q)})
	}
	if q.phase != phaseQueued {
		started, late := t.gate.Leave(at, q.ticket, at.Sub(q.started))
		out = t.admitted(at, started, late, out)
	}
	return t.drained(out)
}

// admitted begins queued requests whose turn has come and refuses those that
// are too late.
func (t *Table) admitted(at time.Time, started, late []admit.Ticket, out []effect.Effect) []effect.Effect {
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
