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

// hostErrors annotates errors.
var hostErrors = errs.Class("stand-in")

const (
	headerTimeout = 5 * time.Second
	reopenAfter   = 20 * time.Millisecond // from a restart that found a port in use to the next
)

// Door is one address of a Host.
type Door struct {
	Addr     netip.AddrPort // port 0 takes a free one
	Distance time.Duration  // one-way latency added in each direction
	Near     netip.Prefix   // sources without the distance, those of the same availability zone
}

// Host owns the listeners and connections of a Stub. Make it with Listen.
type Host struct {
	stub   *Stub
	doors  []Door // with the ports in use
	closed chan struct{}

	mu        sync.Mutex
	listeners []*capListener
	server    *http.Server // nil while it is down
	crashed   chan struct{}
}

// Listen opens the doors of a stand-in.
func Listen(s *Stub, doors ...Door) (h *Host, err error) {
	h = &Host{stub: s, doors: doors, closed: make(chan struct{})}
	if err := h.open(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.crash = h.crash
	s.mu.Unlock()
	return h, nil
}

// Addr returns the address of a door.
func (h *Host) Addr(door int) netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.doors[door].Addr
}

func (h *Host) open() (err error) {
	defer hostErrors.WrapP(&err)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listeners = nil
	opened := &openConns{}
	for i, door := range h.doors {
		l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(door.Addr))
		if err != nil {
			for _, open := range h.listeners {
				_ = open.Close()
			}
			return err
		}
		h.doors[i].Addr = l.Addr().(*net.TCPAddr).AddrPort()
		h.listeners = append(h.listeners, &capListener{TCPListener: l, stub: h.stub, distance: door.Distance, near: door.Near, opened: opened})
	}
	h.server = &http.Server{Handler: h.stub, ReadHeaderTimeout: headerTimeout, ConnContext: connContext}
	h.crashed = make(chan struct{})
	return nil
}

// Run serves until Close, through crashes and restarts.
func (h *Host) Run() error {
	for {
		if err := h.serve(); err != nil {
			return err
		}
		if up, err := h.restart(); !up {
			return err
		}
	}
}

// restart opens the doors again after a crash. It reports false when the
// stand-in stays down until Close.
func (h *Host) restart() (up bool, err error) {
	pause := h.stub.Settings().Restart
	if pause == 0 {
		<-h.closed
		return false, nil
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case <-h.closed:
			return false, nil
		case <-timer.C:
		}
		h.stub.start(time.Now())
		// An outgoing connection of this machine may have taken the port
		// meanwhile. It is free again when that connection ends.
		if err := h.open(); !errors.Is(err, syscall.EADDRINUSE) {
			return err == nil, err
		}
		timer.Reset(reopenAfter)
	}
}

// serve serves on all doors until a crash or Close.
func (h *Host) serve() error {
	h.mu.Lock()
	server, listeners, crashed := h.server, h.listeners, h.crashed
	h.mu.Unlock()
	ended := make(chan error, len(listeners))
	for _, l := range listeners {
		d := &doorman{server: server, listener: l, ended: ended}
		go d.run()
	}
	select {
	case <-h.closed:
	case <-crashed:
	case err := <-ended:
		if !h.down(crashed) && !errors.Is(err, http.ErrServerClosed) {
			_ = server.Close()
			return err
		}
	}
	// Its errors are those of listeners that a crash has closed already.
	_ = server.Close()
	return nil
}

// down reports whether the listeners were closed on purpose.
func (h *Host) down(crashed <-chan struct{}) bool {
	select {
	case <-h.closed:
		return true
	case <-crashed:
		return true
	default:
		return false
	}
}

// doorman accepts connections of one door.
type doorman struct {
	server   *http.Server
	listener *capListener
	ended    chan<- error
}

func (d *doorman) run() {
	d.ended <- d.server.Serve(d.listener)
}

// crash closes everything at once. Connections are reset.
func (h *Host) crash() {
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
	h.listeners[0].opened.reset()
	_ = h.server.Close()
}

// Close ends Run. It is called once.
func (h *Host) Close() {
	close(h.closed)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.listeners {
		_ = l.Close()
	}
	_ = h.server.Close()
}

// connKey is the context key of a connection.
type connKey struct{}

func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// dialled waits until the connection of a request may carry requests.
func dialled(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*capConn)
	if !ok {
		return true
	}
	return sleep(ctx, time.Until(c.usable))
}

// distanceOf returns the one-way latency of the connection of a request.
func distanceOf(ctx context.Context) time.Duration {
	c, ok := ctx.Value(connKey{}).(*capConn)
	if !ok {
		return 0
	}
	return c.distance
}
