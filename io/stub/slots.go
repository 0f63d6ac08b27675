package stub

import (
	"context"
	"sync"
	"time"
)

// slotQueue limits the number of requests that run concurrently. Others wait for a
// slot in order of arrival, up to a limit.
type slotQueue struct {
	mu      sync.Mutex
	running int
	waiting []chan struct{} // closed when the request is granted a slot
}

// acquireResult is the result of slotQueue.acquire.
type acquireResult int

// Results of slotQueue.acquire.
const (
	acquired  acquireResult = iota
	shed                    // the queue was full
	expired                 // no slot became free within the timeout
	cancelled               // the context ended
)

// acquire acquires a slot. When none is free it waits for at most timeout,
// unless the queue is full.
func (q *slotQueue) acquire(ctx context.Context, s *Settings, timeout time.Duration) acquireResult {
	q.mu.Lock()
	if q.running < s.Slots {
		q.running++
		q.mu.Unlock()
		return acquired
	}
	if len(q.waiting) >= s.MaxQueued {
		q.mu.Unlock()
		return shed
	}
	granted := make(chan struct{})
	q.waiting = append(q.waiting, granted)
	q.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	var outcome acquireResult
	select {
	case <-granted:
		return acquired
	case <-timer.C:
		outcome = expired
	case <-ctx.Done():
		outcome = cancelled
	}
	if !q.removeWaiter(granted) {
		// The slot was granted at the same time, so pass it on.
		q.release(s)
	}
	return outcome
}

// removeWaiter removes a waiting request from the queue. It reports false when the
// request has been granted a slot.
func (q *slotQueue) removeWaiter(granted chan struct{}) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, waiter := range q.waiting {
		if waiter == granted {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// release frees a slot and grants free slots to waiting requests.
func (q *slotQueue) release(s *Settings) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	for q.running < s.Slots && len(q.waiting) > 0 {
		close(q.waiting[0])
		q.waiting = q.waiting[1:]
		q.running++
	}
}

// load returns the actual load.
func (q *slotQueue) load(s *Settings) Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Load{InFlight: q.running, Queued: len(q.waiting), Slots: s.Slots}
}
