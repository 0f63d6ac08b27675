package proxy

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// byteConn is a connection on which the given bytes arrive before its end.
type byteConn struct {
	net.Conn
	bytes.Reader
}

func (c *byteConn) Read(b []byte) (int, error) { return c.Reader.Read(b) }
func (*byteConn) Write(b []byte) (int, error)  { return len(b), nil }
func (*byteConn) Close() error                 { return nil }
func (*byteConn) SetDeadline(time.Time) error  { return nil }
func newByteConn(b []byte) (c *byteConn)       { c = &byteConn{}; c.Reset(b); return c }

// Guards against a response of an upstream that panics the goroutine which reads it
// and so ends the process.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nR: r\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nab"), false)
	f.Add([]byte("HTTP/1.1 102 X\r\n\r\nHTTP/1.1 503 X\r\nRetry-After: 1.5\r\nL: 1,2,3\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"), false)
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\n\x84\xa6Pieces\xc0\xa7Records\xc0\xa4More\xc2\xa4Held\xc4\x01\x05"), true)
	f.Fuzz(func(t *testing.T, b []byte, portion bool) {
		client := &Client{HeaderNames: &HeaderNames{RequestID: "T", Receipt: "R", NotRun: "N", Load: "L"}, Post: func(event.Body) {}}
		a := &attempt{client: client, request: &CallerRequest{Method: http.MethodGet, ID: "t"}, forward: effect.Forward{Attempt: 1}}
		if portion {
			a.forward.Portion = &model.Portion{Shards: []int{0, 1}}
		}
		c := newConn(newByteConn(b), client, &pool{})
		result, _, err := a.readResponse(c)
		if err == nil && result == nil {
			t.Error("got neither a result nor an error")
		}
		if err != nil && a.failureReason(err) == "" {
			t.Errorf("got no failure reason for error %v", err)
		}
	})
}

// Guards against a frame of a portion that panics or allocates more than it holds.
func FuzzPortionFrame(f *testing.F) {
	f.Add([]byte("\x83\xa6Pieces\x91\x84\xa3Leg\x01\xa7Receipt\xa1r\xa5Tried\xa1u\xa4Open\xc3\xa7Records\xc4\x01x\xa4More\xc3"))
	f.Fuzz(func(_ *testing.T, b []byte) {
		r := bufio.NewReader(bytes.NewReader(b))
		for {
			if _, err := readPortionFrame(r); err != nil {
				return
			}
		}
	})
}

// Guards against a portion header that panics or changes its meaning.
func FuzzPortionHeader(f *testing.F) {
	f.Add("7;0;3;17")
	f.Fuzz(func(t *testing.T, text string) {
		p, err := parsePortion(text)
		if err != nil {
			return
		}
		again, err := parsePortion(formatPortion(p))
		if err != nil || again.DocumentVersion != p.DocumentVersion || len(again.Shards) != len(p.Shards) {
			t.Errorf("got %+v, %v after formatting %+v", again, err, p)
		}
	})
}

// Guards against headers between VMs that panic or change their meaning, and against a
// refusal that claims more than it says.
func FuzzHandoverHeaders(f *testing.F) {
	f.Add("7;2", "unreachable;no", "0.25")
	f.Add("18446744073709551616;1", "odd;no", "1e400")
	f.Add("1;-9223372036854775808", "timeout;", "-1")
	f.Fuzz(func(t *testing.T, handover, refusal, retryAfter string) {
		if h, err := parseHandover(handover); err == nil {
			if again, err := parseHandover(formatHandover(h)); err != nil || *again != *h || h.MaxAttempts < 1 {
				t.Errorf("got %+v, %v after formatting %+v", again, err, h)
			}
		}
		r := parseRefusal(http.Header{refusalHeader: {refusal}, "Retry-After": {retryAfter}})
		if r != nil && (r.RetryAfter < 0 || r.Ran == model.RanNo && !strings.HasSuffix(refusal, ";no")) {
			t.Errorf("got %+v from %q with Retry-After %q", r, refusal, retryAfter)
		}
	})
}
