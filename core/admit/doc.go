// Package admit decides which requests may start. It checks the contract,
// chooses the class, and queues requests in one lane for each index: tenants
// take fair turns, and within a tenant the classes do by their weights. The rate
// of a lane follows what the upstreams can take.
//
// # Usage
//
//	var g admit.Gate
//	g.SetTopology(view.Topology, view.Share)
//	contract, class, err := g.Check(request)
//	switch g.Enter(at, admit.Ticket{...}) {
//	case admit.Started:
//	case admit.Queued: // starts in a later Leave or Sweep
//	}
//	started, late := g.Leave(at, ticket, took)
//	g.Shed("pairing") // an upstream shed an attempt
//	g.Adjust(at)      // every 100 ms
//
// Rates are queries a second; costs are sub-requests. All state is that of one
// traffic goroutine.
package admit
