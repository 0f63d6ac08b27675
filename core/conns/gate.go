package conns

import "time"

// Times between two tries to open a connection to an upstream that has reset one.
const (
	initialBackoff = 100 * time.Millisecond // doubles with each further reset
	maxBackoff     = 800 * time.Millisecond
)

// Gate keeps a VM from opening a connection to one upstream shortly after that has reset
// one. Connections that are open stay in use.
type Gate struct {
	open      int           // connections
	idleUntil time.Time     // until when one that is not in use stays open
	backoff   time.Duration // after the last reset; 0 after a connection was opened
	retryAt   time.Time     // no further connection before
}

// Allows reports whether an attempt may be sent beside those in flight.
func (g *Gate) Allows(at time.Time, inFlight int) bool {
	return !at.Before(g.retryAt) || inFlight < g.open && at.Before(g.idleUntil)
}

// Opened records that a new connection was opened and used, and may stay idle for a time.
func (g *Gate) Opened(at time.Time, idle time.Duration) {
	if !at.Before(g.idleUntil) {
		g.open = 0
	}
	g.open++
	g.backoff, g.retryAt = 0, time.Time{}
	g.Used(at, idle)
}

// Used records that an open connection was used, and may stay idle for a time.
func (g *Gate) Used(at time.Time, idle time.Duration) {
	if until := at.Add(idle); until.After(g.idleUntil) {
		g.idleUntil = until
	}
}

// Closed records that an open connection was closed.
func (g *Gate) Closed() { g.open = max(0, g.open-1) }

// Rejected records that the upstream has reset a new connection. draw is a random number of
// at least 0 and below 1, by which the VMs spread their next tries.
func (g *Gate) Rejected(at time.Time, draw float64) {
	g.backoff = min(maxBackoff, max(initialBackoff, 2*g.backoff))
	g.retryAt = at.Add(time.Duration((0.5 + draw) * float64(g.backoff)))
}
