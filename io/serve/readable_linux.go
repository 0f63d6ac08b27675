package serve

import "golang.org/x/sys/unix"

// isReadable reports whether a read from a socket, or an accept, would not block.
func isReadable(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}
