package admit

import (
	"slices"
	"time"
)

// Parameters of the adaptive rate and of the queue.
const (
	durationGain         = 0.1   // weight of a new duration in the moving averages
	unloadedRise         = 0.002 // fraction of its excess by which a longer duration raises unloadedDuration
	slotOvercommit       = 2     // queries occupy their slots for about half of their time
	maxShedFraction      = 0.03  // the rate falls when a larger fraction of attempts is shed
	maxMissedFraction    = 0.05  // the rate falls when a larger fraction of queries misses its deadline
	minFailures          = 3     // sheds or missed deadlines before their fraction counts, since fewer may be chance
	windowDecay          = 0.7   // weight of the previous windows
	minDecrease          = 0.05
	maxDecrease          = 0.3
	increasePerWindow    = 0.02 // for each good window in a row, up to maxIncrease
	maxIncrease          = 0.2
	nearOverload         = 0.85 // fraction of the rate at the last overload, above which the rate rises slowly
	nearOverloadIncrease = 0.01
	keptAfterDecrease    = 0.3 // fraction of the sheds and missed deadlines that still counts after a decrease
	queueingFactor       = 6   // queries that take this many unloaded durations are assumed to queue at the upstreams
	minRate              = 0.5
	burstTime            = 20 * time.Millisecond // for which tokens of an unused rate are saved
	minBurst             = 2                     // tokens
	contentionPeriod     = time.Second           // a customer counts as competing this long after its last query
	waitMargin           = 2                     // factor on the estimated wait, so that few queued queries become late
)

// scheduler admits the queries of one index. Its rate adapts to what the
// upstreams can handle. A limit on queries in flight would be too coarse: where
// many VMs share upstreams with a few slots, the share of one VM is below two
// queries.
type scheduler struct {
	slots             int     // subrequests that this traffic state's quota of the upstreams' connections allows
	usedSlots         int     // subrequests of the queries in flight
	inFlight          int     // queries
	rate              float64 // queries a second; 0 means no limit, until the first overload
	overloadRate      float64 // rate at the last overload
	tokens            float64
	refilledAt        time.Time        // when tokens was last computed
	meanDuration      time.Duration    // moving average of query durations
	meanDeviation     time.Duration    // moving average of the deviation from it
	unloadedDuration  time.Duration    // slowly rising minimum of query durations
	queues            []*customerQueue // in the order of the customers' first queries
	virtualTime       float64          // start tag of the last query started
	queued            int
	lastArrival       arrival // of any customer
	lastOtherCustomer arrival // the last one of another customer than lastArrival
	window            window
}

// arrival is the time of a customer's last query.
type arrival struct {
	sender *customerQueue
	at     time.Time
}

// window is what happened since the last adjustment of the rate.
type window struct {
	since         time.Time
	started       int     // queries started
	decayedStarts float64 // queries started; this field and the next three decay from window to window
	attempts      float64
	sheds         float64
	missed        float64
	rateLimited   bool // the rate kept a query from starting
	goodWindows   int  // windows without overload in a row
}

// customerQueue holds the queued queries of one customer on the index.
type customerQueue struct {
	customer   *customerState
	queue      fairQueue
	finishTag  float64 // of the last query started
	usedSlots  int     // subrequests in flight
	tokens     float64 // of the customer's capacity share
	refilledAt time.Time
}

// typicalDuration is an upper estimate of how long a query usually runs.
func (s *scheduler) typicalDuration() time.Duration {
	return s.meanDuration + s.meanDeviation
}

// refill returns the tokens of a bucket after the time that passed.
func refill(tokens, rate float64, since, at time.Time) float64 {
	if since.IsZero() {
		return 1
	}
	return min(tokens+rate*at.Sub(since).Seconds(), max(minBurst, rate*burstTime.Seconds()))
}

// hasCapacity reports whether the rate and the slots of the index allow another
// query.
func (s *scheduler) hasCapacity(at time.Time, cost int) bool {
	if s.rate > 0 {
		s.tokens, s.refilledAt = refill(s.tokens, s.rate, s.refilledAt, at), at
		if s.tokens < 1 {
			s.window.rateLimited = true
			return false
		}
	}
	return s.inFlight == 0 || s.slots == 0 || s.usedSlots+cost <= slotOvercommit*s.slots
}

