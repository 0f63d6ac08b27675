package retry_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreypulley/core/retry"
)

// Guards against a limiter that allows more than its rate and one burst in some
// period, and against many small limiters that together allow far more or far
// less than the sum of their rates.
func TestRateLimitersKeepToTheirSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 200).Draw(t, "vms")
		rate := rapid.Float64Range(1, 200).Draw(t, "rate")
		pressure := rapid.Float64Range(2, 10).Draw(t, "offered per allowed")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		limiters := make([]retry.RateLimiter, vms)
		at := time.Unix(0, 0)
		for i := range limiters {
			limiters[i].SetRate(at, rate/float64(vms))
		}
		const period = 60 * time.Second
		sent := 0
		for end := at.Add(period); at.Before(end); {
			at = at.Add(time.Duration(random.ExpFloat64() / (pressure * rate) * float64(time.Second)))
			l := &limiters[random.IntN(vms)]
			if allowed, _ := l.Allows(at, random.Float64()); allowed {
				l.Spend(at)
				sent++
			}
		}
		// Bursts of at most 4 s of the rate, and six standard deviations.
		want := rate * period.Seconds()
		deviation := 6 * max(1, math.Sqrt(want))
		if got := float64(sent); got > want+4*rate+deviation || vms == 1 && got < 0.8*want-deviation {
			t.Fatalf("%d limiters sent %.0f in %s, want %.0f", vms, got, period, want)
		}
	})
}

// Guards against a rate that is raised or lowered without effect, and against a
// wait that is too short or has no bound.
func TestRateLimiterWait(t *testing.T) {
	at := time.Unix(0, 0)
	var l retry.RateLimiter
	if got, want := l.Wait(at, time.Minute), time.Minute; got != want {
		t.Errorf("got a wait of %s without a rate, want the limit of %s", got, want)
	}
	l.SetRate(at, 2)
	if allowed, _ := l.Allows(at, 0); allowed {
		t.Error("allowed a request at once, want none before one is saved up")
	}
	if got, want := l.Wait(at, time.Minute), 500*time.Millisecond; got != want {
		t.Errorf("got a wait of %s, want %s", got, want)
	}
	if got, want := l.Wait(at, 100*time.Millisecond), 100*time.Millisecond; got != want {
		t.Errorf("got a wait of %s, want the limit of %s", got, want)
	}
	at = at.Add(500 * time.Millisecond)
	if allowed, _ := l.Allows(at, 0.99); !allowed {
		t.Error("refused a request that was saved up for")
	}
	l.Spend(at)
	l.SetRate(at, 0)
	if allowed, _ := l.Allows(at.Add(time.Hour), 0.01); allowed {
		t.Error("allowed a request at a rate of 0")
	}
}
