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
// timeout before it serves again.
func TestFirstCampaignAfterStart(t *testing.T) {
	const most = 300 * time.Millisecond
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for seed := range uint64(50) {
		var l quorum.Log
		out := l.Loaded(at, "vm0", seed, []model.VMID{"vm0", "vm1", "vm2"}, event.Loaded{Disk: 1}, nil)
		for _, e := range out {
			if timer, ok := e.(effect.SetTimer); ok && timer.At.Sub(at) > most {
				t.Errorf("seed %d: got the first campaign after %v, want at most %v", seed, timer.At.Sub(at), most)
			}
		}
	}
}
