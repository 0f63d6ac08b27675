package query

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/model"
)

// waiter is a shard that waits for a replica within its limits, or for the turn
// of its fingerprint.
type waiter struct {
	request model.RequestID
	version model.SnapshotVersion
	shard   int
}

// line is a queue of waiters. Entries of shards that wait no longer stay until
// they are reached or until the line has doubled.
type line struct {
	items []waiter
	head  int
	clean int // length at which stale entries are dropped
}

const leastClean = 64

func (l *line) push(t *Table, w waiter) {
	if l.head == len(l.items) {
		l.items, l.head = l.items[:0], 0
	}
	if len(l.items) >= max(l.clean, leastClean) {
		kept := l.items[:0]
		for _, old := range l.items[l.head:] {
			if _, ok := t.waiting(old); ok {
				kept = append(kept, old)
			}
		}
		l.items, l.head = kept, 0
		l.clean = 2 * len(kept)
	}
	l.items = append(l.items, w)
}

func (l *line) pop() (waiter, bool) {
	if l == nil || l.head == len(l.items) {
		return waiter{}, false
	}
	w := l.items[l.head]
	l.head++
	return w, true
}

func (l *line) len() int {
	return len(l.items) - l.head
}

// waiting returns the query of a waiter if its shard still waits.
func (t *Table) waiting(w waiter) (*query, bool) {
	q, ok := t.queries[w.request]
	if ok && q.phase == phasePinning {
		return q, true
	}
	if !ok || q.closed || q.phase != phaseScatter && q.phase != phaseCanary {
		return nil, false
	}
	if q.version != w.version || w.shard >= len(q.shards) || !q.shards[w.shard].waiting {
		return nil, false
	}
	return q, true
}

// park puts a shard into the lines of its replicas.
func (t *Table) park(at time.Time, q *query, i int) {
	holders, next := t.routes.Holders(at, q.request.Index, q.version, i)
	if len(holders) == 0 {
		t.lose(at, q, i)
		return
	}
	q.shards[i].waiting = true
	for _, id := range holders {
		l, ok := t.waiters[id]
		if !ok {
			l = &line{}
			t.waiters[id] = l
		}
		l.push(t, waiter{request: q.request.ID, version: q.version, shard: i})
	}
	// A replica that is left out for a time becomes usable without an event.
	if next.IsZero() {
		next = at.Add(parkRetry)
	}
	q.schedule(i, next)
}

// lose lets a shard without a holder wait for reports: another upstream may
// have taken the shard over, or the query starts again at another version.
func (t *Table) lose(at time.Time, q *query, i int) {
	q.vanished = true
	if q.lostUntil.IsZero() {
		q.lostUntil = at.Add(learnFor)
	}
	if !at.Before(q.lostUntil) || !q.idempotent() || !t.routes.Serves(q.request.Index) {
		q.kill(i)
		return
	}
	q.shards[i].lost, q.shards[i].waiting = true, true
	t.lost.push(t, waiter{request: q.request.ID, version: q.version, shard: i})
	q.schedule(i, earlier(at.Add(parkRetry), q.lostUntil))
}

// relocate lets the shards and queries that wait for a holder look again, after
// the holdings of an upstream changed.
func (t *Table) relocate(at time.Time, out []effect.Effect) []effect.Effect {
	for n := t.lost.len(); n > 0; n-- {
		w, _ := t.lost.pop()
		q, ok := t.queries[w.request]
		switch {
		case ok && q.phase == phasePinning:
			out = t.scatter(at, q, out)
		case ok:
			out = t.wake(at, w, out)
		}
	}
	return out
}

// ask probes the upstreams of an index whose holdings changed unnoticed.
func (t *Table) ask(at time.Time, index string, out []effect.Effect) []effect.Effect {
	for _, id := range t.routes.Ask(at, index) {
		out = t.probe(id, out)
	}
	return out
}

// queueTurn lets a shard wait until no other attempt of its fingerprint is in
// flight.
func (t *Table) queueTurn(q *query, i int) {
	q.shards[i].waiting = true
	l, ok := t.turns[q.request.Fingerprint]
	if !ok {
		l = &line{}
		t.turns[q.request.Fingerprint] = l
	}
	l.push(t, waiter{request: q.request.ID, version: q.version, shard: i})
}

// wakeWaiters lets shards that wait for the upstream try again while it takes
// attempts.
func (t *Table) wakeWaiters(at time.Time, id model.UpstreamID, out []effect.Effect) []effect.Effect {
	l := t.waiters[id]
	if l == nil {
		return out
	}
	for n := l.len(); n > 0 && t.routes.Free(at, id); n-- {
		out = t.wakeFirst(at, l, out)
	}
	if l.len() == 0 {
		delete(t.waiters, id)
	}
	return out
}

// recheck lets every shard that waits for an upstream look for another replica,
// after the upstream's holdings changed.
func (t *Table) recheck(at time.Time, id model.UpstreamID, out []effect.Effect) []effect.Effect {
	l := t.waiters[id]
	if l == nil {
		return out
	}
	for n := l.len(); n > 0; n-- {
		out = t.wakeFirst(at, l, out)
	}
	return out
}

// wakeTurns lets the next attempt of a fingerprint start, or all of them when
// the fingerprint is no longer suspect.
func (t *Table) wakeTurns(at time.Time, fp model.Fingerprint, out []effect.Effect) []effect.Effect {
	l := t.turns[fp]
	if l == nil {
		return out
	}
	for n := l.len(); n > 0; n-- {
		before := t.next
		out = t.wakeFirst(at, l, out)
		if a, ok := t.attempts[t.next]; ok && t.next != before && a.turn {
			break
		}
	}
	if l.len() == 0 {
		delete(t.turns, fp)
	}
	return out
}

func (t *Table) wakeFirst(at time.Time, l *line, out []effect.Effect) []effect.Effect {
	if w, ok := l.pop(); ok {
		return t.wake(at, w, out)
	}
	return out
}

// wake lets a shard try again if it still waits.
func (t *Table) wake(at time.Time, w waiter, out []effect.Effect) []effect.Effect {
	q, ok := t.waiting(w)
	if !ok {
		return out
	}
	out = t.try(at, q, w.shard, out)
	return t.advance(at, q, out)
}
