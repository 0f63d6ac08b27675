// Package proxy routes callers' requests according to the current routing
// document: to one upstream of a service, or to one upstream of each shard,
// whose responses it merges.
//
// # Usage
//
//	var r proxy.Router
//	out = r.Start(at, start, out)
//	out = r.HandleView(at, view, out)                 // the current routing document
//	out = r.HandleUpstreamList(at, list, out)         // the list of upstreams
//	out = r.HandleEntryVMs(at, vms, out)              // the entry VMs
//	out = r.HandleProxyRequest(at, request, out)      // ends in SendResponse, SendMergedResponse or Refuse
//	out = r.HandleResponseReceived(at, response, out) // of an upstream
//
// Each method named Handle handles the event of that name, and Start and Drain
// those of theirs.
//
// A request keeps the route that it started with, so that all parts of an
// answer come from the shards of one document version.
//
// match.go finds the route, upstream.go tracks the health and load of an
// upstream, pick.go chooses one, request.go holds the state of one request,
// arrival.go begins it, step.go decides what is sent next, and finish.go ends a request.
//
// A request over many shards is divided among entry VMs. Each portion is sent
// to another VM, which queries its shards and returns the merged records:
// peers.go divides the request, delegate.go tracks a portion sent to another
// VM, and portion.go answers a portion received from one.
//
// reach.go finds out whether this VM reaches any upstream; while it does not,
// handover.go hands whole requests over to other VMs. statement.go applies what
// upstreams say of themselves: that they want a pause, or that they stop.
//
// Fractions are between 0 and 1. The only clock is the time of the events.
package proxy
