package stub

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// limitedListener accepts connections up to Settings.MaxConns and resets further
// ones.
type limitedListener struct {
	*net.TCPListener
	stub     *Stub
	latency  time.Duration // one-way latency of connections from outside sameZone
	sameZone netip.Prefix
	conns    *connSet // shared by all listeners of a stub
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		settings := l.stub.settings.Load()
		c := &trackedConn{TCPConn: accepted, conns: l.conns, usableAt: time.Now().Add(settings.DialCost), latency: l.latency}
		if l.sameZone.Contains(accepted.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()) {
			c.latency = 0
		}
		if l.conns.add(c, settings.MaxConns) {
			return c, nil
		}
		l.stub.runs.updateCounters(func(log *RunLog) { log.RefusedConns++ })
		_ = accepted.SetLinger(0)
		_ = accepted.Close()
	}
}

// trackedConn is a connection that counts against the limit until it is closed.
type trackedConn struct {
	*net.TCPConn
	conns    *connSet
	usableAt time.Time     // when its first request may start
	latency  time.Duration // one-way
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.conns.remove(c)
	return c.TCPConn.Close()
}

// connSet is the set of open connections of a stub. The zero value is empty.
type connSet struct {
	mu    sync.Mutex
	conns map[*trackedConn]struct{}
}

// add reports false when the limit is reached. A limit of 0 means no limit.
func (s *connSet) add(c *trackedConn, limit int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit > 0 && len(s.conns) >= limit {
		return false
	}
	if s.conns == nil {
		s.conns = make(map[*trackedConn]struct{})
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *connSet) remove(c *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// reset closes all connections with a TCP reset.
func (s *connSet) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.SetLinger(0)
		_ = c.TCPConn.Close()
	}
	s.conns = nil
}
