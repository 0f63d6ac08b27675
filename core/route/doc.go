// Package route keeps the state of the upstreams (probe reports, latencies,
// attempts in flight, which shards of which snapshots they hold) and picks a
// replica for each attempt. A snapshot is one version of one index; a replica of
// a shard is an upstream that holds the shard at that version.
//
// # Usage
//
//	var m route.Balancer
//	m.SetTopology(view.Topology, view.Share, zone)
//	m.Report(at, reported)
//	version, shards, ok := m.Pin(at, "pairing", 0)
//	choice, ok := m.Pick(at, "pairing", version, 3, nil)
//	m.Begin(choice.Upstream.ID)
//	m.Answered(at, choice.Upstream.ID, latency, load, fresh)
//
// A Map belongs to one traffic goroutine and takes no locks. Loads are numbers
// of requests.
package route
