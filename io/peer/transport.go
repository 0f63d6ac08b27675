package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"expvar"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/apex/log"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Names of the counters.
const (
	bad           = "bad"           // accepted connections that ended for what they sent
	dials         = "dials"         // attempts to connect
	dropped       = "dropped"       // messages that were not sent
	failed        = "failed"        // connections that broke or could not be made
	received      = "received"      // messages
	receivedBytes = "receivedbytes" // in frames
	sent          = "sent"          // messages
	sentBytes     = "sentbytes"     // in frames
)

// Transport exchanges messages with other VMs. The exported fields are set
// before use; with Keys, Reload must succeed once before.
type Transport struct {
	Self   model.VM
	Post   func(event.Body)
	Logger log.Interface
	Keys   Keys

	tls      atomic.Pointer[tls.Config]
	counters expvar.Map
	wg       sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	ctx      context.Context // ends with Close
	cancel   context.CancelFunc
	links    map[model.VMID]*link
	accepted map[net.Conn]bool
	listener net.Listener
}

// Reload reads the keys. New connections use them; after an error they go on
// with the keys from before.
func (t *Transport) Reload() error {
	c, err := t.Keys.Load()
	if err != nil {
		return err
	}
	t.tls.Store(c)
	return nil
}

// Counters returns the counters of messages, bytes, dials and failures.
func (t *Transport) Counters() *expvar.Map { return &t.counters }

// Tell sends a message. It does not block; a message that cannot be sent is
// dropped and counted. One to this VM itself is posted.
func (t *Transport) Tell(e effect.SendMessage) {
	if e.To == t.Self.ID {
		t.Post(event.PeerMessage{From: e.To, Message: e.Message})
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || !e.Addr.IsValid() || e.Addr.Port() == 0 {
		t.count(dropped, 1)
		return
	}
	t.prepare()
	l, ok := t.links[e.To]
	if !ok {
		l = &link{transport: t, to: e.To, addr: e.Addr, queue: newQueue()}
		t.links[e.To] = l
		t.wg.Add(1)
		go l.run(t.ctx)
	}
	l.mu.Lock()
	l.addr = e.Addr
	l.mu.Unlock()
	t.count(dropped, l.queue.push(e.Message))
}

// Serve accepts connections until Close.
func (t *Transport) Serve(l net.Listener) error {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return l.Close()
	}
	t.prepare()
	t.listener = l
	t.mu.Unlock()
	if _, err := t.secure(); err != nil {
		return errors.Join(err, l.Close())
	}
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			return err
		}
		t.accept(conn)
	}
}

// Secure puts the keys in use before a listener of operators. Without keys it
// returns the listener.
func (t *Transport) Secure(l net.Listener) net.Listener {
	if t.Keys == (Keys{}) {
		return l
	}
	return tls.NewListener(l, &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return t.secure() },
	})
}

// Close ends all connections and waits for their goroutines.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	t.prepare()
	t.cancel()
	if t.listener != nil {
		t.listener.Close()
	}
	for conn := range t.accepted {
		conn.Close()
	}
	t.mu.Unlock()
	t.wg.Wait()
}

func (t *Transport) accept(conn net.Conn) {
	if c, err := t.secure(); err == nil && c != nil {
		conn = tls.Server(conn, c)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		conn.Close()
		return
	}
	t.accepted[conn] = true
	t.wg.Add(1)
	in := &incoming{transport: t, conn: conn}
	go in.run()
}

func (t *Transport) forget(conn net.Conn) {
	conn.Close()
	t.mu.Lock()
	delete(t.accepted, conn)
	t.mu.Unlock()
}

// retire removes an idle link, unless a message was queued meanwhile.
func (t *Transport) retire(l *link) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l.queue.mu.Lock()
	defer l.queue.mu.Unlock()
	if len(l.queue.messages) > 0 {
		return false
	}
	delete(t.links, l.to)
	return true
}

func (t *Transport) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	c, err := t.secure()
	if err != nil {
		return nil, err
	}
	d := net.Dialer{Control: limitUnacknowledged, LocalAddr: t.source()}
	conn, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	if c == nil {
		return conn, nil
	}
	secured := tls.Client(conn, c)
	if err = secured.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return secured, nil
}

// source returns the address that connections are dialled from: the IP on which
// this VM listens, so that the network can tell by it which VM dials. It is nil
// when the VM listens on all addresses.
func (t *Transport) source() net.Addr {
	ip := t.Self.PeerAddr.Addr()
	if !ip.IsValid() || ip.IsUnspecified() {
		return nil
	}
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, 0))
}

// secure returns the configuration of TLS, nil for plain TCP. Keys that are set
// but not loaded are an error, so that they never lead to plain connections.
func (t *Transport) secure() (*tls.Config, error) {
	c := t.tls.Load()
	if c == nil && t.Keys != (Keys{}) {
		return nil, errors.New("keys of the peer listener are not loaded")
	}
	return c, nil
}

// prepare makes what the zero value lacks. The caller holds mu.
func (t *Transport) prepare() {
	if t.links == nil {
		t.links = make(map[model.VMID]*link)
		t.accepted = make(map[net.Conn]bool)
		t.ctx, t.cancel = context.WithCancel(context.Background())
	}
}

func (t *Transport) count(name string, n int) {
	if n > 0 {
		t.counters.Add(name, int64(n))
	}
}
