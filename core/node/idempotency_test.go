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

// Guards against the loss of a non-idempotent request's outcome after the
// deadline: the attempt was cancelled, so that the claim stayed pending although
// the upstream had run the request.
func TestKeyedRequestInFlightAtTheDeadlineIsSettledInTheBackground(t *testing.T) {
	f := newFixture()
	attempt := f.sendWithClaim()
	out := f.advance(100 * time.Millisecond)
	refused := effectsOf[effect.Refuse](out)
	if len(refused) != 1 || refused[0].Refusal.Reason != model.RefusedPending || refused[0].Refusal.Ran != model.RanUnknown {
		t.Fatalf("got %+v at the deadline, want one refusal as pending with ran: unknown", refused)
	}
	if got := len(effectsOf[effect.Cancel](out)); got != 0 {
		t.Fatalf("got %d cancelled attempts, want 0", got)
	}
	if got := len(effectsOf[effect.Drained](f.reduce(event.Drain{}))); got != 0 {
		t.Fatal("the drain ended while the attempt was in flight")
	}
	f.now = f.now.Add(time.Second)
	settles := proposals[entry.Settle](f.answer(attempt, 7))
	if len(settles) != 1 || settles[0].Key != testKey {
		t.Fatalf("got settlements %+v, want one for the key", settles)
	}
	out = f.answerProposal(settles[0], entry.StatusOK)
	if got := len(effectsOf[effect.SendAnswer](out)) + len(effectsOf[effect.Charge](out)); got != 0 {
		t.Errorf("got %d answers and charges after the refusal, want 0", got)
	}
	if got := len(effectsOf[effect.Drained](out)); got != 1 {
		t.Errorf("got %d reports of the end of the drain, want 1", got)
	}
}

// Guards against a claim that is kept although its request certainly did not run:
// the refusal at the deadline had permanently marked the request as possibly run.
func TestKeyedRequestThatDidNotRunIsReleasedAfterTheDeadline(t *testing.T) {
	f := newFixture()
	attempt := f.sendWithClaim()
	f.advance(100 * time.Millisecond)
	out := f.reduce(event.AttemptFailed{Attempt: attempt.Attempt, Reason: model.FailedRefused, Ran: model.RanNo})
	if got := len(proposals[entry.Release](out)); got != 1 {
		t.Fatalf("got %d releases, want 1", got)
	}
}

// Guards against the cancellation of a non-idempotent attempt because its caller
// disconnected.
func TestKeyedRequestContinuesAfterItsCallerDisconnects(t *testing.T) {
	f := newFixture()
	attempt := f.sendWithClaim()
	if got := len(effectsOf[effect.Cancel](f.reduce(event.CallerDisconnected{Request: 1}))); got != 0 {
		t.Fatalf("got %d cancelled attempts, want 0", got)
	}
	if got := len(proposals[entry.Settle](f.answer(attempt, 7))); got != 1 {
		t.Fatalf("got %d settlements, want 1", got)
	}
}

// Guards against a key that stays claimed: the claim is committed after its request
// was refused with "ran: no", or after its caller disconnected.
func TestLateClaimIsReleased(t *testing.T) {
	for _, disconnect := range []bool{false, true} {
		f := newFixture()
		claim := proposals[entry.Claim](f.requestWithKey(1, testKey))[0]
		if disconnect {
			f.reduce(event.CallerDisconnected{Request: 1})
		} else if refused := effectsOf[effect.Refuse](f.advance(100 * time.Millisecond)); refused[0].Refusal.Ran != model.RanNo {
			t.Fatalf("got %+v, want ran: no", refused[0])
		}
		out := f.answerProposal(claim, entry.StatusOK)
		if got := len(effectsOf[effect.Send](out)); got != 0 {
			t.Errorf("disconnect %v: got %d attempts after the end of the request, want 0", disconnect, got)
		}
		if got := len(proposals[entry.Release](out)); got != 1 {
			t.Errorf("disconnect %v: got %d releases, want 1", disconnect, got)
		}
		if got := len(proposals[entry.Release](f.answerProposal(claim, entry.StatusOK))); got != 0 {
			t.Errorf("disconnect %v: got %d releases for a repeated answer, want 0", disconnect, got)
		}
	}
}

