package relay

import (
	"fmt"
	"testing"
	"time"

	"comfreypulley/core/frame"
	"comfreypulley/core/model"
	"comfreypulley/io/peer"
)

const framing = 4 // bytes before each message

// BenchmarkTree reports what the tree sends for each VM in a second of virtual
// time, over three zones with one replica each, by the number of VMs in a zone
// and of changes in a second. The worst VM is the one that sends most.
func BenchmarkTree(b *testing.B) {
	for _, changes := range []int{0, 1, 20} {
		for _, size := range []int{5, 9, 17, 33, 65} {
			b.Run(fmt.Sprintf("changes=%d/zone=%d", changes, size), func(b *testing.B) {
				for b.Loop() {
					measure(b, size, changes)
				}
			})
		}
	}
}

// measure runs a fleet for some virtual seconds after it has settled. Each
// change carries a contract with two classes.
func measure(b *testing.B, size, changes int) {
	const seconds = 20
	f := newFleet(3, size, 3, 1)
	f.run(30 * time.Second)
	messages, bytes := 0, 0
	by := map[model.VMID]int{}
	f.sent = func(from model.VMID, m frame.Message) {
		encoded, err := peer.Encode(m)
		if err != nil {
			b.Fatal(err)
		}
		messages++
		bytes += framing + len(encoded)
		by[from] += framing + len(encoded)
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
	for _, n := range by {
		worst = max(worst, n)
	}
	total := float64(seconds * len(f.ids))
	b.ReportMetric(float64(messages)/total, "messages/s")
	b.ReportMetric(float64(bytes)/total, "bytes/s")
	b.ReportMetric(float64(worst)/seconds, "worst-bytes/s")
}

// BenchmarkDepth reports how long a change takes from the log until it is in
// force on all VMs, in virtual time with 1 to 6 ms for each message, by the size
// of a zone and the share of messages lost. Depth counts the steps within a zone.
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
	f.loss = loss
	var sum, worst time.Duration
	for range changes {
		f.run(500 * time.Millisecond)
		began := f.now
		f.commit()
		for current := false; !current; {
			f.run(step)
			current = len(f.behind(allOf(f))) == 0
		}
		took := f.now.Sub(began)
		sum, worst = sum+took, max(worst, took)
	}
	deepest := 0
	for _, n := range f.nodes {
		deepest = max(deepest, n.tree.order.depth())
	}
	b.ReportMetric(float64(deepest), "depth")
	b.ReportMetric(float64((sum/changes).Microseconds())/1000, "mean-ms")
	b.ReportMetric(float64(worst.Microseconds())/1000, "worst-ms")
}

func allOf(f *fleet) map[model.VMID]bool {
	all := make(map[model.VMID]bool, len(f.ids))
	for _, id := range f.ids {
		all[id] = true
	}
	return all
}

// BenchmarkRestart reports the full configurations that VMs without a disk are
// sent when they restart, and how long until the configuration is in force.
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
	for range 2 * retained {
		f.commit()
	}
	f.run(20 * time.Second)
	fulls, replicas := 0, 0
	f.sent = func(from model.VMID, m frame.Message) {
		if _, ok := m.(frame.FullConfig); ok {
			fulls++
			if f.vms[from].HasDisk {
				replicas++
			}
		}
	}
	var worst time.Duration
	for range restarts {
		id := f.ids[1+f.rng.IntN(size-1)]
		began := f.now
		f.start(id)
		for len(f.nodes[id].store.ops) < len(f.ops) {
			f.run(time.Millisecond)
		}
		worst = max(worst, f.now.Sub(began))
		f.run(2 * time.Second)
	}
	b.ReportMetric(float64(fulls)/restarts, "fulls/restart")
	b.ReportMetric(float64(replicas)/restarts, "replica-fulls/restart")
	b.ReportMetric(float64(worst.Microseconds())/1000, "worst-ms")
}
