package dialer

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// runAttempt sends one attempt to a server and returns the event that ends it. It
// cancels the attempt when it receives from read.
func runAttempt(t *testing.T, addr netip.AddrPort, read <-chan struct{}) event.Body {
	t.Helper()
	results := make(chan event.Body, 1)
	d := &Dialer{Post: func(b event.Body) { results <- b }, RequestIDPrefix: "vm0"}
	defer d.Close()
	d.LimitConns(effect.LimitConns{Upstream: "u1", Addr: addr, Conns: 1})
	d.Send(effect.Send{Attempt: 1, Upstream: "u1", Addr: addr, Index: "pairing", Version: 1, Body: []byte("q"), Timeout: 10 * time.Second})
	select {
	case result := <-results:
		return result
	case <-read:
		d.Cancel(effect.Cancel{Attempt: 1})
		return <-results
	}
}

func newServer(t *testing.T, handler http.HandlerFunc) netip.AddrPort {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return s.Listener.Addr().(*net.TCPAddr).AddrPort()
}

// Guards against taking a crash of the upstream for a refusal, and against
// reporting an attempt as not run that the upstream read before the connection
// broke.
func TestFailedAttempts(t *testing.T) {
	crash := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	})
	busy := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Ran", "no")
		w.Header().Set("Retry-After", "0.5")
		w.WriteHeader(http.StatusTooManyRequests)
	})
	read := make(chan struct{}, 1)
	hang := newServer(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		read <- struct{}{}
		<-r.Context().Done()
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := l.Addr().(*net.TCPAddr).AddrPort()
	_ = l.Close()
	for name, c := range map[string]struct {
		addr netip.AddrPort
		read chan struct{}
		want event.AttemptFailed
	}{
		"crash":  {crash, nil, event.AttemptFailed{Attempt: 1, Reason: model.FailedReset, Ran: model.RanUnknown, NewConn: true}},
		"closed": {closed, nil, event.AttemptFailed{Attempt: 1, Reason: model.FailedRefused, Ran: model.RanNo}},
		"busy":   {busy, nil, event.AttemptFailed{Attempt: 1, Reason: model.FailedShed, Ran: model.RanNo, RetryAfter: 500 * time.Millisecond, NewConn: true}},
		"hang":   {hang, read, event.AttemptFailed{Attempt: 1, Reason: model.FailedCancelled, Ran: model.RanUnknown, NewConn: true}},
	} {
		if got := runAttempt(t, c.addr, c.read); got != c.want {
			t.Errorf("%s: got %+v, want %+v", name, got, c.want)
		}
	}
}
