package query

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"comfreypulley/core/admit"
	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/retry"
	"comfreypulley/core/route"
)

// Periods of the table's own timers.
const (
	probePeriod  = 500 * time.Millisecond // leaves time for a drain to be seen within 2 s
	probeTimeout = time.Second
	sweepPeriod  = 100 * time.Millisecond // summaries to the control state
)

// Table holds the requests of one traffic state. The zero value refuses every
// request until Start and View.
type Table struct {
	start    event.Start
	random   *rand.Rand
	picker   picker
	hedger   hedger
	gate     admit.Gate
	routes   route.Map
	budgets  map[string]*retry.Budget
	latency  map[string]*retry.Histogram // of attempts, by index
	queries  map[model.RequestID]*query
	attempts map[model.AttemptID]*attempt
	waiters  map[model.UpstreamID][]waiter
	next     model.AttemptID
	ready    bool // a view is in force and every upstream was probed once
	draining bool
}

// picker chooses the replica for an attempt.
type picker interface {
	Pick(at time.Time, index string, version model.Version, shard int, exclude []model.UpstreamID) (route.Choice, bool)
}

// hedger decides how long an attempt may take before it is hedged.
type hedger interface {
	// Delay reports false when the attempt is not to be hedged.
	Delay(index string) (time.Duration, bool)
}

// Start takes over the settings of the state.
func (t *Table) Start(at time.Time, start event.Start, out []effect.Effect) []effect.Effect {
	t.start = start
	t.random = rand.New(rand.NewPCG(start.Seed, uint64(start.Loop)))
	t.budgets = make(map[string]*retry.Budget)
	t.latency = make(map[string]*retry.Histogram)
	t.queries = make(map[model.RequestID]*query)
	t.attempts = make(map[model.AttemptID]*attempt)
	t.waiters = make(map[model.UpstreamID][]waiter)
	t.picker, t.hedger = &t.routes, (*adaptiveHedger)(t)
	if start.Plain {
		t.picker, t.hedger = &randomPicker{routes: &t.routes, random: t.random}, neverHedger{}
	}
	out = append(out, effect.SetTimer{ID: event.TimerID{Kind: event.TimerProbe}, At: at.Add(probePeriod)})
	return append(out, effect.SetTimer{ID: event.TimerID{Kind: event.TimerSweep}, At: at.Add(sweepPeriod)})
}

// View takes over a configuration and the shares of this state.
func (t *Table) View(_ time.Time, view event.View, out []effect.Effect) []effect.Effect {
	t.gate.SetTopology(view.Topology, view.Share)
	for _, id := range t.routes.SetTopology(view.Topology, view.Share, t.start.VM.Zone) {
		u, conns := t.routes.Conns(id)
		out = append(out, effect.Limit{Upstream: id, Addr: u.Addr, Conns: conns})
		if conns > 0 {
			out = append(out, effect.Probe{Upstream: id, Addr: u.Addr, Timeout: probeTimeout})
		}
	}
	for customer, contract := range view.Topology.Contracts {
		t.budget(customer).SetRatio(contract.Extra)
	}
	if !t.ready && !t.draining {
		t.ready = true
		out = append(out, effect.Ready{Ready: true})
	}
	return out
}

// Request takes a caller's request.
func (t *Table) Request(at time.Time, r event.Request, out []effect.Effect) []effect.Effect {
	if t.draining {
		return t.reject(r.ID, model.RefusedDraining, "the VM is shutting down", model.RanNo, time.Second, out)
	}
	contract, class, err := t.gate.Check(r)
	var refused *admit.RefusedError
	if errors.As(err, &refused) {
		return t.reject(r.ID, refused.Reason, refused.Detail, model.RanNo, 0, out)
	}
	q := &query{
		request:  r,
		contract: contract,
		class:    class,
		ran:      model.RanNo,
		ticket: admit.Ticket{
			Request: r.ID, Customer: r.Customer, Class: class, Deadline: at.Add(class.Wait),
		},
	}
	switch t.gate.Enter(at, q.ticket) {
	case admit.Late:
		return t.reject(r.ID, model.RefusedDeadline, "the deadline cannot be met", model.RanNo, class.Wait, out)
	case admit.Full:
		return t.reject(r.ID, model.RefusedBusy, "the queue is full", model.RanNo, class.Wait, out)
	case admit.Queued:
		t.queries[r.ID] = q
		return t.wakeAt(q, q.deadline(), out)
	default:
		t.queries[r.ID] = q
		return t.begin(at, q, out)
	}
}

// Gone drops the request of a caller that left. A non-idempotent request goes
// on, so that its outcome is recorded.
func (t *Table) Gone(at time.Time, gone event.Gone, out []effect.Effect) []effect.Effect {
	q, ok := t.queries[gone.Request]
	if !ok || (!q.idempotent() && q.phase != phaseQueued) {
		return out
	}
	return t.drop(at, q, out)
}

