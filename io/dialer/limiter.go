package dialer

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// Limits of the wait for an upstream to close its end of a connection. What it still sends
// meanwhile is the rest of an answer, unless it sends without end.
const (
	lingerTimeout = time.Second
	lingerBytes   = 64 << 10
)

// connLimiter limits the connections to one upstream. A connection counts until
// the upstream has closed its end, because the upstream also counts it until
// then.
type connLimiter struct {
	mu    sync.Mutex
	limit int
	open  int
	freed chan struct{} // closed when a connection may be opened; nil while no goroutine waits
}

// setLimit changes the limit. Connections above it stay open.
func (l *connLimiter) setLimit(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = n
	l.wakeWaiters()
}

// acquire waits until one more connection may be opened, and counts it.
func (l *connLimiter) acquire(ctx context.Context) error {
	for {
		l.mu.Lock()
		if l.open < l.limit {
			l.open++
			l.mu.Unlock()
			return nil
		}
		if l.freed == nil {
			l.freed = make(chan struct{})
		}
		freed := l.freed
		l.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *connLimiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.wakeWaiters()
}

// wakeWaiters wakes the goroutines that wait in acquire. l.mu must be held.
func (l *connLimiter) wakeWaiters() {
	if l.freed != nil {
		close(l.freed)
		l.freed = nil
	}
}

// lingeringClose closes a connection and releases it from the limiter. It first
// closes the sending side and waits up to lingerTimeout for the upstream to close
// its end. An upstream that sends more than lingerBytes meanwhile is not waited for.
type lingeringClose struct {
	conn    net.Conn
	limiter *connLimiter
}

func (l *lingeringClose) run() {
	defer l.limiter.release()
	defer l.conn.Close()
	halfCloser, ok := l.conn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil || l.conn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	// An error ends the wait like the upstream's close does.
	_, _ = io.CopyN(io.Discard, l.conn, lingerBytes)
}
