package dialer_test

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/io/dialer"
)

// newDialer returns a dialer for one upstream, with a limit of one connection,
// and the events that it posts.
func newDialer(t *testing.T, addr netip.AddrPort) (*dialer.Dialer, chan event.Body) {
	t.Helper()
	events := make(chan event.Body, 16)
	d := &dialer.Dialer{Post: func(body event.Body) { events <- body }, RequestIDPrefix: "vm"}
	t.Cleanup(d.Close)
	d.LimitConns(effect.LimitConns{Upstream: "u", Addr: addr, Conns: 1})
	return d, events
}

func send(attempt model.AttemptID, addr netip.AddrPort) effect.Send {
	return effect.Send{
		Attempt: attempt, Request: 1, AttemptNumber: 1, Upstream: "u", Addr: addr, Index: "pairing", Version: 1,
		Body: []byte("{}"), Timeout: 10 * time.Second, Key: model.NewKey(time.Unix(1_700_000_000, 0), [10]byte{1}),
	}
}

func addrOf(l net.Listener) netip.AddrPort {
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// Guards against a request that runs twice: http.Transport must not resend a
// request with an Idempotency-Key when a reused connection breaks.
func TestBrokenConnectionIsNotRepeated(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var requests atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) == 1 {
			_, _ = w.Write([]byte(`{"version":1,"shards":1,"shard":0,"items":[]}`))
			return
		}
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	d, events := newDialer(t, addrOf(l))

	d.Send(send(1, addrOf(l)))
	if _, ok := (<-events).(event.AnswerReceived); !ok {
		t.Fatal("the first attempt was not answered")
	}
	d.Send(send(2, addrOf(l)))
	failed, ok := (<-events).(event.AttemptFailed)
	if !ok {
		t.Fatal("the second attempt did not fail")
	}
	if got, want := failed.Reason, model.FailedReset; got != want {
		t.Errorf("got reason %s, want %s", got, want)
	}
	if got, want := failed.Ran, model.RanUnknown; got != want {
		t.Errorf("got ran %v, want %v", got, want)
	}
	if got, want := requests.Load(), int64(2); got != want {
		t.Errorf("got %d requests at the upstream, want %d", got, want)
	}
}

// Guards against reporting an unknown outcome when nothing was sent: a refused
// connection proves that the request did not run.
func TestRefusedConnectionDidNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := addrOf(l)
	_ = l.Close()
	d, events := newDialer(t, addr)
	d.Send(send(1, addr))
	failed, ok := (<-events).(event.AttemptFailed)
	if !ok {
		t.Fatal("the attempt did not fail")
	}
	if got, want := failed.Ran, model.RanNo; got != want {
		t.Errorf("got ran %v, want %v", got, want)
	}
	if got, want := failed.Reason, model.FailedRefused; got != want {
		t.Errorf("got reason %s, want %s", got, want)
	}
}

// Guards against an attempt that never ends after it was cancelled.
func TestCancelEndsAttempt(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	arrived := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
	}), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	d, events := newDialer(t, addrOf(l))
	d.Send(send(1, addrOf(l)))
	<-arrived
	d.Cancel(effect.Cancel{Attempt: 1})
	failed, ok := (<-events).(event.AttemptFailed)
	if !ok {
		t.Fatal("the attempt did not fail")
	}
	if got, want := failed.Reason, model.FailedCancelled; got != want {
		t.Errorf("got reason %s, want %s", got, want)
	}
}

// Guards against connections from another source address than the configured
// one: the network in front of the upstreams may distinguish VMs by it.
func TestConnectionsUseLocalAddr(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	events := make(chan event.Body, 1)
	d := &dialer.Dialer{Post: func(body event.Body) { events <- body }, LocalAddr: netip.MustParseAddr("127.0.2.7")}
	t.Cleanup(d.Close)
	d.LimitConns(effect.LimitConns{Upstream: "u", Addr: addrOf(l), Conns: 1})
	d.Send(send(1, addrOf(l)))
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if got, want := conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr(), d.LocalAddr; got != want {
		t.Errorf("connected from %v, want %v", got, want)
	}
}

// Guards against more connections than an upstream accepts: it counts the
// connection of a cancelled attempt until it has closed its own end.
func TestCancelledConnectionCountsUntilClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	d, events := newDialer(t, addrOf(l))
	d.Send(send(1, addrOf(l)))
	first, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	// Before the first byte, cancelling the attempt may leave the connection
	// open.
	if _, err := first.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	var closed atomic.Bool
	early := make(chan bool)
	go func() {
		second, err := l.Accept()
		isEarly := !closed.Load()
		if err == nil {
			_ = second.Close()
		}
		early <- isEarly
	}()
	d.Cancel(effect.Cancel{Attempt: 1})
	<-events
	d.Send(send(2, addrOf(l)))
	if _, err := io.Copy(io.Discard, first); err != nil {
		t.Fatal(err)
	}
	<-time.After(50 * time.Millisecond) // an upstream that is slow to close
	closed.Store(true)
	_ = first.Close()
	if <-early {
		t.Error("got a second connection before the upstream closed the first, want at most one")
	}
}

// Guards against connections of a replaced pool that stay open and count towards
// the limit, and against a data race on the pool while attempts use it.
func TestChangedLimitClosesTheOldPool(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	arrived, answer, closed := make(chan struct{}), make(chan struct{}), make(chan struct{})
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(arrived)
			<-answer
			_, _ = w.Write([]byte(`{"version":1,"shards":1,"shard":0,"items":[]}`))
		}),
		ReadHeaderTimeout: time.Second,
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				close(closed)
			}
		},
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	d, events := newDialer(t, addrOf(l))
	d.Send(send(1, addrOf(l)))
	<-arrived
	d.LimitConns(effect.LimitConns{Upstream: "u", Addr: addrOf(l), Conns: 2})
	close(answer)
	if _, ok := (<-events).(event.AnswerReceived); !ok {
		t.Error("the attempt was not answered on the old pool")
	}
	<-closed
}
