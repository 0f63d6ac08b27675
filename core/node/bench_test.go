package node_test

import (
	"crypto/sha256"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/node"
)

// BenchmarkReduce measures the cost of an event in queries with one event for the
// request and one for the answer of each shard.
func BenchmarkReduce(b *testing.B) {
	for _, shards := range []int{10, 100, 1000, 1300} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) { benchmarkReduce(b, shards) })
	}
}

func benchmarkReduce(b *testing.B, shards int) {
	var state node.State
	now := startTime
	topology := &model.Topology{
		Contracts: map[string]model.Contract{"acme": {
			Customer: "acme", Credential: sha256.Sum256([]byte("secret")), Indexes: []string{"pairing"}, Concurrency: 10,
			Capacity: 1, RetryBudget: 0.05, Retention: time.Hour,
			Classes: []model.Class{{Name: "now", Wait: time.Second, Weight: 1, MinCoverage: 1}},
		}},
		Upstreams: make(map[model.UpstreamID]model.Upstream),
	}
	quota := model.Quota{Concurrency: map[string]int{"acme": 10}, Conns: make(map[model.UpstreamID]int)}
	out := state.Reduce(event.Event{At: now, Body: event.Start{Role: event.RoleQuery, Seed: 1, Loops: 1}}, nil)
	var reports []event.Body
	for shard := range shards {
		for replica := range 3 {
			id := model.UpstreamID(fmt.Sprintf("u%d-%d", shard, replica))
			topology.Upstreams[id] = model.Upstream{ID: id, Addr: netip.MustParseAddrPort("127.0.0.1:1"), Index: "pairing", Slots: 3}
			quota.Conns[id] = 3
			reports = append(reports, event.ProbeResult{Upstream: id, Reachable: true, Snapshots: []model.HeldSnapshot{
				{Index: "pairing", Version: 1, ShardCount: shards, HeldShards: []int{shard}},
			}})
		}
	}
	for _, body := range append([]event.Body{event.View{Topology: topology, Quota: quota}}, reports...) {
		out = state.Reduce(event.Event{At: now, Body: body}, out[:0])
	}
	request := event.QueryRequest{
		Customer: "acme", Credential: sha256.Sum256([]byte("secret")), Index: "pairing", Body: []byte("q"), Fingerprint: 9, Wait: time.Second,
	}
	items := []model.Item{{ID: "a", Rank: 1}}
	load := &model.Load{Slots: 3}
	sends := make([]effect.Send, 0, shards)
	events := 0
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for b.Loop() {
		request.ID++
		now = now.Add(time.Millisecond)
		sends = sends[:0]
		out = state.Reduce(event.Event{At: now, Body: request}, out[:0])
		events++
		for answered := range shards {
			for _, e := range out {
				if s, ok := e.(effect.Send); ok {
					sends = append(sends, s)
				}
			}
			s := sends[answered]
			out = state.Reduce(event.Event{At: now.Add(time.Millisecond), Body: event.AnswerReceived{
				Attempt: s.Attempt, Version: 1, ShardCount: shards, Shard: s.Shard, Items: items, Load: load,
			}}, out[:0])
			events++
		}
	}
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(events), "ns/event")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(events), "allocs/event")
}
