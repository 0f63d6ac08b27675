package proxy_test

import (
	"net"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Guards against a check of an upstream that sends it something, whose connection is
// lost for the next attempt, or that takes a refused connection for an open one.
func TestOpenedConnIsUsedByTheNextAttempt(t *testing.T) {
	u := newScriptedUpstream(t, okResponse("t", "body"))
	s := newSender(t)
	open := effect.OpenConn{Upstream: "u1", Addr: u.listener.Addr().(*net.TCPAddr).AddrPort(), Timeout: time.Second, IdleTimeout: 10 * time.Second}
	s.client.OpenConn(open)
	if got, want := (<-s.results), (event.ConnChecked{Upstream: "u1", Opened: true}); got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	<-u.conns
	if len(u.requests) > 0 {
		t.Error("the check sent a request")
	}
	<-time.After(50 * time.Millisecond) // until the connection is idle
	if got, ok := s.send(u, time.Second).(event.ResponseReceived); !ok || got.NewConn || got.Response.Status != 200 {
		t.Errorf("got %+v, want a response on the open connection", got)
	}
	u.listener.Close()
	open.Upstream = model.UpstreamID("u2")
	s.client.OpenConn(open)
	if got, want := (<-s.results), (event.ConnChecked{Upstream: "u2"}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
