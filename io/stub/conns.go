package stub

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// capListener accepts connections up to the cap of the settings and resets the
// ones above it.
type capListener struct {
	*net.TCPListener
	stub     *Stub
	distance time.Duration
	near     netip.Prefix
	opened   *openConns
}

// Accept implements net.Listener.
func (l *capListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		set := l.stub.settings.Load()
		c := &capConn{TCPConn: accepted, opened: l.opened, usable: time.Now().Add(set.Dial), distance: l.distance}
		if l.near.Contains(accepted.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()) {
			c.distance = 0
		}
		if l.opened.add(c, set.Conns) {
			return c, nil
		}
		l.stub.runlog.count(func(log *Log) { log.Refused++ })
		_ = accepted.SetLinger(0)
		_ = accepted.Close()
	}
}

// capConn is a connection that counts against the cap until it is closed.
type capConn struct {
	*net.TCPConn
	opened   *openConns
	usable   time.Time // when its first request may start
	distance time.Duration
}

// Close implements net.Conn.
func (c *capConn) Close() error {
	c.opened.remove(c)
	return c.TCPConn.Close()
}

// openConns is the set of open connections of a stand-in. The zero value is empty.
type openConns struct {
	mu    sync.Mutex
	conns map[*capConn]struct{}
}

// add reports false when the cap is reached. A cap of 0 is none.
func (o *openConns) add(c *capConn, limit int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if limit > 0 && len(o.conns) >= limit {
		return false
	}
	if o.conns == nil {
		o.conns = make(map[*capConn]struct{})
	}
	o.conns[c] = struct{}{}
	return true
}

func (o *openConns) remove(c *capConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.conns, c)
}

// reset closes all connections, so that the other side sees a reset.
func (o *openConns) reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for c := range o.conns {
		_ = c.SetLinger(0)
		_ = c.TCPConn.Close()
	}
	o.conns = nil
}
