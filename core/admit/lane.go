package admit

import (
	"slices"
	"time"
)

// Tuning of the adaptive rate.
const (
	durationDecay = 0.1 // weight of a new duration in the average
	baseRise      = 0.002
	overcommit    = 2    // queries hold their sub-request slots for about half of their time
	mostShed      = 0.03 // share of attempts shed above which the rate falls
	mostMissed    = 0.05 // share of queries late above which the rate falls
	leastSeen     = 3    // sheds or misses before their share counts, since one is often bad luck
	windowDecay   = 0.7  // weight of the windows before
	leastDecrease = 0.05
	mostDecrease  = 0.3
	increase      = 0.02 // for each good window in a row, up to mostIncrease
	mostIncrease  = 0.2
	nearCeiling   = 0.85 // share of the rate at the last overload, above which the rate rises slowly
	nearIncrease  = 0.01
	keptAfter     = 0.3 // part of the sheds and misses kept after a decrease
	slowFactor    = 6   // times the unloaded duration, above which queries are taken to queue at the upstreams
	leastRate     = 0.5
	burstTime     = 20 * time.Millisecond // of tokens that an unused rate saves
	leastBurst    = 2                     // tokens
	activeFor     = time.Second           // a tenant counts as waiting this long after it last asked
	waitFactor    = 2                     // margin of the estimated wait, so that few queued tickets become late
)

// lane admits the queries of one index. Its rate follows what the upstreams can
// take. A limit on queries in flight would be too coarse: where many VMs share
// upstreams with a few slots, the share of one VM is below two queries.
type lane struct {
	slots    int     // sub-requests of this state that the upstreams' connections allow
	used     int     // sub-requests of the queries in flight
	inflight int     // queries
	rate     float64 // queries a second; 0 while nothing was shed
	ceiling  float64 // rate at the last overload
	tokens   float64
	filled   time.Time     // when tokens was computed
	took     time.Duration // decaying average of query durations
	spread   time.Duration // decaying average of the deviation from it
	base     time.Duration // slowly rising minimum of query durations
	flows    []*flow       // by tenant, in the order of their first ticket
	virtual  float64       // start tag of the last ticket served
	queued   int
	last     asker // latest tenant that asked
	before   asker // latest one other than that
	window   window
}

// asker is a tenant and when it last asked.
type asker struct {
	flow *flow
	at   time.Time
}

// window is what happened since the last adjustment.
type window struct {
	since     time.Time
	starts    int
	all       float64 // queries started; this and the next three decay over the windows
	attempts  float64
	sheds     float64
	missed    float64
	saturated bool // the rate held a ticket back
	good      int  // windows without overload in a row
}

// flow holds the queued tickets of one tenant in a lane.
type flow struct {
	tenant *tenant
	queue  queue
	finish float64 // finish tag of the last ticket served
	used   int     // sub-requests in flight
	tokens float64 // of the tenant's capacity share
	filled time.Time
}

// typical is how long a query usually runs at most.
func (l *lane) typical() time.Duration {
	return l.took + l.spread
}

// refill adds the tokens of the time that passed.
func refill(tokens, rate float64, since, at time.Time) float64 {
	if since.IsZero() {
		return 1
	}
	return min(tokens+rate*at.Sub(since).Seconds(), max(leastBurst, rate*burstTime.Seconds()))
}

// open reports whether another query is within the limits of the lane.
func (l *lane) open(at time.Time, cost int) bool {
	if l.rate > 0 {
		l.tokens, l.filled = refill(l.tokens, l.rate, l.filled, at), at
		if l.tokens < 1 {
			l.window.saturated = true
			return false
		}
	}
	return l.inflight == 0 || l.slots == 0 || l.used+cost <= overcommit*l.slots
}

// ask notes that a tenant wants the lane.
func (l *lane) ask(at time.Time, f *flow) {
	if l.last.flow != f {
		l.before = l.last
	}
	l.last = asker{flow: f, at: at}
}

// contended reports whether another tenant than the flow's wants the lane.
func (l *lane) contended(at time.Time, f *flow) bool {
	if l.queued > f.queue.len() {
		return true
	}
	other := l.last
	if other.flow == f {
		other = l.before
	}
	return other.flow != nil && at.Sub(other.at) < activeFor
}

