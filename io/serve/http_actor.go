package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Times of an httpActor.
const (
	lastResponseTime = 300 * time.Millisecond // for the responses being written when the server stops without a deadline
	pendingInterval  = time.Millisecond       // between two looks at the connections that wait to be accepted
	closeInterval    = 10 * time.Millisecond  // between two searches for idle connections while the server stops
	idleInterval     = time.Second            // between two searches for connections that were idle for too long
)

// httpActor runs an HTTP server in a run.Group.
type httpActor struct {
	server   *http.Server
	listener net.Listener
	stopOnce sync.Once
	stopped  chan struct{}

	mu        sync.Mutex
	deadline  time.Time              // when connections that remain are closed; zero for lastResponseTime after stop
	waiting   map[net.Conn]time.Time // connections without a request in progress, and since when
	closing   bool                   // connections are closed as soon as they wait
	idleLimit time.Duration          // after which a waiting connection is closed; 0 for the server's own time
}

func newHTTPActor(handler http.Handler, listener net.Listener) *httpActor {
	a := &httpActor{server: newServer(handler), listener: listener, stopped: make(chan struct{}), waiting: make(map[net.Conn]time.Time)}
	a.server.IdleTimeout = callerIdleTimeout
	a.server.ConnState = a.recordState
	return a
}

// run serves until stop. After closeListener it continues to serve the open
// connections.
func (a *httpActor) run() error {
	err := a.server.Serve(a.listener)
	if !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-a.stopped
	return nil
}

// setDeadline sets when stop closes the connections that remain.
func (a *httpActor) setDeadline(deadline time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deadline = deadline
}

// recordState is the server's ConnState hook.
func (a *httpActor) recordState(c net.Conn, state http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state == http.StateNew || state == http.StateIdle {
		a.waiting[c] = time.Now()
		return
	}
	delete(a.waiting, c)
}

// closeListener makes the server accept no new connections. Closing a listener
// resets the connections that wait to be accepted, so those are accepted first,
// until the deadline at the latest.
func (a *httpActor) closeListener(deadline time.Time) {
	ticker := time.NewTicker(pendingInterval)
	defer ticker.Stop()
	for hasPendingInput(a.listener) && time.Now().Before(deadline) {
		<-ticker.C
	}
	_ = a.listener.Close() // run returns any error of the listener other than its close
}

// closeIdleConns closes the connections without a request in progress, also those
// that become idle later. It returns at once.
func (a *httpActor) closeIdleConns() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.closing {
		a.closing = true
		go a.loop()
	}
}

// loop closes idle connections until the server stops.
func (a *httpActor) loop() {
	ticker := time.NewTicker(closeInterval)
	defer ticker.Stop()
	for {
		a.closeWaiting(time.Now())
		select {
		case <-ticker.C:
		case <-a.stopped:
			return
		}
	}
}

// closeWaiting closes the connections that have been idle since a time or longer. A
// connection on which a request has arrived is left to the server, which reads and
// answers it: closing it would leave the request without a response.
func (a *httpActor) closeWaiting(since time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c, idleSince := range a.waiting {
		if !idleSince.After(since) && !hasPendingInput(c) {
			delete(a.waiting, c)
			_ = c.Close() // the server reads the error and forgets the connection
		}
	}
}

// limitIdle sets how long a connection may be idle. http.Server cannot change its own
// limit while it serves. 0 stands for that limit.
func (a *httpActor) limitIdle(limit time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.idleLimit == 0 && limit > 0 {
		r := &idleReaper{actor: a}
		go r.run()
	}
	a.idleLimit = limit
}

// idleReaper closes the connections of an httpActor that were idle for too long. It ends
// when the limit is lifted or the server stops.
type idleReaper struct{ actor *httpActor }

func (r *idleReaper) run() {
	a := r.actor
	ticker := time.NewTicker(idleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-a.stopped:
			return
		}
		a.mu.Lock()
		limit := a.idleLimit
		a.mu.Unlock()
		if limit <= 0 {
			return
		}
		a.closeWaiting(time.Now().Add(-limit))
	}
}

func (a *httpActor) stop(error) {
	a.stopOnce.Do(func() { close(a.stopped) })
	a.mu.Lock()
	deadline := a.deadline
	a.mu.Unlock()
	if deadline.IsZero() {
		deadline = time.Now().Add(lastResponseTime)
	}
	a.closeIdleConns()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := a.server.Shutdown(ctx); err != nil {
		_ = a.server.Close() // connections that remain are closed when the process exits
	}
}

// hasPendingInput reports whether a connection has bytes that were not read yet, or
// a listener has connections that were not accepted yet. It reports false for what
// is not a socket.
func hasPendingInput(socket any) bool {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	// After an error the socket is closed, and nothing is pending.
	_ = raw.Control(func(fd uintptr) { pending = isReadable(fd) })
	return pending
}
