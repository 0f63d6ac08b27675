package proxy

import (
	"fmt"
	"net"
)

// Limits of the head of a response, including the interim responses before it.
const (
	maxHeadBytes        = 32 << 10
	maxInterimResponses = 8
)

// headLimiter bounds the bytes that are read from a connection while the head of
// a response is parsed. Nothing else bounds a header line that never ends.
type headLimiter struct {
	net.Conn
	limited bool
	left    int // bytes that may still be read while limited
}

// begin limits reads from now on.
func (l *headLimiter) begin() { l.limited, l.left = true, maxHeadBytes }

// end lifts the limit.
func (l *headLimiter) end() { l.limited = false }

// Read implements io.Reader. It returns a ResponseError at the limit.
func (l *headLimiter) Read(b []byte) (n int, err error) {
	if !l.limited {
		return l.Conn.Read(b)
	}
	if l.left <= 0 {
		return 0, &ResponseError{Problem: fmt.Sprintf("has a head of more than %d bytes", maxHeadBytes)}
	}
	n, err = l.Conn.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}
