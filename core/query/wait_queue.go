package query

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/model"
)

// waitingShard is a shard that waits for a replica with capacity, for a holder,
// or for exclusive use of its fingerprint. With only the request set it is a
// query that waits for a version of its index.
type waitingShard struct {
	request model.RequestID
	version model.SnapshotVersion
	shard   int
}

// waitQueue is a FIFO queue of waiters. A waiter that no longer waits stays in
// it as a stale entry until it is popped, or until the queue has doubled since
// stale entries were last removed.
type waitQueue struct {
	items         []waitingShard
	head          int // index of the first entry
	compactLength int // length of items at which push removes stale entries
}

const minCompactLength = 64 // lower bound of compactLength

func (wq *waitQueue) push(t *Table, w waitingShard) {
	if wq.head == len(wq.items) {
		wq.items, wq.head = wq.items[:0], 0
	}
	if len(wq.items) >= max(wq.compactLength, minCompactLength) {
		kept := wq.items[:0]
		for _, old := range wq.items[wq.head:] {
			if _, ok := t.stillWaiting(old); ok {
				kept = append(kept, old)
			}
		}
		wq.items, wq.head = kept, 0
		wq.compactLength = 2 * len(kept)
	}
	wq.items = append(wq.items, w)
}

func (wq *waitQueue) pop() (waitingShard, bool) {
	if wq == nil || wq.head == len(wq.items) {
		return waitingShard{}, false
	}
	w := wq.items[wq.head]
	wq.head++
	return w, true
}

func (wq *waitQueue) len() int {
	return len(wq.items) - wq.head
}

// stillWaiting returns the query of a waiter that still waits.
func (t *Table) stillWaiting(w waitingShard) (*query, bool) {
	q, ok := t.queries[w.request]
	if ok && q.phase == phaseAwaitingVersion {
		return q, true
	}
	if !ok || q.detached || q.phase != phaseScatter && q.phase != phaseCanary {
		return nil, false
	}
	if q.version != w.version || w.shard >= len(q.shards) || !q.shards[w.shard].waiting {
		return nil, false
	}
	return q, true
}

// awaitCapacity makes shard i wait for capacity of any of its replicas. It gives the
// shard up when all of them have been down, or are in a pause, for longer than the query
// has time left.
func (t *Table) awaitCapacity(at time.Time, q *query, i int) {
	holders, next := t.balancer.ActiveReplicas(at, q.request.Index, q.version, i)
	if len(holders) == 0 {
		t.awaitHolder(at, q, i)
		return
	}
	// Replicas that have been down for long are not expected back soon.
	left := q.deadline().Sub(at)
	if down := t.balancer.UnreachableFor(at, holders); q.idempotent() && down > 0 && down >= left {
		q.abandon(i)
		return
	}
	if paused := t.balancer.PausedFor(at, holders); q.idempotent() && paused > 0 && paused >= left {
		q.abandon(i)
		return
	}
	q.shards[i].waiting = true
	for _, id := range holders {
		waiters, ok := t.capacityWaiters[id]
		if !ok {
			waiters = &waitQueue{}
			t.capacityWaiters[id] = waiters
		}
		waiters.push(t, waitingShard{request: q.request.ID, version: q.version, shard: i})
	}
	// No event signals when the backoff of a replica ends, so the shard also
	// tries again at that time.
	if next.IsZero() {
		next = at.Add(capacityRetryDelay)
	}
	q.scheduleAttempt(i, next)
}

// awaitHolder makes shard i wait for reports when no known upstream holds it.
// They may name another upstream that holds it, or the query restarts at a
// newer version. The shard is given up when reportWait has passed, or when
// waiting cannot help.
func (t *Table) awaitHolder(at time.Time, q *query, i int) {
	q.holderMissing = true
	if q.holderDeadline.IsZero() {
		q.holderDeadline = at.Add(reportWait)
	}
	if !at.Before(q.holderDeadline) || !q.idempotent() || !t.balancer.HasLiveHolder(q.request.Index) {
		q.abandon(i)
		return
	}
	q.shards[i].noHolder, q.shards[i].waiting = true, true
	t.holderWaiters.push(t, waitingShard{request: q.request.ID, version: q.version, shard: i})
	q.scheduleAttempt(i, model.Earlier(at.Add(capacityRetryDelay), q.holderDeadline))
}

