package proxy

import (
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Parameters of the requests that this VM hands over to another one because it
// reaches no upstream itself.
const (
	maxHandovers    = 8                  // VMs that one request is offered to, one after another
	returnPeriod    = time.Second        // after upstreams are reachable again, during which fewer and fewer requests are handed over
	minHandoverTime = 2 * minAttemptTime // a request with less time left is not handed over
	handedOverTrace = "handover"         // service name under which the log lists the VMs
)

// handover is the state of a request that this VM hands over.
type handover struct {
	allowed  int // attempts that the other VM may make for each service
	attempts []*handoverAttempt
	pending  bool // the last one is in flight
	unknown  bool // an earlier VM may have sent the request to upstreams
}

// handoverAttempt is a request sent to one other VM.
type handoverAttempt struct {
	id      model.AttemptID
	request *request
	peer    *peer
	sent    time.Time
	took    time.Duration
	outcome string // empty while in flight
}

// triedOn reports whether the request was sent to a VM.
func (h *handover) triedOn(p *peer) bool {
	return slices.ContainsFunc(h.attempts, func(a *handoverAttempt) bool { return a.peer == p })
}

// trace lists the VMs for the log.
func (h *handover) trace(req *request) model.ServiceTrace {
	t := model.ServiceTrace{Service: handedOverTrace}
	for _, a := range h.attempts {
		t.Attempts = append(t.Attempts, model.AttemptTrace{
			Upstream: peerUpstreamID(a.peer.ID), Sent: a.sent.Sub(req.arrived), Took: a.took, Outcome: a.outcome,
		})
	}
	return t
}

// handsOver reports whether a new request goes to another VM. After the links are
// back, the part of the requests that does falls gradually, so that the upstreams
// do not get all connections and requests of this VM at once.
func (r *Router) handsOver(at time.Time, e event.ProxyRequest) bool {
	if e.Handover != nil || e.Portion != nil {
		return false
	}
	if r.mustHandOver() {
		return true
	}
	since := at.Sub(r.reach.regainedAt)
	return since < returnPeriod && !r.reach.regainedAt.IsZero() && r.random.Float64() >= float64(since)/float64(returnPeriod)
}

// mustHandOver reports whether this VM cannot serve requests itself, because it reaches no
// upstream or its document is outdated.
func (r *Router) mustHandOver() bool { return r.reach.lost() || r.outdated() }

// mayHandOverLate reports whether a request that this VM has begun may still be
// handed over, and returns the attempts left to the other VM.
func (r *Router) mayHandOverLate(at time.Time, req *request) (allowed int, ok bool) {
	if req.event.Handover != nil || req.event.Portion != nil || req.handover != nil || req.offered || req.deadline.Sub(at) < minHandoverTime {
		return 0, false
	}
	allowed = max(1, req.route.MaxAttempts)
	for _, sub := range req.subrequests {
		if req.route.AtMostOnce && (sub.pending > 0 || sub.ran != model.RanNo) {
			return 0, false
		}
		allowed = min(allowed, max(1, req.route.MaxAttempts)-sub.delivered())
	}
	return allowed, allowed > 0
}

// handOver begins to hand a request over.
func (r *Router) handOver(at time.Time, req *request, allowed int, out []effect.Effect) []effect.Effect {
	req.handover = &handover{allowed: allowed}
	return r.stepHandover(at, req, out)
}

// stepHandover sends a request to another VM when that is due, and ends the request
// when no VM is left.
func (r *Router) stepHandover(at time.Time, req *request, out []effect.Effect) []effect.Effect {
	h := req.handover
	switch {
	case req.answered() == len(req.subrequests):
		return r.finish(at, req, out)
	case !at.Before(req.deadline):
		return r.finish(at, req, out)
	}
	if h.pending {
		return r.setTimer(at, req, req.deadline, out)
	}
	if p := r.pickHandoverPeer(at, req); p != nil && !h.unknown {
		out = r.sendHandover(at, req, p, out)
		return r.setTimer(at, req, req.deadline, out)
	}
	if r.reach.silent || h.unknown {
		return r.finish(at, req, out)
	}
	return r.keepRequest(at, req, out)
}

// keepRequest serves a request that no other VM took, since upstreams are reachable,
// or refuses it when this VM's document is outdated.
func (r *Router) keepRequest(at time.Time, req *request, out []effect.Effect) []effect.Effect {
	if r.outdated() {
		return r.finish(at, req, out)
	}
	if _, team := r.routeAndTeam(req.event); !req.metered && needsToken(req.event, team) {
		delete(r.requests, req.event.ID)
		return r.requestToken(tokenWait{event: req.event, arrived: req.arrived, request: req}, req.route, team, out)
	}
	req.handover, req.offered = nil, true
	r.earnRetries(at, req)
	return r.step(at, req, out)
}

// pickHandoverPeer chooses a random VM of the zones that have refused the request least
// often, if possible of the own zone. A zone that is avoided since several of its VMs
// failed counts as one refusal: its other VMs may well serve, and there may be no other
// zone left. Only a single request now and then finds out whether a zone that may be cut off
// answers. It returns nil when there is no VM, or no time for it.
func (r *Router) pickHandoverPeer(at time.Time, req *request) *peer {
	h := req.handover
	if len(h.attempts) >= maxHandovers || req.deadline.Sub(at) < minHandoverTime {
		return nil
	}
	refusals := make(map[model.Zone]int)
	for _, a := range h.attempts {
		refusals[a.peer.Zone]++
	}
	for zone, f := range r.peers.zoneFailures {
		if at.Before(f.avoidUntil) {
			refusals[zone]++
		}
	}
	var best []*peer
	for _, zone := range r.zonesInOrder() { // the own one first
		if f, ok := r.peers.zoneFailures[zone]; ok && f.mayBeCutOff(at) && at.Before(f.probeUntil) {
			continue
		}
		usable := r.handoverPeers(at, zone, h)
		switch {
		case len(usable) == 0:
		case len(best) == 0 || refusals[zone] < refusals[best[0].Zone]:
			best = usable
		case refusals[zone] == refusals[best[0].Zone] && best[0].Zone != r.settings.VM.Zone:
			best = append(best, usable...)
		}
	}
	if len(best) == 0 {
		return nil
	}
	return best[r.random.IntN(len(best))]
}

// handoverPeers returns the VMs of a zone to which a request may be handed over now.
func (r *Router) handoverPeers(at time.Time, zone model.Zone, h *handover) []*peer {
	var usable []*peer
	for _, p := range r.peers.byZone[zone] {
		if p.ID != r.settings.VM.ID && p.PortionAddr.IsValid() && !at.Before(p.avoidUntil) && !at.Before(p.unmeteredUntil) && !h.triedOn(p) {
			usable = append(usable, p)
		}
	}
	return usable
}

// sendHandover sends a request to another VM.
func (r *Router) sendHandover(at time.Time, req *request, p *peer, out []effect.Effect) []effect.Effect {
	r.lastAttemptID++
	h := req.handover
	a := &handoverAttempt{id: r.lastAttemptID, request: req, peer: p, sent: at}
	h.attempts = append(h.attempts, a)
	h.pending = true
	if f, ok := r.peers.zoneFailures[p.Zone]; ok && f.mayBeCutOff(at) {
		f.probeUntil = at.Add(avoidZone)
	}
	if r.handovers == nil {
		r.handovers = make(map[model.AttemptID]*handoverAttempt)
	}
	r.handovers[a.id] = a
	return append(out, effect.Count{Counter: effect.CountAttempts, Reason: handedOverTrace, N: 1}, effect.Forward{
		Attempt: a.id, Request: req.event.ID, Upstream: peerUpstreamID(p.ID), Addr: p.PortionAddr, Timeout: req.deadline.Sub(at),
		AvoidStaleConn: req.route.AtMostOnce, Handover: &model.Handover{DocumentVersion: max(req.documentVersion, r.shownVersion), MaxAttempts: h.allowed, Metered: req.metered},
	})
}

// endHandover removes a request to another VM that is no longer in flight. It
// reports false when the caller's request has ended before.
func (r *Router) endHandover(at time.Time, a *handoverAttempt, outcome string) bool {
	delete(r.handovers, a.id)
	a.took, a.outcome = at.Sub(a.sent), outcome
	a.request.handover.pending = false
	return !a.request.ended
}

// HandleHandoverAccepted records that another VM serves a request for this one by a newer
// document. From then on no request of this VM may be served by an older one.
func (r *Router) HandleHandoverAccepted(at time.Time, e event.HandoverAccepted, out []effect.Effect) []effect.Effect {
	if r.document == nil || e.DocumentVersion <= max(r.document.Version, r.shownVersion) {
		return out
	}
	r.shownVersion = e.DocumentVersion
	return append(out, effect.Note{At: at, Subject: "document", Action: "outdated", Cause: "another VM serves by " + versionText(e.DocumentVersion)})
}

// outdated reports whether another VM has served a request for this one by a newer
// document than this VM has.
func (r *Router) outdated() bool { return r.document.Version < r.shownVersion }

// HandleHandoverResult handles another VM's answer to a request that was handed
// over to it.
func (r *Router) HandleHandoverResult(at time.Time, e event.HandoverResult, out []effect.Effect) []effect.Effect {
	a, ok := r.handovers[e.Attempt]
	if !ok {
		return out
	}
	out = r.zoneReached(at, a.peer.Zone, a.sent, out)
	r.peerAnswered(at, a.peer.Zone)
	req := a.request
	if e.Refusal != nil {
		return r.handoverRefused(at, a, *e.Refusal, out)
	}
	if !r.endHandover(at, a, "answered") {
		return out
	}
	outcome := "failed"
	if e.Response.Status >= 200 && e.Response.Status < 300 {
		outcome = "served"
		r.clearCrashes(req.event.Fingerprint)
	}
	for _, id := range e.Leaving {
		out = r.upstreamLeaves(at, id, out)
	}
	out = append(out, effect.SendResponse{Request: req.event.ID, Response: e.Response})
	return r.close(at, req, outcome, "", out)
}

// handoverRefused handles the refusal of a request by another VM. When the VM did
// not try to serve it, the request goes to a further one. Otherwise the refusal is
// the caller's answer, since further VMs use the same upstreams.
func (r *Router) handoverRefused(at time.Time, a *handoverAttempt, refusal model.Refusal, out []effect.Effect) []effect.Effect {
	if !r.endHandover(at, a, string(refusal.Reason)) {
		return out
	}
	req, h := a.request, a.request.handover
	h.unknown = refusal.Ran != model.RanNo
	switch refusal.Reason {
	case model.RefusedUnreachable:
		a.peer.avoidUntil = at.Add(avoidFailed)
	case model.RefusedUnmetered:
		a.peer.unmeteredUntil = at.Add(avoidUnmetered)
	case model.RefusedBusy, model.RefusedDraining, model.RefusedIsolated, model.RefusedRoute, model.RefusedStale:
		a.peer.avoidUntil = at.Add(avoidRefusing)
	default:
		refusal.Request, refusal.Detail = req.event.ID, req.route.Name
		out = append(out, effect.Refuse{Refusal: refusal}, effect.Count{Counter: effect.CountRefused, Reason: string(refusal.Reason), N: 1})
		return r.close(at, req, "refused", refusal.Reason, out)
	}
	return r.stepHandover(at, req, out)
}

// handoverFailed handles the end of a request to another VM without an answer.
func (r *Router) handoverFailed(at time.Time, a *handoverAttempt, e event.AttemptFailed, out []effect.Effect) []effect.Effect {
	open := r.endHandover(at, a, string(e.Reason))
	if e.Reason != model.FailedCancelled {
		out = r.recordPeerFailure(at, a.peer, out)
	}
	if !open {
		return out
	}
	a.request.handover.unknown = e.Ran != model.RanNo
	return r.stepHandover(at, a.request, out)
}

// cancelHandovers cancels what other VMs still do for a request. A request that may
// run only once is not interrupted.
func (r *Router) cancelHandovers(req *request, out []effect.Effect) []effect.Effect {
	if req.handover == nil || req.route.AtMostOnce {
		return out
	}
	for _, a := range req.handover.attempts {
		if a.outcome == "" {
			out = append(out, effect.Cancel{Attempt: a.id})
		}
	}
	return out
}

// unreachableRetryAfter returns the Retry-After of a request that no VM took: until
// the result of the next check of the links.
func (r *Router) unreachableRetryAfter(at time.Time) time.Duration {
	return r.reach.untilNextCheck(at) + connCheckTimeout
}

// handleLostUpstreams goes through the requests in flight when this VM has found
// that no upstream answers. What may be repeated is handed over if attempts are
// left, and refused otherwise. A request that may run only once goes on if it may
// have reached an upstream.
func (r *Router) handleLostUpstreams(at time.Time, out []effect.Effect) []effect.Effect {
	for _, id := range r.requestsInOrder() {
		req, ok := r.requests[id]
		if !ok || req.handover != nil {
			continue
		}
		allowed, ok := r.mayHandOverLate(at, req)
		switch {
		case req.event.Portion != nil:
			out = r.endPortion(at, req, out)
		case req.route.AtMostOnce && req.ran() != model.RanNo || req.awaitsPortion():
			continue
		case !ok:
			out = r.finish(at, req, out)
		default:
			r.returnRetries(at, req)
			out = r.handOver(at, req, allowed, out)
		}
		out = r.cancelAttempts(req, out)
	}
	return out
}

// cancelAttempts cancels the attempts of a request on upstreams, which would
// otherwise reach them when the links are back.
func (r *Router) cancelAttempts(req *request, out []effect.Effect) []effect.Effect {
	for _, sub := range req.subrequests {
		for _, a := range sub.attempts {
			if a.outcome == "" && a.delegation == nil && !a.cancelled {
				a.cancelled = true
				out = append(out, effect.Cancel{Attempt: a.id})
			}
		}
	}
	return out
}
