package node_test

import (
	"slices"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// report delivers what an upstream holds.
func (f *fixture) report(id model.UpstreamID, shard int, versions ...model.SnapshotVersion) []effect.Effect {
	r := event.ProbeResult{Upstream: id, Reachable: true}
	for _, v := range versions {
		r.Snapshots = append(r.Snapshots, model.HeldSnapshot{Index: "pairing", Version: v, ShardCount: 2, HeldShards: []int{shard}})
	}
	return f.reduce(r)
}

// Guards against callers who are refused because a VM that has just become ready
// has no report of its upstreams yet: beside load up to 5 of the first 12 queries
// were.
func TestQueryWaitsForTheFirstReports(t *testing.T) {
	f := newUnreported(0.5)
	if refusals := all[effect.Refuse](f.request(1)); len(refusals) != 0 {
		t.Fatalf("got refusals %+v before any report, want the query to wait", refusals)
	}
	out := f.reportAll()
	if refusals := all[effect.Refuse](out); len(refusals) != 0 || len(all[effect.Send](out)) == 0 {
		t.Errorf("got refusals %+v and %d attempts after the reports, want attempts", refusals, len(all[effect.Send](out)))
	}

	f = newUnreported(0.5)
	for _, id := range []model.UpstreamID{"u0a", "u0b", "u1a", "u1b"} {
		f.reduce(event.ProbeResult{Upstream: id})
	}
	if refusals := all[effect.Refuse](f.request(1)); len(refusals) != 1 {
		t.Errorf("got refusals %+v, want a refusal at once when no upstream answers", refusals)
	}
}

// Guards against a mix of versions and against a needless partial answer when
// the pinned version vanishes: other replicas come first, then one restart of
// the whole query at a newer version.
func TestVanishedVersionRestartsTheWholeQueryOnce(t *testing.T) {
	f := newFixture()
	f.warm()
	sends := all[effect.Send](f.request(1))
	f.answer(sends[0], 7)
	for _, id := range []model.UpstreamID{"u0a", "u0b"} {
		f.report(id, 0, 7, 8)
	}
	for _, id := range []model.UpstreamID{"u1a", "u1b"} {
		f.report(id, 1, 7, 8)
	}
	out := f.reduce(event.AttemptFailed{Attempt: sends[1].Attempt, Reason: model.FailedVersion, Ran: model.RanNo})
	retry := all[effect.Send](out)
	if len(retry) != 1 || retry[0].Version != 7 || retry[0].Upstream == sends[1].Upstream {
		t.Fatalf("got %+v, want one attempt at version 7 on the other replica", retry)
	}
	out = f.reduce(event.AttemptFailed{Attempt: retry[0].Attempt, Reason: model.FailedVersion, Ran: model.RanNo})
	again := all[effect.Send](out)
	if len(again) == 0 {
		f.out = f.wait(10 * time.Millisecond)
		again = all[effect.Send](f.out)
	}
	if len(again) != 2 || again[0].Version != 8 || again[1].Version != 8 {
		t.Fatalf("got %+v, want the whole query at version 8", again)
	}
	f.answer(again[0], 8)
	replies := all[effect.SendAnswer](f.answer(again[1], 8))
	if len(replies) != 1 || replies[0].Answer.Snapshot != 8 || len(replies[0].Answer.Items) != 2 {
		t.Fatalf("got replies %+v, want one whole answer of version 8", replies)
	}
}

// Guards against overstated coverage: an upstream that knows of more shards
// raises the denominator, and one that states fewer does not lower it.
func TestStatedShardsOnlyRaiseTheTotal(t *testing.T) {
	for _, c := range []struct{ first, second, want int }{{3, 2, 3}, {1, 1, 2}} {
		f := newFixture()
		f.warm()
		sends := all[effect.Send](f.request(1))
		for i, stated := range []int{c.first, c.second} {
			f.reduce(event.AnswerReceived{Attempt: sends[i].Attempt, Version: 7, ShardCount: stated, Shard: sends[i].Shard})
		}
		replies := all[effect.SendAnswer](f.out)
		if len(replies) == 0 {
			replies = all[effect.SendAnswer](f.wait(100 * time.Millisecond))
		}
		if len(replies) != 1 || replies[0].Answer.Coverage.Total != c.want {
			t.Errorf("stated %d and %d: got %+v, want a total of %d", c.first, c.second, replies, c.want)
		}
	}
}

// Guards against answers counted twice: a repeated answer, and the answer of
// the attempt that lost to a hedge.
func TestRepeatedAndLateAnswersDoNotCount(t *testing.T) {
	f := newFixture()
	f.warm()
	sends := all[effect.Send](f.request(1))
	f.answer(sends[0], 7)
	f.answer(sends[0], 7)
	replies := all[effect.SendAnswer](f.answer(sends[1], 7))
	if len(replies) != 1 || replies[0].Answer.Coverage.Answered != 2 {
		t.Fatalf("got %+v, want one answer of two shards", replies)
	}
	if got := len(all[effect.SendAnswer](f.answer(sends[1], 7))); got != 0 {
		t.Errorf("got %d replies for a late answer, want 0", got)
	}
}

// Guards against a queue that serves callers who left.
func TestCallerThatLeavesTheQueueIsNotServed(t *testing.T) {
	f := newFixture()
	f.warm()
	var first []effect.Send
	for id := range model.RequestID(11) {
		if sends := all[effect.Send](f.request(id + 1)); id == 0 {
			first = sends
		} else if id == 10 && len(sends) != 0 {
			t.Fatal("the eleventh request started above the limit of ten")
		}
	}
	f.reduce(event.CallerDisconnected{Request: 11})
	f.answer(first[0], 7)
	for _, s := range all[effect.Send](f.answer(first[1], 7)) {
		if s.Request == 11 {
			t.Errorf("attempt %d was sent for a caller that left", s.Attempt)
		}
	}
}

// Guards against new work on an upstream that said it is leaving, by a report
// or by an answer.
func TestDrainedUpstreamGetsNothingNew(t *testing.T) {
	f := newFixture()
	f.warm()
	sends := all[effect.Send](f.request(1))
	f.reduce(event.AttemptFailed{Attempt: sends[0].Attempt, Reason: model.FailedDrained, Ran: model.RanNo})
	f.reduce(event.ProbeResult{Upstream: sends[1].Upstream, Reachable: true, Draining: true})
	leaving := []model.UpstreamID{sends[0].Upstream, sends[1].Upstream}
	for id := range model.RequestID(5) {
		for _, s := range all[effect.Send](f.request(id + 2)) {
			if slices.Contains(leaving, s.Upstream) {
				t.Errorf("request %d went to upstream %s, which is leaving", s.Request, s.Upstream)
			}
		}
	}
}

// Guards against retries that ignore Retry-After when no other replica is left.
func TestRetryAfterIsHonouredWithoutAnotherReplica(t *testing.T) {
	f := newFixture()
	f.warm()
	first := all[effect.Send](f.request(1))[0]
	shed := event.AttemptFailed{Attempt: first.Attempt, Reason: model.FailedShed, Ran: model.RanNo, RetryAfter: 40 * time.Millisecond}
	again := all[effect.Send](f.reduce(shed))
	for range 10 {
		again = append(again, all[effect.Send](f.wait(time.Millisecond))...)
	}
	if len(again) != 1 || again[0].Upstream == first.Upstream {
		t.Fatalf("got %+v, want one retry on the other replica", again)
	}
	shed.Attempt = again[0].Attempt
	sent := f.now
	again = all[effect.Send](f.reduce(shed))
	for len(again) == 0 && f.now.Before(sent.Add(60*time.Millisecond)) {
		again = all[effect.Send](f.wait(time.Millisecond))
	}
	if len(again) != 1 || f.now.Sub(began) < shed.RetryAfter {
		t.Errorf("got %d retries after %v, want one not before %v", len(again), f.now.Sub(began), shed.RetryAfter)
	}
}

// Guards against a query that goes on loading upstreams after a shard was shed
// so often that its least coverage cannot be reached any more.
func TestQueryGivesUpWhenItsCoverageIsOutOfReach(t *testing.T) {
	f := newFixtureCovering(1)
	f.warm()
	sends := all[effect.Send](f.request(1))
	open, other := sends[0], sends[1]
	var out []effect.Effect
	for range 5 {
		out = slices.Clone(f.reduce(event.AttemptFailed{Attempt: open.Attempt, Reason: model.FailedShed, Ran: model.RanNo}))
		again := all[effect.Send](out)
		for end := f.now.Add(50 * time.Millisecond); len(again) == 0 && f.now.Before(end) && len(all[effect.Refuse](out)) == 0; {
			again = all[effect.Send](f.wait(time.Millisecond))
		}
		if len(again) == 0 {
			break
		}
		open = again[0]
	}
	refusals := all[effect.Refuse](out)
	if len(refusals) != 1 || refusals[0].Rejection.Reason != model.RefusedCoverage {
		t.Fatalf("got refusals %+v after five sheds of a shard, want one for coverage", refusals)
	}
	// The other shard's attempt is in flight and may run.
	if got := refusals[0].Rejection.Ran; got != model.RanUnknown {
		t.Errorf("got ran %v, want unknown", got)
	}
	if cancels := all[effect.Cancel](out); len(cancels) != 1 || cancels[0].Attempt != other.Attempt {
		t.Errorf("got cancels %+v, want one of attempt %d", cancels, other.Attempt)
	}
}
