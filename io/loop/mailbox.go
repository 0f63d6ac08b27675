package loop

import (
	"sync"

	"comfreypulley/core/event"
)

// mailbox is an unbounded queue of events with one reader.
type mailbox struct {
	mu     sync.Mutex
	posted []event.Body
	spare  []event.Body
	signal chan struct{} // holds a token while posted is not empty
}

func newMailbox() mailbox {
	return mailbox{signal: make(chan struct{}, 1)}
}

func (m *mailbox) post(body event.Body) {
	m.mu.Lock()
	m.posted = append(m.posted, body)
	m.mu.Unlock()
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// take returns everything posted. The slice is valid until the next call.
func (m *mailbox) take() []event.Body {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.posted
	clear(m.spare)
	m.posted = m.spare[:0]
	m.spare = taken
	return taken
}
