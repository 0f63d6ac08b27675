package proxy_test

import (
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// transferTime is the time of an answer of 1,200 bytes on a link of 14 Mbit/s.
const transferTime = 700 * time.Microsecond

// distantCaller is a caller at a distance from the VM, with a target latency that it
// can meet.
type distantCaller struct {
	oneWay, target time.Duration
}

// Guards against partial answers that leave this VM before the target latency and
// reach a distant caller after it, and against a margin for distant callers that
// costs near ones coverage.
func TestPartialAnswerReachesTheCallerInTime(t *testing.T) {
	const atLeast = 0.4 // of the target latency, which is used to wait for missing shards
	for _, c := range []distantCaller{
		{500 * time.Microsecond, 60 * time.Millisecond}, {3 * time.Millisecond, 60 * time.Millisecond}, {20 * time.Millisecond, 120 * time.Millisecond},
	} {
		answered := c.answerTime(t, false)
		if seen := 2*c.oneWay + answered + transferTime; seen > c.target {
			t.Errorf("got the answer at the caller after %v with %v one way, want within %v", seen, c.oneWay, c.target)
		}
		if least := time.Duration(atLeast * float64(c.target)); answered < least {
			t.Errorf("got the answer sent after %v with %v one way, want at least %v used", answered, c.oneWay, least)
		}
	}
}

// Guards against the same for a caller that had to connect first, as one does that
// has moved to another zone.
func TestPartialAnswerReachesACallerThatConnected(t *testing.T) {
	for _, c := range []distantCaller{{500 * time.Microsecond, 60 * time.Millisecond}, {3 * time.Millisecond, 60 * time.Millisecond}} {
		if seen := 4*c.oneWay + c.answerTime(t, true) + transferTime; seen > c.target {
			t.Errorf("got the answer at the caller after %v with %v one way, want within %v", seen, c.oneWay, c.target)
		}
	}
}

// Guards against the same for a caller that had to connect over a long way.
func TestPartialAnswerReachesADistantCallerThatConnected(t *testing.T) {
	c := distantCaller{20 * time.Millisecond, 120 * time.Millisecond}
	if seen := 4*c.oneWay + c.answerTime(t, true) + transferTime; seen > c.target {
		t.Errorf("got the answer at the caller after %v with %v one way, want within %v", seen, c.oneWay, c.target)
	}
}

// answerTime returns how long after its arrival a request is answered in part, when
// one of two shards does not answer.
func (c distantCaller) answerTime(t *testing.T, newConn bool) time.Duration {
	t.Helper()
	tr := newTestRouter(model.Route{
		Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: 1, Timeout: time.Second, TargetLatency: c.target,
		Shards: []string{"s1", "s2"}, TopK: 1, MinCoverage: 0.5,
	}, "s1", "s2")
	out := tr.router.HandleProxyRequest(tr.now, event.ProxyRequest{
		ID: 1, Host: "h", Path: "/x", Fingerprint: 1, RoundTrip: 2 * c.oneWay, NewConn: newConn,
	}, nil)
	return answerTime(t, tr, tr.respond(forwardsOf(out)[0], 0))
}

// answerTime returns when the router sends a merged answer, after the start.
func answerTime(t *testing.T, tr *testRouter, out []effect.Effect) time.Duration {
	t.Helper()
	at := tr.now
	for range 10 {
		for _, e := range out {
			if _, ok := e.(effect.SendMergedResponse); ok {
				return at.Sub(startTime)
			}
		}
		at, out = fireTimer(&tr.router, at, out)
	}
	t.Fatal("got no merged answer")
	return 0
}
