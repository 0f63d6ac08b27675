// Package proxy forwards callers' requests along the routes of the document in
// force: to one upstream of a service, or to one upstream of each shard, whose
// parts it merges.
//
// # Usage
//
//	var t proxy.Table
//	out = t.Start(at, start, out)
//	out = t.View(at, view, out)       // the document in force
//	out = t.Roster(at, roster, out)   // the upstreams there are
//	out = t.Daemons(at, daemons, out) // the other entry VMs
//	out = t.Call(at, call, out)       // ends in Deliver, Merge or Refuse
//	out = t.Returned(at, returned, out)
//
// A call keeps the route it started with, so that all parts of an answer come
// from the shards of one document. match.go finds the route, host.go judges an
// upstream, pick.go chooses one, call.go holds one request, step.go decides what
// is sent next, and finish.go ends a request. From a number of shards on, other
// entry VMs gather portions of them: spread.go divides a request among VMs,
// delegate.go follows a portion at another VM, and gather.go answers one.
//
// Shares are 0 to 1, times are those of the events.
package proxy
