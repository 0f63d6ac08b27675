//go:build !linux

package proxy

// tryWrite writes nothing, so that a goroutine writes everything.
func (*conn) tryWrite([]byte) (n int, err error) { return 0, nil }
