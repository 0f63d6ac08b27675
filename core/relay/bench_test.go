package relay

import (
	"fmt"
	"testing"
	"time"

	"comfreypulley/core/frame"
	"comfreypulley/core/model"
	"comfreypulley/io/peer"
)

const framingBytes = 4 // bytes before each message

// BenchmarkTree reports the messages and bytes that a VM sends per second of
// virtual time, on average and for the VM that sends most. There are three
// zones with one replica of the log each; the size of a zone and the number of
// changes per second vary.
func BenchmarkTree(b *testing.B) {
	for _, changes := range []int{0, 1, 20} {
		for _, size := range []int{5, 9, 17, 33, 65} {
			b.Run(fmt.Sprintf("changes=%d/zone=%d", changes, size), func(b *testing.B) {
				for b.Loop() {
					measureTraffic(b, size, changes)
				}
			})
		}
	}
}

// measureTraffic runs a fleet for some virtual seconds after a warm-up. Each
// change contains a contract with two classes.
func measureTraffic(b *testing.B, size, changes int) {
	const seconds = 20
	f := newFleet(3, size, 3, 1)
	f.run(30 * time.Second)
	messages, bytes := 0, 0
	bytesByVM := map[model.VMID]int{}
	f.onSend = func(from model.VMID, m frame.Message) {
		encoded, err := peer.Encode(m)
		if err != nil {
			b.Fatal(err)
		}
		messages++
		bytes += framingBytes + len(encoded)
		bytesByVM[from] += framingBytes + len(encoded)
	}
	for range seconds {
		for range changes {
			f.commit()
			f.run(time.Second / time.Duration(changes))
		}
		if changes == 0 {
			f.run(time.Second)
		}
	}
	worst := 0
	for _, n := range bytesByVM {
		worst = max(worst, n)
	}
	total := float64(seconds * len(f.ids))
	b.ReportMetric(float64(messages)/total, "messages/s")
	b.ReportMetric(float64(bytes)/total, "bytes/s")
	b.ReportMetric(float64(worst)/seconds, "worst-bytes/s")
}

// BenchmarkDepth reports the virtual time from a change of the log until all
// VMs have it. A message takes 1 to 6 ms; the size of a zone and the share of
// lost messages vary. Depth is the number of levels within a zone.
func BenchmarkDepth(b *testing.B) {
	for _, loss := range []float64{0, 0.001, 0.01} {
		for _, size := range []int{9, 73, 200, 493} {
			b.Run(fmt.Sprintf("loss=%v/zone=%d", loss, size), func(b *testing.B) {
				for b.Loop() {
					measureDepth(b, size, loss)
				}
			})
		}
	}
}

func measureDepth(b *testing.B, size int, loss float64) {
	const changes, step = 20, time.Millisecond
	f := newFleet(2, size, 2, 1)
	f.run(20 * time.Second)
	f.lossRate = loss
	var sum, worst time.Duration
	for range changes {
		f.run(500 * time.Millisecond)
		changedAt := f.now
		f.commit()
		for current := false; !current; {
			f.run(step)
			current = len(f.outdated(allVMs(f))) == 0
		}
		took := f.now.Sub(changedAt)
		sum, worst = sum+took, max(worst, took)
	}
	deepest := 0
	for _, n := range f.nodes {
		deepest = max(deepest, depth(&n.tree.placement))
	}
	b.ReportMetric(float64(deepest), "depth")
	b.ReportMetric(float64((sum/changes).Microseconds())/1000, "mean-ms")
	b.ReportMetric(float64(worst.Microseconds())/1000, "worst-ms")
}

func allVMs(f *fleet) map[model.VMID]bool {
	all := make(map[model.VMID]bool, len(f.ids))
	for _, id := range f.ids {
		all[id] = true
	}
	return all
}

// BenchmarkRestart reports how many full configurations are sent when a VM
// without a disk restarts, and how long the VM takes to receive the current
// configuration.
func BenchmarkRestart(b *testing.B) {
	for _, size := range []int{9, 73, 200, 493} {
		b.Run(fmt.Sprintf("zone=%d", size), func(b *testing.B) {
			for b.Loop() {
				measureRestart(b, size)
			}
		})
	}
}

func measureRestart(b *testing.B, size int) {
	const restarts = 20
	f := newFleet(2, size, 2, 1)
	for range 2 * retainedChanges {
		f.commit()
	}
	f.run(20 * time.Second)
	fullConfigs, fromReplicas := 0, 0
	f.onSend = func(from model.VMID, m frame.Message) {
		if _, ok := m.(frame.FullConfig); ok {
			fullConfigs++
			if f.vms[from].HasDisk {
				fromReplicas++
			}
		}
	}
	var worst time.Duration
	for range restarts {
		id := f.ids[1+f.rng.IntN(size-1)]
		startedAt := f.now
		f.start(id)
		for len(f.nodes[id].store.ops) < len(f.ops) {
			f.run(time.Millisecond)
		}
		worst = max(worst, f.now.Sub(startedAt))
		f.run(2 * time.Second)
	}
	b.ReportMetric(float64(fullConfigs)/restarts, "fulls/restart")
	b.ReportMetric(float64(fromReplicas)/restarts, "replica-fulls/restart")
	b.ReportMetric(float64(worst.Microseconds())/1000, "worst-ms")
}

// depth returns the number of levels below the root of the zone.
func depth(p *placement) int {
	n := 0
	for i := p.position; i > 0; i = (i - 1) / fanout {
		n++
	}
	return n
}
