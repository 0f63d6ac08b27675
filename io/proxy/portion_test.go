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

// peerVM is the server of another VM that accepts portions.
type peerVM struct {
	*proxy.Server
	httpServer *httptest.Server
	events     chan event.Body // posted by the server
	conns      atomic.Int64    // number of connections opened to it
}

func newPeerVM(t *testing.T) *peerVM {
	t.Helper()
	peer := &peerVM{events: make(chan event.Body, 10)}
	peer.Server = &proxy.Server{HeaderNames: headerNames, Post: func(b event.Body) { peer.events <- b }}
	peer.httpServer = httptest.NewUnstartedServer(&proxy.PortionHandler{Server: peer.Server})
	peer.httpServer.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			peer.conns.Add(1)
		}
	}
	peer.httpServer.Start()
	t.Cleanup(peer.httpServer.Close)
	return peer
}

func sendPortion(s *sender, peer *peerVM, p *model.Portion) {
	s.lastID++
	addr := netip.MustParseAddrPort(peer.httpServer.Listener.Addr().String())
	s.client.Forward(effect.Forward{
		Attempt: s.lastID, Request: model.RequestID(s.lastID), Upstream: "vm b", Addr: addr, Timeout: 2 * time.Second, BodyOnly: true, Portion: p,
	})
}

