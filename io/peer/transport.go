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
	"time"

	"github.com/apex/log"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Counter names.
const (
	counterBad           = "bad"           // accepted connections that ended with an error, such as a malformed message
	counterDials         = "dials"         // connection attempts
	counterDropped       = "dropped"       // outgoing messages that were not sent
	counterFailed        = "failed"        // outgoing connections that broke or could not be opened
	counterReceived      = "received"      // messages received
	counterReceivedBytes = "receivedbytes" // bytes of received frames
	counterSent          = "sent"          // messages sent
	counterSentBytes     = "sentbytes"     // bytes of sent frames
)

// acceptRetryInterval is the time after which connections are accepted again when that
// has failed.
const acceptRetryInterval = 100 * time.Millisecond

// Transport exchanges messages with other VMs. The exported fields must be set
// before use. When TLSFiles is set, LoadTLS must succeed once before use, too.
type Transport struct {
	Self     model.VM         // this VM
	Post     func(event.Body) // receives event.PeerMessage and event.PeerDown
	Logger   log.Interface
	TLSFiles TLSFiles // zero for plain TCP

	tls      atomic.Pointer[tls.Config]
	counters expvar.Map
	wg       sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	ctx      context.Context // cancelled by Close
	cancel   context.CancelFunc
	links    map[model.VMID]*link
	accepted map[net.Conn]bool
	listener net.Listener
}

// LoadTLS reads TLSFiles. It can be called again at any time: new connections use
// the files read last. After an error they continue to use those read before.
func (t *Transport) LoadTLS() error {
	c, err := t.TLSFiles.Load()
	if err != nil {
		return err
	}
	t.tls.Store(c)
	return nil
}

// Counters returns the transport's counters.
func (t *Transport) Counters() *expvar.Map { return &t.counters }

// Send sends a message without blocking. A message that cannot be sent is dropped
// and counted. A message to this VM itself is posted directly.
func (t *Transport) Send(e effect.SendMessage) {
	if e.To == t.Self.ID {
		t.Post(event.PeerMessage{From: e.To, Message: e.Message})
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || !e.Addr.IsValid() || e.Addr.Port() == 0 {
		t.count(counterDropped, 1)
		return
	}
	t.lazyInit()
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
	t.count(counterDropped, l.queue.push(e.Message))
}

// Serve accepts connections until Close.
func (t *Transport) Serve(l net.Listener) error {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return l.Close()
	}
	t.lazyInit()
	t.listener = l
	t.mu.Unlock()
	if _, err := t.tlsConfig(); err != nil {
		return errors.Join(err, l.Close())
	}
	failing := false
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// For example too many open files. The connections that are open go on
			// working, and other VMs try again.
			if !failing {
				t.Logger.WithField("cause", err.Error()).Error("connections of other VMs not accepted")
			}
			failing = true
			if !t.waitToAccept() {
				return nil
			}
			continue
		}
		failing = false
		t.accept(conn)
	}
}

// waitToAccept waits after a failure to accept a connection. It reports false when the
// transport is closed meanwhile.
func (t *Transport) waitToAccept() bool {
	timer := time.NewTimer(acceptRetryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-t.ctx.Done():
		return false
	}
}

// TLSListener wraps the operators' listener so that it requires mutual TLS with the
// files loaded last. It returns the listener itself when TLSFiles is not set.
func (t *Transport) TLSListener(l net.Listener) net.Listener {
	if t.TLSFiles == (TLSFiles{}) {
		return l
	}
	return tls.NewListener(l, &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return t.tlsConfig() },
	})
}

// Close closes all connections and waits for their goroutines.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	t.lazyInit()
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
	if c, err := t.tlsConfig(); err == nil && c != nil {
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

// closeAccepted closes an accepted connection.
func (t *Transport) closeAccepted(conn net.Conn) {
	conn.Close()
	t.mu.Lock()
	delete(t.accepted, conn)
	t.mu.Unlock()
}

// removeIdle removes an idle link. It reports false and keeps the link when a
// message has been queued meanwhile.
func (t *Transport) removeIdle(l *link) bool {
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
	c, err := t.tlsConfig()
	if err != nil {
		return nil, err
	}
	d := net.Dialer{Control: setUserTimeout, LocalAddr: t.localAddr()}
	conn, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	if c == nil {
		return conn, nil
	}
	tlsConn := tls.Client(conn, c)
	if err = tlsConn.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return tlsConn, nil
}

// localAddr returns the source address of outgoing connections: the IP address
// on which this VM listens, so that the network can identify the VM that a
// connection comes from. It is nil when the VM listens on all addresses.
func (t *Transport) localAddr() net.Addr {
	ip := t.Self.PeerAddr.Addr()
	if !ip.IsValid() || ip.IsUnspecified() {
		return nil
	}
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, 0))
}

// tlsConfig returns the TLS configuration, or nil for plain TCP. It fails when
// TLSFiles is set but not loaded yet, so that connections are never plain by mistake.
func (t *Transport) tlsConfig() (*tls.Config, error) {
	c := t.tls.Load()
	if c == nil && t.TLSFiles != (TLSFiles{}) {
		return nil, errors.New("the TLS files of the peer listener are not loaded")
	}
	return c, nil
}

// lazyInit makes the zero value usable. The caller must hold mu.
func (t *Transport) lazyInit() {
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
