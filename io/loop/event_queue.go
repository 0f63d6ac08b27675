package loop

import (
	"sync"

	"comfreypulley/core/event"
)

// eventQueue is an unbounded queue of events with a single reader.
type eventQueue struct {
	mu        sync.Mutex
	queued    []event.Body
	lastTaken []event.Body  // result of the last takeAll, whose memory is reused
	signal    chan struct{} // holds a token while queued is not empty
}

func newEventQueue() eventQueue {
	return eventQueue{signal: make(chan struct{}, 1)}
}

func (q *eventQueue) push(body event.Body) {
	q.mu.Lock()
	q.queued = append(q.queued, body)
	q.mu.Unlock()
	select {
	case q.signal <- struct{}{}:
	default:
	}
}

// takeAll removes and returns all queued events. The slice is valid until the next
// call, which reuses its memory.
func (q *eventQueue) takeAll() []event.Body {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.queued
	clear(q.lastTaken)
	q.queued = q.lastTaken[:0]
	q.lastTaken = taken
	return taken
}
