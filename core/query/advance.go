package query

import (
	"time"

	"comfreypulley/core/crash"
	"comfreypulley/core/effect"
	"comfreypulley/core/model"
)

// hedgeMissingDivisor bounds hedging: hedges start only while no more than 1/8 of
// the shards, or a single one, are missing.
const hedgeMissingDivisor = 8

// advance does whatever is due for a query in its phase: it starts scheduled
// attempts and hedges, repeats proposals, or ends the query. It sets the timer
// for what is due next.
func (t *Table) advance(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	if t.queries[q.request.ID] != q {
		return out
	}
	if q.phase == phaseRefusalDelayed {
		return t.advanceDelayedRefusal(at, q, out)
	}
	if q.detached {
		return t.continueDetached(at, q, out)
	}
	if !at.Before(q.deadline()) {
		return t.endIncomplete(at, q, out)
	}
	if q.phase == phaseSettling || q.phase == phaseReleasing {
		return t.reproposeClaimEnd(at, q, out)
	}
	if q.phase == phaseAwaitingVersion {
		return t.scatter(at, q, out)
	}
	if q.phase != phaseScatter && q.phase != phaseCanary {
		return t.setTimer(q, q.deadline(), out)
	}
	if q.phase == phaseCanary && !q.canaryDeadline.IsZero() && !at.Before(q.canaryDeadline) {
		out = t.handleSlowCanary(at, q, out)
	}
	out = t.startScheduled(at, q, out)
	out = t.startHedges(at, q, out)
	return t.endOrWait(at, q, out)
}

// endOrWait ends or restarts a query whose attempts cannot lead to a sufficient
// answer, and sets the timer otherwise.
func (t *Table) endOrWait(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	switch {
	case q.quarantined:
		return t.refuseQuarantined(at, q, out)
	case q.holderMissing && q.idempotent():
		q.holderMissing = false
		if version, shards, ok := t.newerSnapshot(at, q); ok {
			return t.restart(at, q, version, shards, out)
		}
		if q.shardsWithoutHolder() > 0 {
			out = t.probeIndex(at, q.request.Index, out)
		}
	case q.abandoned > 0 && !q.idempotent():
		return t.releaseClaim(at, q, model.RefusedExhausted, "no attempt could run", out)
	}
	if q.phase == phaseCanary && q.shards[q.canaryShard].abandoned {
		// Without a suspicion against the fingerprint, the canary failed because
		// its shard has no replica, which says nothing about the request.
		if t.guard.Verdict(at, q.request.Fingerprint) != crash.OneAtATime {
			out = t.startRemaining(at, q, out)
			return t.advance(at, q, out)
		}
		return t.endIncomplete(at, q, out)
	}
	if q.idempotent() && (q.missingShards() == 0 || q.reachableFraction() < q.class.MinCoverage) {
		return t.endIncomplete(at, q, out)
	}
	return t.setTimer(q, t.nextTimer(q), out)
}

// startScheduled starts the scheduled attempts that are due.
func (t *Table) startScheduled(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	for len(q.scheduled) > 0 && !q.scheduled[0].at.After(at) && !q.quarantined {
		due := q.scheduled.pop()
		s := &q.shards[due.shard]
		if s.done || s.abandoned || len(s.openAttempts) > 0 || !s.nextAttempt.Equal(due.at) {
			continue
		}
		out = t.tryShard(at, q, due.shard, out)
	}
	return out
}

// nextTimer is when advance has to be called again.
func (t *Table) nextTimer(q *query) time.Time {
	due := q.deadline()
	if len(q.scheduled) > 0 {
		due = model.Earlier(due, q.scheduled[0].at)
	}
	if !q.canaryDeadline.IsZero() {
		due = model.Earlier(due, q.canaryDeadline)
	}
	if delay, ok := t.hedger.Delay(q.request.Index); ok && q.phase == phaseScatter && q.nextHedge < len(q.hedgeCandidates) {
		hedge := q.hedgeCandidates[q.nextHedge].sent.Add(delay)
		if q.noHedgeBefore.After(hedge) {
			hedge = q.noHedgeBefore
		}
		due = model.Earlier(due, hedge)
	}
	return due
}

