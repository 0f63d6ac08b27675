package quorum_test

import (
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/quorum"
)

// Guards against a fleet that restarts as a whole and waits a full election
// timeout before it elects a leader.
func TestFirstCampaignAfterStart(t *testing.T) {
	const maxWait = 300 * time.Millisecond
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for seed := range uint64(50) {
		var l quorum.Log
		out := l.HandleDiskLoaded(at, "vm0", seed, []model.VMID{"vm0", "vm1", "vm2"}, event.DiskLoaded{Disk: 1}, nil)
		// The other VMs start a little later, so the first campaigns reach nobody.
		for now := at; now.Sub(at) < time.Second; {
			due := now
			for _, e := range out {
				if timer, ok := e.(effect.SetTimer); ok {
					due = timer.At
				}
			}
			if wait := due.Sub(now); wait <= 0 || wait > maxWait {
				t.Fatalf("seed %d: got a campaign %v after %v, want one after at most %v", seed, wait, now.Sub(at), maxWait)
			}
			now = due
			out = l.HandleTimer(now, event.TimerElection, nil)
		}
	}
}
