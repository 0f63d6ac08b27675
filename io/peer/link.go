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

// Times and limits of an outgoing connection.
const (
	minDialTimeout      = 250 * time.Millisecond // shorter than the second after which the kernel resends a lost SYN packet
	maxDialTimeout      = 2 * time.Second
	dialsBeforeDoubling = 4 // failed dials that leave the timeout as it is; each further one doubles it
	writeTimeout        = 5 * time.Second
	idleTimeout         = time.Minute
	minBackoff          = 50 * time.Millisecond
	maxBackoff          = time.Second // longest delay until a healed partition is noticed
)

// link sends messages to one VM. It dials when there is a message to send.
type link struct {
	transport *Transport
	to        model.VMID
	queue     *queue

	mu   sync.Mutex
	addr netip.AddrPort // current address of the VM
}

// run sends the queued messages until the transport is closed or the link has been
// idle for idleTimeout.
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
			if l.transport.removeIdle(l) {
				return
			}
		case <-c.closedByPeer:
			c.fail(errors.New("closed by the other side"))
		case <-l.queue.ready:
			if !c.waitBackoff(ctx) {
				return
			}
			if m, ok := l.queue.pop(); ok {
				c.send(ctx, m)
			}
		}
		idle.Reset(idleTimeout)
	}
}

func (l *link) address() netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

// outgoing is the connection of a link. Only the link's goroutine uses it.
type outgoing struct {
	link         *link
	conn         net.Conn       // nil while not connected
	addr         netip.AddrPort // that was dialed for conn
	closedByPeer chan struct{}  // closed when the other side closed conn
	backoff      time.Duration
	nextDial     time.Time // earliest time of the next dial
	failedDials  int       // in a row
}

// waitBackoff waits until the next dial is allowed. It reports false when the
// transport is closed meanwhile.
func (c *outgoing) waitBackoff(ctx context.Context) bool {
	delay := time.Until(c.nextDial)
	if c.conn != nil || delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// send writes a message. It dials first if there is no connection or if the VM's
// address has changed.
func (c *outgoing) send(ctx context.Context, m frame.Message) {
	if c.conn != nil && c.addr != c.link.address() {
		c.close()
	}
	if c.conn == nil {
		if err := c.dial(ctx); err != nil {
			c.link.transport.count(counterDropped, 1)
			c.fail(err)
			return
		}
	}
	if err := c.write(m); err != nil {
		c.link.transport.count(counterDropped, 1)
		c.fail(err)
	}
}

// dial opens the connection and sends the hello.
func (c *outgoing) dial(ctx context.Context) (err error) {
	t := c.link.transport
	t.count(counterDials, 1)
	ctx, cancel := context.WithTimeout(ctx, min(maxDialTimeout, minDialTimeout<<max(0, c.failedDials-dialsBeforeDoubling)))
	defer cancel()
	c.addr = c.link.address()
	conn, err := t.dial(ctx, c.addr)
	if err != nil {
		c.failedDials = min(c.failedDials+1, 2*dialsBeforeDoubling) // so that the timeout does not overflow
		return err
	}
	c.failedDials = 0
	c.conn, c.closedByPeer = conn, make(chan struct{})
	t.wg.Add(1)
	w := &closeWatcher{transport: t, conn: conn, closedByPeer: c.closedByPeer}
	go w.run()
	if err = c.write(hello{VM: t.Self.ID, Zone: t.Self.Zone, To: c.link.to}); err != nil {
		return err
	}
	c.backoff = 0
	return nil
}

// write writes a message to the open connection.
func (c *outgoing) write(m frame.Message) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	n, err := writeMessage(c.conn, m)
	c.link.transport.count(counterSentBytes, n)
	if err == nil && m.Kind() != kindHello {
		c.link.transport.count(counterSent, 1)
	}
	return err
}

// fail closes the connection and posts event.PeerDown. It drops the queued
// messages, because they would be outdated by the next dial.
func (c *outgoing) fail(err error) {
	c.close()
	t := c.link.transport
	t.count(counterDropped, c.link.queue.clear())
	t.count(counterFailed, 1)
	c.backoff = min(maxBackoff, max(minBackoff, 2*c.backoff))
	c.nextDial = time.Now().Add(c.backoff)
	t.Logger.WithField("peer", string(c.link.to)).WithError(err).Debug("connection to VM failed")
	t.Post(event.PeerDown{VM: c.link.to})
}

func (c *outgoing) close() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn, c.closedByPeer = nil, nil
}

// closeWatcher detects that the other side has closed a connection. The other side
// never writes to it.
type closeWatcher struct {
	transport    *Transport
	conn         net.Conn
	closedByPeer chan struct{}
}

func (w *closeWatcher) run() {
	defer w.transport.wg.Done()
	defer close(w.closedByPeer)
	_, _ = io.Copy(io.Discard, w.conn)
}
