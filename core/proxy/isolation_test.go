package proxy_test

import (
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/proxy"
)

// mostOf is a least coverage beyond what zone a of a wide table has.
const mostOf = 0.95

// readiness returns the last thing that the balancer's check was told, and
// whether it was told anything.
func readiness(out []effect.Effect) (ready, told bool) {
	for _, e := range out {
		if r, ok := e.(effect.Ready); ok {
			ready, told = r.Ready, true
		}
	}
	return ready, told
}

func refusal(out []effect.Effect) model.Rejection {
	for _, e := range out {
		if r, ok := e.(effect.Refuse); ok {
			return r.Rejection
		}
	}
	return model.Rejection{}
}

// Guards against callers who stay with a zone that is cut off and cannot answer
// them, though VMs of other zones could.
func TestIsolatedZoneLeavesTheRotation(t *testing.T) {
	table := wideFor(mostOf)
	out := table.Isolated(began, event.ZoneIsolation{Isolated: true}, nil)
	if ready, told := readiness(out); ready || !told {
		t.Errorf("got ready %t, told %t, want not ready", ready, told)
	}
	out = ask(table, began, 1, nil)
	if r := refusal(out); r.Reason != model.RefusedIsolated || r.Ran != model.RanNo || r.RetryAfter <= 0 || r.RetryAfter > 10*time.Millisecond {
		t.Errorf("got %+v, want a refusal as isolated that sends the caller elsewhere at once", r)
	}
	if portions, direct := forwards(out); len(portions)+len(direct) > 0 {
		t.Errorf("got %d portions and %d attempts of a request that cannot be answered", len(portions), len(direct))
	}
	if _, direct := forwards(ask(table, began, 4, &model.Portion{DocumentVersion: 1, Shards: []int{0}})); len(direct) != 1 {
		t.Errorf("got %d attempts for the portion of another VM, which answers only for its own shards, want 1", len(direct))
	}
	part := askPart(table, began, 2)
	if _, direct := forwards(part); len(direct) != wideShards || refusal(part).Reason != "" {
		t.Errorf("got %d attempts and %+v, want a request that can be answered to be tried", len(direct), refusal(part))
	}
	out = table.Isolated(began, event.ZoneIsolation{Isolated: false}, nil)
	if ready, _ := readiness(out); !ready {
		t.Error("got not ready after the end of the isolation")
	}
	if _, direct := forwards(ask(table, began, 3, nil)); len(direct) != wideShards {
		t.Errorf("got %d attempts after the end of the isolation, want %d", len(direct), wideShards)
	}
}

func askPart(table *proxy.Table, at time.Time, id model.RequestID) []effect.Effect {
	return table.Call(at, event.ProxyRequest{
		ID: id, Host: "a.example", Path: "/part/x", Wait: 800 * time.Millisecond, Fingerprint: model.Fingerprint(id),
	}, nil)
}

// Guards against a zone that leaves the rotation though it can serve all there
// is to serve.
func TestIsolatedZoneWithEnoughShardsStays(t *testing.T) {
	table := wide(t)
	if ready, told := readiness(table.Isolated(began, event.ZoneIsolation{Isolated: true}, nil)); told {
		t.Errorf("got ready %t, want nothing told", ready)
	}
	if r := refusal(ask(table, began, 1, nil)); r.Reason != "" {
		t.Errorf("got %+v, want the request to be tried", r)
	}
}

// Guards against a zone that stays out of the rotation when only the VMs with
// disks are cut off: an answer from outside shows that requests get through.
func TestAnswerFromOutsideEndsIsolation(t *testing.T) {
	table := wideFor(mostOf, daemonIn("b", 1))
	early, _ := forwards(askPart(table, began, 1))
	table.Isolated(began.Add(10*time.Millisecond), event.ZoneIsolation{Isolated: true}, nil)
	late, _ := forwards(askPart(table, began.Add(20*time.Millisecond), 2))
	if len(early) != 1 || len(late) != 1 {
		t.Fatalf("got %d and %d portions, want one of each request in the other zone", len(early), len(late))
	}
	if _, told := readiness(table.Gathered(began.Add(30*time.Millisecond), answer(early[0]), nil)); told {
		t.Error("an answer to an attempt from before the isolation ended it")
	}
	if ready, _ := readiness(table.Gathered(began.Add(40*time.Millisecond), answer(late[0]), nil)); !ready {
		t.Error("got not ready after an answer from another zone")
	}
}
