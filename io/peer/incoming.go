package peer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"comfreypulley/core/event"
)

const helloTimeout = 5 * time.Second

// HelloError reports a connection of or for another VM than expected.
type HelloError struct{ Problem string }

// Error implements error.
func (e *HelloError) Error() string { return "hello: " + e.Problem }

// incoming receives the messages of one accepted connection.
type incoming struct {
	transport *Transport
	conn      net.Conn
}

// run posts messages until the connection ends. A malformed one ends it.
func (c *incoming) run() {
	defer c.transport.wg.Done()
	defer c.transport.forget(c.conn)
	if err := c.receive(); !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		c.transport.count(bad, 1)
		c.transport.Logger.WithField("remote", c.conn.RemoteAddr().String()).WithError(err).Warn("connection from VM refused")
	}
}

// receive returns why the connection ended, io.EOF when the other side closed it.
func (c *incoming) receive() (err error) {
	t := c.transport
	if err = c.conn.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return err
	}
	r := &reader{source: c.conn, limit: maxHello}
	first, err := r.next()
	if err != nil {
		return err
	}
	greeting, ok := first.(hello)
	switch {
	case !ok:
		return &HelloError{Problem: fmt.Sprintf("the first frame has kind %d", first.Kind())}
	case greeting.VM == "" || greeting.VM == t.Self.ID:
		return &HelloError{Problem: fmt.Sprintf("sender %q", greeting.VM)}
	case greeting.To != t.Self.ID:
		return &HelloError{Problem: fmt.Sprintf("meant for %q, this is %q", greeting.To, t.Self.ID)}
	}
	if err = c.conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	r.limit = 0
	counted := 0
	for {
		m, err := r.next()
		t.count(receivedBytes, r.bytes-counted)
		counted = r.bytes
		if err != nil {
			return err
		}
		if m.Kind() == kindHello {
			return &HelloError{Problem: "repeated"}
		}
		t.count(received, 1)
		t.Post(event.PeerMessage{From: greeting.VM, Message: m})
	}
}
