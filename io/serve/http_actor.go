package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// httpActor runs an HTTP server in a run.Group.
type httpActor struct {
	server          *http.Server
	listener        net.Listener
	shutdownTimeout time.Duration // for the responses being written when it stops
	stopOnce        sync.Once
	stopped         chan struct{}
}

func newHTTPActor(handler http.Handler, listener net.Listener, shutdownTimeout time.Duration) *httpActor {
	server := newServer(handler)
	server.IdleTimeout = callerIdleTimeout
	return &httpActor{server: server, listener: listener, shutdownTimeout: shutdownTimeout, stopped: make(chan struct{})}
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

// closeListener makes the server accept no new connections.
func (a *httpActor) closeListener() { _ = a.listener.Close() } // run returns any error of the listener other than its close

func (a *httpActor) stop(error) {
	a.stopOnce.Do(func() { close(a.stopped) })
	ctx, cancel := context.WithTimeout(context.Background(), a.shutdownTimeout)
	defer cancel()
	if err := a.server.Shutdown(ctx); err != nil {
		_ = a.server.Close() // connections that remain are closed when the process exits
	}
}