// Guards against changes of a portion or its results between VMs, and of the
// caller's request that the other VM forwards to upstreams.
func TestPortionPassesUnchanged(t *testing.T) {
	peer := newPeerVM(t)
	s := newSender(t)
	want := &model.Portion{DocumentVersion: 7, Shards: []int{0, 3, 17}}
	sendPortion(s, peer, want)
	request := (<-peer.events).(event.ProxyRequest)
	if !reflect.DeepEqual(request.Portion, want) || request.CallerRequestID != "t" ||
		request.Path != "/x/1" || request.Wait <= 0 || request.Wait > 2*time.Second {
		t.Errorf("got request %+v with portion %+v, want portion %+v", request, request.Portion, want)
	}
	forwarded := peer.CallerRequest(request.ID)
	for name := range forwarded.Headers {
		if name == "Comfreypulley-Portion" {
			t.Error("the portion header is forwarded to upstreams")
		}
	}
	if forwarded.Method != http.MethodGet || forwarded.Host != "a.example" || forwarded.URI != "/x/1?q=a%20b" {
		t.Errorf("got %s %s %s, want the caller's request", forwarded.Method, forwarded.Host, forwarded.URI)
	}
	frames := []event.PortionResult{
		{Attempt: 1, Results: []model.ShardResult{{Shard: 0, Upstream: "u1", Receipt: "r;1"}, {Shard: 3, Upstream: "u2"}}, Records: []byte("0123456789abcdef"), More: true},
		{Attempt: 1, Results: []model.ShardResult{{Shard: 17}}},
	}
	for _, want := range frames {
		peer.Respond(request.ID, effect.SendPortionResult{Request: request.ID, Results: want.Results, Records: want.Records, More: want.More})
		if got := <-s.results; !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
	sendPortion(s, peer, want)
	again := (<-peer.events).(event.ProxyRequest)
	peer.Respond(again.ID, effect.SendPortionResult{Request: again.ID, Results: frames[1].Results})
	<-s.results
	if n := peer.conns.Load(); n != 1 {
		t.Errorf("got %d connections for two portions, want 1", n)
	}
}

// Guards against treating results as complete when the other VM closes the
// connection between two frames.
func TestPortionThatBreaksOff(t *testing.T) {
	peer := newPeerVM(t)
	s := newSender(t)
	sendPortion(s, peer, &model.Portion{DocumentVersion: 1, Shards: []int{0, 1}})
	request := (<-peer.events).(event.ProxyRequest)
	peer.Respond(request.ID, effect.SendPortionResult{Request: request.ID, Results: []model.ShardResult{{Shard: 0, Upstream: "u", Receipt: "r"}}, More: true})
	<-s.results
	peer.httpServer.CloseClientConnections()
	if got, ok := (<-s.results).(event.AttemptFailed); !ok || got.Ran != model.RanUnknown {
		t.Errorf("got %+v, want a failure, ran unknown", got)
	}
}

// Guards against a VM that accepts a portion shortly before it stops and may not
// finish it, and against treating a refused portion as possibly run.
func TestStoppingVMRefusesPortions(t *testing.T) {
	peer := newPeerVM(t)
	peer.StartDraining()
	peer.RefuseRequests()
	s := newSender(t)
	sendPortion(s, peer, &model.Portion{DocumentVersion: 1, Shards: []int{0}})
	if got, ok := (<-s.results).(event.AttemptFailed); !ok || got.Ran != model.RanNo {
		t.Errorf("got %+v, want a failure, ran no", got)
	}
	if len(peer.events) > 0 {
		t.Error("the portion was accepted")
	}
}

// Guards against a VM that refuses portions as soon as it drains: the other VMs
// are notified of it later and still send some.
func TestDrainingVMTakesPortions(t *testing.T) {
	peer := newPeerVM(t)
	peer.StartDraining()
	s := newSender(t)
	sendPortion(s, peer, &model.Portion{DocumentVersion: 1, Shards: []int{0}})
	request := (<-peer.events).(event.ProxyRequest)
	peer.Respond(request.ID, effect.SendPortionResult{Request: request.ID, Results: []model.ShardResult{{Shard: 0, Upstream: "u", Receipt: "r"}}})
	if got, ok := (<-s.results).(event.PortionResult); !ok || len(got.Results) != 1 {
		t.Errorf("got %+v, want the result of the shard", got)
	}
}

// Guards against work on a portion after the VM that sent it has cancelled it.
func TestCancelReachesPeerVM(t *testing.T) {
	peer := newPeerVM(t)
	s := newSender(t)
	sendPortion(s, peer, &model.Portion{DocumentVersion: 1, Shards: []int{0}})
	request := (<-peer.events).(event.ProxyRequest)
	s.client.Cancel(effect.Cancel{Attempt: 1})
	select {
	case body := <-peer.events:
		if got, ok := body.(event.CallerDisconnected); !ok || got.Request != request.ID {
			t.Errorf("got %+v, want the disconnection of the caller of request %d", body, request.ID)
		}
	case <-time.After(5 * time.Second):
		t.Error("the other VM has not noticed the cancellation after 5s")
	}
}

// Guards against forwarding a portion header that the caller set: the other VM
// would query other shards than requested.
func TestPortionHeaderOfCallerIsNotForwarded(t *testing.T) {
	peer := newPeerVM(t)
	s := newSender(t)
	s.portionHeader = "1;9"
	want := &model.Portion{DocumentVersion: 7, Shards: []int{0}}
	sendPortion(s, peer, want)
	if request := (<-peer.events).(event.ProxyRequest); !reflect.DeepEqual(request.Portion, want) {
		t.Errorf("got portion %+v, want %+v", request.Portion, want)
	}
}

// Guards against accepting portions from callers, who could read the unmerged
// results of single shards.
func TestPortionHeaderOfCallerIsIgnored(t *testing.T) {
	posted := make(chan event.Body, 1)
	s := &proxy.Server{HeaderNames: headerNames, Post: func(b event.Body) { posted <- b }}
	r := httptest.NewRequest(http.MethodGet, "/x/1", http.NoBody)
	r.Header.Set("Comfreypulley-Portion", "1;0")
	done := make(chan struct{})
	go (&requestRunner{server: s, request: r, done: done}).run()
	request := (<-posted).(event.ProxyRequest)
	if request.Portion != nil {
		t.Errorf("got portion %+v, want the header ignored", request.Portion)
	}
	s.Respond(request.ID, effect.Refuse{})
	<-done
}

type requestRunner struct {
	server  *proxy.Server
	request *http.Request
	done    chan struct{}
}

func (s *requestRunner) run() {
	defer close(s.done)
	s.server.ServeHTTP(httptest.NewRecorder(), s.request)
}