// Drain refuses new requests and reports when the last one has ended.
func (t *Table) Drain(_ time.Time, out []effect.Effect) []effect.Effect {
	t.draining = true
	out = append(out, effect.Ready{Ready: false})
	return t.drained(out)
}

// Timer handles the table's timers.
func (t *Table) Timer(at time.Time, id event.TimerID, out []effect.Effect) []effect.Effect {
	switch id.Kind {
	case event.TimerQuery:
		q, ok := t.queries[model.RequestID(id.N)]
		if !ok {
			return out
		}
		q.wake = time.Time{}
		return t.advance(at, q, out)
	case event.TimerProbe:
		for _, u := range t.routes.Upstreams() {
			out = append(out, effect.Probe{Upstream: u.ID, Addr: u.Addr, Timeout: probeTimeout})
		}
		return append(out, effect.SetTimer{ID: id, At: at.Add(probePeriod)})
	case event.TimerSweep:
		out = append(out, effect.ToControl{Body: event.Summary{Loop: t.start.Loop, Demand: t.gate.Demand()}})
		return append(out, effect.SetTimer{ID: id, At: at.Add(sweepPeriod)})
	default:
		return out
	}
}

// Reported takes over the result of a probe.
func (t *Table) Reported(at time.Time, r event.Reported, out []effect.Effect) []effect.Effect {
	t.routes.Report(at, r)
	return t.wakeWaiters(at, r.Upstream, out)
}

// wakeAt sets the query's timer unless it is already due earlier.
func (t *Table) wakeAt(q *query, due time.Time, out []effect.Effect) []effect.Effect {
	if !q.wake.IsZero() && !due.Before(q.wake) {
		return out
	}
	q.wake = due
	return append(out, effect.SetTimer{ID: timerOf(q), At: due})
}

func (t *Table) budget(customer string) *retry.Budget {
	b, ok := t.budgets[customer]
	if !ok {
		b = &retry.Budget{}
		t.budgets[customer] = b
	}
	return b
}

func (t *Table) histogram(index string) *retry.Histogram {
	h, ok := t.latency[index]
	if !ok {
		h = &retry.Histogram{}
		t.latency[index] = h
	}
	return h
}

// drained reports the end of the last request while draining.
func (t *Table) drained(out []effect.Effect) []effect.Effect {
	if t.draining && len(t.queries) == 0 {
		return append(out, effect.Drained{})
	}
	return out
}

// adaptiveHedger hedges after the 95th percentile of the index's latency.
type adaptiveHedger Table

const hedgeQuantile = 0.95

// Delay implements hedger.
func (h *adaptiveHedger) Delay(index string) (time.Duration, bool) {
	histogram, ok := h.latency[index]
	if !ok {
		return 0, false
	}
	return histogram.Quantile(hedgeQuantile)
}

// neverHedger is the plain policy.
type neverHedger struct{}

// Delay implements hedger.
func (neverHedger) Delay(string) (time.Duration, bool) { return 0, false }

// randomPicker is the plain policy: any usable replica.
type randomPicker struct {
	routes *route.Map
	random *rand.Rand
}

// Pick implements picker.
func (p *randomPicker) Pick(at time.Time, index string, version model.Version, shard int, exclude []model.UpstreamID) (route.Choice, bool) {
	ids := p.routes.Replicas(at, index, version, shard, exclude)
	if len(ids) == 0 {
		return route.Choice{}, false
	}
	u, _ := p.routes.Conns(ids[p.random.IntN(len(ids))])
	return route.Choice{Upstream: u}, true
}

// waiter is a shard that waits for a replica within its limits.
type waiter struct {
	request model.RequestID
	shard   int
}

// wakeWaiters lets shards that wait for the upstream try again.
func (t *Table) wakeWaiters(at time.Time, id model.UpstreamID, out []effect.Effect) []effect.Effect {
	waiting := t.waiters[id]
	if len(waiting) == 0 {
		return out
	}
	delete(t.waiters, id)
	for i, w := range waiting {
		q, ok := t.queries[w.request]
		if !ok || w.shard >= len(q.shards) || !q.shards[w.shard].waiting {
			continue
		}
		q.shards[w.shard].waiting = false
		out = t.try(at, q, w.shard, out)
		if q.shards[w.shard].waiting {
			// The limit is reached again. The rest keeps its turn.
			t.waiters[id] = append(slices.Clone(waiting[i+1:]), t.waiters[id]...)
			return out
		}
	}
	return out
}

func timerOf(q *query) event.TimerID {
	return event.TimerID{Kind: event.TimerQuery, N: uint64(q.request.ID)}
}
