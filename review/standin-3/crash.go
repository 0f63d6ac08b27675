package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Parameters of the case.
const (
	stableWindow = 4 * time.Second  // stable_window_ms
	comesAgain   = 92 * time.Second // for which the request comes again
	againGap     = time.Second
	deadlyPath   = "/hub/deadly"
	maxRetries   = 3
)

// crashLog notes the crashes that a request caused.
type crashLog struct {
	mu      sync.Mutex
	crashes []time.Time
	ids     map[string]bool // of the client attempts that were deadly
}

func (l *crashLog) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes = append(l.crashes, time.Now())
	l.ids[id] = true
}

// playCrash sends a request again and again that crashes each backend which begins to run
// it. The backends come back under the ids that they had.
func playCrash(p *play) (broken bool, err error) {
	f, err := newFleet(p, 3, 3)
	if err != nil {
		return false, err
	}
	arrived, sent, log := &arrivals{}, &calls{}, &crashLog{ids: make(map[string]bool)}
	var backends []*backend
	add := func(service string, work time.Duration) error {
		n := len(backends)
		b := &backend{
			id: fmt.Sprintf("i-%04x", n), service: service, zone: zones[n%len(zones)], addr: fmt.Sprintf("127.%d.8.%d:%d", f.network, n+1, backendPort),
			slots: 6, work: work, bodyRecords: 4, arrivals: arrived, record: p.record,
		}
		b.deadly = func(a arrival, r *http.Request) bool {
			if !p.trouble || r.URL.Path != deadlyPath {
				return false
			}
			log.add(a.id)
			p.record.line("request %s, sent by %s, crashes backend %s", a.id, a.from, a.backend)
			return true
		}
		backends = append(backends, b)
		return b.start()
	}
	for range 3 {
		if err := add("hub", 90*time.Millisecond); err != nil {
			return false, err
		}
	}
	for range 5 {
		if err := add("archive", 90*time.Millisecond); err != nil {
			return false, err
		}
	}
	if _, err := startLister(f.listAddr(), func() [][]byte {
		var list [][]byte
		for _, b := range backends {
			list = append(list, b.entry())
		}
		return list
	}, nil); err != nil {
		return false, err
	}
	if err := f.start(); err != nil {
		return false, err
	}
	route := func(name, prefix, service, kind string) object {
		return object{
			"name": name, "host": "h.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 2000, "target_latency_ms": 400, "priority": 2,
			"service": service, "max_attempts": 2,
		}
	}
	routes := []object{route("hub-fetch", "/hub/", "hub", "safe"), route("hub-write", "/write/", "hub", "unsafe"), route("notice-fetch", "/fetch/", "archive", "safe")}
	if err := p.putManifest(manifest(1, routes, services([]string{"hub", "archive"}))); err != nil {
		return false, err
	}
	p.sleep(6 * time.Second) // the core is stable and all machines are in touch
	ctx, cancel := context.WithCancel(p.ctx)
	var wg sync.WaitGroup
	for _, m := range f.entries {
		wg.Add(3)
		go (&client{play: p, entry: m, method: "GET", path: "/fetch/2f", wait: 2 * time.Second, gap: 40 * time.Millisecond, calls: sent}).run(ctx, &wg)
		go (&client{play: p, entry: m, method: "GET", path: "/hub/2f", wait: 2 * time.Second, gap: 40 * time.Millisecond, calls: sent}).run(ctx, &wg)
		go (&client{play: p, entry: m, method: "POST", path: "/write/2f", body: []byte("a notice"), wait: 2 * time.Second, gap: 40 * time.Millisecond, calls: sent}).run(ctx, &wg)
	}
	p.sleep(2 * time.Second)
	for end := time.Now().Add(comesAgain); time.Now().Before(end) && p.ctx.Err() == nil; {
		c := &client{play: p, entry: f.entries[rand.IntN(len(f.entries))], method: "GET", path: deadlyPath, wait: 2 * time.Second, calls: sent}
		c.send()
		c.drop()
		p.sleep(againGap)
	}
	cancel()
	wg.Wait()
	return judgeCrash(p, log, sent.all(), arrived.all()), nil
}

// judgeCrash counts the times that the request reached a backend later than the stable window
// after it had crashed the third one.
func judgeCrash(p *play, log *crashLog, sent []call, arrived []arrival) bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	if len(log.crashes) < 3 {
		p.record.line("%d backends crashed", len(log.crashes))
		return false
	}
	from := log.crashes[2].Add(stableWindow)
	late := 0
	for _, a := range arrived {
		if a.ran && log.ids[a.id] && a.at.After(from) {
			late++
		}
	}
	ran := make(map[string]bool)
	for _, a := range arrived {
		ran[a.id] = ran[a.id] || a.ran
	}
	lost := 0
	for _, c := range sent {
		if c.method == "POST" && ran[c.id] && c.status != http.StatusOK && c.at.After(from) {
			lost++
		}
	}
	p.record.line("%d crashes; the request reached a backend %d times later than %v after the third", len(log.crashes), late, stableWindow)
	p.record.line("in that time %d other requests that may run once only were broken off", lost)
	return late > maxRetries
}
