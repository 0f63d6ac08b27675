package proxy_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/proxy"
)

// isQuarantined sends another request with the fingerprint and reports whether it
// is refused for crashing upstreams.
func isQuarantined(router *proxy.Router, at time.Time, fp model.Fingerprint) bool {
	out := router.HandleProxyRequest(at, event.ProxyRequest{ID: 99, Host: "a.example", Path: "/all/x", Wait: 800 * time.Millisecond, Fingerprint: fp}, nil)
	return slices.ContainsFunc(out, func(e effect.Effect) bool {
		r, ok := e.(effect.Refuse)
		return ok && r.Refusal.Reason == model.RefusedQuarantine
	})
}

// countCrashReports counts the crash reports to the other VMs.
func countCrashReports(out []effect.Effect) int {
	n := 0
	for _, e := range out {
		c, ok := e.(effect.ToControl)
		if !ok {
			continue
		}
		if _, ok := c.Body.(event.CrashReport); ok {
			n++
		}
	}
	return n
}

// Guards against the quarantine of a request over many shards of which three
// happened to crash, and against the missing quarantine of one that crashes all
// of them.
func TestCrashesAmongManyShards(t *testing.T) {
	for _, crashes := range []int{3, shardCount} {
		router := newShardedRouter(t)
		_, direct := splitForwards(sendShardedRequest(router, startTime, 1, nil))
		at, reports := startTime.Add(time.Millisecond), 0
		for n := 0; n < len(direct); n++ {
			f := direct[n]
			if n >= crashes && n < shardCount {
				reports += countCrashReports(router.HandleResponseReceived(at, successfulResponse(f, fmt.Sprintf("r%d", n)), nil))
				continue
			}
			out := router.HandleAttemptFailed(at, event.AttemptFailed{Attempt: f.Attempt, Reason: model.FailedReset, Ran: model.RanUnknown}, nil)
			reports += countCrashReports(out)
			if _, more := splitForwards(out); crashes == shardCount {
				direct = append(direct, more...)
			}
		}
		// The links of the VM have not come into doubt meanwhile.
		sweep := at.Add(300 * time.Millisecond)
		reports += countCrashReports(router.HandleTimer(sweep, event.TimerID{Kind: event.TimerSweep}, nil))
		all := crashes == shardCount
		if got := isQuarantined(router, at.Add(time.Second), 1); got != all || reports > 0 != all {
			t.Errorf("%d of %d shards reset the connection: got quarantine %v and %d crash reports, want %v", crashes, shardCount, got, reports, all)
		}
	}
}
