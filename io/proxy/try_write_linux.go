package proxy

import (
	"errors"
	"syscall"
)

// tryWrite writes as much as the socket's buffer takes at once. No other goroutine may
// write at the same time.
func (c *conn) tryWrite(b []byte) (n int, err error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var writeErr error
	err = raw.Write(func(fd uintptr) (done bool) {
		n, writeErr = syscall.Write(int(fd), b)
		return true // do not wait until the socket is writable
	})
	if errors.Is(writeErr, syscall.EAGAIN) || errors.Is(writeErr, syscall.EINTR) {
		writeErr = nil
	}
	return max(0, n), errors.Join(err, writeErr)
}
