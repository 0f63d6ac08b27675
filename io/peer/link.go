package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// Times of an outgoing connection.
const (
	firstDial    = 250 * time.Millisecond // a lost opening packet is sent again by the system only after a second
	dialTimeout  = 2 * time.Second
	quickDials   = 4 // dials with that timeout; it doubles with each further one
	writeTimeout = 5 * time.Second
	idleTimeout  = time.Minute
	minBackoff   = 50 * time.Millisecond
	maxBackoff   = time.Second // a healed partition is noticed within this
)

// link sends messages to one VM over one connection.
type link struct {
	transport *Transport
	to        model.VMID
	queue     *queue

	mu   sync.Mutex
	addr netip.AddrPort
}

// run writes messages until the transport closes or the link was idle.
func (l *link) run(ctx context.Context) {
	defer l.transport.wg.Done()
	c := &outgoing{link: l}
	defer c.close()
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			if l.transport.retire(l) {
				return
			}
		case <-c.broken:
			c.fail(errors.New("closed by the other side"))
		case <-l.queue.ready:
			if !c.wait(ctx) {
				return
			}
			if m, ok := l.queue.pop(); ok {
				c.send(ctx, m)
			}
		}
		idle.Reset(idleTimeout)
	}
}

func (l *link) target() netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

// outgoing is the connection of a link, used by its goroutine only.
type outgoing struct {
	link    *link
	conn    net.Conn // nil while not connected
	addr    netip.AddrPort
	broken  chan struct{} // closed when the other side closed conn
	backoff time.Duration
	retry   time.Time // no dial before
	tries   int       // dials that failed in a row
}

// wait lets the backoff pass. It reports false when the transport closed.
func (c *outgoing) wait(ctx context.Context) bool {
	pause := time.Until(c.retry)
	if c.conn != nil || pause <= 0 {
		return true
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// send writes a message, and dials before if there is no connection.
func (c *outgoing) send(ctx context.Context, m frame.Message) {
	if c.conn != nil && c.addr != c.link.target() {
		c.close()
	}
	if c.conn == nil {
		if err := c.dial(ctx); err != nil {
			c.link.transport.count(dropped, 1)
			c.fail(err)
			return
		}
	}
	if err := c.write(m); err != nil {
		c.link.transport.count(dropped, 1)
		c.fail(err)
	}
}

func (c *outgoing) dial(ctx context.Context) (err error) {
	t := c.link.transport
	t.count(dials, 1)
	ctx, cancel := context.WithTimeout(ctx, min(dialTimeout, firstDial<<max(0, c.tries-quickDials)))
	defer cancel()
	c.addr = c.link.target()
	conn, err := t.dial(ctx, c.addr)
	if err != nil {
		c.tries = min(c.tries+1, 2*quickDials) // so that the timeout does not overflow
		return err
	}
	c.tries = 0
	c.conn, c.broken = conn, make(chan struct{})
	t.wg.Add(1)
	w := &watcher{transport: t, conn: conn, broken: c.broken}
	go w.run()
	if err = c.write(hello{VM: t.Self.ID, Zone: t.Self.Zone, To: c.link.to}); err != nil {
		return err
	}
	c.backoff = 0
	return nil
}

func (c *outgoing) write(m frame.Message) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	n, err := writeMessage(c.conn, m)
	c.link.transport.count(sentBytes, n)
	if err == nil && m.Kind() != kindHello {
		c.link.transport.count(sent, 1)
	}
	return err
}

// fail closes the connection, drops what waits, since it is late by the time of
// the next dial, and reports the VM as down.
func (c *outgoing) fail(err error) {
	c.close()
	t := c.link.transport
	t.count(dropped, c.link.queue.clear())
	t.count(failed, 1)
	c.backoff = min(maxBackoff, max(minBackoff, 2*c.backoff))
	c.retry = time.Now().Add(c.backoff)
	t.Logger.WithField("peer", string(c.link.to)).WithError(err).Debug("connection to VM lost")
	t.Post(event.PeerDown{VM: c.link.to})
}

func (c *outgoing) close() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn, c.broken = nil, nil
}

// watcher notices that the other side closed a connection on which it never
// writes.
type watcher struct {
	transport *Transport
	conn      net.Conn
	broken    chan struct{}
}

func (w *watcher) run() {
	defer w.transport.wg.Done()
	defer close(w.broken)
	_, _ = io.Copy(io.Discard, w.conn)
}