// retryHolderWaiters retries the shards that wait for a holder and the queries
// that wait for a version, after the held snapshots of an upstream changed.
func (t *Table) retryHolderWaiters(at time.Time, out []effect.Effect) []effect.Effect {
	for n := t.holderWaiters.len(); n > 0; n-- {
		w, _ := t.holderWaiters.pop()
		q, ok := t.queries[w.request]
		switch {
		case ok && q.phase == phaseAwaitingVersion:
			out = t.scatter(at, q, out)
		case ok:
			out = t.retryWaiter(at, w, out)
		}
	}
	return out
}

// probeIndex probes the upstreams of an index at once, because their known
// held snapshots are out of date.
func (t *Table) probeIndex(at time.Time, index string, out []effect.Effect) []effect.Effect {
	for _, id := range t.balancer.ExtraProbes(at, index) {
		out = t.probe(id, out)
	}
	return out
}

// awaitExclusive makes shard i wait until no other exclusive attempt of its
// fingerprint is in flight.
func (t *Table) awaitExclusive(q *query, i int) {
	q.shards[i].waiting = true
	waiters, ok := t.exclusiveWaiters[q.request.Fingerprint]
	if !ok {
		waiters = &waitQueue{}
		t.exclusiveWaiters[q.request.Fingerprint] = waiters
	}
	waiters.push(t, waitingShard{request: q.request.ID, version: q.version, shard: i})
}

// retryCapacityWaiters retries shards that wait for the upstream, for as long
// as it has capacity.
func (t *Table) retryCapacityWaiters(at time.Time, id model.UpstreamID, out []effect.Effect) []effect.Effect {
	waiters := t.capacityWaiters[id]
	if waiters == nil {
		return out
	}
	for n := waiters.len(); n > 0 && t.balancer.HasCapacity(at, id); n-- {
		out = t.retryFirst(at, waiters, out)
	}
	if waiters.len() == 0 {
		delete(t.capacityWaiters, id)
	}
	return out
}

// retryAllWaiters retries every shard that waits for an upstream, because
// another replica may have to be found after the upstream's snapshots or state
// changed.
func (t *Table) retryAllWaiters(at time.Time, id model.UpstreamID, out []effect.Effect) []effect.Effect {
	waiters := t.capacityWaiters[id]
	if waiters == nil {
		return out
	}
	for n := waiters.len(); n > 0; n-- {
		out = t.retryFirst(at, waiters, out)
	}
	return out
}

// retryExclusiveWaiters retries the shards that wait for exclusive use of a
// fingerprint. It stops after the first exclusive attempt; if the fingerprint
// is no longer restricted, all shards start.
func (t *Table) retryExclusiveWaiters(at time.Time, fp model.Fingerprint, out []effect.Effect) []effect.Effect {
	waiters := t.exclusiveWaiters[fp]
	if waiters == nil {
		return out
	}
	for n := waiters.len(); n > 0; n-- {
		before := t.lastAttempt
		out = t.retryFirst(at, waiters, out)
		if a, ok := t.attempts[t.lastAttempt]; ok && t.lastAttempt != before && a.exclusive {
			break
		}
	}
	if waiters.len() == 0 {
		delete(t.exclusiveWaiters, fp)
	}
	return out
}

func (t *Table) retryFirst(at time.Time, waiters *waitQueue, out []effect.Effect) []effect.Effect {
	if w, ok := waiters.pop(); ok {
		return t.retryWaiter(at, w, out)
	}
	return out
}

// retryWaiter retries the shard of a waiter that still waits.
func (t *Table) retryWaiter(at time.Time, w waitingShard, out []effect.Effect) []effect.Effect {
	q, ok := t.stillWaiting(w)
	if !ok {
		return out
	}
	out = t.tryShard(at, q, w.shard, out)
	return t.advance(at, q, out)
}
