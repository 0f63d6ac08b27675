package dialer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// repeatingUpstream sends its response to the first request on a connection once
// more when the second request arrives there.
type repeatingUpstream struct{ listener net.Listener }

func newRepeatingUpstream(t *testing.T) *repeatingUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	u := &repeatingUpstream{listener: l}
	go u.run()
	return u
}

func (u *repeatingUpstream) addr() netip.AddrPort { return addrOf(u.listener) }

func (u *repeatingUpstream) run() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		c := &repeatingConn{conn: conn}
		go c.run()
	}
}

type repeatingConn struct{ conn net.Conn }

func (c *repeatingConn) run() {
	defer c.conn.Close()
	r := bufio.NewReader(c.conn)
	first := ""
	for n := 1; ; n++ {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		body := fmt.Sprintf(`{"version":1,"shards":1,"shard":0,"items":[{"id":%q}]}`, request.Header.Get("Attempt"))
		if request.URL.Path == "/v1/report" {
			body = `{"state":"ready","slots":7}`
		}
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt: %s\r\nContent-Length: %d\r\n\r\n%s", request.Header.Get("Attempt"), len(body), body)
		if n == 1 {
			first = response
		} else {
			response = first + response
		}
		if _, err := c.conn.Write([]byte(response)); err != nil {
			return
		}
	}
}

// Guards against a late second copy of an answer that is taken for the answer to
// the next request on the connection, and against all answers on the connection
// being shifted by one from then on.
func TestSecondCopyOfAnAnswer(t *testing.T) {
	u := newRepeatingUpstream(t)
	d, events := newDialer(t, u.addr())
	answered := 0
	for id := range model.AttemptID(6) {
		d.Send(send(id+1, u.addr()))
		switch result := (<-events).(type) {
		case event.AnswerReceived:
			answered++
			if got, want := result.Items[0].ID, fmt.Sprint(id+1); got != want {
				t.Errorf("got the answer to attempt %s, want that to attempt %s", got, want)
			}
		case event.AttemptFailed:
			if got, want := result.Reason, model.FailedInvalid; got != want {
				t.Errorf("got failure reason %q, want %q", got, want)
			}
		}
	}
	if want := 3; answered < want {
		t.Errorf("got %d answers, want at least %d", answered, want)
	}
}

// Guards against a late second copy of an answer that is taken for the report of an
// upstream.
func TestSecondCopyInsteadOfAReport(t *testing.T) {
	u := newRepeatingUpstream(t)
	d, events := newDialer(t, u.addr())
	d.Send(send(1, u.addr()))
	<-events
	d.Probe(effect.Probe{Upstream: "u", Addr: u.addr(), Timeout: time.Second})
	if got := (<-events).(event.ProbeResult); got.Reachable && got.Load.Slots != 7 {
		t.Errorf("got report %+v, want the upstream's or none", got)
	}
}
