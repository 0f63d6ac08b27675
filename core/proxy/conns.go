package proxy

import (
	"time"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// shortConnIdle is the idle time of a connection during a shortage of connections, to an
// upstream that this VM seldom uses. Other VMs wait for its place.
const shortConnIdle = 100 * time.Millisecond

// scarceConns reports whether the upstreams of a service accept fewer connections than
// there are VMs.
func (r *Router) scarceConns(service string) bool {
	accepted := r.services[service].MaxConns
	return accepted > 0 && (r.entryVMCount <= 0 || connsUsed*float64(accepted) < float64(r.entryVMCount))
}

// shortOfConns reports whether a service is short of connections now.
func (r *Router) shortOfConns(at time.Time, service string) bool {
	return r.shortage.Active(at) && r.scarceConns(service)
}

// recordConn records what an answer shows about the connection that it came on.
func (r *Router) recordConn(at time.Time, a *attempt, e event.ResponseReceived) {
	idle := r.maxIdle(at, a.request, a.upstream)
	if idle == 0 {
		idle = usualConnIdle
	}
	gate := &a.upstream.gate
	switch {
	case e.ClosesConn && e.NewConn:
	case e.ClosesConn:
		gate.Closed()
	case e.NewConn:
		gate.Opened(at, idle)
	default:
		gate.Used(at, idle)
	}
}

// recordLostConn records what a failed attempt shows about its connection. It reports
// whether the upstream has rejected the connection before anything was sent on it, which is
// no failure of the upstream. After a reset that came later the request may have crashed it.
func (r *Router) recordLostConn(at time.Time, a *attempt, e event.AttemptFailed) (rejected bool) {
	u := a.upstream
	switch {
	case e.Rejected && r.scarceConns(u.spec.Index):
		r.shortage.Rejected(at)
		u.gate.Rejected(at, r.random.Float64())
	case !e.NewConn:
		u.gate.Closed()
	}
	return e.Reason == model.FailedConns
}
