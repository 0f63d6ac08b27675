package admit

import (
	"slices"
)

// queue is a start-time fair queue over the classes of one contract. Within a
// class the earliest deadline goes first.
type queue struct {
	flows   []turns
	virtual float64 // start tag of the last ticket served
	n       int
}

// turns holds the tickets of one class.
type turns struct {
	class   string
	weight  float64
	finish  float64  // finish tag of the last ticket served
	tickets []Ticket // ascending by deadline
}

func (q *queue) len() int {
	return q.n
}

func (q *queue) push(ticket Ticket) {
	f := q.turns(ticket)
	if len(f.tickets) == 0 {
		f.finish = max(f.finish, q.virtual)
	}
	at, _ := slices.BinarySearchFunc(f.tickets, ticket, func(a, b Ticket) int {
		if c := a.Deadline.Compare(b.Deadline); c != 0 {
			return c
		}
		return -1 // after those of the same deadline
	})
	f.tickets = slices.Insert(f.tickets, at, ticket)
	q.n++
}

// peek returns the ticket that pop would return.
func (q *queue) peek() (Ticket, bool) {
	best := q.best()
	if best < 0 {
		return Ticket{}, false
	}
	return q.flows[best].tickets[0], true
}

// best is the flow whose turn it is, -1 when all are empty.
func (q *queue) best() int {
	best := -1
	for i := range q.flows {
		if len(q.flows[i].tickets) == 0 {
			continue
		}
		if best < 0 || q.flows[i].finish < q.flows[best].finish {
			best = i
		}
	}
	return best
}

func (q *queue) pop() (Ticket, bool) {
	best := q.best()
	if best < 0 {
		return Ticket{}, false
	}
	f := &q.flows[best]
	ticket := f.tickets[0]
	f.tickets = slices.Delete(f.tickets, 0, 1)
	q.virtual = f.finish
	f.finish += 1 / f.weight
	q.n--
	return ticket, true
}

func (q *queue) remove(ticket Ticket) bool {
	f := q.turns(ticket)
	i := slices.IndexFunc(f.tickets, func(t Ticket) bool { return t.Request == ticket.Request })
	if i < 0 {
		return false
	}
	f.tickets = slices.Delete(f.tickets, i, i+1)
	q.n--
	return true
}

func (q *queue) turns(ticket Ticket) *turns {
	for i := range q.flows {
		if q.flows[i].class == ticket.Class.Name {
			q.flows[i].weight = ticket.Class.Weight
			return &q.flows[i]
		}
	}
	q.flows = append(q.flows, turns{class: ticket.Class.Name, weight: ticket.Class.Weight})
	return &q.flows[len(q.flows)-1]
}
