package retry_test

import (
	"testing"
	"time"

	"comfreypulley/core/retry"
)

// Guards against a pause that ends too early, also when a shorter one follows, and
// against all of the load coming back at its end.
func TestPause(t *testing.T) {
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var p retry.Pause
	if got := p.Room(at, 8); got != 8 || p.Left(at) != 0 {
		t.Errorf("without a pause: got room %d and %v left, want 8 and 0", got, p.Left(at))
	}
	p.Ask(at, 3*time.Second, 0)
	p.Ask(at.Add(time.Second), 500*time.Millisecond, 1)
	for _, tc := range []struct {
		after      time.Duration
		left       time.Duration
		room, most int
	}{
		{0, 3 * time.Second, 0, 0},
		{2999 * time.Millisecond, time.Millisecond, 0, 0},
		{3 * time.Second, 0, 1, 1},
		{3500 * time.Millisecond, 0, 2, 7},
		{4 * time.Second, 0, 8, 8},
	} {
		got, left := p.Room(at.Add(tc.after), 8), p.Left(at.Add(tc.after))
		if got < tc.room || got > tc.most || left != tc.left {
			t.Errorf("after %v: got room %d and %v left, want %d to %d and %v", tc.after, got, left, tc.room, tc.most, tc.left)
		}
	}
	p = retry.Pause{}
	p.Ask(at, 100*time.Second, 1)
	if got, want := p.Left(at), 100*time.Second; got < want || got > want+time.Second {
		t.Errorf("with the largest spread: got %v left, want %v to a second more", got, want)
	}
}
