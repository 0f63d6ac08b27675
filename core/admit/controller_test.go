package admit

import (
	"testing"
	"time"

	"comfreypulley/core/model"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newController(slots int, concurrency map[string]int) *Controller {
	t := &model.Topology{
		Contracts: make(map[string]model.Contract), Upstreams: map[model.UpstreamID]model.Upstream{"u1": {ID: "u1", Index: "pairing"}},
	}
	for customer := range concurrency {
		t.Contracts[customer] = model.Contract{Customer: customer, Capacity: 1}
	}
	var c Controller
	c.SetTopology(t, model.Quota{Concurrency: concurrency, Conns: map[model.UpstreamID]int{"u1": slots}})
	return &c
}

func newQuery(id int, customer string) Query {
	return Query{
		ID: model.RequestID(id), Customer: customer, Index: "pairing", Class: model.Class{Name: "now", Weight: 1},
		Deadline: startTime.Add(time.Second), Cost: 1,
	}
}

// Guards against a customer whose queued queries all start before those of
// another customer: the customers are served in turn.
func TestCustomersTakeTurns(t *testing.T) {
	c := newController(1, map[string]int{"busy": 100, "quiet": 100})
	for id := range 20 {
		c.Submit(startTime, newQuery(id, "busy"))
	}
	if got := c.Submit(startTime, newQuery(100, "quiet")); got != Queued {
		t.Fatalf("got decision %d, want %d", got, Queued)
	}
	for n := range 2 {
		started, _ := c.Finish(startTime, newQuery(n, "busy"), time.Millisecond)
		for _, s := range started {
			if s.Customer == "quiet" {
				return
			}
		}
	}
	t.Error("the query of the quiet customer did not start within two turns")
}

// Guards against an abandoned query that still starts or counts as demand.
func TestAbandonedQueryIsNotStarted(t *testing.T) {
	c := newController(100, map[string]int{"acme": 1})
	c.Submit(startTime, newQuery(1, "acme"))
	c.Submit(startTime, newQuery(2, "acme"))
	c.Remove(newQuery(2, "acme"))
	started, late := c.Finish(startTime, newQuery(1, "acme"), time.Millisecond)
	if len(started)+len(late) != 0 || len(c.Demand()) != 0 {
		t.Errorf("got started %v, late %v, demand %v, want none", started, late, c.Demand())
	}
}

// Guards against queries that are queued although their deadline cannot be met.
func TestQueryThatWouldBeLateIsRefusedOnArrival(t *testing.T) {
	c := newController(100, map[string]int{"acme": 1})
	for id := range 20 {
		c.Submit(startTime, newQuery(2*id, "acme"))
		c.Finish(startTime, newQuery(2*id, "acme"), 400*time.Millisecond)
	}
	c.Submit(startTime, newQuery(100, "acme"))
	if got := c.Submit(startTime, newQuery(101, "acme")); got != TooLate {
		t.Errorf("got decision %d with 0.4 s a query and 1 s left, want %d", got, TooLate)
	}
}

// Guards against a rate that stays low after an overload has ended.
func TestRateRecovers(t *testing.T) {
	c := newController(1000, map[string]int{"acme": 1000})
	at := startTime
	c.Adjust(at)
	runWindow := func(queries, sheds int) int {
		started := 0
		for id := range queries {
			query := newQuery(id, "acme")
			query.Deadline = at.Add(time.Millisecond)
			at = at.Add(100 * time.Millisecond / time.Duration(queries))
			if c.Submit(at, query) == Started {
				started++
				c.Finish(at, query, time.Microsecond)
			}
		}
		for range sheds {
			c.RecordShed("pairing")
		}
		c.Adjust(at)
		return started
	}
	for range 5 {
		runWindow(100, 50)
	}
	if got := runWindow(100, 0); got > 50 {
		t.Fatalf("got %d of 100 queries started under overload, want at most 50", got)
	}
	for range 50 {
		runWindow(100, 0)
	}
	if got := runWindow(100, 0); got < 95 {
		t.Errorf("got %d of 100 queries started 5 s after the overload, want at least 95", got)
	}
}

// Guards against refused queries that lower the measured durations: answered
// queries then seem to queue at the upstreams, and the rate falls.
func TestRefusedQueryIsNotTimed(t *testing.T) {
	c := newController(100, map[string]int{"acme": 10})
	run := func(id int, duration time.Duration) {
		c.Submit(startTime, newQuery(id, "acme"))
		c.Finish(startTime, newQuery(id, "acme"), duration)
	}
	for id := range 20 {
		run(id, 40*time.Millisecond)
	}
	s := c.scheduler("pairing")
	unloaded, typical := s.unloadedDuration, s.typicalDuration()
	for id := range 20 {
		run(20+id, 0)
	}
	if s.unloadedDuration != unloaded || s.typicalDuration() != typical {
		t.Errorf("got unloaded duration %v and typical duration %v after refusals, want %v and %v",
			s.unloadedDuration, s.typicalDuration(), unloaded, typical)
	}
	if s.inFlight != 0 || s.usedSlots != 0 {
		t.Errorf("got %d queries and %d subrequests in flight, want none", s.inFlight, s.usedSlots)
	}
}

// Guards against queries that are started under a lease which has ended, by a
// process that was paused and has not been told of the end yet.
func TestEndedLeaseStartsNothing(t *testing.T) {
	c := newController(100, map[string]int{"acme": 1})
	end := startTime.Add(time.Second)
	c.SetTopology(&model.Topology{
		Contracts: map[string]model.Contract{"acme": {Customer: "acme", Capacity: 1}},
		Upstreams: map[model.UpstreamID]model.Upstream{"u1": {ID: "u1", Index: "pairing"}},
	}, model.Quota{
		Concurrency: map[string]int{"acme": 3}, Leased: map[string]int{"acme": 2}, LeaseEnd: end, Conns: map[model.UpstreamID]int{"u1": 100},
	})
	for id, want := range []Decision{Started, Started} {
		if got := c.Submit(startTime, newQuery(id, "acme")); got != want {
			t.Fatalf("got decision %d for query %d under the lease, want %d", got, id, want)
		}
	}
	query := newQuery(2, "acme")
	query.Deadline = end.Add(time.Second)
	if got, want := c.Submit(end, query), Queued; got != want {
		t.Errorf("got decision %d at the end of the lease, want %d", got, want)
	}
	if started, _ := c.Finish(end, newQuery(0, "acme"), time.Millisecond); len(started) != 0 {
		t.Errorf("got %d queries started beyond the floor, want none", len(started))
	}
}
