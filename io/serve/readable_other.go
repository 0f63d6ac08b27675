//go:build !linux

package serve

// isReadable reports false, as if nothing were pending.
func isReadable(uintptr) bool { return false }
