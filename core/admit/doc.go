// Package admit is the admission control of queries. It checks the contract of
// the customer, chooses the class, and limits how many queries start. Each
// index has a fair queue over the customers, and the classes of one customer
// share its part by weight. The rate at which queries start adapts to what the
// upstreams of the index can handle.
//
// # Usage
//
//	var c admit.Controller
//	c.SetTopology(view.Topology, view.Quota)
//	contract, class, err := c.Authorize(request)
//	switch c.Submit(at, query) {
//	case admit.Started:
//	case admit.Queued: // starts in a later Finish or Dispatch
//	case admit.TooLate, admit.QueueFull: // refused
//	}
//	started, late := c.Finish(at, query, duration)
//	c.RecordShed("pairing") // an upstream of the index shed an attempt
//	c.Adjust(at)            // every 100 ms
//
// Rates are queries a second, costs are subrequests, one for each shard. A
// Controller is part of one traffic state and uses no locks.
package admit
