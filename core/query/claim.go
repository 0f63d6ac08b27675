package query

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Limits of the proposals that end a claim.
const (
	claimEndTimeout  = time.Minute           // how long after the deadline an outcome or a release is still proposed
	proposalInterval = 50 * time.Millisecond // least time between two proposals
)

// claim requests the idempotency key from the ledger. No attempt starts before
// the ledger grants it.
func (t *Table) claim(q *query, out []effect.Effect) []effect.Effect {
	q.phase = phaseClaiming
	t.pendingClaims[q.request.ID] = struct{}{}
	return t.propose(q.request.ID, entry.Claim{
		Customer:    q.request.Customer,
		Key:         q.request.Key,
		Fingerprint: q.request.Fingerprint,
		Holder:      t.claimHolder(q.request.ID),
		Retention:   q.contract.Retention,
	}, q.deadline(), out)
}

// HandleProposeResponse handles the ledger's answer to a proposal.
func (t *Table) HandleProposeResponse(at time.Time, p event.ProposeResponse, out []effect.Effect) []effect.Effect {
	q, ok := t.queries[p.Request]
	switch c := p.Command.(type) {
	case entry.Claim:
		// Only the first answer counts: a repeated one must not release the
		// claim of a request that was sent meanwhile.
		if _, open := t.pendingClaims[p.Request]; !open {
			return out
		}
		delete(t.pendingClaims, p.Request)
		switch {
		case !ok || q.phase != phaseClaiming:
			if mayHoldClaim(p.Result.Status) {
				out = t.propose(p.Request, entry.Release{Customer: c.Customer, Key: c.Key, Holder: c.Holder}, at.Add(claimEndTimeout), out)
			}
		case q.detached:
			out = t.claimedAfterDetach(at, q, p.Result, out)
		default:
			out = t.startClaimed(at, q, p.Result, out)
		}
	case entry.Settle:
		if ok && q.phase == phaseSettling {
			out = t.outcomeRecorded(at, q, p.Result, out)
		}
	case entry.Release:
		if ok && q.phase == phaseReleasing {
			out = t.claimReleased(at, q, p.Result, out)
		}
	}
	return t.finish(at, out)
}

// mayHoldClaim reports whether the status of a claim means that its holder has
// the key, or may have it.
func mayHoldClaim(s entry.Status) bool {
	return s == entry.StatusOK || s == entry.StatusUnknown
}

// isUndecided reports whether the ledger may not have applied the command, so
// that it has to be proposed again.
func isUndecided(s entry.Status) bool {
	return !s.Applied()
}

// claimedAfterDetach releases a claim whose caller left before an attempt
// started.
func (t *Table) claimedAfterDetach(at time.Time, q *query, r entry.Result, out []effect.Effect) []effect.Effect {
	if mayHoldClaim(r.Status) {
		return t.releaseClaim(at, q, model.RefusedMajority, "the caller left", out)
	}
	return t.end(at, q, out)
}

// startClaimed starts or refuses a request, as the status of its claim says.
func (t *Table) startClaimed(at time.Time, q *query, r entry.Result, out []effect.Effect) []effect.Effect {
	switch r.Status {
	case entry.StatusOK:
		return t.scatter(at, q, out)
	case entry.StatusSettled:
		return t.replyRecorded(at, q, *r.Outcome, out)
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
		// The claim may commit later. No attempt was started, so it is released.
		const detail = "the ledger could not tell whether the key was claimed"
		out = t.releaseClaim(at, q, model.RefusedMajority, detail, out)
		return t.refuseAndDetach(at, q, model.RefusedMajority, detail, out)
	default:
		return t.refuse(at, q, model.RefusedMajority, "the ledger has no reachable majority", out)
	}
}

