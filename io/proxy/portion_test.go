package proxy_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/io/proxy"
)

// newHelper returns the server of another VM. Its calls are posted to a channel.
func newHelper(t *testing.T) (s *proxy.Server, addr netip.AddrPort, calls chan event.Body) {
	t.Helper()
	calls = make(chan event.Body, 10)
	s = &proxy.Server{Dialect: dialect, Post: func(b event.Body) { calls <- b }}
	server := httptest.NewServer(&proxy.Gatherer{Server: s})
	t.Cleanup(server.Close)
	return s, netip.MustParseAddrPort(server.Listener.Addr().String()), calls
}

func give(s *sender, addr netip.AddrPort, p *model.Portion) {
	s.next++
	s.client.Forward(effect.Forward{Attempt: s.next, Request: 1, Upstream: "vm b", Addr: addr, Timeout: 2 * time.Second, Part: true, Portion: p})
}

// Guards against a portion that changes on its way to another VM or back, and a
// request that the other VM passes on changed.
func TestPortionPassesUnchanged(t *testing.T) {
	server, addr, calls := newHelper(t)
	s := newSender(t)
	want := &model.Portion{Version: 7, Legs: []int{0, 3, 17}}
	give(s, addr, want)
	call := (<-calls).(event.Call)
	if !reflect.DeepEqual(call.Portion, want) || call.Tag != "t" || call.Path != "/x/1" || call.Wait <= 0 || call.Wait > 2*time.Second {
		t.Errorf("got call %+v with portion %+v, want that of %+v", call, call.Portion, want)
	}
	x := server.Exchange(call.ID)
	for name := range x.Headers {
		if name == "Comfreypulley-Portion" {
			t.Error("the portion is passed on to upstreams")
		}
	}
	if x.Method != http.MethodGet || x.Host != "a.example" || x.URI != "/x/1?q=a%20b" {
		t.Errorf("got %s %s %s, want the caller's request", x.Method, x.Host, x.URI)
	}
	pieces := []model.Piece{{Leg: 0, Tried: "u1", Receipt: "r;1"}, {Leg: 3, Tried: "u2"}, {Leg: 17}}
	server.Finish(call.ID, effect.Gather{Request: call.ID, Pieces: pieces, Records: []byte("0123456789abcdef")})
	got, ok := (<-s.ends).(event.Gathered)
	if !ok || !reflect.DeepEqual(got.Pieces, pieces) || string(got.Records) != "0123456789abcdef" {
		t.Errorf("got %+v, want pieces %+v", got, pieces)
	}
}

// Guards against a VM that leaves and takes a portion which it may not finish,
// and an origin that counts it as run.
func TestLeavingVMTakesNoPortion(t *testing.T) {
	server, addr, calls := newHelper(t)
	server.Leave()
	s := newSender(t)
	give(s, addr, &model.Portion{Version: 1, Legs: []int{0}})
	if got, ok := (<-s.ends).(event.Failed); !ok || got.Ran != model.RanNo {
		t.Errorf("got %+v, want a failure that states that nothing ran", got)
	}
	if len(calls) > 0 {
		t.Error("the portion was taken")
	}
}

// Guards against work for an origin that has given its request up.
func TestCancelledPortionIsGone(t *testing.T) {
	_, addr, calls := newHelper(t)
	s := newSender(t)
	give(s, addr, &model.Portion{Version: 1, Legs: []int{0}})
	call := (<-calls).(event.Call)
	s.client.Cancel(effect.Cancel{Attempt: 1})
	select {
	case body := <-calls:
		if got, ok := body.(event.Gone); !ok || got.Request != call.ID {
			t.Errorf("got %+v, want the end of request %d", body, call.ID)
		}
	case <-time.After(5 * time.Second):
		t.Error("the other VM does not notice the end of the portion")
	}
}

// Guards against a caller who names a portion in a header of its own: the other
// VM would gather other shards than it is asked for.
func TestPortionOfACallerIsNotPassedOn(t *testing.T) {
	_, addr, calls := newHelper(t)
	s := newSender(t)
	s.portion = "1;9"
	want := &model.Portion{Version: 7, Legs: []int{0}}
	give(s, addr, want)
	if call := (<-calls).(event.Call); !reflect.DeepEqual(call.Portion, want) {
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
	call := (<-posted).(event.Call)
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
