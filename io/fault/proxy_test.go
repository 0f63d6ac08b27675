package fault

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const maxWait = 20 * time.Second // limits the wait for events that must occur

// echoServer sends back the bytes that it receives, and counts them.
type echoServer struct {
	listener *net.TCPListener
	received atomic.Int64
}

func (e *echoServer) acceptLoop() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.run(c)
	}
}

func (e *echoServer) run(c net.Conn) {
	defer c.Close()
	chunk := make([]byte, 4096)
	for {
		n, err := c.Read(chunk)
		e.received.Add(int64(n))
		if err != nil {
			return
		}
		if _, err := c.Write(chunk[:n]); err != nil {
			return
		}
	}
}

// proxyRun runs a proxy in the background.
type proxyRun struct {
	proxy *Proxy
	ended chan error
}

func (r *proxyRun) run() {
	r.ended <- r.proxy.Run()
}

// backgroundWriter writes bytes while the test reads them back.
type backgroundWriter struct {
	conn  net.Conn
	bytes []byte
}

func (s *backgroundWriter) run() {
	// After a failed write, the test finds bytes missing.
	_, _ = s.conn.Write(s.bytes)
}

func startProxy(t *testing.T) (*Proxy, *echoServer) {
	t.Helper()
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(anyPort))
	if err != nil {
		t.Fatal(err)
	}
	e := &echoServer{listener: l}
	go e.acceptLoop()
	p, err := Listen(anyPort, l.Addr().(*net.TCPAddr).AddrPort(), 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &proxyRun{proxy: p, ended: make(chan error, 1)}
	go r.run()
	t.Cleanup(func() {
		p.Close()
		if err := <-r.ended; err != nil {
			t.Errorf("Run: %v", err)
		}
		_ = l.Close()
	})
	return p, e
}

func dialProxy(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	return dialProxyFrom(t, p, "127.0.0.1")
}

func dialProxyFrom(t *testing.T, p *Proxy, source string) net.Conn {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	c, err := d.Dial("tcp", p.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(maxWait)); err != nil {
		t.Fatal(err)
	}
	return c
}

func setRules(t *testing.T, p *Proxy, r Rules) {
	t.Helper()
	if err := p.SetRules(r); err != nil {
		t.Fatal(err)
	}
}

// Guards against split writes and delays that lose, repeat or reorder bytes.
func TestLatePiecesKeepTheStream(t *testing.T) {
	p, _ := startProxy(t)
	stream := StreamRules{Delay: 2 * time.Millisecond, Jitter: 3 * time.Millisecond, Pieces: 7, PieceGap: 100 * time.Microsecond}
	setRules(t, p, Rules{MaxConnDelay: time.Millisecond, Up: stream, Down: stream})
	c := dialProxy(t, p)
	want := bytes.Repeat([]byte("0123456789abcdef"), 2000)
	go (&backgroundWriter{conn: c, bytes: want}).run()
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c, got); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Error("the echoed stream differs from the one sent")
	}
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(got); !errors.Is(err, io.EOF) {
		t.Errorf("after the end of the stream got %d bytes and %v, want EOF", n, err)
	}
}

// Guards against a partition that forwards bytes of open or new connections, or
// that has lost them when it ends.
func TestCutHoldsOpenAndNewConnections(t *testing.T) {
	p, e := startProxy(t)
	before := dialProxy(t, p)
	sendAndExpect(t, before, "one")
	setRules(t, p, Rules{Cut: true})
	after := dialProxy(t, p)
	for _, c := range []net.Conn{before, after} {
		if _, err := c.Write([]byte("two")); err != nil {
			t.Fatal(err)
		}
	}
	if got := e.received.Load(); got != 3 {
		t.Errorf("target read %d bytes during the partition, want the 3 from before it", got)
	}
	setRules(t, p, Rules{})
	for _, c := range []net.Conn{before, after} {
		expectBytes(t, c, "two")
	}
}

