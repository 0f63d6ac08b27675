package gate

import "sync"

// Gate admits requests until it is closed. The zero value is open.
type Gate struct {
	mu     sync.Mutex
	inside int
	idle   chan struct{} // made by Close; closed when inside is 0
}

// Enter counts a request. It reports false after Close, and then Leave must not be
// called.
func (g *Gate) Enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.idle != nil {
		return false
	}
	g.inside++
	return true
}

// Leave ends a request that has entered.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inside--; g.inside == 0 && g.idle != nil {
		close(g.idle)
	}
}

// Close admits no further request. The channel is closed once none is inside. Close
// may be called more than once.
func (g *Gate) Close() (idle <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.idle == nil {
		g.idle = make(chan struct{})
		if g.inside == 0 {
			close(g.idle)
		}
	}
	return g.idle
}
