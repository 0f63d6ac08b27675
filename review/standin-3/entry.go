package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Times of the case.
const (
	drainTime  = 3 * time.Second         // drain_ms
	drainLate  = 1500 * time.Millisecond // for which a leaving backend goes on serving after it
	cutEntry   = `{"service":"archive","address":"127.0.0.1:8080","zone":"east-b","ver`
	watchedFor = drainTime + drainLate
)

// playEntry lists an entry of another writer that is cut short, and then a backend that
// drains.
func playEntry(p *play) (broken bool, err error) { return playDrain(p, false) }

// playMoved gives the list another address in the settings, and then lists a backend that
// drains.
func playMoved(p *play) (broken bool, err error) { return playDrain(p, true) }

// playDrain disturbs the list or moves it, and then lists a backend that drains.
func playDrain(p *play, moves bool) (broken bool, err error) {
	f, err := newFleet(p, 3, 3)
	if err != nil {
		return false, err
	}
	arrived, sent := &arrivals{}, &calls{}
	var backends []*backend
	for n := range 5 {
		b := &backend{
			id: fmt.Sprintf("i-%04x", n), service: "archive", zone: zones[n%len(zones)], addr: fmt.Sprintf("127.%d.8.%d:%d", f.network, n+1, backendPort),
			slots: 6, work: 90 * time.Millisecond, bodyRecords: 4, arrivals: arrived, record: p.record,
		}
		if err := b.start(); err != nil {
			return false, err
		}
		backends = append(backends, b)
	}
	var mu sync.Mutex
	var odd bool
	var shownAt time.Time // when the list first showed the backend as draining
	draining := false
	list := func() [][]byte {
		mu.Lock()
		defer mu.Unlock()
		var list [][]byte
		for n, b := range backends {
			list = append(list, b.entry())
			if odd && n == 1 {
				list = append(list, []byte(cutEntry))
			}
		}
		return list
	}
	shows := func() {
		mu.Lock()
		defer mu.Unlock()
		if draining && shownAt.IsZero() {
			shownAt = time.Now()
			p.record.line("platform: the list was read with %s as draining", backends[0].id)
		}
	}
	l, err := startLister(f.listAddr(), list, shows)
	if err != nil {
		return false, err
	}
	if err := f.start(); err != nil {
		return false, err
	}
	route := func(name, prefix, kind string) object {
		return object{
			"name": name, "host": "h.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 2000, "target_latency_ms": 400, "priority": 2,
			"service": "archive", "max_attempts": 2,
		}
	}
	if err := p.putManifest(manifest(1, []object{route("fetch", "/fetch/", "safe"), route("publish", "/publish/", "unsafe")}, services([]string{"archive"}))); err != nil {
		return false, err
	}
	p.sleep(6 * time.Second) // the core is stable and all machines are in touch
	ctx, cancel := context.WithCancel(p.ctx)
	var wg sync.WaitGroup
	for _, m := range f.entries {
		for range 3 {
			wg.Add(2)
			go (&client{play: p, entry: m, method: "GET", path: "/fetch/2f", wait: 2 * time.Second, gap: 30 * time.Millisecond, calls: sent}).run(ctx, &wg)
			go (&client{play: p, entry: m, method: "POST", path: "/publish/2f", body: []byte("a notice"), wait: 2 * time.Second, gap: 30 * time.Millisecond, calls: sent}).run(ctx, &wg)
		}
	}
	p.sleep(3 * time.Second)
	switch {
	case !p.trouble:
	case moves:
		if err := f.moveList(l, list, shows); err != nil {
			cancel()
			wg.Wait()
			return false, err
		}
	default:
		mu.Lock()
		odd = true
		mu.Unlock()
		p.record.line("platform: an entry of another writer is in the list: %s", cutEntry)
	}
	p.sleep(3 * time.Second)
	backends[0].setState("draining")
	drainedAt := time.Now()
	p.record.line("platform: from now on the list shows %s as draining", backends[0].id)
	mu.Lock()
	draining = true
	mu.Unlock()
	p.sleep(2*time.Second + watchedFor)
	mu.Lock()
	shown := shownAt
	mu.Unlock()
	_ = backends[0].server.Close()
	p.record.line("backend %s ends", backends[0].id)
	p.sleep(2 * time.Second)
	cancel()
	wg.Wait()
	if shown.IsZero() {
		shown = drainedAt
		p.record.line("nobody has read the list since it shows %s as draining", backends[0].id)
	}
	return judgeEntry(p, backends[0], shown, sent.all(), arrived.all()), nil
}

// judgeEntry counts the requests that clients sent later than the drain time after the list
// showed the backend as draining and that reached it.
func judgeEntry(p *play, b *backend, shown time.Time, sent []call, arrived []arrival) bool {
	sentAt := make(map[string]call)
	for _, c := range sent {
		sentAt[c.id] = c
	}
	late, notes, lost := make(map[string]int), 0, 0
	for _, a := range arrived {
		c, ok := sentAt[a.id]
		if !ok || !a.ran || a.backend != b.id || !a.at.After(shown.Add(drainTime)) || !c.at.After(shown.Add(drainTime)) {
			continue
		}
		late[a.from]++
		if c.method == "POST" {
			notes++
			if c.status != 200 {
				lost++
			}
		}
	}
	total := 0
	for _, m := range p.fleet.entries {
		p.record.line("entry %s: %d requests reached %s later than %v after the list showed it as draining", m.ip, late[m.ip], b.id, drainTime)
		total += late[m.ip]
	}
	p.record.line("%d of them may run once only, and %d of these were broken off when the backend ended", notes, lost)
	return total > 0
}
