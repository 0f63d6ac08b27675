package admit

import (
	"time"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// maxQueue bounds the queue of one contract on one traffic state.
const maxQueue = 1024

// Gate admits requests. The zero value knows no contract and refuses all.
type Gate struct {
	tenants map[string]*tenant
	ready   bool
}

// Ticket is a request that asks to start.
type Ticket struct {
	Request  model.RequestID
	Customer string
	Class    model.Class
	Deadline time.Time
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
	Reason model.Refusal
	Detail string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return string(e.Reason) + ": " + e.Detail
}

// SetTopology takes over the contracts in force and the shares of their
// concurrency.
func (g *Gate) SetTopology(t *model.Topology, share model.Share) {
	if g.tenants == nil {
		g.tenants = make(map[string]*tenant)
	}
	g.ready = true
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
func (g *Gate) Check(r event.Request) (contract *model.Contract, class model.Class, err error) {
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
	if t.running < t.limit && t.queue.len() == 0 {
		t.running++
		return Started
	}
	if t.queue.len() >= maxQueue {
		return Full
	}
	if at.Add(t.expectedWait()).Add(t.typical()).After(ticket.Deadline) {
		return Late
	}
	t.queue.push(ticket)
	return Queued
}

// Leave ends a started ticket. It returns the tickets that start now and those
// that are too late to start.
func (g *Gate) Leave(at time.Time, ticket Ticket, took time.Duration) (started, late []Ticket) {
	t, ok := g.tenants[ticket.Customer]
	if !ok {
		return nil, nil
	}
	t.running--
	t.finished(took)
	return t.start(at)
}

// Abandon removes a queued ticket.
func (g *Gate) Abandon(ticket Ticket) {
	if t, ok := g.tenants[ticket.Customer]; ok {
		t.queue.remove(ticket)
	}
}

// Demand returns the requests in flight and queued by customer.
func (g *Gate) Demand() map[string]int {
	demand := make(map[string]int, len(g.tenants))
	for customer, t := range g.tenants {
		if n := t.running + t.queue.len(); n > 0 {
			demand[customer] = n
		}
	}
	return demand
}
