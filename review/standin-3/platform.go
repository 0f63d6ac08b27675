package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// lister serves the platform's list of instances.
type lister struct {
	mu      sync.Mutex
	entries func() [][]byte // entries as they stand in the list
	server  *http.Server
	onCall  func() // after an answer; may be nil
}

func startLister(addr string, entries func() [][]byte, onCall func()) (*lister, error) {
	l := &lister{entries: entries, onCall: onCall}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	l.server = &http.Server{Handler: l, ReadHeaderTimeout: time.Second}
	go func() { _ = l.server.Serve(listener) }()
	return l, nil
}

// moveList starts the list at another address, writes that into the settings of all machines,
// sends them SIGHUP, and ends the list at the address before a second later.
func (f *fleet) moveList(old *lister, entries func() [][]byte, onCall func()) error {
	f.listHost++
	if _, err := startLister(f.listAddr(), entries, onCall); err != nil {
		return err
	}
	f.play.record.line("platform: the settings name %s as the address of the list; all machines get SIGHUP", f.listAddr())
	for _, m := range f.all() {
		if err := m.reload(); err != nil {
			return err
		}
	}
	f.play.sleep(3 * time.Second)
	f.play.record.line("platform: the list is no longer at its address of before")
	return old.server.Close()
}

// ServeHTTP implements http.Handler. Each entry stands on a line of its own.
func (l *lister) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	entries, done := l.entries(), l.onCall
	l.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, "{\"instances\":[\n%s\n],\"next_page_token\":null}", bytes.Join(entries, []byte(",\n")))
	if done != nil {
		done()
	}
}

// object is a JSON object.
type object = map[string]any

func services(names []string) []object {
	var list []object
	for _, name := range names {
		list = append(list, object{"name": name, "health_path": "/health", "max_connections": 104, "protocol": "h1", "tls": false})
	}
	return list
}

func manifest(version int, routes, services []object) []byte {
	b, err := json.Marshal(object{"version": version, "routes": routes, "services": services, "limits": object{
		"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
	}})
	if err != nil {
		panic(err)
	}
	return b
}

// putManifest sends a manifest until it is acknowledged or refused, or the play ends.
func (p *play) putManifest(body []byte) error {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; p.ctx.Err() == nil; n++ {
		m := p.fleet.controls[n%len(p.fleet.controls)]
		r, err := http.NewRequestWithContext(p.ctx, http.MethodPut, fmt.Sprintf("http://%s:%d/config", m.ip, controlPort), bytes.NewReader(body))
		if err != nil {
			return err
		}
		r.Header.Set("Content-Type", "application/json")
		response, err := client.Do(r)
		if err == nil {
			text, _ := io.ReadAll(response.Body)
			response.Body.Close()
			p.record.line("operator: PUT /config to %s answered %d %s", m.ip, response.StatusCode, bytes.TrimSpace(text))
			switch {
			case response.StatusCode == http.StatusOK:
				return nil
			case response.StatusCode < 500 && response.StatusCode != http.StatusTooManyRequests:
				return fmt.Errorf("the manifest was refused with %d", response.StatusCode)
			}
		}
		p.sleep(200 * time.Millisecond)
	}
	return p.ctx.Err()
}
