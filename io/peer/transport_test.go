package peer

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// side is a transport with its listener and what it posted.
type side struct {
	*Transport
	addr   netip.AddrPort
	posted chan event.Body
}

func newSide(t *testing.T, id model.VMID, keys Keys) *side {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &side{addr: l.Addr().(*net.TCPAddr).AddrPort(), posted: make(chan event.Body, 2*queueLength)}
	s.Transport = &Transport{
		Self: model.VM{ID: id, Zone: "a"}, Post: func(e event.Body) { s.posted <- e },
		Logger: &log.Logger{Handler: discard.Default}, Keys: keys,
	}
	if err = s.Reload(); err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return s
}

func (s *side) tell(to *side, m frame.Message) {
	s.Tell(effect.SendMessage{To: to.Self.ID, Addr: to.addr, Message: m})
}

// next returns the next posted event; the test's own time limit ends a wait for
// one that never comes.
func (s *side) next() event.Body { return <-s.posted }

// Guards against messages that are lost, changed or taken for another VM's on a
// healthy connection, long ones included.
func TestTransportExchanges(t *testing.T) {
	a, b := newSide(t, "a", Keys{}), newSide(t, "b", Keys{})
	for n := range uint64(100) {
		a.tell(b, frame.Ping{Seq: n})
	}
	for n := range uint64(100) {
		if got, want := b.next(), (event.PeerMessage{From: "a", Message: frame.Ping{Seq: n}}); got != event.Body(want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	}
	data := bytes.Repeat([]byte{1}, maxFrame+1)
	b.tell(a, frame.ProposeRequest{Command: entry.Settle{Outcome: entry.Outcome{Items: []model.Item{{Data: data}}}}})
	got := a.next().(event.PeerMessage).Message.(frame.ProposeRequest).Command.(entry.Settle).Outcome.Items[0].Data
	if !bytes.Equal(got, data) {
		t.Errorf("%d bytes arrived, want %d", len(got), len(data))
	}
	if got, want := b.Counters().Get(received).String(), "100"; got != want {
		t.Errorf("counted %s messages, want %s", got, want)
	}
}

// Guards against a lost VM that nobody hears of, and one that stays lost after
// its return.
func TestTransportReportsDown(t *testing.T) {
	a, b := newSide(t, "a", Keys{}), newSide(t, "b", Keys{})
	a.tell(b, frame.Ping{Seq: 1})
	b.next()
	b.Close()
	if got, want := a.next(), (event.PeerDown{VM: "b"}); got != event.Body(want) {
		t.Fatalf("got %v, want %v", got, want)
	}
	a.tell(b, frame.Ping{Seq: 2})
	if got, want := a.next(), (event.PeerDown{VM: "b"}); got != event.Body(want) {
		t.Fatalf("got %v, want %v", got, want)
	}
	again := newSide(t, "b", Keys{})
	a.tell(again, frame.Ping{Seq: 3})
	if got, want := again.next(), (event.PeerMessage{From: "a", Message: frame.Ping{Seq: 3}}); got != event.Body(want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Guards against a queue that grows without bound or keeps old messages at the
// cost of new ones.
func TestQueueDropsOldest(t *testing.T) {
	q, lost := newQueue(), 0
	for n := range uint64(queueLength + 3) {
		lost += q.push(frame.Ping{Seq: n})
	}
	if got, ok := q.pop(); !ok || got != frame.Message(frame.Ping{Seq: 3}) || lost != 3 {
		t.Errorf("first %v after %d drops, want Ping 3 after 3", got, lost)
	}
}

// Guards against messages that are accepted from or for another VM than the
// hello says, or without one.
func TestTransportRefusesStrangers(t *testing.T) {
	b := newSide(t, "b", Keys{})
	for name, first := range map[string]frame.Message{
		"no hello": frame.Ping{Seq: 1}, "own id": hello{VM: "b", To: "b"}, "other target": hello{VM: "a", To: "c"},
		"no id": hello{To: "b"},
	} {
		conn, err := net.Dial("tcp", b.addr.String())
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range []frame.Message{first, frame.Ping{Seq: 2}} {
			_, _ = writeMessage(conn, m)
		}
		// The other side ends the connection.
		if _, err = conn.Read(make([]byte, 1)); err == nil {
			t.Errorf("%s: got bytes, want the end", name)
		}
		conn.Close()
	}
	if n := len(b.posted); n != 0 {
		t.Errorf("%d events were posted, want none", n)
	}
}

// Guards against plain or unknown VMs on a listener with keys, and against bad
// new keys that end the use of good ones.
func TestTransportKeys(t *testing.T) {
	keys, strange := newKeys(t), newKeys(t)
	a, b := newSide(t, "a", keys), newSide(t, "b", keys)
	a.tell(b, frame.Ping{Seq: 1})
	b.next()
	plain, other := newSide(t, "plain", Keys{}), newSide(t, "other", strange)
	for _, s := range []*side{plain, other} {
		s.tell(b, frame.Ping{Seq: 2})
		if got, want := s.next(), (event.PeerDown{VM: "b"}); got != event.Body(want) {
			t.Errorf("%s: got %v, want %v", s.Self.ID, got, want)
		}
	}
	if err := os.WriteFile(keys.Key, []byte("bad"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := b.Reload(); err == nil {
		t.Error("a bad key gives no error")
	}
	c := &side{Transport: &Transport{Self: model.VM{ID: "c"}, Logger: a.Logger, Keys: keys}, posted: make(chan event.Body, 9)}
	c.Post = func(e event.Body) { c.posted <- e }
	c.tell(b, frame.Ping{Seq: 3})
	if got, want := c.next(), (event.PeerDown{VM: "b"}); got != event.Body(want) {
		t.Errorf("without loaded keys: got %v, want %v", got, want)
	}
	c.Close()
	b.tell(a, frame.Ping{Seq: 4})
	if got, want := a.next(), (event.PeerMessage{From: "b", Message: frame.Ping{Seq: 4}}); got != event.Body(want) {
		t.Errorf("after a bad reload: got %v, want %v", got, want)
	}
}

// newKeys writes a certificate that is its own authority.
func newKeys(t *testing.T) Keys {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, kind string, b []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	cert := write("cert.pem", "CERTIFICATE", der)
	return Keys{Authority: cert, Certificate: cert, Key: write("key.pem", "EC PRIVATE KEY", private)}
}

// Guards against connections that a network between the VMs cannot tell apart
// by their source.
func TestTransportDialsFromItsListenAddress(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for listen, want := range map[string]string{"127.0.2.7:7400": "127.0.2.7", "0.0.0.0:7400": "127.0.0.1"} {
		a := newSide(t, "a", Keys{})
		a.Self.PeerAddr = netip.MustParseAddrPort(listen)
		a.Tell(effect.SendMessage{To: "b", Addr: l.Addr().(*net.TCPAddr).AddrPort(), Message: frame.Ping{Seq: 1}})
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if got := conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().String(); got != want {
			t.Errorf("listens on %s and dials from %s, want %s", listen, got, want)
		}
	}
}
