package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/io/proxy"
)

var dialect = &proxy.Dialect{
	Tag: "Tag", Wait: "Wait", Receipt: "Receipt", Expect: "Expect-Upstream", NotRun: "Not-Run", Load: "Load",
	Receipts: "Receipts", Missing: "Missing",
}

// upstream accepts connections and answers with a script: one text for each
// request, in the order of their arrival. An empty text closes the connection.
type upstream struct {
	listener net.Listener
	conns    chan int
	requests chan string
	script   chan string
	ended    chan struct{} // has an entry for each connection that the client closed
}

func newUpstream(t *testing.T, script ...string) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{listener: l, conns: make(chan int, 100), requests: make(chan string, 100), script: make(chan string, 100), ended: make(chan struct{}, 100)}
	for _, s := range script {
		u.script <- s
	}
	t.Cleanup(func() { l.Close() })
	go u.run()
	return u
}

func (u *upstream) run() {
	for n := 1; ; n++ {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.conns <- n
		s := &script{upstream: u, conn: conn}
		go s.run()
	}
}

type script struct {
	upstream *upstream
	conn     net.Conn
}

func (s *script) run() {
	defer s.conn.Close()
	r := bufio.NewReader(s.conn)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			s.upstream.ended <- struct{}{}
			return
		}
		s.upstream.requests <- fmt.Sprintf("%s %s %s %s", request.Method, request.RequestURI, request.Host, request.Header.Get("Expect-Upstream"))
		text := <-s.upstream.script
		if text == "" {
			return
		}
		if _, err := s.conn.Write([]byte(text)); err != nil {
			return
		}
	}
}

func ok(tag, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTag: %s\r\nReceipt: r\r\nContent-Length: %d\r\n\r\n%s", tag, len(body), body)
}

// sender makes attempts through a client, one after the other.
type sender struct {
	t      *testing.T
	client *proxy.Client
	ends   chan event.Body
	next   model.AttemptID
	tag    string

	portion string        // header of the caller that names a portion
	keep    time.Duration // idle time of connections
}

func newSender(t *testing.T) *sender {
	s := &sender{t: t, ends: make(chan event.Body, 10), tag: "t"}
	s.client = &proxy.Client{Dialect: dialect, Post: func(b event.Body) { s.ends <- b }, Exchange: s.exchange}
	t.Cleanup(s.client.Close)
	return s
}

func (s *sender) exchange(model.RequestID) *proxy.Exchange {
	x := &proxy.Exchange{
		Method: http.MethodGet, Host: "a.example", URI: "/x/1?q=a%20b", Tag: s.tag,
		Headers: http.Header{"Tag": {s.tag}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "Wait": {"9999"}},
	}
	if s.portion != "" {
		x.Headers.Set("Comfreypulley-Portion", s.portion)
	}
	return x
}

func (s *sender) send(u *upstream, timeout time.Duration) event.Body {
	s.next++
	s.client.Forward(effect.Forward{
		Attempt: s.next, Request: 1, Upstream: "u1", Addr: u.listener.Addr().(*net.TCPAddr).AddrPort(), Timeout: timeout,
		IdleTimeout: s.keep,
	})
	select {
	case end := <-s.ends:
		return end
	case <-time.After(5 * time.Second):
		s.t.Fatal("got no end of the attempt")
		return nil
	}
}

// Guards against idle connections that are thrown away once the deadline of
// their last request has passed: three quarters of them were.
func TestConnectionOutlivesDeadline(t *testing.T) {
	u := newUpstream(t, ok("t", "one"), ok("t", "two"))
	s := newSender(t)
	for _, want := range []string{"one", "two"} {
		got, isReturned := s.send(u, 60*time.Millisecond).(event.ResponseReceived)
		if !isReturned || string(got.Response.Body) != want {
			t.Fatalf("got %+v, want the answer %q", got, want)
		}
		timer := time.NewTimer(150 * time.Millisecond)
		<-timer.C
	}
	if got := len(u.conns); got != 1 {
		t.Errorf("got %d connections, want 1", got)
	}
}

// Guards against connections that take up an upstream's limit while nobody uses
// them: the upstream has to see their end.
func TestConnectionClosesAfterItsIdleTime(t *testing.T) {
	u := newUpstream(t, ok("t", "one"))
	s := newSender(t)
	s.keep = 50 * time.Millisecond
	s.send(u, time.Second)
	select {
	case <-u.ended:
	case <-time.After(5 * time.Second):
		t.Error("the connection is open 5s after its idle time of 50ms")
	}
}

// Guards against an answer that belongs to another request: one that comes late
// on an idle connection, and one where the next answer is expected.
func TestAnswerOfAnotherRequest(t *testing.T) {
	u := newUpstream(t, ok("t", "one")+ok("t", "late"), ok("other", "wrong"), ok("t", "two"))
	s := newSender(t)
	if got, isReturned := s.send(u, time.Second).(event.ResponseReceived); !isReturned || string(got.Response.Body) != "one" {
		t.Fatalf("got %+v, want the first answer", got)
	}
	if got, isFailed := s.send(u, time.Second).(event.AttemptFailed); !isFailed || got.Reason != model.FailedInvalid || got.Ran != model.RanUnknown {
		t.Fatalf("got %+v, want a failure as invalid, ran unknown", got)
	}
	if got, isReturned := s.send(u, time.Second).(event.ResponseReceived); !isReturned || string(got.Response.Body) != "two" {
		t.Fatalf("got %+v, want the last answer", got)
	}
	if got := len(u.conns); got != 3 {
		t.Errorf("got %d connections, want a new one after each spoilt one", got)
	}
}

