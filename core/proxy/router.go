package proxy

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"comfreypulley/core/conns"
	"comfreypulley/core/crash"
	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/retry"
)

// sweepInterval is the time between two searches for attempts whose request has
// ended.
const sweepInterval = 100 * time.Millisecond

// Router is the state of all requests that are routed by the document. It serves
// none until it has a document and a list of upstreams.
type Router struct {
	settings             event.Start
	random               *rand.Rand
	document             *model.Document
	routes               routeTable
	previousDocuments    []previousDocument       // oldest first
	services             map[string]model.Service // of the current document
	upstreamListReadAt   time.Time
	hasUpstreamList      bool
	upstreamListChecksum uint64
	entryVMCount         int // 0 while not known
	upstreams            map[model.UpstreamID]*upstream
	byService            map[string][]*upstream // upstreams of a service
	latencies            map[model.RouteKey]*latencyStats
	firstFrameLatencies  map[model.RouteKey]*latencyStats // of the portions that other VMs execute
	roundRobins          map[model.RouteKey]*roundRobin
	retryBudgets         map[string]*retry.TokenBucket        // by service
	requests             map[model.RequestID]*request         // without those that have ended
	held                 map[model.RequestID]heldRequest      // wait for the first document and upstream list
	tokenWaits           map[model.RequestID]tokenWait        // wait for a token of their team's limit
	attemptsByID         map[model.AttemptID]*attempt         // in flight, also of requests that have ended
	handovers            map[model.AttemptID]*handoverAttempt // in flight, also of requests that have ended
	lastAttemptID        model.AttemptID
	crashes              crash.History  // upstreams that crashed while they ran a request
	pendingCrashes       []pendingCrash // oldest first
	deferredCrashes      []pendingCrash // suspected before no upstream was reachable
	peers                peers
	isolation            isolation
	reach                reachability
	zonesOut             []model.Zone // zones whose upstreams are out of use
	shownVersion         uint64       // highest document version by which another VM has served a request for this one
	documentOverdue      bool         // a newer document may have to be in force by now
	limitsReportedAt     time.Time    // when the upstreams' limits were last reported to the control state
	shortage             conns.Shortage
	draining             bool
	cutOff               bool // the process exits before a further request could end
}

// Start stores the settings.
func (r *Router) Start(at time.Time, start event.Start, out []effect.Effect) []effect.Effect {
	r.settings = start
	r.random = rand.New(rand.NewPCG(start.Seed, uint64(start.Loop)))
	r.upstreams = make(map[model.UpstreamID]*upstream)
	r.byService = make(map[string][]*upstream)
	r.latencies = make(map[model.RouteKey]*latencyStats)
	r.firstFrameLatencies = make(map[model.RouteKey]*latencyStats)
	r.roundRobins = make(map[model.RouteKey]*roundRobin)
	r.retryBudgets = make(map[string]*retry.TokenBucket)
	r.requests = make(map[model.RequestID]*request)
	r.attemptsByID = make(map[model.AttemptID]*attempt)
	r.peers.zoneFailures = make(map[model.Zone]*zoneFailure)
	r.peers.delegations = make(map[model.AttemptID]*delegation)
	return append(out, effect.SetTimer{ID: event.TimerID{Kind: event.TimerSweep}, At: at.Add(sweepInterval)})
}

// HandleSettings applies changed settings.
func (r *Router) HandleSettings(_ time.Time, e event.SettingsChanged, out []effect.Effect) []effect.Effect {
	e.Apply(&r.settings)
	r.updateRetryBudgets()
	return out
}

// HandleView applies the current routing document. A version that is not newer
// is ignored.
func (r *Router) HandleView(at time.Time, v event.View, out []effect.Effect) []effect.Effect {
	out = r.setZonesOut(at, v.Topology.ZonesOut, out)
	d := v.Topology.Document
	if d == nil || r.document != nil && d.Version <= r.document.Version {
		return out
	}
	r.retainDocument(at)
	r.document, r.routes, r.peers.portions = d, newRouteTable(d), nil
	r.forgetRoutes()
	r.services = make(map[string]model.Service, len(d.Services))
	for _, s := range d.Services {
		r.services[s.Name] = s
	}
	out = append(out, effect.LimitCallers{Limits: d.Limits}, effect.Note{At: at, Subject: "document", Action: "in force", Cause: versionText(d.Version)})
	return r.announceReady(at, out)
}

// HandleConfigOverdue records whether a newer document may have to be in force. A
// request without a route is then refused as not run rather than as unknown, since
// another VM may have its route.
func (r *Router) HandleConfigOverdue(e event.ConfigOverdue, out []effect.Effect) []effect.Effect {
	r.documentOverdue = e.Overdue
	return out
}

