package proxy

import (
	"testing"
	"time"
)

// Guards against requests that run into a pause whose time is known, against a
// rhythm that is seen in slow answers without one, and against one that holds
// on to a period that is a multiple of the real one or has changed.
func TestRhythm(t *testing.T) {
	const (
		period = 3 * time.Second
		pause  = 120 * time.Millisecond
		work   = 10 * time.Millisecond
	)
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	// notice tells the rhythm of the pauses with the given numbers.
	notice := func(r *pausePredictor, period time.Duration, numbers ...int) {
		for _, n := range numbers {
			end := start.Add(time.Duration(n) * period)
			r.observe(end.Add(time.Duration(n%3)*7*time.Millisecond), pause-20*time.Millisecond)
			r.observe(end.Add(25*time.Millisecond), pause)
		}
	}
	for name, c := range map[string]struct {
		numbers []int
		next    int
		sure    bool
	}{
		"one":              {numbers: []int{1}, next: 2},
		"two":              {numbers: []int{1, 2}, next: 3},
		"three":            {numbers: []int{1, 2, 3}, next: 4, sure: true},
		"extrapolated":     {numbers: []int{1, 2, 3}, next: 9, sure: true},
		"some not noticed": {numbers: []int{1, 3, 4, 6}, next: 7, sure: true},
	} {
		var r pausePredictor
		notice(&r, period, c.numbers...)
		end := start.Add(time.Duration(c.next) * period)
		if got := r.delay(end.Add(-60*time.Millisecond), work) > 30*time.Millisecond; got != c.sure {
			t.Errorf("%s: got a pause foreseen %v, want %v", name, got, c.sure)
		}
		if got := r.delay(end.Add(-period/2), work); got != 0 {
			t.Errorf("%s: got a wait of %v between two pauses, want 0", name, got)
		}
	}
	var slow pausePredictor
	for n := range 60 {
		slow.observe(start.Add(time.Duration(n*n%37+n*170)*time.Millisecond), 80*time.Millisecond)
	}
	if slow.matches >= minMatches {
		t.Errorf("got a rhythm of %v in slow answers without one", slow.period)
	}
	var changed pausePredictor
	notice(&changed, period, 1, 2, 3, 4)
	notice(&changed, 3700*time.Millisecond, 5, 6, 7, 8, 9, 10, 11, 12)
	if got := changed.delay(start.Add(13*3700*time.Millisecond-60*time.Millisecond), work); got < 30*time.Millisecond {
		t.Errorf("got a wait of %v before a pause of the new rhythm", got)
	}
}