// Guards against answers that pass for complete though they are not.
func TestBrokenAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"closed":       "",
		"short header": "HTTP/1.1 200 OK\r\nRec",
		"short body":   "HTTP/1.1 200 OK\r\nReceipt: r\r\nContent-Length: 10\r\nConnection: close\r\n\r\nabc",
		"short chunk":  "HTTP/1.1 200 OK\r\nReceipt: r\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"no answer":    "nonsense\r\n\r\n",
		"encoded":      "HTTP/1.1 200 OK\r\nReceipt: r\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\na",
	} {
		u := newUpstream(t, text)
		s := newSender(t)
		if got, isFailed := s.send(u, 200*time.Millisecond).(event.AttemptFailed); !isFailed || got.Ran != model.RanUnknown {
			t.Errorf("%s: got %+v, want a failure, ran unknown", name, got)
		}
	}
}

// Guards against a request that reaches the upstream changed.
func TestRequestPassesUnchanged(t *testing.T) {
	u := newUpstream(t, ok("t", ""))
	s := newSender(t)
	s.send(u, time.Second)
	if got, want := <-u.requests, "GET /x/1?q=a%20b a.example u1"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// Guards against a failed connection that counts as a request that may have run.
func TestRefusedConnection(t *testing.T) {
	u := newUpstream(t)
	u.listener.Close()
	if got, isFailed := newSender(t).send(u, time.Second).(event.AttemptFailed); !isFailed || got.Reason != model.FailedRefused || got.Ran != model.RanNo {
		t.Errorf("got %+v, want refused, ran no", got)
	}
}

// Guards against upstreams that go on working after the attempt was cancelled.
func TestCancelClosesConnection(t *testing.T) {
	u := newUpstream(t)
	s := newSender(t)
	s.client.Forward(effect.Forward{
		Attempt: 1, Request: 1, Upstream: "u1", Addr: u.listener.Addr().(*net.TCPAddr).AddrPort(), Timeout: 10 * time.Second,
	})
	<-u.requests
	s.client.Cancel(effect.Cancel{Attempt: 1})
	if got, isFailed := (<-s.ends).(event.AttemptFailed); !isFailed || got.Reason != model.FailedCancelled {
		t.Errorf("got %+v, want cancelled", got)
	}
}

// Guards against a request that is read while the server leaves and never
// answered: it is refused as not run, and those in hand are waited for.
func TestRefuseWhileLeaving(t *testing.T) {
	posted := make(chan event.Body, 10)
	s := &proxy.Server{Dialect: dialect, Post: func(b event.Body) { posted <- b }}
	first := httptest.NewRecorder()
	done := make(chan struct{})
	r := &requester{server: s, w: first, done: done}
	go r.run()
	call := (<-posted).(event.ProxyRequest)
	s.Leave()
	idle := s.Refuse()
	second := httptest.NewRecorder()
	s.ServeHTTP(second, httptest.NewRequest(http.MethodGet, "/x/2", http.NoBody))
	if second.Code != http.StatusServiceUnavailable || second.Header().Get("Retry-After") == "" {
		t.Errorf("got status %d, want 503 with Retry-After", second.Code)
	}
	select {
	case <-idle:
		t.Fatal("the server is idle with a request in hand")
	default:
	}
	s.Finish(call.ID, effect.SendResponse{Request: call.ID, Response: model.Response{Status: 200, Body: []byte("whole")}})
	<-done
	<-idle
	if got := first.Body.String(); first.Code != http.StatusOK || !strings.HasPrefix(got, "whole") {
		t.Errorf("got %d %q for the request in hand, want its answer", first.Code, got)
	}
}

type requester struct {
	server *proxy.Server
	w      http.ResponseWriter
	done   chan struct{}
}

func (r *requester) run() {
	defer close(r.done)
	r.server.ServeHTTP(r.w, httptest.NewRequest(http.MethodGet, "/x/1", http.NoBody))
}

// Guards against a first request of a connection that is taken for a later one,
// or the other way round.
func TestFirstRequestOfAConnection(t *testing.T) {
	calls := make(chan event.ProxyRequest, 10)
	s := &proxy.Server{Dialect: dialect}
	s.Post = func(b event.Body) {
		if c, ok := b.(event.ProxyRequest); ok {
			calls <- c
			s.Finish(c.ID, effect.SendResponse{Request: c.ID, Response: model.Response{Status: http.StatusOK}})
		}
	}
	s.SetReady(true)
	web := httptest.NewUnstartedServer(s)
	web.Config.ConnContext = proxy.ConnContext
	web.Start()
	defer web.Close()
	for _, want := range []bool{true, false} {
		r, err := http.Get(web.URL)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			t.Fatal(err)
		}
		r.Body.Close()
		if got := (<-calls).NewConn; got != want {
			t.Errorf("got first request %t, want %t", got, want)
		}
	}
}
