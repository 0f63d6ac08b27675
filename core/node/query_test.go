package node_test

import (
	"slices"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// report delivers a probe result with the versions of a shard that an upstream
// holds.
func (f *fixture) report(id model.UpstreamID, shard int, versions ...model.SnapshotVersion) []effect.Effect {
	r := event.ProbeResult{Upstream: id, Reachable: true}
	for _, v := range versions {
		r.Snapshots = append(r.Snapshots, model.HeldSnapshot{Index: "pairing", Version: v, ShardCount: 2, HeldShards: []int{shard}})
	}
	return f.reduce(r)
}

// Guards against refusals because a VM that has just become ready has no probe
// results of its upstreams yet: under load, up to 5 of the first 12 queries were
// refused.
func TestQueryWaitsForTheFirstReports(t *testing.T) {
	f := newFixtureWithoutReports(0.5)
	if refusals := effectsOf[effect.Refuse](f.request(1)); len(refusals) != 0 {
		t.Fatalf("got refusals %+v before any report, want the query to wait", refusals)
	}
	out := f.reportAll()
	if refusals := effectsOf[effect.Refuse](out); len(refusals) != 0 || len(effectsOf[effect.Send](out)) == 0 {
		t.Errorf("got refusals %+v and %d attempts after the reports, want attempts", refusals, len(effectsOf[effect.Send](out)))
	}

	f = newFixtureWithoutReports(0.5)
	for _, id := range []model.UpstreamID{"u0a", "u0b", "u1a", "u1b"} {
		f.reduce(event.ProbeResult{Upstream: id})
	}
	if refusals := effectsOf[effect.Refuse](f.request(1)); len(refusals) != 1 {
		t.Errorf("got refusals %+v, want a refusal at once when no upstream answers", refusals)
	}
}

// Guards against a mix of versions, and against a partial answer that could be
// complete, when upstreams drop the version that a query has selected. The query
// tries other replicas first, and then restarts once at a newer version.
func TestVanishedVersionRestartsTheWholeQueryOnce(t *testing.T) {
	f := newFixture()
	f.confirmFingerprint()
	sends := effectsOf[effect.Send](f.request(1))
	f.answer(sends[0], 7)
	for _, id := range []model.UpstreamID{"u0a", "u0b"} {
		f.report(id, 0, 7, 8)
	}
	for _, id := range []model.UpstreamID{"u1a", "u1b"} {
		f.report(id, 1, 7, 8)
	}
	out := f.reduce(event.AttemptFailed{Attempt: sends[1].Attempt, Reason: model.FailedVersion, Ran: model.RanNo})
	retry := effectsOf[effect.Send](out)
	if len(retry) != 1 || retry[0].Version != 7 || retry[0].Upstream == sends[1].Upstream {
		t.Fatalf("got %+v, want one attempt at version 7 on the other replica", retry)
	}
	out = f.reduce(event.AttemptFailed{Attempt: retry[0].Attempt, Reason: model.FailedVersion, Ran: model.RanNo})
	again := effectsOf[effect.Send](out)
	if len(again) == 0 {
		f.out = f.advance(10 * time.Millisecond)
		again = effectsOf[effect.Send](f.out)
	}
	if len(again) != 2 || again[0].Version != 8 || again[1].Version != 8 {
		t.Fatalf("got %+v, want the whole query at version 8", again)
	}
	f.answer(again[0], 8)
	answers := effectsOf[effect.SendAnswer](f.answer(again[1], 8))
	if len(answers) != 1 || answers[0].Answer.Snapshot != 8 || len(answers[0].Answer.Items) != 2 {
		t.Fatalf("got answers %+v, want one complete answer of version 8", answers)
	}
}

// Guards against overstated coverage: an upstream that states more shards raises
// the total, and one that states fewer does not lower it.
func TestStatedShardsOnlyRaiseTheTotal(t *testing.T) {
	for _, c := range []struct{ first, second, want int }{{3, 2, 3}, {1, 1, 2}} {
		f := newFixture()
		f.confirmFingerprint()
		sends := effectsOf[effect.Send](f.request(1))
		for i, stated := range []int{c.first, c.second} {
			f.reduce(event.AnswerReceived{Attempt: sends[i].Attempt, Version: 7, ShardCount: stated, Shard: sends[i].Shard})
		}
		answers := effectsOf[effect.SendAnswer](f.out)
		if len(answers) == 0 {
			answers = effectsOf[effect.SendAnswer](f.advance(100 * time.Millisecond))
		}
		if len(answers) != 1 || answers[0].Answer.Coverage.Total != c.want {
			t.Errorf("stated %d and %d: got %+v, want a total of %d", c.first, c.second, answers, c.want)
		}
	}
}

// Guards against answers that are counted twice: a repeated answer, and a late
// answer to another attempt for the same shard.
func TestRepeatedAndLateAnswersDoNotCount(t *testing.T) {
	f := newFixture()
	f.confirmFingerprint()
	sends := effectsOf[effect.Send](f.request(1))
	f.answer(sends[0], 7)
	f.answer(sends[0], 7)
	answers := effectsOf[effect.SendAnswer](f.answer(sends[1], 7))
	if len(answers) != 1 || answers[0].Answer.Coverage.Answered != 2 {
		t.Fatalf("got %+v, want one answer of two shards", answers)
	}
	if got := len(effectsOf[effect.SendAnswer](f.answer(sends[1], 7))); got != 0 {
		t.Errorf("got %d answers to the caller after a late answer, want 0", got)
	}
}

// Guards against attempts for a queued request whose caller has disconnected.
func TestDisconnectedCallerInTheQueueIsNotServed(t *testing.T) {
	f := newFixture()
	f.confirmFingerprint()
	var first []effect.Send
	for id := range model.RequestID(11) {
		if sends := effectsOf[effect.Send](f.request(id + 1)); id == 0 {
			first = sends
		} else if id == 10 && len(sends) != 0 {
			t.Fatal("the eleventh request started above the limit of ten")
		}
	}
	f.reduce(event.CallerDisconnected{Request: 11})
	f.answer(first[0], 7)
	for _, s := range effectsOf[effect.Send](f.answer(first[1], 7)) {
		if s.Request == 11 {
			t.Errorf("attempt %d was sent for a caller that disconnected", s.Attempt)
		}
	}
}

// Guards against new attempts on an upstream that has stated that it is draining,
// in a probe result or in the response to an attempt.
func TestDrainedUpstreamGetsNothingNew(t *testing.T) {
	f := newFixture()
	f.confirmFingerprint()
	sends := effectsOf[effect.Send](f.request(1))
	f.reduce(event.AttemptFailed{Attempt: sends[0].Attempt, Reason: model.FailedDrained, Ran: model.RanNo})
	f.reduce(event.ProbeResult{Upstream: sends[1].Upstream, Reachable: true, Draining: true})
	draining := []model.UpstreamID{sends[0].Upstream, sends[1].Upstream}
	for id := range model.RequestID(5) {
		for _, s := range effectsOf[effect.Send](f.request(id + 2)) {
			if slices.Contains(draining, s.Upstream) {
				t.Errorf("request %d went to upstream %s, which is draining", s.Request, s.Upstream)
			}
		}
	}
}

// Guards against retries that ignore Retry-After when no other replica is left.
func TestRetryAfterIsHonouredWithoutAnotherReplica(t *testing.T) {
	f := newFixture()
	f.confirmFingerprint()
	first := effectsOf[effect.Send](f.request(1))[0]
	shed := event.AttemptFailed{Attempt: first.Attempt, Reason: model.FailedShed, Ran: model.RanNo, RetryAfter: 40 * time.Millisecond}
	again := effectsOf[effect.Send](f.reduce(shed))
	for range 10 {
		again = append(again, effectsOf[effect.Send](f.advance(time.Millisecond))...)
	}
	if len(again) != 1 || again[0].Upstream == first.Upstream {
		t.Fatalf("got %+v, want one retry on the other replica", again)
	}
	shed.Attempt = again[0].Attempt
	sent := f.now
	again = effectsOf[effect.Send](f.reduce(shed))
	for len(again) == 0 && f.now.Before(sent.Add(60*time.Millisecond)) {
		again = effectsOf[effect.Send](f.advance(time.Millisecond))
	}
	if len(again) != 1 || f.now.Sub(startTime) < shed.RetryAfter {
		t.Errorf("got %d retries after %v, want one not before %v", len(again), f.now.Sub(startTime), shed.RetryAfter)
	}
}

// Guards against a query that keeps sending attempts after a shard was shed so
// often that the minimum coverage can no longer be reached.
func TestQueryGivesUpWhenItsCoverageIsOutOfReach(t *testing.T) {
	f := newFixtureWithCoverage(1)
	f.confirmFingerprint()
	sends := effectsOf[effect.Send](f.request(1))
	shedding, other := sends[0], sends[1]
	var out []effect.Effect
	for range 5 {
		out = slices.Clone(f.reduce(event.AttemptFailed{Attempt: shedding.Attempt, Reason: model.FailedShed, Ran: model.RanNo}))
		again := effectsOf[effect.Send](out)
		for end := f.now.Add(50 * time.Millisecond); len(again) == 0 && f.now.Before(end) && len(effectsOf[effect.Refuse](out)) == 0; {
			again = effectsOf[effect.Send](f.advance(time.Millisecond))
		}
		if len(again) == 0 {
			break
		}
		shedding = again[0]
	}
	refusals := effectsOf[effect.Refuse](out)
	if len(refusals) != 1 || refusals[0].Refusal.Reason != model.RefusedCoverage {
		t.Fatalf("got refusals %+v after a shard was shed five times, want one for coverage", refusals)
	}
	// The other shard's attempt is in flight and may run.
	if got := refusals[0].Refusal.Ran; got != model.RanUnknown {
		t.Errorf("got ran %v, want unknown", got)
	}
	if cancels := effectsOf[effect.Cancel](out); len(cancels) != 1 || cancels[0].Attempt != other.Attempt {
		t.Errorf("got cancels %+v, want one of attempt %d", cancels, other.Attempt)
	}
}

// Guards against queries that wait until their deadline for a shard whose replicas
// have been down for longer than the queries have time left: they fill the
// concurrency of the contract, and later queries are refused or miss other shards,
// too. The load is a steady one with one dark shard.
func TestDarkShardIsNotWaitedFor(t *testing.T) {
	const wait = 100 * time.Millisecond // of the fixture's class
	for _, c := range []struct {
		name     string
		downFor  time.Duration
		wantLeft bool // the answer leaves at once, without the shard
	}{{"for longer than the query waits", 2 * wait, true}, {"for a moment", wait / 20, false}} {
		f := newFixture()
		f.confirmFingerprint()
		for range 3 {
			for _, id := range []model.UpstreamID{"u0a", "u0b"} {
				f.reduce(event.ProbeResult{Upstream: id})
			}
		}
		f.now = f.now.Add(c.downFor)
		out := f.request(1)
		var answered bool
		for _, s := range effectsOf[effect.Send](out) {
			if s.Shard != 1 {
				t.Errorf("%s: got an attempt on shard %d, whose replicas are down", c.name, s.Shard)
				continue
			}
			f.now = f.now.Add(time.Millisecond)
			for _, a := range effectsOf[effect.SendAnswer](f.answer(s, 7)) {
				answered = true
				if got := a.Answer.Coverage; got.Answered != 1 || got.Total != 2 {
					t.Errorf("%s: got coverage %+v, want one of two shards", c.name, got)
				}
			}
		}
		if answered != c.wantLeft {
			t.Errorf("down %s: got an answer at once %t, want %t", c.name, answered, c.wantLeft)
		}
	}
}
