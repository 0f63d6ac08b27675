package dialer_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/io/dialer"
)

// endlessHandler answers a request with a prefix and then with one text over and over,
// until the client closes the connection. ATTEMPT in the prefix stands for the number of
// the attempt.
type endlessHandler struct {
	prefix, repeated string
	closed           chan int // receives the bytes sent on a connection when a client closed it
}

func (h *endlessHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	sent := 0
	_, err = conn.Write([]byte(strings.ReplaceAll(h.prefix, "ATTEMPT", r.Header.Get("Attempt"))))
	const blockBytes = 16 << 10
	for block := []byte(strings.Repeat(h.repeated, max(1, blockBytes/len(h.repeated)))); err == nil; {
		n, writeErr := conn.Write(block)
		sent, err = sent+n, writeErr
	}
	h.closed <- sent
}

// Guards against an upstream of the own protocol that sends bytes without end: reading them
// must fail at once and within bounded memory, and the connection must be closed and not
// be read any longer, for attempts and for probes.
func TestEndlessAnswers(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nAttempt: ATTEMPT\r\n"
	for _, c := range []struct{ name, prefix, repeated string }{
		{"no response", "", "x"},
		{"status line", "HTTP/1.1 200 ", "O"},
		{"header line", answer + "A: ", "b"},
		{"header lines", answer, "a: b\r\n"},
		{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"body until close", answer + "\r\n", "b"},
		{"answer until close", answer + "\r\n{\"version\":1,\"shards\":1,\"items\":[", "{},"},
		{"chunks", answer + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbbbb\r\n"},
		{"chunk extension", answer + "Transfer-Encoding: chunked\r\n\r\n4;", "b"},
		{"trailer", answer + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n"},
		{"length above the limit", answer + "Content-Length: 99999999999\r\n\r\n", "b"},
		{"refusal", "HTTP/1.1 503 Service Unavailable\r\nAttempt: ATTEMPT\r\n\r\n", "b"},
		{"another attempt", "HTTP/1.1 200 OK\r\nAttempt: 0\r\n\r\n", "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := &endlessHandler{prefix: c.prefix, repeated: c.repeated, closed: make(chan int, 2*endlessAttempts)}
			server := httptest.NewServer(h)
			defer server.Close()
			h.testFailureAtOnce(t, addrOf(server.Listener))
			h.testResources(t, addrOf(server.Listener))
		})
	}
}

const (
	endlessAttempts = 50
	endlessTimeout  = 10 * time.Second
)

// testFailureAtOnce checks that the failure of an attempt is known in a tenth of its
// time, so that another upstream can be tried.
func (h *endlessHandler) testFailureAtOnce(t *testing.T, addr netip.AddrPort) {
	d, events := newDialer(t, addr)
	start := time.Now()
	d.Send(send(1, addr))
	if result, ok := (<-events).(event.AttemptFailed); !ok {
		t.Errorf("got %T, want a failed attempt", result)
	}
	if got, want := time.Since(start), endlessTimeout/10; got > want {
		t.Errorf("got the failure after %v, want it within %v", got, want)
	}
	<-h.closed
}

// testResources checks what many attempts and probes at once take of the memory, and how
// much is read of each connection.
func (h *endlessHandler) testResources(t *testing.T, addr netip.AddrPort) {
	const (
		maxHeap = 64 << 20
		maxSent = 16 << 20 // bytes on a connection: what the buffers of both sockets hold, and what is read before the failure
	)
	events := make(chan event.Body, 2*endlessAttempts)
	d := &dialer.Dialer{Post: func(b event.Body) { events <- b }, RequestIDPrefix: "vm"}
	defer d.Close()
	d.LimitConns(effect.LimitConns{Upstream: "u", Addr: addr, Conns: 2 * endlessAttempts})
	runtime.GC()
	for n := range endlessAttempts {
		d.Send(send(model.AttemptID(n+1), addr))
		d.Probe(effect.Probe{Upstream: "u", Addr: addr, Timeout: endlessTimeout})
	}
	var peak uint64
	for range 2 * endlessAttempts {
		switch result := (<-events).(type) {
		case event.AttemptFailed:
		case event.ProbeResult:
			if result.Reachable {
				t.Error("got a report, want none")
			}
		default:
			t.Errorf("got %T, want a failed attempt", result)
		}
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		peak = max(peak, stats.HeapInuse)
	}
	if peak > maxHeap {
		t.Errorf("got %d MiB of heap, want at most %d MiB", peak>>20, maxHeap>>20)
	}
	total := 0
	for range 2 * endlessAttempts {
		select {
		case sent := <-h.closed:
			total += sent
		case <-time.After(endlessTimeout):
			t.Fatal("got a connection that is still open, want each closed after its failure")
		}
	}
	if total > 2*endlessAttempts*maxSent {
		t.Errorf("got %d MiB sent until the connections were closed, want at most %d MiB", total>>20, 2*endlessAttempts*maxSent>>20)
	}
}