// HandleUpstreamList applies the list of upstreams. The state of an upstream is
// kept unless its address or service changed.
func (r *Router) HandleUpstreamList(at time.Time, list event.UpstreamList, out []effect.Effect) []effect.Effect {
	resized := r.entryVMCount != list.EntryVMCount
	r.upstreamListReadAt, r.entryVMCount = list.ReadAt, list.EntryVMCount
	if resized {
		r.updateRetryBudgets()
	}
	if r.hasUpstreamList && list.Checksum == r.upstreamListChecksum {
		return out
	}
	r.hasUpstreamList, r.upstreamListChecksum, r.peers.portions = true, list.Checksum, nil
	before := r.upstreams
	r.upstreams = make(map[model.UpstreamID]*upstream, len(list.Upstreams))
	r.byService = make(map[string][]*upstream)
	for _, spec := range list.Upstreams {
		u, known := before[spec.ID]
		if !known || u.spec.Addr != spec.Addr || u.spec.Index != spec.Index {
			u = &upstream{inFlight: make(map[model.AttemptID]*attempt)}
		}
		restarted := known && hasRestarted(u.spec, spec)
		cold := spec.WarmUpLeft > 0 && !list.ReadAt.Before(u.warmUpUntil)
		u.spec, u.zoneOut = spec, slices.Contains(r.zonesOut, spec.Zone)
		if restarted {
			u.forgetStatement()
		}
		if cold {
			u.warmUpUntil = list.ReadAt.Add(spec.WarmUpLeft)
			out = r.limitCold(at, u, u.warmUpUntil, out)
		}
		if restarted || cold {
			r.beginPace(at, u)
		}
		r.upstreams[spec.ID] = u
		r.byService[spec.Index] = append(r.byService[spec.Index], u)
	}
	for id, u := range before {
		if current, ok := r.upstreams[id]; !ok || current != u {
			out = append(out, effect.CloseIdleConns{Upstream: id})
		}
	}
	return r.announceReady(at, out)
}

// announceReady reports to the load balancer's readiness check, and serves the
// held requests, once there are a document and an upstream list.
func (r *Router) announceReady(at time.Time, out []effect.Effect) []effect.Effect {
	if r.document == nil || !r.hasUpstreamList || r.draining {
		return out
	}
	out = r.updateRotation(at, out)
	out = append(out, effect.Ready{Ready: !r.isolation.outOfRotation})
	return r.admitHeld(at, out)
}

// HandleCrashReport records the upstreams that, according to another VM,
// crashed while they ran a request.
func (r *Router) HandleCrashReport(at time.Time, report event.CrashReport, out []effect.Effect) []effect.Effect {
	_ = r.crashes.Merge(at, report)
	for _, a := range report.Answered {
		r.dropDeferred(a.Fingerprint)
	}
	return out
}

// Drain refuses the held requests, and reports effect.Drained once no request is
// left.
func (r *Router) Drain(_ time.Time, out []effect.Effect) []effect.Effect {
	r.draining = true
	for _, held := range r.heldInOrder() {
		out = r.refuseHeld(held, out)
	}
	return r.reportDrained(out)
}

// CutOff ends the requests that are still in flight: each is answered with what was
// received, or refused. Requests that arrive later are refused.
func (r *Router) CutOff(at time.Time, out []effect.Effect) []effect.Effect {
	r.cutOff = true
	out = r.endTokenWaits(out)
	for _, id := range r.requestsInOrder() {
		req := r.requests[id]
		if req.event.Portion != nil {
			out = r.endPortion(at, req, out)
		} else {
			out = r.finish(at, req, out)
		}
	}
	return out
}

// requestsInOrder returns the requests in the order of their arrival.
func (r *Router) requestsInOrder() []model.RequestID { return slices.Sorted(maps.Keys(r.requests)) }

func (r *Router) reportDrained(out []effect.Effect) []effect.Effect {
	if r.draining && len(r.requests)+len(r.tokenWaits) == 0 {
		out = append(out, effect.Drained{})
	}
	return out
}

// HandleTimer handles a timer that is due.
func (r *Router) HandleTimer(at time.Time, id event.TimerID, out []effect.Effect) []effect.Effect {
	switch id.Kind {
	case event.TimerProxyRequest:
		if req, ok := r.requests[model.RequestID(id.N)]; ok {
			req.timerDue = time.Time{}
			return r.step(at, req, out)
		}
		if held, ok := r.held[model.RequestID(id.N)]; ok {
			return r.refuseHeld(held, out)
		}
	case event.TimerSweep:
		r.crashes.Expire(at)
		out = r.shareAnswered(out)
		out = r.checkReach(at, r.checkLimits(at, r.cancelStaleAttempts(at, out)))
		if !r.reach.inDoubt() {
			out = r.confirmCrashes(at, at.Add(-crashDelay), out)
		}
		return append(out, effect.SetTimer{ID: id, At: at.Add(sweepInterval)})
	default:
	}
	return out
}

// cancelStaleAttempts cancels attempts that are still in flight some time after
// their request ended, so that upstreams stop working on them.
func (r *Router) cancelStaleAttempts(at time.Time, out []effect.Effect) []effect.Effect {
	for _, id := range slices.Sorted(maps.Keys(r.attemptsByID)) {
		a := r.attemptsByID[id]
		if a.request.ended && at.Sub(a.sent) >= cancelAfter && !a.request.route.AtMostOnce && !a.cancelled {
			a.cancelled = true
			out = r.recordUpstreamFailure(at, a.upstream, model.FailedTimeout, out)
			out = append(out, effect.Cancel{Attempt: a.id})
		}
	}
	return r.cancelStaleDelegations(at, out)
}
