package scale_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"comfreypulley/core/config"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/lease"
	"comfreypulley/core/model"
	"comfreypulley/core/relay"
	"comfreypulley/core/route"
	"comfreypulley/io/peer"
)

var (
	upstreamCounts = []int{1_000, 4_000, 16_000, 34_000}
	vmCounts       = []int{500, 1_500, 3_000, 6_900}
	startTime      = time.Unix(1_700_000_000, 0)
	sink           any // keeps measured values from being garbage collected or optimized away
)

// fleetConfig returns a configuration of the given size with ten contracts.
func fleetConfig(vms, upstreams int) entry.Config {
	c := entry.Config{Revision: model.Revision(vms + upstreams)}
	for i := range 10 {
		c.Contracts = append(c.Contracts, model.Contract{
			Customer: fmt.Sprintf("customer-%d", i), Indexes: []string{"wide"}, Concurrency: 10_000, Capacity: 1, RetryBudget: 0.05,
			Retention: time.Hour, Classes: []model.Class{{Name: "now", Wait: time.Second, Weight: 1, MinCoverage: 1}}, Revision: 1,
		})
	}
	for i := range vms {
		c.VMs = append(c.VMs, model.VM{
			ID: model.VMID(fmt.Sprintf("vm-%05d", i)), Zone: zone(i), PeerAddr: addr(i, 7400), HasDisk: i < 7, Revision: model.Revision(i + 1),
		})
	}
	for i := range upstreams {
		c.Upstreams = append(c.Upstreams, model.Upstream{
			ID: model.UpstreamID(fmt.Sprintf("wide-%05d-%d", i/3, i%3)), Addr: addr(i, 9000), Zone: zone(i), Index: "wide", Slots: 3,
			MaxConns: 65, DialCost: 6 * time.Millisecond, Revision: model.Revision(i + 1),
		})
	}
	return c
}

func zone(i int) model.Zone { return model.Zone(fmt.Sprintf("region-%d-%c", i%4, 'a'+i%14)) }

func addr(i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), port)
}

// retainedBytes returns the size of the heap memory that a value keeps alive.
func retainedBytes(build func() any) float64 {
	var before, after runtime.MemStats
	sink = nil
	runtime.GC()
	runtime.ReadMemStats(&before)
	sink = build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkFull measures a full configuration: its size in a message, the times to
// encode, decode and restore it, and the memory of its config.Store.
func BenchmarkFull(b *testing.B) {
	for _, n := range upstreamCounts {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			full := frame.FullConfig{Config: fleetConfig(n/5, n)}
			bytes, encode, decode, restore := 0, time.Duration(0), time.Duration(0), time.Duration(0)
			for b.Loop() {
				t0 := time.Now()
				raw, err := peer.Encode(full)
				t1 := time.Now()
				if err != nil {
					b.Fatal(err)
				}
				m, err := peer.Decode(raw)
				t2 := time.Now()
				if err != nil {
					b.Fatal(err)
				}
				var s config.Store
				s.Restore(m.(frame.FullConfig).Config)
				s.Topology()
				bytes, encode, decode, restore = len(raw), encode+t1.Sub(t0), decode+t2.Sub(t1), restore+time.Since(t2)
			}
			each := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 / float64(b.N) }
			b.ReportMetric(float64(bytes), "bytes")
			b.ReportMetric(each(encode), "encode-ms")
			b.ReportMetric(each(decode), "decode-ms")
			b.ReportMetric(each(restore), "restore-ms")
			b.ReportMetric(retainedBytes(func() any {
				s := &config.Store{}
				s.Restore(fleetConfig(n/5, n))
				s.Topology()
				return s
			}), "store-bytes")
		})
	}
}