// replyRecorded answers a resent request with the recorded outcome, without
// charge.
func (t *Table) replyRecorded(at time.Time, q *query, o entry.Outcome, out []effect.Effect) []effect.Effect {
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

// recordOutcome withholds an outcome and proposes that the ledger records it.
// The caller receives it afterwards.
func (t *Table) recordOutcome(at time.Time, q *query, a event.AnswerReceived, out []effect.Effect) []effect.Effect {
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
	q.outcomeShard, q.outcomeShardCount = a.Shard, a.ShardCount
	return t.proposeClaimEnd(at, q, out)
}

// outcomeRecorded delivers the outcome if the ledger has recorded it.
func (t *Table) outcomeRecorded(at time.Time, q *query, r entry.Result, out []effect.Effect) []effect.Effect {
	switch {
	case r.Status == entry.StatusOK || r.Status == entry.StatusSettled:
		return t.deliver(at, q, *q.outcome, out)
	case isUndecided(r.Status):
		return t.setTimer(q, q.nextProposal, out)
	default:
		return t.refuse(at, q, model.RefusedPending, "the ledger did not record the outcome: "+r.Status.String(), out)
	}
}

// releaseClaim releases the claim of a request that provably did not run, and
// refuses the request afterwards.
func (t *Table) releaseClaim(at time.Time, q *query, reason model.RefusalReason, detail string, out []effect.Effect) []effect.Effect {
	if q.ran != model.RanNo || q.inFlight > 0 {
		return t.refuseUnknownOutcome(at, q, out)
	}
	q.phase, q.pendingRefusal, q.pendingDetail = phaseReleasing, reason, detail
	return t.proposeClaimEnd(at, q, out)
}

// claimReleased refuses the request after the ledger has decided on the release.
func (t *Table) claimReleased(at time.Time, q *query, r entry.Result, out []effect.Effect) []effect.Effect {
	if isUndecided(r.Status) {
		return t.setTimer(q, q.nextProposal, out)
	}
	return t.refuse(at, q, q.pendingRefusal, q.pendingDetail, out)
}

// proposeClaimEnd proposes the settlement or release of the claim. It is called
// again until the ledger decides.
func (t *Table) proposeClaimEnd(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	q.nextProposal = at.Add(proposalInterval)
	if !q.detached {
		q.phaseEnd = q.deadline().Add(claimEndTimeout)
		out = t.setTimer(q, q.deadline(), out)
	} else {
		out = t.setTimer(q, q.phaseEnd, out)
	}
	if q.phase == phaseReleasing {
		return t.propose(q.request.ID, t.releaseCommand(q), q.phaseEnd, out)
	}
	return t.propose(q.request.ID, entry.Settle{
		Customer: q.request.Customer,
		Key:      q.request.Key,
		Holder:   t.claimHolder(q.request.ID),
		Outcome: entry.Outcome{
			Snapshot: q.version, Shard: q.outcomeShard, ShardCount: q.outcomeShardCount, Items: q.outcome.Items,
			Class: q.class.Name, Price: q.class.Price,
		},
	}, q.phaseEnd, out)
}

// reproposeClaimEnd repeats a proposal that the ledger has not decided,
// proposalInterval after the previous one.
func (t *Table) reproposeClaimEnd(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	if at.Before(q.nextProposal) {
		return t.setTimer(q, q.nextProposal, out)
	}
	return t.proposeClaimEnd(at, q, out)
}

// continueDetached works on the claim of a request whose caller was refused or
// left, until the claim is settled or released, or until q.phaseEnd.
func (t *Table) continueDetached(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	switch {
	case !at.Before(q.phaseEnd):
		return t.end(at, q, out)
	case q.phase == phaseSettling || q.phase == phaseReleasing:
		return t.reproposeClaimEnd(at, q, out)
	case q.phase == phaseClaiming || q.inFlight > 0:
		return t.setTimer(q, q.phaseEnd, out)
	case q.ran == model.RanNo:
		return t.releaseClaim(at, q, model.RefusedExhausted, "no attempt could run", out)
	default:
		return t.end(at, q, out)
	}
}

// refuseUnknownOutcome refuses a request that may have run. Its claim stays, so
// that no resend runs it again. An attempt in flight is not cancelled; its
// outcome is recorded when the answer arrives.
func (t *Table) refuseUnknownOutcome(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	const detail = "the request may have run and its outcome is not known"
	if q.inFlight > 0 {
		return t.refuseAndDetach(at, q, model.RefusedPending, detail, out)
	}
	return t.refuse(at, q, model.RefusedPending, detail, out)
}

// endNonIdempotent refuses a non-idempotent request at its deadline.
func (t *Table) endNonIdempotent(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	if q.inFlight == 0 && q.ran == model.RanNo {
		out = t.releaseClaim(at, q, model.RefusedExhausted, "no attempt could run", out)
		if t.queries[q.request.ID] == q {
			out = t.refuseAndDetach(at, q, model.RefusedExhausted, "no attempt could run", out)
		}
		return out
	}
	return t.refuseUnknownOutcome(at, q, out)
}

func (t *Table) propose(id model.RequestID, c entry.Command, deadline time.Time, out []effect.Effect) []effect.Effect {
	return append(out, effect.ToControl{Body: event.ProposeRequest{Loop: t.start.Loop, Request: id, Command: c, Deadline: deadline}})
}

func (t *Table) releaseCommand(q *query) entry.Release {
	return entry.Release{Customer: q.request.Customer, Key: q.request.Key, Holder: t.claimHolder(q.request.ID)}
}

func (t *Table) claimHolder(id model.RequestID) entry.ClaimHolder {
	return entry.ClaimHolder{VM: t.start.VM.ID, ProcessStart: t.start.ProcessStart, Loop: t.start.Loop, Request: id}
}
