package proxy_test

import (
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/proxy"
)

// fresh is a table that has just started, with what it lacks.
func fresh() (table *proxy.Table, view event.View, roster event.UpstreamList) {
	route := model.Route{
		Name: "r", Host: "h", PathPrefix: "/", Timeout: time.Second, TargetLatency: 100 * time.Millisecond,
		Targets: []model.Target{{Service: "s", Weight: 1}},
	}
	table = &proxy.Table{}
	table.Start(began, event.Start{VM: model.VM{Zone: "a"}, ProcessStart: began}, nil)
	view = event.View{Topology: &model.Topology{Document: &model.Document{Version: 1, Routes: []model.Route{route}, Services: []model.Service{{Name: "s"}}}}}
	roster = event.UpstreamList{Upstreams: []model.Upstream{{ID: "u", Index: "s", Slots: 1, Zone: "a"}}, Checksum: 1, ReadAt: began}
	return table, view, roster
}

const earlyWait = 600 * time.Millisecond

func early(table *proxy.Table, id model.RequestID) []effect.Effect {
	return table.Call(began, event.ProxyRequest{ID: id, Host: "h", Path: "/x", Wait: earlyWait, Fingerprint: model.Fingerprint(id)}, nil)
}

// Guards against callers who are refused twice while all VMs restart, though one
// of them can serve a moment later.
func TestEarlyRequestWaits(t *testing.T) {
	table, view, roster := fresh()
	if out := early(table, 1); refusal(out).Reason != "" {
		t.Fatalf("got %+v, want the request to be held", refusal(out))
	}
	later := began.Add(200 * time.Millisecond)
	if out := table.View(later, view, nil); len(sent(out)) > 0 {
		t.Error("a request was sent before the list of upstreams came")
	}
	list := sent(table.Roster(later, roster, nil))
	if len(list) != 1 || list[0].Timeout > earlyWait-200*time.Millisecond {
		t.Errorf("got %+v, want one attempt with what is left of the caller's time", list)
	}
}

// Guards against callers who are held until they give up, or for ever.
func TestEarlyRequestIsRefusedInTime(t *testing.T) {
	table, view, roster := fresh()
	at, out := wake(table, began, early(table, 1))
	if r := refusal(out); r.Reason != model.RefusedStale || r.Ran != model.RanNo {
		t.Errorf("got %+v, want a refusal as stale", r)
	}
	if half := began.Add(earlyWait / 2); !at.Before(half) {
		t.Errorf("got a refusal after %s, want it within half of the caller's time", at.Sub(began))
	}
	early(table, 2)
	table.Gone(began, event.CallerDisconnected{Request: 2}, nil)
	early(table, 3)
	if out := table.Drain(began, nil); refusal(out).Request != 3 || out[len(out)-1] != (effect.Drained{}) {
		t.Errorf("got %v, want the last request refused before the end", out)
	}
	table.View(began, view, nil)
	if list := sent(table.Roster(began, roster, nil)); len(list) > 0 {
		t.Errorf("got %+v of requests that have ended", list)
	}
}