// startHedges hedges slow attempts on other replicas within the budget. While
// many shards are missing it starts none, so that the budget is left for
// queries that miss only a few.
func (t *Table) startHedges(at time.Time, q *query, out []effect.Effect) []effect.Effect {
	if q.phase != phaseScatter || q.nextHedge == len(q.hedgeCandidates) || at.Before(q.noHedgeBefore) {
		return out
	}
	delay, ok := t.hedger.Delay(q.request.Index)
	if !ok {
		return out
	}
	for q.nextHedge < len(q.hedgeCandidates) {
		candidate := q.hedgeCandidates[q.nextHedge]
		s := &q.shards[candidate.shard]
		if s.done || s.abandoned || s.hedged || len(s.openAttempts) == 0 {
			q.nextHedge++
			continue
		}
		if candidate.sent.Add(delay).After(at) {
			return out
		}
		if q.missingShards() > max(1, len(q.shards)/hedgeMissingDivisor) || t.budget(q.request.Customer).LeftForHedges() == 0 {
			q.noHedgeBefore = at.Add(max(delay/4, time.Millisecond))
			return out
		}
		q.nextHedge++
		if t.guard.Verdict(at, q.request.Fingerprint) != crash.Unrestricted {
			continue
		}
		choice, ok := t.picker.Pick(at, q.request.Index, q.version, candidate.shard, s.tried)
		if !ok || !t.budget(q.request.Customer).SpendHedge() {
			continue
		}
		s.hedged = true
		out = t.startAttempt(at, q, candidate.shard, choice.Upstream, kindHedge, false, out)
	}
	return out
}

// newerSnapshot returns a newer version at which a query can restart that found
// shards without a holder at its pinned version, if the coverage, the deadline
// and the budget allow it.
func (t *Table) newerSnapshot(at time.Time, q *query) (version model.SnapshotVersion, shards int, ok bool) {
	if q.restarted {
		return 0, 0, false
	}
	version, shards, ok = t.balancer.SelectVersion(at, q.request.Index, q.version)
	if !ok || shards > maxShards {
		return 0, 0, false
	}
	covered, reachableShards := t.balancer.CoveredFraction(at, q.request.Index, version), len(q.shards)-q.abandoned-q.shardsWithoutHolder()
	if covered <= float64(reachableShards)/float64(len(q.shards)) {
		return 0, 0, false
	}
	if covered < 1 && at.Before(q.holderDeadline) {
		return 0, 0, false // reports may still add shards of the version
	}
	if delay, known := t.hedger.Delay(q.request.Index); known && at.Add(delay).After(q.deadline()) {
		return 0, 0, false
	}
	// The restart repeats the attempts that were answered or are in flight, so
	// they are charged to the budget.
	return version, shards, t.budget(q.request.Customer).Spend(q.answered + q.inFlight)
}

// restart discards all answers and starts the query again at a newer version.
func (t *Table) restart(at time.Time, q *query, version model.SnapshotVersion, shards int, out []effect.Effect) []effect.Effect {
	q.restarted = true
	out = t.cancelAttempts(q, out)
	return t.launch(at, q, version, shards, out)
}

// cancelAttempts cancels the query's attempts in flight.
func (t *Table) cancelAttempts(q *query, out []effect.Effect) []effect.Effect {
	if q.inFlight == 0 {
		return out
	}
	q.recordRan(model.RanUnknown)
	for i := range q.shards {
		for _, id := range q.shards[i].openAttempts {
			out = append(out, effect.Cancel{Attempt: id})
		}
		q.shards[i].openAttempts = nil
	}
	q.inFlight = 0
	return out
}
