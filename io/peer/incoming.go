package peer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"comfreypulley/core/event"
)

const helloTimeout = 5 * time.Second // until an accepted connection must have sent its hello

// HelloError reports an accepted connection without a valid hello.
type HelloError struct{ Problem string }

// Error implements error.
func (e *HelloError) Error() string { return "hello: " + e.Problem }

// incoming receives the messages of an accepted connection.
type incoming struct {
	transport *Transport
	conn      net.Conn
}

// run posts the received messages until the connection ends. A malformed message
// ends it.
func (c *incoming) run() {
	defer c.transport.wg.Done()
	defer c.transport.closeAccepted(c.conn)
	if err := c.receive(); !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		c.transport.count(counterBad, 1)
		c.transport.Logger.WithField("remote", c.conn.RemoteAddr().String()).WithError(err).Warn("connection from VM failed")
	}
}

// receive posts messages until the connection ends, and returns why it ended:
// io.EOF when the other side closed it.
func (c *incoming) receive() (err error) {
	t := c.transport
	if err = c.conn.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return err
	}
	r := &reader{r: c.conn, limit: maxHello}
	first, err := r.next()
	if err != nil {
		return err
	}
	greeting, ok := first.(hello)
	switch {
	case !ok:
		return &HelloError{Problem: fmt.Sprintf("the first frame has kind %d", first.Kind())}
	case greeting.VM == "" || greeting.VM == t.Self.ID:
		return &HelloError{Problem: fmt.Sprintf("invalid sender %q", greeting.VM)}
	case greeting.To != t.Self.ID:
		return &HelloError{Problem: fmt.Sprintf("intended for VM %q, but this is VM %q", greeting.To, t.Self.ID)}
	}
	if err = c.conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	r.limit = 0
	countedBytes := 0
	for {
		m, err := r.next()
		t.count(counterReceivedBytes, r.bytesRead-countedBytes)
		countedBytes = r.bytesRead
		if err != nil {
			return err
		}
		if m.Kind() == kindHello {
			return &HelloError{Problem: "repeated"}
		}
		t.count(counterReceived, 1)
		t.Post(event.PeerMessage{From: greeting.VM, Message: m})
	}
}
