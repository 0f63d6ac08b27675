package proxy

import (
	"testing"
	"time"
)

// Guards against attempts that run into a predictable pause, against a period
// learnt from slow answers that have none, and against a learnt period that is a
// multiple of the real one or has changed since.
func TestPausePredictor(t *testing.T) {
	const (
		period  = 3 * time.Second
		pause   = 120 * time.Millisecond
		latency = 10 * time.Millisecond
	)
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	// observePauses lets the predictor observe the pauses of the given numbers.
	observePauses := func(p *pausePredictor, period time.Duration, numbers ...int) {
		for _, n := range numbers {
			end := start.Add(time.Duration(n) * period)
			p.observe(end.Add(time.Duration(n%3)*7*time.Millisecond), pause-20*time.Millisecond)
			p.observe(end.Add(25*time.Millisecond), pause)
		}
	}
	for name, c := range map[string]struct {
		numbers   []int
		next      int
		predicted bool
	}{
		"one":               {numbers: []int{1}, next: 2},
		"two":               {numbers: []int{1, 2}, next: 3},
		"three":             {numbers: []int{1, 2, 3}, next: 4, predicted: true},
		"extrapolated":      {numbers: []int{1, 2, 3}, next: 9, predicted: true},
		"some not observed": {numbers: []int{1, 3, 4, 6}, next: 7, predicted: true},
	} {
		var p pausePredictor
		observePauses(&p, period, c.numbers...)
		end := start.Add(time.Duration(c.next) * period)
		if got := p.delay(end.Add(-60*time.Millisecond), latency) > 30*time.Millisecond; got != c.predicted {
			t.Errorf("%s: got pause predicted %v, want %v", name, got, c.predicted)
		}
		if got := p.delay(end.Add(-period/2), latency); got != 0 {
			t.Errorf("%s: got a delay of %v between two pauses, want 0", name, got)
		}
	}
	var slow pausePredictor
	for n := range 60 {
		slow.observe(start.Add(time.Duration(n*n%37+n*170)*time.Millisecond), 80*time.Millisecond)
	}
	if slow.matches >= minMatches {
		t.Errorf("got a period of %v learnt from slow answers that have none", slow.period)
	}
	var changed pausePredictor
	observePauses(&changed, period, 1, 2, 3, 4)
	observePauses(&changed, 3700*time.Millisecond, 5, 6, 7, 8, 9, 10, 11, 12)
	if got := changed.delay(start.Add(13*3700*time.Millisecond-60*time.Millisecond), latency); got < 30*time.Millisecond {
		t.Errorf("got a delay of %v before a pause of the new period, want at least 30ms", got)
	}
}
