package dialer

import (
	"net"
	"testing"
)

// recordingConn is a connection that records the byte count during Write, when
// the upstream may already read.
type recordingConn struct {
	net.Conn
	counting     *countingConn
	countedBytes int64
}

func (c *recordingConn) Write(b []byte) (int, error) {
	c.countedBytes = c.counting.written.Load()
	return len(b), nil
}

// Guards against reporting an attempt as not run that was cancelled during a
// write: the upstream may already have read some bytes.
func TestBytesCountBeforeTheyAreWritten(t *testing.T) {
	inner := &recordingConn{}
	c := &countingConn{Conn: inner}
	inner.counting = c
	if _, err := c.Write([]byte("POST")); err != nil {
		t.Fatal(err)
	}
	if got, want := inner.countedBytes, int64(4); got != want {
		t.Errorf("got %d bytes counted during the write, want %d", got, want)
	}
}