// recordArrival records that a customer sent a query.
func (s *scheduler) recordArrival(at time.Time, q *customerQueue) {
	if s.lastArrival.sender != q {
		s.lastOtherCustomer = s.lastArrival
	}
	s.lastArrival = arrival{sender: q, at: at}
}

// contended reports whether another customer has queued queries or sent one
// recently.
func (s *scheduler) contended(at time.Time, q *customerQueue) bool {
	if s.queued > q.queue.len() {
		return true
	}
	other := s.lastArrival
	if other.sender == q {
		other = s.lastOtherCustomer
	}
	return other.sender != nil && at.Sub(other.at) < contentionPeriod
}

// customerRate is the rate available to a customer: its capacity share while
// others compete. It is 0 when nothing limits the rate.
func (s *scheduler) customerRate(at time.Time, q *customerQueue) float64 {
	if s.rate == 0 || !s.contended(at, q) {
		return s.rate
	}
	return s.rate * q.customer.contract.Capacity
}

// expectedWait estimates how long a new query of the customer stays in the queue,
// from the number of queries that start before it and the rate of starts.
func (s *scheduler) expectedWait(at time.Time, q *customerQueue) time.Duration {
	ahead := q.queue.len()
	for _, other := range s.queues {
		// Another customer starts at most as many queries in the meantime as
		// this one.
		if other != q {
			ahead += min(other.queue.len(), q.queue.len()+1)
		}
	}
	wait := float64(s.meanDuration) * float64(ahead+1) / float64(max(1, min(q.customer.maxInFlight, s.inFlight)))
	if s.rate > 0 {
		wait = float64(ahead+1) / s.rate * float64(time.Second)
		wait = max(wait, float64(q.queue.len()+1)/s.customerRate(at, q)*float64(time.Second))
	}
	return time.Duration(waitMargin * wait)
}

// mayStart reports whether a query of the customer can start now.
func (s *scheduler) mayStart(at time.Time, q *customerQueue, cost int) bool {
	c := q.customer
	if c.inFlight >= c.maxInFlight || !s.hasCapacity(at, cost) {
		return false
	}
	// A customer uses at most its capacity share while others compete.
	if !s.contended(at, q) {
		return true
	}
	if s.rate > 0 {
		q.tokens, q.refilledAt = refill(q.tokens, s.customerRate(at, q), q.refilledAt, at), at
		if q.tokens < 1 {
			s.window.rateLimited = true
			return false
		}
	}
	return q.usedSlots == 0 || s.slots == 0 || float64(q.usedSlots+cost) <= c.contract.Capacity*float64(slotOvercommit*s.slots)
}

func (s *scheduler) start(q *customerQueue, cost int) {
	q.customer.inFlight++
	q.usedSlots += cost
	q.tokens--
	s.usedSlots += cost
	s.inFlight++
	s.tokens--
	s.window.started++
	s.window.decayedStarts++
	s.window.attempts += float64(cost)
	s.virtualTime = max(s.virtualTime, q.finishTag)
	q.finishTag = s.virtualTime + float64(max(1, cost))
}

// next returns the queue of the customer to serve next, or nil when none may
// start a query.
func (s *scheduler) next(at time.Time) *customerQueue {
	var best *customerQueue
	for _, q := range s.queues {
		head, ok := q.queue.peek()
		if !ok || best != nil && q.finishTag >= best.finishTag || !s.mayStart(at, q, head.Cost) {
			continue
		}
		best = q
	}
	return best
}

// dispatch starts queued queries while the limits allow it. It appends those that
// start, and those that would miss their deadline, to the given lists.
func (s *scheduler) dispatch(at time.Time, started, late []Query) (allStarted, allLate []Query) {
	for s.queued > 0 {
		q := s.next(at)
		if q == nil {
			break
		}
		query, _ := q.queue.pop()
		s.queued--
		if s.inFlight > 0 && at.Add(s.typicalDuration()).After(query.Deadline) {
			late = append(late, query)
			continue
		}
		s.start(q, query.Cost)
		started = append(started, query)
	}
	return started, late
}

