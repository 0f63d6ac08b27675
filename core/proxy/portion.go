package proxy

import (
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/model"
)

// Parameters of the answer to a portion, which is sent in frames, each one an
// effect.SendPortionResult. Most shards are in the first frame; later answers
// follow in frames of their own, so that the requesting VM neither waits for
// them nor loses them.
const (
	firstFrameQuantile = 0.85                 // latency quantile after which the first frame is sent
	firstFrameDeadline = 0.25                 // fraction of the target latency after which it is sent in any case
	lastFrameDeadline  = 0.8                  // fraction of the target latency after which no more answers are waited for
	failureFrameDelay  = 3 * time.Millisecond // from a failure until its frame is sent, to include others that follow
)

// portionReply is the progress of the answer to a portion.
type portionReply struct {
	firstFrameSent bool
	failuresDue    time.Time // when failures are sent; zero when there are none
}

// beginPortion starts the attempts of another VM's portion.
func (r *Router) beginPortion(at time.Time, req *request, out []effect.Effect) []effect.Effect {
	if !r.selectShards(req) {
		return r.refuseUnsent(req.event, req.route, model.RefusedStale, out)
	}
	r.requests[req.event.ID] = req
	return r.step(at, req, out)
}

// selectShards restricts a request to the shards of the portion that another VM
// sent, with one attempt for each: the other VM makes the second attempt. It
// reports false when the shards do not fit the route.
func (r *Router) selectShards(req *request) bool {
	p := req.event.Portion
	if !req.sharded() {
		return false
	}
	route := *req.route
	route.MaxAttempts = 1
	for i, n := range p.Shards {
		if n < 0 || n >= len(route.Shards) || i > 0 && n <= p.Shards[i-1] {
			return false
		}
		req.subrequests = append(req.subrequests, &subrequest{service: route.Shards[n], ran: model.RanNo})
	}
	req.route = &route
	return len(req.subrequests) > 0
}

// stepPortion makes the attempts of a portion and sends the results that are due.
func (r *Router) stepPortion(at time.Time, req *request, out []effect.Effect) []effect.Effect {
	out = r.attemptShards(at, req, out)
	answered, failed, open := req.unreported()
	limit := float64(targetLatency(req.route))
	firstFrame := req.arrived.Add(min(req.latency.firstFrameDelay(req.route), time.Duration(firstFrameDeadline*limit)))
	end := req.arrived.Add(time.Duration(lastFrameDeadline * limit))
	if req.deadline.Before(end) {
		end = req.deadline
	}
	switch {
	case len(open) == 0 || !at.Before(end):
		return r.endPortion(at, req, out)
	case !req.reply.firstFrameSent && !at.Before(firstFrame):
		req.reply.firstFrameSent, req.reply.failuresDue = true, time.Time{}
		out = r.sendFrame(req, slices.Concat(answered, failed, open), true, out)
		failed = nil
	case req.reply.firstFrameSent:
		// A later frame has a single answer, because the other VM may have
		// received some of several by its own attempts and merged records
		// cannot be separated.
		for _, n := range answered {
			out = r.sendFrame(req, []int{n}, true, out)
		}
	}
	if out = r.sendFailures(at, req, failed, out); !req.reply.failuresDue.IsZero() && req.reply.failuresDue.Before(end) {
		end = req.reply.failuresDue
	}
	if !req.reply.firstFrameSent && firstFrame.Before(end) {
		end = firstFrame
	}
	for _, sub := range req.subrequests {
		if sub.waits() && sub.nextAttempt.Before(end) {
			end = sub.nextAttempt
		}
	}
	return r.setTimer(at, req, end, out)
}

// endPortion sends the last frame of a portion with the results not sent yet.
func (r *Router) endPortion(at time.Time, req *request, out []effect.Effect) []effect.Effect {
	answered, failed, open := req.unreported()
	out = r.sendFrame(req, slices.Concat(answered, failed, open), false, out)
	outcome := "gathered"
	if req.answered() < len(req.subrequests) {
		outcome = "incomplete"
	}
	return r.close(at, req, outcome, "", out)
}

// attemptShards makes the attempt of each shard. A failed connection does not
// count as the attempt, so another upstream is tried after it.
func (r *Router) attemptShards(at time.Time, req *request, out []effect.Effect) []effect.Effect {
	for _, sub := range req.subrequests {
		if sub.abandoned || sub.pending > 0 || sub.answer != nil || at.Before(sub.nextAttempt) {
			continue
		}
		u := r.pick(at, req, sub)
		switch {
		case u != nil && sub.delivered() == 0:
			out = r.send(at, req, sub, u, out)
		case u == nil && sub.delivered() == 0 && r.hasUntried(at, sub) && r.shortOfConns(at, sub.service):
			// The other VM has even fewer connections, so the shard waits here.
			sub.nextAttempt = at.Add(retryBudgetInterval)
		default:
			sub.abandoned = true // the other VM makes the next attempt
		}
	}
	return out
}

// unreported returns the numbers of the subrequests whose results were not sent
// to the other VM yet.
func (q *request) unreported() (answered, failed, open []int) {
	for n, sub := range q.subrequests {
		switch {
		case sub.reported:
		case sub.answer != nil:
			answered = append(answered, n)
		case sub.abandoned:
			failed = append(failed, n)
		default:
			open = append(open, n)
		}
	}
	return answered, failed, open
}

// sendFailures sends failures after a short wait for further ones.
func (r *Router) sendFailures(at time.Time, req *request, failed []int, out []effect.Effect) []effect.Effect {
	switch {
	case len(failed) == 0:
		req.reply.failuresDue = time.Time{}
	case req.reply.failuresDue.IsZero():
		req.reply.failuresDue = at.Add(failureFrameDelay)
	case !at.Before(req.reply.failuresDue):
		req.reply.failuresDue = time.Time{}
		return r.sendFrame(req, failed, true, out)
	}
	return out
}

// sendFrame sends the results of some subrequests. For one that is still open it
// names the upstream in use, so that the other VM tries a different one.
func (r *Router) sendFrame(req *request, numbers []int, more bool, out []effect.Effect) []effect.Effect {
	frame := effect.SendPortionResult{Request: req.event.ID, More: more}
	var answered []*subrequest
	for _, n := range numbers {
		sub := req.subrequests[n]
		sub.reported = sub.answer != nil || sub.abandoned || !more
		result := model.ShardResult{Shard: req.event.Portion.Shards[n], Pending: !sub.reported}
		for _, a := range sub.attempts {
			if a.delivered() {
				result.Upstream, result.Leaving = a.upstream.spec.ID, a.upstream.leaving
			}
		}
		if sub.answer != nil {
			result.Receipt = sub.answer.receipt
			answered = append(answered, sub)
		}
		frame.Results = append(frame.Results, result)
	}
	frame.Records = merge(answered, req.route.TopK).Records
	if more && len(frame.Results) == 0 {
		return out
	}
	return append(out, frame)
}
