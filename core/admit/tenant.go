package admit

import (
	"time"

	"comfreypulley/core/model"
)

const durationDecay = 0.1 // weight of a new request duration in the average

// tenant is what the gate knows of one customer.
type tenant struct {
	contract *model.Contract
	limit    int // requests in flight at most
	running  int
	retired  bool
	took     time.Duration // decaying average of request durations
	queue    queue
}

func (t *tenant) set(contract model.Contract, limit int) {
	t.contract = &contract
	t.limit = max(1, limit)
}

// typical is how long a request usually runs.
func (t *tenant) typical() time.Duration {
	return t.took
}

// expectedWait estimates how long a new ticket stays in the queue.
func (t *tenant) expectedWait() time.Duration {
	return t.took * time.Duration(t.queue.len()+1) / time.Duration(t.limit)
}

func (t *tenant) finished(took time.Duration) {
	t.took += time.Duration(durationDecay * float64(took-t.took))
}

// start takes tickets off the queue while there is room.
func (t *tenant) start(at time.Time) (started, late []Ticket) {
	for t.running < t.limit {
		ticket, ok := t.queue.pop()
		if !ok {
			break
		}
		if at.Add(t.typical()).After(ticket.Deadline) {
			late = append(late, ticket)
			continue
		}
		t.running++
		started = append(started, ticket)
	}
	return started, late
}
