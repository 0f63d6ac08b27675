package dialer

import (
	"context"
	"net"
	"sync"
	"time"
)

// lingerFor bounds the wait for an upstream to close its end of a connection.
const lingerFor = time.Second

// places counts the connections to one upstream. A connection keeps its place
// until the upstream has closed its end: the upstream counts it until then.
type places struct {
	mu    sync.Mutex
	limit int
	open  int
	freed chan struct{} // closed when a place may be free; nil when nobody waits
}

// setLimit changes the number of places. Connections above it stay open.
func (p *places) setLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = n
	p.signal()
}

// take waits for a free place.
func (p *places) take(ctx context.Context) error {
	for {
		p.mu.Lock()
		if p.open < p.limit {
			p.open++
			p.mu.Unlock()
			return nil
		}
		if p.freed == nil {
			p.freed = make(chan struct{})
		}
		freed := p.freed
		p.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (p *places) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.signal()
}

// signal wakes those that wait for a place. p.mu is held.
func (p *places) signal() {
	if p.freed != nil {
		close(p.freed)
		p.freed = nil
	}
}

// linger closes a connection and gives its place back after the upstream has
// closed its end.
type linger struct {
	conn   net.Conn
	places *places
}

func (l *linger) run() {
	defer l.places.release()
	defer l.conn.Close()
	half, ok := l.conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || l.conn.SetReadDeadline(time.Now().Add(lingerFor)) != nil {
		return
	}
	buffer := make([]byte, 4096)
	for {
		if _, err := l.conn.Read(buffer); err != nil {
			return
		}
	}
}
