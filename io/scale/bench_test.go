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
	upstreams = []int{1_000, 4_000, 16_000, 34_000} // of a configuration
	daemons   = []int{500, 1_500, 3_000, 6_900}
	began     = time.Unix(1_700_000_000, 0)
	sink      any // keeps what is measured from being collected
)

// fleet is a configuration of the given size with ten contracts.
func fleet(vms, upstreams int) entry.Config {
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

// retained reports the live bytes that a value holds.
func retained(build func() any) float64 {
	var before, after runtime.MemStats
	sink = nil
	runtime.GC()
	runtime.ReadMemStats(&before)
	sink = build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkFull reports the cost of a full configuration on the wire, with the
// time to encode, decode and restore it apart, and the memory of its Store.
func BenchmarkFull(b *testing.B) {
	for _, n := range upstreams {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			full := frame.FullConfig{Config: fleet(n/5, n)}
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
			b.ReportMetric(retained(func() any {
				s := &config.Store{}
				s.Restore(fleet(n/5, n))
				s.Topology()
				return s
			}), "store-bytes")
		})
	}
}

// BenchmarkView reports what a change of one upstream costs a daemon until its
// view is out, and the route map of a traffic state: its time to take the view
// and its memory.
func BenchmarkView(b *testing.B) {
	for _, n := range upstreams {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			var s config.Store
			s.Restore(fleet(n/5, n))
			h := lease.Holder{Self: model.VM{ID: "vm-00000"}, Began: began}
			h.Shares(began, s.Topology(), 1)
			var m route.Map
			at, apply, shares, routes := began, time.Duration(0), time.Duration(0), time.Duration(0)
			for b.Loop() {
				at = at.Add(10 * time.Second)
				u := s.Topology().Upstreams["wide-00000-0"]
				u.Slots = 3 + u.Slots%2
				t0 := time.Now()
				s.Apply(at, entry.Change{Upstream: &u, ExpectedRevision: u.Revision})
				t := s.Topology()
				t1 := time.Now()
				share := h.Shares(at, t, 1)[0]
				t2 := time.Now()
				m.SetTopology(t, share, zone(0))
				apply, shares, routes = apply+t1.Sub(t0), shares+t2.Sub(t1), routes+time.Since(t2)
			}
			each := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 / float64(b.N) }
			const grants = 10
			t0 := time.Now()
			for range grants {
				m.SetTopology(s.Topology(), h.Shares(at, s.Topology(), 1)[0], zone(0))
			}
			b.ReportMetric(float64(time.Since(t0).Microseconds())/1000/grants, "grant-ms")
			b.ReportMetric(each(apply), "apply-ms")
			b.ReportMetric(each(shares), "shares-ms")
			b.ReportMetric(each(routes), "routes-ms")
			b.ReportMetric(retained(func() any {
				h := &lease.Holder{Self: model.VM{ID: "vm-00000"}, Began: began}
				h.Shares(began, s.Topology(), 1)
				return h
			})/float64(n), "holder-bytes/upstream")
			b.ReportMetric(retained(func() any { return reported(&s, n) })/float64(n), "route-bytes/upstream")
			runtime.KeepAlive(&s)
		})
	}
}

// reported makes a route map with a report of each upstream.
func reported(s *config.Store, n int) *route.Map {
	m := &route.Map{}
	t := s.Topology()
	m.SetTopology(t, model.Quota{Conns: map[model.UpstreamID]int{}}, zone(0))
	shard := 0
	for id := range t.Upstreams {
		m.Report(began, event.ProbeResult{Upstream: id, Reachable: true, Snapshots: []model.HeldSnapshot{
			{Index: "wide", Version: 1, ShardCount: n / 3, HeldShards: []int{shard % (n / 3)}},
		}})
		shard++
	}
	return m
}

