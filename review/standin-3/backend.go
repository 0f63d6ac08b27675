package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that reached a backend.
type arrival struct {
	at      time.Time
	id      string
	backend string
	from    string // address of the machine that sent it
	ran     bool
}

// arrivals collects the requests that reached the backends.
type arrivals struct {
	mu   sync.Mutex
	list []arrival
}

func (a *arrivals) add(e arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, e)
}

func (a *arrivals) all() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]arrival{}, a.list...)
}

// backend answers requests as a sound backend does.
type backend struct {
	id, service, zone, addr string
	slots                   int
	work                    time.Duration
	bodyRecords             int
	arrivals                *arrivals
	record                  *record

	deadly func(a arrival, r *http.Request) bool // whether a request crashes the backend that begins to run it; may be nil

	mu      sync.Mutex
	state   string
	server  *http.Server
	seq     int
	started time.Time // of the present process when it started during traffic; zero for the first one
}

// Times of a backend that crashes and starts again.
const (
	downTime = 2 * time.Second
	warmUp   = 3 * time.Second
)

func (b *backend) start() error {
	l, err := net.Listen("tcp", b.addr)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = "ready"
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: time.Minute, IdleTimeout: 30 * time.Second}
	server := b.server
	go func() { _ = server.Serve(l) }()
	return nil
}

// crash ends the backend at once, with all its connections, and starts it again under its id.
func (b *backend) crash() {
	b.mu.Lock()
	server := b.server
	b.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(downTime, func() {
		b.mu.Lock()
		b.started, b.seq = time.Now(), 0
		b.mu.Unlock()
		if err := b.start(); err != nil {
			b.record.line("backend %s did not start again: %v", b.id, err)
		}
	})
}

func (b *backend) setState(state string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = state
}

// entry is the backend's entry in the list of instances.
func (b *backend) entry() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := max(0, warmUp-time.Since(b.started))
	raw, err := json.Marshal(object{
		"id": b.id, "service": b.service, "address": b.addr, "zone": b.zone, "version": "v1", "slots": b.slots, "state": b.state, "warmup_left_ms": left.Milliseconds(),
	})
	if err != nil {
		panic(err)
	}
	return raw
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(words["id"])
	from, _, _ := net.SplitHostPort(r.RemoteAddr)
	expected := r.Header.Get(words["expect"])
	a := arrival{at: time.Now(), id: id, backend: b.id, from: from, ran: expected == "" || expected == b.id}
	b.arrivals.add(a)
	b.record.detail("backend %s (%s): %s %s id %s from %s, runs: %t", b.id, b.service, r.Method, r.RequestURI, id, from, a.ran)
	w.Header().Set(words["id"], id)
	if !a.ran {
		w.Header().Set(words["notrun"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if b.deadly != nil && b.deadly(a, r) {
		b.crash()
		panic(http.ErrAbortHandler)
	}
	timer := time.NewTimer(b.work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	b.mu.Lock()
	b.seq++
	seq := b.seq
	b.mu.Unlock()
	w.Header().Set(words["stamp"], fmt.Sprintf("%s.%s.%d", b.id, id, seq))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(b.records(id, body))
}

// records returns records of 16 bytes that depend on the backend and the request.
func (b *backend) records(id string, body []byte) []byte {
	var out bytes.Buffer
	for n := range b.bodyRecords {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s %s %d %s", b.id, id, n, body))
		out.Write(sum[:16])
	}
	return out.Bytes()
}
