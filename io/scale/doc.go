// Package scale measures the costs of a fleet of the size that the design
// assumes: the latency of queries over very many shards and, in its benchmarks,
// the work of the control state.
//
// # Usage
//
//	f := scale.Fanout{Shards: 1300, Replicas: 3, Queries: 1000, RetryBudget: 0.05, Seed: 1, ServiceTimes: times}
//	r, err := f.Run()
//
// A Fanout runs the traffic reducer in virtual time with random service times, so
// that its results do not depend on the machine. It simulates no network, no
// queues at the upstreams and no faults.
package scale
