package node_test

import (
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/node"
)

// Guards against losing the outcome of a non-idempotent attempt that outlives
// its caller: it was cancelled at the deadline, so that the claim stayed
// pending although the upstream had run the request.
func TestRunInFlightAtTheDeadlineIsSettledInTheBackground(t *testing.T) {
	f := newFixture()
	sent := f.dispatched()
	out := f.wait(100 * time.Millisecond)
	refused := all[effect.Refuse](out)
	if len(refused) != 1 || refused[0].Rejection.Reason != model.RefusedPending || refused[0].Rejection.Ran != model.RanUnknown {
		t.Fatalf("got %+v at the deadline, want one refusal as pending, ran unknown", refused)
	}
	if got := len(all[effect.Cancel](out)); got != 0 {
		t.Fatalf("got %d cancelled attempts, want 0", got)
	}
	if got := len(all[effect.Drained](f.reduce(event.Drain{}))); got != 0 {
		t.Fatal("the drain ended while the attempt was in flight")
	}
	f.now = f.now.Add(time.Second)
	settles := proposed[entry.Settle](f.answer(sent, 7))
	if len(settles) != 1 || settles[0].Key != testKey {
		t.Fatalf("got settlements %+v, want one for the key", settles)
	}
	out = f.decide(settles[0], entry.StatusOK)
	if got := len(all[effect.SendAnswer](out)) + len(all[effect.Charge](out)); got != 0 {
		t.Errorf("got %d replies and charges after the refusal, want 0", got)
	}
	if got := len(all[effect.Drained](out)); got != 1 {
		t.Errorf("got %d reports of the end of the drain, want 1", got)
	}
}

// Guards against a claim that stays although its request provably did not run:
// the refusal at the deadline had marked the request as possibly run for good.
func TestRunThatFailsUnrunAfterTheDeadlineIsReleased(t *testing.T) {
	f := newFixture()
	sent := f.dispatched()
	f.wait(100 * time.Millisecond)
	out := f.reduce(event.AttemptFailed{Attempt: sent.Attempt, Reason: model.FailedRefused, Ran: model.RanNo})
	if got := len(proposed[entry.Release](out)); got != 1 {
		t.Fatalf("got %d releases, want 1", got)
	}
}

// Guards against cancelling a non-idempotent attempt because its caller left.
func TestRunGoesOnAfterItsCallerLeft(t *testing.T) {
	f := newFixture()
	sent := f.dispatched()
	if got := len(all[effect.Cancel](f.reduce(event.CallerDisconnected{Request: 1}))); got != 0 {
		t.Fatalf("got %d cancelled attempts, want 0", got)
	}
	if got := len(proposed[entry.Settle](f.answer(sent, 7))); got != 1 {
		t.Fatalf("got %d settlements, want 1", got)
	}
}

// Guards against a key that is blocked for ever: the claim commits after its
// caller was refused as not run, or left.
func TestLateClaimIsReleased(t *testing.T) {
	for _, leave := range []bool{false, true} {
		f := newFixture()
		claim := proposed[entry.Claim](f.run(1, testKey))[0]
		if leave {
			f.reduce(event.CallerDisconnected{Request: 1})
		} else if refused := all[effect.Refuse](f.wait(100 * time.Millisecond)); refused[0].Rejection.Ran != model.RanNo {
			t.Fatalf("got %+v, want ran: no", refused[0])
		}
		out := f.decide(claim, entry.StatusOK)
		if got := len(all[effect.Send](out)); got != 0 {
			t.Errorf("leave %v: got %d attempts after the end of the request, want 0", leave, got)
		}
		if got := len(proposed[entry.Release](out)); got != 1 {
			t.Errorf("leave %v: got %d releases, want 1", leave, got)
		}
		if got := len(proposed[entry.Release](f.decide(claim, entry.StatusOK))); got != 0 {
			t.Errorf("leave %v: got %d releases for a repeated answer, want 0", leave, got)
		}
	}
}

// Guards against a release that is lost: the ledger had no majority when it was
// proposed, and nothing repeated it.
func TestReleaseIsRepeatedUntilTheLedgerDecides(t *testing.T) {
	f := newFixture()
	claim := proposed[entry.Claim](f.run(1, testKey))[0]
	release := proposed[entry.Release](f.decide(claim, entry.StatusUnknown))
	if len(release) != 1 {
		t.Fatalf("got %d releases for a claim that may commit, want 1", len(release))
	}
	f.decide(release[0], entry.StatusNoMajority)
	if got := len(proposed[entry.Release](f.wait(time.Second))); got != 1 {
		t.Fatalf("got %d repeated releases, want 1", got)
	}
}

// Guards against an answer that a resend could not get again: at the deadline
// the reply went out although the outcome was not recorded.
func TestOutcomeIsNotDeliveredBeforeItIsRecorded(t *testing.T) {
	f := newFixture()
	sent := f.dispatched()
	settle := proposed[entry.Settle](f.answer(sent, 7))[0]
	out := f.wait(100 * time.Millisecond)
	if got := len(all[effect.SendAnswer](out)); got != 0 {
		t.Fatalf("got %d replies before the outcome was recorded, want 0", got)
	}
	refused := all[effect.Refuse](out)
	if len(refused) != 1 || refused[0].Rejection.Ran != model.RanYes {
		t.Fatalf("got refusals %+v, want one with ran: yes", refused)
	}
	f.decide(settle, entry.StatusNoMajority)
	if got := len(proposed[entry.Settle](f.wait(time.Second))); got != 1 {
		t.Errorf("got %d repeated settlements, want 1", got)
	}
}

// Guards against work after the end: a shard of a refused request that waited
// for a replica was sent when the replica came back.
func TestParkedRunIsNotSentAfterItsRefusal(t *testing.T) {
	f := newFixture()
	for _, id := range []model.UpstreamID{"u0a", "u0b", "u1a", "u1b"} {
		f.reduce(event.ProbeResult{Upstream: id})
	}
	for _, id := range []model.UpstreamID{"u0a", "u0b"} {
		f.report(id, 0, 7)
	}
	claim := proposed[entry.Claim](f.run(1, testKey))[0]
	if got := len(all[effect.Send](f.decide(claim, entry.StatusOK))); got != 0 {
		t.Fatalf("got %d attempts without a replica, want 0", got)
	}
	f.wait(100 * time.Millisecond)
	if got := len(all[effect.Send](f.report("u1a", 1, 7))); got != 0 {
		t.Errorf("got %d attempts after the refusal, want 0", got)
	}
}

// Guards against a VM that takes its own claim for that of another process
// after the claim came back from a disk or another VM: the time of the start of
// a process has a time zone and a monotonic reading, which no encoding keeps.
func TestHolderIsTheSameAfterEncoding(t *testing.T) {
	clock := time.Now().In(time.FixedZone("EAT", 3*3600))
	f := newFixture()
	f.state, f.now = node.State{}, clock
	f.reduce(event.Start{Role: event.RoleQuery, VM: model.VM{ID: "vm0", Zone: "a"}, ProcessStart: clock, Loops: 1})
	f.reduce(f.view)
	claims := proposed[entry.Claim](f.run(1, model.NewKey(clock, [10]byte{1})))
	decoded := entry.Holder{VM: "vm0", ProcessStart: time.Unix(0, clock.UnixNano()).UTC(), Request: 1}
	if len(claims) != 1 || claims[0].Holder != decoded {
		t.Errorf("got claims %+v, want one of holder %+v", claims, decoded)
	}
}
