package peer

import (
	"sync"

	"comfreypulley/core/frame"
)

const queueLength = 1024 // messages to one VM; more than a minute's worth at 10 a second

// queue is a bounded queue that drops its oldest message when it is full.
type queue struct {
	ready chan struct{} // holds one element while the queue is not empty

	mu       sync.Mutex
	messages []frame.Message
}

func newQueue() *queue { return &queue{ready: make(chan struct{}, 1)} }

// push adds a message and returns how many messages it displaced.
func (q *queue) push(m frame.Message) (dropped int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.messages) == queueLength {
		q.messages[0] = nil
		q.messages = q.messages[1:]
		dropped = 1
	}
	q.messages = append(q.messages, m)
	q.signal()
	return dropped
}

// pop removes and returns the oldest message.
func (q *queue) pop() (m frame.Message, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.messages) == 0 {
		return nil, false
	}
	m = q.messages[0]
	q.messages[0] = nil
	q.messages = q.messages[1:]
	if len(q.messages) > 0 {
		q.signal()
	}
	return m, true
}

// clear removes all messages and returns how many there were.
func (q *queue) clear() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := len(q.messages)
	q.messages = nil
	return n
}

func (q *queue) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}
