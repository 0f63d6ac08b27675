package admit

import (
	"slices"
	"time"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// maxQueue bounds the queue of one contract on one traffic state.
const maxQueue = 1024

// Gate admits requests. The zero value knows no contract and refuses all.
type Gate struct {
	tenants map[string]*tenant
	lanes   map[string]*lane // by index
	names   []string         // of the lanes, ascending
	ready   bool
}

// Ticket is a request that asks to start.
type Ticket struct {
	Request  model.RequestID
	Customer string
	Index    string
	Class    model.Class
	Deadline time.Time
	Cost     int // sub-requests
}

// Verdict is the answer to a ticket.
type Verdict uint8

// Verdicts.
const (
	Started Verdict = iota
	Queued
	Late // the deadline cannot be met
	Full // the queue is full
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

// SetTopology takes over the contracts in force and the shares of their
// concurrency.
func (g *Gate) SetTopology(t *model.Topology, share model.Quota) {
	if g.tenants == nil {
		g.tenants = make(map[string]*tenant)
		g.lanes = make(map[string]*lane)
	}
	g.ready = true
	slots := make(map[string]int)
	for id, u := range t.Upstreams {
		slots[u.Index] += share.Conns[id]
	}
	for index, n := range slots {
		g.lane(index).slots = n
	}
	for customer, known := range g.tenants {
		contract, ok := t.Contracts[customer]
		if !ok || contract.Retired {
			known.retired = true
		}
	}
	for customer, contract := range t.Contracts {
		if contract.Retired {
			continue
		}
		known, ok := g.tenants[customer]
		if !ok {
			known = &tenant{}
			g.tenants[customer] = known
		}
		known.retired = false
		known.set(contract, share.Concurrency[customer])
	}
}

// Check returns the contract and class for a request. The error is a
// *RefusedError.
func (g *Gate) Check(r event.QueryRequest) (contract *model.Contract, class model.Class, err error) {
	if !g.ready {
		return nil, class, &RefusedError{model.RefusedStale, "no configuration in force yet"}
	}
	t, ok := g.tenants[r.Customer]
	// An unknown customer and a wrong secret look the same, so that names of
	// customers cannot be tried out.
	if !ok || t.retired || !t.contract.Accepts(r.Credential) {
		return nil, class, &RefusedError{model.RefusedCredential, "unknown customer or wrong secret"}
	}
	if !t.contract.Allows(r.Index) {
		return nil, class, &RefusedError{model.RefusedIndex, "the contract does not include index " + r.Index}
	}
	class, ok = t.contract.ClassFor(r.Wait)
	if !ok {
		return nil, class, &RefusedError{
			model.RefusedWait,
			"the stated wait is below " + t.contract.Classes[0].Wait.String() + ", the shortest of the contract",
		}
	}
	return t.contract, class, nil
}

// Enter starts a ticket, queues it, or refuses it.
func (g *Gate) Enter(at time.Time, ticket Ticket) Verdict {
	t := g.tenants[ticket.Customer]
	l := g.lane(ticket.Index)
	f := l.flow(t)
	l.ask(at, f)
	if l.inflight > 0 && at.Add(l.typical()).After(ticket.Deadline) {
		return Late
	}
	if f.queue.len() == 0 && l.may(at, f, ticket.Cost) && (l.queued == 0 || l.next(at) == nil) {
		l.start(f, ticket.Cost)
		return Started
	}
	if f.queue.len() >= maxQueue {
		return Full
	}
	if at.Add(l.expectedWait(at, f)).Add(l.typical()).After(ticket.Deadline) {
		return Late
	}
	if f.queue.len() == 0 {
		f.finish = max(f.finish, l.virtual)
	}
	f.queue.push(ticket)
	l.queued++
	return Queued
}

// Leave ends a started ticket that was answered after took, or refused when
// took is zero. It returns the tickets that start now and those that are too
// late to start.
func (g *Gate) Leave(at time.Time, ticket Ticket, took time.Duration) (started, late []Ticket) {
	t, ok := g.tenants[ticket.Customer]
	if !ok {
		return nil, nil
	}
	l := g.lane(ticket.Index)
	t.running--
	l.finished(l.flow(t), ticket.Cost, took)
	return g.Sweep(at)
}

// Sweep starts what may start now, and returns the same lists as Leave.
func (g *Gate) Sweep(at time.Time) (started, late []Ticket) {
	for _, index := range g.names {
		started, late = g.lanes[index].dispatch(at, started, late)
	}
	return started, late
}

// Due returns when Sweep may start a queued ticket without another event, zero
// when no ticket waits for the time alone.
func (g *Gate) Due(at time.Time) time.Time {
	var first time.Time
	for _, l := range g.lanes {
		if due := l.due(at); !due.IsZero() && (first.IsZero() || due.Before(first)) {
			first = due
		}
	}
	return first
}

// Shed notes that an upstream of the index shed an attempt.
func (g *Gate) Shed(index string) {
	g.lane(index).window.sheds++
}

// Missed notes that a query on the index missed its deadline.
func (g *Gate) Missed(index string) {
	g.lane(index).window.missed++
}

// Adjust moves the rates of all indexes. It is called at regular times.
func (g *Gate) Adjust(at time.Time) {
	for _, l := range g.lanes {
		l.adjust(at)
	}
}

// Abandon removes a queued ticket.
func (g *Gate) Abandon(ticket Ticket) {
	t, ok := g.tenants[ticket.Customer]
	if !ok {
		return
	}
	l := g.lane(ticket.Index)
	if l.flow(t).queue.remove(ticket) {
		l.queued--
	}
}

// lane returns the lane of an index.
func (g *Gate) lane(index string) *lane {
	l, ok := g.lanes[index]
	if !ok {
		l = &lane{}
		g.lanes[index] = l
		i, _ := slices.BinarySearch(g.names, index)
		g.names = slices.Insert(g.names, i, index)
	}
	return l
}

// Demand returns the requests in flight and queued by customer.
func (g *Gate) Demand() map[string]int {
	demand := make(map[string]int, len(g.tenants))
	for customer, t := range g.tenants {
		if t.running > 0 {
			demand[customer] = t.running
		}
	}
	for _, l := range g.lanes {
		for _, f := range l.flows {
			if n := f.queue.len(); n > 0 {
				demand[f.tenant.contract.Customer] += n
			}
		}
	}
	return demand
}
