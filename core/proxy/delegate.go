package proxy

import (
	"maps"
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Parameters of delegation: when a portion is sent to another VM, and when this
// VM sends its own attempts to the shards of a portion that is late.
const (
	minDelegationTime    = 2 * minAttemptTime   // a portion with less time left is not delegated
	directAttemptFactor  = 1.5                  // direct attempts start after this many hedge delays of first frames
	directAttemptMargins = 1.4                  // but at the latest this many times the margin for the other VM after firstFrameDeadline
	peerMargin           = 5 * time.Millisecond // margin for the network between two VMs
	maxPortionTries      = 4                    // VMs to which a portion goes after one has refused it
)

// delegation is a portion that was sent to another VM.
type delegation struct {
	id        model.AttemptID
	request   *request
	peer      *peer
	portion   portion
	tries     int        // VMs that refused the portion before
	attempts  []*attempt // one for each shard
	sent      time.Time
	responded bool // at least one frame has arrived
	late      bool // direct attempts were made before the first frame
	cancelled bool // cancelled because its request had ended
}

// mayDelegate reports whether portions of a new request may go to other VMs.
func (r *Router) mayDelegate(at time.Time, req *request) bool {
	return r.settings.MinShardsToDelegate > 0 && len(req.subrequests) >= r.settings.MinShardsToDelegate && req.sharded() &&
		req.event.Portion == nil && req.deadline.Sub(at) >= minDelegationTime && len(r.peers.byID) > 0
}

// delegate sends the portions of a new request that belong to other VMs. The
// shards of the other portions are left to this VM.
func (r *Router) delegate(at time.Time, req *request, out []effect.Effect) []effect.Effect {
	if !r.mayDelegate(at, req) {
		return out
	}
	for _, portion := range r.portionsOf(at, req.route) {
		if p := r.pickPeer(at, portion); p != nil && p.ID != r.settings.VM.ID {
			out = r.sendPortion(at, &delegation{request: req, peer: p, portion: portion}, out)
		}
	}
	return out
}

// sendPortion sends a portion to another VM.
func (r *Router) sendPortion(at time.Time, d *delegation, out []effect.Effect) []effect.Effect {
	r.lastAttemptID++
	d.id, d.sent = r.lastAttemptID, at
	req, p, shards := d.request, d.peer, d.portion.shards
	placeholder := &upstream{spec: model.Upstream{ID: peerUpstreamID(p.ID)}}
	for _, n := range shards {
		sub := req.subrequests[n]
		a := &attempt{id: d.id, request: req, subrequest: sub, upstream: placeholder, sent: at, delegation: d}
		sub.attempts = append(sub.attempts, a)
		sub.pending++
		d.attempts = append(d.attempts, a)
	}
	r.peers.delegations[d.id] = d
	out = append(out, effect.Count{Counter: effect.CountAttempts, Reason: "portion", N: 1})
	return append(out, effect.Forward{
		Attempt: d.id, Request: req.event.ID, Upstream: placeholder.spec.ID, Addr: p.PortionAddr, Timeout: req.deadline.Sub(at), BodyOnly: true,
		HideKey: req.keyed, Team: req.team,
		Portion: &model.Portion{DocumentVersion: req.documentVersion, Shards: shards},
	})
}

// HandlePortionResult handles a frame of another VM's answer to a portion. The
// merged records of a frame cannot be separated by shard, so they replace
// responses that arrived directly meanwhile, unless every answered shard of the
// frame has one already.
func (r *Router) HandlePortionResult(at time.Time, e event.PortionResult, out []effect.Effect) []effect.Effect {
	d, ok := r.peers.delegations[e.Attempt]
	if !ok {
		return out
	}
	r.peerAnswered(at, d.peer.Zone)
	out = r.zoneReached(at, d.peer.Zone, d.sent, out)
	req := d.request
	if !d.responded {
		d.responded = true
		r.firstFrameLatency(req.route).add(req.route, at.Sub(d.sent))
	}
	results := make(map[*subrequest]model.ShardResult, len(e.Results))
	newAnswer := false
	for _, result := range e.Results {
		if result.Shard < 0 || result.Shard >= len(req.subrequests) {
			continue
		}
		sub := req.subrequests[result.Shard]
		results[sub] = result
		if result.Leaving {
			out = r.upstreamLeaves(at, result.Upstream, out)
		}
		newAnswer = newAnswer || result.Receipt != "" && sub.answer == nil
	}
	records := e.Records
	for _, a := range d.attempts {
		result, found := results[a.subrequest]
		if a.outcome != "" || !found && e.More {
			continue
		}
		if result.Pending {
			a.upstream = r.upstreamOrPlaceholder(result.Upstream)
			continue
		}
		r.endShard(at, a, result)
		if result.Receipt != "" && newAnswer {
			a.subrequest.answer = &answer{receipt: result.Receipt, response: model.Response{Body: records}}
			records = nil
		}
	}
	if newAnswer {
		r.clearCrashes(req.event.Fingerprint)
		req.lastAnswer = at
	}
	if !e.More {
		delete(r.peers.delegations, d.id)
	}
	return r.step(at, req, out)
}

// endShard ends the attempt of one shard of a portion.
func (r *Router) endShard(at time.Time, a *attempt, result model.ShardResult) {
	a.subrequest.pending--
	a.took = at.Sub(a.sent)
	if u, ok := r.upstreams[result.Upstream]; ok {
		failed := 0.0
		if result.Receipt == "" {
			failed = 1
		}
		u.failureRate.add(at, failed, 0)
	}
	switch {
	case result.Receipt != "":
		a.outcome = outcomeAnswered
		a.subrequest.ran = model.RanYes
		a.request.latency.add(a.request.route, a.took)
	case result.Upstream != "":
		a.outcome = string(model.FailedTimeout)
		a.upstream = r.upstreamOrPlaceholder(result.Upstream)
		a.subrequest.mayHaveRun()
	default:
		a.outcome = string(model.FailedRefused)
	}
}

// upstreamOrPlaceholder returns an upstream, or a placeholder for one that is not
// in this VM's list.
func (r *Router) upstreamOrPlaceholder(id model.UpstreamID) *upstream {
	if u, ok := r.upstreams[id]; ok {
		return u
	}
	return &upstream{spec: model.Upstream{ID: id}}
}

// delegationFailed handles the end of a delegation without a complete answer. A
// VM that refused the portion because of load is avoided for a shorter time
// than one that failed.
func (r *Router) delegationFailed(at time.Time, d *delegation, e event.AttemptFailed, out []effect.Effect) []effect.Effect {
	delete(r.peers.delegations, d.id)
	outcome := e.Reason
	switch {
	case e.Reason == model.FailedCancelled:
	case e.Ran == model.RanNo && e.Reason == model.FailedUnreachable:
		d.peer.avoidUntil = at.Add(avoidFailed)
	case e.Ran == model.RanNo && e.Reason == model.FailedShed:
		d.peer.avoidUntil = at.Add(avoidRefusing)
	default:
		out = r.recordPeerFailure(at, d.peer, out)
	}
	if e.Ran == model.RanNo {
		outcome = model.FailedRefused // no upstream was reached
	}
	for _, a := range d.attempts {
		if a.outcome != "" {
			continue
		}
		a.subrequest.pending--
		a.took, a.outcome = at.Sub(a.sent), string(outcome)
		if e.Ran != model.RanNo {
			a.subrequest.mayHaveRun()
		}
	}
	out = append(out, effect.Count{Counter: effect.CountFailed, Reason: "portion " + string(e.Reason), N: 1})
	if e.Reason == model.FailedUnreachable {
		out = r.sendPortionElsewhere(at, d, out)
	}
	return r.step(at, d.request, out)
}

// sendPortionElsewhere sends a portion to another VM after one has refused it, unless
// a shard of it was answered directly meanwhile.
func (r *Router) sendPortionElsewhere(at time.Time, d *delegation, out []effect.Effect) []effect.Effect {
	req := d.request
	if req.ended || d.tries >= maxPortionTries || req.deadline.Sub(at) < minDelegationTime {
		return out
	}
	for _, a := range d.attempts {
		if a.subrequest.answer != nil || a.subrequest.pending > 0 {
			return out
		}
	}
	if p := r.pickPeer(at, d.portion); p != nil && p.ID != r.settings.VM.ID {
		return r.sendPortion(at, &delegation{request: req, peer: p, portion: d.portion, tries: d.tries + 1}, out)
	}
	return out
}

// avoidLatePeer avoids the VM of an overdue portion when a direct attempt is made
// in its place. While nothing of the request has been answered, the delay may be
// on this VM, and the other one is not avoided.
func (r *Router) avoidLatePeer(at time.Time, a *attempt, out []effect.Effect) []effect.Effect {
	d := a.delegation
	if d == nil || a.outcome != "" || d.responded || d.late || !d.request.lastAnswer.After(d.request.arrived) {
		return out
	}
	d.late = true
	r.avoidPeer(at, d.peer, avoidLate)
	return out
}

// cancelStaleDelegations cancels portions that are still open some time after
// their request ended.
func (r *Router) cancelStaleDelegations(at time.Time, out []effect.Effect) []effect.Effect {
	for _, id := range slices.Sorted(maps.Keys(r.peers.delegations)) {
		d := r.peers.delegations[id]
		if d.request.ended && at.Sub(d.sent) >= cancelAfter+targetLatency(d.request.route) && !d.cancelled {
			d.cancelled = true
			out = r.recordPeerFailure(at, d.peer, out)
			out = append(out, effect.Cancel{Attempt: d.id})
		}
	}
	return out
}

// firstFrameLatency returns the statistics of the time until the first frame of a
// route's portions arrives.
func (r *Router) firstFrameLatency(route *model.Route) *latencyStats {
	return stateOf(r.firstFrameLatencies, route)
}

// directAttemptAt returns when direct attempts start for the shards of a
// delegation that has not responded.
func (r *Router) directAttemptAt(d *delegation) time.Time {
	route := d.request.route
	delay := time.Duration(directAttemptFactor * float64(r.firstFrameLatency(route).hedgeDelay(route, 0)))
	latest := time.Duration(firstFrameDeadline*float64(targetLatency(route)) + directAttemptMargins*float64(peerMargin+r.processingTime()))
	return d.sent.Add(min(delay, latest))
}
