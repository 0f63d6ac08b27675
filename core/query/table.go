package query

import (
	"errors"
	"math/rand/v2"
	"time"

	"comfreypulley/core/admit"
	"comfreypulley/core/crash"
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

	sweepQueue = 1 // number of the sweep timer that starts queued requests
)

// Table holds the requests of one traffic state. The zero value refuses every
// request until Start and View.
type Table struct {
	start    event.Start
	random   *rand.Rand
	picker   picker
	hedger   hedger
	guard    guard
	limiter  limiter
	gate     admit.Gate
	routes   route.Map
	budgets  map[string]*retry.Budget
	latency  map[string]*retry.Histogram // of attempts, by index
	queries  map[model.RequestID]*query
	claims   map[model.RequestID]struct{} // proposed and not answered by the ledger
	attempts map[model.AttemptID]attempt
	waiters  map[model.UpstreamID]*line
	turns    map[model.Fingerprint]*line
	lost     line // queries and shards that wait for a holder
	next     model.AttemptID
	sent     [kinds]int64 // attempts started by the event in hand
	ready    bool         // a view is in force and every upstream was probed once
	queueDue time.Time    // due time of the queue's timer; zero when none is set
	draining bool
	over     bool // the end of the drain was reported
}

// kind is why an attempt was started.
type kind uint8

const (
	kindFirst kind = iota
	kindCanary
	kindRetry
	kindHedge
	kinds
)

// kindNames are the reasons in the counter of attempts.
var kindNames = [kinds]string{"first", "canary", "retry", "hedge"}

// Start takes over the settings of the state.
func (t *Table) Start(at time.Time, start event.Start, out []effect.Effect) []effect.Effect {
	t.start = start
	t.random = rand.New(rand.NewPCG(start.Seed, uint64(start.Loop)))
	t.budgets = make(map[string]*retry.Budget)
	t.latency = make(map[string]*retry.Histogram)
	t.queries = make(map[model.RequestID]*query)
	t.claims = make(map[model.RequestID]struct{})
	t.attempts = make(map[model.AttemptID]attempt)
	t.waiters = make(map[model.UpstreamID]*line)
	t.turns = make(map[model.Fingerprint]*line)
	t.picker, t.hedger, t.guard, t.limiter = &t.routes, (*adaptiveHedger)(t), &crash.Guard{}, &t.gate
	if start.Baseline {
		t.picker, t.hedger = &randomPicker{routes: &t.routes, random: t.random}, neverHedger{}
		t.guard, t.limiter = openGuard{}, fixedLimiter{}
	}
	out = append(out, effect.SetTimer{ID: event.TimerID{Kind: event.TimerProbe}, At: at.Add(probePeriod)})
	return append(out, effect.SetTimer{ID: event.TimerID{Kind: event.TimerSweep}, At: at.Add(sweepPeriod)})
}

// View takes over a configuration and the shares of this state.
func (t *Table) View(at time.Time, view event.View, out []effect.Effect) []effect.Effect {
	t.gate.SetTopology(view.Topology, view.Quota)
	changed := t.routes.SetTopology(view.Topology, view.Quota, t.start.VM.Zone)
	for _, id := range changed {
		u, conns := t.routes.Conns(id)
		out = append(out, effect.LimitConns{Upstream: id, Addr: u.Addr, Conns: conns})
		if conns > 0 {
			out = append(out, effect.Probe{Upstream: id, Addr: u.Addr, Timeout: probeTimeout})
		}
	}
	for customer, contract := range view.Topology.Contracts {
		t.budget(customer).SetRatio(contract.RetryBudget)
	}
	if !t.ready && !t.draining {
		t.ready = true
		out = append(out, effect.Ready{Ready: true})
	}
	for _, id := range changed {
		out = t.recheck(at, id, out)
	}
	return t.finish(at, out)
}

// Request takes a caller's request.
func (t *Table) Request(at time.Time, r event.QueryRequest, out []effect.Effect) []effect.Effect {
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
			Index: r.Index, Cost: t.routes.Shards(r.Index),
		},
	}
	if t.guard.Judge(at, r.Fingerprint) == crash.Quarantined {
		return t.reject(r.ID, model.RefusedQuarantine, "the request crashed upstreams that ran it", model.RanNo, 0, out)
	}
	switch t.gate.Enter(at, q.ticket) {
	case admit.Late:
		return t.reject(r.ID, model.RefusedDeadline, "the deadline cannot be met", model.RanNo, class.Wait, out)
	case admit.Full:
		return t.reject(r.ID, model.RefusedBusy, "the queue is full", model.RanNo, class.Wait, out)
	case admit.Queued:
		t.queries[r.ID] = q
		out = t.wakeAt(q, q.deadline(), out)
	default:
		t.queries[r.ID] = q
		out = t.begin(at, q, out)
	}
	return t.finish(at, out)
}