// finish records the end of a query. A refused query, with a duration of 0,
// does not count in the averages: it ends early, and a low unloaded duration
// would make answered queries seem to queue at the upstreams.
func (s *scheduler) finish(q *customerQueue, cost int, duration time.Duration) {
	q.usedSlots -= cost
	s.usedSlots -= cost
	s.inFlight--
	if duration == 0 {
		return
	}
	if s.meanDuration == 0 {
		s.meanDuration, s.unloadedDuration = duration, duration
	}
	deviation := duration - s.meanDuration
	s.meanDuration += time.Duration(durationGain * float64(deviation))
	s.meanDeviation += time.Duration(durationGain * float64(deviation.Abs()-s.meanDeviation))
	if duration < s.unloadedDuration {
		s.unloadedDuration = duration
	} else {
		s.unloadedDuration += time.Duration(unloadedRise * float64(duration-s.unloadedDuration))
	}
}

// adjust changes the rate at the end of a window. It falls when upstreams shed
// attempts, queries miss their deadline, or queries seem to queue at the
// upstreams. It rises after a good window in which it kept queries waiting.
func (s *scheduler) adjust(at time.Time) {
	w := &s.window
	period := at.Sub(w.since).Seconds()
	startRate := float64(w.started) / period
	rateLimited := w.rateLimited
	firstWindow := w.since.IsZero() || period <= 0
	w.since, w.started, w.rateLimited = at, 0, false
	if firstWindow {
		return
	}
	tooManySheds := w.sheds >= minFailures && w.sheds > maxShedFraction*w.attempts
	tooManyMissed := w.missed >= minFailures && w.missed > maxMissedFraction*w.decayedStarts
	failureFraction := min(max(w.sheds/max(1, w.attempts), w.missed/max(1, w.decayedStarts)), 1)
	w.decayedStarts, w.attempts = windowDecay*w.decayedStarts, windowDecay*w.attempts
	w.sheds, w.missed = windowDecay*w.sheds, windowDecay*w.missed
	switch {
	case tooManySheds || tooManyMissed:
		w.goodWindows = 0
		if s.rate == 0 {
			s.rate = startRate
		}
		// Failures that are still to come from the same overload should not lower
		// the rate as much again.
		w.sheds, w.missed = keptAfterDecrease*w.sheds, keptAfterDecrease*w.missed
		s.overloadRate = s.rate
		s.rate = max(minRate, s.rate*(1-min(max(2*failureFraction, minDecrease), maxDecrease)))
	case s.rate > 0 && rateLimited && s.meanDuration > queueingFactor*s.unloadedDuration:
		w.goodWindows = 0
		s.rate = max(minRate, s.rate*(1-minDecrease))
	case s.rate > 0 && rateLimited:
		w.goodWindows++
		step := min(increasePerWindow*float64(w.goodWindows), maxIncrease)
		if s.rate > nearOverload*s.overloadRate && s.rate < s.overloadRate/nearOverload {
			step = nearOverloadIncrease
		}
		s.rate *= 1 + step
	}
}

// nextStart is when the rate allows the next queued query to start, zero when no
// query is queued or nothing limits the rate.
func (s *scheduler) nextStart(at time.Time) time.Time {
	if s.queued == 0 || s.rate == 0 {
		return time.Time{}
	}
	wait := (1 - s.tokens) / s.rate
	return at.Add(max(time.Duration(wait*float64(time.Second)), time.Millisecond))
}

// customerQueue returns the queue of a customer.
func (s *scheduler) customerQueue(c *customerState) *customerQueue {
	i := slices.IndexFunc(s.queues, func(q *customerQueue) bool { return q.customer == c })
	if i >= 0 {
		return s.queues[i]
	}
	q := &customerQueue{customer: c}
	s.queues = append(s.queues, q)
	return q
}
