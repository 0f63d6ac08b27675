// Package admit decides which requests may start: it checks the contract,
// chooses the class, and queues requests fairly when the contract's concurrency
// is used up.
//
// # Usage
//
//	var g admit.Gate
//	g.SetTopology(view.Topology, view.Share)
//	terms, err := g.Check(request)
//	switch g.Enter(at, admit.Ticket{...}) {
//	case admit.Started:
//	case admit.Queued:
//	}
//	started, late := g.Leave(at, ticket)
//
// All state is that of one traffic goroutine.
package admit
