package relay

import (
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/model"
)

// Guards against a VM that, without a configuration, requests one only at the
// normal period: it can't serve until it has one.
func TestVMWithoutConfigAsksOften(t *testing.T) {
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	wait := func(store *fakeStore) time.Duration {
		tree := &Tree{Store: store, Peers: []model.VM{{ID: "vm1", Zone: "b", HasDisk: true}}}
		tree.Start(at, model.VM{ID: "vm0", Zone: "a"}, at, nil)
		for _, e := range tree.HandleTimer(at, nil) {
			if timer, ok := e.(effect.SetTimer); ok {
				return timer.At.Sub(at)
			}
		}
		t.Fatal("got no timer")
		return 0
	}
	if got := wait(&fakeStore{}); got > 200*time.Millisecond {
		t.Errorf("got %v between digests without a configuration, want at most 200ms", got)
	}
	if got := wait(&fakeStore{ops: []entry.OpRecord{{ID: "op1"}}}); got < time.Second {
		t.Errorf("got %v between digests with a configuration, want a second", got)
	}
}
