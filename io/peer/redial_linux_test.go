package peer

import (
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"golang.org/x/sys/unix"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// Guards against a VM that is reached a second after it has started, because the
// packet that opens a connection was lost before and is sent again only then.
func TestVMIsReachedSoonAfterItsStart(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	// With a full queue of new connections, the system drops opening packets.
	if err = raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 0) }); err != nil {
		t.Fatal(err)
	}
	for range 4 {
		d := net.Dialer{Timeout: 50 * time.Millisecond}
		if conn, err := d.Dial("tcp", addr.String()); err == nil {
			defer conn.Close()
		}
	}
	a := newSide(t, "a", Keys{})
	stop, ended := make(chan struct{}), make(chan struct{})
	teller := &teller{side: a, to: addr, stop: stop, ended: ended}
	go teller.run()
	defer func() {
		close(stop)
		<-ended
	}()
	timer := time.NewTimer(150 * time.Millisecond)
	<-timer.C

	began := time.Now()
	b := &Transport{
		Self: model.VM{ID: "b", Zone: "a"}, Post: func(e event.Body) { teller.heard(e) }, Logger: &log.Logger{Handler: discard.Default},
	}
	served := make(chan error, 1)
	go func() { served <- b.Serve(l) }()
	defer func() {
		b.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	}()
	<-teller.arrived()
	if took := time.Since(began); took > 700*time.Millisecond {
		t.Errorf("got the first message %s after the start, want it well before the system's second try after a second", took)
	}
}

// teller sends a message each 20 ms, as VMs do that look for a configuration.
type teller struct {
	*side
	to          netip.AddrPort
	stop, ended chan struct{}
	once        sync.Once
	first       chan struct{}
	mu          sync.Mutex
}

func (s *teller) run() {
	defer close(s.ended)
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
			s.Tell(effect.SendMessage{To: "b", Addr: s.to, Message: frame.Ping{}})
		}
	}
}

// arrived is closed when the other side has a message.
func (s *teller) arrived() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.first == nil {
		s.first = make(chan struct{})
	}
	return s.first
}

func (s *teller) heard(e event.Body) {
	if _, ok := e.(event.PeerMessage); ok {
		s.once.Do(func() { close(s.arrived()) })
	}
}
