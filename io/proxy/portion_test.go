package proxy_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"reflect"
	"sync/atomic"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/io/proxy"
)

// helper is the server of another VM.
type helper struct {
	*proxy.Server
	web   *httptest.Server
	calls chan event.Body // what it posts
	conns atomic.Int64    // that were made to it
}

func newHelper(t *testing.T) *helper {
	t.Helper()
	h := &helper{calls: make(chan event.Body, 10)}
	h.Server = &proxy.Server{Dialect: dialect, Post: func(b event.Body) { h.calls <- b }}
	h.web = httptest.NewUnstartedServer(&proxy.Gatherer{Server: h.Server})
	h.web.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			h.conns.Add(1)
		}
	}
	h.web.Start()
	t.Cleanup(h.web.Close)
	return h
}

func give(s *sender, h *helper, p *model.Portion) {
	s.next++
	addr := netip.MustParseAddrPort(h.web.Listener.Addr().String())
	s.client.Forward(effect.Forward{Attempt: s.next, Request: 1, Upstream: "vm b", Addr: addr, Timeout: 2 * time.Second, BodyOnly: true, Portion: p})
}

// Guards against a portion that changes on its way to another VM or back, and a
// request that the other VM passes on changed.
func TestPortionPassesUnchanged(t *testing.T) {
	h := newHelper(t)
	s := newSender(t)
	want := &model.Portion{DocumentVersion: 7, Shards: []int{0, 3, 17}}
	give(s, h, want)
	call := (<-h.calls).(event.ProxyRequest)
	if !reflect.DeepEqual(call.Portion, want) || call.CallerRequestID != "t" || call.Path != "/x/1" || call.Wait <= 0 || call.Wait > 2*time.Second {
		t.Errorf("got call %+v with portion %+v, want that of %+v", call, call.Portion, want)
	}
	x := h.Exchange(call.ID)
	for name := range x.Headers {
		if name == "Comfreypulley-Portion" {
			t.Error("the portion is passed on to upstreams")
		}
	}
	if x.Method != http.MethodGet || x.Host != "a.example" || x.URI != "/x/1?q=a%20b" {
		t.Errorf("got %s %s %s, want the caller's request", x.Method, x.Host, x.URI)
	}
	frames := []event.PortionResult{
		{Attempt: 1, Results: []model.ShardResult{{Shard: 0, Upstream: "u1", Receipt: "r;1"}, {Shard: 3, Upstream: "u2"}}, Records: []byte("0123456789abcdef"), More: true},
		{Attempt: 1, Results: []model.ShardResult{{Shard: 17}}},
	}
	for _, want := range frames {
		h.Finish(call.ID, effect.SendPortionResult{Request: call.ID, Results: want.Results, Records: want.Records, More: want.More})
		if got := <-s.ends; !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
	give(s, h, want)
	again := (<-h.calls).(event.ProxyRequest)
	h.Finish(again.ID, effect.SendPortionResult{Request: again.ID, Results: frames[1].Results})
	<-s.ends
	if n := h.conns.Load(); n != 1 {
		t.Errorf("got %d connections for two portions, want 1", n)
	}
}

// Guards against pieces that are taken for all there are when the other VM ends
// between two frames.
func TestPortionThatBreaksOff(t *testing.T) {
	h := newHelper(t)
	s := newSender(t)
	give(s, h, &model.Portion{DocumentVersion: 1, Shards: []int{0, 1}})
	call := (<-h.calls).(event.ProxyRequest)
	h.Finish(call.ID, effect.SendPortionResult{Request: call.ID, Results: []model.ShardResult{{Shard: 0, Upstream: "u", Receipt: "r"}}, More: true})
	<-s.ends
	h.web.CloseClientConnections()
	if got, ok := (<-s.ends).(event.AttemptFailed); !ok || got.Ran != model.RanUnknown {
		t.Errorf("got %+v, want a failure that does not state what ran", got)
	}
}

// Guards against a VM that leaves and takes a portion which it may not finish,
// and an origin that counts it as run.
func TestVMAboutToEndTakesNoPortion(t *testing.T) {
	h := newHelper(t)
	h.Leave()
	h.Refuse()
	s := newSender(t)
	give(s, h, &model.Portion{DocumentVersion: 1, Shards: []int{0}})
	if got, ok := (<-s.ends).(event.AttemptFailed); !ok || got.Ran != model.RanNo {
		t.Errorf("got %+v, want a failure that states that nothing ran", got)
	}
	if len(h.calls) > 0 {
		t.Error("the portion was taken")
	}
}

// Guards against portions that are refused for as long as a VM drains, since the
// others learn of it late.
func TestDrainingVMTakesPortions(t *testing.T) {
	h := newHelper(t)
	h.Leave()
	s := newSender(t)
	give(s, h, &model.Portion{DocumentVersion: 1, Shards: []int{0}})
	call := (<-h.calls).(event.ProxyRequest)
	h.Finish(call.ID, effect.SendPortionResult{Request: call.ID, Results: []model.ShardResult{{Shard: 0, Upstream: "u", Receipt: "r"}}})
	if got, ok := (<-s.ends).(event.PortionResult); !ok || len(got.Results) != 1 {
		t.Errorf("got %+v, want the piece", got)
	}
}

// Guards against work for an origin that has given its request up.
func TestCancelledPortionIsGone(t *testing.T) {
	h := newHelper(t)
	s := newSender(t)
	give(s, h, &model.Portion{DocumentVersion: 1, Shards: []int{0}})
	call := (<-h.calls).(event.ProxyRequest)
	s.client.Cancel(effect.Cancel{Attempt: 1})
	select {
	case body := <-h.calls:
		if got, ok := body.(event.CallerDisconnected); !ok || got.Request != call.ID {
			t.Errorf("got %+v, want the end of request %d", body, call.ID)
		}
	case <-time.After(5 * time.Second):
		t.Error("the other VM does not notice the end of the portion")
	}
}

// Guards against a caller who names a portion in a header of its own: the other
// VM would gather other shards than it is asked for.
func TestPortionOfACallerIsNotPassedOn(t *testing.T) {
	h := newHelper(t)
	s := newSender(t)
	s.portion = "1;9"
	want := &model.Portion{DocumentVersion: 7, Shards: []int{0}}
	give(s, h, want)
	if call := (<-h.calls).(event.ProxyRequest); !reflect.DeepEqual(call.Portion, want) {
		t.Errorf("got portion %+v, want %+v", call.Portion, want)
	}
}

// Guards against portions from callers, who could ask for shards without merge.
func TestCallerGivesNoPortion(t *testing.T) {
	posted := make(chan event.Body, 1)
	s := &proxy.Server{Dialect: dialect, Post: func(b event.Body) { posted <- b }}
	r := httptest.NewRequest(http.MethodGet, "/x/1", http.NoBody)
	r.Header.Set("Comfreypulley-Portion", "1;0")
	ended := make(chan struct{})
	go (&served{server: s, request: r, ended: ended}).run()
	call := (<-posted).(event.ProxyRequest)
	if call.Portion != nil {
		t.Errorf("got portion %+v of a caller", call.Portion)
	}
	s.Finish(call.ID, effect.Refuse{})
	<-ended
}

type served struct {
	server  *proxy.Server
	request *http.Request
	ended   chan struct{}
}

func (s *served) run() {
	defer close(s.ended)
	s.server.ServeHTTP(httptest.NewRecorder(), s.request)
}