// flowRate is the rate of a flow in its fair turn, 0 when nothing limits it.
func (l *lane) flowRate(at time.Time, f *flow) float64 {
	if l.rate == 0 || !l.contended(at, f) {
		return l.rate
	}
	return l.rate * f.tenant.contract.Capacity
}

// expectedWait estimates how long a new ticket of the flow stays in the queue:
// the tickets served before it, at the rate at which queries are started.
func (l *lane) expectedWait(at time.Time, f *flow) time.Duration {
	ahead := f.queue.len()
	for _, other := range l.flows {
		// In fair turns another tenant goes first at most as often as this one.
		if other != f {
			ahead += min(other.queue.len(), f.queue.len()+1)
		}
	}
	wait := float64(l.took) * float64(ahead+1) / float64(max(1, min(f.tenant.limit, l.inflight)))
	if l.rate > 0 {
		wait = float64(ahead+1) / l.rate * float64(time.Second)
		wait = max(wait, float64(f.queue.len()+1)/l.flowRate(at, f)*float64(time.Second))
	}
	return time.Duration(waitFactor * wait)
}

// may reports whether a ticket of the flow can start now.
func (l *lane) may(at time.Time, f *flow, cost int) bool {
	t := f.tenant
	if t.running >= t.limit || !l.open(at, cost) {
		return false
	}
	// A tenant uses at most its capacity share while others want theirs.
	if !l.contended(at, f) {
		return true
	}
	if l.rate > 0 {
		f.tokens, f.filled = refill(f.tokens, l.flowRate(at, f), f.filled, at), at
		if f.tokens < 1 {
			l.window.saturated = true
			return false
		}
	}
	return f.used == 0 || l.slots == 0 || float64(f.used+cost) <= t.contract.Capacity*float64(overcommit*l.slots)
}

func (l *lane) start(f *flow, cost int) {
	f.tenant.running++
	f.used += cost
	f.tokens--
	l.used += cost
	l.inflight++
	l.tokens--
	l.window.starts++
	l.window.all++
	l.window.attempts += float64(cost)
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
		l.start(f, ticket.Cost)
		started = append(started, ticket)
	}
	return started, late
}

// finished takes over the end of a query. One that was refused is not timed: it
// ends early, and a low base would be taken for queues at the upstreams.
func (l *lane) finished(f *flow, cost int, took time.Duration) {
	f.used -= cost
	l.used -= cost
	l.inflight--
	if took == 0 {
		return
	}
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

// adjust moves the rate after a window.
func (l *lane) adjust(at time.Time) {
	w := &l.window
	period := at.Sub(w.since).Seconds()
	started := float64(w.starts) / period
	saturated := w.saturated
	fresh := w.since.IsZero() || period <= 0
	w.since, w.starts, w.saturated = at, 0, false
	if fresh {
		return
	}
	shed := w.sheds >= leastSeen && w.sheds > mostShed*w.attempts
	missed := w.missed >= leastSeen && w.missed > mostMissed*w.all
	part := min(max(w.sheds/max(1, w.attempts), w.missed/max(1, w.all)), 1)
	w.all, w.attempts = windowDecay*w.all, windowDecay*w.attempts
	w.sheds, w.missed = windowDecay*w.sheds, windowDecay*w.missed
	switch {
	case shed || missed:
		w.good = 0
		if l.rate == 0 {
			l.rate = started
		}
		// What is still to be heard of the same overload counts less.
		w.sheds, w.missed = keptAfter*w.sheds, keptAfter*w.missed
		l.ceiling = l.rate
		l.rate = max(leastRate, l.rate*(1-min(max(2*part, leastDecrease), mostDecrease)))
	case l.rate > 0 && saturated && l.took > slowFactor*l.base:
		w.good = 0
		l.rate = max(leastRate, l.rate*(1-leastDecrease))
	case l.rate > 0 && saturated:
		w.good++
		step := min(increase*float64(w.good), mostIncrease)
		if l.rate > nearCeiling*l.ceiling && l.rate < l.ceiling/nearCeiling {
			step = nearIncrease
		}
		l.rate *= 1 + step
	}
}

// due is when the rate lets a queued ticket start, zero when none waits for it.
func (l *lane) due(at time.Time) time.Time {
	if l.queued == 0 || l.rate == 0 {
		return time.Time{}
	}
	wait := (1 - l.tokens) / l.rate
	return at.Add(max(time.Duration(wait*float64(time.Second)), time.Millisecond))
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
