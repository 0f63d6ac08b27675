package proxy

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/retry"
)

// Parts of a stated limit. The rest is left for requests that VMs send while
// their shares change.
const (
	demandPart = 0.70 // divided by demand, through the control VMs
	floorPart  = 0.15 // divided equally, for VMs without a share
)

// Times of stated limits.
const (
	wantedPeriod      = 2 * time.Second        // time constant of the average demand
	limitReportPeriod = 500 * time.Millisecond // between two reports to the control state
	shareTimeout      = 3 * time.Second        // time without a new share after which the last one is no longer used
	limitMemory       = 10 * time.Second       // time for which the end of a limit is reported
	maxLimitWait      = time.Second            // longest wait that is stated to callers whose requests a limit refuses
)

// limitState is what is known about the limit that an upstream states. In the zero
// value it states none.
type limitState struct {
	limit    *model.Limit // nil when it states none
	cold     coldLimit
	seenAt   time.Time // when the answer came that this is known from; zero before the first limit
	limiter  retry.RateLimiter
	fraction float64   // this VM's share of what is divided by demand
	shareAt  time.Time // when the share came
	wanted   demandRate
}

// inForce returns the limit that holds now: the lower one of what the upstream states and
// of what it takes while it is cold; nil without any.
func (s *limitState) inForce(at time.Time) *model.Limit {
	cold := s.cold.inForce(at)
	if s.limit == nil || cold != nil && cold.Rate < s.limit.Rate {
		return cold
	}
	return s.limit
}

// demandRate is a moving average of requests per second.
type demandRate struct {
	value float64
	at    time.Time
}

func (d *demandRate) read(at time.Time) float64 {
	return d.value * math.Exp(-float64(at.Sub(d.at))/float64(wantedPeriod))
}

func (d *demandRate) add(at time.Time) {
	d.value, d.at = d.read(at)+1/wantedPeriod.Seconds(), at
}

// observeLimit records the limit in an answer to an attempt, or that it has none.
// An answer to an attempt from before the limit was last seen does not end it.
func (r *Router) observeLimit(at time.Time, a *attempt, limit *model.Limit, out []effect.Effect) []effect.Effect {
	s := &a.upstream.limit
	if limit == nil && (s.limit == nil || a.sent.Before(s.seenAt)) {
		return out
	}
	return r.setLimit(at, a.upstream, limit, at, out)
}

// setLimit applies a limit that was seen in an answer at seenAt.
func (r *Router) setLimit(at time.Time, u *upstream, limit *model.Limit, seenAt time.Time, out []effect.Effect) []effect.Effect {
	s := &u.limit
	changed := (s.limit == nil) != (limit == nil)
	s.limit, s.seenAt = limit, seenAt
	r.updateLimiter(at, u)
	if !changed {
		return out
	}
	n := effect.Note{At: at, Subject: "upstream " + string(u.spec.ID), Action: "states no limit", Cause: "its answer"}
	if limit != nil {
		n.Action, n.Cause = "states a limit", strconv.FormatFloat(limit.Rate, 'g', 4, 64)+" requests per second"
	}
	return r.reportLimits(at, append(out, n))
}

// updateLimiter sets the rate of this VM's part of an upstream's limit. Without a
// share that is an equal part, which is nothing while the number of entry VMs is
// not known.
func (r *Router) updateLimiter(at time.Time, u *upstream) {
	s := &u.limit
	limit := s.inForce(at)
	if limit == nil {
		return
	}
	equal := 0.0
	if r.entryVMCount > 0 {
		equal = 1 / float64(r.entryVMCount)
	}
	fraction := equal
	if at.Sub(s.shareAt) < shareTimeout {
		fraction = s.fraction
	}
	part := demandPart*fraction + floorPart*equal
	s.limiter.SetRate(at, part*limit.Rate/float64(max(1, r.settings.Loops)))
}

