package query

import (
	"time"

	"comfreypulley/core/admit"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// phase is the step that a query is at.
type phase uint8

const (
	phaseQueued          phase = iota // waits for admission
	phaseClaiming                     // waits for the ledger to grant its idempotency key
	phaseAwaitingVersion              // waits until a version of its index is known
	phaseCanary                       // an attempt on a single shard precedes the others
	phaseScatter                      // attempts on all shards; on the canary shard for a non-idempotent request
	phaseSettling                     // waits for the ledger to record its outcome
	phaseReleasing                    // waits for the ledger to release its claim
	phaseRefusalDelayed               // its refusal is delayed until the other VMs know of its strikes
)

// query is the state of one caller's request. A non-idempotent one stays after
// its caller was refused or left, until its claim is settled or released.
type query struct {
	request         event.QueryRequest
	contract        *model.Contract
	class           model.Class
	ticket          admit.Query
	phase           phase
	admitted        bool      // counts as running in the admission gate
	served          bool      // ended with an answer
	detached        bool      // the caller was refused or left
	started         time.Time // when it was admitted
	version         model.SnapshotVersion
	shards          []shard
	canaryShard     int                 // shard of the first attempt; the only shard of a non-idempotent request
	answered        int                 // shards
	inFlight        int                 // attempts
	abandoned       int                 // shards that get no further attempt
	scheduled       scheduleHeap        // shards with a scheduled attempt
	hedgeCandidates []hedgeCandidate    // attempts that may be hedged, oldest first
	nextHedge       int                 // index in hedgeCandidates; those before it were hedged or need no hedge
	noHedgeBefore   time.Time           // set when the budget or the number of missing shards forbids a hedge
	canaries        int                 // shards that had a canary
	canaryDeadline  time.Time           // when further shards are tried without the canary's answer; zero when they have to wait for it
	timerAt         time.Time           // when the query's timer fires; zero when none is set
	phaseEnd        time.Time           // end of phaseAwaitingVersion or phaseRefusalDelayed, or of the work on the claim
	nextProposal    time.Time           // earliest time of the next proposal to the ledger
	lastStrike      time.Time           // last attempt that may become a strike
	ran             model.Ran           // RanNo until an attempt may have run
	pendingRefusal  model.RefusalReason // sent at the end of phaseReleasing or phaseRefusalDelayed
	pendingDetail   string              // of pendingRefusal
	quarantined     bool                // the fingerprint was quarantined
	holderMissing   bool                // an attempt on a shard found no upstream that holds the pinned version
	holderDeadline  time.Time           // when shards without a holder are given up; zero while none lacks one
	restarted       bool                // was restarted at a newer version, which happens once at most
	outcome         *model.Answer       // sent to the caller once the ledger has recorded it

	outcomeShard      int // shard of the outcome
	outcomeShardCount int // shard count of its snapshot
}

// shard is one shard of a query.
type shard struct {
	done         bool // answered
	abandoned    bool // gets no further attempt
	noHolder     bool // no upstream holds it at the pinned version
	waiting      bool // for a replica with capacity, a holder, or exclusive use of the fingerprint
	hedged       bool
	attemptCount int // so far
	retries      int
	nextAttempt  time.Time // when the next attempt is scheduled; zero when none is
	items        []model.Item
	openAttempts []model.AttemptID  // in flight
	tried        []model.UpstreamID // upstreams that an attempt was sent to
}

// hedgeCandidate is an attempt that is hedged when it takes too long.
type hedgeCandidate struct {
	shard int
	sent  time.Time
}

// attempt is a query of one shard in flight on one upstream.
type attempt struct {
	request     model.RequestID
	shard       int
	upstream    model.UpstreamID
	index       string
	version     model.SnapshotVersion
	started     time.Time
	fingerprint model.Fingerprint
	exclusive   bool        // has exclusive use of its fingerprint, see crash.Guard
	crash       model.Crash // what the guard is told if it is reset
	alone       bool        // no other attempt of its request was in flight at the same time
}

func (q *query) deadline() time.Time {
	return q.ticket.Deadline
}

func (q *query) idempotent() bool {
	return q.request.Key.IsZero()
}

// missingShards is the number of shards that are not answered but may still be.
func (q *query) missingShards() int {
	return len(q.shards) - q.answered - q.abandoned
}

// coverage returns which shards were answered.
func (q *query) coverage() model.Coverage {
	c := model.Coverage{Answered: q.answered, Total: len(q.shards)}
	if c.Answered == c.Total {
		return c
	}
	c.Missing = make([]int, 0, c.Total-c.Answered)
	for i := range q.shards {
		if !q.shards[i].done {
			c.Missing = append(c.Missing, i)
		}
	}
	return c
}

// answeredFraction is the fraction of the shards that are answered.
func (q *query) answeredFraction() float64 {
	return model.Coverage{Answered: q.answered, Total: len(q.shards)}.Fraction()
}

// reachableFraction is the fraction of the shards that are answered or may still
// be.
func (q *query) reachableFraction() float64 {
	return model.Coverage{Answered: len(q.shards) - q.abandoned, Total: len(q.shards)}.Fraction()
}

// recordRan records whether an attempt has run. RanYes outweighs RanUnknown,
// which outweighs RanNo.
func (q *query) recordRan(ran model.Ran) {
	switch {
	case ran == model.RanYes:
		q.ran = model.RanYes
	case ran == model.RanUnknown && q.ran == model.RanNo:
		q.ran = model.RanUnknown
	}
}

// ranForCaller is what a refusal reports to the caller about whether the
// request has run. An attempt in flight may have run, or may still.
func (q *query) ranForCaller() model.Ran {
	if q.ran == model.RanNo && q.inFlight > 0 {
		return model.RanUnknown
	}
	return q.ran
}

// pinSnapshot sets the snapshot of the query and discards the state of an
// earlier one.
func (q *query) pinSnapshot(version model.SnapshotVersion, shards int) {
	q.version = version
	q.shards = make([]shard, shards)
	// The slices of all shards share one backing array with room for one attempt
	// each, to save allocations.
	open := make([]model.AttemptID, shards)
	tried := make([]model.UpstreamID, shards)
	for i := range q.shards {
		q.shards[i].openAttempts = open[i : i : i+1]
		q.shards[i].tried = tried[i : i : i+1]
	}
	q.canaryShard = int(uint64(q.request.Fingerprint) % uint64(shards))
	q.answered, q.abandoned, q.inFlight, q.nextHedge, q.canaries = 0, 0, 0, 0, 0
	q.scheduled = q.scheduled[:0]
	q.hedgeCandidates = q.hedgeCandidates[:0]
	q.noHedgeBefore, q.canaryDeadline = time.Time{}, time.Time{}
	q.holderMissing, q.holderDeadline = false, time.Time{}
}

// shardsWithoutHolder is the number of shards that no upstream holds at the
// pinned version and that were not given up.
func (q *query) shardsWithoutHolder() (n int) {
	for i := range q.shards {
		if q.shards[i].noHolder && !q.shards[i].abandoned {
			n++
		}
	}
	return n
}

// scheduleAttempt sets the time of the next attempt on shard i.
func (q *query) scheduleAttempt(i int, due time.Time) {
	q.shards[i].nextAttempt = due
	q.scheduled.push(scheduledAttempt{at: due, shard: i})
}

// abandon gives up shard i.
func (q *query) abandon(i int) {
	if s := &q.shards[i]; !s.abandoned {
		s.abandoned, s.nextAttempt, s.waiting = true, time.Time{}, false
		q.abandoned++
	}
}
