package member

import (
	"time"

	"comfreypulley/core/model"
)

// probeRound is one round of indirect pings of a silent VM.
type probeRound struct {
	seq       uint64
	number    int // 1 for the first round
	witnesses []model.VMID
	failures  int // witnesses that answered that they did not reach the VM
	deadline  time.Time
}

// relayedPing is a ping that this VM, as a witness, sends for another VM.
type relayedPing struct {
	requester  model.VMID
	requestSeq uint64 // sequence number of the IndirectPing that requested it
	target     model.VMID
	deadline   time.Time
}
