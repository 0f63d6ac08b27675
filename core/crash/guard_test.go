package crash

import (
	"slices"
	"testing"
	"time"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// crashOf returns the first crashes of upstreams.
func crashOf(ids ...model.UpstreamID) []model.Crash { return model.NamedCrashes(ids) }

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against quarantining a request whose attempts were reset beside others,
// or whose upstreams were up after the resets.
func TestOnlyConfirmedResetsOfAttemptsMadeAloneAreStrikes(t *testing.T) {
	for name, c := range map[string]struct {
		alone, down bool
		want        Verdict
	}{
		"together":    {false, true, OneAtATime},
		"unconfirmed": {true, false, OneAtATime},
		"confirmed":   {true, true, Quarantined},
	} {
		var g Guard
		for _, id := range []model.UpstreamID{"u1", "u2"} {
			g.RecordReset(startTime, 7, g.NextCrash(7, id), c.alone)
			g.RecordProbe(startTime.Add(time.Millisecond), id, c.down)
		}
		if got := g.Verdict(startTime.Add(time.Second), 7); got != c.want {
			t.Errorf("%s: got verdict %d, want %d", name, got, c.want)
		}
	}
}

// Guards against a quarantine for one crash that two attempts saw or for strikes that are
// too far apart, against a second crash of an upstream that does not count, against a request that is never recognised because it comes
// again slowly, and against a third attempt while a second strike is unconfirmed.
func TestStrikesNeedTwoCrashesInTime(t *testing.T) {
	var g Guard
	strike := func(at time.Time, crash model.Crash) {
		g.RecordReset(at, 7, crash, true)
		g.RecordProbe(at.Add(time.Millisecond), crash.Upstream, true)
	}
	first := g.NextCrash(7, "u1")
	strike(startTime, first)
	strike(startTime.Add(time.Second), first)
	if got := g.Verdict(startTime.Add(2*time.Second), 7); got != OneAtATime {
		t.Fatalf("got verdict %d after two strikes for one crash, want %d", got, OneAtATime)
	}
	var returned Guard
	for n := range 2 {
		at := startTime.Add(time.Duration(n) * time.Minute)
		returned.RecordReset(at, 7, returned.NextCrash(7, "u1"), true)
		returned.RecordProbe(at.Add(time.Millisecond), "u1", true)
	}
	if got := returned.Verdict(startTime.Add(time.Minute+time.Second), 7); got != Quarantined {
		t.Errorf("got verdict %d after two crashes of an upstream that came back, want %d", got, Quarantined)
	}
	later := startTime.Add(2*time.Second + retention)
	g.Expire(later)
	strike(later, g.NextCrash(7, "u2"))
	if got := g.Verdict(later.Add(time.Second), 7); got != OneAtATime {
		t.Fatalf("got verdict %d after strikes %v apart, want %d", got, retention, OneAtATime)
	}
	at := later.Add(11 * time.Second)
	g.RecordReset(at, 7, g.NextCrash(7, "u3"), true)
	if !g.MustWait(at, 7) {
		t.Error("a third attempt may start before the second strike is confirmed")
	}
	if g.MustWait(at.Add(confirmTimeout), 7) {
		t.Error("a strike that was not confirmed still holds attempts back")
	}
	strike(at.Add(time.Second), g.NextCrash(7, "u4"))
	if got := g.Verdict(at.Add(2*time.Second), 7); got != Quarantined {
		t.Errorf("got verdict %d after strikes 12 s apart, want %d", got, Quarantined)
	}
}

// Guards against a quarantine that ends at an answer, and against one that never
// ends.
func TestQuarantineIsSharedAndEnds(t *testing.T) {
	var g Guard
	g.RecordCrashReport(startTime, event.CrashReport{Fingerprint: 7, Crashes: crashOf("u1", "u2"), Quarantine: time.Minute})
	g.RecordAnswer(startTime.Add(time.Second), 7)
	if got := g.Verdict(startTime.Add(59*time.Second), 7); got != Quarantined {
		t.Errorf("got verdict %d within the quarantine, want %d", got, Quarantined)
	}
	at := startTime.Add(61 * time.Second)
	if got := g.Verdict(at, 7); got != OneAtATime {
		t.Errorf("got verdict %d after the quarantine, want %d until an answer", got, OneAtATime)
	}
	g.RecordAnswer(at, 7)
	if got := g.Verdict(at, 7); got != Unrestricted {
		t.Errorf("got verdict %d after an answer, want %d", got, Unrestricted)
	}
	if got := g.TakeAnswered(); len(got) != 1 || got[0].Fingerprint != 7 || !slices.Equal(got[0].Upstreams, []model.UpstreamID{"u1", "u2"}) {
		t.Errorf("got %v to share as answered, want both strikes", got)
	}
}

// Guards against memory that grows with every fingerprint ever seen.
func TestKnownFingerprintsAreBounded(t *testing.T) {
	var g Guard
	for fp := range model.Fingerprint(5 * maxGenerationSize) {
		g.RecordAnswer(startTime, fp)
		if g.Verdict(startTime, fp) != Unrestricted {
			t.Fatalf("fingerprint %d needs a canary right after an answer", fp)
		}
	}
	if got := len(g.answered) + len(g.answeredBefore); got > 2*maxGenerationSize {
		t.Errorf("got %d fingerprints, want at most %d", got, 2*maxGenerationSize)
	}
	for fp := range model.Fingerprint(2 * maxSuspects) {
		g.RecordReset(startTime, fp, g.NextCrash(fp, "u1"), false)
	}
	if got := len(g.suspects); got > maxSuspects {
		t.Errorf("got %d suspects, want at most %d", got, maxSuspects)
	}
}

// Guards against a further crash because a strike is forgotten: after a healthy
// report, which may predate the crash, the strike stays listed for probes until
// it is confirmed or expires.
func TestUnconfirmedStrikesAreListed(t *testing.T) {
	var g Guard
	at := time.Unix(0, 0)
	g.Verdict(at, 7)
	if !g.RecordReset(at, 7, g.NextCrash(7, "u1"), true) {
		t.Fatal("got no strike for an attempt made alone")
	}
	g.RecordProbe(at.Add(time.Millisecond), "u1", false)
	if got, want := g.Unconfirmed(at.Add(30*time.Millisecond), 7), []model.UpstreamID{"u1"}; !slices.Equal(got, want) {
		t.Errorf("after a healthy report: got %v, want %v", got, want)
	}
	g.RecordProbe(at.Add(60*time.Millisecond), "u1", true)
	if got := g.Unconfirmed(at.Add(60*time.Millisecond), 7); len(got) != 0 {
		t.Errorf("after the confirmation: got %v, want none", got)
	}
}
