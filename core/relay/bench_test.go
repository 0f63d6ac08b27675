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
