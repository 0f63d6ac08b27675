// Package route knows the upstreams and chooses a replica for each attempt.
//
// # Usage
//
//	var m route.Map
//	m.SetTopology(view.Topology, view.Share, zone)
//	m.Report(at, reported)
//	version, shards, ok := m.Pin(at, "pairing", 0)
//	choice, ok := m.Pick(at, "pairing", version, 3, nil)
//	m.Begin(choice.Upstream.ID)
//	m.Answered(at, choice.Upstream.ID, latency, load, fresh)
//
// All state is that of one traffic goroutine. Latencies are time.Duration;
// loads are requests.
package route
