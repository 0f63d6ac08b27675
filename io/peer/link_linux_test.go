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

// Guards against a VM that is reached only a second after it has started: the
// kernel resends a SYN packet that was lost before the start only after a second.
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
	// While the queue of new connections is full, the kernel drops SYN packets.
	if err = raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 0) }); err != nil {
		t.Fatal(err)
	}
	for range 4 {
		d := net.Dialer{Timeout: 50 * time.Millisecond}
		if conn, err := d.Dial("tcp", addr.String()); err == nil {
			defer conn.Close()
		}
	}
	a := newTestPeer(t, "a", TLSFiles{})
	stop, ended := make(chan struct{}), make(chan struct{})
	sender := &periodicSender{testPeer: a, to: addr, stop: stop, ended: ended}
	go sender.run()
	defer func() {
		close(stop)
		<-ended
	}()
	timer := time.NewTimer(150 * time.Millisecond)
	<-timer.C

	start := time.Now()
	b := &Transport{
		Self: model.VM{ID: "b", Zone: "a"}, Post: func(e event.Body) { sender.handle(e) }, Logger: &log.Logger{Handler: discard.Default},
	}
	served := make(chan error, 1)
	go func() { served <- b.Serve(l) }()
	defer func() {
		b.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	}()
	<-sender.firstArrival()
	if took := time.Since(start); took > 700*time.Millisecond {
		t.Errorf("got the first message %s after the start, want it well before the kernel resends the SYN packet after a second", took)
	}
}

// periodicSender sends a message every 20 ms, as a VM without a configuration does.
type periodicSender struct {
	*testPeer
	to          netip.AddrPort
	stop, ended chan struct{}
	once        sync.Once
	first       chan struct{}
	mu          sync.Mutex
}

func (s *periodicSender) run() {
	defer close(s.ended)
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
			s.Send(effect.SendMessage{To: "b", Addr: s.to, Message: frame.Ping{}})
		}
	}
}

// firstArrival returns a channel that is closed when the other side has received a
// message.
func (s *periodicSender) firstArrival() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.first == nil {
		s.first = make(chan struct{})
	}
	return s.first
}

func (s *periodicSender) handle(e event.Body) {
	if _, ok := e.(event.PeerMessage); ok {
		s.once.Do(func() { close(s.firstArrival()) })
	}
}
