package proxy_test

import (
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/model"
)

// Guards against a planned stop that leaves requests in flight without a response,
// and against a refusal which says that a request has not run while an attempt of
// it is in flight.
func TestCutOffEndsRequestsInFlight(t *testing.T) {
	for _, once := range []bool{false, true} {
		tr := newTestRouter(unshardedRoute(once), "s")
		tr.request()
		tr.now = tr.now.Add(5 * time.Millisecond)
		tr.router.Drain(tr.now, nil)
		out := tr.router.CutOff(tr.now, nil)
		if got := refusalOf(out); got.Request != 1 || got.Ran == model.RanNo || got.Reason != model.RefusedFailed {
			t.Errorf("got refusal %+v of a request that may have run, want reason %q", got, model.RefusedFailed)
		}
		drained := false
		for _, e := range out {
			_, ok := e.(effect.Drained)
			drained = drained || ok
		}
		if !drained {
			t.Error("got no effect.Drained after the last request, want one")
		}
	}
}

// Guards against answers of shards that a stopping VM has received and drops.
func TestCutOffSendsWhatWasReceived(t *testing.T) {
	router := newShardedRouter(t)
	at := startTime
	out := sendShardedRequest(router, at, 1, nil)
	portionOut := sendShardedRequest(router, at, 2, &model.Portion{DocumentVersion: 1, Shards: []int{0, 1, 2}})
	for n, f := range forwardsOf(out) {
		if n < shardCount-1 {
			router.HandleResponseReceived(at, successfulResponse(f, "r"), nil)
		}
	}
	router.HandleResponseReceived(at, successfulResponse(forwardsOf(portionOut)[0], "r"), nil)
	out = router.CutOff(at.Add(time.Millisecond), nil)
	merged := 0
	for _, e := range out {
		if m, ok := e.(effect.SendMergedResponse); ok && m.Response.MissingShards == 1 {
			merged++
		}
	}
	if merged != 1 {
		t.Errorf("got %d answers with one missing shard, want 1", merged)
	}
	frames := portionResultsOf(out)
	if len(frames) != 1 || frames[0].More || len(frames[0].Results) != 3 || len(frames[0].Records) != 16 {
		t.Errorf("got frames %+v, want a last one with three results and one record", frames)
	}
}