// Gone drops the request of a caller that left. A non-idempotent request that
// was claimed goes on, so that its claim is settled or released.
func (t *Table) Gone(at time.Time, gone event.CallerDisconnected, out []effect.Effect) []effect.Effect {
	q, ok := t.queries[gone.Request]
	if !ok || q.closed {
		return out
	}
	if q.idempotent() || q.phase == phaseQueued || q.phase == phaseHolding {
		return t.finish(at, t.drop(at, q, out))
	}
	return t.finish(at, t.close(at, q, out))
}

// Drain refuses new requests and reports when the last one has ended.
func (t *Table) Drain(at time.Time, out []effect.Effect) []effect.Effect {
	t.draining = true
	out = append(out, effect.Ready{Ready: false})
	return t.finish(at, out)
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
		out = t.advance(at, q, out)
	case event.TimerProbe:
		for _, u := range t.routes.Due(at) {
			out = t.probe(u, out)
		}
		out = append(out, effect.SetTimer{ID: id, At: at.Add(probePeriod)})
	case event.TimerSweep:
		if id.N == sweepQueue {
			t.queueDue = time.Time{}
			started, late := t.gate.Sweep(at)
			out = t.enter(at, started, late, out)
			return t.finish(at, out)
		}
		out = t.sweep(at, out)
		out = append(out, effect.SetTimer{ID: id, At: at.Add(sweepPeriod)})
	default:
	}
	return t.finish(at, out)
}

// sweep tells the control state the demand and starts what time alone allows.
func (t *Table) sweep(at time.Time, out []effect.Effect) []effect.Effect {
	out = append(out, effect.ToControl{Body: event.DemandReport{Loop: t.start.Loop, Demand: t.gate.Demand()}})
	for _, fp := range t.guard.Sweep(at) {
		out = t.wakeTurns(at, fp, out)
	}
	t.limiter.Adjust(at)
	started, late := t.gate.Sweep(at)
	return t.enter(at, started, late, out)
}

// Reported takes over the result of a probe.
func (t *Table) Reported(at time.Time, r event.ProbeResult, out []effect.Effect) []effect.Effect {
	for _, struck := range t.guard.Reported(at, r.Upstream, !r.Reachable || r.Cold) {
		out = append(out, effect.ToControl{Body: struck})
	}
	if t.routes.Report(at, r) {
		out = t.recheck(at, r.Upstream, out)
		out = t.relocate(at, out)
	}
	out = t.wakeWaiters(at, r.Upstream, out)
	return t.finish(at, out)
}

// Struck takes over strikes that another traffic state or VM shared.
func (t *Table) Struck(at time.Time, s event.CrashReport, out []effect.Effect) []effect.Effect {
	t.guard.Struck(at, s)
	out = t.wakeTurns(at, s.Fingerprint, out)
	return t.finish(at, out)
}

func (t *Table) probe(id model.UpstreamID, out []effect.Effect) []effect.Effect {
	u, conns := t.routes.Conns(id)
	if conns == 0 {
		return out
	}
	return append(out, effect.Probe{Upstream: id, Addr: u.Addr, Timeout: probeTimeout})
}

// wakeAt sets the query's timer unless it is already due earlier.
func (t *Table) wakeAt(q *query, due time.Time, out []effect.Effect) []effect.Effect {
	if !q.wake.IsZero() && !due.Before(q.wake) {
		return out
	}
	q.wake = due
	return append(out, effect.SetTimer{ID: timerOf(q), At: due})
}

// finish counts the attempts that an event started, sets the timer of the queue,
// and reports the end of the last request while draining.
func (t *Table) finish(at time.Time, out []effect.Effect) []effect.Effect {
	if due := t.gate.Due(at); !due.IsZero() && (t.queueDue.IsZero() || due.Before(t.queueDue)) {
		t.queueDue = due
		out = append(out, effect.SetTimer{ID: event.TimerID{Kind: event.TimerSweep, N: sweepQueue}, At: due})
	}
	for k, n := range t.sent {
		if n > 0 {
			out = append(out, effect.Count{Counter: effect.CountAttempts, Reason: kindNames[k], N: n})
			t.sent[k] = 0
		}
	}
	if t.draining && !t.over && len(t.queries) == 0 && len(t.claims) == 0 {
		t.over = true
		out = append(out, effect.Drained{})
	}
	return out
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

func timerOf(q *query) event.TimerID {
	return event.TimerID{Kind: event.TimerQuery, N: uint64(q.request.ID)}
}
