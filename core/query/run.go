package query

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// settleFor bounds how long the control state tries to record an outcome or a
// release after the caller was answered.
const settleFor = time.Minute

// claim asks the ledger for the idempotency key before anything is sent.
func (t *Table) claim(_ time.Time, q *query, out []effect.Effect) []effect.Effect {
	q.phase = phaseClaiming
	return t.propose(q, entry.Claim{
		Customer:    q.request.Customer,
		Key:         q.request.Key,
		Fingerprint: q.request.Fingerprint,
		Holder:      t.holder(q.request.ID),
		Retention:   q.contract.Retention,
	}, q.deadline(), out)
}

// abandonClaim gives up waiting for the ledger. Nothing was sent, so the
// request did not run; the claim is released in case it commits later.
func (t *Table) abandonClaim(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	out = t.propose(q, t.releaseOf(q), at.Add(settleFor), out)
	return t.refuse(at, q, model.RefusedMajority, "the ledger did not answer in time", out)
}

// Proposed takes the ledger's answer.
func (t *Table) Proposed(at time.Time, p event.Proposed, out []effect.Effect) []effect.Effect {
	q, ok := t.queries[p.Request]
	if !ok {
		return out
	}
	switch p.Command.(type) {
	case entry.Claim:
		if q.phase == phaseClaiming {
			return t.claimed(at, q, p.Result, out)
		}
	case entry.Settle:
		if q.phase == phaseSettling {
			return t.deliver(at, q, *q.outcome, out)
		}
	case entry.Release:
		if q.phase == phaseReleasing {
			return t.refuse(at, q, q.refusal, "no attempt could run", out)
		}
	}
	return out
}

// claimed goes on with a request after its claim was decided.
func (t *Table) claimed(at time.Time, q *query, r entry.Result, out []effect.Effect) []effect.Effect {
	switch r.Status {
	case entry.StatusOK:
		return t.scatter(at, q, out)
	case entry.StatusSettled:
		return t.replay(at, q, *r.Outcome, out)
	case entry.StatusPending:
		q.ran = model.RanUnknown
		return t.refuse(at, q, model.RefusedPending, "the key is claimed and its outcome is not known", out)
	case entry.StatusConflict:
		return t.refuse(at, q, model.RefusedConflict, "the key was used with another body", out)
	case entry.StatusExpired:
		q.ran = model.RanUnknown
		return t.refuse(at, q, model.RefusedExpired, "the key is older than the contract's retention", out)
	case entry.StatusInvalid:
		return t.refuse(at, q, model.RefusedInvalid, r.Detail, out)
	case entry.StatusUnknown:
		return t.abandonClaim(at, q, out)
	default:
		return t.refuse(at, q, model.RefusedMajority, "the ledger has no reachable majority", out)
	}
}

// replay answers a resend with the recorded outcome. It is not charged again.
func (t *Table) replay(at time.Time, q *query, o entry.Outcome, out []effect.Effect) []effect.Effect {
	out = append(out, effect.Reply{Answer: model.Answer{
		Request:  q.request.ID,
		Snapshot: o.Snapshot,
		Items:    o.Items,
		Coverage: model.Coverage{Answered: 1, Total: 1},
		Class:    o.Class,
		Price:    o.Price,
		Ran:      model.RanYes,
	}})
	return t.end(at, q, out)
}

// settle records the outcome before the caller gets it.
func (t *Table) settle(at time.Time, q *query, a event.Answered, out []effect.Effect) []effect.Effect {
	q.phase = phaseSettling
	q.outcome = &model.Answer{
		Request:  q.request.ID,
		Snapshot: q.version,
		Items:    a.Items,
		Coverage: model.Coverage{Answered: 1, Total: 1},
		Class:    q.class.Name,
		Price:    q.class.Price,
		Ran:      model.RanYes,
	}
	return t.propose(q, entry.Settle{
		Customer: q.request.Customer,
		Key:      q.request.Key,
		Holder:   t.holder(q.request.ID),
		Outcome: entry.Outcome{
			Snapshot: q.version, Shard: a.Shard, Shards: a.Shards, Items: a.Items, Class: q.class.Name, Price: q.class.Price,
		},
	}, at.Add(settleFor), out)
}

// release gives the claim back after the request provably did not run.
func (t *Table) release(at time.Time, q *query, reason model.Refusal, out []effect.Effect) []effect.Effect {
	q.phase = phaseReleasing
	q.refusal = reason
	return t.propose(q, t.releaseOf(q), at.Add(settleFor), out)
}

// unknownOutcome ends a request that may have run. Its claim stays, so that no
// resend runs it again.
func (t *Table) unknownOutcome(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	return t.refuse(at, q, model.RefusedPending, "the upstream failed while it may have run the request", out)
}

// expireRun answers a non-idempotent request at its deadline. An attempt in
// flight goes on, and its outcome is recorded when it comes.
func (t *Table) expireRun(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	if !q.open() {
		if q.ran == model.RanNo {
			out = t.propose(q, t.releaseOf(q), at.Add(settleFor), out)
			return t.refuse(at, q, model.RefusedExhausted, "no attempt could run", out)
		}
		return t.unknownOutcome(at, q, out)
	}
	q.mayHaveRun(model.RanUnknown)
	return t.unknownOutcome(at, q, out)
}

func (t *Table) propose(q *query, c entry.Command, until time.Time, out []effect.Effect) []effect.Effect {
	return append(out, effect.ToControl{Body: event.Propose{
		Loop: t.start.Loop, Request: q.request.ID, Command: c, Until: until,
	}})
}

func (t *Table) releaseOf(q *query) entry.Release {
	return entry.Release{Customer: q.request.Customer, Key: q.request.Key, Holder: t.holder(q.request.ID)}
}

func (t *Table) holder(id model.RequestID) entry.Holder {
	return entry.Holder{VM: t.start.VM.ID, Start: t.start.Began, Loop: t.start.Loop, Request: id}
}
