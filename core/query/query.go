package query

import (
	"slices"
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
	phaseCanary                 // one shard is tried first
	phaseScatter                // all shards are tried
	phaseSettling               // waits for its outcome to be recorded
	phaseReleasing              // waits for its claim to be given back
)

// query is one caller's request in hand.
type query struct {
	request  event.Request
	contract *model.Contract
	class    model.Class
	ticket   admit.Ticket
	phase    phase
	started  time.Time // admission
	version  model.Version
	shards   []shard
	answered int
	wake     time.Time // due time of the query's timer; zero when none is set
	ran      model.Ran // RanNo until an attempt may have run
	refusal  model.Refusal
	outcome  *model.Answer // held back until it is recorded
}

// shard is one shard of a query.
type shard struct {
	done    bool
	items   []model.Item
	open    []model.AttemptID  // attempts in flight
	tried   []model.UpstreamID // every upstream that got an attempt
	number  int                // attempts so far
	retries int
	hedged  bool
	sent    time.Time // start of the newest attempt
	due     time.Time // earliest time of the next attempt after a failure
	waiting bool      // no replica was within its limits
	last    model.Failure
}

// attempt is one sub-request in flight.
type attempt struct {
	request  model.RequestID
	shard    int
	upstream model.UpstreamID
	index    string
	version  model.Version
	started  time.Time
	hedge    bool
}

func (q *query) deadline() time.Time {
	return q.ticket.Deadline
}

func (q *query) idempotent() bool {
	return q.request.Key.IsZero()
}

// target is the only shard of a non-idempotent request.
func (q *query) target() int {
	return int(uint64(q.request.Fingerprint) % uint64(len(q.shards)))
}

// coverage states which shards were answered.
func (q *query) coverage() model.Coverage {
	c := model.Coverage{Answered: q.answered, Total: len(q.shards)}
	for i := range q.shards {
		if !q.shards[i].done {
			c.Missing = append(c.Missing, i)
		}
	}
	return c
}

// open reports whether any attempt is in flight.
func (q *query) open() bool {
	return slices.ContainsFunc(q.shards, func(s shard) bool { return len(s.open) > 0 })
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

// pin prepares the query for a snapshot and forgets answers of another one.
func (q *query) pin(version model.Version, shards int) {
	q.version = version
	q.shards = make([]shard, shards)
	q.answered = 0
}