// BenchmarkProbes reports the probes that a daemon sends in a second of virtual
// time, and the time to choose them and take their reports.
func BenchmarkProbes(b *testing.B) {
	for _, n := range upstreams {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			var s config.Store
			s.Restore(fleet(1, n))
			t := s.Topology()
			share := model.Quota{Conns: make(map[model.UpstreamID]int, n)}
			for id := range t.Upstreams {
				share.Conns[id] = 1
			}
			var m route.Map
			m.SetTopology(t, share, zone(0))
			holds := []model.HeldSnapshot{{Index: "wide", Version: 1, ShardCount: n, HeldShards: []int{0}}}
			at, probes := began, 0
			const step = 100 * time.Millisecond
			for b.Loop() {
				at = at.Add(step)
				for _, id := range m.Due(at) {
					m.Report(at, event.ProbeResult{Upstream: id, Reachable: true, Snapshots: holds})
					probes++
				}
			}
			seconds := float64(b.N) * step.Seconds()
			b.ReportMetric(float64(probes)/seconds, "probes/s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/1000/seconds, "ms/s")
		})
	}
}

// BenchmarkGrant reports the cost on the leader of a round in which every daemon
// asks for a share of one contract within a second: the first round after an
// election and a later one. Bytes are those of an ask and its grant.
func BenchmarkGrant(b *testing.B) {
	for _, n := range daemons {
		var s config.Store
		s.Restore(fleet(n, 100))
		t := s.Topology()
		message := frame.LeaseRequest{ProcessStart: began, Revision: t.Revision, Demand: map[string]int{"customer-1": 3}}
		round := func(b *testing.B, g *lease.Granter, at time.Time) {
			for i := range n {
				message.Seq++
				at = at.Add(time.Second / time.Duration(n))
				if out := g.Ask(at, t.VMs[model.VMID(fmt.Sprintf("vm-%05d", i))].ID, message, t, nil); len(out) != 1 {
					b.Fatalf("got %d effects, want a grant", len(out))
				}
			}
		}
		elected := func() *lease.Granter {
			g := &lease.Granter{}
			g.Observe(began, t)
			g.Lead(began)
			return g
		}
		b.Run(fmt.Sprintf("first/daemons=%d", n), func(b *testing.B) {
			for b.Loop() {
				round(b, elected(), began.Add(time.Minute))
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/ask")
		})
		b.Run(fmt.Sprintf("again/daemons=%d", n), func(b *testing.B) {
			g, at := elected(), began.Add(time.Minute)
			round(b, g, at)
			for b.Loop() {
				at = at.Add(time.Second)
				round(b, g, at)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/ask")
			ask, err := peer.Encode(message)
			if err != nil {
				b.Fatal(err)
			}
			grant, err := peer.Encode(frame.LeaseResponse{Seq: message.Seq, ExtraConcurrency: map[string]int{"customer-1": 3}, Duration: 3 * time.Second, LimitsRevision: t.LimitsRevision, LimitsAge: time.Minute})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(ask)+len(grant)+8), "bytes")
		})
	}
}

// BenchmarkPlace reports the time and memory of a daemon's place in the tree,
// which it computes again with each change of a VM.
func BenchmarkPlace(b *testing.B) {
	for _, n := range daemons {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			var s config.Store
			s.Restore(fleet(n, 0))
			s.Topology()
			start := func() any {
				t := &relay.Tree{Store: &s}
				t.Start(began, model.VM{ID: model.VMID(fmt.Sprintf("vm-%05d", n-1)), Zone: zone(n - 1)}, began, nil)
				return t
			}
			for b.Loop() {
				sink = start()
			}
			b.ReportMetric(retained(start), "tree-bytes")
		})
	}
}

// BenchmarkAppend reports the bytes and the time to encode and decode an append
// that carries the given number of claims, for one replica.
func BenchmarkAppend(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1_000} {
		b.Run(fmt.Sprintf("claims=%d", n), func(b *testing.B) {
			m := frame.AppendRequest{Term: 5, Replica: entry.Replica{VM: "vm-00000", Disk: 1 << 60}, PrevIndex: 1 << 30, PrevTerm: 5, CommitIndex: 1 << 30}
			for i := range n {
				m.Entries = append(m.Entries, entry.Entry{Index: 1<<30 + uint64(i), Term: 5, At: began, Command: entry.Claim{
					Customer: "customer-1", Key: model.NewKey(began, [10]byte{byte(i), byte(i >> 8)}), Fingerprint: 1 << 60,
					Holder: entry.Holder{VM: "vm-00000", ProcessStart: began, Request: model.RequestID(i)},
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
