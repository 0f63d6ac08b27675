package dialer

import (
	"net"
	"testing"
)

// blockedConn is a connection whose peer reads a byte before Write returns.
type blockedConn struct {
	net.Conn
	counted *countedConn
	seen    int64
}

func (c *blockedConn) Write(b []byte) (int, error) {
	c.seen = c.counted.written.Load()
	return len(b), nil
}

// Guards against a refusal that says "not run" for an attempt cancelled while
// its bytes were being written: the upstream may have read them already.
func TestBytesCountBeforeTheyAreWritten(t *testing.T) {
	inner := &blockedConn{}
	c := &countedConn{Conn: inner}
	inner.counted = c
	if _, err := c.Write([]byte("POST")); err != nil {
		t.Fatal(err)
	}
	if got, want := inner.seen, int64(4); got != want {
		t.Errorf("got %d bytes counted during the write, want %d", got, want)
	}
}
