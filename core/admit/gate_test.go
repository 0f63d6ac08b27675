package admit

import (
	"testing"
	"time"

	"comfreypulley/core/model"
)

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newGate(slots int, concurrency map[string]int) *Gate {
	t := &model.Topology{
		Contracts: make(map[string]model.Contract), Upstreams: map[model.UpstreamID]model.Upstream{"u1": {ID: "u1", Index: "pairing"}},
	}
	for customer := range concurrency {
		t.Contracts[customer] = model.Contract{Customer: customer, Capacity: 1}
	}
	var g Gate
	g.SetTopology(t, model.Quota{Concurrency: concurrency, Conns: map[model.UpstreamID]int{"u1": slots}})
	return &g
}

func ticket(id int, customer string) Ticket {
	return Ticket{
		Request: model.RequestID(id), Customer: customer, Index: "pairing", Class: model.Class{Name: "now", Weight: 1},
		Deadline: began.Add(time.Second), Cost: 1,
	}
}

// Guards against a flood that fills the queue before another tenant: the next
// places go to the tenants in turns.
func TestTenantsTakeTurns(t *testing.T) {
	g := newGate(1, map[string]int{"loud": 100, "quiet": 100})
	for id := range 20 {
		g.Enter(began, ticket(id, "loud"))
	}
	if got := g.Enter(began, ticket(100, "quiet")); got != Queued {
		t.Fatalf("got verdict %d, want %d", got, Queued)
	}
	for n := range 2 {
		started, _ := g.Leave(began, ticket(n, "loud"), time.Millisecond)
		for _, s := range started {
			if s.Customer == "quiet" {
				return
			}
		}
	}
	t.Error("the quiet tenant did not start within two turns")
}

// Guards against a queue slot or a running place that a caller who left keeps.
func TestAbandonedTicketIsNotStarted(t *testing.T) {
	g := newGate(100, map[string]int{"acme": 1})
	g.Enter(began, ticket(1, "acme"))
	g.Enter(began, ticket(2, "acme"))
	g.Abandon(ticket(2, "acme"))
	started, late := g.Leave(began, ticket(1, "acme"), time.Millisecond)
	if len(started)+len(late) != 0 || len(g.Demand()) != 0 {
		t.Errorf("got started %v, late %v, demand %v, want none", started, late, g.Demand())
	}
}

// Guards against requests that wait although their deadline cannot be met.
func TestHopelessTicketIsRefusedOnArrival(t *testing.T) {
	g := newGate(100, map[string]int{"acme": 1})
	for id := range 20 {
		g.Enter(began, ticket(2*id, "acme"))
		g.Leave(began, ticket(2*id, "acme"), 400*time.Millisecond)
	}
	g.Enter(began, ticket(100, "acme"))
	if got := g.Enter(began, ticket(101, "acme")); got != Late {
		t.Errorf("got verdict %d with 0.4 s a request and 1 s left, want %d", got, Late)
	}
}

// Guards against a rate that stays low after the overload ended.
func TestRateRecovers(t *testing.T) {
	g := newGate(1000, map[string]int{"acme": 1000})
	at := began
	g.Adjust(at)
	window := func(requests, sheds int) int {
		started := 0
		for id := range requests {
			late := ticket(id, "acme")
			late.Deadline = at.Add(time.Millisecond)
			at = at.Add(100 * time.Millisecond / time.Duration(requests))
			if g.Enter(at, late) == Started {
				started++
				g.Leave(at, late, time.Microsecond)
			}
		}
		for range sheds {
			g.Shed("pairing")
		}
		g.Adjust(at)
		return started
	}
	for range 5 {
		window(100, 50)
	}
	if got := window(100, 0); got > 50 {
		t.Fatalf("got %d of 100 requests started under overload, want at most 50", got)
	}
	for range 50 {
		window(100, 0)
	}
	if got := window(100, 0); got < 95 {
		t.Errorf("got %d of 100 requests started 5 s after the overload, want at least 95", got)
	}
}

// Guards against refused queries that lower the estimates of durations: the
// rate then falls, since answered queries seem to queue at the upstreams.
func TestRefusedQueryIsNotTimed(t *testing.T) {
	g := newGate(100, map[string]int{"acme": 10})
	run := func(id int, took time.Duration) {
		g.Enter(began, ticket(id, "acme"))
		g.Leave(began, ticket(id, "acme"), took)
	}
	for id := range 20 {
		run(id, 40*time.Millisecond)
	}
	l := g.lane("pairing")
	base, typical := l.base, l.typical()
	for id := range 20 {
		run(20+id, 0)
	}
	if l.base != base || l.typical() != typical {
		t.Errorf("got base %v and typical duration %v after refusals, want %v and %v", l.base, l.typical(), base, typical)
	}
	if l.inflight != 0 || l.used != 0 {
		t.Errorf("got %d queries and %d sub-requests in flight, want none", l.inflight, l.used)
	}
}
