package proxy

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// measuredRoundTrip returns the smoothed and the lowest round-trip time of a
// connection as measured by the kernel, 0 when they are not known.
func measuredRoundTrip(c net.Conn) (smoothed, lowest time.Duration) {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return 0, 0
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, 0
	}
	// After an error the connection is closed, and the time does not matter.
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			smoothed = time.Duration(info.Rtt) * time.Microsecond
			lowest = time.Duration(info.Min_rtt) * time.Microsecond
		}
	})
	return smoothed, lowest
}