// HandleLimitShares applies this VM's shares of the upstreams' limits, and what
// other VMs have seen of the limits.
func (r *Router) HandleLimitShares(at time.Time, e event.LimitShares, out []effect.Effect) []effect.Effect {
	for _, share := range e.Shares {
		u, ok := r.upstreams[share.Upstream]
		if !ok {
			continue
		}
		u.limit.fraction, u.limit.shareAt = share.Fraction, at
		if seenAt := at.Add(-share.Age); seenAt.After(u.limit.seenAt) {
			out = r.setLimit(at, u, share.Limit, seenAt, out)
		}
		r.updateLimiter(at, u)
	}
	return out
}

// reportLimits sends what this loop knows about the upstreams' limits, and what it
// would send to them, to the control state.
func (r *Router) reportLimits(at time.Time, out []effect.Effect) []effect.Effect {
	r.limitsReportedAt = at
	var reports []model.LimitReport
	for _, id := range slices.Sorted(maps.Keys(r.upstreams)) {
		s := &r.upstreams[id].limit
		limit := s.inForce(at)
		if limit == nil && (s.seenAt.IsZero() || at.Sub(s.seenAt) >= limitMemory) {
			continue
		}
		reports = append(reports, model.LimitReport{Upstream: id, Limit: limit, Age: at.Sub(s.seenAt), Wanted: s.wanted.read(at)})
	}
	if len(reports) == 0 {
		return out
	}
	return append(out, effect.ToControl{Body: event.LimitReport{Loop: r.settings.Loop, Reports: reports}})
}

// checkLimits updates the limiters, whose shares may have timed out, and reports
// the limits when that is due.
func (r *Router) checkLimits(at time.Time, out []effect.Effect) []effect.Effect {
	if at.Sub(r.limitsReportedAt) < limitReportPeriod {
		return out
	}
	for _, u := range r.upstreams {
		r.updateLimiter(at, u)
	}
	return r.reportLimits(at, out)
}

// limitAllows reports whether a limit leaves room for an attempt on an upstream.
// Hedges are not sent to upstreams that state a limit.
func (r *Router) limitAllows(at time.Time, req *request, sub *subrequest, u *upstream) bool {
	if u.limit.inForce(at) == nil {
		return true
	}
	if sub.pending > 0 {
		return false
	}
	// The subrequests share one draw, so that a request over several shards passes
	// the limits of all or of none.
	if req.limitDraw == 0 {
		req.limitDraw = r.random.Float64()
	}
	if sub.limitDraw == 0 {
		sub.limitDraw = req.limitDraw
	}
	var allowed bool
	allowed, sub.limitDraw = u.limit.limiter.Allows(at, sub.limitDraw)
	return allowed
}

// countDemand counts an attempt in the demand for the upstream that it would go to
// without limits: once, however often an upstream is looked for, and no hedge.
func (sub *subrequest) countDemand(at time.Time, u *upstream) {
	if sub.pending > 0 || sub.counted > len(sub.attempts) {
		return
	}
	sub.counted = len(sub.attempts) + 1
	u.limit.wanted.add(at)
}

// reserve chooses the upstreams of a new request's first attempts and reports
// whether limits leave room for enough of them. A request over many shards that
// cannot reach its coverage would use up room that others need.
func (r *Router) reserve(at time.Time, req *request) bool {
	n := 0
	for _, sub := range req.subrequests {
		sub.reserved = r.pick(at, req, sub)
		if sub.reserved != nil || sub.limitWait == 0 {
			n++
		}
	}
	return n >= req.required()
}

// next returns the upstream of a subrequest's next attempt, or nil.
func (r *Router) next(at time.Time, req *request, sub *subrequest) *upstream {
	if u := sub.reserved; u != nil {
		sub.reserved = nil
		return u
	}
	return r.pick(at, req, sub)
}

// shorterWait returns the shorter of two waits, where 0 stands for none.
func shorterWait(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}
