package proxy

import (
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Limits of the detection of requests that crash upstreams.
const (
	maxPendingCrashes = 256
	crashDelay        = 2 * minDoubt // after which a suspicion counts although no upstream has answered
	trialMargin       = time.Second  // after the deadline of a request on trial, until a crash has been counted
)

// pendingCrash is a request that may have crashed upstreams, until it is clear that the
// links of this VM work.
type pendingCrash struct {
	fingerprint model.Fingerprint
	crashes     []model.Crash
	at          time.Time
}

// suspectCrashes notes that upstreams reset the connections of a request. It counts
// only once another upstream answers or the links have not come into doubt, since a
// failure of this VM's own links resets all connections, too.
func (r *Router) suspectCrashes(at time.Time, req *request) {
	if len(req.crashed) == 0 || req.answered() > 0 || len(r.pendingCrashes) >= maxPendingCrashes {
		return
	}
	r.pendingCrashes = append(r.pendingCrashes, pendingCrash{req.event.Fingerprint, slices.Clone(req.crashed), at})
}

// confirmCrashes counts the requests that were suspected before a time, and reports to
// the other VMs what is new.
func (r *Router) confirmCrashes(at, before time.Time, out []effect.Effect) []effect.Effect {
	for len(r.pendingCrashes) > 0 && r.pendingCrashes[0].at.Before(before) {
		p := r.pendingCrashes[0]
		r.pendingCrashes = r.pendingCrashes[1:]
		if r.crashes.Add(at, p.fingerprint, p.crashes...) {
			out = append(out, effect.ToControl{Body: r.crashes.Report(at, p.fingerprint)})
		}
	}
	return out
}

// deferCrashes sets the suspected crashes aside when this VM has found that it reaches no
// upstream. Either its links have failed, which reset the connections of all requests, or
// one request has crashed all upstreams. A single crash of each request is kept, so that
// failing links alone have to coincide with equal requests several times.
func (r *Router) deferCrashes() {
	for _, p := range r.pendingCrashes {
		isKept := func(other pendingCrash) bool { return other.fingerprint == p.fingerprint }
		if len(r.deferredCrashes) < maxPendingCrashes && !slices.ContainsFunc(r.deferredCrashes, isKept) {
			p.crashes = p.crashes[:1]
			r.deferredCrashes = append(r.deferredCrashes, p)
		}
	}
	r.pendingCrashes = nil
}

// recordDeferredCrashes counts the crashes that were set aside, once upstreams are reachable
// again. Only those of requests with an earlier crash are reported to the other VMs: most
// of the others were in flight by chance.
func (r *Router) recordDeferredCrashes(at time.Time, out []effect.Effect) []effect.Effect {
	for _, p := range r.deferredCrashes {
		if r.crashes.Add(at, p.fingerprint, p.crashes...) && r.crashes.Count(p.fingerprint) > 1 {
			out = append(out, effect.ToControl{Body: r.crashes.Report(at, p.fingerprint)})
		}
	}
	r.deferredCrashes = nil
	return out
}

// clearCrashes records that a request was answered.
func (r *Router) clearCrashes(fp model.Fingerprint) {
	r.crashes.Clear(fp)
	r.dropDeferred(fp)
}

// dropDeferred drops the crash of a request that was set aside.
func (r *Router) dropDeferred(fp model.Fingerprint) {
	r.deferredCrashes = slices.DeleteFunc(r.deferredCrashes, func(p pendingCrash) bool { return p.fingerprint == fp })
}

// restrictTrial lets a request whose quarantine has ended make a single attempt, while
// others with its fingerprint are refused.
func (r *Router) restrictTrial(at time.Time, req *request) {
	fp := req.event.Fingerprint
	if req.event.Portion != nil || !r.crashes.OnProbation(at, fp) {
		return
	}
	r.crashes.BeginTrial(fp, req.deadline.Add(trialMargin))
	req.route = limitAttempts(req.route, 1)
}

// shareAnswered reports the requests that were answered after crashes to the other VMs.
func (r *Router) shareAnswered(out []effect.Effect) []effect.Effect {
	if answered := r.crashes.TakeAnswered(); len(answered) > 0 {
		out = append(out, effect.ToControl{Body: event.CrashReport{Answered: answered}})
	}
	return out
}
