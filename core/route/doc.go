// Package route keeps the state of the upstreams (probe reports, latencies,
// attempts in flight, which shards of which snapshots they hold) and picks a
// replica for each attempt. A snapshot is one version of one index; a replica of
// a shard is an upstream that holds the shard at that version.
//
// # Usage
//
//	var b route.Balancer
//	b.SetTopology(view.Topology, view.Quota, zone)
//	b.RecordProbe(at, result)
//	version, shards, ok := b.SelectVersion(at, "pairing", 0)
//	choice, ok := b.Pick(at, "pairing", version, 3, nil)
//	b.RecordStart(choice.Upstream.ID)
//	b.RecordAnswer(at, choice.Upstream.ID, latency, load, newConn)
//
// A Balancer is part of one traffic state and uses no locks. Loads are
// numbers of requests.
package route
