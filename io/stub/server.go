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

// serverErrors marks the errors of a Server.
var serverErrors = errs.Class("stand-in")

const (
	headerTimeout  = 5 * time.Second
	portRetryDelay = 20 * time.Millisecond // after a restart that found its port in use
)

// Endpoint is one address on which a Server listens.
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

	mu         sync.Mutex
	listeners  []*limitedListener
	httpServer *http.Server  // replaced at each restart
	crashed    chan struct{} // closed by a crash, replaced at each restart
}

// Listen returns a Server that listens on the given addresses. Run serves them.
func Listen(stub *Stub, endpoints ...Endpoint) (s *Server, err error) {
	s = &Server{stub: stub, endpoints: endpoints, closed: make(chan struct{})}
	if err := s.openListeners(); err != nil {
		return nil, err
	}
	stub.mu.Lock()
	stub.crash = s.crash
	stub.mu.Unlock()
	return s, nil
}

// Addr returns the address of the endpoint with the given index.
func (s *Server) Addr(i int) netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints[i].Addr
}

func (s *Server) openListeners() (err error) {
	defer serverErrors.WrapP(&err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = nil
	conns := &connSet{}
	for i, endpoint := range s.endpoints {
		l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(endpoint.Addr))
		if err != nil {
			for _, open := range s.listeners {
				_ = open.Close()
			}
			return err
		}
		s.endpoints[i].Addr = l.Addr().(*net.TCPAddr).AddrPort()
		s.listeners = append(s.listeners, &limitedListener{
			TCPListener: l, stub: s.stub, latency: endpoint.Latency, sameZone: endpoint.SameZone, conns: conns,
		})
	}
	s.httpServer = &http.Server{Handler: s.stub, ReadHeaderTimeout: headerTimeout, ConnContext: connContext}
	s.crashed = make(chan struct{})
	return nil
}

// Run serves until Close, including after crashes and restarts.
func (s *Server) Run() error {
	for {
		if err := s.serveUntilStopped(); err != nil {
			return err
		}
		if restarted, err := s.restart(); !restarted {
			return err
		}
	}
}

// restart waits for the restart delay after a crash and listens again. It reports
// false after Close.
func (s *Server) restart() (restarted bool, err error) {
	delay := s.stub.Settings().RestartDelay
	if delay == 0 {
		<-s.closed
		return false, nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-s.closed:
			return false, nil
		case <-timer.C:
		}
		s.stub.markStarted(time.Now())
		// An outgoing connection of this machine may have been given the port
		// while the stub was down. The port is free again when that connection
		// ends.
		if err := s.openListeners(); !errors.Is(err, syscall.EADDRINUSE) {
			return err == nil, err
		}
		timer.Reset(portRetryDelay)
	}
}

// serveUntilStopped serves all listeners until a crash or Close.
func (s *Server) serveUntilStopped() error {
	s.mu.Lock()
	server, listeners, crashed := s.httpServer, s.listeners, s.crashed
	s.mu.Unlock()
	ended := make(chan error, len(listeners))
	for _, l := range listeners {
		a := &acceptLoop{server: server, listener: l, ended: ended}
		go a.run()
	}
	select {
	case <-s.closed:
	case <-crashed:
	case err := <-ended:
		if !s.stopped(crashed) && !errors.Is(err, http.ErrServerClosed) {
			_ = server.Close()
			return err
		}
	}
	_ = server.Close() // its errors are those of listeners that a crash has closed already
	return nil
}

// stopped reports whether a crash or Close has closed the listeners.
func (s *Server) stopped(crashed <-chan struct{}) bool {
	select {
	case <-s.closed:
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
func (s *Server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.crashed:
		return
	default:
	}
	close(s.crashed)
	for _, l := range s.listeners {
		_ = l.Close()
	}
	s.listeners[0].conns.reset()
	_ = s.httpServer.Close()
}

// Close stops the Server, and Run returns. It must be called only once.
func (s *Server) Close() {
	close(s.closed)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		_ = l.Close()
	}
	_ = s.httpServer.Close()
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