// BenchmarkView measures a change of one upstream: the times to apply it, to
// compute the quotas of the traffic states and to update the route map of a
// traffic state, and the memory of the latter two.
func BenchmarkView(b *testing.B) {
	for _, n := range upstreamCounts {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			var s config.Store
			s.Restore(fleetConfig(n/5, n))
			h := lease.Holder{Self: model.VM{ID: "vm-00000"}, ProcessStart: startTime}
			h.Quotas(startTime, s.Topology(), 1)
			var m route.Balancer
			at, apply, quotas, routes := startTime, time.Duration(0), time.Duration(0), time.Duration(0)
			for b.Loop() {
				at = at.Add(10 * time.Second)
				u := s.Topology().Upstreams["wide-00000-0"]
				u.Slots = 3 + u.Slots%2
				t0 := time.Now()
				s.Apply(at, entry.Change{Upstream: &u, ExpectedRevision: u.Revision})
				t := s.Topology()
				t1 := time.Now()
				quota := h.Quotas(at, t, 1)[0]
				t2 := time.Now()
				m.SetTopology(t, quota, zone(0))
				apply, quotas, routes = apply+t1.Sub(t0), quotas+t2.Sub(t1), routes+time.Since(t2)
			}
			each := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 / float64(b.N) }
			const updates = 10
			t0 := time.Now()
			for range updates {
				m.SetTopology(s.Topology(), h.Quotas(at, s.Topology(), 1)[0], zone(0))
			}
			b.ReportMetric(float64(time.Since(t0).Microseconds())/1000/updates, "grant-ms")
			b.ReportMetric(each(apply), "apply-ms")
			b.ReportMetric(each(quotas), "shares-ms")
			b.ReportMetric(each(routes), "routes-ms")
			b.ReportMetric(retainedBytes(func() any {
				h := &lease.Holder{Self: model.VM{ID: "vm-00000"}, ProcessStart: startTime}
				h.Quotas(startTime, s.Topology(), 1)
				return h
			})/float64(n), "holder-bytes/upstream")
			b.ReportMetric(retainedBytes(func() any { return reportedMap(&s, n) })/float64(n), "route-bytes/upstream")
			runtime.KeepAlive(&s)
		})
	}
}

// reportedMap returns a route map that has a probe result of each upstream.
func reportedMap(s *config.Store, n int) *route.Balancer {
	m := &route.Balancer{}
	t := s.Topology()
	m.SetTopology(t, model.Quota{Conns: map[model.UpstreamID]int{}}, zone(0))
	shard := 0
	for id := range t.Upstreams {
		m.RecordProbe(startTime, event.ProbeResult{Upstream: id, Reachable: true, Snapshots: []model.HeldSnapshot{
			{Index: "wide", Version: 1, ShardCount: n / 3, HeldShards: []int{shard % (n / 3)}},
		}})
		shard++
	}
	return m
}

// BenchmarkProbes measures how many probes a process sends per second of virtual
// time, and the time it takes to select them and to apply their results.
func BenchmarkProbes(b *testing.B) {
	for _, n := range upstreamCounts {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			var s config.Store
			s.Restore(fleetConfig(1, n))
			t := s.Topology()
			quota := model.Quota{Conns: make(map[model.UpstreamID]int, n)}
			for id := range t.Upstreams {
				quota.Conns[id] = 1
			}
			var m route.Balancer
			m.SetTopology(t, quota, zone(0))
			holds := []model.HeldSnapshot{{Index: "wide", Version: 1, ShardCount: n, HeldShards: []int{0}}}
			at, probes := startTime, 0
			const step = 100 * time.Millisecond
			for b.Loop() {
				at = at.Add(step)
				for _, id := range m.DueProbes(at) {
					m.RecordProbe(at, event.ProbeResult{Upstream: id, Reachable: true, Snapshots: holds})
					probes++
				}
			}
			seconds := float64(b.N) * step.Seconds()
			b.ReportMetric(float64(probes)/seconds, "probes/s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/1000/seconds, "ms/s")
		})
	}
}

