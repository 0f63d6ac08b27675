package query

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Bounds of the work on a claim after the caller was answered.
const (
	settleFor  = time.Minute           // how long an outcome or a release is tried to be recorded
	proposeGap = 50 * time.Millisecond // between two tries
)

// claim asks the ledger for the idempotency key before anything is sent.
func (t *Table) claim(q *query, out []effect.Effect) []effect.Effect {
	q.phase = phaseClaiming
	t.claims[q.request.ID] = struct{}{}
	return t.propose(q.request.ID, entry.Claim{
		Customer:    q.request.Customer,
		Key:         q.request.Key,
		Fingerprint: q.request.Fingerprint,
		Holder:      t.holder(q.request.ID),
		Retention:   q.contract.Retention,
	}, q.deadline(), out)
}

// Proposed takes the ledger's answer.
func (t *Table) Proposed(at time.Time, p event.ProposeResponse, out []effect.Effect) []effect.Effect {
	q, ok := t.queries[p.Request]
	switch c := p.Command.(type) {
	case entry.Claim:
		// A repeated answer must not release a claim whose request was sent.
		if _, open := t.claims[p.Request]; !open {
			return out
		}
		delete(t.claims, p.Request)
		switch {
		case !ok || q.phase != phaseClaiming:
			if unsettled(p.Result.Status) {
				out = t.propose(p.Request, entry.Release{Customer: c.Customer, Key: c.Key, Holder: c.Holder}, at.Add(settleFor), out)
			}
		case q.closed:
			out = t.claimedLate(at, q, p.Result, out)
		default:
			out = t.claimed(at, q, p.Result, out)
		}
	case entry.Settle:
		if ok && q.phase == phaseSettling {
			out = t.settled(at, q, p.Result, out)
		}
	case entry.Release:
		if ok && q.phase == phaseReleasing {
			out = t.released(at, q, p.Result, out)
		}
	}
	return t.finish(at, out)
}

// unsettled reports whether a claim with this status is or may be held.
func unsettled(s entry.Status) bool {
	return s == entry.StatusOK || s == entry.StatusUnknown
}

// undecided reports whether a command with this status may be proposed again.
func undecided(s entry.Status) bool {
	return !s.Applied()
}

// claimedLate gives back a claim whose caller left before anything was sent.
func (t *Table) claimedLate(at time.Time, q *query, r entry.Result, out []effect.Effect) []effect.Effect {
	if unsettled(r.Status) {
		return t.release(at, q, model.RefusedMajority, "the caller left", out)
	}
	return t.end(at, q, out)
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
		// The claim may commit later. Nothing was sent, so it is given back.
		const detail = "the ledger could not tell whether the key was claimed"
		out = t.release(at, q, model.RefusedMajority, detail, out)
		return t.refuseOpen(at, q, model.RefusedMajority, detail, out)
	default:
		return t.refuse(at, q, model.RefusedMajority, "the ledger has no reachable majority", out)
	}
}

