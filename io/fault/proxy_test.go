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

const patience = 20 * time.Second // for events that always come

// echo sends back what it reads, and counts it.
type echo struct {
	listener *net.TCPListener
	read     atomic.Int64
}

func (e *echo) loop() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.run(c)
	}
}

func (e *echo) run(c net.Conn) {
	defer c.Close()
	chunk := make([]byte, 4096)
	for {
		n, err := c.Read(chunk)
		e.read.Add(int64(n))
		if err != nil {
			return
		}
		if _, err := c.Write(chunk[:n]); err != nil {
			return
		}
	}
}

// running is a proxy that forwards.
type running struct {
	proxy *Proxy
	ended chan error
}

func (r *running) run() {
	r.ended <- r.proxy.Run()
}

// sender writes bytes while its test reads them back.
type sender struct {
	conn  net.Conn
	bytes []byte
}

func (s *sender) run() {
	// The test sees a failed write as missing bytes.
	_, _ = s.conn.Write(s.bytes)
}

func start(t *testing.T) (*Proxy, *echo) {
	t.Helper()
	any4 := netip.MustParseAddrPort("127.0.0.1:0")
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(any4))
	if err != nil {
		t.Fatal(err)
	}
	e := &echo{listener: l}
	go e.loop()
	p, err := Listen(any4, l.Addr().(*net.TCPAddr).AddrPort(), 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &running{proxy: p, ended: make(chan error, 1)}
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

func connect(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	return connectFrom(t, p, "127.0.0.1")
}

func connectFrom(t *testing.T, p *Proxy, source string) net.Conn {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	c, err := d.Dial("tcp", p.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	return c
}

func set(t *testing.T, p *Proxy, r Rules) {
	t.Helper()
	if err := p.Set(r); err != nil {
		t.Fatal(err)
	}
}

// Guards against pieces and delays that lose, repeat or reorder bytes.
func TestLatePiecesKeepTheStream(t *testing.T) {
	p, _ := start(t)
	flow := Flow{Delay: 2 * time.Millisecond, Jitter: 3 * time.Millisecond, Pieces: 7, Gap: 100 * time.Microsecond}
	set(t, p, Rules{Skew: time.Millisecond, Up: flow, Down: flow})
	c := connect(t, p)
	want := bytes.Repeat([]byte("0123456789abcdef"), 2000)
	go (&sender{conn: c, bytes: want}).run()
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

// Guards against a partition that lets bytes of open or new connections pass,
// or that loses them when it heals.
func TestCutHoldsOpenAndNewConnections(t *testing.T) {
	p, e := start(t)
	before := connect(t, p)
	exchange(t, before, "one")
	set(t, p, Rules{Cut: true})
	after := connect(t, p)
	for _, c := range []net.Conn{before, after} {
		if _, err := c.Write([]byte("two")); err != nil {
			t.Fatal(err)
		}
	}
	if got := e.read.Load(); got != 3 {
		t.Errorf("target read %d bytes during the partition, want the 3 from before it", got)
	}
	set(t, p, Rules{})
	for _, c := range []net.Conn{before, after} {
		expect(t, c, "two")
	}
}

// Guards against rules of one source that reach the connections of another, or
// that are not lifted for the bytes that wait.
func TestSourceRulesHoldForTheirSourceOnly(t *testing.T) {
	p, e := start(t)
	cut, stalled, free := connectFrom(t, p, "127.0.1.1"), connectFrom(t, p, "127.0.2.1"), connectFrom(t, p, "127.0.3.1")
	for _, c := range []net.Conn{cut, stalled, free} {
		exchange(t, c, "one")
	}
	set(t, p, Rules{Sources: []Source{
		{From: netip.MustParsePrefix("127.0.1.0/24"), Cut: true},
		{From: netip.MustParsePrefix("127.0.2.0/24"), Stall: true, Delay: time.Millisecond},
	}})
	later := connectFrom(t, p, "127.0.1.2")
	for _, c := range []net.Conn{cut, stalled, later} {
		if _, err := c.Write([]byte("two")); err != nil {
			t.Fatal(err)
		}
	}
	exchange(t, free, "two")
	if got := e.read.Load(); got != 12 {
		t.Errorf("target read %d bytes, want the 9 from before the rules and the 3 of the free source", got)
	}
	set(t, p, Rules{})
	for _, c := range []net.Conn{cut, stalled, later} {
		expect(t, c, "two")
	}
}

func exchange(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	expect(t, c, text)
}

func expect(t *testing.T, c net.Conn, want string) {
	t.Helper()
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != want {
		t.Fatalf("got %q and %v, want %q", got, err, want)
	}
}

// Guards against a reset or refusal that the client cannot see.
func TestResetEndsOpenConnections(t *testing.T) {
	p, _ := start(t)
	c := connect(t, p)
	exchange(t, c, "one")
	p.Reset()
	if n, err := c.Read(make([]byte, 1)); err == nil {
		t.Errorf("read %d bytes after the reset, want an error", n)
	}
	set(t, p, Rules{Refuse: true})
	refused, err := net.Dial("tcp", p.Addr().String())
	if err == nil {
		_ = refused.SetDeadline(time.Now().Add(patience))
		_, err = refused.Read(make([]byte, 1))
		_ = refused.Close()
	}
	if err == nil {
		t.Error("a refused connection gave bytes, want an error")
	}
}

// Guards against one-way loss that also loses the other direction, or that
// resumes a stream with a gap.
func TestLossInOneDirection(t *testing.T) {
	p, e := start(t)
	c := connect(t, p)
	exchange(t, c, "one")
	set(t, p, Rules{Down: Flow{Lose: true}})
	if _, err := c.Write([]byte("two")); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(patience); e.read.Load() < 6; {
		if time.Now().After(deadline) {
			t.Fatalf("target read %d bytes, want 6", e.read.Load())
		}
		<-time.After(time.Millisecond)
	}
	set(t, p, Rules{})
	// The answer may still have been on its way when the loss ended.
	got, err := io.ReadAll(c)
	if err == nil || (len(got) > 0 && string(got) != "two") {
		if string(got) != "two" {
			t.Errorf("got %q and %v, want a reset or the whole answer", got, err)
		}
	}
}

// Guards against rules that are taken over although they cannot be used.
func TestControlRefusesBadRules(t *testing.T) {
	p, _ := start(t)
	control := &Control{Proxy: p}
	for _, body := range []string{`{`, `{"cuts":true}`, `{"up":{"delay":"fast"}}`, `{"up":{"delay":"-1s"}}`, `{"down":{"pieces":-1}}`, `{"sources":[{"cut":true}]}`, `{"sources":[{"from":"127.0.0.0/40"}]}`} {
		w := httptest.NewRecorder()
		control.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/rules", strings.NewReader(body)))
		if w.Code != http.StatusBadRequest {
			t.Errorf("rules %s: status %d, want 400", body, w.Code)
		}
	}
	if got := p.Rules(); !reflect.DeepEqual(got, Rules{}) {
		t.Errorf("rules are %+v after bad ones, want none", got)
	}
	w := httptest.NewRecorder()
	control.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/rules", strings.NewReader(`{"cut":true,"down":{"delay":"5ms"},"sources":[{"from":"127.0.2.0/24","cut":true,"delay":"1ms"}]}`)))
	want := Rules{
		Cut: true, Down: Flow{Delay: 5 * time.Millisecond},
		Sources: []Source{{From: netip.MustParsePrefix("127.0.2.0/24"), Cut: true, Delay: time.Millisecond}},
	}
	if got := p.Rules(); !reflect.DeepEqual(got, want) {
		t.Errorf("rules are %+v, want %+v", got, want)
	}
}