// Guards against a lost release: the log had no majority when it was proposed, and
// it was not proposed again.
func TestReleaseIsRepeatedUntilTheLedgerDecides(t *testing.T) {
	f := newFixture()
	claim := proposals[entry.Claim](f.requestWithKey(1, testKey))[0]
	release := proposals[entry.Release](f.answerProposal(claim, entry.StatusUnknown))
	if len(release) != 1 {
		t.Fatalf("got %d releases for a claim that may commit, want 1", len(release))
	}
	f.answerProposal(release[0], entry.StatusNoMajority)
	if got := len(proposals[entry.Release](f.advance(time.Second))); got != 1 {
		t.Fatalf("got %d repeated releases, want 1", got)
	}
}

// Guards against an answer that a resend cannot return again: at the deadline
// it was sent although the outcome had not been recorded.
func TestOutcomeIsNotDeliveredBeforeItIsRecorded(t *testing.T) {
	f := newFixture()
	attempt := f.sendWithClaim()
	settle := proposals[entry.Settle](f.answer(attempt, 7))[0]
	out := f.advance(100 * time.Millisecond)
	if got := len(effectsOf[effect.SendAnswer](out)); got != 0 {
		t.Fatalf("got %d answers before the outcome was recorded, want 0", got)
	}
	refused := effectsOf[effect.Refuse](out)
	if len(refused) != 1 || refused[0].Refusal.Ran != model.RanYes {
		t.Fatalf("got refusals %+v, want one with ran: yes", refused)
	}
	f.answerProposal(settle, entry.StatusNoMajority)
	if got := len(proposals[entry.Settle](f.advance(time.Second))); got != 1 {
		t.Errorf("got %d repeated settlements, want 1", got)
	}
}

// Guards against an attempt after the refusal of its request: a shard that waited
// for a replica was sent when the replica became available.
func TestWaitingKeyedRequestIsNotSentAfterItsRefusal(t *testing.T) {
	f := newFixture()
	for _, id := range []model.UpstreamID{"u0a", "u0b", "u1a", "u1b"} {
		f.reduce(event.ProbeResult{Upstream: id})
	}
	for _, id := range []model.UpstreamID{"u0a", "u0b"} {
		f.report(id, 0, 7)
	}
	claim := proposals[entry.Claim](f.requestWithKey(1, testKey))[0]
	if got := len(effectsOf[effect.Send](f.answerProposal(claim, entry.StatusOK))); got != 0 {
		t.Fatalf("got %d attempts without a replica, want 0", got)
	}
	f.advance(100 * time.Millisecond)
	if got := len(effectsOf[effect.Send](f.report("u1a", 1, 7))); got != 0 {
		t.Errorf("got %d attempts after the refusal, want 0", got)
	}
}

// Guards against a VM that mistakes its own claim for another process's after the
// claim was decoded: the process's start time has a time zone and a monotonic
// clock reading, which are lost when it is encoded.
func TestHolderIsTheSameAfterEncoding(t *testing.T) {
	clock := time.Now().In(time.FixedZone("EAT", 3*3600))
	f := newFixture()
	f.state, f.now = node.State{}, clock
	f.reduce(event.Start{Role: event.RoleQuery, VM: model.VM{ID: "vm0", Zone: "a"}, ProcessStart: clock, Loops: 1})
	f.reduce(f.view)
	claims := proposals[entry.Claim](f.requestWithKey(1, model.NewKey(clock, [10]byte{1})))
	decoded := entry.ClaimHolder{VM: "vm0", ProcessStart: time.Unix(0, clock.UnixNano()).UTC(), Request: 1}
	if len(claims) != 1 || claims[0].Holder != decoded {
		t.Errorf("got claims %+v, want one of holder %+v", claims, decoded)
	}
}
