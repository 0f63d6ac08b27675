package crash

import (
	"slices"
	"testing"
	"time"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against the quarantine of a request that was only in flight when an
// upstream crashed, or whose upstream was up after the reset.
func TestOnlyConfirmedResetsOfAttemptsMadeAloneAreStrikes(t *testing.T) {
	for name, c := range map[string]struct {
		alone, down bool
		want        Verdict
	}{
		"together":    {false, true, Alone},
		"unconfirmed": {true, false, Alone},
		"confirmed":   {true, true, Quarantined},
	} {
		var g Guard
		for _, id := range []model.UpstreamID{"u1", "u2"} {
			g.Reset(began, 7, id, c.alone)
			g.Reported(began.Add(time.Millisecond), id, c.down)
		}
		if got := g.Judge(began.Add(time.Second), 7); got != c.want {
			t.Errorf("%s: got verdict %d, want %d", name, got, c.want)
		}
	}
}

// Guards against two strikes from one upstream, strikes that are too far apart,
// and a third attempt while two strikes wait for their probes.
func TestStrikesNeedTwoUpstreamsInTime(t *testing.T) {
	var g Guard
	strike := func(at time.Time, id model.UpstreamID) {
		g.Reset(at, 7, id, true)
		g.Reported(at.Add(time.Millisecond), id, true)
	}
	strike(began, "u1")
	strike(began.Add(time.Second), "u1")
	if got := g.Judge(began.Add(2*time.Second), 7); got != Alone {
		t.Fatalf("got verdict %d after two strikes of one upstream, want %d", got, Alone)
	}
	strike(began.Add(11*time.Second), "u2")
	if got := g.Judge(began.Add(11*time.Second), 7); got != Alone {
		t.Fatalf("got verdict %d after strikes 11 s apart, want %d", got, Alone)
	}
	at := began.Add(12 * time.Second)
	g.Reset(at, 7, "u3", true)
	if !g.Hold(at, 7) {
		t.Error("a third attempt may start before the second strike is confirmed")
	}
	if g.Hold(at.Add(confirmWithin), 7) {
		t.Error("a strike that was not confirmed still holds attempts back")
	}
}

// Guards against a quarantine that an answer lifts, and against one that never
// ends.
func TestQuarantineIsSharedAndEnds(t *testing.T) {
	var g Guard
	g.Struck(began, event.CrashReport{Fingerprint: 7, Upstreams: []model.UpstreamID{"u1", "u2"}, Quarantine: time.Minute})
	g.Answered(began.Add(time.Second), 7)
	if got := g.Judge(began.Add(59*time.Second), 7); got != Quarantined {
		t.Errorf("got verdict %d within the quarantine, want %d", got, Quarantined)
	}
	if got := g.Judge(began.Add(61*time.Second), 7); got != Canary {
		t.Errorf("got verdict %d after the quarantine, want %d", got, Canary)
	}
}

// Guards against memory that grows with every fingerprint ever seen.
func TestKnownFingerprintsAreBounded(t *testing.T) {
	var g Guard
	for fp := range model.Fingerprint(5 * maxKnown) {
		g.Answered(began, fp)
		if g.Judge(began, fp) != Free {
			t.Fatalf("fingerprint %d needs a canary right after an answer", fp)
		}
	}
	if got := len(g.known) + len(g.before); got > 2*maxKnown {
		t.Errorf("got %d fingerprints, want at most %d", got, 2*maxKnown)
	}
	for fp := range model.Fingerprint(2 * maxSuspects) {
		g.Reset(began, fp, "u1", false)
	}
	if got := len(g.suspects); got > maxSuspects {
		t.Errorf("got %d suspects, want at most %d", got, maxSuspects)
	}
}

// Guards against a third crash: a strike that a probe sent too early did not
// confirm is listed for further probes until it is confirmed or expires.
func TestUnprovenStrikesAreListed(t *testing.T) {
	var g Guard
	at := time.Unix(0, 0)
	g.Judge(at, 7)
	if !g.Reset(at, 7, "u1", true) {
		t.Fatal("got no strike for an attempt made alone")
	}
	g.Reported(at.Add(time.Millisecond), "u1", false)
	if got, want := g.Unproven(at.Add(30*time.Millisecond), 7), []model.UpstreamID{"u1"}; !slices.Equal(got, want) {
		t.Errorf("after a healthy report: got %v, want %v", got, want)
	}
	g.Reported(at.Add(60*time.Millisecond), "u1", true)
	if got := g.Unproven(at.Add(60*time.Millisecond), 7); len(got) != 0 {
		t.Errorf("after the confirmation: got %v, want none", got)
	}
}
