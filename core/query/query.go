package query

import (
	"time"

	"comfreypulley/core/admit"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// phase is how far a query has come.
type phase uint8

const (
	phaseQueued    phase = iota // waits for admission
	phaseClaiming               // waits for its idempotency key
	phasePinning                // waits for a version of its index to be known
	phaseCanary                 // one shard is tried first
	phaseScatter                // all shards are tried
	phaseSettling               // waits for its outcome to be recorded
	phaseReleasing              // waits for its claim to be given back
	phaseHolding                // its refusal waits until its strikes are shared
)

// query is one caller's request in hand. A non-idempotent one outlives its
// caller until its claim is settled or released.
type query struct {
	request   event.QueryRequest
	contract  *model.Contract
	class     model.Class
	ticket    admit.Ticket
	phase     phase
	admitted  bool      // holds its place in the gate
	served    bool      // was answered
	closed    bool      // the caller was answered or left
	started   time.Time // admission
	version   model.SnapshotVersion
	shards    []shard
	canary    int // shard that is tried first, and the only one of a non-idempotent request
	answered  int
	inflight  int       // attempts
	dead      int       // shards that get no further attempt
	agenda    agenda    // shards that wait for a time
	hedges    []pending // attempts that may be hedged, oldest first
	hedged    int       // entries of hedges that were handled
	hedgeAt   time.Time // no hedge before; set when the budget or the number of missing shards forbids one
	spreadAt  time.Time // the canary's time is over; zero when it has to answer
	wake      time.Time // due time of the query's timer; zero when none is set
	until     time.Time // end of the background work, or of the holding phase
	proposeAt time.Time // earliest time of the next proposal to the ledger
	struckAt  time.Time // last reset of an attempt made alone
	ran       model.Ran // RanNo until an attempt may have run
	refusal   model.RefusalReason
	detail    string
	doomed    bool          // the fingerprint was quarantined
	vanished  bool          // no upstream holds the pinned version of a shard any more
	lostUntil time.Time     // when shards without a holder are given up; zero when none was lost
	restarted bool          // the one restart was used
	outcome   *model.Answer // held back until it is recorded

	recordShard  int // shard of the outcome
	recordShards int // shards of its snapshot
}

// shard is one shard of a query.
type shard struct {
	done    bool
	dead    bool // gets no further attempt
	lost    bool // no upstream holds it at the pinned version
	waiting bool // no replica is within its limits, or another request has the turn
	hedged  bool
	number  int // attempts so far
	retries int
	due     time.Time // earliest time of the next attempt; zero when none is scheduled
	items   []model.Item
	open    []model.AttemptID  // attempts in flight
	tried   []model.UpstreamID // every upstream that got an attempt
}

// pending is an attempt that may be hedged.
type pending struct {
	shard int
	sent  time.Time
}

// attempt is one sub-request in flight.
type attempt struct {
	request  model.RequestID
	shard    int
	upstream model.UpstreamID
	index    string
	version  model.SnapshotVersion
	started  time.Time
	fp       model.Fingerprint
	turn     bool // holds the turn of its fingerprint
	alone    bool // no other attempt of its request was in flight when it started
}

func (q *query) deadline() time.Time {
	return q.ticket.Deadline
}

func (q *query) idempotent() bool {
	return q.request.Key.IsZero()
}

// missing is the number of shards that may still be answered.
func (q *query) missing() int {
	return len(q.shards) - q.answered - q.dead
}

// coverage states which shards were answered.
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

// share is the covered share of the shards.
func (q *query) share() float64 {
	return model.Coverage{Answered: q.answered, Total: len(q.shards)}.Fraction()
}

// reachable is the share of the shards that are or may still be answered.
func (q *query) reachable() float64 {
	return model.Coverage{Answered: len(q.shards) - q.dead, Total: len(q.shards)}.Fraction()
}

// mayHaveRun raises what is known about the request having run.
func (q *query) mayHaveRun(ran model.Ran) {
	switch {
	case ran == model.RanYes:
		q.ran = model.RanYes
	case ran == model.RanUnknown && q.ran == model.RanNo:
		q.ran = model.RanUnknown
	}
}

// stated is what a refusal says about the request having run: an attempt in
// flight may still run, although nothing is known of it yet.
func (q *query) stated() model.Ran {
	if q.ran == model.RanNo && q.inflight > 0 {
		return model.RanUnknown
	}
	return q.ran
}

// pin prepares the query for a snapshot and forgets answers of another one.
func (q *query) pin(version model.SnapshotVersion, shards int) {
	q.version = version
	q.shards = make([]shard, shards)
	// One array for the first attempt of every shard, rather than one for each.
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

// lost is the number of shards that no upstream holds at the pinned version.
func (q *query) lost() (n int) {
	for i := range q.shards {
		if q.shards[i].lost && !q.shards[i].dead {
			n++
		}
	}
	return n
}

// schedule sets the time of a shard's next attempt.
func (q *query) schedule(i int, due time.Time) {
	q.shards[i].due = due
	q.agenda.push(appointment{at: due, shard: i})
}

// kill gives a shard up.
func (q *query) kill(i int) {
	if s := &q.shards[i]; !s.dead {
		s.dead, s.due, s.waiting = true, time.Time{}, false
		q.dead++
	}
}