// replay answers a resend with the recorded outcome. It is not charged again.
func (t *Table) replay(at time.Time, q *query, o entry.Outcome, out []effect.Effect) []effect.Effect {
	out = append(out, effect.SendAnswer{Answer: model.Answer{
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
func (t *Table) settle(at time.Time, q *query, a event.AnswerReceived, out []effect.Effect) []effect.Effect {
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
	q.recordShard, q.recordShards = a.Shard, a.ShardCount
	return t.record(at, q, out)
}

// settled delivers a recorded outcome.
func (t *Table) settled(at time.Time, q *query, r entry.Result, out []effect.Effect) []effect.Effect {
	switch {
	case r.Status == entry.StatusOK || r.Status == entry.StatusSettled:
		return t.deliver(at, q, *q.outcome, out)
	case undecided(r.Status):
		return t.wakeAt(q, q.proposeAt, out)
	default:
		return t.refuse(at, q, model.RefusedPending, "the ledger did not record the outcome: "+r.Status.String(), out)
	}
}

// release gives the claim back after the request provably did not run.
func (t *Table) release(at time.Time, q *query, reason model.RefusalReason, detail string, out []effect.Effect) []effect.Effect {
	if q.ran != model.RanNo || q.inflight > 0 {
		return t.unknownOutcome(at, q, out)
	}
	q.phase, q.refusal, q.detail = phaseReleasing, reason, detail
	return t.record(at, q, out)
}

// released refuses a request whose claim was given back.
func (t *Table) released(at time.Time, q *query, r entry.Result, out []effect.Effect) []effect.Effect {
	if undecided(r.Status) {
		return t.wakeAt(q, q.proposeAt, out)
	}
	return t.refuse(at, q, q.refusal, q.detail, out)
}

// record proposes the end of the claim. The proposal is repeated until the
// ledger decides.
func (t *Table) record(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	q.proposeAt = at.Add(proposeGap)
	if !q.closed {
		q.until = q.deadline().Add(settleFor)
		out = t.wakeAt(q, q.deadline(), out)
	} else {
		out = t.wakeAt(q, q.until, out)
	}
	if q.phase == phaseReleasing {
		return t.propose(q.request.ID, t.releaseOf(q), q.until, out)
	}
	return t.propose(q.request.ID, entry.Settle{
		Customer: q.request.Customer,
		Key:      q.request.Key,
		Holder:   t.holder(q.request.ID),
		Outcome: entry.Outcome{
			Snapshot: q.version, Shard: q.recordShard, ShardCount: q.recordShards, Items: q.outcome.Items,
			Class: q.class.Name, Price: q.class.Price,
		},
	}, q.until, out)
}

// repropose repeats the proposal that the ledger did not decide.
func (t *Table) repropose(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	if at.Before(q.proposeAt) {
		return t.wakeAt(q, q.proposeAt, out)
	}
	return t.record(at, q, out)
}

// background goes on with a request whose caller was answered or left, until
// its claim is settled or released.
func (t *Table) background(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	switch {
	case !at.Before(q.until):
		return t.end(at, q, out)
	case q.phase == phaseSettling || q.phase == phaseReleasing:
		return t.repropose(at, q, out)
	case q.phase == phaseClaiming || q.inflight > 0:
		return t.wakeAt(q, q.until, out)
	case q.ran == model.RanNo:
		return t.release(at, q, model.RefusedExhausted, "no attempt could run", out)
	default:
		return t.end(at, q, out)
	}
}

// unknownOutcome answers a request that may have run. Its claim stays, so that
// no resend runs it again. An attempt in flight goes on, and its outcome is
// recorded when it comes.
func (t *Table) unknownOutcome(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	const detail = "the request may have run and its outcome is not known"
	if q.inflight > 0 {
		return t.refuseOpen(at, q, model.RefusedPending, detail, out)
	}
	return t.refuse(at, q, model.RefusedPending, detail, out)
}

// expireRun answers a non-idempotent request at its deadline.
func (t *Table) expireRun(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	if q.inflight == 0 && q.ran == model.RanNo {
		out = t.release(at, q, model.RefusedExhausted, "no attempt could run", out)
		if t.queries[q.request.ID] == q {
			out = t.refuseOpen(at, q, model.RefusedExhausted, "no attempt could run", out)
		}
		return out
	}
	return t.unknownOutcome(at, q, out)
}

func (t *Table) propose(id model.RequestID, c entry.Command, until time.Time, out []effect.Effect) []effect.Effect {
	return append(out, effect.ToControl{Body: event.ProposeRequest{Loop: t.start.Loop, Request: id, Command: c, Deadline: until}})
}

func (t *Table) releaseOf(q *query) entry.Release {
	return entry.Release{Customer: q.request.Customer, Key: q.request.Key, Holder: t.holder(q.request.ID)}
}

func (t *Table) holder(id model.RequestID) entry.Holder {
	return entry.Holder{VM: t.start.VM.ID, ProcessStart: t.start.ProcessStart, Loop: t.start.Loop, Request: id}
}