// BenchmarkGrant measures the time that the leader takes for a round in which each
// VM requests a lease of one contract's concurrency within a second: for the first
// round after an election and for later ones. It also measures the size of a
// request and its response.
func BenchmarkGrant(b *testing.B) {
	for _, n := range vmCounts {
		var s config.Store
		s.Restore(fleetConfig(n, 100))
		t := s.Topology()
		message := frame.LeaseRequest{ProcessStart: startTime, Revision: t.Revision, Demand: map[string]int{"customer-1": 3}}
		round := func(b *testing.B, g *lease.Granter, at time.Time) {
			for i := range n {
				message.Seq++
				at = at.Add(time.Second / time.Duration(n))
				if out := g.HandleLeaseRequest(at, t.VMs[model.VMID(fmt.Sprintf("vm-%05d", i))].ID, message, t, nil); len(out) != 1 {
					b.Fatalf("got %d effects, want a response", len(out))
				}
			}
		}
		newLeader := func() *lease.Granter {
			g := &lease.Granter{}
			g.Observe(startTime, t)
			g.StartLeading(startTime)
			return g
		}
		b.Run(fmt.Sprintf("first/daemons=%d", n), func(b *testing.B) {
			for b.Loop() {
				round(b, newLeader(), startTime.Add(time.Minute))
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/ask")
		})
		b.Run(fmt.Sprintf("again/daemons=%d", n), func(b *testing.B) {
			g, at := newLeader(), startTime.Add(time.Minute)
			round(b, g, at)
			for b.Loop() {
				at = at.Add(time.Second)
				round(b, g, at)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/ask")
			request, err := peer.Encode(message)
			if err != nil {
				b.Fatal(err)
			}
			response, err := peer.Encode(frame.LeaseResponse{
				Seq: message.Seq, ExtraConcurrency: map[string]int{"customer-1": 3}, Duration: 3 * time.Second,
				LimitsRevision: t.LimitsRevision, LimitsAge: time.Minute,
			})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(request)+len(response)+8), "bytes") // each has a length prefix of 4 bytes
		})
	}
}

// BenchmarkPlace measures the time and memory that a VM needs to compute its place
// in the tree that distributes the configuration. It does so after each change of
// a VM.
func BenchmarkPlace(b *testing.B) {
	for _, n := range vmCounts {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			var s config.Store
			s.Restore(fleetConfig(n, 0))
			s.Topology()
			start := func() any {
				t := &relay.Tree{Store: &s}
				t.Start(startTime, model.VM{ID: model.VMID(fmt.Sprintf("vm-%05d", n-1)), Zone: zone(n - 1)}, startTime, nil)
				return t
			}
			for b.Loop() {
				sink = start()
			}
			b.ReportMetric(retainedBytes(start), "tree-bytes")
		})
	}
}

// BenchmarkAppend measures the size of a frame.AppendRequest with the given number
// of claims for one replica, and the time to encode and decode it.
func BenchmarkAppend(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1_000} {
		b.Run(fmt.Sprintf("claims=%d", n), func(b *testing.B) {
			m := frame.AppendRequest{
				Term: 5, Replica: entry.Replica{VM: "vm-00000", Disk: 1 << 60}, PrevIndex: 1 << 30, PrevTerm: 5, CommitIndex: 1 << 30,
			}
			for i := range n {
				m.Entries = append(m.Entries, entry.Entry{Index: 1<<30 + uint64(i), Term: 5, At: startTime, Command: entry.Claim{
					Customer: "customer-1", Key: model.NewKey(startTime, [10]byte{byte(i), byte(i >> 8)}), Fingerprint: 1 << 60,
					Holder: entry.ClaimHolder{VM: "vm-00000", ProcessStart: startTime, Request: model.RequestID(i)},
				}})
			}
			bytes := 0
			for b.Loop() {
				raw, err := peer.Encode(m)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := peer.Decode(raw); err != nil {
					b.Fatal(err)
				}
				bytes = len(raw)
			}
			b.ReportMetric(float64(bytes)/float64(n), "bytes/claim")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/claim")
		})
	}
}
