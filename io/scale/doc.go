// Package scale measures what the design size costs: the latency of queries with
// a very wide fan-out and, in its benchmarks, the control state.
//
// # Usage
//
//	f := scale.Fanout{Shards: 1300, Replicas: 3, Queries: 1000, Extra: 0.05, Seed: 1, Times: times}
//	r, err := f.Run()
//
// A Fanout drives the traffic reducer in virtual time with sampled service
// times, so that its figures do not depend on the machine. It has no network,
// no queues at the upstreams and no faults. Latencies are time.Duration.
package scale
