package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// backend is a sound server of one service, as the pages describe it.
type backend struct {
	fleet   *fleet
	id      string
	service string
	zone    string
	addr    string
	slots   int
	work    time.Duration

	mu       sync.Mutex
	running  int
	queued   int
	run      map[string]int // by request id
	ranAt    map[string]time.Time
	conns    map[net.Conn]bool
	listener net.Listener
	slot     chan struct{}

	// rejectEarly reports whether a request with a body of so many bytes is
	// rejected before it is in, and when the rest of it is read.
	rejectEarly func(length int) (after time.Duration, reject bool)
	early       atomic.Int64
}

var stampCounter atomic.Int64

// notRun is the header of an answer to a request that has not run.
var notRun = names["notRun"] + ": 1\r\n"

func (f *fleet) startBackend(service string, n, last, slots int, work time.Duration) (*backend, error) {
	b := &backend{
		fleet: f, id: fmt.Sprintf("i-%s%d", service, n), service: service, zone: []string{"za", "zb", "zc"}[n%3],
		addr: fmt.Sprintf("%s.%d:%d", f.prefix, last, backendPort), slots: slots, work: work, run: map[string]int{}, ranAt: map[string]time.Time{}, conns: map[net.Conn]bool{}, slot: make(chan struct{}, slots),
	}
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// Segments and windows of an ordinary link, not of loopback.
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
		})
	}}
	lc.SetMultipathTCP(false) // its sockets refuse these options
	l, err := lc.Listen(context.Background(), "tcp", b.addr)
	if err != nil {
		return nil, err
	}
	b.listener = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b, nil
}

func (b *backend) entry() map[string]any {
	return map[string]any{"id": b.id, "service": b.service, "address": b.addr, "zone": b.zone, "version": "v1", "slots": b.slots, "state": "ready", names["warmUp"]: 0}
}

func (b *backend) serve(c net.Conn) {
	b.mu.Lock()
	b.conns[c] = true
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
		c.Close()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get(names["id"])
		length := int(req.ContentLength)
		if b.rejectEarly != nil && length > 0 {
			if after, reject := b.rejectEarly(length); reject {
				b.early.Add(1)
				b.fleet.log("server %s: %s %s id %s with %d bytes rejected as not run before its body is in; it is read %v later", b.id, req.Method, req.URL.Path, id, length, after)
				b.answer(c, id, 503, notRun, nil)
				time.Sleep(after)
				if n, err := io.Copy(io.Discard, req.Body); err != nil {
					b.fleet.log("server %s: rest of the body of %s: %d bytes, %v", b.id, id, n, err)
					return
				}
				continue
			}
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			b.fleet.log("server %s: body of %s: %v", b.id, id, err)
			return
		}
		switch {
		case req.URL.Path == "/health":
			b.answer(c, "", 200, "", nil)
		case req.Header.Get(names["expected"]) != "" && req.Header.Get(names["expected"]) != b.id:
			b.answer(c, id, 421, notRun, nil)
		case id == "":
			b.answer(c, id, 400, notRun, nil)
		default:
			if !b.execute(c, r, req, id, body) {
				return
			}
		}
	}
}

// execute runs one request in a slot.
func (b *backend) execute(c net.Conn, r *bufio.Reader, req *http.Request, id string, body []byte) bool {
	deadline, _ := strconv.Atoi(req.Header.Get(names["deadline"]))
	if deadline <= 0 {
		deadline = 60_000
	}
	limit := time.NewTimer(time.Duration(deadline) * time.Millisecond)
	defer limit.Stop()
	b.mu.Lock()
	if b.queued >= 24 {
		b.mu.Unlock()
		b.answer(c, id, 503, notRun, nil)
		return true
	}
	b.queued++
	b.mu.Unlock()
	select {
	case b.slot <- struct{}{}:
	case <-limit.C:
		b.mu.Lock()
		b.queued--
		b.mu.Unlock()
		b.answer(c, id, 503, notRun, nil)
		return true
	}
	b.mu.Lock()
	b.queued--
	b.running++
	b.run[id]++
	b.ranAt[id] = time.Now()
	b.mu.Unlock()
	b.fleet.log("server %s: runs %s %s id %s with %d bytes", b.id, req.Method, req.URL.Path, id, len(body))
	time.Sleep(b.work)
	<-b.slot
	b.mu.Lock()
	b.running--
	b.mu.Unlock()
	stamp := fmt.Sprintf("%s.%x.%s.%d", b.id, stampCounter.Add(1), id, len(body))
	b.answer(c, id, 200, names["stamp"]+": "+stamp+"\r\n", []byte("answer to "+id+" of "+b.id+"\n"))
	return true
}

func (b *backend) answer(c net.Conn, id string, status int, header string, body []byte) {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n%s: %s\r\n", status, http.StatusText(status), names["instance"], b.id)
	if id != "" {
		fmt.Fprintf(&out, "%s: %s\r\n", names["id"], id)
	}
	b.mu.Lock()
	fmt.Fprintf(&out, "%s: %d,%d,%d\r\n", names["load"], b.running, b.queued, b.slots)
	b.mu.Unlock()
	out.WriteString(header)
	fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n", len(body))
	out.Write(body)
	_, _ = c.Write(out.Bytes())
}
