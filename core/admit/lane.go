package admit

import (
	"slices"
	"time"
)

// Tuning of the adaptive limit.
const (
	maxLimit      = 4096.0 // queries in flight; also the limit before anything is known
	leastLimit    = 0.05   // below 1 the limit is a rate: one query per typical duration divided by the limit
	shedDecrease  = 0.8
	missDecrease  = 0.9
	slowDecrease  = 0.95
	slowFactor    = 3   // times the unloaded duration, above which queries are taken to queue at the upstreams
	leastSlow     = 2.0 // slowness alone does not lower the limit below this, since one slow replica causes it too
	durationDecay = 0.1 // weight of a new duration in the average
	baseRise      = 0.002
	overcommit    = 2 // queries hold their sub-request slots for about half of their time
)

// lane admits the queries of one index. Its limit follows what the upstreams
// can take: it grows while it is used and nothing is shed, and shrinks on sheds,
// on missed deadlines and on durations far above the unloaded one.
type lane struct {
	slots     int // sub-requests of this state that the upstreams' connections allow
	used      int // sub-requests of the queries in flight
	inflight  int // queries
	limit     float64
	took      time.Duration // decaying average of query durations
	spread    time.Duration // decaying average of the deviation from it
	base      time.Duration // slowly rising minimum of query durations
	lowered   time.Time     // last decrease
	last      time.Time     // last start
	flows     []*flow       // by tenant, in the order of their first ticket
	virtual   float64       // start tag of the last ticket served
	queued    int
	saturated bool // the limit held a ticket back since the last completion
}

// flow holds the queued tickets of one tenant in a lane.
type flow struct {
	tenant *tenant
	queue  queue
	finish float64 // finish tag of the last ticket served
	used   int     // sub-requests in flight
}

func newLane() *lane {
	return &lane{limit: maxLimit}
}

// typical is how long a query usually runs at most.
func (l *lane) typical() time.Duration {
	return l.took + l.spread
}

// open reports whether another query is within the limits of the lane.
func (l *lane) open(at time.Time, cost int) bool {
	if l.inflight == 0 {
		if l.limit >= 1 {
			return true
		}
		return at.Sub(l.last) >= time.Duration(float64(l.took)/l.limit)
	}
	if float64(l.inflight+1) > l.limit {
		l.saturated = true
		return false
	}
	return l.slots == 0 || l.used+cost <= overcommit*l.slots
}

// expectedWait estimates how long a new ticket of the flow stays in the queue:
// the tickets served before it, at the rate at which queries complete.
func (l *lane) expectedWait(f *flow) time.Duration {
	ahead := 0
	for _, other := range l.flows {
		// Fair turns let another tenant go first at most as often as this one.
		if other != f {
			ahead += min(other.queue.len(), f.queue.len()+1)
		}
	}
	ahead += f.queue.len()
	parallel := max(leastLimit, min(l.limit, float64(max(l.inflight, 1))))
	wait := float64(l.took) * float64(ahead+1) / parallel
	if own := float64(l.took) * float64(f.queue.len()+1) / float64(max(1, f.tenant.limit)); own > wait {
		wait = own
	}
	return time.Duration(wait)
}

// may reports whether a ticket of the flow can start now.
func (l *lane) may(at time.Time, f *flow, cost int) bool {
	t := f.tenant
	if t.running >= t.limit || !l.open(at, cost) {
		return false
	}
	// A tenant uses at most its capacity share while others wait.
	if f.used > 0 && l.slots > 0 && l.queued > f.queue.len() {
		return float64(f.used+cost) <= t.contract.Capacity*float64(overcommit*l.slots)
	}
	return true
}

func (l *lane) start(at time.Time, f *flow, cost int) {
	f.tenant.running++
	f.used += cost
	l.used += cost
	l.inflight++
	l.last = at
	l.virtual = max(l.virtual, f.finish)
	f.finish = l.virtual + float64(max(1, cost))
}

// next returns the flow whose turn it is, or nil.
func (l *lane) next(at time.Time) *flow {
	var best *flow
	for _, f := range l.flows {
		head, ok := f.queue.peek()
		if !ok || best != nil && f.finish >= best.finish || !l.may(at, f, head.Cost) {
			continue
		}
		best = f
	}
	return best
}

// dispatch starts queued tickets while there is room.
func (l *lane) dispatch(at time.Time, started, late []Ticket) (s, r []Ticket) {
	for l.queued > 0 {
		f := l.next(at)
		if f == nil {
			break
		}
		ticket, _ := f.queue.pop()
		l.queued--
		if l.inflight > 0 && at.Add(l.typical()).After(ticket.Deadline) {
			late = append(late, ticket)
			continue
		}
		l.start(at, f, ticket.Cost)
		started = append(started, ticket)
	}
	return started, late
}

// finished takes over the end of a query.
func (l *lane) finished(f *flow, cost int, took time.Duration) {
	f.used -= cost
	l.used -= cost
	l.inflight--
	if l.took == 0 {
		l.took, l.base = took, took
	}
	deviation := took - l.took
	l.took += time.Duration(durationDecay * float64(deviation))
	l.spread += time.Duration(durationDecay * float64(deviation.Abs()-l.spread))
	if took < l.base {
		l.base = took
	} else {
		l.base += time.Duration(baseRise * float64(took-l.base))
	}
}

// adapt moves the limit after the end of a query.
func (l *lane) adapt(at time.Time) {
	switch {
	case l.took > slowFactor*l.base && l.limit > leastSlow:
		l.lower(at, slowDecrease)
	case l.saturated:
		l.limit = min(l.limit+1/max(1, l.limit), maxLimit)
		l.saturated = false
	}
}

// lower decreases the limit, once for the queries that were in flight together.
func (l *lane) lower(at time.Time, factor float64) {
	if at.Sub(l.lowered) < l.took {
		return
	}
	l.lowered = at
	l.limit = max(leastLimit, min(l.limit, float64(max(1, l.inflight)))*factor)
}

// flow returns the tickets of a tenant.
func (l *lane) flow(t *tenant) *flow {
	i := slices.IndexFunc(l.flows, func(f *flow) bool { return f.tenant == t })
	if i >= 0 {
		return l.flows[i]
	}
	f := &flow{tenant: t}
	l.flows = append(l.flows, f)
	return f
}
