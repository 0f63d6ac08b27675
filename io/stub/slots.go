package stub

import (
	"context"
	"sync"
	"time"
)

// slots bounds the requests that run at once and those that wait, in order of
// arrival.
type slots struct {
	mu      sync.Mutex
	running int
	waiting []chan struct{}
}

// entry is the outcome of entering.
type entry int

// Outcomes of entering.
const (
	entered entry = iota
	shed
	expired
	cancelled
)

// enter takes a slot, waiting at most timeout while the queue is not full.
func (q *slots) enter(ctx context.Context, s *Settings, timeout time.Duration) entry {
	q.mu.Lock()
	if q.running < s.Slots {
		q.running++
		q.mu.Unlock()
		return entered
	}
	if len(q.waiting) >= s.Queue {
		q.mu.Unlock()
		return shed
	}
	turn := make(chan struct{})
	q.waiting = append(q.waiting, turn)
	q.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	var outcome entry
	select {
	case <-turn:
		return entered
	case <-timer.C:
		outcome = expired
	case <-ctx.Done():
		outcome = cancelled
	}
	if !q.forget(turn) {
		// The turn came at the same time; hand the slot on.
		q.leave(s)
	}
	return outcome
}

// forget takes a waiting request out of the queue.
func (q *slots) forget(turn chan struct{}) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, t := range q.waiting {
		if t == turn {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// leave frees a slot and lets waiting requests in.
func (q *slots) leave(s *Settings) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	for q.running < s.Slots && len(q.waiting) > 0 {
		close(q.waiting[0])
		q.waiting = q.waiting[1:]
		q.running++
	}
}

// load returns the true load.
func (q *slots) load(s *Settings) Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Load{Inflight: q.running, Queued: len(q.waiting), Slots: s.Slots}
}
