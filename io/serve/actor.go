package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// web is the actor of an HTTP server.
type web struct {
	server   *http.Server
	listener net.Listener
	limit    time.Duration // for answers that are being written when it stops
	once     sync.Once
	stopped  chan struct{}
}

func newWeb(handler http.Handler, listener net.Listener, limit time.Duration) *web {
	server := newServer(handler)
	server.IdleTimeout = callerIdle
	return &web{server: server, listener: listener, limit: limit, stopped: make(chan struct{})}
}

// run serves until stop. After closeListener it goes on serving the
// connections that are open.
func (w *web) run() error {
	err := w.server.Serve(w.listener)
	if !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-w.stopped
	return nil
}

// closeListener ends the acceptance of new connections.
func (w *web) closeListener() { _ = w.listener.Close() } // run reports any other problem of it

func (w *web) stop(error) {
	w.once.Do(func() { close(w.stopped) })
	ctx, cancel := context.WithTimeout(context.Background(), w.limit)
	defer cancel()
	if err := w.server.Shutdown(ctx); err != nil {
		_ = w.server.Close() // what is left is cut off when the process ends
	}
}
