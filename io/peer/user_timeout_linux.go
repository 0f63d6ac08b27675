package peer

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxUnacknowledged is how long sent data may remain unacknowledged before the
// kernel closes the connection. Without this limit, retransmissions back off
// during a partition, and after it has healed the next one may take as long again
// as the partition lasted.
const maxUnacknowledged = 3 * time.Second

// setUserTimeout sets TCP_USER_TIMEOUT to maxUnacknowledged.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	err := conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(maxUnacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
