// Package admit is the admission control of queries. It checks the contract of
// the customer, chooses the class, and limits how many queries start. Each index
// has a queue in which the customers take fair turns, and the classes of one
// customer share its turns by weight. The rate at which queries start adapts to
// what the upstreams of the index can handle.
//
// # Usage
//
//	var g admit.Controller
//	g.SetTopology(view.Topology, view.Quota)
//	contract, class, err := g.Check(request)
//	switch g.Enter(at, admit.Query{...}) {
//	case admit.Started:
//	case admit.Queued: // starts in a later Leave or Sweep
//	}
//	started, late := g.Leave(at, query, duration)
//	g.Shed("pairing") // an upstream shed an attempt
//	g.Adjust(at)      // every 100 ms
//
// Rates are queries a second, costs are sub-requests. A Gate belongs to one
// traffic goroutine.
package admit
