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

// again sends the request of a call once more and reports whether it is refused
// as one that crashes its upstreams.
func again(table *proxy.Table, at time.Time, fp model.Fingerprint) bool {
	out := table.Call(at, event.ProxyRequest{ID: 99, Host: "a.example", Path: "/all/x", Wait: 800 * time.Millisecond, Fingerprint: fp}, nil)
	return slices.ContainsFunc(out, func(e effect.Effect) bool {
		r, ok := e.(effect.Refuse)
		return ok && r.Rejection.Reason == model.RefusedQuarantine
	})
}

// strikes counts what is told to other VMs against a request.
func strikes(out []effect.Effect) int {
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

// Guards against a request over many shards that other VMs refuse as crashing its
// upstreams since three of them crashed by themselves, and against one that does
// crash them and is let through.
func TestCrashesAmongManyShards(t *testing.T) {
	for _, crashes := range []int{3, wideShards} {
		table := wide(t)
		_, direct := forwards(ask(table, began, 1, nil))
		at, told := began.Add(time.Millisecond), 0
		for n := 0; n < len(direct); n++ {
			f := direct[n]
			if n >= crashes && n < wideShards {
				told += strikes(table.Returned(at, returned(f, fmt.Sprintf("r%d", n)), nil))
				continue
			}
			out := table.Failed(at, event.AttemptFailed{Attempt: f.Attempt, Reason: model.FailedReset, Ran: model.RanUnknown}, nil)
			told += strikes(out)
			if _, more := forwards(out); crashes == wideShards {
				direct = append(direct, more...)
			}
		}
		all := crashes == wideShards
		if got := again(table, at.Add(time.Second), 1); got != all || told > 0 != all {
			t.Errorf("%d of %d shards break off: got refused %v and %d strikes told, want %v", crashes, wideShards, got, told, all)
		}
	}
}
