//go:build !linux

package peer

import "syscall"

// limitUnacknowledged does nothing where the system has no such limit.
func limitUnacknowledged(_, _ string, _ syscall.RawConn) error { return nil }
