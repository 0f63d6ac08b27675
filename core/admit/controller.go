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

// Controller decides which queries may start. The zero value knows no contract
// and refuses all.
type Controller struct {
	leaseEnd   time.Time // of the leased part of the quotas; zero without one
	customers  map[string]*customerState
	schedulers map[string]*scheduler // by index
	indexes    []string              // keys of schedulers, ascending
	ready      bool                  // has a configuration
}

// Query is what admission control knows of a query.
type Query struct {
	ID       model.RequestID
	Customer string
	Index    string
	Class    model.Class
	Deadline time.Time
	Cost     int // subrequests, one for each shard
}

// Decision is the result of Submit.
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

// SetTopology sets the current contracts and this traffic state's quotas of
// their concurrency and of the upstreams' connections.
func (ac *Controller) SetTopology(t *model.Topology, quota model.Quota) {
	if ac.customers == nil {
		ac.customers = make(map[string]*customerState)
		ac.schedulers = make(map[string]*scheduler)
	}
	ac.ready, ac.leaseEnd = true, quota.LeaseEnd
	slots := make(map[string]int)
	for id, u := range t.Upstreams {
		slots[u.Index] += quota.Conns[id]
	}
	for index, n := range slots {
		ac.scheduler(index).slots = n
	}
	for name, c := range ac.customers {
		contract, ok := t.Contracts[name]
		if !ok || contract.Retired {
			c.retired = true
		}
	}
	for name, contract := range t.Contracts {
		if contract.Retired {
			continue
		}
		c, ok := ac.customers[name]
		if !ok {
			c = &customerState{}
			ac.customers[name] = c
		}
		c.retired = false
		c.update(contract, quota.Concurrency[name], quota.Leased[name])
	}
}

// expireLease ends the leased part of the quotas when its time is over. The control
// state announces the end as well, but after a pause of the process a request may
// be decided on before that arrives.
func (ac *Controller) expireLease(at time.Time) {
	if ac.leaseEnd.IsZero() || at.Before(ac.leaseEnd) {
		return
	}
	ac.leaseEnd = time.Time{}
	for _, c := range ac.customers {
		c.maxInFlight = c.floor
	}
}

// Authorize checks a request against the contract of its customer and returns the
// contract and the class. The error is a *RefusedError.
func (ac *Controller) Authorize(r event.QueryRequest) (contract *model.Contract, class model.Class, err error) {
	contract, reason := ac.Contract(r.Customer, r.Index)
	switch {
	case reason == model.RefusedStale:
		return nil, class, &RefusedError{reason, "no configuration in force yet"}
	case reason == model.RefusedCredential || !contract.Accepts(r.Credential):
		// An unknown customer and a wrong secret give the same refusal, so that
		// callers cannot probe for names of customers.
		return nil, class, &RefusedError{model.RefusedCredential, "unknown customer or wrong secret"}
	case reason == model.RefusedIndex:
		return nil, class, &RefusedError{reason, "the contract does not include index " + r.Index}
	}
	class, ok := contract.ClassFor(r.Wait)
	if !ok {
		return nil, class, &RefusedError{
			model.RefusedWait,
			"the stated wait is below " + contract.Classes[0].Wait.String() + ", the shortest of the contract",
		}
	}
	return contract, class, nil
}

// Contract returns the contract by which a customer may query an index, and why it may
// not, or "". The contract is nil when the customer has none.
func (ac *Controller) Contract(customer, index string) (contract *model.Contract, reason model.RefusalReason) {
	if !ac.ready {
		return nil, model.RefusedStale
	}
	c, ok := ac.customers[customer]
	switch {
	case !ok || c.retired:
		return nil, model.RefusedCredential
	case !c.contract.Allows(index):
		return c.contract, model.RefusedIndex
	default:
		return c.contract, ""
	}
}

// Submit starts a query, queues it, or refuses it.
func (ac *Controller) Submit(at time.Time, query Query) Decision {
	ac.expireLease(at)
	c := ac.customers[query.Customer]
	s := ac.scheduler(query.Index)
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
func (ac *Controller) Finish(at time.Time, query Query, duration time.Duration) (started, late []Query) {
	c, ok := ac.customers[query.Customer]
	if !ok {
		return nil, nil
	}
	s := ac.scheduler(query.Index)
	c.inFlight--
	s.finish(s.customerQueue(c), query.Cost, duration)
	return ac.Dispatch(at)
}

// Dispatch starts the queued queries that the limits allow now, and returns the
// same lists as Finish.
func (ac *Controller) Dispatch(at time.Time) (started, late []Query) {
	ac.expireLease(at)
	for _, index := range ac.indexes {
		started, late = ac.schedulers[index].dispatch(at, started, late)
	}
	return started, late
}

// NextStart returns when the rate of an index allows Dispatch to start the next
// queued query, zero when no queued query waits for a rate.
func (ac *Controller) NextStart(at time.Time) time.Time {
	var first time.Time
	for _, s := range ac.schedulers {
		if due := s.nextStart(at); !due.IsZero() && (first.IsZero() || due.Before(first)) {
			first = due
		}
	}
	return first
}

// RecordShed records that an upstream of the index shed an attempt.
func (ac *Controller) RecordShed(index string) {
	ac.scheduler(index).window.sheds++
}

// RecordMissedDeadline records that a query on the index missed its deadline.
func (ac *Controller) RecordMissedDeadline(index string) {
	ac.scheduler(index).window.missed++
}

// Adjust adjusts the rates of all indexes. It is called at regular intervals.
func (ac *Controller) Adjust(at time.Time) {
	for _, s := range ac.schedulers {
		s.adjust(at)
	}
}

// Remove removes a query from the queue, such as one whose caller disconnected.
func (ac *Controller) Remove(query Query) {
	c, ok := ac.customers[query.Customer]
	if !ok {
		return
	}
	s := ac.scheduler(query.Index)
	if s.customerQueue(c).queue.remove(query) {
		s.queued--
	}
}

// scheduler returns the scheduler of an index.
func (ac *Controller) scheduler(index string) *scheduler {
	s, ok := ac.schedulers[index]
	if !ok {
		s = &scheduler{}
		ac.schedulers[index] = s
		i, _ := slices.BinarySearch(ac.indexes, index)
		ac.indexes = slices.Insert(ac.indexes, i, index)
	}
	return s
}

// Demand returns the number of queries in flight and queued by customer.
func (ac *Controller) Demand() map[string]int {
	demand := make(map[string]int, len(ac.customers))
	for name, c := range ac.customers {
		if c.inFlight > 0 {
			demand[name] = c.inFlight
		}
	}
	for _, s := range ac.schedulers {
		for _, q := range s.queues {
			if n := q.queue.len(); n > 0 {
				demand[q.customer.contract.Customer] += n
			}
		}
	}
	return demand
}
