package peer

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxUnacknowledged ends a connection whose data is not acknowledged. Without
// it, retransmissions back off during a partition and resume up to as long
// again after it has healed.
const maxUnacknowledged = 3 * time.Second

func limitUnacknowledged(_, _ string, conn syscall.RawConn) error {
	var problem error
	err := conn.Control(func(fd uintptr) {
		problem = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(maxUnacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return problem
}
