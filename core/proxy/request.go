package proxy

import (
	"slices"
	"time"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// request is the state of one request: a caller's, or another VM's for a
// portion.
type request struct {
	event           event.ProxyRequest
	route           *model.Route
	latency         *latencyStats
	documentVersion uint64
	keyed           bool   // upstreams get the name of the team instead of the caller's key
	team            string // whose request it is; empty without one
	metered         bool   // it has a token of its team's limit
	arrived         time.Time
	deadline        time.Time
	partialAfter    time.Time // from here on a partial answer is better than a late complete one
	subrequests     []*subrequest
	upstreamListAge time.Duration // of the upstream list, at arrival
	lastAnswer      time.Time     // when the last subrequest was answered; arrival until then
	ended           bool
	timerDue        time.Time     // when the timer is due; zero when none is set
	crashed         []model.Crash // of upstreams that reset the connection
	reply           portionReply  // only for a portion of another VM's request
	handover        *handover     // nil unless the request is handed over to another VM
	offered         bool          // was handed over, and no VM took it
	limitDraw       float64       // for limits that allow less than a whole request; 0 until drawn
}

// subrequest is the part of a request that one service answers.
type subrequest struct {
	service      string
	attempts     []*attempt
	pending      int           // attempts in flight
	answer       *answer       // the successful one
	errorAnswer  *answer       // an error response, passed on when no attempt succeeds
	nextAttempt  time.Time     // no attempt before
	blockedSince time.Time     // since when an attempt waits for the retry budget; zero when none does
	retryAfter   time.Duration // longest Retry-After of an upstream
	ran          model.Ran     // whether the request may have run for this subrequest
	reserved     *upstream     // chosen for the first attempt when the request arrived
	limitDraw    float64       // what is left of the request's draw; 0 until it is used
	limitWait    time.Duration // until an upstream's limit leaves room; 0 when no limit was in the way
	pauseWait    time.Duration // until a pause of an upstream ends, at the last search; 0 when none was in the way
	paceDraw     float64       // for upstreams whose pace is found; 0 until drawn
	counted      int           // attempts that are counted in the demand for upstreams
	abandoned    bool          // no further attempt will be made
	reported     bool          // its result was sent to the VM that the portion came from
}

// answer is a complete response of an upstream, successful or not.
type answer struct {
	response model.Response
	receipt  string
}

// attempt is one try of a subrequest on one upstream.
type attempt struct {
	id         model.AttemptID
	request    *request
	subrequest *subrequest
	upstream   *upstream
	sent       time.Time
	expected   time.Duration // expected latency when it was sent
	took       time.Duration
	outcome    string // empty while in flight
	hedge      bool
	crash      model.Crash // what it is if the upstream crashes
	delegation *delegation // the portion that it belongs to; nil when this VM sent it to the upstream
	cancelled  bool        // cancelled because its request had ended
}

// outcomeAnswered is the outcome of an attempt with a successful response.
const outcomeAnswered = "answered"

// sharded reports whether the answer is merged from several shards.
func (q *request) sharded() bool { return len(q.route.Shards) > 0 }

// answered counts the subrequests with a successful answer.
func (q *request) answered() int {
	n := 0
	for _, sub := range q.subrequests {
		if sub.answer != nil {
			n++
		}
	}
	return n
}

// coverageMet reports whether enough subrequests are answered for the coverage
// that the route requires.
func (q *request) coverageMet() bool {
	return q.answered() >= q.required()
}

// required is the number of subrequests that must be answered.
func (q *request) required() int { return requiredAnswers(q.route, len(q.subrequests)) }

// shortfall is the number of subrequests beyond those answered or in flight that
// the request still needs.
func (q *request) shortfall() int {
	n := q.required()
	for _, sub := range q.subrequests {
		if sub.answer != nil || sub.pending > 0 {
			n--
		}
	}
	return n
}

// coverageUnreachable reports whether too few subrequests can still be answered.
// A caller that is refused early may have time for another try within its
// target latency.
func (q *request) coverageUnreachable(at time.Time) bool {
	reachable := len(q.subrequests)
	for _, sub := range q.subrequests {
		if sub.answer != nil || sub.pending > 0 {
			continue
		}
		if sub.abandoned || !sub.blockedSince.IsZero() && at.Sub(sub.blockedSince) >= giveUpAfter {
			reachable--
		}
	}
	return reachable < q.required()
}

// awaitsPortion reports whether another VM still gathers shards of the request.
func (q *request) awaitsPortion() bool {
	for _, sub := range q.subrequests {
		if slices.ContainsFunc(sub.attempts, func(a *attempt) bool { return a.delegation != nil && a.outcome == "" }) {
			return true
		}
	}
	return false
}

// ran states whether the request may have run on any upstream.
func (q *request) ran() model.Ran {
	ran := model.RanNo
	if h := q.handover; h != nil && (h.unknown || h.pending) {
		ran = model.RanUnknown
	}
	for _, sub := range q.subrequests {
		switch {
		case sub.answer != nil || sub.ran == model.RanYes:
			return model.RanYes
		case sub.ran == model.RanUnknown || sub.pending > 0:
			ran = model.RanUnknown
		}
	}
	return ran
}

// retryAfter returns the longest Retry-After of the upstreams.
func (q *request) retryAfter() time.Duration {
	var longest time.Duration
	for _, sub := range q.subrequests {
		longest = max(longest, sub.retryAfter)
	}
	return longest
}

// refusedByLimit reports whether a stated limit kept any subrequest from being
// sent, and the shortest time until there is room.
func (q *request) refusedByLimit() (wait time.Duration, refused bool) {
	for _, sub := range q.subrequests {
		wait = shorterWait(wait, sub.limitWait)
		refused = refused || sub.limitWait > 0 && len(sub.attempts) == 0
	}
	return wait, refused
}

// maxAttempts is the number of attempts that the route allows for each
// subrequest.
func (q *request) maxAttempts() int {
	if q.route.AtMostOnce {
		return 1
	}
	return max(1, q.route.MaxAttempts)
}

// mayHaveRun records that the request may have run.
func (s *subrequest) mayHaveRun() {
	if s.ran == model.RanNo {
		s.ran = model.RanUnknown
	}
}

// triedOn reports whether an attempt was made on the upstream.
func (s *subrequest) triedOn(u *upstream) bool {
	for _, a := range s.attempts {
		if a.upstream == u {
			return true
		}
	}
	return false
}

// delivered counts the attempts that may have reached an upstream.
func (s *subrequest) delivered() int {
	n := 0
	for _, a := range s.attempts {
		if a.delivered() {
			n++
		}
	}
	return n
}

// delivered reports whether the attempt may have reached its upstream.
func (a *attempt) delivered() bool {
	return a.outcome != string(model.FailedRefused) && a.outcome != string(model.FailedConns)
}

// waits reports whether the subrequest has no attempt in flight and is not answered or
// abandoned.
func (s *subrequest) waits() bool { return s.answer == nil && s.pending == 0 && !s.abandoned }
