package query

import (
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

// Timers of the table.
const (
	probePeriod  = 500 * time.Millisecond // short enough to notice a draining upstream within 2 s
	probeTimeout = time.Second
	sweepPeriod  = 100 * time.Millisecond // between periodic cleanups, which also report the demand to the control state

	queueTimer = 1 // TimerID.N of the timer that starts queued requests; the housekeeping timer has 0
)

// Table runs the queries of one traffic state. Start has to be called first;
// every request is refused until HandleView has supplied a configuration.
type Table struct {
	start            event.Start
	random           *rand.Rand
	picker           picker
	hedger           hedger
	guard            guard
	limiter          limiter
	gate             admit.Controller
	balancer         route.Balancer
	budgets          map[string]*retry.Budget
	latencies        map[string]*retry.Histogram // of attempts, by index
	queries          map[model.RequestID]*query
	pendingClaims    map[model.RequestID]struct{}     // proposed, without an answer of the ledger yet
	attempts         map[model.AttemptID]attempt      // in flight, also those whose query has ended
	capacityWaiters  map[model.UpstreamID]*waitQueue  // shards that wait for capacity of a replica
	exclusiveWaiters map[model.Fingerprint]*waitQueue // shards that wait for exclusive use of a fingerprint
	holderWaiters    waitQueue                        // shards that wait for a holder, and queries that wait for a version
	lastAttempt      model.AttemptID                  // latest id in use
	attemptsStarted  [attemptKindCount]int64          // attempts started during the current event
	ready            bool                             // a configuration is in force, and a first probe of every upstream was sent
	queueTimerAt     time.Time                        // when the timer for queued requests fires; zero when none is set
	tokenWaits       map[model.RequestID]tokenWait    // wait for a token of their customer's limit
	draining         bool
	drainReported    bool // effect.Drained was sent
}

// attemptKind is the reason why an attempt was started.
type attemptKind uint8

const (
	kindFirst attemptKind = iota
	kindCanary
	kindRetry
	kindHedge
	attemptKindCount
)

// attemptKindNames are the reasons in the metric effect.CountAttempts.
var attemptKindNames = [attemptKindCount]string{"first", "canary", "retry", "hedge"}

// Start initializes the table and starts its periodic timers.
func (t *Table) Start(at time.Time, start event.Start, out []effect.Effect) []effect.Effect {
	t.start = start
	t.random = rand.New(rand.NewPCG(start.Seed, uint64(start.Loop)))
	t.budgets = make(map[string]*retry.Budget)
	t.latencies = make(map[string]*retry.Histogram)
	t.queries = make(map[model.RequestID]*query)
	t.pendingClaims = make(map[model.RequestID]struct{})
	t.attempts = make(map[model.AttemptID]attempt)
	t.capacityWaiters = make(map[model.UpstreamID]*waitQueue)
	t.exclusiveWaiters = make(map[model.Fingerprint]*waitQueue)
	t.picker, t.hedger, t.guard, t.limiter = &t.balancer, (*adaptiveHedger)(t), &crash.Guard{}, &t.gate
	if start.Baseline {
		t.picker, t.hedger = &randomPicker{balancer: &t.balancer, random: t.random}, noHedger{}
		t.guard, t.limiter = noGuard{}, noLimiter{}
	}
	out = append(out, effect.SetTimer{ID: event.TimerID{Kind: event.TimerProbe}, At: at.Add(probePeriod)})
	return append(out, effect.SetTimer{ID: event.TimerID{Kind: event.TimerSweep}, At: at.Add(sweepPeriod)})
}

// HandleView applies a configuration and this traffic state's quota of the
// fleet-wide limits.
func (t *Table) HandleView(at time.Time, view event.View, out []effect.Effect) []effect.Effect {
	t.gate.SetTopology(view.Topology, view.Quota)
	changed := t.balancer.SetTopology(view.Topology.DrainZones(), view.Quota, t.start.VM.Zone)
	for _, id := range changed {
		u, conns := t.balancer.Upstream(id)
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
		out = t.retryAllWaiters(at, id, out)
	}
	return t.finish(at, out)
}

// HandleQueryRequest admits, queues or refuses a caller's request.
func (t *Table) HandleQueryRequest(at time.Time, r event.QueryRequest, out []effect.Effect) []effect.Effect {
	if t.draining {
		return t.emitRefusal(r.ID, model.RefusedDraining, "the VM is shutting down", model.RanNo, time.Second, out)
	}
	contract, _, refused := t.authorize(r)
	if refused != nil {
		return t.emitRefusal(r.ID, refused.Reason, refused.Detail, model.RanNo, 0, out)
	}
	if contract.Limit.Limited() {
		return t.requestToken(at, r, out)
	}
	return t.finish(at, t.admit(at, at, r, out))
}

// admit starts, queues or refuses a request that arrived at a time, and is within its
// customer's limit.
func (t *Table) admit(at, arrived time.Time, r event.QueryRequest, out []effect.Effect) []effect.Effect {
	contract, class, refused := t.authorize(r)
	if refused != nil {
		return t.emitRefusal(r.ID, refused.Reason, refused.Detail, model.RanNo, 0, out)
	}
	q := &query{
		request:  r,
		contract: contract,
		class:    class,
		ran:      model.RanNo,
		ticket: admit.Query{
			ID: r.ID, Customer: r.Customer, Class: class, Deadline: arrived.Add(class.Wait),
			Index: r.Index, Cost: t.balancer.ShardCount(r.Index),
		},
	}
	if t.guard.Verdict(at, r.Fingerprint) == crash.Quarantined {
		return t.emitRefusal(r.ID, model.RefusedQuarantine, "the request crashed upstreams that ran it", model.RanNo, 0, out)
	}
	switch t.gate.Submit(at, q.ticket) {
	case admit.TooLate:
		return t.emitRefusal(r.ID, model.RefusedDeadline, "the deadline cannot be met", model.RanNo, class.Wait, out)
	case admit.QueueFull:
		return t.emitRefusal(r.ID, model.RefusedBusy, "the queue is full", model.RanNo, class.Wait, out)
	case admit.Queued:
		t.queries[r.ID] = q
		out = t.setTimer(q, q.deadline(), out)
	default:
		t.queries[r.ID] = q
		out = t.begin(at, q, out)
	}
	return out
}

// HandleCallerDisconnected ends the request of a caller that left. A
// non-idempotent request that has proposed its claim stays until the claim is
// settled or released.
func (t *Table) HandleCallerDisconnected(at time.Time, d event.CallerDisconnected, out []effect.Effect) []effect.Effect {
	if _, ok := t.tokenWaits[d.Request]; ok {
		delete(t.tokenWaits, d.Request)
		return t.finish(at, out)
	}
	q, ok := t.queries[d.Request]
	if !ok || q.detached {
		return out
	}
	if q.idempotent() || q.phase == phaseQueued || q.phase == phaseRefusalDelayed {
		return t.finish(at, t.endDisconnected(at, q, out))
	}
	return t.finish(at, t.close(at, q, out))
}

// Drain refuses new requests from now on and lets the others end. After the last
// one, effect.Drained follows.
func (t *Table) Drain(at time.Time, out []effect.Effect) []effect.Effect {
	t.draining = true
	out = append(out, effect.Ready{Ready: false})
	return t.finish(at, out)
}

// HandleTimer handles the table's timers.
func (t *Table) HandleTimer(at time.Time, id event.TimerID, out []effect.Effect) []effect.Effect {
	switch id.Kind {
	case event.TimerQuery:
		q, ok := t.queries[model.RequestID(id.N)]
		if !ok {
			return out
		}
		q.timerAt = time.Time{}
		out = t.advance(at, q, out)
	case event.TimerProbe:
		for _, u := range t.balancer.DueProbes(at) {
			out = t.probe(u, out)
		}
		out = append(out, effect.SetTimer{ID: id, At: at.Add(probePeriod)})
	case event.TimerSweep:
		if id.N == queueTimer {
			t.queueTimerAt = time.Time{}
			started, late := t.gate.Dispatch(at)
			out = t.startQueued(at, started, late, out)
			return t.finish(at, out)
		}
		out = t.sweep(at, out)
		out = append(out, effect.SetTimer{ID: id, At: at.Add(sweepPeriod)})
	default:
	}
	return t.finish(at, out)
}

// sweep reports the demand to the control state, expires state of the guard,
// adjusts the limiter, and starts queued requests that may start by now.
func (t *Table) sweep(at time.Time, out []effect.Effect) []effect.Effect {
	out = append(out, effect.ToControl{Body: event.DemandReport{Loop: t.start.Loop, Demand: t.gate.Demand()}})
	for _, fp := range t.guard.Expire(at) {
		out = t.retryExclusiveWaiters(at, fp, out)
	}
	if answered := t.guard.TakeAnswered(); len(answered) > 0 {
		out = append(out, effect.ToControl{Body: event.CrashReport{Answered: answered}})
	}
	t.limiter.Adjust(at)
	started, late := t.gate.Dispatch(at)
	return t.startQueued(at, started, late, out)
}

// HandleProbeResult handles the result of a probe.
func (t *Table) HandleProbeResult(at time.Time, r event.ProbeResult, out []effect.Effect) []effect.Effect {
	for _, report := range t.guard.RecordProbe(at, r.Upstream, !r.Reachable || r.Cold) {
		out = append(out, effect.ToControl{Body: report})
	}
	if t.balancer.RecordProbe(at, r) {
		out = t.retryAllWaiters(at, r.Upstream, out)
		out = t.retryHolderWaiters(at, out)
	}
	out = t.retryCapacityWaiters(at, r.Upstream, out)
	return t.finish(at, out)
}

// HandleCrashReport records strikes that another traffic state or VM shared.
func (t *Table) HandleCrashReport(at time.Time, report event.CrashReport, out []effect.Effect) []effect.Effect {
	t.guard.RecordCrashReport(at, report)
	out = t.retryExclusiveWaiters(at, report.Fingerprint, out)
	return t.finish(at, out)
}

func (t *Table) probe(id model.UpstreamID, out []effect.Effect) []effect.Effect {
	u, conns := t.balancer.Upstream(id)
	if conns == 0 {
		return out
	}
	return append(out, effect.Probe{Upstream: id, Addr: u.Addr, Timeout: probeTimeout})
}

// setTimer makes the query's timer fire at due, unless it fires earlier anyway.
func (t *Table) setTimer(q *query, due time.Time, out []effect.Effect) []effect.Effect {
	if !q.timerAt.IsZero() && !due.Before(q.timerAt) {
		return out
	}
	q.timerAt = due
	return append(out, effect.SetTimer{ID: queryTimer(q), At: due})
}

// finish completes the handling of an event. It sets the timer for queued
// requests, counts the attempts that the event started, and, while draining,
// reports when no request is left.
func (t *Table) finish(at time.Time, out []effect.Effect) []effect.Effect {
	if due := t.gate.NextStart(at); !due.IsZero() && (t.queueTimerAt.IsZero() || due.Before(t.queueTimerAt)) {
		t.queueTimerAt = due
		out = append(out, effect.SetTimer{ID: event.TimerID{Kind: event.TimerSweep, N: queueTimer}, At: due})
	}
	for k, n := range t.attemptsStarted {
		if n > 0 {
			out = append(out, effect.Count{Counter: effect.CountAttempts, Reason: attemptKindNames[k], N: n})
			t.attemptsStarted[k] = 0
		}
	}
	if t.draining && !t.drainReported && len(t.queries) == 0 && len(t.pendingClaims) == 0 && len(t.tokenWaits) == 0 {
		t.drainReported = true
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
	h, ok := t.latencies[index]
	if !ok {
		h = &retry.Histogram{}
		t.latencies[index] = h
	}
	return h
}

func queryTimer(q *query) event.TimerID {
	return event.TimerID{Kind: event.TimerQuery, N: uint64(q.request.ID)}
}
