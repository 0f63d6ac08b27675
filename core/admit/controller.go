package admit

import (
	"slices"
	"time"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// maxQueue is the largest number of queued queries of a customer on an index, in
// one traffic state.
const maxQueue = 1024

// Controller decides which queries may start. The zero value knows no contract and
// refuses all.
type Controller struct {
	customers  map[string]*customerState
	schedulers map[string]*scheduler // by index
	indexes    []string              // keys of schedulers, ascending
	ready      bool                  // has a configuration
}

// Query is a query that asks for admission.
type Query struct {
	ID       model.RequestID
	Customer string
	Index    string
	Class    model.Class
	Deadline time.Time
	Cost     int // sub-requests
}

// Decision is the decision on a query.
type Decision uint8

// Decisions on a query.
const (
	Started Decision = iota
	Queued
	TooLate   // refused: the deadline cannot be met
	QueueFull // refused: the queue is full
)

// RefusedError reports why a contract does not cover a request.
type RefusedError struct {
	Reason model.RefusalReason
	Detail string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return string(e.Reason) + ": " + e.Detail
}

// SetTopology takes the current contracts and this traffic state's shares of
// their concurrency and of the upstreams' connections.
func (g *Controller) SetTopology(t *model.Topology, quota model.Quota) {
	if g.customers == nil {
		g.customers = make(map[string]*customerState)
		g.schedulers = make(map[string]*scheduler)
	}
	g.ready = true
	slots := make(map[string]int)
	for id, u := range t.Upstreams {
		slots[u.Index] += quota.Conns[id]
	}
	for index, n := range slots {
		g.scheduler(index).slots = n
	}
	for name, c := range g.customers {
		contract, ok := t.Contracts[name]
		if !ok || contract.Retired {
			c.retired = true
		}
	}
	for name, contract := range t.Contracts {
		if contract.Retired {
			continue
		}
		c, ok := g.customers[name]
		if !ok {
			c = &customerState{}
			g.customers[name] = c
		}
		c.retired = false
		c.update(contract, quota.Concurrency[name])
	}
}

// Authorize checks a request against the contract of its customer and returns the
// contract and the class. The error is a *RefusedError.
func (g *Controller) Authorize(r event.QueryRequest) (contract *model.Contract, class model.Class, err error) {
	if !g.ready {
		return nil, class, &RefusedError{model.RefusedStale, "no configuration in force yet"}
	}
	c, ok := g.customers[r.Customer]
	// An unknown customer and a wrong secret give the same refusal, so that
	// callers cannot probe for names of customers.
	if !ok || c.retired || !c.contract.Accepts(r.Credential) {
		return nil, class, &RefusedError{model.RefusedCredential, "unknown customer or wrong secret"}
	}
	if !c.contract.Allows(r.Index) {
		return nil, class, &RefusedError{model.RefusedIndex, "the contract does not include index " + r.Index}
	}
	class, ok = c.contract.ClassFor(r.Wait)
	if !ok {
		return nil, class, &RefusedError{
			model.RefusedWait,
			"the stated wait is below " + c.contract.Classes[0].Wait.String() + ", the shortest of the contract",
		}
	}
	return c.contract, class, nil
}

// Submit starts a query, queues it, or refuses it.
func (g *Controller) Submit(at time.Time, query Query) Decision {
	c := g.customers[query.Customer]
	s := g.scheduler(query.Index)
	q := s.customerQueue(c)
	s.recordArrival(at, q)
	if s.inFlight > 0 && at.Add(s.typicalDuration()).After(query.Deadline) {
		return TooLate
	}
	if q.queue.len() == 0 && s.mayStart(at, q, query.Cost) && (s.queued == 0 || s.next(at) == nil) {
		s.start(q, query.Cost)
		return Started
	}
	if q.queue.len() >= maxQueue {
		return QueueFull
	}
	if at.Add(s.expectedWait(at, q)).Add(s.typicalDuration()).After(query.Deadline) {
		return TooLate
	}
	if q.queue.len() == 0 {
		q.finishTag = max(q.finishTag, s.virtualTime)
	}
	q.queue.push(query)
	s.queued++
	return Queued
}

// Finish ends a started query that was answered after the duration, or refused
// when the duration is zero. It returns the queued queries that start now and
// those that are refused because they would miss their deadline.
func (g *Controller) Finish(at time.Time, query Query, duration time.Duration) (started, late []Query) {
	c, ok := g.customers[query.Customer]
	if !ok {
		return nil, nil
	}
	s := g.scheduler(query.Index)
	c.inFlight--
	s.finish(s.customerQueue(c), query.Cost, duration)
	return g.Dispatch(at)
}

// Dispatch starts the queued queries that the limits allow now, and returns the same
// lists as Leave.
func (g *Controller) Dispatch(at time.Time) (started, late []Query) {
	for _, index := range g.indexes {
		started, late = g.schedulers[index].dispatch(at, started, late)
	}
	return started, late
}

// NextStart returns when the rate of an index allows Sweep to start the next queued
// query, zero when no queued query waits for a rate.
func (g *Controller) NextStart(at time.Time) time.Time {
	var first time.Time
	for _, s := range g.schedulers {
		if due := s.nextStart(at); !due.IsZero() && (first.IsZero() || due.Before(first)) {
			first = due
		}
	}
	return first
}

// Shed records that an upstream of the index shed an attempt.
func (g *Controller) Shed(index string) {
	g.scheduler(index).window.sheds++
}

// Missed records that a query on the index missed its deadline.
func (g *Controller) Missed(index string) {
	g.scheduler(index).window.missed++
}

// Adjust adjusts the rates of all indexes. It is called at regular intervals.
func (g *Controller) Adjust(at time.Time) {
	for _, s := range g.schedulers {
		s.adjust(at)
	}
}

// Remove removes a queued query.
func (g *Controller) Remove(query Query) {
	c, ok := g.customers[query.Customer]
	if !ok {
		return
	}
	s := g.scheduler(query.Index)
	if s.customerQueue(c).queue.remove(query) {
		s.queued--
	}
}

// scheduler returns the scheduler of an index.
func (g *Controller) scheduler(index string) *scheduler {
	s, ok := g.schedulers[index]
	if !ok {
		s = &scheduler{}
		g.schedulers[index] = s
		i, _ := slices.BinarySearch(g.indexes, index)
		g.indexes = slices.Insert(g.indexes, i, index)
	}
	return s
}

// Demand returns the number of queries in flight and queued by customer.
func (g *Controller) Demand() map[string]int {
	demand := make(map[string]int, len(g.customers))
	for name, c := range g.customers {
		if c.inFlight > 0 {
			demand[name] = c.inFlight
		}
	}
	for _, s := range g.schedulers {
		for _, q := range s.queues {
			if n := q.queue.len(); n > 0 {
				demand[q.customer.contract.Customer] += n
			}
		}
	}
	return demand
}
