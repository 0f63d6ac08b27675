package stub

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// serverErrors marks the errors of a Host.
var serverErrors = errs.Class("stand-in")

const (
	headerTimeout  = 5 * time.Second
	portRetryDelay = 20 * time.Millisecond // after a restart that found its port in use
)

// Endpoint is one address on which a Host listens.
type Endpoint struct {
	Addr     netip.AddrPort // port 0 selects a free port
	Latency  time.Duration  // simulated one-way latency, added in each direction
	SameZone netip.Prefix   // clients in the same availability zone, which have no added latency
}

// Server owns the listeners and connections of a Stub.
type Server struct {
	stub      *Stub
	endpoints []Endpoint // with the ports in use
	closed    chan struct{}

	mu        sync.Mutex
	listeners []*limitedListener
	server    *http.Server  // replaced at each restart
	crashed   chan struct{} // closed by a crash, replaced at each restart
}

// Listen returns a Host that listens on the given addresses. Run serves them.
func Listen(s *Stub, endpoints ...Endpoint) (h *Server, err error) {
	h = &Server{stub: s, endpoints: endpoints, closed: make(chan struct{})}
	if err := h.openListeners(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.crash = h.crash
	s.mu.Unlock()
	return h, nil
}

// Addr returns the address of the endpoint with the given index.
func (h *Server) Addr(i int) netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.endpoints[i].Addr
}

func (h *Server) openListeners() (err error) {
	defer serverErrors.WrapP(&err)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listeners = nil
	conns := &connSet{}
	for i, endpoint := range h.endpoints {
		l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(endpoint.Addr))
		if err != nil {
			for _, open := range h.listeners {
				_ = open.Close()
			}
			return err
		}
		h.endpoints[i].Addr = l.Addr().(*net.TCPAddr).AddrPort()
		h.listeners = append(h.listeners, &limitedListener{
			TCPListener: l, stub: h.stub, latency: endpoint.Latency, sameZone: endpoint.SameZone, conns: conns,
		})
	}
	h.server = &http.Server{Handler: h.stub, ReadHeaderTimeout: headerTimeout, ConnContext: connContext}
	h.crashed = make(chan struct{})
	return nil
}

// Run serves until Close, including after crashes and restarts.
func (h *Server) Run() error {
	for {
		if err := h.serveUntilStopped(); err != nil {
			return err
		}
		if restarted, err := h.restart(); !restarted {
			return err
		}
	}
}

// restart waits for the restart delay after a crash and listens again. It reports
// false after Close.
func (h *Server) restart() (restarted bool, err error) {
	delay := h.stub.Settings().RestartDelay
	if delay == 0 {
		<-h.closed
		return false, nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-h.closed:
			return false, nil
		case <-timer.C:
		}
		h.stub.markStarted(time.Now())
		// An outgoing connection of this machine may have been given the port
		// while the stub was down. The port is free again when that connection
		// ends.
		if err := h.openListeners(); !errors.Is(err, syscall.EADDRINUSE) {
			return err == nil, err
		}
		timer.Reset(portRetryDelay)
	}
}

// serveUntilStopped serves all listeners until a crash or Close.
func (h *Server) serveUntilStopped() error {
	h.mu.Lock()
	server, listeners, crashed := h.server, h.listeners, h.crashed
	h.mu.Unlock()
	ended := make(chan error, len(listeners))
	for _, l := range listeners {
		a := &acceptLoop{server: server, listener: l, ended: ended}
		go a.run()
	}
	select {
	case <-h.closed:
	case <-crashed:
	case err := <-ended:
		if !h.stopped(crashed) && !errors.Is(err, http.ErrServerClosed) {
			_ = server.Close()
			return err
		}
	}
	_ = server.Close() // its errors are those of listeners that a crash has closed already
	return nil
}

// stopped reports whether a crash or Close has closed the listeners.
func (h *Server) stopped(crashed <-chan struct{}) bool {
	select {
	case <-h.closed:
		return true
	case <-crashed:
		return true
	default:
		return false
	}
}

// acceptLoop accepts and serves the connections of one listener.
type acceptLoop struct {
	server   *http.Server
	listener *limitedListener
	ended    chan<- error
}

func (a *acceptLoop) run() {
	a.ended <- a.server.Serve(a.listener)
}

// crash closes the listeners and resets the connections.
func (h *Server) crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.crashed:
		return
	default:
	}
	close(h.crashed)
	for _, l := range h.listeners {
		_ = l.Close()
	}
	h.listeners[0].conns.reset()
	_ = h.server.Close()
}

// Close stops the Host, and Run returns. It must be called only once.
func (h *Server) Close() {
	close(h.closed)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.listeners {
		_ = l.Close()
	}
	_ = h.server.Close()
}

// connKey is the context key of a request's connection.
type connKey struct{}

func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// awaitDialCost waits until the connection's first request may start. It reports
// false when ctx ends first.
func awaitDialCost(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*trackedConn)
	if !ok {
		return true
	}
	return sleep(ctx, time.Until(c.usableAt))
}

// latencyOf returns the simulated one-way latency of a request's connection.
func latencyOf(ctx context.Context) time.Duration {
	c, ok := ctx.Value(connKey{}).(*trackedConn)
	if !ok {
		return 0
	}
	return c.latency
}
