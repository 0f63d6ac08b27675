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
	phaseQueued    phase = iota // waits for admission
	phaseClaiming               // waits for the ledger to grant its idempotency key
	phasePinning                // waits until a version of its index is known
	phaseCanary                 // an attempt on a single shard precedes the others
	phaseScatter                // attempts on all shards; on the canary shard for a non-idempotent request
	phaseSettling               // waits for the ledger to record its outcome
	phaseReleasing              // waits for the ledger to release its claim
	phaseHolding                // its refusal is delayed until the other VMs know of its strikes
)

// query is the state of one caller's request. A non-idempotent one stays after
// its caller was refused or left, until its claim is settled or released.
type query struct {
	request   event.QueryRequest
	contract  *model.Contract
	class     model.Class
	ticket    admit.Ticket
	phase     phase
	admitted  bool      // counts as running in the gate
	served    bool      // an answer was delivered
	closed    bool      // the caller was refused or left
	started   time.Time // when it was admitted
	version   model.SnapshotVersion
	shards    []shard
	canary    int                 // shard of the first attempt; the only shard of a non-idempotent request
	answered  int                 // shards
	inflight  int                 // attempts
	dead      int                 // shards that get no further attempt
	agenda    agenda              // shards with a scheduled attempt
	hedges    []pending           // attempts that may be hedged, oldest first
	hedged    int                 // position in hedges; attempts before it were hedged or need no hedge
	hedgeAt   time.Time           // no hedge before; set when the budget or the number of missing shards forbids one
	spreadAt  time.Time           // when the other shards are tried without the canary's answer; zero when they have to wait for it
	wake      time.Time           // when the query's timer fires; zero when none is set
	until     time.Time           // end of the pinning or holding phase, or of the work on a claim after the caller was refused
	proposeAt time.Time           // earliest time of the next proposal to the ledger
	struckAt  time.Time           // last attempt that may become a strike
	ran       model.Ran           // RanNo until an attempt may have run
	refusal   model.RefusalReason // of the releasing or holding phase, sent at its end
	detail    string              // of the refusal
	doomed    bool                // the fingerprint was quarantined
	vanished  bool                // an attempt on a shard found no upstream that holds the pinned version
	lostUntil time.Time           // when shards without a holder are given up; zero while none lacks one
	restarted bool                // was restarted at a newer version, which happens once at most
	outcome   *model.Answer       // sent to the caller once the ledger has recorded it

	recordShard  int // shard of the outcome
	recordShards int // shard count of its snapshot
}

// shard is one shard of a query.
type shard struct {
	done    bool
	dead    bool // gets no further attempt
	lost    bool // no upstream holds it at the pinned version
	waiting bool // in a queue of waiters: for a replica with capacity, a holder, or exclusive use of the fingerprint
	hedged  bool
	number  int // attempts so far
	retries int
	due     time.Time // when the next attempt is scheduled; zero when none is
	items   []model.Item
	open    []model.AttemptID  // attempts in flight
	tried   []model.UpstreamID // upstreams that got an attempt
}

// pending is an attempt that is hedged when it takes too long.
type pending struct {
	shard int
	sent  time.Time
}

// attempt is a sub-request in flight on one upstream.
type attempt struct {
	request  model.RequestID
	shard    int
	upstream model.UpstreamID
	index    string
	version  model.SnapshotVersion
	started  time.Time
	fp       model.Fingerprint
	turn     bool // has exclusive use of its fingerprint, see crash.Guard.Enter
	alone    bool // no other attempt of its request has been in flight beside it
}

func (q *query) deadline() time.Time {
	return q.ticket.Deadline
}

func (q *query) idempotent() bool {
	return q.request.Key.IsZero()
}

// missing is the number of shards that are not answered but may still be.
func (q *query) missing() int {
	return len(q.shards) - q.answered - q.dead
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

// share is the answered share of the shards.
func (q *query) share() float64 {
	return model.Coverage{Answered: q.answered, Total: len(q.shards)}.Fraction()
}

// reachable is the share of the shards that are or may still be answered.
func (q *query) reachable() float64 {
	return model.Coverage{Answered: len(q.shards) - q.dead, Total: len(q.shards)}.Fraction()
}

// mayHaveRun records whether an attempt has run. RanYes outweighs RanUnknown,
// which outweighs RanNo.
func (q *query) mayHaveRun(ran model.Ran) {
	switch {
	case ran == model.RanYes:
		q.ran = model.RanYes
	case ran == model.RanUnknown && q.ran == model.RanNo:
		q.ran = model.RanUnknown
	}
}

// stated is what a refusal tells the caller about whether the request has run.
// An attempt in flight may have run, or may still.
func (q *query) stated() model.Ran {
	if q.ran == model.RanNo && q.inflight > 0 {
		return model.RanUnknown
	}
	return q.ran
}

// pin sets the snapshot of the query and discards the state of an earlier one.
func (q *query) pin(version model.SnapshotVersion, shards int) {
	q.version = version
	q.shards = make([]shard, shards)
	// The slices of all shards share one backing array with room for one attempt
	// each, to save allocations.
	open := make([]model.AttemptID, shards)
	tried := make([]model.UpstreamID, shards)
	for i := range q.shards {
		q.shards[i].open = open[i : i : i+1]
		q.shards[i].tried = tried[i : i : i+1]
	}
	q.canary = int(uint64(q.request.Fingerprint) % uint64(shards))
	q.answered, q.dead, q.inflight, q.hedged = 0, 0, 0, 0
	q.agenda = q.agenda[:0]
	q.hedges = q.hedges[:0]
	q.hedgeAt, q.spreadAt = time.Time{}, time.Time{}
	q.vanished, q.lostUntil = false, time.Time{}
}

// lost is the number of shards that no upstream holds at the pinned version and
// that were not given up.
func (q *query) lost() (n int) {
	for i := range q.shards {
		if q.shards[i].lost && !q.shards[i].dead {
			n++
		}
	}
	return n
}

// schedule sets the time of the next attempt on shard i.
func (q *query) schedule(i int, due time.Time) {
	q.shards[i].due = due
	q.agenda.push(appointment{at: due, shard: i})
}

// kill gives up shard i.
func (q *query) kill(i int) {
	if s := &q.shards[i]; !s.dead {
		s.dead, s.due, s.waiting = true, time.Time{}, false
		q.dead++
	}
}