// Guards against rules of one source that affect connections from another, or that
// still hold back waiting bytes after their removal.
func TestSourceRulesHoldForTheirSourceOnly(t *testing.T) {
	p, e := startProxy(t)
	cut, stalled, unaffected := dialProxyFrom(t, p, "127.0.1.1"), dialProxyFrom(t, p, "127.0.2.1"), dialProxyFrom(t, p, "127.0.3.1")
	for _, c := range []net.Conn{cut, stalled, unaffected} {
		sendAndExpect(t, c, "one")
	}
	setRules(t, p, Rules{Sources: []SourceRules{
		{Prefix: netip.MustParsePrefix("127.0.1.0/24"), Cut: true},
		{Prefix: netip.MustParsePrefix("127.0.2.0/24"), Stall: true, Delay: time.Millisecond},
	}})
	cutLater := dialProxyFrom(t, p, "127.0.1.2")
	for _, c := range []net.Conn{cut, stalled, cutLater} {
		if _, err := c.Write([]byte("two")); err != nil {
			t.Fatal(err)
		}
	}
	sendAndExpect(t, unaffected, "two")
	if got := e.received.Load(); got != 12 {
		t.Errorf("target read %d bytes, want the 9 from before the rules and the 3 of the unaffected source", got)
	}
	setRules(t, p, Rules{})
	for _, c := range []net.Conn{cut, stalled, cutLater} {
		expectBytes(t, c, "two")
	}
}

func sendAndExpect(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	expectBytes(t, c, text)
}

func expectBytes(t *testing.T, c net.Conn, want string) {
	t.Helper()
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != want {
		t.Fatalf("got %q and %v, want %q", got, err, want)
	}
}

// Guards against a reset or a refused connection that the client does not notice.
func TestResetEndsOpenConnections(t *testing.T) {
	p, _ := startProxy(t)
	c := dialProxy(t, p)
	sendAndExpect(t, c, "one")
	p.ResetConns()
	if n, err := c.Read(make([]byte, 1)); err == nil {
		t.Errorf("read %d bytes after the reset, want an error", n)
	}
	setRules(t, p, Rules{Refuse: true})
	refused, err := net.Dial("tcp", p.Addr().String())
	if err == nil {
		_ = refused.SetDeadline(time.Now().Add(maxWait))
		_, err = refused.Read(make([]byte, 1))
		_ = refused.Close()
	}
	if err == nil {
		t.Error("read a byte from a refused connection, want an error")
	}
}

// Guards against loss in one direction that also affects the other one, or that
// continues a stream after lost bytes.
func TestLossInOneDirection(t *testing.T) {
	p, e := startProxy(t)
	c := dialProxy(t, p)
	sendAndExpect(t, c, "one")
	setRules(t, p, Rules{Down: StreamRules{Drop: true}})
	if _, err := c.Write([]byte("two")); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(maxWait); e.received.Load() < 6; {
		if time.Now().After(deadline) {
			t.Fatalf("target read %d bytes, want 6", e.received.Load())
		}
		<-time.After(time.Millisecond)
	}
	setRules(t, p, Rules{})
	// The answer may have been in transit when the loss ended.
	got, err := io.ReadAll(c)
	if err == nil || (len(got) > 0 && string(got) != "two") {
		if string(got) != "two" {
			t.Errorf("got %q and %v, want a reset or the whole answer", got, err)
		}
	}
}

// Guards against invalid rules that are accepted.
func TestControlRefusesBadRules(t *testing.T) {
	p, _ := startProxy(t)
	control := &Control{Proxy: p}
	for _, body := range []string{`{`, `{"cuts":true}`, `{"up":{"delay":"fast"}}`, `{"up":{"delay":"-1s"}}`, `{"down":{"pieces":-1}}`, `{"sources":[{"cut":true}]}`, `{"sources":[{"from":"127.0.0.0/40"}]}`} {
		w := httptest.NewRecorder()
		control.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/rules", strings.NewReader(body)))
		if w.Code != http.StatusBadRequest {
			t.Errorf("rules %s: status %d, want 400", body, w.Code)
		}
	}
	if got := p.Rules(); !reflect.DeepEqual(got, Rules{}) {
		t.Errorf("rules are %+v after invalid ones, want none", got)
	}
	w := httptest.NewRecorder()
	control.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/rules", strings.NewReader(`{"cut":true,"down":{"delay":"5ms"},"sources":[{"from":"127.0.2.0/24","cut":true,"delay":"1ms"}]}`)))
	want := Rules{
		Cut: true, Down: StreamRules{Delay: 5 * time.Millisecond},
		Sources: []SourceRules{{Prefix: netip.MustParsePrefix("127.0.2.0/24"), Cut: true, Delay: time.Millisecond}},
	}
	if got := p.Rules(); !reflect.DeepEqual(got, want) {
		t.Errorf("rules are %+v, want %+v", got, want)
	}
}
