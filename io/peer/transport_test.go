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

// testPeer is a transport with its listen address and the events that it posted.
type testPeer struct {
	*Transport
	addr   netip.AddrPort
	posted chan event.Body
}

func newTestPeer(t *testing.T, id model.VMID, files TLSFiles) *testPeer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testPeer{addr: l.Addr().(*net.TCPAddr).AddrPort(), posted: make(chan event.Body, 2*queueLength)}
	s.Transport = &Transport{
		Self: model.VM{ID: id, Zone: "a"}, Post: func(e event.Body) { s.posted <- e },
		Logger: &log.Logger{Handler: discard.Default}, TLSFiles: files,
	}
	if err = s.LoadTLS(); err != nil {
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

func (s *testPeer) sendTo(to *testPeer, m frame.Message) {
	s.Send(effect.SendMessage{To: to.Self.ID, Addr: to.addr, Message: m})
}

// nextEvent returns the next posted event. If none arrives, the test ends by its own
// time limit.
func (s *testPeer) nextEvent() event.Body { return <-s.posted }

// Guards against messages that are lost, changed or attributed to the wrong VM on a
// healthy connection, including messages longer than a frame.
func TestTransportDeliversMessages(t *testing.T) {
	a, b := newTestPeer(t, "a", TLSFiles{}), newTestPeer(t, "b", TLSFiles{})
	for n := range uint64(100) {
		a.sendTo(b, frame.Ping{Seq: n})
	}
	for n := range uint64(100) {
		if got, want := b.nextEvent(), (event.PeerMessage{From: "a", Message: frame.Ping{Seq: n}}); got != event.Body(want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	}
	data := bytes.Repeat([]byte{1}, maxFrame+1)
	b.sendTo(a, frame.ProposeRequest{Command: entry.Settle{Outcome: entry.Outcome{Items: []model.Item{{Data: data}}}}})
	got := a.nextEvent().(event.PeerMessage).Message.(frame.ProposeRequest).Command.(entry.Settle).Outcome.Items[0].Data
	if !bytes.Equal(got, data) {
		t.Errorf("%d bytes arrived, want %d", len(got), len(data))
	}
	if got, want := b.Counters().Get(counterReceived).String(), "100"; got != want {
		t.Errorf("counted %s messages, want %s", got, want)
	}
}

// Guards against a VM that fails without an event.PeerDown, and against one that is
// not reached after it is back.
func TestTransportReportsDown(t *testing.T) {
	a, b := newTestPeer(t, "a", TLSFiles{}), newTestPeer(t, "b", TLSFiles{})
	a.sendTo(b, frame.Ping{Seq: 1})
	b.nextEvent()
	b.Close()
	if got, want := a.nextEvent(), (event.PeerDown{VM: "b"}); got != event.Body(want) {
		t.Fatalf("got %v, want %v", got, want)
	}
	a.sendTo(b, frame.Ping{Seq: 2})
	if got, want := a.nextEvent(), (event.PeerDown{VM: "b"}); got != event.Body(want) {
		t.Fatalf("got %v, want %v", got, want)
	}
	restarted := newTestPeer(t, "b", TLSFiles{})
	a.sendTo(restarted, frame.Ping{Seq: 3})
	if got, want := restarted.nextEvent(), (event.PeerMessage{From: "a", Message: frame.Ping{Seq: 3}}); got != event.Body(want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Guards against a queue that grows without limit or drops new messages instead of
// old ones.
func TestQueueDropsOldest(t *testing.T) {
	q, dropped := newQueue(), 0
	for n := range uint64(queueLength + 3) {
		dropped += q.push(frame.Ping{Seq: n})
	}
	if got, ok := q.pop(); !ok || got != frame.Message(frame.Ping{Seq: 3}) || dropped != 3 {
		t.Errorf("first %v after %d drops, want Ping 3 after 3", got, dropped)
	}
}

// Guards against accepting messages without a hello, or after a hello with a wrong
// sender or receiver.
func TestTransportRefusesInvalidHello(t *testing.T) {
	b := newTestPeer(t, "b", TLSFiles{})
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
		// The other side closes the connection.
		if _, err = conn.Read(make([]byte, 1)); err == nil {
			t.Errorf("%s: got bytes, want a closed connection", name)
		}
		conn.Close()
	}
	if n := len(b.posted); n != 0 {
		t.Errorf("%d events were posted, want none", n)
	}
}

// Guards against a TLS listener that accepts plain connections or certificates of
// another authority, and against invalid new files that replace valid ones.
func TestTransportTLS(t *testing.T) {
	files, otherFiles := newTLSFiles(t), newTLSFiles(t)
	a, b := newTestPeer(t, "a", files), newTestPeer(t, "b", files)
	a.sendTo(b, frame.Ping{Seq: 1})
	b.nextEvent()
	plain, other := newTestPeer(t, "plain", TLSFiles{}), newTestPeer(t, "other", otherFiles)
	for _, s := range []*testPeer{plain, other} {
		s.sendTo(b, frame.Ping{Seq: 2})
		if got, want := s.nextEvent(), (event.PeerDown{VM: "b"}); got != event.Body(want) {
			t.Errorf("%s: got %v, want %v", s.Self.ID, got, want)
		}
	}
	if err := os.WriteFile(files.Key, []byte("bad"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := b.LoadTLS(); err == nil {
		t.Error("an invalid key gives no error")
	}
	c := &testPeer{Transport: &Transport{Self: model.VM{ID: "c"}, Logger: a.Logger, TLSFiles: files}, posted: make(chan event.Body, 9)}
	c.Post = func(e event.Body) { c.posted <- e }
	c.sendTo(b, frame.Ping{Seq: 3})
	if got, want := c.nextEvent(), (event.PeerDown{VM: "b"}); got != event.Body(want) {
		t.Errorf("without loaded files: got %v, want %v", got, want)
	}
	c.Close()
	b.sendTo(a, frame.Ping{Seq: 4})
	if got, want := a.nextEvent(), (event.PeerMessage{From: "b", Message: frame.Ping{Seq: 4}}); got != event.Body(want) {
		t.Errorf("after failing to load new files: got %v, want %v", got, want)
	}
}

// newTLSFiles writes a self-signed certificate and its key.
func newTLSFiles(t *testing.T) TLSFiles {
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
	keyDER, err := x509.MarshalECPrivateKey(key)
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
	return TLSFiles{CA: cert, Cert: cert, Key: write("key.pem", "EC PRIVATE KEY", keyDER)}
}

// Guards against a source address by which the network between the VMs cannot
// identify the VM that opened a connection.
func TestTransportDialsFromItsListenAddress(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for listen, want := range map[string]string{"127.0.2.7:7400": "127.0.2.7", "0.0.0.0:7400": "127.0.0.1"} {
		a := newTestPeer(t, "a", TLSFiles{})
		a.Self.PeerAddr = netip.MustParseAddrPort(listen)
		a.Send(effect.SendMessage{To: "b", Addr: l.Addr().(*net.TCPAddr).AddrPort(), Message: frame.Ping{Seq: 1}})
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
